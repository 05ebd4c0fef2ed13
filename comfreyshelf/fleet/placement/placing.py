"""Choice of targets for a unit: best fit, in one rack if required, with preemption if allowed."""

from collections.abc import Callable, Hashable, Iterable, Sequence

import msgspec

from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.health.target_health import Standing
from comfreyshelf.fleet.jobs import Resources
from comfreyshelf.fleet.placement.candidate_target import CandidateTarget, Victim
from comfreyshelf.fleet.placement.goal import PlacementGoal
from comfreyshelf.fleet.tracked_job import Unit
from comfreyshelf.ids import JobId, RackId, TargetId

# Added to the cost of a task that has to wait until resources are released.
WAIT_COST_CORE_S = 1.0

# Above the number of every priority: runs of none may be preempted.
NO_PREEMPTION = 1000


class PlacementLimits(msgspec.Struct, frozen=True):
    """What may be done to place a unit.

    Runs whose priority number is higher than `preempt_above` may be preempted. With
    `allow_rack_spread`, a unit that should run in one rack is spread over several if no rack has
    enough capacity now; without, only if no rack would have enough even if it were empty. With
    `wait_for_ends`, the unit rather waits for runs that end soon than preempts runs. `trial_job` is
    the unit's job if the unit may have crashed a runner. Targets with a standing as bad as `reach`
    may be used. A probe may also use a target on probation that is not occupied. Without a `goal`,
    best fit alone decides.
    """

    preempt_above: int
    allow_rack_spread: bool = False
    wait_for_ends: bool = False
    trial_job: JobId | None = None
    reach: Standing = Standing.TRUSTED
    is_probe: bool = False
    goal: PlacementGoal | None = None

    def may_preempt(self, victim: Victim) -> bool:
        """Whether a run may be stopped; one that is waited for may not."""
        if self.wait_for_ends and victim.ends_soon:
            return False
        return victim.active.tracked.priority > self.preempt_above


class Assignment(msgspec.Struct):
    """A target for each task of a unit, in the order of the tasks.

    `victims` have to be stopped first. Unless the unit `can_start_now`, resources have to be
    released before. `cost` is in core-seconds.
    """

    targets: list[TargetId]
    victims: list[ActiveRun]
    can_start_now: bool
    cost: float


