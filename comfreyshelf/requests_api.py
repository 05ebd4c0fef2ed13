"""HTTP API of short requests; a request that is not idempotent runs at most once per key."""

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
from comfreyshelf.forwarding import FORWARDABLE_REASONS, FORWARDED_BY_HEADER, Forwarded, Forwarder
from comfreyshelf.front import APPEND_TIMEOUT_S, FrontEnd, log_unavailable
from comfreyshelf.ids import EntryId, RequestId, ServiceId
from comfreyshelf.model import MAX_PAYLOAD_BYTES
from comfreyshelf.reasons import RefusalReason
from comfreyshelf.records import RequestStarted
from comfreyshelf.retries import deadline_passed, parse_deadline_s
from comfreyshelf.router import Call

MAX_KEY_LENGTH = 200
# Bounds the memory for cached answers to 32 MiB, as an answer has at most 64 KiB.
MAX_CACHED_ANSWERS = 512
ANSWER_RETENTION_S = 600.0

Answer = Result[bytes, Refusal]
IdempotencyKey = tuple[str, str, str]


class KeyedRequest(msgspec.Struct, frozen=True):
    """A request with an idempotency key: the digest of its content, and its answer once known."""

    content_digest: str
    answer: "Future[Answer]"
    claimed_at: float


class IdempotencyCache:
    """Requests that this entry received with an idempotency key, and their answers.

    The oldest answered requests are evicted first.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._requests: OrderedDict[IdempotencyKey, KeyedRequest] = OrderedDict()

    def claim(
        self, key: IdempotencyKey, content_digest: str, now: float
    ) -> tuple[KeyedRequest, bool]:
        """Return the request with this key, and whether this is the first claim at this entry."""
        with self._lock:
            self._evict(now)
            known = self._requests.get(key)
            if known is not None:
                return known, False
            request = self._requests[key] = KeyedRequest(content_digest, Future(), now)
            return request, True

    def drop(self, key: IdempotencyKey) -> None:
        """Remove a key whose request was not started here, so that it can be claimed again."""
        with self._lock:
            self._requests.pop(key, None)

    def _evict(self, now: float) -> None:
        while self._requests:
            key, oldest = next(iter(self._requests.items()))
            can_evict = (
                now - oldest.claimed_at > ANSWER_RETENTION_S
                or len(self._requests) >= MAX_CACHED_ANSWERS
            )
            if not can_evict or not oldest.answer.done():
                return
            del self._requests[key]


class CheckedRequest(msgspec.Struct, frozen=True):
    """A validated request of a caller; `deadline` is in monotonic seconds.

    All attempts use the `config` that the request was validated against. `has_short_deadline` tells
    that the caller allows less time than the service's timeout, `is_forwarded` that another entry
    sent the request. `authorization` carries the caller's key if the request is forwarded.
    """

    config: Config
    caller: Caller
    service: Service
    body: bytes
    deadline: float
    idempotent: bool
    has_short_deadline: bool
    key: str
    authorization: str
    is_forwarded: bool


class Services:
    """`/v1/services/NAME/requests`: send a short request to a runner."""

    def __init__(self, front: FrontEnd, forwarder: Forwarder | None = None) -> None:
        self._front = front
        self._forwarder = forwarder
        self._keyed_requests = IdempotencyCache()

    def _cp_dispatch(self, vpath: list[str]) -> "Services | None":
        if len(vpath) == 2 and vpath[1] == "requests":
            cherrypy.request.params["service"] = vpath.pop(0)
            vpath.pop(0)
            return self
        return None

    @cherrypy.expose
    def index(self, service: str = "") -> bytes:
        """Send the body to a runner and respond with the bytes of its answer."""
        if not service:
            raise cherrypy.NotFound
        if cherrypy.request.method != "POST":
            return self._front.refuse_method("POST")
        result = self._front.with_admission("request", lambda: self._serve(ServiceId(service)))()
        if result.is_error():
            return self._front.refuse(result.error)
        cherrypy.response.headers["Content-Type"] = "application/octet-stream"
        digest = hashlib.sha256(result.ok).hexdigest()
        cherrypy.response.headers["Digest"] = f"sha-256={digest}"
        return result.ok

    def _serve(self, service: ServiceId) -> Answer:
        request = self._check_request(service)
        if request.is_error():
            return Error(request.error)
        if request.ok.key and not request.ok.idempotent:
            return self._call_once(request.ok)
        return self._call(request.ok)

    def _check_request(self, service: ServiceId) -> Result[CheckedRequest, Refusal]:
        """Validate a request completely before any work is done for it."""
        caller = self._front.authenticate_caller()
        if caller.is_error():
            return Error(caller.error)
        config = self._front.config
        service_config = config.services.get(service)
        if service_config is None:
            return Error(
                not_run(
                    RefusalReason.UNKNOWN_SERVICE,
                    "the service is unknown",
                    "check its name",
                )
            )
        rate_refusal = self._front.apply_rate_limit(caller.ok)
        if rate_refusal is not None:
            return Error(rate_refusal)
        headers = cherrypy.request.headers
        timeout_s = parse_deadline_s(headers.get("Deadline-Ms"), service_config.timeout_s)
        if timeout_s.is_error():
            return Error(timeout_s.error)
        deadline = time.monotonic() + timeout_s.ok
        idempotent = headers.get("Idempotent", "yes").strip().lower()
        key = headers.get("Idempotency-Key", "")
        if idempotent not in ("yes", "no") or len(key) > MAX_KEY_LENGTH:
            return Error(
                not_run(
                    RefusalReason.MALFORMED,
                    "'Idempotent' or 'Idempotency-Key' is not valid",
                    f"send yes or no, and a key of at most {MAX_KEY_LENGTH} characters",
                )
            )
        body = self._front.read_body(MAX_PAYLOAD_BYTES)
        if body.is_error():
            return Error(body.error)
        digest = headers.get("Digest", "").removeprefix("sha-256=")
        if digest and digest != hashlib.sha256(body.ok).hexdigest():
            return Error(
                not_run(
                    RefusalReason.MALFORMED,
                    "the body does not match 'Digest'",
                    "send 'sha-256=' and the hex digest of the body",
                )
            )
        has_short_deadline = timeout_s.ok < service_config.timeout_s
        return Ok(
            CheckedRequest(
                config,
                caller.ok,
                service_config,
                body.ok,
                deadline,
                idempotent == "yes",
                has_short_deadline,
                key,
                headers.get("Authorization", ""),
                FORWARDED_BY_HEADER in headers,
            )
        )

    def _call(self, request: CheckedRequest) -> Answer:
        call = Call(
            RequestId(uuid.uuid4().hex),
            request.caller.organisation,
            request.service.id,
            request.body,
            request.deadline,
            request.idempotent,
            request.has_short_deadline,
        )
        answer = self._front.router.call(request.config, call)
        if answer.is_ok() or not self._can_forward(request, answer.error):
            return answer
        return self._forward(request, answer.error)

    def _forward(self, request: CheckedRequest, refusal: Refusal) -> Answer:
        assert self._forwarder is not None
        forwarded = Forwarded(
            request.service.id,
            request.body,
            request.deadline,
            request.idempotent,
            request.authorization,
        )
        return self._forwarder.forward(request.config, forwarded, refusal)

    def _has_other_entries(self, request: CheckedRequest) -> bool:
        return self._forwarder is not None and bool(self._forwarder.candidates(request.config))

    def _can_forward(self, request: CheckedRequest, refusal: Refusal) -> bool:
        """Whether another entry may serve a request that no runner here has started."""
        return (
            self._forwarder is not None
            and not request.is_forwarded
            and refusal.execution is Execution.NOT_RUN
            and refusal.reason in FORWARDABLE_REASONS
        )

    def _call_once(self, request: CheckedRequest) -> Answer:
        """Run a keyed non-idempotent request, unless an entry has already started it."""
        key = (request.caller.organisation, request.caller.id, request.key)
        content_digest = hashlib.sha256(
            request.service.id.encode() + b"\0" + request.body
        ).hexdigest()
        keyed, is_first = self._keyed_requests.claim(key, content_digest, time.monotonic())
        if keyed.content_digest != content_digest:
            return Error(_key_conflict())
        if not is_first:
            return _wait_for_answer(keyed, request.deadline)
        answer: Answer = Error(_may_have_started())
        try:
            answer = self._record_and_call(request, lambda: self._keyed_requests.drop(key))
        finally:
            keyed.answer.set_result(answer)
        return answer

    def _record_and_call(self, request: CheckedRequest, release_key: Callable[[], None]) -> Answer:
        """Record the key in the log, then run the request.

        Calls `release_key` if the request is not started here, so that it can be claimed again.
        """
        refusal = self._front.router.check(request.config, request.service.id)
        if (
            refusal is not None
            and self._can_forward(request, refusal)
            and self._has_other_entries(request)
        ):
            refusal = None
        remaining_s = request.deadline - time.monotonic()
        if refusal is None and remaining_s <= 0:
            refusal = deadline_passed()
        if refusal is None and not self._front.reader.log_up:
            refusal = log_unavailable()
        if refusal is not None:
            release_key()
            return Error(refusal)
        record = RequestStarted(
            request.caller.organisation, request.caller.id, request.key, EntryId(self._front.name)
        )
        outcome = self._front.append(record, min(remaining_s, APPEND_TIMEOUT_S))
        if outcome.is_error():
            # The record may still reach the log, but the request itself was never sent.
            release_key()
            return Error(_not_recorded())
        verdict = outcome.ok.verdict
        if verdict is None or not verdict.accepted:
            release_key()
            return Error(_may_have_started())
        answer = self._call(request)
        return Error(_with_new_key_remedy(answer.error)) if answer.is_error() else answer


def _wait_for_answer(keyed: KeyedRequest, deadline: float) -> Answer:
    try:
        return keyed.answer.result(max(0.0, deadline - time.monotonic()))
    except FutureTimeoutError:
        return Error(_may_have_started())


def _key_conflict() -> Refusal:
    return not_run(
        RefusalReason.KEY_CONFLICT,
        "the key already belongs to a different request",
        "use a new key for this request",
    )


def _may_have_started() -> Refusal:
    return may_have_run(
        RefusalReason.MAY_HAVE_RUN,
        "a request with this key may already have started",
        "check its effect; use a new key only if it had none",
    )


def _with_new_key_remedy(refusal: Refusal) -> Refusal:
    """Tell the caller to use a new key, as the recorded one is used up though nothing ran."""
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
