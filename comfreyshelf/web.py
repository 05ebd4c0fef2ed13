"""A cherrypy application on its own HTTP server, so that one process can run several."""

import json
import socket
import ssl
import sys
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import cherrypy
from absl import logging
from cheroot import makefile, wsgi
from cheroot.errors import FatalSSLAlert
from cheroot.server import HTTPConnection, HTTPRequest

from comfreyshelf.kernel import Service
from comfreyshelf.tls import TlsFiles, http_adapter

MAX_BODY_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024
SOCKET_TIMEOUT_S = 10
# The socket timeout restarts with each byte; this bounds the whole request of a slow sender.
REQUEST_RECEIVE_TIMEOUT_S = 20.0
DISCARD_TIMEOUT_S = 0.5
# Requests under this prefix delay the end of a drain; health checks and metrics do not.
WORK_PATH_PREFIX = "/v1/"
_DRAIN_POLL_INTERVAL_S = 0.02
# After these statuses the rest of the body is not read, so the connection cannot be reused.
_CLOSING_STATUSES = (408, 413)

ErrorPage = Callable[[int, str], dict[str, object]]
"""Builds the JSON body of an error from the HTTP status and a message."""


def plain_error(status: int, message: str) -> dict[str, object]:
    """The error body of servers without an `ErrorPage` of their own."""
    return {"status": status, "message": message}


class _DeadlineSocketIO(socket.SocketIO):
    """Raw reads of one connection, which time out at `deadline` in monotonic seconds."""

    def __init__(self, sock: socket.socket, mode: Any) -> None:
        super().__init__(sock, mode)
        self._conn = sock
        self.deadline = 0.0

    def readinto(self, buffer: Any) -> int | None:
        remaining_s = min(SOCKET_TIMEOUT_S, self.deadline - time.monotonic())
        if remaining_s <= 0:
            raise TimeoutError("timed out")
        self._conn.settimeout(remaining_s)
        try:
            return super().readinto(buffer)
        except ssl.SSLError as exc:
            # On this error cheroot closes the connection of a failed handshake without a response.
            raise FatalSSLAlert(*exc.args) from exc
        finally:
            self._conn.settimeout(SOCKET_TIMEOUT_S)


class _DeadlineReader(makefile.StreamReader):
    """cheroot's reader over a `_DeadlineSocketIO`."""

    def __init__(self, sock: socket.socket, mode: str, bufsize: int) -> None:
        self.raw_io = _DeadlineSocketIO(sock, mode)
        # StreamReader's own constructor would open an untimed SocketIO.
        super(makefile.StreamReader, self).__init__(self.raw_io, bufsize)
        self.bytes_read = 0


def _make_file(sock: socket.socket, mode: str = "r", bufsize: int = 8192) -> object:
    if "r" in mode:
        return _DeadlineReader(sock, mode, bufsize)
    return makefile.MakeFile(sock, mode, bufsize)


class _Request(HTTPRequest):
    """Sends errors that cheroot detects before cherrypy runs in the same JSON form."""

    def send_headers(self) -> None:
        connection = [value for name, value in self.outheaders if name.lower() == b"connection"]
        if int(self.status[:3]) in _CLOSING_STATUSES or b"close" in connection:
            self.close_connection = True
            self.conn.has_unread_input = self.chunked_read or self.rfile.remaining > 0
        super().send_headers()

    def simple_response(self, status: object, msg: str = "") -> None:
        code = int(str(status)[:3])
        self.conn.has_unread_input = True
        body = json.dumps(self.server.error_body(code, msg or str(status)[4:])).encode()
        self.close_connection = True
        head = (
            f"{self.server.protocol} {status}\r\nContent-Length: {len(body)}\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n\r\n"
        )
        try:
            self.conn.wfile.write(head.encode("iso-8859-1") + body)
        except OSError:
            logging.debug("the peer closed the connection before the error response was sent")


class _Connection(HTTPConnection):
    """A connection on which each request must arrive within REQUEST_RECEIVE_TIMEOUT_S."""

    RequestHandlerClass = _Request

    def __init__(self, server: wsgi.Server, sock: socket.socket, _: object = None) -> None:
        super().__init__(server, sock, _make_file)
        self.has_unread_input = False

    def communicate(self) -> bool:
        self.rfile.raw_io.deadline = time.monotonic() + REQUEST_RECEIVE_TIMEOUT_S
        return super().communicate()

    def close(self) -> None:
        if self.has_unread_input:
            self._discard_input()
        super().close()

    def _discard_input(self) -> None:
        """Read and drop input for up to DISCARD_TIMEOUT_S.

        Closing a socket with unread input sends a reset, which can discard the response before the
        peer has read it.
        """
        deadline = time.monotonic() + DISCARD_TIMEOUT_S
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while (remaining_s := deadline - time.monotonic()) > 0:
                self.socket.settimeout(remaining_s)
                if not self.socket.recv(MAX_HEADER_BYTES):
                    return
        except OSError:
            return


