"""Core of the target process: leases, fencing, reservations, held results, request admission."""

import hashlib
from collections import Counter, OrderedDict

import msgspec

from comfreyshelf.ids import Attempt, Epoch, JobId, RequestId, Version
from comfreyshelf.messages import (
    AnyMessage,
    Commit,
    DisproveStart,
    Forget,
    PartReport,
    Probe,
    Release,
    RequestAnswer,
    Reserve,
    ReserveAnswer,
    RunnerLoad,
    RunRequest,
    ServiceSlots,
    StartDisproved,
    Status,
    Stop,
    Welcome,
)
from comfreyshelf.model import HeldPart, Job, PartState, Placement, WorkerInfo
from comfreyshelf.reasons import RefusalReason

RESERVATION_S = 10.0
TOMBSTONE_S = 600.0
RESEND_RESULT_S = 5.0


class Action(msgspec.Struct, frozen=True):
    """Base of what the target process has to do."""


class Reply(Action, frozen=True):
    """Send a message back on the link that the handled message came from."""

    message: AnyMessage


class TellOwner(Action, frozen=True):
    """Send a message to the owner entry."""

    message: AnyMessage


class StartPart(Action, frozen=True):
    """Start a part on the worker."""

    job: Job
    attempt: Attempt
    placement: Placement


class StopPart(Action, frozen=True):
    """Stop a part on the worker, after a checkpoint if `checkpoint`."""

    job: JobId
    attempt: Attempt
    part: int
    checkpoint: bool


class RunProbe(Action, frozen=True):
    """Run a probe on the worker."""


class CallRunner(Action, frozen=True):
    """Send a request to the local runner."""

    request: RunRequest


class HeldAttempt(msgspec.Struct):
    """An attempt on this target; `since` is when it was reserved, in seconds."""

    job: Job
    attempt: Attempt
    placements: tuple[Placement, ...]
    since: float
    states: dict[int, PartState]
    reports: dict[int, PartReport] = {}
    reported_at: float = 0.0

    @property
    def mask(self) -> int:
        """Accelerators of the parts that have not ended."""
        mask = 0
        for placement in self.placements:
            if not self.states[placement.part].ended:
                mask |= placement.mask
        return mask


AttemptKey = tuple[JobId, Attempt]


