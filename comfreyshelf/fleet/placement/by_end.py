"""Choice of targets for a unit by its expected end; best fit decides between equal ends."""

import math
from collections.abc import Callable, Iterator, Sequence

import msgspec

from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.placement.candidate_target import CandidateTarget
from comfreyshelf.fleet.placement.goal import PlacementGoal
from comfreyshelf.fleet.placement.placing import (
    NO_PREEMPTION,
    WAIT_COST_CORE_S,
    Assignment,
    PlacementLimits,
    PlanningCapacity,
    max_tasks_that_fit,
)
from comfreyshelf.fleet.placement.room_forecast import MIN_END_S, ExpectedRoom, forecast_room
from comfreyshelf.fleet.speed.slowdown import remote_factors
from comfreyshelf.fleet.tracked_job import Unit
from comfreyshelf.ids import RackId, TargetId

# Targets whose slowdowns differ by less than this factor count as equal. With 1.1, the noise of the
# estimates decided on a fleet of equal targets.
EQUAL_FACTOR = 1.25
# Room that is expected within this time is held for the unit that waits for it.
MAX_HOLD_S = 2.0
# Expected time for a stop to reach its target, and for the report of it to come back.
STOP_DELAY_S = 0.4
# Runs end later than expected; waiting has to end sooner by this.
WAIT_MARGIN_S = 0.4
# A unit waits for runs that end soon only if this much of its slack is left at the speed of their
# targets, as they may end later than expected.
MIN_WAIT_SLACK_S = 1.5
# Cost of each free accelerator in the rack, so that small tasks leave whole racks to gangs. It is
# below the cost of a free accelerator of the target itself.
RACK_ROOM_COST = 0.001

Group = list[CandidateTarget]
TaskCounter = Callable[[TargetId], int]


class _Option(msgspec.Struct, frozen=True):
    """A way to place a unit, which starts after `delay_s` and ends after `end_s`."""

    delay_s: float
    end_s: float
    assignment: Assignment | None


