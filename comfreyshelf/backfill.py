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
LARGE_GANG_ACCELERATORS = 8
# A large gang gets its reservation after it has waited this many times its expected run time. An
# earlier reservation would keep accelerators idle that shorter work could use.
RESERVATION_WAIT_RUNS = 4.0
# Smaller jobs in addition wait at least this long before they get a reservation.
SMALL_JOB_RESERVATION_WAIT_S = 900.0
RESERVATION_REFRESH_S = 15.0
# A reservation whose start time has passed is dropped if it was not refreshed for this long.
MAX_RESERVATION_AGE_S = 2 * RESERVATION_REFRESH_S
# Longest time from a preemption until the accelerators are free: a checkpoint of a few seconds and
# the messages before and after it.
PREEMPTION_TIME_S = 12.0
# A job is late when it has waited longer than this many times its expected run time. A late job may
# preempt gangs that are expected to run at least LATE_RUN_TIME_FACTOR times as long as the job.
LATE_WAIT_RUNS = 2.0
LATE_RUN_TIME_FACTOR = 2.0
# A gang is preempted for late jobs at most this often, so that long jobs finish eventually.
MAX_LATE_PREEMPTIONS = 2
# Number of running gangs, those that end first, that are considered to find when a job can start.
MAX_FORECAST_GANGS = 256

PlaceFunction = Callable[[Job], tuple[Placement, ...]]


class Hold(msgspec.Struct, frozen=True):
    """Accelerators kept for a queued job that is expected to start at `until`, in seconds.

    There are two kinds. Accelerators of a reservation may be used by other jobs that end before
    `until`. Accelerators for which gangs are being preempted may be used only by urgent jobs, and
    by no other job if the hold is for an urgent job.
    """

    job: Job
    placements: tuple[Placement, ...]
    until: float
    created_at: float


