"""The HTTP interface of an entry for callers and operators."""

import cherrypy

from comfreyshelf.forwarding import Forwarder
from comfreyshelf.front import FrontEnd
from comfreyshelf.jobs_api import Cancellations, Jobs
from comfreyshelf.operators_api import Configuration, Drains, Targets
from comfreyshelf.requests_api import Services
from comfreyshelf.status_page import render_status

__all__ = ["V1", "FrontEnd", "Root"]


class V1:
    """`/v1`."""

    def __init__(self, front: FrontEnd, forwarder: Forwarder | None) -> None:
        self.jobs = Jobs(front)
        self.cancellations = Cancellations(front, self.jobs)
        self.services = Services(front, forwarder)
        self.config = Configuration(front)
        self.targets = Targets(front)
        self.drains = Drains(front)


class Root:
    """`/`: health, metrics, the status page, and the interface under `/v1`."""

    def __init__(self, front: FrontEnd, forwarder: Forwarder | None = None) -> None:
        self._front = front
        self.v1 = V1(front, forwarder)

    @cherrypy.expose
    def health(self) -> bytes:
        """For the balancer: status 200 while this entry accepts work, 503 otherwise."""
        if cherrypy.request.method not in ("GET", "HEAD"):
            return self._front.refuse_method("GET")
        ready = self._front.reader.caught_up.is_set() and not self._front.stopping
        cherrypy.response.headers["Content-Type"] = "text/plain"
        cherrypy.response.status = 200 if ready else 503
        return b"ready\n" if ready else b"not ready\n"

    @cherrypy.expose
    def metrics(self) -> bytes:
        """All metrics in the Prometheus text format."""
        if cherrypy.request.method not in ("GET", "HEAD"):
            return self._front.refuse_method("GET")
        cherrypy.response.headers["Content-Type"] = "text/plain; version=0.0.4"
        return self._front.metrics.render().encode()

    @cherrypy.expose
    def status(self) -> bytes:
        """An HTML page with the state of the deployment as this entry knows it."""
        if cherrypy.request.method not in ("GET", "HEAD"):
            return self._front.refuse_method("GET")
        cherrypy.response.headers["Content-Type"] = "text/html; charset=utf-8"
        return render_status(self._front).encode()
