"""A TCP proxy on loopback that passes connections on, or resets and refuses them."""

import socket
import struct
import threading
from contextlib import suppress

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Proxy:
    """Passes connections from `address` on to `target`."""

    def __init__(self, address: str, target: str) -> None:
        self._address = _split(address)
        self._target = _split(target)
        self._lock = threading.Lock()
        self._sockets: set[socket.socket] = set()
        self._listener: socket.socket | None = None
        self.heal()

    def cut(self) -> None:
        """Reset all connections, and refuse new ones with a reset."""
        with self._lock:
            listener, self._listener = self._listener, None
            sockets, self._sockets = self._sockets, set()
        if listener is not None:
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        for sock in sockets:
            _reset(sock)

    def heal(self) -> None:
        """Pass connections on again."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self._address)
        listener.listen(64)
        with self._lock:
            self._listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def close(self) -> None:
        """Stop passing connections on."""
        self.cut()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection(self._target, 1.0)
                server.settimeout(None)
            except OSError:
                _reset(client)
                continue
            with self._lock:
                if self._listener is not listener:
                    _reset(client)
                    server.close()
                    return
                self._sockets |= {client, server}
            for source, sink in ((client, server), (server, client)):
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._pump, args=(source, sink), daemon=True).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while chunk := source.recv(65536):
                sink.sendall(chunk)
        except OSError:
            pass
        with self._lock:
            self._sockets -= {source, sink}
        for sock in (source, sink):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.partition(":")
    return host, int(port)


def _reset(sock: socket.socket) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
