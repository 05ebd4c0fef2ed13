"""Small WSGI applications on CherryPy's server, cheroot."""

import threading
from collections.abc import Callable, Iterable

import msgspec
from cheroot.wsgi import Server

from comfreyshelf.kernel import Service
from comfreyshelf.metrics import Metrics

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    410: "Gone",
    413: "Content Too Large",
    421: "Misdirected Request",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
_SHUTDOWN_TIMEOUT_S = 2
_IDLE_TIMEOUT_S = 20


class Call(msgspec.Struct, frozen=True):
    """An HTTP request; `headers` are named as in a WSGI environment.

    `body` is cut at the server's limit if the request is `too_large`.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    too_large: bool = False


class Reply(msgspec.Struct, frozen=True):
    """An HTTP response; `Retry-After` is omitted if `retry_after_s` is 0."""

    status: int
    body: bytes = b""
    retry_after_s: int = 0
    content_type: str = "application/json"


def metrics_server(address: str, metrics: Metrics) -> "WebServer":
    """Create a server of a process's metrics as text."""

    def handle(call: Call) -> Reply:
        if call.path != "/metrics":
            return Reply(404, b"{}")
        return Reply(200, metrics.render().encode(), content_type="text/plain")

    return WebServer(address, 1, handle, lambda: 0)


class WebServer(Service):
    """Serves one address; `handle` runs in one of `threads` threads.

    `max_body_bytes` returns the limit for bodies; what exceeds it is not read.
    """

    def __init__(
        self,
        address: str,
        threads: int,
        handle: Callable[[Call], Reply],
        max_body_bytes: Callable[[], int],
    ) -> None:
        host, _, port = address.partition(":")
        self._handle = handle
        self._max_body_bytes = max_body_bytes
        self._server = Server(
            (host, int(port)),
            self._wsgi_app,
            numthreads=threads,
            server_name="comfreyshelf",
            request_queue_size=128,
            timeout=_IDLE_TIMEOUT_S,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        self._server.expiration_interval = 1.0
        self._thread: threading.Thread | None = None
        # While stopping, each response closes its connection, so that callers use another entry.
        self.is_closing = False

    def start(self) -> None:
        """Listen on the address and start the server thread."""
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Answer the requests already read, then close; idempotent."""
        if self._thread is not None:
            self._thread = None
            self._server.stop()

    def _wsgi_app(
        self, environ: dict, start_response: Callable[[str, list[tuple[str, str]]], object]
    ) -> Iterable[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        max_bytes = self._max_body_bytes()
        body = environ["wsgi.input"].read(min(length, max_bytes)) if length else b""
        headers = {k: v for k, v in environ.items() if isinstance(v, str)}
        reply = self._handle(
            Call(environ["REQUEST_METHOD"], environ["PATH_INFO"], headers, body, length > max_bytes)
        )
        response_headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
        ]
        if reply.retry_after_s:
            response_headers.append(("Retry-After", str(reply.retry_after_s)))
        if self.is_closing:
            response_headers.append(("Connection", "close"))
        start_response(
            f"{reply.status} {REASON_PHRASES.get(reply.status, 'Answer')}", response_headers
        )
        return [reply.body]
