"""Scheduler core of one domain: takes events and returns the commands to carry out."""

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
    LogAvailability,
    PartEnded,
    PartsReserved,
    ProbeEnded,
    ReservationRefused,
    StartRecorded,
    Tick,
    UsageReported,
    WorkerLost,
    WorkerReported,
)
from comfreyshelf.gangs import AttemptPhase, Gang, GangTable, Part
from comfreyshelf.guarantees import CellPlan, Decision
from comfreyshelf.ids import Attempt, DomainId, Epoch, JobId, TargetId
from comfreyshelf.model import AttemptOutcome, CellUse, HeldPart, Job, PartState, WorkerInfo
from comfreyshelf.ordering import SchedulingPolicy
from comfreyshelf.placement import BestFit, Placements, Placer, iter_placements
from comfreyshelf.queueing import FairQueue, JobQueue
from comfreyshelf.reasons import RefusalReason, RetryReason
from comfreyshelf.records import AttemptEnded, AttemptStarted, JobFinished, JobRefused
from comfreyshelf.topology import SearchScope, Topology

RESERVE_TIMEOUT_S = 3.0
AVOID_AFTER_REFUSAL_S = 5.0
# A preempted attempt that has not stopped after this time is stopped without a checkpoint, so that
# its accelerators are free well within the 9.7 s in which urgent work has to start.
CHECKPOINT_TIMEOUT_S = 4.0
# No job waits for the accelerators of a draining target, so checkpoints there get more time. After
# that time, only idempotent jobs are stopped without a checkpoint.
DRAIN_TIMEOUT_S = 30.0
# A scheduling pass offers the queued jobs in order. It may itself free accelerators, for example by
# abandoning a reservation, so that a further pass can start more jobs.
MAX_PASSES_PER_EVENT = 3
# A target may have sent its status before the latest command reached it. The scheduler therefore
# acts on differences between a status and the gang table only this long after the gang changed
# phase.
RECONCILE_AFTER_S = 6.0
# Each epoch numbers attempts in its own range. During a log outage an attempt may run without a
# record, so the next owner does not know its number and must not reuse it.
ATTEMPTS_PER_EPOCH = 10_000

_RETRY_OF_OUTCOME = {
    AttemptOutcome.PREEMPTED: RetryReason.PREEMPTED,
    AttemptOutcome.DRAINED: RetryReason.DRAINED,
    AttemptOutcome.FAILED: RetryReason.PART_FAILED,
    AttemptOutcome.TARGET_LOST: RetryReason.TARGET_LOST,
    AttemptOutcome.NEVER_STARTED: RetryReason.RESERVE_TIMEOUT,
}


