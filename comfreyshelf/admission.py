"""Admission of short requests to the local runners: slots, a waiting queue, and answers."""

import hashlib
from collections import Counter, OrderedDict

import msgspec

from comfreyshelf.ids import RequestId, TargetId
from comfreyshelf.messages import (
    DisproveStart,
    RequestAnswer,
    RunnerLoad,
    RunRequest,
    ServiceSlots,
    StartDisproved,
)
from comfreyshelf.model import MAX_RESULT_BYTES
from comfreyshelf.reasons import RefusalReason

DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64
TOMBSTONE_RETENTION_S = 600.0
# These limits keep the target process under its 256 MB. A tombstone takes about 0.4 KB.
MAX_TOMBSTONES = 60_000
MAX_WAITING_BYTES = 16 * 1024 * 1024
MAX_TOMBSTONE_BYTES = 16 * 1024 * 1024


class Admitted(msgspec.Struct, frozen=True):
    """A request that runs or waits; `deadline` is in seconds, `link` its entry's link."""

    request: RunRequest
    link: str
    deadline: float


class Answer(msgspec.Struct, frozen=True):
    """An answer to send on a link."""

    link: str
    message: RequestAnswer


class Tombstone(msgspec.Struct, frozen=True):
    """Tombstone of a request that was answered at `answered_at`."""

    answered_at: float
    message: RequestAnswer


Outcome = Admitted | Answer