class PlanningCapacity:
    """The capacity left in one planning pass; reservations are subtracted from it."""

    def __init__(self, candidates: dict[TargetId, CandidateTarget]) -> None:
        self.candidates = candidates
        # Results of find_assignment, valid until the capacity changes. Many jobs wait for equal
        # resources, so the same question is asked often.
        self._cache: dict[Hashable, Assignment | None] = {}
        # Results of trusted_could_hold, valid for the whole pass.
        self._could_hold: dict[Hashable, bool] = {}

    def find_assignment(
        self,
        unit: Unit,
        avoided: set[TargetId],
        count_tasks: Callable[[TargetId], int],
        limits: PlacementLimits,
    ) -> Assignment | None:
        """Find the cheapest assignment for a unit without reserving it; None if there is none.

        Targets in `avoided` are used only if no others suffice. `count_tasks` tells how many tasks
        of the unit's step a target has already.
        """
        step = unit.step
        key = (unit.service, step, len(unit.tasks), frozenset(avoided), limits)
        if not step.per_target and key in self._cache:
            return self._cache[key]
        eligible = self._eligible(unit, avoided, count_tasks, limits)
        assignment = self._find_cheapest(unit, eligible, count_tasks, limits)
        if assignment is None and avoided:
            eligible = self._eligible(unit, set(), count_tasks, limits)
            assignment = self._find_cheapest(unit, eligible, count_tasks, limits)
        self._cache[key] = assignment
        return assignment

    def trusted(self) -> list[CandidateTarget]:
        """The candidates on which any work may be placed."""
        return [c for c in self.candidates.values() if c.standing is Standing.TRUSTED]

    def trusted_could_hold(self, unit: Unit) -> bool:
        """Whether the trusted targets together could hold a unit if they were empty."""
        key = (unit.service, unit.step, len(unit.tasks))
        if key not in self._could_hold:
            tasks = 0
            for candidate in self.candidates.values():
                if tasks >= len(unit.tasks):
                    break
                if candidate.standing is Standing.TRUSTED and candidate.can_run(unit):
                    tasks += max_tasks_that_fit(candidate.announcement.room, unit.step.demand)
            self._could_hold[key] = tasks >= len(unit.tasks)
        return self._could_hold[key]

    def reserve(self, unit: Unit, targets: Sequence[TargetId]) -> None:
        """Subtract the demand of one task on each of `targets`, so that no later unit gets it."""
        for target in targets:
            self.candidates[target].free -= unit.step.demand
        self._cache.clear()

    def give_back(self, unit: Unit, targets: Iterable[TargetId]) -> None:
        """Undo `reserve`, so that later units get the room."""
        for target in targets:
            self.candidates[target].free += unit.step.demand
        self._cache.clear()

    def mark_started(self, targets: Sequence[TargetId], job: JobId, is_trial: bool) -> None:
        """Record that runs of a job are started on these targets."""
        for target in targets:
            self.candidates[target].add_young_run(job, is_trial)
        self._cache.clear()

    def mark_releasing(self, victim: ActiveRun) -> None:
        """Count the resources of a preempted run as being released."""
        self.candidates[victim.target].release(victim)
        self._cache.clear()

    def _eligible(
        self,
        unit: Unit,
        avoided: set[TargetId],
        count_tasks: Callable[[TargetId], int],
        limits: PlacementLimits,
    ) -> list[CandidateTarget]:
        step = unit.step
        return [
            candidate
            for candidate in self.candidates.values()
            if candidate.announcement.id not in avoided
            and candidate.can_run(unit)
            and candidate.admits(limits)
            and candidate.allows_trial(limits.trial_job)
            and (not step.per_target or count_tasks(candidate.announcement.id) < step.per_target)
        ]

    def _find_cheapest(
        self,
        unit: Unit,
        eligible: list[CandidateTarget],
        count_tasks: Callable[[TargetId], int],
        limits: PlacementLimits,
    ) -> Assignment | None:
        step = unit.step
        groups: list[list[CandidateTarget]] = []
        if step.rack:
            groups.append(
                [candidate for candidate in eligible if candidate.announcement.rack == step.rack]
            )
        elif step.same_rack and len(unit.tasks) > 1:
            racks: dict[RackId, list[CandidateTarget]] = {}
            for candidate in eligible:
                racks.setdefault(candidate.announcement.rack, []).append(candidate)
            groups += list(racks.values())
        within_rack = self._assign_to_one(unit, groups, count_tasks, limits)
        if within_rack is not None:
            return within_rack
        if not limits.allow_rack_spread and any(
            self._max_tasks_when_empty(unit, group) >= len(unit.tasks) for group in groups
        ):
            return None
        return self._assign_to_one(unit, [eligible], count_tasks, limits)

    def _assign_to_one(
        self,
        unit: Unit,
        groups: list[list[CandidateTarget]],
        count_tasks: Callable[[TargetId], int],
        limits: PlacementLimits,
    ) -> Assignment | None:
        """Find the cheapest assignment within one group, without preemption if possible."""
        for needs_free_room in (True, False):
            found = self.assign_to_one(unit, groups, count_tasks, limits, needs_free_room)
            if found is not None:
                return found
        return None

    def assign_to_one(
        self,
        unit: Unit,
        groups: list[list[CandidateTarget]],
        count_tasks: Callable[[TargetId], int],
        limits: PlacementLimits,
        needs_free_room: bool,
    ) -> Assignment | None:
        """The cheapest assignment within one group, only to free room if that is needed."""
        assignments = [
            assignment
            for group in groups
            if (
                assignment := self._assign_greedily(
                    unit, group, count_tasks, limits, needs_free_room
                )
            )
            is not None
        ]
        return min(
            assignments, key=lambda found: (not found.can_start_now, found.cost), default=None
        )

    @staticmethod
    def _max_tasks_when_empty(unit: Unit, group: list[CandidateTarget]) -> int:
        """How many tasks of the unit would fit on the targets of a group if these were empty."""
        demand = unit.step.demand
        return sum(max_tasks_that_fit(candidate.announcement.room, demand) for candidate in group)

    def _assign_greedily(
        self,
        unit: Unit,
        group: list[CandidateTarget],
        count_tasks: Callable[[TargetId], int],
        limits: PlacementLimits,
        needs_free_room: bool,
    ) -> Assignment | None:
        demand, max_per_target = unit.step.demand, unit.step.per_target
        group = [
            candidate
            for candidate in group
            if candidate.free.can_hold(demand)
            or (not needs_free_room and candidate.can_hold_with_preemption(demand, limits))
        ]
        free = {candidate.announcement.id: candidate.free for candidate in group}
        counts = {
            candidate.announcement.id: count_tasks(candidate.announcement.id) for candidate in group
        }
        # Victims so far, keyed by identity.
        preempted: dict[int, ActiveRun] = {}
        assignment = Assignment([], [], True, 0.0)
        for _ in unit.tasks:
            best: tuple[float, CandidateTarget, list[ActiveRun], bool] | None = None
            for candidate in group:
                target = candidate.announcement.id
                if max_per_target and counts[target] >= max_per_target:
                    continue
                if needs_free_room and not free[target].can_hold(demand):
                    continue
                option = _cost_one_task(candidate, free[target], demand, preempted, limits)
                if option is not None and (best is None or option[0] < best[0]):
                    best = (option[0], candidate, option[1], option[2])
            if best is None:
                return None
            cost, candidate, victims, can_start_now = best
            target = candidate.announcement.id
            for victim in victims:
                preempted[id(victim)] = victim
                free[target] += victim.demand
            free[target] -= demand
            counts[target] += 1
            assignment.targets.append(target)
            assignment.cost += cost
            assignment.can_start_now = assignment.can_start_now and can_start_now
        assignment.victims = list(preempted.values())
        return assignment


