"""Sends short requests to runners, matches their answers, and retries failed attempts."""

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
from comfreyshelf.retries import FailedAttempt, RetryPolicy, deadline_passed
from comfreyshelf.routing import POOL_MAX_AGE_S, TARGET_SILENCE_TIMEOUT_S, RunnerSelector
from comfreyshelf.transport import Hub

# Interval of `DisproveStart` queries to the target while an answer is awaited. They detect requests
# and answers that were lost with a broken pipe.
START_QUERY_INTERVAL_S = 2.0
# An idempotent request waits this long for a broken pipe, which reconnects within 1 s, and is then
# retried at another runner.
RECONNECT_GRACE_S = 1.0
_PIPE_CHECK_INTERVAL_S = 0.25
# A target process reports a timeout at its own reading of the deadline, so the report may arrive
# slightly before the deadline of this entry.
_EARLY_TIMEOUT_TOLERANCE_S = 0.1

# Stands for the incarnation of a target that is unknown. No target process has it, so none can
# disprove a start under it.
UNKNOWN_INCARNATION = -1

Reply = RequestAnswer | StartDisproved


class Call(msgspec.Struct, frozen=True):
    """One short request of a caller; `deadline` is in monotonic seconds.

    `has_short_deadline` tells that the caller allows less time than the service's timeout.
    """

    request: RequestId
    organisation: OrganisationId
    service: ServiceId
    body: bytes
    deadline: float
    idempotent: bool = True
    has_short_deadline: bool = False


class RequestAttempt(msgspec.Struct, frozen=True):
    """One attempt of a call at a target; its answer is matched by the attempt's own request id."""

    id: RequestId
    target: TargetId
    incarnation: int
    future: "Future[Reply]"


