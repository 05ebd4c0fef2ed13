"""The entry's router: sends short requests to runners and matches the answers."""

import hashlib
import random
import threading
import time
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

import msgspec
from expression import Error, Ok, Result

from comfreyshelf.config import Config
from comfreyshelf.errors import Execution, Refusal, may_have_run, not_run
from comfreyshelf.ids import OrganisationId, RequestId, ServiceId, TargetId, ZoneId
from comfreyshelf.membership import Roster, TargetView
from comfreyshelf.messages import (
    AnyMessage,
    DisproveStart,
    RequestAnswer,
    RunRequest,
    StartDisproved,
)
from comfreyshelf.metrics import Metrics
from comfreyshelf.model import MAX_RESULT_BYTES
from comfreyshelf.reasons import RefusalReason, RetryReason
from comfreyshelf.retries import Outcome, Retries, deadline_passed
from comfreyshelf.routing import POOL_MAX_AGE_S, SILENT_AFTER_S, Routing
from comfreyshelf.transport import Hub

# Asking covers a message or an answer that was lost with a broken pipe.
ASK_INTERVAL_S = 2.0
# An idempotent request does not wait for a pipe to come back; the pipe redials within 1 s.
PIPE_GRACE_S = 1.0
_CHECK_INTERVAL_S = 0.25
# A target process reports a timeout at the deadline, so its report may come slightly before it.
_DEADLINE_MARGIN_S = 0.1

# No target process has it, so none can disprove a start under it.
UNKNOWN_INCARNATION = -1

Reply = RequestAnswer | StartDisproved


class Call(msgspec.Struct, frozen=True):
    """One short request of a caller; `until` is its deadline in monotonic seconds.

    `is_short` tells that the caller allows less time than the service's timeout.
    """

    request: RequestId
    organisation: OrganisationId
    service: ServiceId
    body: bytes
    until: float
    idempotent: bool = True
    is_short: bool = False


class Attempt(msgspec.Struct, frozen=True):
    """One sending of a call; each has a request id of its own, to which the answer refers."""

    id: RequestId
    target: TargetId
    incarnation: int
    future: "Future[Reply]"