class Backfill:
    """The holds of one domain: one reservation, and one hold per job that gangs are preempted for.

    A job for which `overrides_holds` returns True respects only the holds of urgent jobs.
    """

    def __init__(self, estimates: Estimates, overrides_holds: Callable[[Job], bool]) -> None:
        self._overrides_holds = overrides_holds
        self._estimates = estimates
        self._reservation: Hold | None = None
        self._preemption_holds: dict[JobId, Hold] = {}
        self._preemption_counts: Counter[JobId] = Counter()

    @property
    def reserved_for(self) -> Job | None:
        """The job that holds the reservation."""
        return self._reservation.job if self._reservation is not None else None

    def is_preempting_for(self, job: JobId) -> bool:
        """Whether gangs are being stopped to free accelerators for a job."""
        return job in self._preemption_holds

    @contextmanager
    def excluding_holds(self, job: Job, topology: Topology, now: float) -> Iterator[None]:
        """Within the context, accelerators that are held and that `job` must not use count as used.

        Accelerators held for other jobs stay free if `job` may backfill them or override the hold.
        """
        taken = []
        for hold in self._holds_against(job, now):
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

    def drop_hold(self, job: JobId) -> None:
        """Drop the holds of a job that started or left the queue."""
        self._preemption_holds.pop(job, None)
        if self._reservation is not None and self._reservation.job.id == job:
            self._reservation = None

    def forget_job(self, job: JobId) -> None:
        """Drop all state of a job that ended."""
        self.drop_hold(job)
        self._preemption_counts.pop(job, None)

    def is_late(self, job: Job, now: float) -> bool:
        """Whether a job has waited so long that longer work may be preempted for it."""
        return now - job.accepted_at > LATE_WAIT_RUNS * self._estimates.expected_s(job)

    def longer_gangs(self, job: Job, gangs: list[Gang], now: float) -> list[Gang]:
        """Gangs that may be preempted for a late job, longest remaining run time first."""
        min_remaining_s = LATE_RUN_TIME_FACTOR * self._estimates.expected_s(job)
        remaining = [(self._remaining_s(gang, now), gang) for gang in gangs]
        remaining = [
            (remaining_s, gang)
            for remaining_s, gang in remaining
            if remaining_s >= min_remaining_s
            and self._preemption_counts[gang.job.id] < MAX_LATE_PREEMPTIONS
            and not self.is_late(gang.job, now)
        ]
        remaining.sort(key=lambda pair: -pair[0])
        return [gang for _, gang in remaining]

    def expire(self, now: float) -> None:
        """Drop holds whose accelerators did not become free in time.

        A reservation is dropped if, in addition, it was not refreshed for a while. Otherwise the
        reservation could block an equal job that comes first in the queue. The job that holds the
        reservation would then never be offered, and neither would start.
        """
        for job, hold in list(self._preemption_holds.items()):
            if hold.until <= now:
                del self._preemption_holds[job]
        reservation = self._reservation
        if (
            reservation is not None
            and reservation.until <= now
            and now - reservation.created_at > MAX_RESERVATION_AGE_S
        ):
            self._reservation = None

    def reserve(
        self,
        job: Job,
        topology: Topology,
        gangs: Iterable[Gang],
        place: PlaceFunction,
        now: float,
        require_wait: bool = True,
    ) -> None:
        """Reserve the placement that is expected to become free first, or refresh the reservation.

        Does nothing if another job has the reservation, or if the job has not waited long enough. A
        large gang need not have waited if `require_wait` is False.
        """
        if self._reservation is not None and self._reservation.job.id != job.id:
            return
        if (
            self._reservation is not None
            and now - self._reservation.created_at < RESERVATION_REFRESH_S
        ):
            return
        waited_s = now - job.accepted_at
        min_wait_s = RESERVATION_WAIT_RUNS * self._estimates.expected_s(job)
        if job.shape.total_accelerators < LARGE_GANG_ACCELERATORS:
            min_wait_s = max(min_wait_s, SMALL_JOB_RESERVATION_WAIT_S)
        if waited_s < min_wait_s and (
            require_wait or job.shape.total_accelerators < LARGE_GANG_ACCELERATORS
        ):
            return
        ends = sorted(
            ((now + self._remaining_s(gang, now), gang) for gang in gangs), key=lambda pair: pair[0]
        )[:MAX_FORECAST_GANGS]
        count, placements = _find_room_after_ends(job, topology, [gang for _, gang in ends], place)
        if placements:
            until = ends[count - 1][0] if count else now
            self._reservation = Hold(job, placements, until, now)

    def plan_preemption(
        self,
        job: Job,
        topology: Topology,
        candidates: list[Gang],
        place: PlaceFunction,
        now: float,
    ) -> list[Gang]:
        """Choose gangs to preempt for a job, and hold the accelerators that it will use.

        `candidates` are tried in order. Returns an empty list if preempting them would not free
        enough accelerators, or if gangs are already being preempted for the job.
        """
        if job.id in self._preemption_holds:
            return []

        def place_around_holds(job: Job) -> tuple[Placement, ...]:
            with self.excluding_holds(job, topology, now):
                return place(job)

        count, placements = _find_room_after_ends(job, topology, candidates, place_around_holds)
        # If no gang has to stop, the job only waits for messages that are under way, or for the
        # hold of another job. Its own hold would only keep free accelerators idle.
        if not placements or not count:
            return []
        freed_masks = {placement.target: 0 for placement in placements}
        for placement in placements:
            freed_masks[placement.target] |= placement.mask
        self._preemption_holds[job.id] = Hold(job, placements, now + PREEMPTION_TIME_S, now)
        victims = [
            gang
            for gang in candidates[:count]
            if any(
                freed_masks.get(part.placement.target, 0) & part.placement.mask
                for part in gang.parts
            )
        ]
        self._preemption_counts.update(gang.job.id for gang in victims)
        return victims

    def _holds_against(self, job: Job, now: float) -> Iterator[Hold]:
        urgent = self._overrides_holds(job)
        for hold in self._preemption_holds.values():
            if hold.job.id != job.id and (not urgent or hold.job.urgency is Urgency.URGENT):
                yield hold
        reservation = self._reservation
        if reservation is None or reservation.job.id == job.id or urgent:
            return
        if now + self._estimates.conservative_s(job) > reservation.until:
            yield reservation

    def _remaining_s(self, gang: Gang, now: float) -> float:
        if gang.phase is AttemptPhase.STOPPING:
            return PREEMPTION_TIME_S
        return self._estimates.remaining_s(gang.job, now - gang.phase_started_at)


