"""One checker per promise: each reads a history and returns the violations it finds."""

import hashlib
from collections import defaultdict
from collections.abc import Callable, Iterator

from comfreyshelf.config import EMPTY_CONFIG, Config, Guarantee
from comfreyshelf.config_text import parse_config
from comfreyshelf.errors import Execution
from comfreyshelf.ids import Attempt, JobId, RackId, RequestId, TargetId, Version, ZoneId
from comfreyshelf.model import Adjacency, Job, JobState, PartState, Shape, WorkerInfo
from comfreyshelf.records import AttemptStarted, ConfigPublished, JobAccepted, JobFinished
from comfreyshelf.worker import standin_job_result
from features.history.events import (
    ConfigRead,
    Crashed,
    EntryEnded,
    FaultActive,
    HistoryEvent,
    JobAnswered,
    JobLost,
    JobSubmitted,
    PartExited,
    PartsReleased,
    PartsReserved,
    PartStarted,
    Promise,
    Published,
    Recorded,
    RequestAnswered,
    RequestSent,
    ResultRead,
    RunnerEnded,
    RunnerStarted,
    Violation,
    WorkerDown,
    WorkerUp,
)

History = list[HistoryEvent]

DRAIN_LIMIT_S = 3.0
CONFIG_LIMIT_S = 7.0
# A target's lease of 6 s, 1 s until the owner notices its end, and 2 s for messages.
GANG_LIMIT_S = 9.0
# An owner still places work on a dead target until the target's lease has lapsed, as above, and on
# a scrapped target for as long as check_drain allows new work there.
LOSS_DETECTION_LIMIT_S = 9.0
SCRAP_VISIBILITY_LIMIT_S = DRAIN_LIMIT_S
# Within this time the report that a part ended reaches the scheduler.
REPORT_DELAY_LIMIT_S = 1.0


class _FaultTimeline:
    """When faults were active."""

    def __init__(self, history: History) -> None:
        self._faults = [event for event in history if isinstance(event, FaultActive)]

    def last_end(self, time: float) -> float:
        """End of the latest fault that began by `time`; infinity while a fault is active."""
        latest = max((e.until for e in self._faults if e.time <= time), default=0.0)
        return latest if latest <= time else float("inf")


# Guarantee


def aligned_masks(accelerators: int, capacity: int) -> Iterator[int]:
    """Masks of `accelerators` adjacent bits, as the planner may allocate them.

    Each starts at a multiple of `accelerators` rounded up to the next power of two.
    """
    step = 1
    while step < accelerators:
        step *= 2
    for start in range(0, capacity, step):
        if start + accelerators <= capacity:
            yield ((1 << accelerators) - 1) << start


def _adjacency_unit(worker: WorkerInfo, adjacency: Adjacency) -> str:
    if adjacency is Adjacency.WORKER:
        return worker.target
    return worker.rack if adjacency is Adjacency.RACK else worker.zone


def fits(shapes: list[Shape], free: dict[TargetId, int], workers: list[WorkerInfo]) -> bool:
    """Whether all shapes fit at once into the free accelerators, by exhaustive search.

    `free` has a mask of free accelerators for each target.
    """
    ordered = sorted(shapes, key=lambda s: (-s.accelerators, -s.total_accelerators))
    pending_parts = [
        (index, shape) for index, shape in enumerate(ordered) for _ in range(shape.parts)
    ]
    unit_of: dict[int, str] = {}
    visited: set[tuple[object, ...]] = set()

    def search(position: int) -> bool:
        if position == len(pending_parts):
            return True
        state = (position, tuple(sorted(free.items())), tuple(sorted(unit_of.items())))
        if state in visited:
            return False
        visited.add(state)
        index, shape = pending_parts[position]
        for worker in workers:
            unit = _adjacency_unit(worker, shape.adjacency)
            if unit_of.get(index, unit) != unit:
                continue
            for mask in aligned_masks(shape.accelerators, worker.accelerators):
                if free[worker.target] & mask != mask:
                    continue
                previous_unit = unit_of.get(index)
                free[worker.target] &= ~mask
                unit_of[index] = unit
                if search(position + 1):
                    return True
                free[worker.target] |= mask
                if previous_unit is None:
                    del unit_of[index]
        return False

    return search(0)


