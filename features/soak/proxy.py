"""A TCP proxy on loopback that delays, resets, silences or refuses connections."""

import selectors
import socket
import struct
import threading
import time
from collections import deque
from enum import Enum

CHUNK_BYTES = 65536
DELAY_S = 0.3
# An abortive close: the peer sees a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkMode(Enum):
    """What happens to the bytes of a link."""

    PASS = "pass"
    DELAY = "delay"
    # Connections are accepted, and nothing passes either way.
    SILENT = "silent"
    # Requests pass, answers do not.
    ONE_WAY = "one way"


class _Pipe:
    """One direction of a connection, with the bytes that wait for their time."""

    def __init__(self, target: socket.socket, is_answer: bool) -> None:
        self.target = target
        self.is_answer = is_answer
        self.waiting: deque[tuple[float, bytes]] = deque()


class Proxy:
    """Forwards connections from `listen` to `target`, both `ip:port`, in a thread of its own.

    Bytes that are held back while the link is silent pass when it works again, unless the
    connection has been closed meanwhile.
    """

    def __init__(self, listen: str, target: str) -> None:
        self.address = listen
        self._target = _split(target)
        self._mode = LinkMode.PASS
        self._lock = threading.Lock()
        self._selector = selectors.DefaultSelector()
        self._pipes: dict[socket.socket, _Pipe] = {}
        self._listener: socket.socket | None = self._listen()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def set_mode(self, mode: LinkMode) -> None:
        """Change what happens to the bytes from now on."""
        with self._lock:
            self._mode = mode

    def set_refusing(self, is_refusing: bool) -> None:
        """Refuse new connections and reset those that exist, or accept connections again."""
        with self._lock:
            if is_refusing and self._listener is not None:
                self._listener.close()
                self._listener = None
                self._reset_connections()
            elif not is_refusing and self._listener is None:
                self._listener = self._listen()

    def reset(self) -> None:
        """Reset all connections."""
        with self._lock:
            self._reset_connections()

    def stop(self) -> None:
        """End the thread and close all sockets."""
        self._stopping = True
        self._thread.join()
        with self._lock:
            self._reset_connections()
            if self._listener is not None:
                self._listener.close()

    def _listen(self) -> socket.socket:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(_split(self.address))
        listener.listen(128)
        listener.setblocking(False)
        return listener

    def _run(self) -> None:
        while not self._stopping:
            with self._lock:
                self._accept()
                self._read()
                self._write()
            time.sleep(0.002 if self._pipes else 0.01)

    def _accept(self) -> None:
        while self._listener is not None:
            try:
                client, _ = self._listener.accept()
            except BlockingIOError:
                return
            try:
                server = socket.create_connection(self._target, 1.0)
            except OSError:
                _close_with_reset(client)
                continue
            for source, target, is_answer in ((client, server, False), (server, client, True)):
                source.setblocking(False)
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._pipes[source] = _Pipe(target, is_answer)
                self._selector.register(source, selectors.EVENT_READ)

    def _read(self) -> None:
        if self._mode is LinkMode.SILENT or not self._pipes:
            return
        for key, _ in self._selector.select(0):
            source = key.fileobj
            assert isinstance(source, socket.socket)
            pipe = self._pipes.get(source)
            if pipe is None or (self._mode is LinkMode.ONE_WAY and pipe.is_answer):
                continue
            try:
                chunk = source.recv(CHUNK_BYTES)
            except OSError:
                chunk = b""
            delay_s = DELAY_S if self._mode is LinkMode.DELAY else 0.0
            pipe.waiting.append((time.monotonic() + delay_s, chunk))
            if not chunk:
                self._selector.unregister(source)

    def _write(self) -> None:
        now = time.monotonic()
        for source, pipe in list(self._pipes.items()):
            while source in self._pipes and pipe.waiting and pipe.waiting[0][0] <= now:
                _, chunk = pipe.waiting.popleft()
                if not chunk:
                    self._drop(source)
                    break
                try:
                    sent = pipe.target.send(chunk)
                except BlockingIOError:
                    sent = 0
                except OSError:
                    self._drop(source)
                    break
                if sent < len(chunk):
                    pipe.waiting.appendleft((now, chunk[sent:]))
                    break

    def _drop(self, source: socket.socket) -> None:
        for sock in (source, self._pipes[source].target):
            if self._pipes.pop(sock, None) is not None:
                if sock in self._selector.get_map():
                    self._selector.unregister(sock)
                sock.close()

    def _reset_connections(self) -> None:
        for sock in self._pipes:
            if sock in self._selector.get_map():
                self._selector.unregister(sock)
            _close_with_reset(sock)
        self._pipes.clear()


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.partition(":")
    return host, int(port)


def _close_with_reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()
