"""A small HTTP/1.1 server with a thread for each connection, which can break off all of them."""

import json
import socket
import struct
import threading
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Request(NamedTuple):
    """A request; header names are in lower case, `query` holds the first value of each name."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def fields(self) -> dict:
        """The body as a JSON object."""
        return json.loads(self.body or b"{}")


class Response(NamedTuple):
    """A status and a body."""

    status: int
    body: bytes = b"{}"


def json_response(status: int, fields: dict) -> Response:
    """A response with a JSON body."""
    return Response(status, json.dumps(fields).encode())


class HttpServer:
    """Serves `ip:port`; `handle` returns a Response, or None to leave the request unanswered."""

    def __init__(self, address: str, handle: Callable[[Request], Response | None]) -> None:
        host, _, port = address.partition(":")
        self._handle = handle
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._is_open = True
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, int(port)))
        self._listener.listen(128)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening and reset all connections, as a process does that is killed."""
        with self._lock:
            self._is_open = False
            connections = list(self._connections)
            self._connections.clear()
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                # Its own thread has closed it meanwhile.
                pass
            connection.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                if not self._is_open:
                    connection.close()
                    return
                self._connections.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            stream = connection.makefile("rb")
            while (request := _read_request(stream)) is not None:
                response = self._handle(request)
                if response is None:
                    return
                head = f"HTTP/1.1 {response.status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(response.body)}\r\n\r\n"
                connection.sendall(head.encode() + response.body)
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._connections.discard(connection)
            connection.close()


def _read_request(stream) -> Request | None:
    line = stream.readline().decode()
    if not line.strip():
        return None
    method, target, _ = line.split(" ", 2)
    headers = {}
    while (header := stream.readline().decode().strip()) != "":
        name, _, value = header.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    return Request(method, parts.path, query, headers, body)