class Router:
    """Routes a request to one runner at a time and waits for its whole answer."""

    def __init__(
        self, zone: ZoneId, roster: Roster, metrics: Metrics, rng: random.Random | None = None
    ) -> None:
        rng = rng or random.Random()
        self._roster = roster
        self._metrics = metrics
        self._hub: Hub | None = None
        self._lock = threading.Lock()
        self._waiting: dict[RequestId, Attempt] = {}
        self._routing = Routing(zone, rng)
        self._listed: list[TargetView] = []
        self._listed_at = float("-inf")
        self._listed_of: tuple[int, int] = (-1, -1)
        self._retries = Retries(rng)

    def attach(self, hub: Hub) -> None:
        """Set the hub through which targets are reached."""
        self._hub = hub

    def receive(self, message: AnyMessage) -> None:
        """Take an answer; one that nobody waits for is counted and dropped."""
        if isinstance(message, StartDisproved) and not message.disproved:
            return
        if not isinstance(message, RequestAnswer | StartDisproved):
            return
        with self._lock:
            attempt = self._waiting.get(message.request)
            if attempt is not None and attempt.target == message.target:
                del self._waiting[message.request]
            else:
                attempt = None
        if attempt is None:
            self._metrics.count("answer_late")
            return
        attempt.future.set_result(message)

    def check(self, config: Config, service: ServiceId) -> Refusal | None:
        """Why a request to `service` would be refused now, or None if a runner is available."""
        with self._lock:
            chosen = self._routing.choose(config, service, self._views(), time.monotonic())
        return chosen.error if chosen.is_error() else None

    def call(self, config: Config, call: Call) -> Result[bytes, Refusal]:
        """Send a request, and again where that is safe, until its deadline."""
        with self._lock:
            organisation = config.organisations[call.organisation]
            self._retries.first(call.organisation, organisation.retry_ratio)
        tried: list[TargetId] = []
        may_have: Refusal | None = None
        number = 0
        while True:
            number += 1
            result = self._attempt(config, call, number, tried)
            if result.is_ok():
                return Ok(result.ok)
            outcome = result.error
            if not outcome.proven:
                may_have = outcome.refusal
            with self._lock:
                step = self._retries.next(
                    outcome,
                    call.organisation,
                    call.idempotent,
                    number,
                    call.until - time.monotonic(),
                )
            if step.is_error():
                return Error(_with_history(step.error, may_have))
            self._metrics.count_retry(outcome.reason)
            time.sleep(step.ok.delay_s)

    def _attempt(
        self, config: Config, call: Call, number: int, tried: list[TargetId]
    ) -> Result[bytes, Outcome]:
        now = time.monotonic()
        if now >= call.until:
            return Error(Outcome(RetryReason.RUNNER_TIMEOUT, True, deadline_passed()))
        views = self._views()
        with self._lock:
            chosen = self._routing.choose(config, call.service, views, now, tried)
            if chosen.is_error():
                return Error(Outcome(RetryReason.RUNNER_BUSY, True, chosen.error))
            target = chosen.ok
            view = self._roster.view(target)
            incarnation = view.worker.incarnation if view is not None else UNKNOWN_INCARNATION
            attempt = Attempt(RequestId(f"{call.request}.{number}"), target, incarnation, Future())
            self._waiting[attempt.id] = attempt
            self._routing.sent(target, call.service)
        tried.append(target)
        try:
            return self._exchange(config, call, attempt)
        finally:
            with self._lock:
                self._waiting.pop(attempt.id, None)
                self._routing.ended(target, call.service)

    def _views(self) -> list[TargetView]:
        """The targets with a pipe; listed anew if they changed, but not within POOL_MAX_AGE_S."""
        now = time.monotonic()
        changes = (self._roster.revision, self._hub.revision if self._hub is not None else 0)
        if changes != self._listed_of and now - self._listed_at > POOL_MAX_AGE_S:
            reachable = set(self._hub.targets()) if self._hub is not None else set()
            views = self._roster.views()
            self._listed = [view for view in views if view.worker.target in reachable]
            self._listed_at = now
            self._listed_of = changes
        return self._listed

    def _exchange(self, config: Config, call: Call, attempt: Attempt) -> Result[bytes, Outcome]:
        digest = hashlib.sha256(call.body).hexdigest()
        message = RunRequest(
            attempt.id,
            call.service,
            config.version,
            call.until - time.monotonic(),
            call.body,
            call.idempotent,
            digest,
        )
        if not self._send(attempt.target, message):
            self._failed(call, attempt)
            return Error(Outcome(RetryReason.LINK_DOWN, True, _link_down()))
        return self._judge(call, attempt, self._wait(call, attempt))

    def _send(self, target: TargetId, message: AnyMessage) -> bool:
        return self._hub is not None and self._hub.send(target, message)

    def _wait(self, call: Call, attempt: Attempt) -> Reply | RetryReason:
        """The reply, or why it is no longer waited for."""
        ask_at = time.monotonic() + ASK_INTERVAL_S
        down_since = 0.0
        grace_s = PIPE_GRACE_S if call.idempotent else SILENT_AFTER_S
        while (left_s := call.until - time.monotonic()) > 0:
            try:
                return attempt.future.result(min(left_s, _CHECK_INTERVAL_S))
            except FutureTimeoutError:
                now = time.monotonic()
            if self._hub is not None and not self._hub.is_connected(attempt.target):
                down_since = down_since or now
                if now - down_since >= grace_s:
                    return RetryReason.TARGET_LOST
                # The question is sent as soon as the pipe is back.
                ask_at = now
            elif now >= ask_at:
                down_since = 0.0
                ask_at = now + ASK_INTERVAL_S
                self._send(attempt.target, DisproveStart(attempt.id, attempt.incarnation))
        return RetryReason.RUNNER_TIMEOUT

    def _judge(
        self, call: Call, attempt: Attempt, reply: Reply | RetryReason
    ) -> Result[bytes, Outcome]:
        match reply:
            case RetryReason():
                self._failed(call, attempt)
                return Error(Outcome(reply, False, _no_answer()))
            case StartDisproved():
                return Error(Outcome(RetryReason.LINK_DOWN, True, _link_down()))
            case RequestAnswer(started=False):
                return Error(Outcome(RetryReason.RUNNER_BUSY, True, _refused(reply)))
        refusal = _check_answer(reply)
        if refusal is None:
            with self._lock:
                self._routing.succeeded(attempt.target, call.service)
            return Ok(reply.body)
        # An answer that is too long is no fault of the runner's health.
        if refusal.reason is not RefusalReason.TOO_LARGE:
            self._failed(call, attempt)
        return Error(Outcome(RetryReason.RUNNER_FAILED, False, refusal))

    def _failed(self, call: Call, attempt: Attempt) -> None:
        now = time.monotonic()
        if call.is_short and now >= call.until - _DEADLINE_MARGIN_S:
            # A caller's own short deadline tells nothing about the runner.
            return
        with self._lock:
            ejected = self._routing.failed(attempt.target, call.service, now)
        if ejected:
            self._metrics.count("runner_ejected")


def _check_answer(answer: RequestAnswer) -> Refusal | None:
    """Why an answer cannot be given to the caller, or None if it is whole and good."""
    if answer.reason is RefusalReason.TOO_LARGE or len(answer.body) > MAX_RESULT_BYTES:
        return may_have_run(
            RefusalReason.TOO_LARGE,
            f"the runner's answer exceeds {MAX_RESULT_BYTES} bytes",
            "store the data elsewhere and answer with a reference to it",
        )
    if hashlib.sha256(answer.body).hexdigest() != answer.digest:
        return may_have_run(
            RefusalReason.RUNNER_FAILED,
            "the runner's answer does not match its digest",
            "check the effect before sending it again",
        )
    if not answer.ok:
        return may_have_run(
            RefusalReason.RUNNER_FAILED,
            "the runner failed",
            "check the effect before sending it again",
        )
    return None


def _with_history(refusal: Refusal, may_have: Refusal | None) -> Refusal:
    """A later attempt that did not run does not undo an earlier one that may have."""
    if may_have is None or refusal.execution is Execution.MAY_HAVE_RUN:
        return refusal
    return may_have


def _link_down() -> Refusal:
    return not_run(RefusalReason.NO_RUNNER, "the link to the runner is down", "try again later", 1)


def _no_answer() -> Refusal:
    return may_have_run(
        RefusalReason.MAY_HAVE_RUN,
        "the runner did not answer in time",
        "check the effect before sending it again",
    )


def _refused(answer: RequestAnswer) -> Refusal:
    reason = answer.reason or RefusalReason.NO_RUNNER
    return not_run(reason, "the target process refused the request", "try again later", 1)