class EndAwareCapacity(PlanningCapacity):
    """The capacity of one planning pass, given to units by their goals.

    A unit goes where it ends in time: on free room, else by preemption. Otherwise it goes where it
    ends soonest, which may be where it waits for.
    """

    def __init__(self, candidates: dict[TargetId, CandidateTarget], bounds: Bounds) -> None:
        super().__init__(candidates)
        self.bounds = bounds
        self._racks: dict[RackId, Group] = {}
        for candidate in candidates.values():
            self._racks.setdefault(candidate.announcement.rack, []).append(candidate)
        self._is_uniform = len({_level(candidate) for candidate in candidates.values()}) <= 1
        for rack in self._racks:
            self._update_rack_room(rack)

    def reserve(self, unit: Unit, targets: Sequence[TargetId]) -> None:
        super().reserve(unit, targets)
        for rack in {self.candidates[target].announcement.rack for target in targets}:
            self._update_rack_room(rack)

    def find_assignment(
        self,
        unit: Unit,
        avoided: set[TargetId],
        count_tasks: TaskCounter,
        limits: PlacementLimits,
    ) -> Assignment | None:
        goal = limits.goal
        if goal is None or unit.step.per_target:
            return super().find_assignment(unit, avoided, count_tasks, limits)
        if limits.preempt_above == NO_PREEMPTION and not any(
            candidate.free.can_hold(unit.step.demand) for candidate in self.candidates.values()
        ):
            return None
        # The search without a goal has one result for all units that wait for equal resources.
        best_fit = super().find_assignment(
            unit,
            avoided,
            count_tasks,
            msgspec.structs.replace(limits, goal=None, allow_rack_spread=True),
        )
        if best_fit is None or self._meets(goal, unit, best_fit, limits):
            return best_fit
        return super().find_assignment(unit, avoided, count_tasks, limits)

    def _meets(
        self, goal: PlacementGoal, unit: Unit, assignment: Assignment, limits: PlacementLimits
    ) -> bool:
        """Whether no other assignment suits the goal better, as far as can be told at once."""
        slowdown = self.slowdown(unit, assignment.targets)
        if slowdown > goal.safe_slowdown:
            return False
        if assignment.can_start_now:
            return self._is_uniform or (len(unit.tasks) == 1 and not goal.prefers_slow)
        may_wait = (
            bool(assignment.victims)
            or not limits.wait_for_ends
            or goal.slack_s(slowdown) >= MIN_WAIT_SLACK_S
        )
        return self._is_uniform and may_wait

    def slowdown(self, unit: Unit, targets: Sequence[TargetId]) -> float:
        """The slowdown of a unit on these targets, that of its slowest task."""
        candidates = [self.candidates[target] for target in targets]
        racks = [candidate.announcement.rack for candidate in candidates]
        factors = remote_factors(unit.step, racks, self.bounds.remote_factor)
        return max(
            factor / candidate.speed for factor, candidate in zip(factors, candidates, strict=True)
        )

    def _update_rack_room(self, rack: RackId) -> None:
        group = self._racks[rack]
        cost = RACK_ROOM_COST * sum(max(0, target.free.accelerators) for target in group)
        for target in group:
            target.rack_room_cost = cost

    def _find_cheapest(
        self, unit: Unit, eligible: Group, count_tasks: TaskCounter, limits: PlacementLimits
    ) -> Assignment | None:
        goal = limits.goal
        if goal is None:
            return super()._find_cheapest(unit, eligible, count_tasks, limits)
        search = _Search(self, unit, count_tasks, limits, goal)
        preferred = self._preferred_groups(unit, eligible)
        found = search.in_time(preferred)
        if found is not None:
            return found
        return search.soonest(preferred, eligible)

    def _preferred_groups(self, unit: Unit, eligible: Group) -> list[Group]:
        """The groups of targets on which the unit is near its data and its gang.

        Groups that could not hold it even if they were empty are left out.
        """
        step = unit.step
        if step.rack:
            groups = [[one for one in eligible if one.announcement.rack == step.rack]]
        elif step.same_rack and len(unit.tasks) > 1:
            racks: dict[RackId, Group] = {}
            for candidate in eligible:
                racks.setdefault(candidate.announcement.rack, []).append(candidate)
            groups = list(racks.values())
        else:
            return [eligible]
        return [
            group for group in groups if self._max_tasks_when_empty(unit, group) >= len(unit.tasks)
        ] or [eligible]


