"""Reservations for blocked gangs, backfill around them, and the choice of work to preempt."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

import msgspec

from comfreyshelf.estimates import Estimates
from comfreyshelf.gangs import Gang, Phase
from comfreyshelf.ids import JobId, OrganisationId, TargetId
from comfreyshelf.model import Job, Placement, Urgency
from comfreyshelf.topology import Topology

# Gangs of at least this many accelerators get a reservation when they do not fit.
LARGE_ACCELERATORS = 8
# Smaller jobs get one after they waited this long.
SMALL_WAIT_S = 900.0
REFRESH_S = 15.0
# Longest time from a request to preempt until the urgent job has its accelerators: a checkpoint
# of a few seconds and the messages around it.
PREEMPT_WAIT_S = 12.0
# Running gangs that a forecast looks at, earliest end first.
FORECAST_GANGS = 1024

Place = Callable[[Job, Topology], tuple[Placement, ...]]


class Hold(msgspec.Struct, frozen=True):
    """Accelerators kept for a queued job until `at`, in seconds.

    Others may use them only if they end before `at`; nobody may if the hold is `strict`.
    """

    job: Job
    placements: tuple[Placement, ...]
    at: float
    made_at: float
    strict: bool = False


class Backfill:
    """The holds of one domain: one for a large gang, and one per urgent job being made room for."""

    def __init__(self, estimates: Estimates) -> None:
        self._estimates = estimates
        self._large: Hold | None = None
        self._urgent: dict[JobId, Hold] = {}

    @contextmanager
    def holding(self, job: Job, topology: Topology, now: float) -> Iterator[None]:
        """Within the context, accelerators that are held against `job` are not free."""
        taken = []
        for hold in self._against(job, now):
            for placement in hold.placements:
                worker = topology.workers.get(placement.target)
                mask = worker.free & placement.mask if worker is not None else 0
                if mask:
                    topology.take(placement.target, mask, 0, 0)
                    taken.append((placement.target, mask))
        try:
            yield
        finally:
            for target, mask in taken:
                topology.give_back(target, mask, 0, 0)

    def drop(self, job: JobId) -> None:
        """The job started or left the queue."""
        self._urgent.pop(job, None)
        if self._large is not None and self._large.job.id == job:
            self._large = None

    def expire(self, now: float) -> None:
        """Drop holds for urgent jobs whose room did not become free in time."""
        for job, hold in list(self._urgent.items()):
            if hold.at <= now:
                del self._urgent[job]

    def reserve(
        self, job: Job, topology: Topology, gangs: Iterable[Gang], place: Place, now: float
    ) -> None:
        """Hold the place that becomes free first for a blocked job, if no other gang holds one."""
        if self._large is not None and self._large.job.id != job.id:
            return
        if self._large is not None and now - self._large.made_at < REFRESH_S:
            return
        waited_s = now - job.accepted_at
        if job.shape.total < LARGE_ACCELERATORS and waited_s < SMALL_WAIT_S:
            return
        ends = sorted(
            ((now + self._left_s(gang, now), gang) for gang in gangs), key=lambda pair: pair[0]
        )[:FORECAST_GANGS]
        count, placements = _fewest(job, topology, [gang for _, gang in ends], place)
        if placements:
            at = ends[count - 1][0] if count else now
            self._large = Hold(job, placements, at, now)

    def make_room(
        self,
        job: Job,
        topology: Topology,
        candidates: list[Gang],
        place: Place,
        now: float,
    ) -> list[Gang]:
        """Gangs to preempt for an urgent job, none if it would not help or is under way."""
        if job.id in self._urgent:
            return []
        count, placements = _fewest(job, topology, candidates, place)
        if not placements:
            return []
        wanted = {placement.target: 0 for placement in placements}
        for placement in placements:
            wanted[placement.target] |= placement.mask
        self._urgent[job.id] = Hold(job, placements, now + PREEMPT_WAIT_S, now, strict=True)
        return [
            gang
            for gang in candidates[:count]
            if any(
                wanted.get(part.placement.target, 0) & part.placement.mask for part in gang.parts
            )
        ]

    def _against(self, job: Job, now: float) -> Iterator[Hold]:
        for hold in self._urgent.values():
            if hold.job.id != job.id:
                yield hold
        large = self._large
        if large is None or large.job.id == job.id or job.urgency is Urgency.URGENT:
            return
        if now + self._estimates.cautious_s(job) > large.at:
            yield large

    def _left_s(self, gang: Gang, now: float) -> float:
        if gang.phase is Phase.STOPPING:
            return PREEMPT_WAIT_S
        return self._estimates.left_s(gang.job, now - gang.since)


def preemptible(
    gangs: Iterable[Gang],
    job: Job,
    used: Counter[OrganisationId],
    promised: dict[OrganisationId, int],
    share: Callable[[OrganisationId], float],
) -> list[Gang]:
    """Gangs that an urgent job may preempt, the best ones to preempt first.

    Only less urgent, preemptible work qualifies, and only what its organisation runs beyond its
    guaranteed accelerators.
    """
    left = Counter(used)
    chosen = []
    running = [
        gang
        for gang in gangs
        if gang.phase is Phase.RUNNING
        and gang.job.preemptible
        and gang.job.urgency.rank > job.urgency.rank
    ]
    running.sort(
        key=lambda gang: (-gang.job.urgency.rank, -share(gang.job.organisation), -gang.since)
    )
    for gang in running:
        organisation = gang.job.organisation
        if left[organisation] - gang.job.shape.total >= promised.get(organisation, 0):
            left[organisation] -= gang.job.shape.total
            chosen.append(gang)
    return chosen


def _fewest(
    job: Job, topology: Topology, gangs: list[Gang], place: Place
) -> tuple[int, tuple[Placement, ...]]:
    """The fewest leading gangs whose end makes room for a job, with the place it then gets."""
    low, high = 0, len(gangs)
    best = place(job, without(topology, gangs))
    if not best:
        return 0, ()
    while low < high:
        middle = (low + high) // 2
        placements = place(job, without(topology, gangs[:middle]))
        if placements:
            best, high = placements, middle
        else:
            low = middle + 1
    return high, best


def without(topology: Topology, gangs: Iterable[Gang]) -> Topology:
    """A copy of a topology in which some gangs have ended."""
    copy = Topology()
    for worker in topology.workers.values():
        info = worker.info
        copy.add(info)
        used = ((1 << info.accelerators) - 1) & ~worker.free
        copy.take(
            info.target,
            used,
            info.cores - worker.cores_free,
            info.memory_gb - worker.memory_free_gb,
        )
    for gang in gangs:
        shape = gang.job.shape
        for part in gang.parts:
            if part.state is None:
                target: TargetId = part.placement.target
                copy.give_back(target, part.placement.mask, shape.cores, shape.memory_gb)
    return copy
