"""Reservations for blocked gangs, backfill around them, and the choice of work to preempt."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

import msgspec

from comfreyshelf.estimates import Estimates
from comfreyshelf.gangs import AttemptPhase, Gang
from comfreyshelf.ids import JobId, OrganisationId, TargetId
from comfreyshelf.model import Job, Placement, Urgency
from comfreyshelf.topology import Topology

# Gangs of at least this many accelerators get a reservation when they do not fit.
LARGE_ACCELERATORS = 8
# A gang gets its reservation after it waited this many of its expected run times, because every
# reservation idles accelerators that shorter work could use.
PATIENCE_RUNS = 4.0
# Smaller jobs get one after they waited this long.
SMALL_WAIT_S = 900.0
REFRESH_S = 15.0
# A hold that was not refreshed for this long, and whose time has come, is dropped.
HOLD_LONGEST_S = 2 * REFRESH_S
# Longest time from a request to preempt until the urgent job has its accelerators: a checkpoint
# of a few seconds and the messages around it.
PREEMPT_WAIT_S = 12.0
# A job is late when it waited this many of its expected run times. A late job may preempt gangs
# that are expected to run at least LATE_FACTOR times longer than it.
LATE_RUNS = 2.0
LATE_FACTOR = 2.0
# A gang is preempted for late jobs at most this often, so that long jobs end.
LATE_PREEMPTIONS = 2
# Running gangs that a forecast looks at, earliest end first.
FORECAST_GANGS = 256

Place = Callable[[Job], tuple[Placement, ...]]


class Hold(msgspec.Struct, frozen=True):
    """Accelerators kept for a queued job until `at`, in seconds.

    Others may use them if they end before `at`, but not while gangs are stopped to make room.
    """

    job: Job
    placements: tuple[Placement, ...]
    at: float
    made_at: float


class Backfill:
    """The holds of one domain: one for a large gang, and one per job that others are preempted for.

    Urgent jobs respect the holds of other urgent jobs only.
    """

    def __init__(self, estimates: Estimates, overrides_holds: Callable[[Job], bool]) -> None:
        self._overrides_holds = overrides_holds
        self._estimates = estimates
        self._large: Hold | None = None
        self._making: dict[JobId, Hold] = {}
        self._preempted: Counter[JobId] = Counter()

    @property
    def reserved_for(self) -> Job | None:
        """The job that holds the reservation."""
        return self._large.job if self._large is not None else None

    def is_making_room(self, job: JobId) -> bool:
        """Whether gangs are being stopped for a job."""
        return job in self._making

    @contextmanager
    def holding(self, job: Job, topology: Topology, now: float) -> Iterator[None]:
        """Within the context, accelerators that are held against `job` are not free."""
        taken = []
        for hold in self._against(job, now):
            for placement in hold.placements:
                worker = topology.workers.get(placement.target)
                mask = worker.free_mask & placement.mask if worker is not None else 0
                if mask:
                    topology.allocate(placement.target, mask, 0, 0)
                    taken.append((placement.target, mask))
        try:
            yield
        finally:
            for target, mask in taken:
                topology.release(target, mask, 0, 0)

    def drop(self, job: JobId) -> None:
        """The job started or left the queue."""
        self._making.pop(job, None)
        if self._large is not None and self._large.job.id == job:
            self._large = None

    def forget(self, job: JobId) -> None:
        """The job ended."""
        self.drop(job)
        self._preempted.pop(job, None)

    def late(self, job: Job, now: float) -> bool:
        """Whether a job waited so long that longer work should make room for it."""
        return now - job.accepted_at > LATE_RUNS * self._estimates.expected_s(job)

    def longer(self, job: Job, gangs: list[Gang], now: float) -> list[Gang]:
        """The gangs that may be preempted for a late job, those with the most work left first."""
        least_s = LATE_FACTOR * self._estimates.expected_s(job)
        left = [(self._left_s(gang, now), gang) for gang in gangs]
        left = [
            (left_s, gang)
            for left_s, gang in left
            if left_s >= least_s
            and self._preempted[gang.job.id] < LATE_PREEMPTIONS
            and not self.late(gang.job, now)
        ]
        left.sort(key=lambda pair: -pair[0])
        return [gang for _, gang in left]

    def expire(self, now: float) -> None:
        """Drop holds of jobs whose room did not become free in time.

        A gang that was not offered for a while stops holding its place as well: an equal job may
        come first in the queue, be kept off by this very hold, and so keep the gang from its turn.
        """
        for job, hold in list(self._making.items()):
            if hold.at <= now:
                del self._making[job]
        large = self._large
        if large is not None and large.at <= now and now - large.made_at > HOLD_LONGEST_S:
            self._large = None

    def reserve(
        self,
        job: Job,
        topology: Topology,
        gangs: Iterable[Gang],
        place: Place,
        now: float,
        patient: bool = True,
    ) -> None:
        """Hold the place that becomes free first for a blocked job, if no other gang holds one."""
        if self._large is not None and self._large.job.id != job.id:
            return
        if self._large is not None and now - self._large.made_at < REFRESH_S:
            return
        waited_s = now - job.accepted_at
        patience_s = PATIENCE_RUNS * self._estimates.expected_s(job)
        if job.shape.total_accelerators < LARGE_ACCELERATORS:
            patience_s = max(patience_s, SMALL_WAIT_S)
        if waited_s < patience_s and (patient or job.shape.total_accelerators < LARGE_ACCELERATORS):
            return
        ends = sorted(
            ((now + self._left_s(gang, now), gang) for gang in gangs), key=lambda pair: pair[0]
        )[:FORECAST_GANGS]
        count, placements = _first_room(job, topology, [gang for _, gang in ends], place)
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
        """Gangs to preempt for a job, none if it would not help or is under way."""
        if job.id in self._making:
            return []

        def place_beside(job: Job) -> tuple[Placement, ...]:
            with self.holding(job, topology, now):
                return place(job)

        count, placements = _first_room(job, topology, candidates, place_beside)
        # Without a gang to stop the job waits for messages or another job's hold; a hold of its
        # own would only idle what is free.
        if not placements or not count:
            return []
        wanted = {placement.target: 0 for placement in placements}
        for placement in placements:
            wanted[placement.target] |= placement.mask
        self._making[job.id] = Hold(job, placements, now + PREEMPT_WAIT_S, now)
        victims = [
            gang
            for gang in candidates[:count]
            if any(
                wanted.get(part.placement.target, 0) & part.placement.mask for part in gang.parts
            )
        ]
        self._preempted.update(gang.job.id for gang in victims)
        return victims

    def _against(self, job: Job, now: float) -> Iterator[Hold]:
        urgent = self._overrides_holds(job)
        for hold in self._making.values():
            if hold.job.id != job.id and (not urgent or hold.job.urgency is Urgency.URGENT):
                yield hold
        large = self._large
        if large is None or large.job.id == job.id or urgent:
            return
        if now + self._estimates.cautious_s(job) > large.at:
            yield large

    def _left_s(self, gang: Gang, now: float) -> float:
        if gang.phase is AttemptPhase.STOPPING:
            return PREEMPT_WAIT_S
        return self._estimates.left_s(gang.job, now - gang.phase_started_at)


def preemptible(
    gangs: Iterable[Gang],
    own: OrganisationId,
    used: Counter[OrganisationId],
    promised: dict[OrganisationId, int],
    share: Callable[[OrganisationId], float],
    least_rank: int,
) -> list[Gang]:
    """Gangs that a job may preempt, the best ones to preempt first.

    Only preemptible work of at least `least_rank` qualifies. Of organisations other than `own`,
    only what they run beyond their guaranteed accelerators does.
    """
    left = Counter(used)
    chosen = []
    running = [
        gang
        for gang in gangs
        if gang.phase is AttemptPhase.RUNNING
        and _resumable(gang)
        and gang.job.urgency.rank >= least_rank
    ]
    running.sort(
        key=lambda gang: (
            -gang.job.urgency.rank,
            -share(gang.job.organisation),
            -gang.phase_started_at,
        )
    )
    for gang in running:
        organisation = gang.job.organisation
        kept = 0 if organisation == own else promised.get(organisation, 0)
        if left[organisation] - gang.job.shape.total_accelerators >= kept:
            left[organisation] -= gang.job.shape.total_accelerators
            chosen.append(gang)
    return chosen


def _resumable(gang: Gang) -> bool:
    """Whether a gang may be stopped and go on; a gang that uses a guarantee is never stopped."""
    return gang.job.may_borrow and not gang.protected


def _first_room(
    job: Job, topology: Topology, gangs: list[Gang], place: Place
) -> tuple[int, tuple[Placement, ...]]:
    """How many leading gangs have to end before a job has room, and the place it then gets.

    The number is doubled until the job fits, so it may be up to twice the least one; a search for
    the least would free and take thousands of parts at the size that is planned for.
    """
    placements = place(job)
    count = 0
    try:
        while not placements and count < len(gangs):
            more = gangs[count : max(1, 2 * count)]
            for gang in more:
                _free(gang, topology)
            count += len(more)
            placements = place(job)
    finally:
        for gang in gangs[:count]:
            _take(gang, topology)
    return count, placements


def _free(gang: Gang, topology: Topology) -> None:
    for target, mask, cores, memory_gb in _active(gang, topology):
        topology.release(target, mask, cores, memory_gb, gang.protected)


def _take(gang: Gang, topology: Topology) -> None:
    for target, mask, cores, memory_gb in _active(gang, topology):
        topology.allocate(target, mask, cores, memory_gb, gang.protected)


def _active(gang: Gang, topology: Topology) -> Iterator[tuple[TargetId, int, int, int]]:
    """Target, mask, cores and memory of each part that has not ended on a known worker."""
    shape = gang.job.shape
    for part in gang.parts:
        place = part.placement
        if part.state is None and place.target in topology.workers:
            yield place.target, place.mask, shape.cores, shape.memory_gb
