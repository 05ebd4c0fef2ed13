"""Figures of one replay: latencies, fairness, fragmentation and counts of violations."""

from collections.abc import Iterable

import msgspec
from hdrh.histogram import HdrHistogram

from benchmarks.load import KINDS, on_time_limit_s
from benchmarks.replay import JobOutcome, Replay
from comfreyshelf.ids import OrganisationId
from comfreyshelf.model import Adjacency, Shape, Urgency
from comfreyshelf.scheduler import Scheduler
from comfreyshelf.topology import Topology, Worker, block_size

# The histogram stores integers, so values are recorded in thousandths.
_HISTOGRAM_SCALE = 1000


class JobStatistics(msgspec.Struct, frozen=True):
    """Completion times and slowdowns of a group of jobs; `on_time` is a share of the jobs."""

    jobs: int
    completion_p50_s: float
    completion_p99_s: float
    slowdown_p50: float
    slowdown_p99: float
    on_time: float


class Figures(msgspec.Struct, frozen=True):
    """All figures of one run.

    `fragmentation` and `scattered` are shares of the free accelerators, see `Fragmentation`.
    `small_over_large` is the p99 slowdown of small callers over that of big callers, `jain` Jain's
    fairness index of the callers' mean slowdowns. `reclaim_p50_s` and `reclaim_p99_s` are the waits
    of jobs within their organisation's guarantees. `empty_s` is the time to drain the scrapped
    target, -1 if it did not get empty. `overlaps` counts reservations of occupied accelerators.
    `lost_work_s` is run time without a checkpoint that was lost, `refused` counts jobs by reason.
    """

    all: JobStatistics
    by_urgency: dict[str, JobStatistics]
    by_organisation: dict[str, JobStatistics]
    fragmentation: float
    scattered: float
    small_over_large: float
    jain: float
    urgent_start_p99_s: float
    urgent_start_max_s: float
    reclaim_p50_s: float
    reclaim_p99_s: float
    empty_s: float
    unfinished: int
    finished_twice: int = msgspec.field(name="doubled")
    overlaps: int = msgspec.field(name="cut")
    lost_work_s: float
    may_have_run: int
    refused: dict[str, int]


class Fragmentation:
    """Averages the share of free accelerators that the job mix cannot use.

    Accelerators are usable for a shape if whole gangs of that shape could occupy them at the same
    time: each part on an aligned block of one worker with enough cores and memory, and all parts of
    a gang in the same worker, rack or zone, as the shape's adjacency asks. Planned cells and holds
    do not count as occupied. The unusable share is averaged over the shapes, weighted by their
    share of the jobs, and over the samples, weighted by the number of free accelerators.

    No placement can avoid all of it: 16 free accelerators never hold a gang of 24. `scattered`
    is the avoidable share: it compares with the accelerators that gangs could occupy if all free
    ones were in one place.
    """

    def __init__(self) -> None:
        self._mix = [
            (kind.share / len(kind.shapes), shape) for kind in KINDS for shape in kind.shapes
        ]
        self._free = 0.0
        self._unusable = 0.0
        self._scattered = 0.0

    def sample(self, scheduler: Scheduler) -> None:
        """Add a sample of the scheduler's current state."""
        topology = scheduler.topology
        free = sum(worker.free_mask.bit_count() for worker in topology.workers.values())
        self._free += free
        for share, shape in self._mix:
            used = usable_accelerators(shape, topology)
            self._unusable += share * (free - used)
            self._scattered += share * (
                free // shape.total_accelerators * shape.total_accelerators - used
            )

    @property
    def share(self) -> float:
        """Unusable accelerators as a share of the free ones."""
        return self._unusable / self._free if self._free else 0.0

    @property
    def scattered(self) -> float:
        """Accelerators unusable only because of their location, as a share of the free ones."""
        return self._scattered / self._free if self._free else 0.0


def usable_accelerators(shape: Shape, topology: Topology) -> int:
    """Count the free accelerators that whole gangs of `shape` could occupy at the same time."""
    total = 0
    for group in _worker_groups(shape.adjacency, topology):
        parts = sum(_free_blocks(worker, shape) for worker in group)
        total += parts // shape.parts * shape.total_accelerators
    return total


def _worker_groups(adjacency: Adjacency, topology: Topology) -> Iterable[list[Worker]]:
    if adjacency is Adjacency.WORKER:
        return [[worker] for worker in topology.workers.values()]
    if adjacency is Adjacency.RACK:
        return [[topology.workers[each] for each in rack] for rack in topology.racks.values()]
    return [list(topology.workers_in_zone(zone)) for zone in topology.zones]


