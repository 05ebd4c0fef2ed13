"""Orders jobs that compete for the same room by the shares of their organisations."""

from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Mapping
from heapq import heapify, heappop, heappush
from itertools import groupby
from operator import itemgetter

import msgspec

from comfreyshelf.fleet.jobs import FleetConfig, Resources
from comfreyshelf.fleet.ranking import LATE_RANKS, TOO_LATE_RANK, PassView, Ranking, rank
from comfreyshelf.fleet.shares.settings import DEFAULT_WEIGHT, ShareSettings
from comfreyshelf.fleet.shares.usage import OrganisationUsage
from comfreyshelf.fleet.targets import TargetView
from comfreyshelf.fleet.tracked_job import TOO_LATE_OBJECTIVE_RATIO, TrackedJob
from comfreyshelf.ids import JobId, OrganisationId, ServiceId

# Weight of the average usage beside what an organisation holds now. With 1, the least-served tenth
# of organisations gets less where one of them submits half of the work.
RECENT_WEIGHT = 0.25
# Loss of stopping a run of an organisation above its share, as a share of the usual loss. Losses
# that differ by less than this count as equal.
ABOVE_SHARE_LOSS_FACTOR = 0.8
# A share of the room becomes free within that share of the mean time of a job if all of it is kept
# for the gang. Other organisations take about as much of it meanwhile.
GATHERING_FACTOR = 2.0
# Least time for which a late result counts as being of use; it avoids a division by 0.
MIN_USEFUL_S = 0.001


class Claim(msgspec.Struct, frozen=True):
    """A job with units that may start, and what these need in all."""

    tracked: TrackedJob
    demand: Resources