def max_tasks_that_fit(room: Resources, demand: Resources) -> int:
    """How many tasks with this demand fit into the room together."""
    quotients = [
        available // demanded
        for available, demanded in (
            (room.cpu_millicores, demand.cpu_millicores),
            (room.memory_mb, demand.memory_mb),
            (room.accelerators, demand.accelerators),
        )
        if demanded > 0
    ]
    # Without any demand, the number is not limited by the room.
    return max(0, min(quotients, default=1000))


def _cost_one_task(
    candidate: CandidateTarget,
    free: Resources,
    demand: Resources,
    preempted: dict[int, ActiveRun],
    limits: PlacementLimits,
) -> tuple[float, list[ActiveRun], bool] | None:
    """The cost of one more task on a candidate, its victims, and whether it can start at once.

    Returns None if the task cannot fit. `free` is what the unit's tasks that were placed earlier
    have left on the candidate, `preempted` holds the victims chosen for them. The cost is in
    core-seconds.
    """
    crash_risk = candidate.crash_risk(limits.trial_job) + candidate.failure_risk
    if free.can_hold(demand):
        # Best fit: the least free accelerators, then CPU, remain, which keeps large gaps for large
        # tasks.
        return (
            crash_risk
            + candidate.rack_room_cost
            + (free - demand).accelerators * 0.01
            + (free - demand).cpu_millicores * 1e-7,
            [],
            True,
        )
    room = candidate.room_after_ends(free, limits)
    victims: list[ActiveRun] = []
    cost = crash_risk + WAIT_COST_CORE_S
    late_jobs = {active.tracked.job.id for active in preempted.values()}
    gangs = {active.gang_key for active in preempted.values()}
    for victim in candidate.victims:
        if room.can_hold(demand):
            break
        active = victim.active
        if limits.may_preempt(victim) and id(active) not in preempted:
            room += active.demand
            victims.append(active)
            # Count each loss once: a gang ends with any of its members, and a job becomes late with
            # any of its runs.
            cost += 0.0 if active.gang_key in gangs else victim.lost_work
            cost += 0.0 if active.tracked.job.id in late_jobs else victim.lateness_loss
            gangs.add(active.gang_key)
            late_jobs.add(active.tracked.job.id)
    return (cost, victims, False) if room.can_hold(demand) else None
