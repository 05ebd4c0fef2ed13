"""The scheduler core of one domain: typed events in, typed commands out."""

import hashlib
from collections import Counter

from comfreyshelf.commands import (
    AppendRecord,
    Command,
    CommitParts,
    CountRetry,
    ForgetParts,
    ProbeWorker,
    ReleaseParts,
    ReserveParts,
    StopParts,
)
from comfreyshelf.config import EMPTY_CONFIG, Config
from comfreyshelf.drain import Drain
from comfreyshelf.events import (
    ConfigInForce,
    Event,
    JobClosed,
    JobQueued,
    JobResumed,
    LogState,
    PartEnded,
    ProbeEnded,
    Reserved,
    ReserveRefused,
    StartRecorded,
    Tick,
    UsageSeen,
    WorkerLost,
    WorkerSeen,
)
from comfreyshelf.gangs import AttemptPhase, Gang, GangTable, Part
from comfreyshelf.guarantees import CellPlan, Decision
from comfreyshelf.ids import Attempt, DomainId, Epoch, JobId, TargetId
from comfreyshelf.model import AttemptOutcome, CellUse, HeldPart, Job, PartState, WorkerInfo
from comfreyshelf.ordering import Ordering
from comfreyshelf.placement import BestFit, Placements, Placer, iter_placements
from comfreyshelf.queueing import FairQueue, JobQueue
from comfreyshelf.reasons import RefusalReason, RetryReason
from comfreyshelf.records import AttemptEnded, AttemptStarted, JobFinished, JobRefused
from comfreyshelf.topology import SearchScope, Topology