class FairShareRanking(Ranking):
    """Keeps the classes of `rank`, and orders a class by shares if it competes for room.

    A class competes if its jobs and those before it need more than is free. The organisation with
    the lowest level (its usage divided by its weight) is next with its first job, which adds to its
    level what the job needs.
    """

    def __init__(self, settings: ShareSettings, usage: OrganisationUsage) -> None:
        self._settings = settings
        self._usage = usage
        self._view: PassView | None = None
        self._room = Resources()
        self._checked_config: FleetConfig | None = None
        # The weights of the organisations that the configuration contains.
        self._weights: dict[OrganisationId, float] = {}
        self._ignored_weights: set[OrganisationId] = set()
        self._open_organisations: set[OrganisationId] = set()
        self._above_share: set[OrganisationId] = set()
        # Mean critical path of the open jobs in seconds.
        self._mean_job_s = 0.0

    def begin_pass(self, view: PassView) -> None:
        if view.config is not self._checked_config:
            self._check_weights(view)
        self._view = view
        self._room = total(target.announcement.room for target in view.targets)
        held = _held_by_organisation(view.targets, view.covered_ids)
        self._usage.update(
            {name: dominant_share(demand, self._room) for name, demand in held.items()}, view.now
        )

    def sort(
        self, jobs: list[TrackedJob], covered_ids: set[JobId], unix_now: float
    ) -> list[TrackedJob]:
        self._open_organisations = {tracked.job.organisation for tracked in jobs}
        total_weight = sum(self._weight(name) for name in self._open_organisations)
        self._above_share = {
            name
            for name in self._open_organisations
            if self._usage.current(name) * total_weight > self._weight(name)
        }
        self._mean_job_s = sum(t.critical_path_s for t in jobs) / max(1, len(jobs))
        keyed = [(t.job.id not in covered_ids, self.key(t, unix_now), t) for t in jobs]
        keyed.sort(key=itemgetter(0, 1))
        if self._view is None:
            return [tracked for _, _, tracked in keyed]
        free = _free_by_service(self._view)
        order: list[TrackedJob] = []
        for (is_beyond_guarantee, number), group in groupby(keyed, key=lambda k: (k[0], k[1][0])):
            ranked = [tracked for _, _, tracked in group]
            claims = self._claims(ranked, self._view)
            is_contested = _take(claims, free)
            if is_contested and is_beyond_guarantee and number < TOO_LATE_RANK:
                self._view.count("rankings_by_share")
                ranked = self.order(ranked, claims)
            order += ranked
        return order

    def key(self, tracked: TrackedJob, unix_now: float) -> tuple[int, float]:
        """The class of a job, and its order within it.

        Jobs in time are ordered by their deadline, but a gang comes first once there is only the
        time left that it takes to gather its room. A late job counts as smaller the less time is
        left in which its result is of use, so that large late jobs are started before they are
        worthless.
        """
        number, order = rank(tracked, unix_now)
        if number in LATE_RANKS:
            order *= _useful_time_share(tracked, unix_now)
        elif number < TOO_LATE_RANK:
            last_turn = order - tracked.remaining_critical_path_s - self._gathering_s(tracked)
            order = last_turn if last_turn <= unix_now else order
        return number, order

    def order(self, ranked: list[TrackedJob], claims: Mapping[JobId, Claim]) -> list[TrackedJob]:
        """The jobs of one class that compete for room, by the levels of their organisations."""
        waiting: dict[OrganisationId, deque[tuple[int, TrackedJob]]] = defaultdict(deque)
        order = []
        for position, tracked in enumerate(ranked):
            if tracked.job.id in claims:
                waiting[tracked.job.organisation].append((position, tracked))
            else:
                order.append(tracked)
        heap = [(self.level(name), queue[0][0], name) for name, queue in waiting.items()]
        heapify(heap)
        while heap:
            level, _, name = heappop(heap)
            _, tracked = waiting[name].popleft()
            order.append(tracked)
            if waiting[name]:
                claimed = dominant_share(claims[tracked.job.id].demand, self._room)
                level += claimed / self._weight(name)
                heappush(heap, (level, waiting[name][0][0], name))
        return order

    def level(self, organisation: OrganisationId) -> float:
        """Usage of an organisation, now and lately, divided by its weight."""
        lately = RECENT_WEIGHT * self._usage.recent(organisation)
        usage = self._usage.current(organisation) + lately
        return usage / self._weight(organisation)

    def shares(self) -> dict[OrganisationId, float]:
        known = self._view.config.organisations if self._view is not None else ()
        names = {organisation.id for organisation in known} | self._open_organisations
        return {name: self._usage.current(name) for name in sorted(names)}

    def loss_factor(self, organisation: OrganisationId) -> float:
        return ABOVE_SHARE_LOSS_FACTOR if organisation in self._above_share else 1.0

    def _weight(self, organisation: OrganisationId) -> float:
        return self._weights.get(organisation, DEFAULT_WEIGHT)

    def _gathering_s(self, tracked: TrackedJob) -> float:
        """Seconds until runs have ended that hold as much room as a waiting gang needs."""
        if tracked.active_runs:
            return 0.0
        share = max(
            (
                dominant_share(multiply(step.demand, step.count), self._room)
                for step in tracked.job.steps
                if step.gang
            ),
            default=0.0,
        )
        return GATHERING_FACTOR * share * self._mean_job_s

    def _claims(self, ranked: list[TrackedJob], view: PassView) -> dict[JobId, Claim]:
        claims = {}
        for tracked in ranked:
            try:
                demand = waiting_demand(tracked, view)
            except Exception:  # The owner reports the error when it plans the job.
                continue
            if demand != Resources():
                claims[tracked.job.id] = Claim(tracked, demand)
        return claims

    def _check_weights(self, view: PassView) -> None:
        """Count and log the weights that are not used, each once until it is used again."""
        known = {organisation.id for organisation in view.config.organisations}
        given = self._settings.weights
        self._weights = {name: weight for name, weight in given.items() if name in known}
        problems = dict.fromkeys(self._settings.invalid_weights, "is not a positive number")
        for name in sorted(given.keys() - known):
            problems[name] = "is of an organisation that is not in the configuration"
        for name, why in problems.items():
            if name not in self._ignored_weights:
                view.count("weights_ignored")
                view.log_event("weight ignored", organisation=name, why=why, used=DEFAULT_WEIGHT)
        self._ignored_weights = set(problems)
        self._checked_config = view.config