HeldKey = tuple[TargetId, JobId, Attempt]
# The workers that an owner knows, and masks of released accelerators that it still counts as used.
FleetView = tuple[dict[TargetId, WorkerInfo], dict[TargetId, int]]


class _FleetState:
    """Which attempt holds each accelerator, and which guarantees are in use.

    The start record of an attempt names the guarantee that it uses. The name counts only if the job
    fits that guarantee and no other attempt uses it. An attempt without a start record uses any
    guarantee that it fits, unless its job may borrow.
    """

    def __init__(self, history: History) -> None:
        self._cells = {
            (event.body.job, event.body.attempt): event.body.cell
            for event in history
            if isinstance(event, Recorded) and isinstance(event.body, AttemptStarted)
        }
        self.config: Config = EMPTY_CONFIG
        self.workers: dict[TargetId, WorkerInfo] = {}
        self.held_attempts: dict[HeldKey, tuple[Job, dict[int, int]]] = {}
        self._runs: dict[int, tuple[HeldKey, int]] = {}
        self._lost_workers: dict[TargetId, tuple[float, WorkerInfo]] = {}
        self._scrapped_since: dict[TargetId, float] = {}
        self._recently_freed: list[tuple[float, TargetId, int]] = []
        self._started_attempts: set[tuple[JobId, Attempt]] = set()

    def apply(self, event: HistoryEvent) -> None:
        match event:
            case Recorded(accepted=True, body=ConfigPublished() as body):
                self.config = parse_config(body.text, body.version).default_value(self.config)
                scrapped = self.config.scrapped
                self._scrapped_since = {
                    t: self._scrapped_since.get(t, event.time) for t in scrapped
                }
            case WorkerUp():
                self.workers[event.worker.target] = event.worker
                self._lost_workers.pop(event.worker.target, None)
            case WorkerDown():
                worker = self.workers.pop(event.target, None)
                if worker is not None:
                    self._lost_workers[event.target] = (event.time, worker)
                self.held_attempts = {
                    k: v for k, v in self.held_attempts.items() if k[0] != event.target
                }
            case PartsReserved():
                self._drop_unstarted_attempts(event)
                masks = {placement.part: placement.mask for placement in event.placements}
                self.held_attempts[event.target, event.job.id, event.attempt] = (event.job, masks)
            case PartStarted():
                key = (event.target, event.job.id, event.attempt)
                self._runs[event.run] = (key, event.placement.part)
                self._started_attempts.add(key[1:])
            case PartExited() if event.run in self._runs:
                key, part = self._runs[event.run]
                if key in self.held_attempts:
                    self._record_freed(
                        event.time, event.target, self.held_attempts[key][1].pop(part, 0)
                    )
            case PartsReleased():
                held = self.held_attempts.pop((event.target, event.job, event.attempt), None)
                for mask in held[1].values() if held else ():
                    self._record_freed(event.time, event.target, mask)

    def _drop_unstarted_attempts(self, event: PartsReserved) -> None:
        """Drop older attempts of the job that never started: they were released or will expire."""
        for key in list(self.held_attempts):
            _, job, attempt = key
            if (
                job == event.job.id
                and attempt < event.attempt
                and key[1:] not in self._started_attempts
            ):
                del self.held_attempts[key]

    def _record_freed(self, now: float, target: TargetId, mask: int) -> None:
        self._recently_freed = [
            item for item in self._recently_freed if now - item[0] <= REPORT_DELAY_LIMIT_S
        ]
        self._recently_freed.append((now, target, mask))

    def views(self, now: float) -> Iterator[FleetView]:
        """The actual fleet, and the fleet as an owner may see it while its information is late."""
        old = {
            t: w
            for t, (time, w) in self._lost_workers.items()
            if now - time <= LOSS_DETECTION_LIMIT_S
        }
        marked = {
            t for t, time in self._scrapped_since.items() if now - time > SCRAP_VISIBILITY_LIMIT_S
        }
        freed: dict[TargetId, int] = defaultdict(int)
        for time, target, mask in self._recently_freed:
            if now - time <= REPORT_DELAY_LIMIT_S:
                freed[target] |= mask
        for known in (self.workers, self.workers | old):
            for leaving in (self.config.scrapped, marked):
                workers = {target: w for target, w in known.items() if target not in leaving}
                yield workers, {}
                yield workers, freed

    def breaks_guarantee(self, domain: str, job: JobId, view: FleetView) -> bool:
        """Whether the unused guaranteed shapes fit into `view` without `job`, but not with it."""
        return not self._unused_guarantees_fit(domain, view) and self._unused_guarantees_fit(
            domain, view, job
        )

    def _unused_guarantees_fit(
        self, domain: str, view: FleetView, excluded_job: JobId | None = None
    ) -> bool:
        """Whether all unused guaranteed shapes of `domain` fit at once without `excluded_job`."""
        known, freed = view
        workers = [
            worker
            for worker in known.values()
            if worker.zone in self.config.zones and self.config.zones[worker.zone].domain == domain
        ]
        free = {w.target: ((1 << w.accelerators) - 1) & ~freed.get(w.target, 0) for w in workers}
        unused, unreclaimable = self._split_by_use(domain, excluded_job)
        for (target, job_id, attempt), (_, masks) in self.held_attempts.items():
            if target in free and (job_id, attempt) in unreclaimable:
                free[target] &= ~sum(masks.values())
        return fits([guarantee.shape for guarantee in unused], free, workers)

    def is_unreclaimable(self, job: Job, attempt: Attempt) -> bool:
        """Whether preemption cannot return the accelerators of an attempt to a guarantee."""
        return not job.may_borrow or self._cells.get((job.id, attempt)) is not None

    def _split_by_use(
        self, domain: str, excluded_job: JobId | None
    ) -> tuple[list[Guarantee], set[tuple[JobId, Attempt]]]:
        """The unused guarantees, and the attempts whose accelerators cannot be reclaimed."""
        unused = sorted(
            self.config.domain_guarantees(domain), key=lambda item: item.shape.total_accelerators
        )
        running = {
            (name, attempt): job
            for (_, name, attempt), (job, _) in self.held_attempts.items()
            if name != excluded_job
        }
        unreclaimable = {key for key, job in running.items() if not job.may_borrow}
        # Attempts with a start record come first, then larger before smaller ones.
        order = sorted(
            running.items(),
            key=lambda item: (item[0] not in self._cells, -item[1].shape.total_accelerators),
        )
        for key, job in order:
            cell = self._cells.get(key)
            if (key in self._cells and cell is None) or (key not in self._cells and job.may_borrow):
                continue
            for guarantee in unused:
                named = cell is None or cell.index == guarantee.index
                if (
                    guarantee.organisation == job.organisation
                    and named
                    and _fits_cell(guarantee, job)
                ):
                    unused.remove(guarantee)
                    unreclaimable.add(key)
                    break
        return unused, unreclaimable


