"""Short requests over HTTP: one runner's whole answer, at most once where that is asked for."""

import hashlib
import threading
import time
import uuid
from collections import OrderedDict
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

import cherrypy
import msgspec
from expression import Error, Ok, Result

from comfreyshelf.config import Caller, Config, Service
from comfreyshelf.errors import Execution, Refusal, may_have_run, not_run
from comfreyshelf.front import APPEND_TIMEOUT_S, Front, log_down
from comfreyshelf.hop import HOP_HEADER, HOP_REASONS, Forwarded, Forwarder
from comfreyshelf.ids import EntryId, RequestId, ServiceId
from comfreyshelf.model import MAX_PAYLOAD_BYTES
from comfreyshelf.reasons import RefusalReason
from comfreyshelf.records import RequestStarted
from comfreyshelf.retries import deadline_passed, parse_deadline_s
from comfreyshelf.router import Call

MAX_KEY_LENGTH = 200
# With answers of at most 64 KiB this bounds the memory for kept answers to 32 MiB.
MAX_KEPT = 512
KEPT_S = 600.0

Answer = Result[bytes, Refusal]
CallerKey = tuple[str, str, str]


class Kept(msgspec.Struct, frozen=True):
    """A keyed request of this entry: what it asked for, and its answer once there is one."""

    content: str
    answer: "Future[Answer]"
    since: float


