"""Replays a load against a `Scheduler` on a virtual clock, with simulated targets and log."""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from functools import partial

import msgspec

from benchmarks.load import SimulatedJob
from comfreyshelf.commands import (
    AppendRecord,
    Command,
    CommitParts,
    ProbeWorker,
    ReleaseParts,
    ReserveParts,
    StopParts,
)
from comfreyshelf.config import Config
from comfreyshelf.events import (
    ConfigInForce,
    Event,
    JobClosed,
    JobQueued,
    LogAvailability,
    PartEnded,
    PartsReserved,
    ProbeEnded,
    ReservationRefused,
    StartRecorded,
    Tick,
    WorkerLost,
    WorkerReported,
)
from comfreyshelf.ids import Attempt, JobId, OrganisationId, TargetId
from comfreyshelf.model import AttemptOutcome, PartState, Placement, WorkerInfo
from comfreyshelf.reasons import RefusalReason
from comfreyshelf.records import AnyBody, AttemptEnded, AttemptStarted, JobFinished, JobRefused
from comfreyshelf.scheduler import Scheduler

# Delays and intervals in virtual time.
MESSAGE_DELAY_S = 0.004
APPEND_DELAY_S = 0.02
TICK_INTERVAL_S = 1.0
STATUS_INTERVAL_S = 2.0
WORKER_LOST_AFTER_S = 7.0
JOB_FAILS_AFTER_S = 2.0
# A checkpoint takes a uniformly random time between these bounds.
CHECKPOINT_RANGE_S = (0.5, 4.0)
SAMPLE_INTERVAL_S = 30.0


class JobOutcome(msgspec.Struct):
    """What happened to one job; `started_at` and `ended_at` are -1 until the job starts and ends.

    `lost_run_s` is run time that was lost because an attempt ended without a checkpoint.
    `within_guarantee` tells whether the job, together with the placed jobs of its organisation,
    fitted into the organisation's guarantees when it arrived.
    """

    simulated: SimulatedJob
    started_at: float = -1.0
    ended_at: float = -1.0
    finish_count: int = 0
    refused: RefusalReason | None = None
    cancelled: bool = False
    may_have_run: bool = False
    within_guarantee: bool = False
    lost_run_s: float = 0.0

    @property
    def slowdown(self) -> float:
        """Time from acceptance to completion, divided by the run time."""
        return (self.ended_at - self.simulated.job.accepted_at) / self.simulated.run_s


class _HeldParts(msgspec.Struct):
    """Parts of one attempt that one target holds; `started_at` is -1 until they start."""

    placements: tuple[Placement, ...]
    started_at: float = -1.0
    ended: bool = False