def _fits_cell(guarantee: Guarantee, job: Job) -> bool:
    """Whether the job fits into every possible placement of the guaranteed shape."""
    shape = guarantee.shape
    on_one_worker = shape.adjacency is Adjacency.WORKER
    worker_sizes = (
        [shape.total_accelerators] if on_one_worker else [shape.accelerators] * shape.parts
    )
    workers = [
        WorkerInfo(
            TargetId(str(index)),
            ZoneId("zone"),
            RackId("rack" if shape.adjacency is not Adjacency.ZONE else str(index)),
            accelerators,
            0,
            0,
            0,
        )
        for index, accelerators in enumerate(worker_sizes)
    ]
    free = {worker.target: (1 << worker.accelerators) - 1 for worker in workers}
    return fits([job.shape], free, workers)


def check_guarantee(history: History) -> list[Violation]:
    """No reservation takes accelerators that unused guaranteed shapes need.

    The loss of a worker may take them. A reservation is a violation only if all shapes fitted
    before it in every view: the actual fleet, and the fleet as the owner may still see it.
    """
    fleet = _FleetState(history)
    found = []
    for event in history:
        fleet.apply(event)
        if not isinstance(event, PartsReserved) or not fleet.is_unreclaimable(
            event.job, event.attempt
        ):
            continue
        worker = fleet.workers.get(event.target)
        zone = fleet.config.zones.get(worker.zone) if worker else None
        views = fleet.views(event.time)
        if zone and all(fleet.breaks_guarantee(zone.domain, event.job.id, view) for view in views):
            message = f"after {event.job.id} the guaranteed shapes no longer fit"
            found.append(Violation(Promise.GUARANTEE, message, (event,)))
    return found


