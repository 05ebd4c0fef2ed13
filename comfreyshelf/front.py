"""HTTP front end of an entry: responses, authentication, limits, bodies and appends to the log."""

import math
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TypeVar

import cherrypy
import msgspec
from expression import Error, Ok, Result

from comfreyshelf.auth import KeyIndex, bearer_key
from comfreyshelf.config import Caller, Config, Operator
from comfreyshelf.entry_limits import QueueLimits, RateLimits
from comfreyshelf.errors import Execution, Refusal, may_have_run, not_run
from comfreyshelf.ids import ZoneId
from comfreyshelf.journal import Appender, AppendResult, LedgerReader
from comfreyshelf.membership import Roster
from comfreyshelf.metrics import Metrics
from comfreyshelf.model import JobState
from comfreyshelf.reasons import RefusalReason
from comfreyshelf.records import AnyBody
from comfreyshelf.router import Router

APPEND_TIMEOUT_S = 5.0
MAX_LONG_POLL_S = 60.0
MAX_IN_FLIGHT_REQUESTS = 48
# Each caller in a long poll holds a thread; the other threads serve new work and health checks.
MAX_WAITERS = 32

_CHEROOT_TOO_LARGE_MESSAGE = "Request Entity Too Large"

T = TypeVar("T")

HTTP_STATUS_BY_REASON = {
    RefusalReason.MALFORMED: 400,
    RefusalReason.INVALID_TEXT: 422,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.UNAUTHORISED: 401,
    RefusalReason.FORBIDDEN: 403,
    RefusalReason.UNKNOWN: 404,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.KEY_CONFLICT: 409,
    RefusalReason.STALE_VERSION: 409,
    RefusalReason.NEVER_FITS: 422,
    RefusalReason.FAILS_EVERYWHERE: 422,
    RefusalReason.QUEUE_FULL: 429,
    RefusalReason.RATE_LIMIT: 429,
    RefusalReason.SHED: 429,
    RefusalReason.SLOW_SENDER: 408,
    RefusalReason.RUNNER_FAILED: 502,
    RefusalReason.MAY_HAVE_RUN: 504,
    RefusalReason.DEADLINE_PASSED: 504,
    RefusalReason.INTERNAL: 500,
}

_REASON_BY_HTTP_STATUS = {
    401: RefusalReason.UNAUTHORISED,
    403: RefusalReason.FORBIDDEN,
    404: RefusalReason.UNKNOWN,
    408: RefusalReason.SLOW_SENDER,
    413: RefusalReason.TOO_LARGE,
    414: RefusalReason.TOO_LARGE,
}


def http_status(refusal: Refusal) -> int:
    """The HTTP status of a refusal; 503 for conditions that pass without action by the caller."""
    # Here the answer of the runner was too large, not the body of the caller.
    if refusal.reason is RefusalReason.TOO_LARGE and refusal.execution is Execution.MAY_HAVE_RUN:
        return 502
    return HTTP_STATUS_BY_REASON.get(refusal.reason, 503)


# Monotonic clock of the rate and queue limits, in seconds.
clock = time.monotonic


