"""The scheduler core of one domain: typed events in, typed commands out."""

import hashlib
from collections import Counter

from comfreyshelf.commands import (
    AppendRecord,
    Command,
    CommitParts,
    CountRetry,
    ForgetParts,
    ReleaseParts,
    ReserveParts,
    StopParts,
)
from comfreyshelf.config import EMPTY_CONFIG, Config
from comfreyshelf.events import (
    ConfigInForce,
    Event,
    JobClosed,
    JobQueued,
    JobResumed,
    LogState,
    PartEnded,
    Reserved,
    ReserveRefused,
    StartRecorded,
    Tick,
    WorkerLost,
    WorkerSeen,
)
from comfreyshelf.gangs import Gang, Part, Phase
from comfreyshelf.ids import Attempt, DomainId, Epoch, JobId, TargetId
from comfreyshelf.model import AttemptOutcome, HeldPart, Job, PartState, WorkerInfo
from comfreyshelf.placement import FirstFit, Placer
from comfreyshelf.queueing import Queue
from comfreyshelf.reasons import RetryReason
from comfreyshelf.records import AttemptEnded, AttemptStarted, JobFinished
from comfreyshelf.topology import Topology

RESERVE_TIMEOUT_S = 3.0
AVOID_AFTER_REFUSAL_S = 5.0
# A status may have been sent before the newest command arrived, so differences are only acted on
# after this time.
RECONCILE_AFTER_S = 6.0
# Each epoch numbers attempts in a range of its own. During an outage of the log an attempt may run
# without a record, so the next owner cannot know its number and must not use it again.
ATTEMPTS_PER_EPOCH = 10_000

_RETRY_OF_OUTCOME = {
    AttemptOutcome.PREEMPTED: RetryReason.PREEMPTED,
    AttemptOutcome.DRAINED: RetryReason.DRAINED,
    AttemptOutcome.FAILED: RetryReason.PART_FAILED,
    AttemptOutcome.TARGET_LOST: RetryReason.TARGET_LOST,
    AttemptOutcome.NEVER_STARTED: RetryReason.RESERVE_TIMEOUT,
}


