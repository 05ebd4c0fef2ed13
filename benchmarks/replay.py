"""Replays a load against a `Scheduler` with fakes for targets and log, on a virtual clock."""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from functools import partial

import msgspec

from benchmarks.load import Work
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

MESSAGE_S = 0.004
APPEND_S = 0.02
TICK_S = 1.0
STATUS_S = 2.0
LOST_AFTER_S = 7.0
FAIL_AFTER_S = 2.0
CHECKPOINT_S = (0.5, 4.0)
SAMPLE_S = 30.0


class Outcome(msgspec.Struct):
    """What happened to one job; times are seconds, -1 until they happen."""

    work: Work
    started: float = -1.0
    ended: float = -1.0
    finishes: int = 0
    refused: RefusalReason | None = None
    cancelled: bool = False
    may_have_run: bool = False
    within_guarantee: bool = False
    lost_s: float = 0.0

    @property
    def slowdown(self) -> float:
        """Time from acceptance to completion over the run time."""
        return (self.ended - self.work.job.accepted_at) / self.work.run_s


class _Running(msgspec.Struct):
    """Parts of one attempt on one target."""

    placements: tuple[Placement, ...]
    started: float = -1.0
    ended: bool = False


class Replay:
    """One run of one policy.

    `sample` is called with the scheduler every SAMPLE_S seconds of virtual time up to `until`.
    """

    def __init__(
        self, scheduler: Scheduler, config: Config, workers: list[WorkerInfo], seed: int
    ) -> None:
        self.scheduler = scheduler
        self.outcomes: dict[JobId, Outcome] = {}
        self.now = 0.0
        self.counts: Counter[str] = Counter()
        self.done: list[tuple[OrganisationId, int, float, float]] = []
        self.emptied_s = -1.0
        self._config = config
        self._workers = {info.target: info for info in workers}
        self._rng = random.Random(seed)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._held: dict[tuple[TargetId, JobId, Attempt], _Running] = {}
        self._progress: dict[JobId, float] = {}
        self._bad: set[TargetId] = set()
        self._down: set[TargetId] = set()
        self._log_up = True
        self._unlogged: list[AnyBody] = []
        self._open = 0
        self._scrap_at = -1.0
        self._scrapped: TargetId | None = None
        self._feed(ConfigInForce(config))
        for info in workers:
            self._feed(WorkerReported(info))

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Call `action` at a virtual time."""
        self._order += 1
        heapq.heappush(self._heap, (when, self._order, action))

    def submit(self, works: list[Work]) -> None:
        """Add the arrivals of a load."""
        for work in works:
            self._open += 1
            self.at(work.job.accepted_at, partial(self._arrive, work))
            if work.cancel_at:
                self.at(work.cancel_at, partial(self._cancel, work.job.id))

    def run(self, until: float, sample: Callable[[Scheduler], None]) -> None:
        """Run until every job ended, or to `until`; samples stop with the last arrival."""
        last = max(entry[0] for entry in self._heap)
        self.at(TICK_S, lambda: self._tick(until))
        self.at(SAMPLE_S, lambda: self._sample(sample, last))
        while self._heap and self.now < until and self._open:
            self.now, _, action = heapq.heappop(self._heap)
            action()

    # Faults

    def lose_worker(self, target: TargetId, back_after_s: float) -> None:
        """A VM fails; the owner learns it when the lease expired."""
        self._down.add(target)
        for key, running in list(self._held.items()):
            if key[0] == target:
                del self._held[key]
                if running.started >= 0 and not running.ended:
                    self.outcomes[key[1]].lost_s += self.now - running.started
        self.at(self.now + LOST_AFTER_S, lambda: self._feed(WorkerLost(target)))
        self.at(self.now + max(back_after_s, LOST_AFTER_S + 1), lambda: self._return(target))

    def break_worker(self, target: TargetId, repair_after_s: float) -> None:
        """A worker fails everything that it starts until it is repaired."""
        self._bad.add(target)
        self.at(self.now + repair_after_s, lambda: self._bad.discard(target))

    def log_outage(self, duration_s: float) -> None:
        """The log is unreachable for some time."""
        self._log_up = False
        self._feed(LogAvailability(False))
        self.at(self.now + duration_s, self._log_back)

    def scrap(self, target: TargetId) -> None:
        """Mark a target for decommissioning."""
        self._scrap_at = self.now
        self._scrapped = target
        version = type(self._config.version)(self._config.version + 1)
        scrapped = self._config.scrapped | {target}
        self._config = msgspec.structs.replace(self._config, version=version, scrapped=scrapped)
        self._feed(ConfigInForce(self._config))
        self._check_empty()

    def _log_back(self) -> None:
        self._log_up = True
        bodies, self._unlogged = self._unlogged, []
        for body in bodies:
            self._append(body)
        self._feed(LogAvailability(True))

    def _return(self, target: TargetId) -> None:
        self._down.discard(target)
        info = self._workers[target]
        self._workers[target] = msgspec.structs.replace(info, incarnation=info.incarnation + 1)
        self._feed(WorkerReported(self._workers[target]))

    # Callers

    def _arrive(self, work: Work) -> None:
        job = work.job
        outcome = Outcome(work)
        outcome.within_guarantee = self._within_guarantee(work)
        self.outcomes[job.id] = outcome
        self._feed(JobQueued(job))

    def _within_guarantee(self, work: Work) -> bool:
        job = work.job
        promised = sum(
            guarantee.shape.total_accelerators
            for guarantee in self._config.domain_guarantees(self.scheduler.domain)
            if guarantee.organisation == job.organisation
        )
        used = sum(
            gang.job.shape.total_accelerators
            for gang in self.scheduler.gangs.values()
            if gang.job.organisation == job.organisation
        )
        return used + job.shape.total_accelerators <= promised

    def _cancel(self, job: JobId) -> None:
        outcome = self.outcomes[job]
        if outcome.ended < 0:
            outcome.cancelled = True
            self._end(outcome)
            self._feed(JobClosed(job))

    def _end(self, outcome: Outcome) -> None:
        if outcome.ended < 0:
            self._open -= 1
            outcome.ended = self.now

    # Core

    def _feed(self, event: Event) -> None:
        for command in self.scheduler.handle(event, self.now):
            self._carry_out(command)

    def _later(self, event: Event, delay_s: float = MESSAGE_S) -> None:
        self.at(self.now + delay_s, lambda: self._feed(event))

    def _tick(self, until: float) -> None:
        self._feed(Tick())
        if self.now < until:
            self.at(self.now + TICK_S, lambda: self._tick(until))

    def _sample(self, sample: Callable[[Scheduler], None], last: float) -> None:
        sample(self.scheduler)
        if self.now + SAMPLE_S < last:
            self.at(self.now + SAMPLE_S, lambda: self._sample(sample, last))

    def _carry_out(self, command: Command) -> None:
        match command:
            case ReserveParts():
                self._reserve(command)
            case CommitParts():
                key = (command.target, command.job, command.attempt)
                self.at(self.now + MESSAGE_S, lambda: self._start(key))
            case ReleaseParts():
                self._held.pop((command.target, command.job, command.attempt), None)
                self._check_empty()
            case StopParts():
                key = (command.target, command.job, command.attempt)
                delay = self._rng.uniform(*CHECKPOINT_S) if command.checkpoint else MESSAGE_S
                self.at(self.now + delay, lambda: self._stop(key, command.checkpoint))
            case ProbeWorker():
                passed = command.target not in self._bad
                self.counts["probes"] += 1
                if command.target not in self._down:
                    self._later(ProbeEnded(command.target, passed), 1.0)
            case AppendRecord():
                body = command.body
                if self._log_up:
                    self.at(self.now + APPEND_S, lambda: self._append(body))
                else:
                    self._unlogged.append(body)

    def _append(self, body: AnyBody) -> None:
        match body:
            case AttemptStarted():
                self._feed(StartRecorded(body.job, body.attempt, True))
            case AttemptEnded():
                if body.outcome is AttemptOutcome.MAY_HAVE_RUN:
                    self.outcomes[body.job].may_have_run = True
                    self._end(self.outcomes[body.job])
            case JobFinished():
                outcome = self.outcomes[body.job]
                outcome.finishes += 1
                self._end(outcome)
                self._feed(JobClosed(body.job))
            case JobRefused():
                self.outcomes[body.job].refused = body.reason
                self._end(self.outcomes[body.job])
                self._feed(JobClosed(body.job))

    # Targets

    def _reserve(self, command: ReserveParts) -> None:
        job = command.job.id
        if command.target in self._down:
            return
        taken = 0
        for key, running in self._held.items():
            if key[0] == command.target and not running.ended:
                for placement in running.placements:
                    taken |= placement.mask
        for placement in command.placements:
            if taken & placement.mask:
                self.counts["overlaps"] += 1
                reason = RefusalReason.OCCUPIED
                self._later(ReservationRefused(job, command.attempt, command.target, reason))
                return
            taken |= placement.mask
        self._held[command.target, job, command.attempt] = _Running(command.placements)
        self._later(PartsReserved(job, command.attempt, command.target))

    def _start(self, key: tuple[TargetId, JobId, Attempt]) -> None:
        running = self._held.get(key)
        if running is None or running.started >= 0:
            return
        running.started = self.now
        target, job, _ = key
        outcome = self.outcomes[job]
        if outcome.started < 0:
            outcome.started = self.now
        fails = target in self._bad or outcome.work.broken
        left_s = max(1.0, outcome.work.run_s - self._progress.get(job, 0.0))
        state = PartState.FAILED if fails else PartState.FINISHED
        delay = FAIL_AFTER_S if fails else left_s
        self.at(self.now + delay, lambda: self._finish(key, state))

    def _finish(self, key: tuple[TargetId, JobId, Attempt], state: PartState) -> None:
        running = self._held.get(key)
        if running is not None and not running.ended:
            self._report(key, running, state, False)

    def _stop(self, key: tuple[TargetId, JobId, Attempt], checkpoint: bool) -> None:
        running = self._held.get(key)
        if running is None or running.ended:
            return
        if running.started >= 0:
            ran_s = self.now - running.started
            if checkpoint:
                self._progress[key[1]] = self._progress.get(key[1], 0.0) + ran_s
            else:
                self.outcomes[key[1]].lost_s += ran_s
        self._report(key, running, PartState.STOPPED, checkpoint)

    def _report(
        self, key: tuple[TargetId, JobId, Attempt], running: _Running, state: PartState, kept: bool
    ) -> None:
        target, job, attempt = key
        running.ended = True
        started = running.started >= 0
        ran_s = self.now - running.started if started else 0.0
        if started and (kept or state is PartState.FINISHED):
            self.done.append(self._work_of(job, running))
        del self._held[key]
        self._check_empty()
        for placement in running.placements:
            self._later(
                PartEnded(job, attempt, placement.part, target, state, b"x", ran_s, started, kept)
            )

    def _work_of(self, job: JobId, running: _Running) -> tuple[OrganisationId, int, float, float]:
        used = sum(placement.mask.bit_count() for placement in running.placements)
        return self.outcomes[job].work.job.organisation, used, running.started, self.now

    def work(self) -> list[tuple[OrganisationId, int, float, float]]:
        """Organisation, accelerators, start and end of all work that was not lost so far."""
        running = [
            self._work_of(job, each)
            for (_, job, _), each in self._held.items()
            if each.started >= 0 and not each.ended
        ]
        return self.done + running

    def _check_empty(self) -> None:
        if self._scrapped is None or self.emptied_s >= 0:
            return
        if not any(key[0] == self._scrapped for key in self._held):
            self.emptied_s = self.now - self._scrap_at