# Gang


def check_gang(history: History) -> list[Violation]:
    """An attempt runs all parts in one worker, rack or zone as asked, or stops them all in time."""
    found = []
    faults = _FaultTimeline(history)
    workers = {e.worker.target: e.worker for e in history if isinstance(e, WorkerUp)}
    attempts: dict[tuple[JobId, Attempt], list[PartStarted]] = defaultdict(list)
    ends: dict[int, HistoryEvent] = {}
    for event in history:
        match event:
            case PartStarted():
                attempts[event.job.id, event.attempt].append(event)
            case PartExited():
                ends[event.run] = event
            case WorkerDown():
                for starts in attempts.values():
                    for start in starts:
                        if start.target == event.target:
                            ends.setdefault(start.run, event)
    for starts in attempts.values():
        found += _check_attempt(history[-1].time, faults, starts, ends, workers)
    return found


def _check_attempt(
    history_end: float,
    faults: _FaultTimeline,
    starts: list[PartStarted],
    ends: dict[int, HistoryEvent],
    workers: dict[TargetId, WorkerInfo],
) -> list[Violation]:
    job = starts[0].job
    name = f"attempt {starts[0].attempt} of {job.id}"
    units = {_adjacency_unit(workers[s.target], job.shape.adjacency) for s in starts}
    found = []
    if len(units) > 1:
        message = f"{name} runs in {len(units)} units of {job.shape.adjacency.value}"
        found.append(Violation(Promise.GANG, message, tuple(starts)))
    unbroken_parts = {s.placement.part for s in starts if not _ended_early(ends.get(s.run))}
    if len(unbroken_parts) == job.shape.parts:
        return found
    failure_times = [end.time for s in starts if _ended_early(end := ends.get(s.run))]
    incomplete_since = min(failure_times, default=max(s.time for s in starts))
    for start in starts:
        end = ends.get(start.run)
        until = end.time if end else history_end
        if until - max(incomplete_since, faults.last_end(until)) > GANG_LIMIT_S:
            message = f"{name} runs without all parts for {until - incomplete_since:.1f} s"
            found.append(Violation(Promise.GANG, message, (start, *([end] if end else []))))
    return found


def _ended_early(end: HistoryEvent | None) -> bool:
    return isinstance(end, WorkerDown) or (
        isinstance(end, PartExited) and end.state is not PartState.FINISHED
    )


# Answer