class _Server(wsgi.Server):
    """A cheroot server that uses `_Connection`."""

    ConnectionClass = _Connection
    error_body: ErrorPage = staticmethod(plain_error)


class InFlightCounter:
    """WSGI middleware that counts requests until their responses are written."""

    def __init__(self, application: Any) -> None:
        self._application = application
        self._lock = threading.Lock()
        self.count = 0
        self.last_work_at = 0.0
        self.closes_connections = False

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        is_work = environ.get("PATH_INFO", "").startswith(WORK_PATH_PREFIX)
        with self._lock:
            self.count += 1
            if is_work:
                self.last_work_at = time.monotonic()

        def start(status: str, headers: list[tuple[str, str]], exc_info: Any = None) -> Any:
            if self.closes_connections:
                headers = [*headers, ("Connection", "close")]
            return start_response(status, headers, exc_info)

        try:
            chunks = self._application(environ, start)
        except BaseException:
            self._finish_request()
            raise
        return _TrackedResponse(chunks, self._finish_request)

    def _finish_request(self) -> None:
        with self._lock:
            self.count -= 1


class _TrackedResponse:
    """A WSGI response that calls `on_close` when the server has written it."""

    def __init__(self, chunks: Any, on_close: Callable[[], None]) -> None:
        self._chunks = chunks
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._chunks)

    def close(self) -> None:
        try:
            if hasattr(self._chunks, "close"):
                self._chunks.close()
        finally:
            self._on_close()


class WebServer(Service):
    """Serves a cherrypy resource tree at `ip:port`; stopping finishes the requests in progress.

    Without `parses_forms` the resources read every body themselves, whatever its content type.
    """

    def __init__(
        self,
        address: str,
        root: object,
        threads: int = 16,
        error_page: ErrorPage = plain_error,
        parses_forms: bool = True,
        tls: TlsFiles | None = None,
    ) -> None:
        host, port = address.rsplit(":", 1)
        self._error_page = error_page
        self._parses_forms = parses_forms
        application = cherrypy.Application(root, "", {"/": self._config()})
        application.log.screen = False
        application.log.access_log.propagate = False
        application.log.error_log.propagate = False
        self._in_flight = InFlightCounter(application)
        self._server = _Server(
            (host, int(port)), self._in_flight, numthreads=threads, timeout=SOCKET_TIMEOUT_S
        )
        if tls is not None:
            self._server.ssl_adapter = http_adapter(tls)
        self._server.error_body = error_page
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.shutdown_timeout = SOCKET_TIMEOUT_S
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Listen and serve."""
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, name="http", daemon=True)
        self._thread.start()

    def drain(self, notice_s: float, grace_s: float) -> bool:
        """Keep serving until callers have left; returns whether all requests have ended.

        The drain lasts at least `notice_s`, so that the balancer sees the health check fail. It
        ends when no request is in progress and no work has arrived for `notice_s`, and after
        `grace_s` at the latest.
        """
        self._in_flight.closes_connections = True
        started = time.monotonic()
        while (now := time.monotonic()) - started < grace_s:
            is_idle = now - max(started, self._in_flight.last_work_at) >= notice_s
            if is_idle and self._in_flight.count == 0:
                return True
            time.sleep(_DRAIN_POLL_INTERVAL_S)
        return self._in_flight.count == 0

    def stop(self) -> None:
        """Stop accepting connections, finish the requests in progress, and close."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join()

    def _config(self) -> dict[str, object]:
        config: dict[str, object] = {
            "tools.trailing_slash.on": False,
            "request.show_tracebacks": False,
            "error_page.default": self._render_error,
        }
        if not self._parses_forms:
            # curl labels JSON as a form by default, and cherrypy would parse it into parameters.
            config["request.body.processors"] = {}
        return config

    def _render_error(self, status: str, message: str, traceback: str, version: str) -> bytes:
        code = int(status[:3])
        if code >= 500 and sys.exc_info()[0] is not None:
            logging.exception("request failed with an unexpected error")
        cherrypy.response.headers["Content-Type"] = "application/json"
        return json.dumps(self._error_page(code, message)).encode()