class KeptAnswers:
    """Answers of keyed requests that this entry ran, the oldest dropped first."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._kept: OrderedDict[CallerKey, Kept] = OrderedDict()

    def claim(self, key: CallerKey, content: str, now: float) -> tuple[Kept, bool]:
        """The request with this key, and whether the claim is the first one here."""
        with self._lock:
            self._expire(now)
            known = self._kept.get(key)
            if known is not None:
                return known, False
            kept = self._kept[key] = Kept(content, Future(), now)
            return kept, True

    def drop(self, key: CallerKey) -> None:
        """Forget a key whose request is known not to have used it."""
        with self._lock:
            self._kept.pop(key, None)

    def _expire(self, now: float) -> None:
        while self._kept:
            key, oldest = next(iter(self._kept.items()))
            is_old = now - oldest.since > KEPT_S or len(self._kept) >= MAX_KEPT
            if not is_old or not oldest.answer.done():
                return
            del self._kept[key]


class Ask(msgspec.Struct, frozen=True):
    """A checked request of a caller; `until` is its deadline in monotonic seconds.

    The whole request uses the `config` that it was checked against. `forwarded` tells that another
    entry sent it, and `authorization` carries the caller's key to another entry.
    """

    config: Config
    caller: Caller
    service: Service
    body: bytes
    until: float
    idempotent: bool
    is_short: bool
    key: str
    authorization: str
    forwarded: bool


class Services:
    """`/v1/services/NAME/requests`: send a short request to a runner."""

    def __init__(self, front: Front, forwarder: Forwarder | None = None) -> None:
        self._front = front
        self._forwarder = forwarder
        self._kept = KeptAnswers()

    def _cp_dispatch(self, vpath: list[str]) -> "Services | None":
        if len(vpath) == 2 and vpath[1] == "requests":
            cherrypy.request.params["service"] = vpath.pop(0)
            vpath.pop(0)
            return self
        return None

    @cherrypy.expose
    def index(self, service: str = "") -> bytes:
        """Send the body to a runner and answer with the runner's bytes."""
        if not service:
            raise cherrypy.NotFound
        if cherrypy.request.method != "POST":
            return self._front.wrong_method("POST")
        result = self._front.working("request", lambda: self._serve(ServiceId(service)))()
        if result.is_error():
            return self._front.refuse(result.error)
        cherrypy.response.headers["Content-Type"] = "application/octet-stream"
        digest = hashlib.sha256(result.ok).hexdigest()
        cherrypy.response.headers["Digest"] = f"sha-256={digest}"
        return result.ok

    def _serve(self, service: ServiceId) -> Answer:
        ask = self._read(service)
        if ask.is_error():
            return Error(ask.error)
        if ask.ok.key and not ask.ok.idempotent:
            return self._once(ask.ok)
        return self._call(ask.ok)

    def _read(self, service: ServiceId) -> Result[Ask, Refusal]:
        """Check everything about a request before anything is done for it."""
        caller = self._front.caller()
        if caller.is_error():
            return Error(caller.error)
        config = self._front.config
        known = config.services.get(service)
        if known is None:
            return Error(
                not_run(RefusalReason.UNKNOWN_SERVICE, "no such service", "check the name")
            )
        limited = self._front.limit_rate(caller.ok)
        if limited is not None:
            return Error(limited)
        headers = cherrypy.request.headers
        allowed = parse_deadline_s(headers.get("Deadline-Ms"), known.timeout_s)
        if allowed.is_error():
            return Error(allowed.error)
        until = time.monotonic() + allowed.ok
        idempotent = headers.get("Idempotent", "yes").strip().lower()
        key = headers.get("Idempotency-Key", "")
        if idempotent not in ("yes", "no") or len(key) > MAX_KEY_LENGTH:
            return Error(
                not_run(
                    RefusalReason.MALFORMED,
                    "'Idempotent' or 'Idempotency-Key' is not valid",
                    f"give yes or no, and a key of at most {MAX_KEY_LENGTH} characters",
                )
            )
        body = self._front.body_bytes(MAX_PAYLOAD_BYTES)
        if body.is_error():
            return Error(body.error)
        digest = headers.get("Digest", "").removeprefix("sha-256=")
        if digest and digest != hashlib.sha256(body.ok).hexdigest():
            return Error(
                not_run(
                    RefusalReason.MALFORMED,
                    "the body does not match 'Digest'",
                    "give 'sha-256=' and the hex digest of the body, and send it again",
                )
            )
        is_short = allowed.ok < known.timeout_s
        return Ok(
            Ask(
                config,
                caller.ok,
                known,
                body.ok,
                until,
                idempotent == "yes",
                is_short,
                key,
                headers.get("Authorization", ""),
                HOP_HEADER in headers,
            )
        )

    def _call(self, ask: Ask) -> Answer:
        call = Call(
            RequestId(uuid.uuid4().hex),
            ask.caller.organisation,
            ask.service.id,
            ask.body,
            ask.until,
            ask.idempotent,
            ask.is_short,
        )
        answer = self._front.router.call(ask.config, call)
        if answer.is_ok() or not self._may_hop(ask, answer.error):
            return answer
        return self._hop(ask, answer.error)

    def _hop(self, ask: Ask, refusal: Refusal) -> Answer:
        assert self._forwarder is not None
        request = Forwarded(ask.service.id, ask.body, ask.until, ask.idempotent, ask.authorization)
        return self._forwarder.forward(ask.config, request, refusal)

    def _has_candidates(self, ask: Ask) -> bool:
        return self._forwarder is not None and bool(self._forwarder.candidates(ask.config))

    def _may_hop(self, ask: Ask, refusal: Refusal) -> bool:
        """Whether another entry may serve a request that no runner here has started."""
        return (
            self._forwarder is not None
            and not ask.forwarded
            and refusal.execution is Execution.NOT_RUN
            and refusal.reason in HOP_REASONS
        )

    def _once(self, ask: Ask) -> Answer:
        """Run a keyed non-idempotent request, unless any entry has started it before."""
        key = (ask.caller.organisation, ask.caller.id, ask.key)
        content = hashlib.sha256(ask.service.id.encode() + b"\0" + ask.body).hexdigest()
        kept, is_first = self._kept.claim(key, content, time.monotonic())
        if kept.content != content:
            return Error(_key_conflict())
        if not is_first:
            return _wait_for(kept, ask.until)
        answer: Answer = Error(_maybe_started())
        try:
            answer = self._start(ask, lambda: self._kept.drop(key))
        finally:
            kept.answer.set_result(answer)
        return answer

    def _start(self, ask: Ask, forget: Callable[[], None]) -> Answer:
        """Append the record of the key, then run; `forget` is called if the key stays unused."""
        refusal = self._front.router.check(ask.config, ask.service.id)
        if refusal is not None and self._may_hop(ask, refusal) and self._has_candidates(ask):
            refusal = None
        left_s = ask.until - time.monotonic()
        if refusal is None and left_s <= 0:
            refusal = deadline_passed()
        if refusal is None and not self._front.reader.log_up:
            refusal = log_down()
        if refusal is not None:
            forget()
            return Error(refusal)
        record = RequestStarted(
            ask.caller.organisation, ask.caller.id, ask.key, EntryId(self._front.name)
        )
        outcome = self._front.append(record, min(left_s, APPEND_TIMEOUT_S))
        if outcome.is_error():
            # The record may still be read, but the request itself was never sent.
            forget()
            return Error(_not_recorded())
        verdict = outcome.ok.verdict
        if verdict is None or not verdict.accepted:
            forget()
            return Error(_maybe_started())
        answer = self._call(ask)
        return Error(_with_new_key(answer.error)) if answer.is_error() else answer


def _wait_for(kept: Kept, until: float) -> Answer:
    try:
        return kept.answer.result(max(0.0, until - time.monotonic()))
    except FutureTimeoutError:
        return Error(_maybe_started())


def _key_conflict() -> Refusal:
    return not_run(
        RefusalReason.KEY_CONFLICT,
        "the key names another request",
        "use a new key for a different request",
    )


def _maybe_started() -> Refusal:
    return may_have_run(
        RefusalReason.MAY_HAVE_RUN,
        "a request with this key was started before",
        "check its effect; use a new key only if it had none",
    )


def _with_new_key(refusal: Refusal) -> Refusal:
    """The key is used up even if the request did not run."""
    if refusal.execution is Execution.MAY_HAVE_RUN:
        return refusal
    return msgspec.structs.replace(refusal, remedy="send it again with a new key")


def _not_recorded() -> Refusal:
    return not_run(
        RefusalReason.LOG_DOWN,
        "the log did not confirm the record of the key, so the request was not sent",
        "send it again with a new key",
        5,
    )