def check_answer(history: History) -> list[Violation]:
    """Every caller gets the complete result of its own job or request, and every job ends."""
    found = []
    jobs = {e.job.id: e.job for e in history if isinstance(e, JobSubmitted)}
    requests = {e.request: e for e in history if isinstance(e, RequestSent)}
    for event in history:
        match event:
            case JobLost():
                found.append(Violation(Promise.ANSWER, f"{event.job} never ended", (event,)))
            case ResultRead(state=JobState.FINISHED):
                whole = standin_job_result(jobs[event.job])
                digest = hashlib.sha256(event.result).hexdigest()
                if event.result != whole or event.digest != digest:
                    message = f"{event.job} returned a result that is incomplete or of another job"
                    found.append(Violation(Promise.ANSWER, message, (event,)))
            case RequestAnswered() if event.body is not None:
                sent = requests[event.request]
                if event.body != sent.body[::-1]:
                    message = f"{event.request} got the answer to another request"
                    found.append(Violation(Promise.ANSWER, message, (sent, event)))
    return found


# Refusal


def check_refusal(history: History) -> list[Violation]:
    """Work refused as "not run" never runs, and such a job is never accepted."""
    refused: dict[str, HistoryEvent] = {}
    for event in history:
        if isinstance(event, JobAnswered) and event.execution is Execution.NOT_RUN:
            refused[event.job] = event
        elif isinstance(event, RequestAnswered) and event.execution is Execution.NOT_RUN:
            refused[event.request] = event
    found = []
    for event in history:
        name = ""
        match event:
            case RunnerStarted():
                name = event.request
            case PartStarted():
                name = event.job.id
            case Recorded(accepted=True, body=JobAccepted() as body):
                name = body.job.id
        if name in refused:
            message = f"{name} was refused as not run, but was then accepted or run"
            found.append(Violation(Promise.REFUSAL, message, (refused[name], event)))
    return found


# At most once


def check_at_most_once(history: History) -> list[Violation]:
    """Non-idempotent work starts again only after a checkpoint, and each job finishes once."""
    found = _check_runs(history)
    started: dict[str, HistoryEvent] = {}
    request_keys = {
        e.request: e.key or e.request
        for e in history
        if isinstance(e, RequestSent) and not e.idempotent
    }
    finished: dict[JobId, HistoryEvent] = {}
    for event in history:
        match event:
            case RunnerStarted() if event.request in request_keys:
                name = request_keys[event.request]
                if name in started:
                    events = (started[name], event)
                    found.append(Violation(Promise.AT_MOST_ONCE, f"{name} ran twice", events))
                started[name] = event
            case Recorded(accepted=True, body=JobFinished() as body):
                if body.job in finished:
                    message = f"{body.job} finished twice"
                    events = (finished[body.job], event)
                    found.append(Violation(Promise.AT_MOST_ONCE, message, events))
                finished[body.job] = event
    return found


def _check_runs(history: History) -> list[Violation]:
    runs: dict[tuple[JobId, int], PartStarted] = {}
    checkpointed: set[int] = set()
    found = []
    for event in history:
        match event:
            case PartExited(checkpointed=True):
                checkpointed.add(event.run)
            case PartStarted() if not event.job.idempotent:
                key = (event.job.id, event.placement.part)
                earlier = runs.get(key)
                if earlier is not None and earlier.run not in checkpointed:
                    message = f"part {key[1]} of {key[0]} ran twice"
                    found.append(Violation(Promise.AT_MOST_ONCE, message, (earlier, event)))
                runs[key] = event
    return found


# Drain


def check_drain(history: History) -> list[Violation]:
    """A scrapped target takes no new work from 3 s after its configuration was accepted."""
    faults = _FaultTimeline(history)
    scrapped_since: dict[TargetId, float] = {}
    found = []
    for event in history:
        match event:
            case Published():
                scrapped_since = {t: scrapped_since.get(t, event.time) for t in event.scrapped}
            case PartsReserved() | RunnerStarted() if event.target in scrapped_since:
                late = event.time - max(scrapped_since[event.target], faults.last_end(event.time))
                if late > DRAIN_LIMIT_S:
                    message = (
                        f"{event.target} took new work {late:.1f} s after it was marked as scrap"
                    )
                    found.append(Violation(Promise.DRAIN, message, (event,)))
    return found