def preemptible_gangs(
    gangs: Iterable[Gang],
    own_organisation: OrganisationId,
    used: Counter[OrganisationId],
    guaranteed: dict[OrganisationId, int],
    fair_share_ratio: Callable[[OrganisationId], float],
    min_rank: int,
) -> list[Gang]:
    """Gangs that a job may preempt, the best ones to preempt first.

    Only preemptible gangs whose urgency rank is at least `min_rank` qualify (higher ranks are less
    urgent). Organisations other than `own_organisation` keep as many accelerators as they are
    guaranteed. `fair_share_ratio` returns an organisation's share divided by its fair share.
    """
    usage_left = Counter(used)
    chosen = []
    running = [
        gang
        for gang in gangs
        if gang.phase is AttemptPhase.RUNNING
        and _is_preemptible(gang)
        and gang.job.urgency.rank >= min_rank
    ]
    running.sort(
        key=lambda gang: (
            -gang.job.urgency.rank,
            -fair_share_ratio(gang.job.organisation),
            -gang.phase_started_at,
        )
    )
    for gang in running:
        organisation = gang.job.organisation
        kept_accelerators = (
            0 if organisation == own_organisation else guaranteed.get(organisation, 0)
        )
        if usage_left[organisation] - gang.job.shape.total_accelerators >= kept_accelerators:
            usage_left[organisation] -= gang.job.shape.total_accelerators
            chosen.append(gang)
    return chosen


def _is_preemptible(gang: Gang) -> bool:
    """Whether a gang may be stopped and resumed; a gang that uses a guarantee may not."""
    return gang.job.may_borrow and not gang.protected


def _find_room_after_ends(
    job: Job, topology: Topology, gangs: list[Gang], place: PlaceFunction
) -> tuple[int, tuple[Placement, ...]]:
    """How many gangs, from the first on, have to end before a job fits, and its placements then.

    The number is doubled until the job fits, so it may be up to twice the minimum. A search for the
    minimum would release and reallocate thousands of parts at the planned fleet size. The
    placements are empty if the job does not fit even when all gangs have ended.
    """
    placements = place(job)
    count = 0
    try:
        while not placements and count < len(gangs):
            more = gangs[count : max(1, 2 * count)]
            for gang in more:
                _release_gang(gang, topology)
            count += len(more)
            placements = place(job)
    finally:
        for gang in gangs[:count]:
            _reallocate_gang(gang, topology)
    return count, placements


def _release_gang(gang: Gang, topology: Topology) -> None:
    for target, mask, cores, memory_gb in _active_parts(gang, topology):
        topology.release(target, mask, cores, memory_gb, gang.protected)


def _reallocate_gang(gang: Gang, topology: Topology) -> None:
    for target, mask, cores, memory_gb in _active_parts(gang, topology):
        topology.allocate(target, mask, cores, memory_gb, gang.protected)


def _active_parts(gang: Gang, topology: Topology) -> Iterator[tuple[TargetId, int, int, int]]:
    """Target, mask, cores and memory of each part that has not ended on a known worker."""
    shape = gang.job.shape
    for part in gang.parts:
        place = part.placement
        if part.state is None and place.target in topology.workers:
            yield place.target, place.mask, shape.cores, shape.memory_gb