class Scheduler:
    """Schedules the jobs of one domain under one epoch.

    `handle` takes an event and the time in seconds and returns the commands to carry out, in
    order. It reads no clock and does no I/O, so the entry process, the test fakes and the history
    checks drive the same code.
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
        self.policy = SchedulingPolicy(domain, self.queue, seed=int(epoch))
        self.gangs = GangTable()
        self.counters: Counter[str] = Counter()
        self.cell_plan = CellPlan(self.topology, self.counters)
        self.drain = Drain(self.topology, self.cell_plan, self.gangs)
        self._placer = placer or BestFit()
        self._pending_cells: dict[JobId, CellUse] = {}
        self._jobs_awaiting_worker: dict[TargetId, list[JobId]] = {}
        self._jobs_with_timeout: dict[JobId, None] = {}
        self._latest_attempts: dict[JobId, Attempt] = {}
        self._avoided_until: dict[TargetId, float] = {}
        self._closed_jobs: set[JobId] = set()
        self._log_up = True
        self._needs_pass = False
        self._commands: list[Command] = []

    def handle(self, event: Event, now: float) -> list[Command]:
        """Apply one event at time `now` and return the resulting commands."""
        self._dispatch(event, now)
        for _ in range(MAX_PASSES_PER_EVENT):
            if not self._needs_pass:
                break
            self._needs_pass = False
            self._run_pass(now)
        commands = self._commands
        self._commands = []
        return commands

    def _dispatch(self, event: Event, now: float) -> None:
        match event:
            case ConfigInForce():
                self._on_config(event)
            case WorkerReported():
                self._on_worker_reported(event, now)
            case WorkerLost():
                self._on_worker_lost(event.target, now)
            case JobQueued():
                self._on_job_queued(event)
            case JobResumed():
                self._on_job_resumed(event, now)
            case JobClosed():
                self._on_job_closed(event.job, now)
            case PartsReserved():
                self._on_parts_reserved(event, now)
            case ReservationRefused():
                self._on_reservation_refused(event, now)
            case StartRecorded():
                self._on_start_recorded(event, now)
            case PartEnded():
                self._on_part_ended(event, now)
            case Tick():
                self._on_tick(now)
            case _:
                self._dispatch_observation(event, now)

    def _dispatch_observation(self, event: Event, now: float) -> None:
        match event:
            case UsageReported():
                self._on_usage_reported(event, now)
            case ProbeEnded():
                self._on_probe_ended(event)
            case LogAvailability():
                self._on_log_availability(event.up, now)

    def _emit(self, command: Command) -> None:
        self._commands.append(command)

    def _find_current_gang(self, job: JobId, attempt: Attempt) -> Gang | None:
        gang = self.gangs.get(job)
        return gang if gang is not None and gang.attempt == attempt else None

    # Configuration and workers

    def _on_config(self, event: ConfigInForce) -> None:
        if event.config.version < self.config.version:
            return
        self.config = event.config
        self.cell_plan.set_guarantees(self.config.domain_guarantees(self.domain))
        self.policy.configure(event.config)
        self._needs_pass = True

    def _on_worker_reported(self, event: WorkerReported, now: float) -> None:
        info = event.worker
        known = self.topology.workers.get(info.target)
        if known is not None and known.info.incarnation != info.incarnation:
            self._on_worker_lost(info.target, now)
            known = None
        if known is None:
            self._add_worker(info)
            self.policy.add_worker(info, now)
        self._reconcile(info.target, event.parts, now)

    def _add_worker(self, info: WorkerInfo) -> None:
        self.topology.add(info)
        for gang in self.gangs.on_target(info.target):
            for part in gang.parts_on(info.target):
                if part.state is None:
                    self._allocate_part(gang, part)
        for job in self._jobs_awaiting_worker.pop(info.target, ()):
            if job in self.gangs:
                self._restore_cell(self.gangs[job])
        self.cell_plan.on_capacity_gained()
        self._needs_pass = True

    def _reconcile(self, target: TargetId, held: tuple[HeldPart, ...], now: float) -> None:
        states = {(part.job, part.attempt, part.part): part.state for part in held}
        for job, attempt in {(part.job, part.attempt) for part in held}:
            if self._find_current_gang(job, attempt) is None:
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
                # The part is still held, so the first stop command may have been lost.
                self._emit(StopParts(target, gang.job.id, gang.attempt))
            elif state is PartState.RESERVED:
                self._emit(CommitParts(target, gang.job.id, gang.attempt))
            elif state is None:
                self._end_part(gang, part, PartState.STOPPED)
                self._stop_gang(gang, AttemptOutcome.TARGET_LOST, now)

    def _on_worker_lost(self, target: TargetId, now: float) -> None:
        self.cell_plan.on_worker_lost(target)
        for gang in self.gangs.on_target(target):
            lost = [part for part in gang.parts_on(target) if part.state is None]
            if not lost:
                continue
            for part in lost:
                part.started = gang.phase in (AttemptPhase.RUNNING, AttemptPhase.STOPPING)
                self._end_part(gang, part, PartState.STOPPED)
            self.policy.record_lost_worker(gang, target, now)
            self._stop_gang(gang, AttemptOutcome.TARGET_LOST, now)
        if target in self.topology.workers:
            self.policy.remove_worker(self.topology.workers[target].info, now)
            self.topology.remove(target)
        self._needs_pass = True

    # Jobs

    def _on_job_queued(self, event: JobQueued) -> None:
        job = event.job
        if job.id in self.gangs or self.policy.has_job(job.id):
            return
        self._latest_attempts[job.id] = max(
            self._latest_attempts.get(job.id, Attempt(0)), event.attempt
        )
        shed = self.policy.enqueue(job, never_started=event.attempt == 0)
        if shed is not None:
            self._refuse(shed, RefusalReason.SHED)
        self._needs_pass = True

    def _refuse(self, job: Job, reason: RefusalReason) -> None:
        self.policy.mark_refused(job)
        self._emit(AppendRecord(JobRefused(job.id, self.domain, self.epoch, reason)))

    def _on_job_resumed(self, event: JobResumed, now: float) -> None:
        parts = [Part(placement) for placement in event.placements]
        gang = Gang(event.job, event.attempt, parts, now, AttemptPhase.RUNNING, start_recorded=True)
        gang.protected = not event.job.may_borrow
        self.gangs[event.job.id] = gang
        self.policy.record_resume(event.job)
        self._latest_attempts[event.job.id] = event.attempt
        if event.cell is not None:
            self._pending_cells[event.job.id] = event.cell
            for target in {place.target for place in event.cell.placements}:
                self._jobs_awaiting_worker.setdefault(target, []).append(event.job.id)
        for part in parts:
            if part.placement.target in self.topology.workers:
                self._allocate_part(gang, part)
        self._restore_cell(gang)

    def _restore_cell(self, gang: Gang) -> None:
        """Give a resumed job its recorded cell back once all workers of the cell are known."""
        use = self._pending_cells.get(gang.job.id)
        if use is None:
            return
        if any(place.target not in self.topology.workers for place in use.placements):
            return
        del self._pending_cells[gang.job.id]
        placements = tuple(part.placement for part in gang.parts)
        if self.cell_plan.restore_cell(gang.job, use, placements):
            self._set_protected(gang, True)

    def _set_protected(self, gang: Gang, protected: bool) -> None:
        if gang.protected == protected:
            return
        gang.protected = protected
        shape = gang.job.shape
        for part in gang.parts:
            if part.state is None:
                place = part.placement
                self.topology.set_protected(
                    place.target, place.mask, shape.cores, shape.memory_gb, protected
                )

    def _unprotect_jobs_without_cell(self) -> None:
        """Make the jobs that lost their cell reclaimable again, if they may borrow."""
        for job in self.cell_plan.jobs_without_cell:
            gang = self.gangs.get(job)
            if gang is not None and gang.job.may_borrow:
                self._set_protected(gang, False)
                self.cell_plan.on_capacity_gained()
        self.cell_plan.jobs_without_cell.clear()

    def _on_job_closed(self, job: JobId, now: float) -> None:
        self.policy.close_job(job)
        self._needs_pass = True
        gang = self.gangs.get(job)
        if gang is None:
            self.cell_plan.release_cell(job)
            self.drain.release_hold(job)
            self._latest_attempts.pop(job, None)
            return
        self._closed_jobs.add(job)
        self._stop_gang(gang, AttemptOutcome.FAILED, now)

    # Placement and attempts

    def _run_pass(self, now: float) -> None:
        self._update_exclusions(now)
        self._unprotect_jobs_without_cell()
        for job in self.queue.ordered(now):
            decision = self._decide(job, now)
            for victim in decision.victims:
                self._stop_gang(self.gangs[victim], AttemptOutcome.PREEMPTED, now)
            if decision.placements:
                self._start(job, decision, now)
            elif decision.cell is not None:
                self.queue.mark_blocked(job)
            else:
                self._handle_unplaced_job(job, now)

    def _decide(self, job: Job, now: float) -> Decision:
        placements = self.drain.take_held_placements(job)
        if placements:
            return Decision(placements)
        if self._placer.keeps_guarantees and self.cell_plan.has_cell_for(job):
            # A job within a guarantee ignores the holds of other jobs.
            return self.cell_plan.decide(job, self._place, self.gangs)
        # Refresh before targets are excluded for this job only, because the plan would treat them
        # as lost capacity.
        self.cell_plan.refresh()
        with (
            self.policy.excluding_holds(job, self.topology, now),
            self.topology.excluding(self.policy.avoided_targets(job, now)),
        ):
            if self._placer.keeps_guarantees:
                decision = self.cell_plan.decide(job, self._place, self.gangs)
                return decision if self._may_start(job, decision) else Decision()
            return Decision(self._place(job, SearchScope.FREE))

    def _may_start(self, job: Job, decision: Decision) -> bool:
        """Whether a job may start as decided without taking what is kept free for urgent jobs.

        A job that starts in a cell of its organisation always may.
        """
        if not decision.placements or decision.cell is not None:
            return True
        return self.policy.may_start(job, decision.placements, self.topology)

    def _place(self, job: Job, scope: SearchScope) -> Placements:
        """Place a job, on workers suspected of being faulty only if no others have room."""
        suspects = frozenset(self.policy.quarantine.suspects)
        if suspects:
            with self.topology.excluding(suspects):
                placements = self._find_placements(job, scope)
            if placements:
                return placements
        return self._find_placements(job, scope)

    def _find_placements(self, job: Job, scope: SearchScope) -> Placements:
        placements = self._placer.place(job.shape, self.topology, scope)
        if not placements or self.policy.may_start(job, placements, self.topology):
            return placements
        return self.policy.first_allowed(
            job, iter_placements(job.shape, self.topology, scope), self.topology
        )

    def _place_without_reclaim(self, job: Job) -> Placements:
        """Place a job without reclaiming accelerators from running work."""
        if not self._placer.keeps_guarantees:
            return self._place(job, SearchScope.FREE)
        placements = self._place(job, SearchScope.UNRESERVED)
        if not placements and job.may_borrow:
            placements = self._place(job, SearchScope.FREE)
        return placements

    def _handle_unplaced_job(self, job: Job, now: float) -> None:
        if self.policy.known_workers.never_fits(job.shape, now):
            self._refuse(job, RefusalReason.NEVER_FITS)
            return
        gangs = self.gangs.values()
        for gang in self.policy.handle_blocked(
            job, self.topology, gangs, self._place_without_reclaim, now
        ):
            self._stop_gang(gang, AttemptOutcome.PREEMPTED, now)

    def _update_exclusions(self, now: float) -> None:
        """Exclude targets that are withdrawn or that recently refused a reservation."""
        self._avoided_until = {
            target: until for target, until in self._avoided_until.items() if until > now
        }
        withdrawn = self._withdrawn_targets()
        excluded = withdrawn | self._avoided_until.keys()
        if self.topology.excluded - excluded:
            # A target is no longer excluded. Guarantees that lost their cell while it was excluded
            # get a new one there before other jobs are placed on it.
            self.cell_plan.on_capacity_gained()
        self.topology.set_excluded(excluded)
        self.cell_plan.set_withdrawn_targets(withdrawn)

    def _withdrawn_targets(self) -> frozenset[TargetId]:
        """Scrapped and quarantined targets, which get neither unused cells nor new work."""
        return self.config.scrapped | self.policy.quarantine.quarantined

    def _start(self, job: Job, decision: Decision, now: float) -> None:
        self.policy.record_start(job)
        first_attempt = (self.epoch - 1) * ATTEMPTS_PER_EPOCH
        attempt = Attempt(max(self._latest_attempts.get(job.id, 0), first_attempt) + 1)
        self._latest_attempts[job.id] = attempt
        parts = [Part(placement) for placement in decision.placements]
        gang = Gang(job, attempt, parts, now)
        gang.protected = not job.may_borrow or decision.cell is not None
        self.gangs[job.id] = gang
        self._jobs_with_timeout[job.id] = None
        if decision.cell is not None:
            self.cell_plan.start_use(job.id, decision.cell, decision.placements)
        for part in parts:
            self._allocate_part(gang, part)
        for target in gang.targets:
            placements = tuple(part.placement for part in gang.parts_on(target))
            self._emit(ReserveParts(target, job, attempt, placements))

    def _on_parts_reserved(self, event: PartsReserved, now: float) -> None:
        gang = self._find_current_gang(event.job, event.attempt)
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
        cell = self.cell_plan.cell_use(gang.job.id)
        body = AttemptStarted(gang.job.id, gang.attempt, self.domain, self.epoch, placements, cell)
        self._emit(AppendRecord(body))
        if not self._log_up and gang.job.idempotent:
            self._commit(gang, now)

    def _on_start_recorded(self, event: StartRecorded, now: float) -> None:
        gang = self._find_current_gang(event.job, event.attempt)
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

    def _on_reservation_refused(self, event: ReservationRefused, now: float) -> None:
        gang = self._find_current_gang(event.job, event.attempt)
        if gang is None or gang.phase not in (AttemptPhase.RESERVING, AttemptPhase.RECORDING):
            return
        self._avoided_until[event.target] = now + AVOID_AFTER_REFUSAL_S
        self._emit(CountRetry(RetryReason.RESERVE_REFUSED))
        self._abandon(gang, now)

    def _abandon(self, gang: Gang, now: float) -> None:
        """End an attempt before it is committed, and release its reservations."""
        for part in gang.parts:
            part.started = False
            if part.state is None:
                self._end_part(gang, part, PartState.STOPPED)
        for target in gang.targets:
            self._emit(ReleaseParts(target, gang.job.id, gang.attempt))
        gang.outcome = AttemptOutcome.NEVER_STARTED
        self._close_gang(gang, now)

    def _on_part_ended(self, event: PartEnded, now: float) -> None:
        gang = self._find_current_gang(event.job, event.attempt)
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
        self.policy.record_part_end(gang, event.target, event.state, now)
        started = gang.phase in (AttemptPhase.RUNNING, AttemptPhase.STOPPING)
        if gang.is_finished and started and gang.job.id not in self._closed_jobs:
            # The last part may finish before a stop command reaches it. The result is still
            # recorded.
            gang.phase = AttemptPhase.RUNNING
            self.policy.record_finish(gang, event.run_s)
            self._record_finish(gang)
        elif event.state is not PartState.FINISHED or gang.phase is AttemptPhase.STOPPING:
            # A target that shuts down checkpoints its parts, so the parts of the gang on other
            # targets are checkpointed as well.
            is_checkpointed = event.state is PartState.STOPPED and event.checkpointed
            outcome = AttemptOutcome.DRAINED if is_checkpointed else AttemptOutcome.FAILED
            self._stop_gang(gang, outcome, now)

    def _record_finish(self, gang: Gang) -> None:
        gang.finish_sent = True
        result = gang.result
        digest = hashlib.sha256(result).hexdigest()
        body = JobFinished(gang.job.id, gang.attempt, self.domain, self.epoch, result, digest)
        self._emit(AppendRecord(body))

    def _stop_gang(self, gang: Gang, outcome: AttemptOutcome, now: float) -> None:
        """Stop all parts that have not ended, and close the gang once every part has ended.

        If the gang is already stopping, it keeps its first outcome and no command is sent again.
        """
        if gang.phase in (AttemptPhase.RESERVING, AttemptPhase.RECORDING):
            self._abandon(gang, now)
            return
        if gang.phase is not AttemptPhase.STOPPING:
            gang.phase = AttemptPhase.STOPPING
            gang.outcome = outcome
            gang.phase_started_at = now
            self._jobs_with_timeout[gang.job.id] = None
            checkpoint = outcome in (AttemptOutcome.PREEMPTED, AttemptOutcome.DRAINED)
            for target in gang.targets:
                if any(part.state is None for part in gang.parts_on(target)):
                    self._emit(StopParts(target, gang.job.id, gang.attempt, checkpoint))
        if gang.has_ended:
            self._close_gang(gang, now)

    def _close_gang(self, gang: Gang, now: float) -> None:
        del self.gangs[gang.job.id]
        self._pending_cells.pop(gang.job.id, None)
        self.cell_plan.end_use(gang.job.id)
        self.policy.record_end(gang)
        self._needs_pass = True
        for target in gang.targets:
            self._emit(ForgetParts(target, gang.job.id, gang.attempt))
        if gang.job.id in self._closed_jobs:
            self._closed_jobs.discard(gang.job.id)
            self.cell_plan.release_cell(gang.job.id)
            self.drain.release_hold(gang.job.id)
            self._latest_attempts.pop(gang.job.id, None)
            return
        outcome = gang.final_outcome()
        if gang.start_recorded:
            body = AttemptEnded(gang.job.id, gang.attempt, self.domain, self.epoch, outcome)
            self._emit(AppendRecord(body))
        if outcome is not AttemptOutcome.MAY_HAVE_RUN:
            self._emit(CountRetry(_RETRY_OF_OUTCOME[outcome]))
            reason = self.policy.requeue(gang, outcome, now)
            if reason is not None:
                self._refuse(gang.job, reason)

    def _on_usage_reported(self, event: UsageReported, now: float) -> None:
        gang = self.gangs.get(event.job)
        if gang is not None:
            self.policy.record_usage(gang, event.busy, now)

    def _on_probe_ended(self, event: ProbeEnded) -> None:
        if self.policy.quarantine.record_probe(event.target, event.passed):
            self.queue.clear_blocked()
            self._needs_pass = True

    def _on_log_availability(self, up: bool, now: float) -> None:
        self._log_up = up
        if up:
            return
        for gang in list(self.gangs.values()):
            if gang.phase is AttemptPhase.RECORDING and gang.job.idempotent:
                self._commit(gang, now)

    def _on_tick(self, now: float) -> None:
        for target in self.policy.tick(now):
            self._emit(ProbeWorker(target))
        self._needs_pass = bool(len(self.queue))
        for job in list(self._jobs_with_timeout):
            gang = self.gangs.get(job)
            if gang is None or gang.phase not in (AttemptPhase.RESERVING, AttemptPhase.STOPPING):
                del self._jobs_with_timeout[job]
            elif gang.phase is AttemptPhase.STOPPING:
                self._force_stop_if_overdue(gang, now)
            elif now - gang.phase_started_at > RESERVE_TIMEOUT_S:
                self._emit(CountRetry(RetryReason.RESERVE_TIMEOUT))
                self._abandon(gang, now)
        self.cell_plan.refresh()
        self._update_exclusions(now)
        for gang in self.drain.select_gangs_to_move(self.config.scrapped, self._placer):
            self._stop_gang(gang, AttemptOutcome.DRAINED, now)

    def _force_stop_if_overdue(self, gang: Gang, now: float) -> None:
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

    # Resource accounting

    def _allocate_part(self, gang: Gang, part: Part) -> None:
        shape = gang.job.shape
        place = part.placement
        self.topology.allocate(
            place.target, place.mask, shape.cores, shape.memory_gb, gang.protected
        )
        if gang.protected and gang.start_recorded:
            self.cell_plan.evict_unused_cells(place.target, place.mask)

    def _end_part(self, gang: Gang, part: Part, state: PartState) -> None:
        part.state = state
        shape = gang.job.shape
        place = part.placement
        self.topology.release(
            place.target, place.mask, shape.cores, shape.memory_gb, gang.protected
        )
        self.cell_plan.on_capacity_gained()
        self.queue.clear_blocked()
        self._needs_pass = True