def waiting_demand(tracked: TrackedJob, view: PassView) -> Resources:
    """What all units of a job need that may start now."""
    tasks = sum(step.count for step in tracked.job.steps)
    if tracked.job.times <= 0 and len(tracked.active_runs) == tasks:
        return Resources()
    counts: Counter[int] = Counter()
    for unit in tracked.startable_units(view.unix_now, view.early_start_s):
        counts[unit.step_number] += len(unit.tasks)
    steps = tracked.job.steps
    return total(multiply(steps[number].demand, count) for number, count in counts.items())


def _useful_time_share(tracked: TrackedJob, unix_now: float) -> float:
    """How much of the time is left in which a late job may start and still be of use, from 0 to 1.

    The time begins when the job becomes late.
    """
    objective_s = tracked.deadline - tracked.accepted_at
    useful_s = (TOO_LATE_OBJECTIVE_RATIO - 1) * objective_s
    late_s = unix_now + tracked.remaining_critical_path_s - tracked.deadline
    return min(1.0, max(0.0, 1 - late_s / max(useful_s, MIN_USEFUL_S)))


def total(parts: Iterable[Resources]) -> Resources:
    """The sum of resources."""
    cpu = memory = accelerators = 0
    for part in parts:
        cpu += part.cpu_millicores
        memory += part.memory_mb
        accelerators += part.accelerators
    return Resources(cpu, memory, accelerators)


def multiply(demand: Resources, count: int) -> Resources:
    """The demand of several equal tasks."""
    return Resources(
        demand.cpu_millicores * count, demand.memory_mb * count, demand.accelerators * count
    )


def dominant_share(demand: Resources, room: Resources) -> float:
    """The largest share that the demand takes of one resource of the room, at most 1."""
    return min(
        1.0,
        max(
            demand.cpu_millicores / max(1, room.cpu_millicores),
            demand.memory_mb / max(1, room.memory_mb),
            demand.accelerators / max(1, room.accelerators),
        ),
    )


def _held_by_organisation(
    targets: Iterable[TargetView], covered_ids: set[JobId]
) -> dict[OrganisationId, Resources]:
    """What the active runs of each organisation hold, without work that a guarantee covers."""
    held: dict[OrganisationId, list[int]] = {}
    for view in targets:
        for active in view.active_runs.values():
            job = active.tracked.job
            if job.id not in covered_ids:
                amounts = held.setdefault(job.organisation, [0, 0, 0])
                amounts[0] += active.demand.cpu_millicores
                amounts[1] += active.demand.memory_mb
                amounts[2] += active.demand.accelerators
    return {name: Resources(*amounts) for name, amounts in held.items()}


def _free_by_service(view: PassView) -> dict[ServiceId, Resources]:
    free: dict[ServiceId, list[Resources]] = defaultdict(list)
    for candidate in view.candidates:
        room = candidate.free
        # A target whose room has shrunk has less than nothing left.
        left = Resources(
            max(0, room.cpu_millicores), max(0, room.memory_mb), max(0, room.accelerators)
        )
        free[candidate.announcement.service].append(left)
    return {service: total(rooms) for service, rooms in free.items()}


def _take(claims: Mapping[JobId, Claim], free: dict[ServiceId, Resources]) -> bool:
    """Subtract the claims from the free room; returns whether they need more than there is."""
    demands: dict[ServiceId, list[Resources]] = defaultdict(list)
    for claim in claims.values():
        if claim.tracked.queue is not None:
            demands[claim.tracked.queue.service].append(claim.demand)
    is_contested = False
    for service, parts in demands.items():
        demand, room = total(parts), free.get(service, Resources())
        is_contested = is_contested or not room.can_hold(demand)
        free[service] = room - demand
    return is_contested