class Router:
    """Sends a request to one runner at a time and waits for its whole answer."""

    def __init__(
        self, zone: ZoneId, roster: Roster, metrics: Metrics, rng: random.Random | None = None
    ) -> None:
        rng = rng or random.Random()
        self._roster = roster
        self._metrics = metrics
        self._hub: Hub | None = None
        self._lock = threading.Lock()
        self._pending: dict[RequestId, RequestAttempt] = {}
        self._routing = RunnerSelector(zone, rng)
        self._reachable_views: list[TargetView] = []
        self._views_built_at = float("-inf")
        self._views_revisions: tuple[int, int] = (-1, -1)
        self._retries = RetryPolicy(rng)

    def attach(self, hub: Hub) -> None:
        """Set the hub through which targets are reached."""
        self._hub = hub

    def receive(self, message: AnyMessage) -> None:
        """Handle an answer; one that no attempt waits for is counted and dropped."""
        if isinstance(message, StartDisproved) and not message.disproved:
            return
        if not isinstance(message, RequestAnswer | StartDisproved):
            return
        with self._lock:
            attempt = self._pending.get(message.request)
            if attempt is not None and attempt.target == message.target:
                del self._pending[message.request]
            else:
                attempt = None
        if attempt is None:
            self._metrics.count("answer_late")
            return
        attempt.future.set_result(message)

    def check(self, config: Config, service: ServiceId) -> Refusal | None:
        """Return why a request to `service` would be refused, or None if a runner is available."""
        with self._lock:
            chosen = self._routing.choose(
                config, service, self._list_reachable_views(), time.monotonic()
            )
        return chosen.error if chosen.is_error() else None

    def call(self, config: Config, call: Call) -> Result[bytes, Refusal]:
        """Send a request, and retry it where that is safe, until its deadline."""
        with self._lock:
            organisation = config.organisations[call.organisation]
            self._retries.record_first_request(call.organisation, organisation.retry_ratio)
        tried: list[TargetId] = []
        may_have_run_refusal: Refusal | None = None
        attempt_number = 0
        while True:
            attempt_number += 1
            result = self._run_attempt(config, call, attempt_number, tried)
            if result.is_ok():
                return Ok(result.ok)
            outcome = result.error
            if not outcome.proven_not_started:
                may_have_run_refusal = outcome.refusal
            with self._lock:
                step = self._retries.decide(
                    outcome,
                    call.organisation,
                    call.idempotent,
                    attempt_number,
                    call.deadline - time.monotonic(),
                )
            if step.is_error():
                return Error(_prefer_may_have_run(step.error, may_have_run_refusal))
            self._metrics.count_retry(outcome.reason)
            time.sleep(step.ok.delay_s)

    def _run_attempt(
        self, config: Config, call: Call, attempt_number: int, tried: list[TargetId]
    ) -> Result[bytes, FailedAttempt]:
        now = time.monotonic()
        if now >= call.deadline:
            return Error(FailedAttempt(RetryReason.RUNNER_TIMEOUT, True, deadline_passed()))
        views = self._list_reachable_views()
        with self._lock:
            chosen = self._routing.choose(config, call.service, views, now, tried)
            if chosen.is_error():
                return Error(FailedAttempt(RetryReason.RUNNER_BUSY, True, chosen.error))
            target = chosen.ok
            view = self._roster.view(target)
            incarnation = view.worker.incarnation if view is not None else UNKNOWN_INCARNATION
            attempt = RequestAttempt(
                RequestId(f"{call.request}.{attempt_number}"), target, incarnation, Future()
            )
            self._pending[attempt.id] = attempt
            self._routing.record_sent(target, call.service)
        tried.append(target)
        try:
            return self._send_and_wait(config, call, attempt)
        finally:
            with self._lock:
                self._pending.pop(attempt.id, None)
                self._routing.record_ended(target, call.service)

    def _list_reachable_views(self) -> list[TargetView]:
        """The targets with an open pipe.

        The list is rebuilt when targets or pipes have changed, at most once in POOL_MAX_AGE_S.
        """
        now = time.monotonic()
        changes = (self._roster.revision, self._hub.revision if self._hub is not None else 0)
        if changes != self._views_revisions and now - self._views_built_at > POOL_MAX_AGE_S:
            reachable = set(self._hub.targets()) if self._hub is not None else set()
            views = self._roster.views()
            self._reachable_views = [view for view in views if view.worker.target in reachable]
            self._views_built_at = now
            self._views_revisions = changes
        return self._reachable_views

    def _send_and_wait(
        self, config: Config, call: Call, attempt: RequestAttempt
    ) -> Result[bytes, FailedAttempt]:
        digest = hashlib.sha256(call.body).hexdigest()
        message = RunRequest(
            attempt.id,
            call.service,
            config.version,
            call.deadline - time.monotonic(),
            call.body,
            call.idempotent,
            digest,
        )
        if not self._send(attempt.target, message):
            self._record_failure(call, attempt)
            return Error(FailedAttempt(RetryReason.LINK_DOWN, True, _link_down_refusal()))
        return self._evaluate_reply(call, attempt, self._wait_for_reply(call, attempt))

    def _send(self, target: TargetId, message: AnyMessage) -> bool:
        return self._hub is not None and self._hub.send(target, message)

    def _wait_for_reply(self, call: Call, attempt: RequestAttempt) -> Reply | RetryReason:
        """Wait for the reply; returns the reason if the wait ends without one."""
        next_query_at = time.monotonic() + START_QUERY_INTERVAL_S
        down_since = 0.0
        grace_s = RECONNECT_GRACE_S if call.idempotent else TARGET_SILENCE_TIMEOUT_S
        while (remaining_s := call.deadline - time.monotonic()) > 0:
            try:
                return attempt.future.result(min(remaining_s, _PIPE_CHECK_INTERVAL_S))
            except FutureTimeoutError:
                now = time.monotonic()
            if self._hub is not None and not self._hub.is_connected(attempt.target):
                down_since = down_since or now
                if now - down_since >= grace_s:
                    return RetryReason.TARGET_LOST
                # The query is sent as soon as the pipe is open again.
                next_query_at = now
            elif now >= next_query_at:
                down_since = 0.0
                next_query_at = now + START_QUERY_INTERVAL_S
                self._send(attempt.target, DisproveStart(attempt.id, attempt.incarnation))
        return RetryReason.RUNNER_TIMEOUT

    def _evaluate_reply(
        self, call: Call, attempt: RequestAttempt, reply: Reply | RetryReason
    ) -> Result[bytes, FailedAttempt]:
        match reply:
            case RetryReason():
                self._record_failure(call, attempt)
                return Error(FailedAttempt(reply, False, _no_answer_refusal()))
            case StartDisproved():
                return Error(FailedAttempt(RetryReason.LINK_DOWN, True, _link_down_refusal()))
            case RequestAnswer(started=False):
                return Error(FailedAttempt(RetryReason.RUNNER_BUSY, True, _target_refusal(reply)))
        refusal = _check_answer(reply)
        if refusal is None:
            with self._lock:
                self._routing.record_success(attempt.target, call.service)
            return Ok(reply.body)
        # An answer that is too large says nothing about the runner's health.
        if refusal.reason is not RefusalReason.TOO_LARGE:
            self._record_failure(call, attempt)
        return Error(FailedAttempt(RetryReason.RUNNER_FAILED, False, refusal))

    def _record_failure(self, call: Call, attempt: RequestAttempt) -> None:
        now = time.monotonic()
        if call.has_short_deadline and now >= call.deadline - _EARLY_TIMEOUT_TOLERANCE_S:
            # A timeout at a deadline that the caller shortened says nothing about the runner.
            return
        with self._lock:
            ejected = self._routing.record_failure(attempt.target, call.service, now)
        if ejected:
            self._metrics.count("runner_ejected")


def _check_answer(answer: RequestAnswer) -> Refusal | None:
    """Return why an answer cannot be passed to the caller, or None if it is complete and valid."""
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
            "the runner reported a failure",
            "check the effect before sending it again",
        )
    return None


def _prefer_may_have_run(refusal: Refusal, may_have_run_refusal: Refusal | None) -> Refusal:
    """Return the refusal of an earlier attempt that may have run, if there is one.

    A last attempt that did not run does not prove that the earlier one did not run either.
    """
    if may_have_run_refusal is None or refusal.execution is Execution.MAY_HAVE_RUN:
        return refusal
    return may_have_run_refusal


def _link_down_refusal() -> Refusal:
    return not_run(RefusalReason.NO_RUNNER, "the link to the runner is down", "try again later", 1)


def _no_answer_refusal() -> Refusal:
    return may_have_run(
        RefusalReason.MAY_HAVE_RUN,
        "the runner did not answer before the deadline, or its target was lost",
        "check the effect before sending it again",
    )


def _target_refusal(answer: RequestAnswer) -> Refusal:
    reason = answer.reason or RefusalReason.NO_RUNNER
    return not_run(reason, "the target process refused the request", "try again later", 1)