RESERVE_TIMEOUT_S = 3.0
AVOID_AFTER_REFUSAL_S = 5.0
# Preempted work that has not stopped after this time is stopped without a checkpoint, so that a
# reclaim ends well inside the 9.7 s in which urgent work has to start.
CHECKPOINT_TIMEOUT_S = 4.0
# Nobody waits for the accelerators of a leaving target, so its checkpoints get more time, and only
# work that may run again is cut.
DRAIN_TIMEOUT_S = 30.0
# Abandoned reservations free accelerators at once, so a pass may let the next one start more.
MAX_PASSES = 3
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

    def __init__(
        self,
        domain: DomainId,
        epoch: Epoch,
        placer: Placer | None = None,
        queue: JobQueue | None = None,
    ) -> None:
        self.domain = domain
        self.epoch = epoch
        self.config: Config = EMPTY_CONFIG
        self.topology = Topology()
        self.queue: JobQueue = FairQueue() if queue is None else queue
        self.order = Ordering(domain, self.queue, seed=int(epoch))
        self.gangs = GangTable()
        self.counters: Counter[str] = Counter()
        self.plan = CellPlan(self.topology, self.counters)
        self.drain = Drain(self.topology, self.plan, self.gangs)
        self._placer = placer or BestFit()
        self._resumed: dict[JobId, CellUse] = {}
        self._awaiting: dict[TargetId, list[JobId]] = {}
        self._timed: dict[JobId, None] = {}
        self._attempts: dict[JobId, Attempt] = {}
        self._avoided: dict[TargetId, float] = {}
        self._closed: set[JobId] = set()
        self._log_up = True
        self._dirty = False
        self._commands: list[Command] = []

    def handle(self, event: Event, now: float) -> list[Command]:
        """Apply one event at time `now` and return the resulting commands."""
        self._dispatch(event, now)
        for _ in range(MAX_PASSES):
            if not self._dirty:
                break
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
            case Tick():
                self._on_tick(now)
            case _:
                self._observe(event, now)

    def _observe(self, event: Event, now: float) -> None:
        match event:
            case UsageSeen():
                self._on_usage_seen(event, now)
            case ProbeEnded():
                self._on_probe_ended(event)
            case LogState():
                self._on_log_state(event.up, now)

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
        self.plan.set_guarantees(self.config.domain_guarantees(self.domain))
        self.order.configure(event.config)
        self._dirty = True

    def _on_worker_seen(self, event: WorkerSeen, now: float) -> None:
        info = event.worker
        known = self.topology.workers.get(info.target)
        if known is not None and known.info.incarnation != info.incarnation:
            self._on_worker_lost(info.target, now)
            known = None
        if known is None:
            self._add_worker(info)
            self.order.worker_added(info, now)
        self._reconcile(info.target, event.parts, now)

    def _add_worker(self, info: WorkerInfo) -> None:
        self.topology.add(info)
        for gang in self.gangs.on_target(info.target):
            for part in gang.parts_on(info.target):
                if part.state is None:
                    self._take(gang, part)
        for job in self._awaiting.pop(info.target, ()):
            if job in self.gangs:
                self._adopt(self.gangs[job])
        self.plan.on_capacity_gained()
        self._dirty = True

    def _reconcile(self, target: TargetId, held: tuple[HeldPart, ...], now: float) -> None:
        states = {(part.job, part.attempt, part.part): part.state for part in held}
        for job, attempt in {(part.job, part.attempt) for part in held}:
            if self._gang(job, attempt) is None:
                self._emit(StopParts(target, job, attempt))
                self._emit(ForgetParts(target, job, attempt))
        for gang in self.gangs.on_target(target):
            committed = gang.phase in (AttemptPhase.RUNNING, AttemptPhase.STOPPING)
            if committed and now - gang.phase_started_at > RECONCILE_AFTER_S:
                self._reconcile_gang(gang, target, states, now)

    def _reconcile_gang(
        self,
        gang: Gang,
        target: TargetId,
        states: dict[tuple[JobId, Attempt, int], PartState],
        now: float,
    ) -> None:
        for part in gang.parts_on(target):
            if part.state is not None:
                continue
            state = states.get((gang.job.id, gang.attempt, part.placement.part))
            if state is not None and gang.phase is AttemptPhase.STOPPING:
                # The first stop may have been lost.
                self._emit(StopParts(target, gang.job.id, gang.attempt))
            elif state is PartState.RESERVED:
                self._emit(CommitParts(target, gang.job.id, gang.attempt))
            elif state is None:
                self._end_part(gang, part, PartState.STOPPED)
                self._stop_gang(gang, AttemptOutcome.TARGET_LOST, now)

    def _on_worker_lost(self, target: TargetId, now: float) -> None:
        self.plan.on_worker_lost(target)
        for gang in self.gangs.on_target(target):
            lost = [part for part in gang.parts_on(target) if part.state is None]
            if not lost:
                continue
            for part in lost:
                part.started = gang.phase in (AttemptPhase.RUNNING, AttemptPhase.STOPPING)
                self._end_part(gang, part, PartState.STOPPED)
            self._stop_gang(gang, AttemptOutcome.TARGET_LOST, now)
        if target in self.topology.workers:
            self.order.worker_lost(self.topology.workers[target].info, now)
            self.topology.remove(target)
        self._dirty = True

    # Jobs

    def _on_job_queued(self, event: JobQueued) -> None:
        job = event.job
        if job.id in self.gangs or self.order.knows(job.id):
            return
        self._attempts[job.id] = max(self._attempts.get(job.id, Attempt(0)), event.attempt)
        shed = self.order.queued(job, fresh=event.attempt == 0)
        if shed is not None:
            self._refuse(shed, RefusalReason.SHED)
        self._dirty = True

    def _refuse(self, job: Job, reason: RefusalReason) -> None:
        self.order.refused(job)
        self._emit(AppendRecord(JobRefused(job.id, self.domain, self.epoch, reason)))

    def _on_job_resumed(self, event: JobResumed, now: float) -> None:
        parts = [Part(placement) for placement in event.placements]
        gang = Gang(event.job, event.attempt, parts, now, AttemptPhase.RUNNING, start_recorded=True)
        gang.protected = not event.job.may_borrow
        self.gangs[event.job.id] = gang
        self.order.resumed(event.job)
        self._attempts[event.job.id] = event.attempt
        if event.cell is not None:
            self._resumed[event.job.id] = event.cell
            for target in {place.target for place in event.cell.placements}:
                self._awaiting.setdefault(target, []).append(event.job.id)
        for part in parts:
            if part.placement.target in self.topology.workers:
                self._take(gang, part)
        self._adopt(gang)

    def _adopt(self, gang: Gang) -> None:
        """Let a resumed job occupy its cell as soon as all workers of the cell are known."""
        use = self._resumed.get(gang.job.id)
        if use is None:
            return
        if any(place.target not in self.topology.workers for place in use.placements):
            return
        del self._resumed[gang.job.id]
        placements = tuple(part.placement for part in gang.parts)
        if self.plan.adopt(gang.job, use, placements):
            self._set_firm(gang, True)

    def _set_firm(self, gang: Gang, firm: bool) -> None:
        if gang.protected == firm:
            return
        gang.protected = firm
        shape = gang.job.shape
        for part in gang.parts:
            if part.state is None:
                place = part.placement
                self.topology.set_protected(
                    place.target, place.mask, shape.cores, shape.memory_gb, firm
                )

    def _loosen_detached(self) -> None:
        """Let others reclaim preemptible jobs whose guarantee has changed or moved."""
        for job in self.plan.detached:
            gang = self.gangs.get(job)
            if gang is not None and gang.job.may_borrow:
                self._set_firm(gang, False)
                self.plan.on_capacity_gained()
        self.plan.detached.clear()

    def _on_job_closed(self, job: JobId, now: float) -> None:
        self.order.closed(job)
        self._dirty = True
        gang = self.gangs.get(job)
        if gang is None:
            self.plan.release(job)
            self.drain.release_hold(job)
            self._attempts.pop(job, None)
            return
        self._closed.add(job)
        self._stop_gang(gang, AttemptOutcome.FAILED, now)

    # One attempt

    def _schedule(self, now: float) -> None:
        self._exclude(now)
        self._loosen_detached()
        for job in self.queue.ordered(now):
            decision = self._decide(job, now)
            for victim in decision.victims:
                self._stop_gang(self.gangs[victim], AttemptOutcome.PREEMPTED, now)
            if decision.placements:
                self._start(job, decision, now)
            elif decision.cell is not None:
                self.queue.no_room(job)
            else:
                self._on_no_room(job, now)

    def _decide(self, job: Job, now: float) -> Decision:
        room = self.drain.take_held_placements(job)
        if room:
            return Decision(room)
        if self._placer.keeps_guarantees and self.plan.covers(job):
            # What is held for other jobs must not keep an organisation from its guarantee.
            return self.plan.decide(job, self._place, self.gangs)
        # Targets that are excluded for this job only must not count as lost for guarantees.
        self.plan.refresh()
        with (
            self.order.holding(job, self.topology, now),
            self.topology.excluding(self.order.avoided(job, now)),
        ):
            if self._placer.keeps_guarantees:
                decision = self.plan.decide(job, self._place, self.gangs)
                return decision if self._may_start(job, decision) else Decision()
            return Decision(self._place(job, SearchScope.FREE))

    def _may_start(self, job: Job, decision: Decision) -> bool:
        """Whether a decision keeps room for urgent work; work in its own cell always does."""
        if not decision.placements or decision.cell is not None:
            return True
        return self.order.may_start(job, decision.placements, self.topology)

    def _place(self, job: Job, view: SearchScope) -> Placements:
        """Place a job, on workers under suspicion last."""
        suspects = frozenset(self.order.quarantine.suspects)
        if suspects:
            with self.topology.excluding(suspects):
                placements = self._find(job, view)
            if placements:
                return placements
        return self._find(job, view)

    def _find(self, job: Job, view: SearchScope) -> Placements:
        placements = self._placer.place(job.shape, self.topology, view)
        if not placements or self.order.may_start(job, placements, self.topology):
            return placements
        return self.order.choose(
            job, iter_placements(job.shape, self.topology, view), self.topology
        )

    def _place_anywhere(self, job: Job) -> Placements:
        """Where a job would start if nothing had to be reclaimed for it."""
        if not self._placer.keeps_guarantees:
            return self._place(job, SearchScope.FREE)
        placements = self._place(job, SearchScope.UNRESERVED)
        if not placements and job.may_borrow:
            placements = self._place(job, SearchScope.FREE)
        return placements

    def _on_no_room(self, job: Job, now: float) -> None:
        if self.order.fleet.never_fits(job.shape, now):
            self._refuse(job, RefusalReason.NEVER_FITS)
            return
        gangs = self.gangs.values()
        for gang in self.order.blocked(job, self.topology, gangs, self._place_anywhere, now):
            self._stop_gang(gang, AttemptOutcome.PREEMPTED, now)

    def _exclude(self, now: float) -> None:
        """Keep work off targets that are withdrawn or that refused a reservation lately."""
        self._avoided = {target: until for target, until in self._avoided.items() if until > now}
        withdrawn = self._withdrawn()
        excluded = withdrawn | self._avoided.keys()
        if self.topology.excluded - excluded:
            # A guarantee that lost its cell meanwhile may find one there, before other work does.
            self.plan.on_capacity_gained()
        self.topology.set_excluded(excluded)
        self.plan.set_leaving_targets(withdrawn)

    def _withdrawn(self) -> frozenset[TargetId]:
        """Targets that keep no planned cell and get no new work."""
        return self.config.scrapped | self.order.quarantine.held

    def _start(self, job: Job, decision: Decision, now: float) -> None:
        self.order.started(job)
        first = (self.epoch - 1) * ATTEMPTS_PER_EPOCH
        attempt = Attempt(max(self._attempts.get(job.id, 0), first) + 1)
        self._attempts[job.id] = attempt
        parts = [Part(placement) for placement in decision.placements]
        gang = Gang(job, attempt, parts, now)
        gang.protected = not job.may_borrow or decision.cell is not None
        self.gangs[job.id] = gang
        self._timed[job.id] = None
        if decision.cell is not None:
            self.plan.start_use(job.id, decision.cell, decision.placements)
        for part in parts:
            self._take(gang, part)
        for target in gang.targets:
            placements = tuple(part.placement for part in gang.parts_on(target))
            self._emit(ReserveParts(target, job, attempt, placements))

    def _on_reserved(self, event: Reserved, now: float) -> None:
        gang = self._gang(event.job, event.attempt)
        if gang is None:
            self._emit(ReleaseParts(event.target, event.job, event.attempt))
            return
        if gang.phase is not AttemptPhase.RESERVING:
            return
        gang.reserved_targets.add(event.target)
        if gang.is_fully_reserved:
            self._record_start(gang, now)

    def _record_start(self, gang: Gang, now: float) -> None:
        gang.phase = AttemptPhase.RECORDING
        gang.phase_started_at = now
        gang.start_recorded = True
        placements = tuple(part.placement for part in gang.parts)
        cell = self.plan.cell_use(gang.job.id)
        body = AttemptStarted(gang.job.id, gang.attempt, self.domain, self.epoch, placements, cell)
        self._emit(AppendRecord(body))
        if not self._log_up and gang.job.idempotent:
            self._commit(gang, now)

    def _on_start_recorded(self, event: StartRecorded, now: float) -> None:
        gang = self._gang(event.job, event.attempt)
        if gang is None:
            return
        if event.accepted:
            if gang.phase is AttemptPhase.RECORDING:
                self._commit(gang, now)
            return
        self._emit(CountRetry(RetryReason.START_REJECTED))
        gang.start_recorded = False
        self._stop_gang(gang, AttemptOutcome.NEVER_STARTED, now)

    def _commit(self, gang: Gang, now: float) -> None:
        gang.phase = AttemptPhase.RUNNING
        gang.phase_started_at = now
        for target in gang.targets:
            self._emit(CommitParts(target, gang.job.id, gang.attempt))

    def _on_reserve_refused(self, event: ReserveRefused, now: float) -> None:
        gang = self._gang(event.job, event.attempt)
        if gang is None or gang.phase not in (AttemptPhase.RESERVING, AttemptPhase.RECORDING):
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
        self.order.part_ended(gang, event.target, event.state, now)
        started = gang.phase in (AttemptPhase.RUNNING, AttemptPhase.STOPPING)
        if gang.is_finished and started and gang.job.id not in self._closed:
            # The last part may finish before a preemption reaches it; the result counts.
            gang.phase = AttemptPhase.RUNNING
            self.order.finished(gang, event.run_s)
            self._record_finish(gang)
        elif event.state is not PartState.FINISHED or gang.phase is AttemptPhase.STOPPING:
            # A target that shuts down checkpoints its parts, so the others are checkpointed too.
            moved = event.state is PartState.STOPPED and event.checkpointed
            outcome = AttemptOutcome.DRAINED if moved else AttemptOutcome.FAILED
            self._stop_gang(gang, outcome, now)

    def _record_finish(self, gang: Gang) -> None:
        gang.finish_sent = True
        result = gang.result
        digest = hashlib.sha256(result).hexdigest()
        body = JobFinished(gang.job.id, gang.attempt, self.domain, self.epoch, result, digest)
        self._emit(AppendRecord(body))

    def _stop_gang(self, gang: Gang, outcome: AttemptOutcome, now: float) -> None:
        """Stop all parts that have not ended; the first outcome counts."""
        if gang.phase in (AttemptPhase.RESERVING, AttemptPhase.RECORDING):
            self._abandon(gang, now)
            return
        if gang.phase is not AttemptPhase.STOPPING:
            gang.phase = AttemptPhase.STOPPING
            gang.outcome = outcome
            gang.phase_started_at = now
            self._timed[gang.job.id] = None
            checkpoint = outcome in (AttemptOutcome.PREEMPTED, AttemptOutcome.DRAINED)
            for target in gang.targets:
                if any(part.state is None for part in gang.parts_on(target)):
                    self._emit(StopParts(target, gang.job.id, gang.attempt, checkpoint))
        if gang.has_ended:
            self._close_gang(gang, now)

    def _close_gang(self, gang: Gang, now: float) -> None:
        del self.gangs[gang.job.id]
        self._resumed.pop(gang.job.id, None)
        self.plan.end_use(gang.job.id)
        self.order.ended(gang)
        self._dirty = True
        for target in gang.targets:
            self._emit(ForgetParts(target, gang.job.id, gang.attempt))
        if gang.job.id in self._closed:
            self._closed.discard(gang.job.id)
            self.plan.release(gang.job.id)
            self.drain.release_hold(gang.job.id)
            self._attempts.pop(gang.job.id, None)
            return
        outcome = gang.final_outcome()
        if gang.start_recorded:
            body = AttemptEnded(gang.job.id, gang.attempt, self.domain, self.epoch, outcome)
            self._emit(AppendRecord(body))
        if outcome is not AttemptOutcome.MAY_HAVE_RUN:
            self._emit(CountRetry(_RETRY_OF_OUTCOME[outcome]))
            reason = self.order.requeue(gang, outcome, now)
            if reason is not None:
                self._refuse(gang.job, reason)

    def _on_usage_seen(self, event: UsageSeen, now: float) -> None:
        gang = self.gangs.get(event.job)
        if gang is not None:
            self.order.usage_seen(gang, event.busy, now)

    def _on_probe_ended(self, event: ProbeEnded) -> None:
        if self.order.quarantine.probe_ended(event.target, event.passed):
            self.queue.room_changed()
            self._dirty = True

    def _on_log_state(self, up: bool, now: float) -> None:
        self._log_up = up
        if up:
            return
        for gang in list(self.gangs.values()):
            if gang.phase is AttemptPhase.RECORDING and gang.job.idempotent:
                self._commit(gang, now)

    def _on_tick(self, now: float) -> None:
        for target in self.order.tick(now):
            self._emit(ProbeWorker(target))
        self._dirty = bool(len(self.queue))
        for job in list(self._timed):
            gang = self.gangs.get(job)
            if gang is None or gang.phase not in (AttemptPhase.RESERVING, AttemptPhase.STOPPING):
                del self._timed[job]
            elif gang.phase is AttemptPhase.STOPPING:
                self._force_stop(gang, now)
            elif now - gang.phase_started_at > RESERVE_TIMEOUT_S:
                self._emit(CountRetry(RetryReason.RESERVE_TIMEOUT))
                self._abandon(gang, now)
        self.plan.refresh()
        self._exclude(now)
        for gang in self.drain.select_gangs_to_move(self.config.scrapped, self._placer):
            self._stop_gang(gang, AttemptOutcome.DRAINED, now)

    def _force_stop(self, gang: Gang, now: float) -> None:
        drained = gang.outcome is AttemptOutcome.DRAINED
        limit = DRAIN_TIMEOUT_S if drained else CHECKPOINT_TIMEOUT_S
        if (
            gang.stop_forced
            or now - gang.phase_started_at <= limit
            or (drained and not gang.job.idempotent)
        ):
            return
        gang.stop_forced = True
        self.counters["checkpoint_timeout"] += 1
        for target in gang.targets:
            if gang.mask_in_use(target):
                self._emit(StopParts(target, gang.job.id, gang.attempt))

    # Resources

    def _take(self, gang: Gang, part: Part) -> None:
        shape = gang.job.shape
        place = part.placement
        self.topology.allocate(
            place.target, place.mask, shape.cores, shape.memory_gb, gang.protected
        )
        if gang.protected and gang.start_recorded:
            self.plan.evict_unused_cells(place.target, place.mask)

    def _end_part(self, gang: Gang, part: Part, state: PartState) -> None:
        part.state = state
        shape = gang.job.shape
        place = part.placement
        self.topology.release(
            place.target, place.mask, shape.cores, shape.memory_gb, gang.protected
        )
        self.plan.on_capacity_gained()
        self.queue.room_changed()
        self._dirty = True