class Admission:
    """Admits requests within the limits of each service.

    At most `slots` requests of a service run at once, and at most `connections` run or wait. A
    request that waits beyond its deadline is answered as never started. A tombstone is kept of
    every answer, so that a repeated or late request is not run again. Methods return the requests
    to run now (`Admitted`) and the answers to send (`Answer`).
    """

    def __init__(
        self,
        target: TargetId,
        incarnation: int,
        services: tuple[str, ...],
        counters: Counter[str],
    ) -> None:
        self._target = target
        self._incarnation = incarnation
        self._counters = counters
        self._limits = {
            name: ServiceSlots(name, DEFAULT_SLOTS, DEFAULT_CONNECTIONS) for name in services
        }
        self._running: dict[RequestId, Admitted] = {}
        self._waiting: OrderedDict[RequestId, Admitted] = OrderedDict()
        self._waiting_bytes = 0
        self._tombstones: OrderedDict[RequestId, Tombstone] = OrderedDict()
        self._tombstone_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request runs or waits."""
        return not self._running and not self._waiting

    def loads(self) -> tuple[RunnerLoad, ...]:
        """Load of each service."""
        running = Counter(item.request.service for item in self._running.values())
        waiting = Counter(item.request.service for item in self._waiting.values())
        return tuple(RunnerLoad(name, running[name], waiting[name]) for name in self._limits)

    def set_limits(self, limits: tuple[ServiceSlots, ...], now: float) -> list[Outcome]:
        """Apply new limits; returns the waiting requests that may now start."""
        for item in limits:
            if item.service in self._limits:
                self._limits[item.service] = item
        return self._start_waiting(now)

    def offer(self, request: RunRequest, now: float, link: str, is_leaving: bool) -> list[Outcome]:
        """Run, queue or refuse a request that arrived on `link`."""
        tombstone = self._tombstones.get(request.request)
        if tombstone is not None:
            return [Answer(link, tombstone.message)]
        if request.request in self._running or request.request in self._waiting:
            self._counters["request_repeated"] += 1
            return []
        reason = self._refusal_reason(request, is_leaving)
        if reason is not None:
            return [self._refuse(request, link, reason, now)]
        item = Admitted(request, link, now + request.timeout_s)
        self._waiting[request.request] = item
        self._waiting_bytes += len(request.body)
        return self._start_waiting(now)

    def finish(self, request: RequestId, ok: bool, body: bytes, now: float) -> list[Outcome]:
        """Answer a request that the runner ended, and start a waiting one in the free slot."""
        item = self._running.pop(request, None)
        if item is None:
            self._counters["request_end_ignored"] += 1
            return []
        reason = None
        if len(body) > MAX_RESULT_BYTES:
            ok, body, reason = False, b"", RefusalReason.TOO_LARGE
        digest = hashlib.sha256(body).hexdigest()
        answer = RequestAnswer(self._target, request, True, ok, body, digest, reason)
        self._add_tombstone(answer, now)
        return [Answer(item.link, answer), *self._start_waiting(now)]

    def disprove(self, message: DisproveStart, now: float) -> RequestAnswer | StartDisproved:
        """Prevent a request from ever starting, or report that it started or may have started.

        A request that was sent to an earlier incarnation may have started there.
        """
        request = message.request
        is_other_incarnation = message.incarnation not in (0, self._incarnation)
        if is_other_incarnation or request in self._running:
            return StartDisproved(self._target, request, False)
        tombstone = self._tombstones.get(request)
        if tombstone is not None and tombstone.message.started:
            return tombstone.message
        if tombstone is None:
            self._remove_waiting(request)
            reason = RefusalReason.OLD_TOKEN
            self._add_tombstone(RequestAnswer(self._target, request, False, reason=reason), now)
        return StartDisproved(self._target, request, True)

    def expire(self, now: float) -> list[Outcome]:
        """Answer waiting requests whose deadline passed, and drop old tombstones."""
        overdue = [item for item in self._waiting.values() if now >= item.deadline]
        outcomes: list[Outcome] = []
        for item in overdue:
            self._remove_waiting(item.request.request)
            outcomes.append(
                self._refuse(item.request, item.link, RefusalReason.DEADLINE_PASSED, now)
            )
        while self._tombstones:
            tombstone = next(iter(self._tombstones.values()))
            if now - tombstone.answered_at < TOMBSTONE_RETENTION_S:
                break
            self._evict_oldest_tombstone()
        return outcomes

    def _refusal_reason(self, request: RunRequest, is_leaving: bool) -> RefusalReason | None:
        limits = self._limits.get(request.service)
        if limits is None:
            return RefusalReason.UNKNOWN_SERVICE
        if request.digest and hashlib.sha256(request.body).hexdigest() != request.digest:
            return RefusalReason.MALFORMED
        if is_leaving:
            return RefusalReason.DRAINING
        if request.timeout_s <= 0:
            return RefusalReason.DEADLINE_PASSED
        if self._waiting_bytes + len(request.body) > MAX_WAITING_BYTES:
            return RefusalReason.QUEUE_FULL
        running, waiting = self._count_requests(request.service)
        # After the slots were reduced, more requests than slots may still run.
        if running + waiting >= limits.connections:
            return RefusalReason.OCCUPIED
        return None

    def _count_requests(self, service: str) -> tuple[int, int]:
        running = sum(1 for item in self._running.values() if item.request.service == service)
        waiting = sum(1 for item in self._waiting.values() if item.request.service == service)
        return running, waiting

    def _start_waiting(self, now: float) -> list[Outcome]:
        running = Counter(item.request.service for item in self._running.values())
        outcomes: list[Outcome] = []
        for item in list(self._waiting.values()):
            service = item.request.service
            if running[service] >= self._limits[service].slots:
                continue
            self._remove_waiting(item.request.request)
            if now >= item.deadline:
                reason = RefusalReason.DEADLINE_PASSED
                outcomes.append(self._refuse(item.request, item.link, reason, now))
                continue
            running[service] += 1
            self._running[item.request.request] = item
            outcomes.append(item)
        return outcomes

    def _remove_waiting(self, request: RequestId) -> None:
        item = self._waiting.pop(request, None)
        if item is not None:
            self._waiting_bytes -= len(item.request.body)

    def _refuse(self, request: RunRequest, link: str, reason: RefusalReason, now: float) -> Answer:
        self._counters[f"refused_{reason.value}"] += 1
        answer = RequestAnswer(self._target, request.request, False, reason=reason)
        self._add_tombstone(answer, now)
        return Answer(link, answer)

    def _add_tombstone(self, answer: RequestAnswer, now: float) -> None:
        self._tombstones[answer.request] = Tombstone(now, answer)
        self._tombstone_bytes += len(answer.body)
        while len(self._tombstones) > MAX_TOMBSTONES or self._tombstone_bytes > MAX_TOMBSTONE_BYTES:
            self._counters["request_tombstone_evicted"] += 1
            self._evict_oldest_tombstone()

    def _evict_oldest_tombstone(self) -> None:
        _, tombstone = self._tombstones.popitem(last=False)
        self._tombstone_bytes -= len(tombstone.message.body)