class FrontEnd:
    """State and helpers that all HTTP resources of one entry share."""

    def __init__(
        self,
        name: str,
        zone: ZoneId,
        reader: LedgerReader,
        appender: Appender,
        roster: Roster,
        router: Router,
        metrics: Metrics,
    ) -> None:
        self.name = name
        self.zone = zone
        self.reader = reader
        self.appender = appender
        self.roster = roster
        self.router = router
        self.metrics = metrics
        self.stopping = False
        self._lock = threading.Lock()
        self._keys = KeyIndex(self.config)
        self._rate_limits = RateLimits()
        self._queue_limits = QueueLimits()
        self._in_flight = 0
        self._waiters = 0

    @property
    def config(self) -> Config:
        """The configuration in force at this entry."""
        return self.reader.ledger.config

    @property
    def keys(self) -> KeyIndex:
        """The API keys of callers and operators in the configuration in force."""
        config = self.config
        if self._keys.config is not config:
            self._keys = KeyIndex(config)
        return self._keys

    def respond(self, work: Callable[[], Result[T, Refusal]], success_status: int = 200) -> bytes:
        """Run `work` and encode its result or refusal as a JSON response body."""
        result = work()
        if result.is_error():
            return self.refuse(result.error)
        cherrypy.response.headers["Content-Type"] = "application/json"
        cherrypy.response.status = success_status
        return msgspec.json.encode(result.ok)

    def refuse(self, refusal: Refusal) -> bytes:
        """Encode a refusal as a JSON response body and count it."""
        self.metrics.count_refusal(refusal.reason)
        response = cherrypy.response
        response.headers["Content-Type"] = "application/json"
        response.status = http_status(refusal)
        if refusal.retry_after_s:
            response.headers["Retry-After"] = str(refusal.retry_after_s)
        if refusal.reason is RefusalReason.UNAUTHORISED:
            response.headers["WWW-Authenticate"] = "Bearer"
        return msgspec.json.encode(refusal)

    def refuse_method(self, *allowed: str) -> bytes:
        """Refuse the method of the request with status 405."""
        body = self.refuse(
            not_run(
                RefusalReason.MALFORMED,
                f"method {cherrypy.request.method} is not supported here",
                f"use {' or '.join(allowed)}",
            )
        )
        cherrypy.response.status = 405
        cherrypy.response.headers["Allow"] = ", ".join(allowed)
        return body

    def error_page(self, status: int, message: str) -> dict[str, object]:
        """The refusal for an error that the HTTP library detected; it is counted like any other."""
        if status >= 500:
            refusal = may_have_run(
                RefusalReason.INTERNAL,
                "the entry met an unexpected error on this request",
                "check its effect before sending it again, and report this as a bug",
            )
        else:
            reason = _REASON_BY_HTTP_STATUS.get(status, RefusalReason.MALFORMED)
            refusal = not_run(reason, message, "correct the request")
        self.metrics.count_refusal(refusal.reason)
        encoded: dict[str, object] = msgspec.to_builtins(refusal)
        return encoded

    def with_admission(
        self, label: str, work: Callable[[], Result[T, Refusal]]
    ) -> Callable[[], Result[T, Refusal]]:
        """Wrap new work: refuse it while stopping or overloaded, and record its latency.

        The entry is overloaded while MAX_IN_FLIGHT_REQUESTS requests are in progress.
        """

        def run_admitted() -> Result[T, Refusal]:
            with self._lock:
                refusal = self._admission_refusal()
                if refusal is None:
                    self._in_flight += 1
            if refusal is not None:
                return Error(refusal)
            started = time.monotonic()
            try:
                return work()
            finally:
                self.metrics.record_latency(label, time.monotonic() - started)
                with self._lock:
                    self._in_flight -= 1

        return run_admitted

    def _admission_refusal(self) -> Refusal | None:
        if self.stopping:
            return not_run(
                RefusalReason.SHUTTING_DOWN,
                "this entry is shutting down",
                "connect again to reach another entry",
                1,
            )
        if self._in_flight >= MAX_IN_FLIGHT_REQUESTS:
            return not_run(
                RefusalReason.SHED,
                f"this entry already serves {MAX_IN_FLIGHT_REQUESTS} requests, which is its limit",
                "try again later, or through another entry",
                1,
            )
        return None

    @contextmanager
    def reserve_waiter(self) -> Iterator[bool]:
        """Reserve a thread for a waiting caller; yields False if MAX_WAITERS already wait."""
        with self._lock:
            may_wait = self._waiters < MAX_WAITERS
            self._waiters += may_wait
        try:
            yield may_wait
        finally:
            with self._lock:
                self._waiters -= may_wait

    def read_body(self, max_bytes: int) -> Result[bytes, Refusal]:
        """Read the whole body; one of more than `limit` bytes is refused."""
        try:
            data = cherrypy.request.body.read(max_bytes + 1) or b""
        except TimeoutError:
            return Error(
                not_run(
                    RefusalReason.SLOW_SENDER, "the body did not arrive in time", "send it faster"
                )
            )
        except OSError as exc:
            # cheroot reports a chunked body above the server's limit as a plain OSError, which
            # differs from a broken connection only in its message.
            if str(exc) == _CHEROOT_TOO_LARGE_MESSAGE:
                return Error(_too_large(max_bytes))
            return Error(_malformed("the connection closed before the whole body arrived"))
        except ValueError as exc:
            return Error(_malformed(f"the framing of the body is invalid: {exc}"))
        if len(data) > max_bytes:
            return Error(_too_large(max_bytes))
        declared = cherrypy.request.headers.get("Content-Length")
        if declared is not None and int(declared) != len(data):
            return Error(_malformed(f"the body is incomplete: got {len(data)} of {declared} bytes"))
        return Ok(data)

    def decode_body(self, body_type: type[T], max_bytes: int) -> Result[T, Refusal]:
        """Read and decode the JSON body of the request."""
        data = self.read_body(max_bytes)
        if data.is_error():
            return Error(data.error)
        try:
            return Ok(msgspec.json.decode(data.ok, type=body_type))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
            return Error(_malformed(f"malformed body: {exc}"))

    def authenticate_caller(self) -> Result[Caller, Refusal]:
        """The caller whose key the request carries."""
        key = bearer_key(cherrypy.request.headers.get("Authorization"))
        caller = self.keys.caller(key)
        return Ok(caller) if caller else Error(unauthorised("caller"))

    def authenticate_operator(self, keys: KeyIndex | None = None) -> Result[Operator, Refusal]:
        """The operator whose key the request carries, by default in the configuration in force."""
        key = bearer_key(cherrypy.request.headers.get("Authorization"))
        operator = (keys or self.keys).operator(key)
        return Ok(operator) if operator else Error(unauthorised("operator"))

    def apply_rate_limit(self, caller: Caller) -> Refusal | None:
        """Take a rate-limit token of the caller and its organisation, or refuse."""
        config = self.config
        organisation = config.organisations[caller.organisation]
        entries = len(self.reader.ledger.state.entries)
        with self._lock:
            return self._rate_limits.take_token(organisation, caller, entries, clock())

    def apply_queue_limit(self, caller: Caller) -> Refusal | None:
        """Count one more queued job of the caller and its organisation, or refuse."""
        organisation = self.config.organisations[caller.organisation]
        now = clock()
        with self._lock:
            if self._queue_limits.is_stale(now):
                self._queue_limits.recount(self._queued_job_owners(), now)
            return self._queue_limits.admit(organisation, caller)

    def _queued_job_owners(self) -> list[tuple]:
        with self.reader.lock:
            return [
                (entry.job.organisation, entry.job.caller)
                for entry in self.reader.ledger.state.jobs.values()
                if entry.state is JobState.QUEUED
            ]

    def append(
        self, body: AnyBody, timeout_s: float = APPEND_TIMEOUT_S
    ) -> Result[AppendResult, Refusal]:
        """Append a record to the log and wait until the ledger has accepted or rejected it."""
        if not self.reader.log_up:
            return Error(log_unavailable())
        outcome = self.appender.submit(body, timeout_s).result()
        if outcome.verdict is None and not outcome.was_sent:
            return Error(log_unavailable())
        if outcome.verdict is None:
            return Error(
                may_have_run(
                    RefusalReason.MAY_HAVE_RUN,
                    f"the log did not confirm the record within {timeout_s:.1f} s",
                    "submit again with the same key, or look the key up",
                )
            )
        return Ok(outcome)


def parse_seconds(text: str, name: str, limit_s: float) -> Result[float, Refusal]:
    """Parse a parameter in seconds; larger values are reduced to `limit_s`."""
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not value >= 0:
        return Error(_malformed(f"'{name}' must be a number of seconds, 0 or more"))
    return Ok(min(value, limit_s))


def _malformed(message: str) -> Refusal:
    return not_run(RefusalReason.MALFORMED, message, "correct the request")


def _too_large(max_bytes: int) -> Refusal:
    return not_run(RefusalReason.TOO_LARGE, f"the body exceeds {max_bytes} bytes", "shorten it")


def log_unavailable() -> Refusal:
    """The refusal while the platform's log is unavailable; nothing was appended."""
    return not_run(
        RefusalReason.LOG_DOWN, "the platform's log is unavailable", "try again later", 5
    )


def unauthorised(role: str) -> Refusal:
    """The refusal of a key that belongs to no `role`."""
    return not_run(
        RefusalReason.UNAUTHORISED,
        f"no {role} has this key",
        "send 'Authorization: Bearer KEY' with a key from the configuration",
    )