class _Search(msgspec.Struct):
    """The search for the targets of one unit."""

    capacity: EndAwareCapacity
    unit: Unit
    count_tasks: TaskCounter
    limits: PlacementLimits
    goal: PlacementGoal

    def in_time(self, groups: list[Group]) -> Assignment | None:
        """An assignment that ends in time, without preemption if that is possible."""
        goal = self.goal
        for limit in (goal.safe_slowdown, goal.max_slowdown):
            found = self._within(groups, limit, needs_free_room=True)
            if found is not None:
                return found
        found = self._within(groups, goal.max_slowdown, needs_free_room=False)
        if found is None or found.victims or not self.limits.wait_for_ends:
            return found
        if goal.slack_s(self.capacity.slowdown(self.unit, found.targets)) >= MIN_WAIT_SLACK_S:
            return found
        # There is no time left to wait for runs that end soon.
        self.limits = msgspec.structs.replace(self.limits, wait_for_ends=False)
        return self._within(groups, goal.max_slowdown, needs_free_room=False) or found

    def soonest(self, preferred: list[Group], eligible: Group) -> Assignment | None:
        """The assignment that ends soonest; None if that is to wait for longer than MAX_HOLD_S."""
        options = list(self._late_options(preferred))
        if preferred != [eligible]:
            options += self._late_options([eligible])
        if not options:
            # Without a choice the unit waits, and room is reserved for it by its rank.
            return None
        starting = [one for one in options if one.delay_s <= self.goal.start_within_s] or options
        waiting = self._wait_option(preferred)
        if waiting is not None and waiting.delay_s <= self.goal.start_within_s:
            starting.append(waiting)
        return min(starting, key=lambda option: option.end_s).assignment

    def _late_options(self, groups: list[Group]) -> Iterator[_Option]:
        for limit in (self.goal.patient_slowdown, math.inf):
            for needs_free_room in (True, False):
                found = self._within(groups, limit, needs_free_room)
                if found is not None:
                    yield self._option(self._start_delay_s(found), found.targets, found)

    def _start_delay_s(self, assignment: Assignment) -> float:
        if assignment.victims:
            return self.capacity.bounds.stop_grace_s + STOP_DELAY_S
        # The runs that hold the room have been told to stop, or end soon.
        return 0.0 if assignment.can_start_now else MIN_END_S

    def _wait_option(self, preferred: list[Group]) -> _Option | None:
        """Waiting for targets that the unit would rather have."""
        limit = self.goal.patient_slowdown
        rooms = [
            room
            for group in preferred
            if (room := forecast_room(self.unit, _up_to(group, limit))) is not None
            and room.after_s > 0
        ]
        options = [self._wait_for(room) for room in rooms]
        return min(options, key=lambda option: option.end_s, default=None)

    def _wait_for(self, room: ExpectedRoom) -> _Option:
        held = None
        if room.after_s <= MAX_HOLD_S:
            held = Assignment(room.targets, [], False, WAIT_COST_CORE_S)
        option = self._option(room.after_s, room.targets, held)
        return msgspec.structs.replace(option, end_s=option.end_s + WAIT_MARGIN_S)

    def _option(
        self, delay_s: float, targets: list[TargetId], assignment: Assignment | None
    ) -> _Option:
        run_s = self.goal.duration_s * self.capacity.slowdown(self.unit, targets)
        return _Option(delay_s, delay_s + run_s, assignment)

    def _within(
        self, groups: list[Group], limit: float, needs_free_room: bool
    ) -> Assignment | None:
        """The cheapest assignment to targets up to a slowdown.

        Within each group, the speed decides which targets are used; room decides between groups, so
        that a small gang does not break up a rack that only has the faster targets.
        """
        found = [
            assignment
            for group in groups
            if (assignment := self._within_group(_up_to(group, limit), needs_free_room)) is not None
        ]
        return min(found, key=lambda one: (not one.can_start_now, one.cost), default=None)

    def _within_group(self, group: Group, needs_free_room: bool) -> Assignment | None:
        for reduced in self._by_speed(group):
            if needs_free_room and not has_room(reduced, self.unit):
                continue
            found = self.capacity.assign_to_one(
                self.unit, [reduced], self.count_tasks, self.limits, needs_free_room
            )
            if found is not None:
                return found
        return None

    def _by_speed(self, group: Group) -> Iterator[Group]:
        """The group, reduced to ever more of its targets, until all are included.

        The members of a gang go on equal targets, the fastest or, if the gang prefers them, the
        slowest. A single task goes on the slowest ones, or on any.
        """
        prefers_slow = self.goal.prefers_slow
        if len(self.unit.tasks) == 1 and not prefers_slow:
            yield group
            return
        for bound in sorted({_level(candidate) for candidate in group}, reverse=prefers_slow):
            if prefers_slow:
                yield [candidate for candidate in group if _level(candidate) >= bound]
            else:
                yield [candidate for candidate in group if _level(candidate) <= bound]


def has_room(group: Group, unit: Unit) -> bool:
    """Whether the free room of a group holds all tasks of a unit."""
    missing = len(unit.tasks)
    for candidate in group:
        missing -= max_tasks_that_fit(candidate.free, unit.step.demand)
        if missing <= 0:
            return True
    return False


def _up_to(group: Group, max_slowdown: float) -> Group:
    """The targets of a group that are not slower than a slowdown."""
    return [candidate for candidate in group if 1 / candidate.speed <= max_slowdown]


def _level(candidate: CandidateTarget) -> int:
    """The class of equal targets that a target belongs to; slower ones have higher numbers."""
    return -round(math.log(candidate.speed) / math.log(EQUAL_FACTOR))