class Replay:
    """One run of one policy.

    `now` is the virtual time in seconds. `drained_after_s` is the time that the target marked by
    `scrap` took to become empty, or -1 while it holds parts. `completed_work` lists finished or
    checkpointed runs in the form of `retained_work`.
    """

    def __init__(
        self, scheduler: Scheduler, config: Config, workers: list[WorkerInfo], seed: int
    ) -> None:
        self.scheduler = scheduler
        self.outcomes: dict[JobId, JobOutcome] = {}
        self.now = 0.0
        self.counts: Counter[str] = Counter()
        self.completed_work: list[tuple[OrganisationId, int, float, float]] = []
        self.drained_after_s = -1.0
        self._config = config
        self._workers = {info.target: info for info in workers}
        self._rng = random.Random(seed)
        self._actions: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._held: dict[tuple[TargetId, JobId, Attempt], _HeldParts] = {}
        self._checkpointed_s: dict[JobId, float] = {}
        self._failing: set[TargetId] = set()
        self._down: set[TargetId] = set()
        self._log_up = True
        self._pending_records: list[AnyBody] = []
        self._open_jobs = 0
        self._scrapped_at = -1.0
        self._scrapped_target: TargetId | None = None
        self._feed(ConfigInForce(config))
        for info in workers:
            self._feed(WorkerReported(info))

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Call `action` at the virtual time `when`."""
        self._sequence += 1
        heapq.heappush(self._actions, (when, self._sequence, action))

    def submit(self, jobs: list[SimulatedJob]) -> None:
        """Schedule the arrivals of jobs, and their cancellations."""
        for simulated in jobs:
            self._open_jobs += 1
            self.schedule(simulated.job.accepted_at, partial(self._arrive, simulated))
            if simulated.cancel_at:
                self.schedule(simulated.cancel_at, partial(self._cancel, simulated.job.id))

    def run(self, until: float, sample: Callable[[Scheduler], None]) -> None:
        """Run until every job has ended, at most to the virtual time `until`.

        `sample` is called with the scheduler every SAMPLE_INTERVAL_S until the last action that was
        scheduled before the run.
        """
        last_scheduled_at = max(entry[0] for entry in self._actions)
        self.schedule(TICK_INTERVAL_S, lambda: self._tick(until))
        self.schedule(SAMPLE_INTERVAL_S, lambda: self._sample(sample, last_scheduled_at))
        while self._actions and self.now < until and self._open_jobs:
            self.now, _, action = heapq.heappop(self._actions)
            action()

    # Faults

    def lose_worker(self, target: TargetId, back_after_s: float) -> None:
        """Make a VM fail; the scheduler learns of it only after the lease has expired."""
        self._down.add(target)
        for key, held in list(self._held.items()):
            if key[0] == target:
                del self._held[key]
                if held.started_at >= 0 and not held.ended:
                    self.outcomes[key[1]].lost_run_s += self.now - held.started_at
        self.schedule(self.now + WORKER_LOST_AFTER_S, lambda: self._feed(WorkerLost(target)))
        self.schedule(
            self.now + max(back_after_s, WORKER_LOST_AFTER_S + 1), lambda: self._rejoin(target)
        )

    def break_worker(self, target: TargetId, repair_after_s: float) -> None:
        """Make a worker fail every part that it starts until it is repaired."""
        self._failing.add(target)
        self.schedule(self.now + repair_after_s, lambda: self._failing.discard(target))

    def log_outage(self, duration_s: float) -> None:
        """Make the log unreachable for `duration_s` seconds."""
        self._log_up = False
        self._feed(LogAvailability(False))
        self.schedule(self.now + duration_s, self._restore_log)

    def scrap(self, target: TargetId) -> None:
        """Publish a configuration that marks a target as scrap, so that it is drained."""
        self._scrapped_at = self.now
        self._scrapped_target = target
        version = type(self._config.version)(self._config.version + 1)
        scrapped = self._config.scrapped | {target}
        self._config = msgspec.structs.replace(self._config, version=version, scrapped=scrapped)
        self._feed(ConfigInForce(self._config))
        self._check_empty()

    def _restore_log(self) -> None:
        self._log_up = True
        bodies, self._pending_records = self._pending_records, []
        for body in bodies:
            self._acknowledge(body)
        self._feed(LogAvailability(True))

    def _rejoin(self, target: TargetId) -> None:
        self._down.discard(target)
        info = self._workers[target]
        self._workers[target] = msgspec.structs.replace(info, incarnation=info.incarnation + 1)
        self._feed(WorkerReported(self._workers[target]))

    # Callers

    def _arrive(self, simulated: SimulatedJob) -> None:
        job = simulated.job
        outcome = JobOutcome(simulated)
        outcome.within_guarantee = self._is_within_guarantee(simulated)
        self.outcomes[job.id] = outcome
        self._feed(JobQueued(job))

    def _is_within_guarantee(self, simulated: SimulatedJob) -> bool:
        job = simulated.job
        guaranteed = sum(
            guarantee.shape.total_accelerators
            for guarantee in self._config.domain_guarantees(self.scheduler.domain)
            if guarantee.organisation == job.organisation
        )
        used = sum(
            gang.job.shape.total_accelerators
            for gang in self.scheduler.gangs.values()
            if gang.job.organisation == job.organisation
        )
        return used + job.shape.total_accelerators <= guaranteed

    def _cancel(self, job: JobId) -> None:
        outcome = self.outcomes[job]
        if outcome.ended_at < 0:
            outcome.cancelled = True
            self._close(outcome)
            self._feed(JobClosed(job))

    def _close(self, outcome: JobOutcome) -> None:
        if outcome.ended_at < 0:
            self._open_jobs -= 1
            outcome.ended_at = self.now

    # Core

    def _feed(self, event: Event) -> None:
        for command in self.scheduler.handle(event, self.now):
            self._execute(command)

    def _feed_later(self, event: Event, delay_s: float = MESSAGE_DELAY_S) -> None:
        self.schedule(self.now + delay_s, lambda: self._feed(event))

    def _tick(self, until: float) -> None:
        self._feed(Tick())
        if self.now < until:
            self.schedule(self.now + TICK_INTERVAL_S, lambda: self._tick(until))

    def _sample(self, sample: Callable[[Scheduler], None], last_scheduled_at: float) -> None:
        sample(self.scheduler)
        if self.now + SAMPLE_INTERVAL_S < last_scheduled_at:
            self.schedule(
                self.now + SAMPLE_INTERVAL_S, lambda: self._sample(sample, last_scheduled_at)
            )

    def _execute(self, command: Command) -> None:
        match command:
            case ReserveParts():
                self._reserve(command)
            case CommitParts():
                key = (command.target, command.job, command.attempt)
                self.schedule(self.now + MESSAGE_DELAY_S, lambda: self._start_parts(key))
            case ReleaseParts():
                self._held.pop((command.target, command.job, command.attempt), None)
                self._check_empty()
            case StopParts():
                key = (command.target, command.job, command.attempt)
                delay = (
                    self._rng.uniform(*CHECKPOINT_RANGE_S)
                    if command.checkpoint
                    else MESSAGE_DELAY_S
                )
                self.schedule(self.now + delay, lambda: self._stop_parts(key, command.checkpoint))
            case ProbeWorker():
                passed = command.target not in self._failing
                self.counts["probes"] += 1
                if command.target not in self._down:
                    self._feed_later(ProbeEnded(command.target, passed), 1.0)
            case AppendRecord():
                body = command.body
                if self._log_up:
                    self.schedule(self.now + APPEND_DELAY_S, lambda: self._acknowledge(body))
                else:
                    self._pending_records.append(body)

    def _acknowledge(self, body: AnyBody) -> None:
        match body:
            case AttemptStarted():
                self._feed(StartRecorded(body.job, body.attempt, True))
            case AttemptEnded():
                if body.outcome is AttemptOutcome.MAY_HAVE_RUN:
                    self.outcomes[body.job].may_have_run = True
                    self._close(self.outcomes[body.job])
            case JobFinished():
                outcome = self.outcomes[body.job]
                outcome.finish_count += 1
                self._close(outcome)
                self._feed(JobClosed(body.job))
            case JobRefused():
                self.outcomes[body.job].refused = body.reason
                self._close(self.outcomes[body.job])
                self._feed(JobClosed(body.job))

    # Targets

    def _reserve(self, command: ReserveParts) -> None:
        job = command.job.id
        if command.target in self._down:
            return
        taken = 0
        for key, held in self._held.items():
            if key[0] == command.target and not held.ended:
                for placement in held.placements:
                    taken |= placement.mask
        for placement in command.placements:
            if taken & placement.mask:
                self.counts["overlaps"] += 1
                reason = RefusalReason.OCCUPIED
                self._feed_later(ReservationRefused(job, command.attempt, command.target, reason))
                return
            taken |= placement.mask
        self._held[command.target, job, command.attempt] = _HeldParts(command.placements)
        self._feed_later(PartsReserved(job, command.attempt, command.target))

    def _start_parts(self, key: tuple[TargetId, JobId, Attempt]) -> None:
        held = self._held.get(key)
        if held is None or held.started_at >= 0:
            return
        held.started_at = self.now
        target, job, _ = key
        outcome = self.outcomes[job]
        if outcome.started_at < 0:
            outcome.started_at = self.now
        fails = target in self._failing or outcome.simulated.always_fails
        left_s = max(1.0, outcome.simulated.run_s - self._checkpointed_s.get(job, 0.0))
        state = PartState.FAILED if fails else PartState.FINISHED
        delay = JOB_FAILS_AFTER_S if fails else left_s
        self.schedule(self.now + delay, lambda: self._finish_parts(key, state))

    def _finish_parts(self, key: tuple[TargetId, JobId, Attempt], state: PartState) -> None:
        held = self._held.get(key)
        if held is not None and not held.ended:
            self._report_ended(key, held, state, False)

    def _stop_parts(self, key: tuple[TargetId, JobId, Attempt], checkpoint: bool) -> None:
        held = self._held.get(key)
        if held is None or held.ended:
            return
        if held.started_at >= 0:
            ran_s = self.now - held.started_at
            if checkpoint:
                self._checkpointed_s[key[1]] = self._checkpointed_s.get(key[1], 0.0) + ran_s
            else:
                self.outcomes[key[1]].lost_run_s += ran_s
        self._report_ended(key, held, PartState.STOPPED, checkpoint)

    def _report_ended(
        self,
        key: tuple[TargetId, JobId, Attempt],
        held: _HeldParts,
        state: PartState,
        checkpointed: bool,
    ) -> None:
        target, job, attempt = key
        held.ended = True
        started = held.started_at >= 0
        ran_s = self.now - held.started_at if started else 0.0
        if started and (checkpointed or state is PartState.FINISHED):
            self.completed_work.append(self._work_interval(job, held))
        del self._held[key]
        self._check_empty()
        for placement in held.placements:
            self._feed_later(
                PartEnded(
                    job, attempt, placement.part, target, state, b"x", ran_s, started, checkpointed
                )
            )

    def _work_interval(
        self, job: JobId, held: _HeldParts
    ) -> tuple[OrganisationId, int, float, float]:
        used = sum(placement.mask.bit_count() for placement in held.placements)
        return self.outcomes[job].simulated.job.organisation, used, held.started_at, self.now

    def retained_work(self) -> list[tuple[OrganisationId, int, float, float]]:
        """Return organisation, accelerators, start and end of each run that is not lost so far.

        This covers finished runs, runs that ended with a checkpoint and runs under way.
        """
        running = [
            self._work_interval(job, held)
            for (_, job, _), held in self._held.items()
            if held.started_at >= 0 and not held.ended
        ]
        return self.completed_work + running

    def _check_empty(self) -> None:
        if self._scrapped_target is None or self.drained_after_s >= 0:
            return
        if not any(key[0] == self._scrapped_target for key in self._held):
            self.drained_after_s = self.now - self._scrapped_at
