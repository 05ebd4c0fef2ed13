"""A TCP proxy on loopback whose link can be cut, so that nothing passes either way."""

import socket
import threading
import time
from collections.abc import Mapping

CHUNK_BYTES = 65536
POLL_S = 0.02


class Proxy:
    """Forwards connections from `listen` to `target`, both ip:port.

    While it is cut, connections are accepted and nothing passes; what is held up passes when the
    link works again. `translate` replaces addresses in answers by others of the same length, as a
    network does that translates addresses.
    """

    def __init__(
        self, listen: str, target: str, translate: Mapping[bytes, bytes] | None = None
    ) -> None:
        self.address, self._target = listen, target
        self._translate = dict(translate or {})
        self._passing = threading.Event()
        self._passing.set()
        self._is_closed = False
        self._sockets: set[socket.socket] = set()
        self._listener = socket.create_server(_split(listen), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Let nothing pass."""
        self._passing.clear()

    def heal(self) -> None:
        """Let everything pass again."""
        self._passing.set()

    def close(self) -> None:
        """Close all sockets."""
        self._is_closed = True
        self._passing.set()
        for sock in [self._listener, *self._sockets]:
            _close(sock)

    def _accept(self) -> None:
        while not self._is_closed:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client: socket.socket) -> None:
        self._passing.wait()
        try:
            server = socket.create_connection(_split(self._target), 2.0)
        except OSError:
            _close(client)
            return
        server.settimeout(None)
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sockets.add(sock)
        threading.Thread(target=self._pump, args=(client, server, False), daemon=True).start()
        self._pump(server, client, True)

    def _pump(self, source: socket.socket, target: socket.socket, is_answer: bool) -> None:
        while True:
            try:
                chunk = source.recv(CHUNK_BYTES)
            except OSError:
                chunk = b""
            self._passing.wait()
            if is_answer:
                for before, after in self._translate.items():
                    chunk = chunk.replace(before, after)
            try:
                if chunk:
                    target.sendall(chunk)
                    continue
            except OSError:
                pass
            break
        for sock in (source, target):
            self._sockets.discard(sock)
            _close(sock)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.partition(":")
    return host, int(port)


def _close(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        time.sleep(0)
    sock.close()
