"""A small HTTP/1.1 server that can go down and come back at its address."""

import json
import socket
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class Call:
    """One request."""

    def __init__(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        parts = urlsplit(handler.path)
        self.method, self.path, self.body = handler.command, parts.path, body
        self.query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        self.headers = handler.headers

    def fields(self) -> dict:
        """The JSON object in the body."""
        return json.loads(self.body or b"{}")


Answer = tuple[int, bytes]


def json_answer(status: int, fields: dict) -> Answer:
    """An answer with a JSON body."""
    return status, json.dumps(fields).encode()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128


class HttpServer:
    """Serves `handle` at an address; `kill` closes the port and resets all connections."""

    def __init__(self, address: str, handle: Callable[[Call], Answer]) -> None:
        self.address = address
        self._handle = handle
        self._connections: set[socket.socket] = set()
        self._server: _Server | None = None

    def start(self) -> None:
        """Listen on the address."""
        host, _, port = self.address.partition(":")
        owner = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = -1

            def setup(self) -> None:
                super().setup()
                owner._connections.add(self.connection)

            def finish(self) -> None:
                owner._connections.discard(self.connection)
                try:
                    super().finish()
                except OSError:
                    return

            def _serve(self) -> None:
                try:
                    length = int(self.headers.get("Content-Length") or 0)
                    status, body = owner._handle(Call(self, self.rfile.read(length)))
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(body)))
                    self.end_headers()
                    self.wfile.write(body)
                    self.wfile.flush()
                except (OSError, ValueError):
                    self.close_connection = True

            do_GET = do_POST = do_PUT = do_DELETE = _serve  # noqa: N815

            def handle(self) -> None:
                try:
                    super().handle()
                except (OSError, ValueError):
                    return

            def log_message(self, format: str, *args: object) -> None:
                return

        self._server = _Server((host, int(port)), Handler)
        threading.Thread(
            target=self._server.serve_forever, kwargs={"poll_interval": 0.02}, daemon=True
        ).start()

    def kill(self) -> None:
        """Refuse connections and reset those that exist."""
        server, self._server = self._server, None
        if server is None:
            return
        server.shutdown()
        server.server_close()
        for conn in list(self._connections):
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