def _free_blocks(worker: Worker, shape: Shape) -> int:
    want = (1 << shape.accelerators) - 1
    step = block_size(shape.accelerators)
    last = worker.capacity - shape.accelerators + 1
    found = sum((worker.free_mask >> at) & want == want for at in range(0, last, step))
    by_cores = worker.cores_free // shape.cores
    return min(found, by_cores, worker.memory_free_gb // shape.memory_gb)


def quantile(values: Iterable[float], percent: float) -> float:
    """Return the percentile `percent` (0 to 100) of positive values, 0 if there are none."""
    histogram = HdrHistogram(1, 10**11, 3)
    for value in values:
        histogram.record_value(max(1, int(value * _HISTOGRAM_SCALE)))
    if not histogram.get_total_count():
        return 0.0
    return float(histogram.get_value_at_percentile(percent)) / _HISTOGRAM_SCALE


def jain(values: list[float]) -> float:
    """Return Jain's fairness index, which is 1 if all values are equal."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1.0


def goodput_of_others(replay: Replay, excluded: OrganisationId, start: float, end: float) -> float:
    """Return the accelerator-seconds of jobs that finished from `start` to `end`.

    Jobs of the organisation `excluded` do not count.
    """
    return sum(
        outcome.simulated.run_s * outcome.simulated.job.shape.total_accelerators
        for outcome in replay.outcomes.values()
        if outcome.finish_count and start <= outcome.ended_at < end
        if outcome.simulated.job.organisation != excluded
    )


def retained_work_of_others(
    replay: Replay, excluded: OrganisationId, start: float, end: float
) -> float:
    """Return the accelerator-seconds that were used from `start` to `end` and not lost.

    Work of the organisation `excluded` does not count. Unlike `goodput_of_others`, the result does
    not depend on whether a wide job ends just before or just after `end`.
    """
    return sum(
        used * max(0.0, min(end, last) - max(start, first))
        for organisation, used, first, last in replay.retained_work()
        if organisation != excluded
    )


def figures(replay: Replay, fragmentation: Fragmentation) -> Figures:
    """Summarise a finished replay.

    Jobs of a flood are left out of times and slowdowns, but count in the numbers of violations,
    refusals and lost work.
    """
    everyone = list(replay.outcomes.values())
    done = [
        outcome for outcome in everyone if outcome.finish_count and not outcome.simulated.is_flood
    ]
    urgent = [outcome for outcome in done if outcome.simulated.job.urgency is Urgency.URGENT]
    guaranteed = [outcome for outcome in done if outcome.within_guarantee]
    waits = [outcome.started_at - outcome.simulated.job.accepted_at for outcome in urgent]
    reclaim = [outcome.started_at - outcome.simulated.job.accepted_at for outcome in guaranteed]
    small = quantile(
        [outcome.slowdown for outcome in done if not outcome.simulated.is_big_caller], 99
    )
    large = quantile([outcome.slowdown for outcome in done if outcome.simulated.is_big_caller], 99)
    names = sorted({outcome.simulated.job.organisation for outcome in done})
    refused: dict[str, int] = {}
    for outcome in everyone:
        if outcome.refused is not None:
            refused[outcome.refused.value] = refused.get(outcome.refused.value, 0) + 1
    return Figures(
        all=_job_statistics(done),
        by_urgency={
            urgency.value: _job_statistics(
                [outcome for outcome in done if outcome.simulated.job.urgency is urgency]
            )
            for urgency in Urgency
        },
        by_organisation={
            name: _job_statistics(
                [outcome for outcome in done if outcome.simulated.job.organisation == name]
            )
            for name in names
        },
        fragmentation=fragmentation.share,
        scattered=fragmentation.scattered,
        small_over_large=small / large if large else 0.0,
        jain=jain(_mean_caller_slowdowns(done)),
        urgent_start_p99_s=quantile(waits, 99),
        urgent_start_max_s=max(waits, default=0.0),
        reclaim_p50_s=quantile(reclaim, 50),
        reclaim_p99_s=quantile(reclaim, 99),
        empty_s=replay.drained_after_s,
        unfinished=sum(outcome.ended_at < 0 for outcome in everyone),
        finished_twice=sum(outcome.finish_count > 1 for outcome in everyone),
        overlaps=replay.counts["overlaps"],
        lost_work_s=sum(outcome.lost_run_s for outcome in everyone if not outcome.cancelled),
        may_have_run=sum(outcome.may_have_run for outcome in everyone),
        refused=refused,
    )


def _job_statistics(group: list[JobOutcome]) -> JobStatistics:
    completions = [outcome.ended_at - outcome.simulated.job.accepted_at for outcome in group]
    slowdowns = [outcome.slowdown for outcome in group]
    on_time = sum(
        outcome.ended_at - outcome.simulated.job.accepted_at
        <= on_time_limit_s(outcome.simulated.run_s)
        for outcome in group
    )
    return JobStatistics(
        len(group),
        quantile(completions, 50),
        quantile(completions, 99),
        quantile(slowdowns, 50),
        quantile(slowdowns, 99),
        on_time / len(group) if group else 0.0,
    )


def _mean_caller_slowdowns(done: list[JobOutcome]) -> list[float]:
    by_caller: dict[str, list[float]] = {}
    for outcome in done:
        by_caller.setdefault(outcome.simulated.job.caller, []).append(outcome.slowdown)
    return [sum(values) / len(values) for values in by_caller.values()]
