"""The entry's router: sends short requests to runners and matches the answers."""

import hashlib
import threading
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from expression import Error, Ok, Result

from comfreyshelf.config import Config
from comfreyshelf.errors import Refusal, may_have_run, not_run
from comfreyshelf.ids import RequestId, ServiceId, ZoneId
from comfreyshelf.membership import Roster, TargetView
from comfreyshelf.messages import AnyMessage, RequestAnswer, RunRequest
from comfreyshelf.metrics import Metrics
from comfreyshelf.reasons import RefusalReason
from comfreyshelf.transport import Hub


class Router:
    """Routes a request to one runner and waits for its whole answer."""

    def __init__(self, zone: ZoneId, roster: Roster, metrics: Metrics) -> None:
        self._zone = zone
        self._roster = roster
        self._metrics = metrics
        self._hub: Hub | None = None
        self._lock = threading.Lock()
        self._waiting: dict[RequestId, Future[RequestAnswer]] = {}

    def attach(self, hub: Hub) -> None:
        """Set the hub through which targets are reached."""
        self._hub = hub

    def receive(self, message: AnyMessage) -> None:
        """Take an answer; one that nobody waits for is counted and dropped."""
        if not isinstance(message, RequestAnswer):
            return
        with self._lock:
            future = self._waiting.pop(message.request, None)
        if future is None:
            self._metrics.count("answer_late")
            return
        future.set_result(message)

    def call(
        self,
        config: Config,
        service: ServiceId,
        request: RequestId,
        body: bytes,
        timeout_s: float,
        idempotent: bool,
    ) -> Result[bytes, Refusal]:
        """Send a request and wait for the answer for `timeout_s` seconds at most."""
        view = self._choose(service, config)
        if view is None or self._hub is None:
            return Error(
                not_run(RefusalReason.NO_RUNNER, "no runner is available", "try again later", 1)
            )
        future: Future[RequestAnswer] = Future()
        with self._lock:
            self._waiting[request] = future
        message = RunRequest(request, service, config.version, timeout_s, body, idempotent)
        if not self._hub.send(view.worker.target, message):
            return Error(
                not_run(RefusalReason.NO_RUNNER, "the runner's link is down", "try again later", 1)
            )
        try:
            answer = future.result(timeout_s)
        except FutureTimeoutError:
            with self._lock:
                self._waiting.pop(request, None)
            return Error(
                may_have_run(
                    RefusalReason.MAY_HAVE_RUN,
                    "the runner did not answer",
                    "check the effect before sending it again",
                )
            )
        return self._checked(answer)

    def _choose(self, service: ServiceId, config: Config) -> TargetView | None:
        views = [
            view
            for view in self._roster.views()
            if not view.draining
            and view.worker.target not in config.scrapped
            and any(load.service == service for load in view.runners)
        ]
        views.sort(
            key=lambda view: (
                view.worker.zone != self._zone,
                sum(load.running for load in view.runners),
            )
        )
        return views[0] if views else None

    @staticmethod
    def _checked(answer: RequestAnswer) -> Result[bytes, Refusal]:
        if not answer.started:
            reason = answer.reason or RefusalReason.NO_RUNNER
            return Error(not_run(reason, "the runner refused the request", "try again later", 1))
        if not answer.ok or hashlib.sha256(answer.body).hexdigest() != answer.digest:
            return Error(
                may_have_run(
                    RefusalReason.MAY_HAVE_RUN,
                    "the runner failed",
                    "check the effect before sending it again",
                )
            )
        return Ok(answer.body)