class Scheduler:
    """Decides for one domain under one epoch.

    `handle` takes an event and the time in seconds and returns the commands to carry out, in
    order. It reads no clock and does no input or output, so daemons, fakes and history checks
    drive the same code.
    """

    def __init__(self, domain: DomainId, epoch: Epoch, placer: Placer | None = None) -> None:
        self.domain = domain
        self.epoch = epoch
        self.config: Config = EMPTY_CONFIG
        self.topology = Topology()
        self.queue = Queue()
        self.gangs: dict[JobId, Gang] = {}
        self.counters: Counter[str] = Counter()
        self._placer = placer or FirstFit()
        self._attempts: dict[JobId, Attempt] = {}
        self._avoided: dict[TargetId, float] = {}
        self._closed: set[JobId] = set()
        self._log_up = True
        self._dirty = False
        self._commands: list[Command] = []

    def handle(self, event: Event, now: float) -> list[Command]:
        """Apply one event at time `now` and return the resulting commands."""
        self._dispatch(event, now)
        if self._dirty:
            self._dirty = False
            self._schedule(now)
        commands = self._commands
        self._commands = []
        return commands

    def _dispatch(self, event: Event, now: float) -> None:
        match event:
            case ConfigInForce():
                self._on_config(event)
            case WorkerSeen():
                self._on_worker_seen(event, now)
            case WorkerLost():
                self._on_worker_lost(event.target, now)
            case JobQueued():
                self._on_job_queued(event)
            case JobResumed():
                self._on_job_resumed(event, now)
            case JobClosed():
                self._on_job_closed(event.job, now)
            case Reserved():
                self._on_reserved(event, now)
            case ReserveRefused():
                self._on_reserve_refused(event, now)
            case StartRecorded():
                self._on_start_recorded(event, now)
            case PartEnded():
                self._on_part_ended(event, now)
            case LogState():
                self._on_log_state(event.up, now)
            case Tick():
                self._on_tick(now)

    def _emit(self, command: Command) -> None:
        self._commands.append(command)

    def _gang(self, job: JobId, attempt: Attempt) -> Gang | None:
        gang = self.gangs.get(job)
        return gang if gang is not None and gang.attempt == attempt else None

    # Configuration and workers

    def _on_config(self, event: ConfigInForce) -> None:
        if event.config.version < self.config.version:
            return
        self.config = event.config
        self._dirty = True

    def _on_worker_seen(self, event: WorkerSeen, now: float) -> None:
        info = event.worker
        known = self.topology.workers.get(info.target)
        if known is not None and known.info.incarnation != info.incarnation:
            self._on_worker_lost(info.target, now)
            known = None
        if known is None:
            self._add_worker(info)
        self._reconcile(info.target, event.parts, now)

    def _add_worker(self, info: WorkerInfo) -> None:
        self.topology.add(info)
        for gang in self.gangs.values():
            for part in gang.on(info.target):
                if part.state is None:
                    self._take(gang.job, part)
        self._dirty = True

    def _reconcile(self, target: TargetId, held: tuple[HeldPart, ...], now: float) -> None:
        states = {(part.job, part.attempt, part.part): part.state for part in held}
        for job, attempt in {(part.job, part.attempt) for part in held}:
            if self._gang(job, attempt) is None:
                self._emit(StopParts(target, job, attempt))
                self._emit(ForgetParts(target, job, attempt))
        for gang in list(self.gangs.values()):
            committed = gang.phase in (Phase.RUNNING, Phase.STOPPING)
            if committed and now - gang.since > RECONCILE_AFTER_S:
                self._reconcile_gang(gang, target, states, now)

    def _reconcile_gang(
        self,
        gang: Gang,
        target: TargetId,
        states: dict[tuple[JobId, Attempt, int], PartState],
        now: float,
    ) -> None:
        for part in gang.on(target):
            if part.state is not None:
                continue
            state = states.get((gang.job.id, gang.attempt, part.placement.part))
            if state is not None and gang.phase is Phase.STOPPING:
                # The first stop may have been lost.
                self._emit(StopParts(target, gang.job.id, gang.attempt))
            elif state is PartState.RESERVED:
                self._emit(CommitParts(target, gang.job.id, gang.attempt))
            elif state is None:
                self._end_part(gang, part, PartState.STOPPED)
                self._stop_gang(gang, AttemptOutcome.TARGET_LOST, now)

    def _on_worker_lost(self, target: TargetId, now: float) -> None:
        for gang in list(self.gangs.values()):
            lost = [part for part in gang.on(target) if part.state is None]
            if not lost:
                continue
            for part in lost:
                part.started = gang.phase in (Phase.RUNNING, Phase.STOPPING)
                self._end_part(gang, part, PartState.STOPPED)
            self._stop_gang(gang, AttemptOutcome.TARGET_LOST, now)
        if target in self.topology.workers:
            self.topology.remove(target)
        self._dirty = True

    # Jobs

    def _on_job_queued(self, event: JobQueued) -> None:
        job = event.job
        if job.id in self.gangs or job.id in self.queue:
            return
        self._attempts[job.id] = max(self._attempts.get(job.id, Attempt(0)), event.attempt)
        self.queue.push(job)
        self._dirty = True

    def _on_job_resumed(self, event: JobResumed, now: float) -> None:
        parts = [Part(placement) for placement in event.placements]
        gang = Gang(event.job, event.attempt, parts, now, Phase.RUNNING, recorded=True)
        self.gangs[event.job.id] = gang
        self._attempts[event.job.id] = event.attempt
        for part in parts:
            if part.placement.target in self.topology.workers:
                self._take(gang.job, part)

    def _on_job_closed(self, job: JobId, now: float) -> None:
        self.queue.remove(job)
        self._dirty = True
        gang = self.gangs.get(job)
        if gang is None:
            self._attempts.pop(job, None)
            return
        self._closed.add(job)
        self._stop_gang(gang, AttemptOutcome.FAILED, now)

    # One attempt

    def _schedule(self, now: float) -> None:
        excluded = self._excluded(now)
        for job in list(self.queue.ordered(now)):
            placements = self._placer.place(job.shape, self.topology, excluded)
            if placements:
                self._start(job, [Part(placement) for placement in placements], now)

    def _excluded(self, now: float) -> frozenset[TargetId]:
        self._avoided = {target: until for target, until in self._avoided.items() if until > now}
        return self.config.scrapped | self._avoided.keys()

    def _start(self, job: Job, parts: list[Part], now: float) -> None:
        self.queue.remove(job.id)
        first = (self.epoch - 1) * ATTEMPTS_PER_EPOCH
        attempt = Attempt(max(self._attempts.get(job.id, 0), first) + 1)
        self._attempts[job.id] = attempt
        gang = Gang(job, attempt, parts, now)
        self.gangs[job.id] = gang
        for part in parts:
            self._take(job, part)
        for target in gang.targets:
            placements = tuple(part.placement for part in gang.on(target))
            self._emit(ReserveParts(target, job, attempt, placements))

    def _on_reserved(self, event: Reserved, now: float) -> None:
        gang = self._gang(event.job, event.attempt)
        if gang is None:
            self._emit(ReleaseParts(event.target, event.job, event.attempt))
            return
        if gang.phase is not Phase.RESERVING:
            return
        gang.reserved.add(event.target)
        if gang.fully_reserved:
            self._record_start(gang, now)

    def _record_start(self, gang: Gang, now: float) -> None:
        gang.phase = Phase.RECORDING
        gang.since = now
        gang.recorded = True
        placements = tuple(part.placement for part in gang.parts)
        body = AttemptStarted(gang.job.id, gang.attempt, self.domain, self.epoch, placements)
        self._emit(AppendRecord(body))
        if not self._log_up and gang.job.idempotent:
            self._commit(gang, now)

    def _on_start_recorded(self, event: StartRecorded, now: float) -> None:
        gang = self._gang(event.job, event.attempt)
        if gang is None:
            return
        if event.accepted:
            if gang.phase is Phase.RECORDING:
                self._commit(gang, now)
            return
        self._emit(CountRetry(RetryReason.START_REJECTED))
        gang.recorded = False
        self._stop_gang(gang, AttemptOutcome.NEVER_STARTED, now)

    def _commit(self, gang: Gang, now: float) -> None:
        gang.phase = Phase.RUNNING
        gang.since = now
        for target in gang.targets:
            self._emit(CommitParts(target, gang.job.id, gang.attempt))

    def _on_reserve_refused(self, event: ReserveRefused, now: float) -> None:
        gang = self._gang(event.job, event.attempt)
        if gang is None or gang.phase not in (Phase.RESERVING, Phase.RECORDING):
            return
        self._avoided[event.target] = now + AVOID_AFTER_REFUSAL_S
        self._emit(CountRetry(RetryReason.RESERVE_REFUSED))
        self._abandon(gang, now)

    def _abandon(self, gang: Gang, now: float) -> None:
        """Drop an attempt of which no part was committed."""
        for part in gang.parts:
            part.started = False
            if part.state is None:
                self._end_part(gang, part, PartState.STOPPED)
        for target in gang.targets:
            self._emit(ReleaseParts(target, gang.job.id, gang.attempt))
        gang.outcome = AttemptOutcome.NEVER_STARTED
        self._close_gang(gang, now)

    def _on_part_ended(self, event: PartEnded, now: float) -> None:
        gang = self._gang(event.job, event.attempt)
        if gang is None:
            self._emit(ForgetParts(event.target, event.job, event.attempt))
            return
        if not 0 <= event.part < len(gang.parts):
            self.counters["part_unknown"] += 1
            return
        part = gang.parts[event.part]
        if part.state is not None or part.placement.target != event.target:
            return
        part.result = event.result
        part.started = event.started
        part.checkpointed = event.checkpointed
        self._end_part(gang, part, event.state)
        if gang.whole and gang.phase is Phase.RUNNING:
            self._record_finish(gang)
        elif event.state is not PartState.FINISHED or gang.phase is Phase.STOPPING:
            self._stop_gang(gang, AttemptOutcome.FAILED, now)

    def _record_finish(self, gang: Gang) -> None:
        gang.finish_sent = True
        result = gang.result
        digest = hashlib.sha256(result).hexdigest()
        body = JobFinished(gang.job.id, gang.attempt, self.domain, self.epoch, result, digest)
        self._emit(AppendRecord(body))

    def _stop_gang(self, gang: Gang, outcome: AttemptOutcome, now: float) -> None:
        """Stop all parts that have not ended; the first outcome counts."""
        if gang.phase in (Phase.RESERVING, Phase.RECORDING):
            self._abandon(gang, now)
            return
        if gang.phase is not Phase.STOPPING:
            gang.phase = Phase.STOPPING
            gang.outcome = outcome
            gang.since = now
            checkpoint = outcome in (AttemptOutcome.PREEMPTED, AttemptOutcome.DRAINED)
            for target in gang.targets:
                if any(part.state is None for part in gang.on(target)):
                    self._emit(StopParts(target, gang.job.id, gang.attempt, checkpoint))
        if gang.ended:
            self._close_gang(gang, now)

    def _close_gang(self, gang: Gang, now: float) -> None:
        del self.gangs[gang.job.id]
        self._dirty = True
        for target in gang.targets:
            self._emit(ForgetParts(target, gang.job.id, gang.attempt))
        if gang.job.id in self._closed:
            self._closed.discard(gang.job.id)
            self._attempts.pop(gang.job.id, None)
            return
        outcome = gang.final_outcome()
        if gang.recorded:
            body = AttemptEnded(gang.job.id, gang.attempt, self.domain, self.epoch, outcome)
            self._emit(AppendRecord(body))
        if outcome is not AttemptOutcome.MAY_HAVE_RUN:
            self._emit(CountRetry(_RETRY_OF_OUTCOME[outcome]))
            self.queue.push(gang.job)

    def _on_log_state(self, up: bool, now: float) -> None:
        self._log_up = up
        if up:
            return
        for gang in list(self.gangs.values()):
            if gang.phase is Phase.RECORDING and gang.job.idempotent:
                self._commit(gang, now)

    def _on_tick(self, now: float) -> None:
        self._dirty = bool(len(self.queue))
        for gang in list(self.gangs.values()):
            if gang.phase is Phase.RESERVING and now - gang.since > RESERVE_TIMEOUT_S:
                self._emit(CountRetry(RetryReason.RESERVE_TIMEOUT))
                self._abandon(gang, now)

    # Resources

    def _take(self, job: Job, part: Part) -> None:
        shape = job.shape
        self.topology.take(part.placement.target, part.placement.mask, shape.cores, shape.memory_gb)

    def _end_part(self, gang: Gang, part: Part, state: PartState) -> None:
        part.state = state
        shape = gang.job.shape
        self.topology.give_back(
            part.placement.target, part.placement.mask, shape.cores, shape.memory_gb
        )
        self._dirty = True
