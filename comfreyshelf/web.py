"""A cherrypy application on a server of its own, so that one process can hold several."""

import threading

import cherrypy
from cheroot import wsgi

from comfreyshelf.kernel import Service

MAX_BODY_BYTES = 1024 * 1024
SOCKET_TIMEOUT_S = 10
_CONFIG: dict[str, dict[str, object]] = {"/": {"tools.trailing_slash.on": False}}


class WebServer(Service):
    """Serves a cherrypy resource tree at `ip:port`; stopping finishes the requests under way.

    Requests that still run `grace_s` seconds after the stop are cut.
    """

    def __init__(
        self,
        address: str,
        root: object,
        threads: int = 16,
        grace_s: float = SOCKET_TIMEOUT_S,
    ) -> None:
        host, port = address.rsplit(":", 1)
        application = cherrypy.Application(root, "", _CONFIG)
        application.log.screen = False
        application.log.access_log.propagate = False
        application.log.error_log.propagate = False
        self._server = wsgi.Server(
            (host, int(port)), application, numthreads=threads, timeout=SOCKET_TIMEOUT_S
        )
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.shutdown_timeout = grace_s
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Listen and serve."""
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, name="http", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting, finish what is under way, and close."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join()