class Agent:
    """Decides for one target; `handle` and `tick` take the time in seconds and return actions.

    What it refused it never starts later: refused attempts and requests leave a tombstone, and a
    new incarnation knows nothing of attempts that it did not reserve itself.
    """

    def __init__(self, worker: WorkerInfo, services: tuple[str, ...] = ()) -> None:
        self.worker = worker
        self.epoch = Epoch(0)
        self.version = Version(0)
        self.draining = False
        self.stopping = False
        self.lease_until = 0.0
        self.entries: tuple[str, ...] = ()
        self.counters: Counter[str] = Counter()
        self._held: dict[AttemptKey, HeldAttempt] = {}
        self._tombstones: OrderedDict[AttemptKey, float] = OrderedDict()
        self._limits = {service: ServiceSlots(service, 8, 64) for service in services}
        self._running: dict[RequestId, RunRequest] = {}
        self._answered: OrderedDict[RequestId, tuple[float, RequestAnswer]] = OrderedDict()

    @property
    def idle(self) -> bool:
        """Whether nothing runs, is reserved, or waits to be recorded here."""
        return not self._held and not self._running

    def status(self, now: float) -> Status:
        """The status to send now."""
        parts = tuple(
            HeldPart(held.job.id, held.attempt, placement.part, placement.mask, state)
            for held in self._held.values()
            for placement in held.placements
            if (state := held.states[placement.part])
        )
        running = Counter(request.service for request in self._running.values())
        runners = tuple(RunnerLoad(name, running[name]) for name in self._limits)
        return Status(
            self.worker,
            now,
            self.epoch,
            self.version,
            parts,
            runners,
            self.draining or self.stopping,
        )

    def handle(self, message: AnyMessage, now: float) -> list[Action]:
        """Apply one message from an entry."""
        match message:
            case Welcome():
                return self._on_welcome(message)
            case Reserve():
                return self._on_reserve(message, now)
            case Commit():
                return self._on_commit(message, now)
            case Release():
                return self._on_release(message, now)
            case Stop():
                return self._on_stop(message, now)
            case Forget():
                return self._on_forget(message, now)
            case Probe():
                return [RunProbe()]
            case RunRequest():
                return self._on_request(message, now)
            case DisproveStart():
                return self._on_disprove(message, now)
        self.counters["message_ignored"] += 1
        return []

    def tick(self, now: float) -> list[Action]:
        """Expire reservations and the lease, and send unrecorded results again."""
        actions: list[Action] = []
        for key, held in list(self._held.items()):
            if self._is_reserved(held) and now - held.since > RESERVATION_S:
                actions += self._drop_reservation(key, now)
            elif held.reports and now - held.reported_at > RESEND_RESULT_S:
                held.reported_at = now
                actions += [TellOwner(report) for report in held.reports.values()]
        if now > self.lease_until:
            actions += self._stop_all()
        self._expire(now)
        return actions

    def part_ended(
        self,
        job: JobId,
        attempt: Attempt,
        part: int,
        state: PartState,
        now: float,
        result: bytes = b"",
        run_s: float = 0.0,
        checkpointed: bool = False,
    ) -> list[Action]:
        """Note that the worker ended a part; its report is held until the owner forgets it."""
        held = self._held.get((job, attempt))
        if held is None or held.states[part].ended:
            return []
        return self._report(held, part, state, now, result, run_s, True, checkpointed)

    def request_ended(self, request: RequestId, ok: bool, body: bytes, now: float) -> list[Action]:
        """Note the runner's answer to a request."""
        if self._running.pop(request, None) is None:
            return []
        digest = hashlib.sha256(body).hexdigest()
        answer = RequestAnswer(self.worker.target, request, True, ok, body, digest)
        self._answered[request] = (now, answer)
        return [Reply(answer)]

    def _on_welcome(self, message: Welcome) -> list[Action]:
        if message.epoch < self.epoch or message.version < self.version:
            self.counters["refused_old_welcome"] += 1
            return []
        self.epoch = message.epoch
        self.version = message.version
        self.draining = message.draining
        self.entries = message.entries
        if message.lease_s > 0:
            self.lease_until = max(self.lease_until, message.echo + message.lease_s)
        for limits in message.services:
            if limits.service in self._limits:
                self._limits[limits.service] = limits
        return []

    def _on_reserve(self, message: Reserve, now: float) -> list[Action]:
        reason = self._reserve_refusal(message, now)
        key = (message.job.id, message.attempt)
        if reason is None and key not in self._held:
            states = {placement.part: PartState.RESERVED for placement in message.placements}
            self._held[key] = HeldAttempt(
                message.job, message.attempt, message.placements, now, states
            )
        if reason is not None:
            self.counters[f"refused_{reason.value}"] += 1
            self._tombstones[key] = now
        answer = ReserveAnswer(self.worker.target, message.job.id, message.attempt, reason)
        return [Reply(answer)]

    def _reserve_refusal(self, message: Reserve, now: float) -> RefusalReason | None:
        key = (message.job.id, message.attempt)
        if message.epoch < self.epoch:
            return RefusalReason.OLD_EPOCH
        if key in self._held:
            return None
        if key in self._tombstones:
            return RefusalReason.OLD_TOKEN
        if self.draining or self.stopping:
            return RefusalReason.DRAINING
        if now > self.lease_until:
            return RefusalReason.LEASE_LAPSED
        occupied = 0
        for held in self._held.values():
            occupied |= held.mask
        if any(occupied & placement.mask for placement in message.placements):
            return RefusalReason.OCCUPIED
        return None

    def _on_commit(self, message: Commit, now: float) -> list[Action]:
        held = self._held.get((message.job, message.attempt))
        if message.epoch < self.epoch:
            self.counters["refused_old_epoch"] += 1
            return []
        if held is None:
            self._tombstones[(message.job, message.attempt)] = now
            return []
        actions: list[Action] = []
        for placement in held.placements:
            if held.states[placement.part] is PartState.RESERVED:
                held.states[placement.part] = PartState.RUNNING
                actions.append(StartPart(held.job, held.attempt, placement))
        return actions

    def _on_release(self, message: Release, now: float) -> list[Action]:
        if message.epoch < self.epoch:
            self.counters["refused_old_epoch"] += 1
            return []
        key = (message.job, message.attempt)
        held = self._held.get(key)
        if held is None:
            self._tombstones[key] = now
            return []
        if self._is_reserved(held):
            del self._held[key]
            self._tombstones[key] = now
        return []

    def _on_stop(self, message: Stop, now: float) -> list[Action]:
        if message.epoch < self.epoch:
            self.counters["refused_old_epoch"] += 1
            return []
        key = (message.job, message.attempt)
        held = self._held.get(key)
        if held is None:
            return []
        if self._is_reserved(held):
            # The stop overtook its commit, or the commit was lost; neither may start it now.
            return self._drop_reservation(key, now)
        return self._stop_held(held, message.checkpoint)

    def _stop_held(self, held: HeldAttempt, checkpoint: bool) -> list[Action]:
        actions: list[Action] = []
        for part, state in held.states.items():
            if state is PartState.RUNNING:
                if checkpoint:
                    held.states[part] = PartState.CHECKPOINTING
                actions.append(StopPart(held.job.id, held.attempt, part, checkpoint))
        return actions

    def _stop_all(self) -> list[Action]:
        actions: list[Action] = []
        for held in self._held.values():
            stops = self._stop_held(held, held.job.preemptible)
            self.counters["lease_lapsed"] += len(stops)
            actions += stops
        return actions

    def _on_forget(self, message: Forget, now: float) -> list[Action]:
        if message.epoch < self.epoch:
            self.counters["refused_old_epoch"] += 1
            return []
        key = (message.job, message.attempt)
        held = self._held.get(key)
        self._tombstones[key] = now
        if held is not None and all(state.ended for state in held.states.values()):
            del self._held[key]
        return []

    def _drop_reservation(self, key: AttemptKey, now: float) -> list[Action]:
        held = self._held[key]
        self._tombstones[key] = now
        self.counters["reservation_expired"] += 1
        actions: list[Action] = []
        for part in held.states:
            actions += self._report(held, part, PartState.STOPPED, now, started=False)
        return actions

    def _report(
        self,
        held: HeldAttempt,
        part: int,
        state: PartState,
        now: float,
        result: bytes = b"",
        run_s: float = 0.0,
        started: bool = True,
        checkpointed: bool = False,
    ) -> list[Action]:
        held.states[part] = state
        report = PartReport(
            self.worker.target,
            held.job.id,
            held.attempt,
            part,
            state,
            result,
            run_s,
            started,
            checkpointed,
        )
        held.reports = held.reports | {part: report}
        held.reported_at = now
        return [TellOwner(report)]

    @staticmethod
    def _is_reserved(held: HeldAttempt) -> bool:
        return all(state is PartState.RESERVED for state in held.states.values())

    def _on_request(self, message: RunRequest, now: float) -> list[Action]:
        done = self._answered.get(message.request)
        if done is not None:
            return [Reply(done[1])]
        if message.request in self._running:
            return []
        reason = self._request_refusal(message)
        if reason is not None:
            self.counters[f"refused_{reason.value}"] += 1
            answer = RequestAnswer(self.worker.target, message.request, False, reason=reason)
            self._answered[message.request] = (now, answer)
            return [Reply(answer)]
        self._running[message.request] = message
        return [CallRunner(message)]

    def _request_refusal(self, message: RunRequest) -> RefusalReason | None:
        limits = self._limits.get(message.service)
        if limits is None:
            return RefusalReason.UNKNOWN_SERVICE
        if self.draining or self.stopping:
            return RefusalReason.DRAINING
        running = sum(1 for other in self._running.values() if other.service == message.service)
        return RefusalReason.OCCUPIED if running >= limits.slots else None

    def _on_disprove(self, message: DisproveStart, now: float) -> list[Action]:
        target = self.worker.target
        if message.request in self._running:
            return [Reply(StartDisproved(target, message.request, False))]
        done = self._answered.get(message.request)
        if done is not None and done[1].started:
            return [Reply(done[1])]
        if done is None:
            refusal = RequestAnswer(target, message.request, False, reason=RefusalReason.OLD_TOKEN)
            self._answered[message.request] = (now, refusal)
        return [Reply(StartDisproved(target, message.request, True))]

    def _expire(self, now: float) -> None:
        while self._tombstones:
            key, since = next(iter(self._tombstones.items()))
            if now - since < TOMBSTONE_S:
                break
            del self._tombstones[key]
        while self._answered:
            request, (since, _) = next(iter(self._answered.items()))
            if now - since < TOMBSTONE_S:
                break
            del self._answered[request]