# Graceful


def check_graceful(history: History) -> list[Violation]:
    """A planned stop of a process ends no part or request that it still runs or waits for."""
    sent: dict[RequestId, RequestSent] = {}
    parts: dict[int, PartStarted] = {}
    requests: dict[tuple[TargetId, RequestId], RunnerStarted] = {}
    found = []
    for event in history:
        match event:
            case PartStarted():
                parts[event.run] = event
            case PartExited():
                parts.pop(event.run, None)
            case RunnerStarted():
                requests[event.target, event.request] = event
            case RunnerEnded():
                requests.pop((event.target, event.request), None)
            case RequestSent():
                sent[event.request] = event
            case RequestAnswered():
                sent.pop(event.request, None)
            case EntryEnded():
                waiting = [call for call in sent.values() if call.entry == event.entry]
                if event.planned and waiting:
                    message = f"stopping {event.entry} interrupted {len(waiting)} requests"
                    found.append(Violation(Promise.GRACEFUL, message, (*waiting, event)))
            case WorkerDown():
                ended = [start for start in parts.values() if start.target == event.target]
                ended += [start for start in requests.values() if start.target == event.target]
                parts = {k: v for k, v in parts.items() if v.target != event.target}
                requests = {k: v for k, v in requests.items() if v.target != event.target}
                if event.planned and ended:
                    message = f"stopping {event.target} interrupted {len(ended)} parts or requests"
                    found.append(Violation(Promise.GRACEFUL, message, (*ended, event)))
    return found


# Configuration


def check_configuration(history: History) -> list[Violation]:
    """Versions never revert, have one text each, and reach every process within CONFIG_LIMIT_S."""
    found = []
    texts: dict[Version, str] = {}
    last_read: dict[str, ConfigRead] = {}
    faults = _FaultTimeline(history)
    published = [event for event in history if isinstance(event, Published)]
    for event in history:
        match event:
            case Published() | ConfigRead() if event.text:
                if texts.setdefault(event.version, event.text) != event.text:
                    message = f"version {event.version} has two texts"
                    found.append(Violation(Promise.CONFIGURATION, message, (event,)))
        if isinstance(event, ConfigRead):
            before = last_read.get(event.process)
            if before is not None and event.version < before.version:
                message = f"{event.process} reverted to version {event.version}"
                found.append(Violation(Promise.CONFIGURATION, message, (before, event)))
            last_read[event.process] = event
            found += _check_delay(published, faults, event)
    return found


def _check_delay(
    published: list[Published], faults: _FaultTimeline, read: ConfigRead
) -> list[Violation]:
    for event in published:
        if event.time >= read.time or read.version >= event.version:
            continue
        if read.time - max(event.time, faults.last_end(read.time)) > CONFIG_LIMIT_S:
            message = f"{read.process} did not get version {event.version} in time"
            return [Violation(Promise.CONFIGURATION, message, (event, read))]
    return []


def check_crashes(history: History) -> list[Violation]:
    """No process raises an unhandled exception."""
    crashes = [event for event in history if isinstance(event, Crashed)]
    return [Violation(None, f"{e.process} raised {e.error}", (e,)) for e in crashes]


CHECKERS: dict[Promise, Callable[[History], list[Violation]]] = {
    Promise.GUARANTEE: check_guarantee,
    Promise.GANG: check_gang,
    Promise.ANSWER: check_answer,
    Promise.REFUSAL: check_refusal,
    Promise.AT_MOST_ONCE: check_at_most_once,
    Promise.DRAIN: check_drain,
    Promise.GRACEFUL: check_graceful,
    Promise.CONFIGURATION: check_configuration,
}


def check_all(history: History) -> list[Violation]:
    """Violations of all promises, and unhandled exceptions."""
    return [v for check in (*CHECKERS.values(), check_crashes) for v in check(history)]
