"""Places the units of jobs: orders their starts, or the stops that make room for them."""

from collections import Counter
from collections.abc import Callable

import msgspec

from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.attempts import is_suspect
from comfreyshelf.fleet.bounds import RECLAIM_MARGIN_S
from comfreyshelf.fleet.guarantee import may_borrow
from comfreyshelf.fleet.health.probes import is_probe
from comfreyshelf.fleet.health.target_health import Standing
from comfreyshelf.fleet.jobs import JobPhase, RunNumber
from comfreyshelf.fleet.lost_work import StopCause
from comfreyshelf.fleet.moves.move_policy import MovePass
from comfreyshelf.fleet.moves.preemption_cost import (
    ENDING_SOON_S,
    is_worth_preempting,
)
from comfreyshelf.fleet.placement.goal import make_goal
from comfreyshelf.fleet.placement.placing import (
    NO_PREEMPTION,
    Assignment,
    PlacementLimits,
    PlanningCapacity,
)
from comfreyshelf.fleet.report_handling import ReportHandling
from comfreyshelf.fleet.scheduling import Feature
from comfreyshelf.fleet.tracked_job import Outlook, TrackedJob, Unit
from comfreyshelf.ids import JobId, TargetId

# Capacity is reserved for at most this many units that fit nowhere yet, in order of their ranks.
MAX_RESERVED_UNITS = 3
# Urgent work waits for a run to end only with this much slack, as the run may end later than
# expected, and stopping another one then takes time too.
MIN_WAIT_SLACK_S = 2.0 * ENDING_SOON_S
# Why a unit waits that would fit only together with targets in evacuated zones, or on targets that
# leave soon.
ZONES_EVACUATED = "its targets are in evacuated zones"
ROOM_IS_LEAVING = "the room is on targets that are about to leave"
# What waits for one of these reserves no capacity elsewhere, as it may wait for hours or does not
# lack room.
WAITS_WITHOUT_RESERVATION = (ZONES_EVACUATED, ROOM_IS_LEAVING)


class PlanningPass(msgspec.Struct):
    """State of one planning pass.

    `moves` has what the policy for moves needs, among it the free accelerators that guarantees are
    not expected to claim. `reserved_units` counts the units that had capacity reserved although
    they fit nowhere yet.
    """

    now: float
    unix_now: float
    covered_ids: set[JobId]
    capacity: PlanningCapacity
    moves: MovePass
    reserved_units: int = 0


class UnitPlacing(ReportHandling):
    """Decides for each unit where it starts, which runs stop for it, or why it waits."""

    def _place_job(self, tracked: TrackedJob, planning: PlanningPass) -> None:
        """Place the units of a job that may start, in one planning pass."""
        unix_now = planning.unix_now
        is_covered = tracked.job.id in planning.covered_ids
        # By medians, also for borrowing: a unit that is in time in half of the cases is worth more
        # than accelerators that are kept idle for a guarantee.
        is_in_time = tracked.outlook(unix_now) is Outlook.IN_TIME
        # Steps of which a task could not be placed, and why. Their other tasks have the same demand
        # and could not be placed either.
        blocked_steps: dict[tuple[int, int], str] = {}
        for unit in tracked.startable_units(unix_now, self.bounds.early_start_s):
            needed_accelerators = unit.step.demand.accelerators * len(unit.tasks)
            step = (unit.occurrence, unit.step_number)
            is_reserved = self.policies.moves.is_reserved(tracked, unit)
            if is_reserved or step not in blocked_steps:
                unclaimed = planning.moves.unclaimed_accelerators
                if (
                    needed_accelerators > unclaimed
                    and not is_reserved
                    and not may_borrow(tracked, unit, is_in_time)
                ):
                    why = "guarantees may claim the room"
                else:
                    why = self._place_unit(tracked, unit, is_covered, planning)
                    self.policies.moves.reclaim_reserved(planning.moves)
                if why and self.zone_gate.blocks(
                    unit, planning.capacity.candidates.values(), self.targets.values()
                ):
                    why = ZONES_EVACUATED
                self._log_wait(tracked, unit, why, unix_now)
                if not why:
                    if not is_covered and not is_reserved:
                        planning.moves.unclaimed_accelerators -= needed_accelerators
                    continue
                blocked_steps[step] = why
            if (
                planning.reserved_units < MAX_RESERVED_UNITS
                and blocked_steps[step] not in WAITS_WITHOUT_RESERVATION
                and tracked.priority <= 1
                and is_in_time
            ):
                planning.reserved_units += self._reserve_for_blocked(tracked, unit, planning)

    def _stop_run(
        self, active: ActiveRun, now: float, cause: StopCause, for_job: JobId | None = None
    ) -> None:
        self.log_event(
            "run stopped",
            task=active.full_name,
            run=active.run,
            target=active.target,
            why=cause.value if for_job is None else f"{cause.value}, for {for_job}",
        )
        self._order_stop(active.tracked, active.task, now, cause)

    def _place_unit(
        self,
        tracked: TrackedJob,
        unit: Unit,
        is_covered: bool,
        planning: PlanningPass,
    ) -> str:
        """Order the start of a unit, or the stop of its victims.

        Returns why the unit has to wait, or an empty string if it was ordered or has capacity
        reserved that is being released.
        """
        # A job covered by its guarantee may preempt even urgent runs, if these are not covered.
        capacity, now, unix_now = planning.capacity, planning.now, planning.unix_now
        waited_s = unix_now - tracked.accepted_at
        slack_s = tracked.deadline - unix_now - tracked.remaining_critical_path_s
        may_wait = slack_s > MIN_WAIT_SLACK_S and (
            not is_covered or waited_s < self.bounds.reclaim_patience_s
        )
        limits = PlacementLimits(
            preempt_above=-1 if is_covered else tracked.priority,
            allow_rack_spread=is_covered,
            wait_for_ends=tracked.priority == 0 and may_wait,
            trial_job=tracked.job.id if is_suspect(tracked, unit.tasks) else None,
        )
        if self.scheduling.uses(Feature.TARGET_SPEED):
            goal = make_goal(tracked, unit, is_covered, self.bounds, unix_now)
            limits = msgspec.structs.replace(limits, goal=goal)
        assignment, why = self._find_room(tracked, unit, limits, planning)
        if assignment is None:
            return why
        if not is_covered and not is_worth_preempting(tracked, unit, assignment, unix_now):
            if limits.goal is None:
                return "others would lose more"
            # Free room may end the unit later, but stops nothing.
            limits = msgspec.structs.replace(limits, preempt_above=NO_PREEMPTION)
            assignment, _ = self._find_room(tracked, unit, limits, planning)
            if assignment is None:
                return "others would lose more"
        capacity.reserve(unit, assignment.targets)
        capacity.mark_started(assignment.targets, tracked.job.id, limits.trial_job is not None)
        if assignment.can_start_now:
            self._order_start(tracked, unit, assignment, now, unix_now)
            return ""
        if not assignment.victims:
            self.count("units_held")
            self._log_wait(tracked, unit, "room is about to be free", unix_now)
        for victim in assignment.victims:
            capacity.mark_releasing(victim)
            cause = StopCause.RECLAIMED if is_covered else StopCause.PREEMPTED
            self._stop_run(victim, now, cause, tracked.job.id)
        self._freed_room.keep(
            {victim.target for victim in assignment.victims},
            (tracked.job.id, unit.tasks[0]),
            now + self.bounds.stop_grace_s + RECLAIM_MARGIN_S,
        )
        return ""

    def _find_room(
        self, tracked: TrackedJob, unit: Unit, limits: PlacementLimits, planning: PlanningPass
    ) -> tuple[Assignment | None, str]:
        """The assignment of a unit, or None and the reason; reserved room is used first."""
        policy, moves = self.policies.moves, planning.moves
        reserved = policy.take_reserved(tracked, unit, moves)
        if reserved is not None:
            return Assignment(reserved, [], True, 0.0), ""
        to_avoid = policy.targets_to_avoid(tracked, unit, moves)

        def find(avoided: frozenset[TargetId]) -> Assignment | None:
            return self._find_by_standing(tracked, unit, avoided, limits, planning)

        assignment = find(to_avoid.avoided)
        if to_avoid.avoided != to_avoid.excluded:
            # Free room that is only to be avoided is better than preempting or waiting.
            assignment = _sooner(assignment, find(to_avoid.excluded))
        is_covered = tracked.job.id in planning.covered_ids
        if is_covered and not _can_start_now(assignment) and policy.lend_reserved(moves):
            assignment = _sooner(assignment, find(to_avoid.excluded))
        if assignment is None:
            return None, "no room"
        if not to_avoid.excluded.isdisjoint(assignment.targets):
            return None, ROOM_IS_LEAVING
        return assignment, ""

    def _find_by_standing(
        self,
        tracked: TrackedJob,
        unit: Unit,
        avoided: frozenset[TargetId],
        limits: PlacementLimits,
        planning: PlanningPass,
    ) -> Assignment | None:
        """Find an assignment on trusted targets, or on others if the unit has to start there."""
        capacity, count_tasks = planning.capacity, self._task_counter(tracked, unit)
        all_avoided = tracked.avoided_targets | avoided if avoided else tracked.avoided_targets
        if not self.policies.health.has_restricted:
            return capacity.find_assignment(unit, all_avoided, count_tasks, limits)
        is_covered = tracked.job.id in planning.covered_ids
        may_probe = is_probe(tracked, unit)
        for reach in Standing:
            has_to_start = is_covered or reach is Standing.TRUSTED
            if not has_to_start and capacity.trusted_could_hold(unit):
                break
            limits = msgspec.structs.replace(limits, reach=reach, is_probe=may_probe)
            assignment = capacity.find_assignment(unit, all_avoided, count_tasks, limits)
            if assignment is not None:
                if reach is not Standing.TRUSTED:
                    self.count(f'units_on_untrusted_targets{{standing="{reach.value}"}}')
                return assignment
        return None

    def _log_wait(self, tracked: TrackedJob, unit: Unit, why: str, unix_now: float) -> None:
        """Log why a unit waits, if the reason differs from the last one logged for its job."""
        if why and why != tracked.wait_reason:
            if why == ZONES_EVACUATED:
                self.count("units_waiting_for_zones")
            self.log_event(
                "unit waits",
                job=tracked.job.id,
                step=unit.step_number,
                why=why,
                priority=tracked.priority,
                outlook=tracked.outlook(unix_now).value,
                slack_s=round(tracked.deadline - unix_now - tracked.remaining_critical_path_s, 1),
                organisation=tracked.job.organisation,
                share=round(self.policies.ranking.shares().get(tracked.job.organisation, 0.0), 3),
            )
        tracked.wait_reason = why or tracked.wait_reason

    def _task_counter(self, tracked: TrackedJob, unit: Unit) -> Callable[[TargetId], int]:
        if not unit.step.per_target:
            return lambda target: 0
        # Tasks on their way to reserved room count, too, before they have started there.
        counts = Counter(self.policies.moves.reserved_targets(tracked, unit))
        for name in tracked.step_tasks(unit.occurrence, unit.step_number):
            target = tracked.task_progress(name).target
            if target:
                counts[target] += 1
        return lambda target: counts[target]

    def _reserve_for_blocked(self, tracked: TrackedJob, unit: Unit, planning: PlanningPass) -> int:
        """Reserve the targets with most free accelerators for a unit that fits nowhere yet.

        Targets on which runs were just stopped for another unit are left out. Returns the number of
        units that had capacity reserved: 1, or 0 if no target can run it.
        """
        capacity = planning.capacity
        kept = self._freed_room.kept_for_others((tracked.job.id, unit.tasks[0]), planning.now)
        eligible = [
            candidate
            for candidate in planning.capacity.trusted()
            if candidate.announcement.id not in kept and candidate.can_run(unit)
        ]
        eligible.sort(key=lambda candidate: -candidate.free.accelerators)
        capacity.reserve(
            unit, [candidate.announcement.id for candidate in eligible[: len(unit.tasks)]]
        )
        return 1 if eligible else 0

    def _order_start(
        self, tracked: TrackedJob, unit: Unit, assignment: Assignment, now: float, unix_now: float
    ) -> None:
        run = RunNumber(max(tracked.task_progress(name).run for name in unit.tasks) + 1)
        # All members of a gang have to resume from the same checkpoint.
        checkpoint = tracked.task_progress(unit.tasks[0]).checkpoint
        for name, target in zip(unit.tasks, assignment.targets, strict=True):
            view = self.targets[target]
            tracked.update_task(
                name,
                run=run,
                target=target,
                incarnation=view.incarnation,
                resumed_from=checkpoint,
                machine=view.machine,
            )
            active = ActiveRun(
                tracked, name, run, target, view.incarnation, unit.step.demand, view.machine, now
            )
            view.active_runs[active.full_name] = active
            tracked.active_runs[name] = active
            self._unstored_runs.append(active)
            view.orders_changed = True
        self._freed_room.release((tracked.job.id, unit.tasks[0]))
        self._update_slowdown(active)
        tracked.set_phase(JobPhase.RUNNING, 0.0)
        self._dirty_jobs.add(tracked.job.id)
        self.log_event(
            "unit placed",
            job=tracked.job.id,
            step=unit.step_number,
            occurrence=unit.occurrence,
            run=run,
            targets=sorted(set(assignment.targets)),
            tasks=unit.tasks if unit.step.gang else unit.tasks[0],
            priority=tracked.priority,
            slack_s=round(tracked.deadline - unix_now - tracked.critical_path_s, 1),
            slowdown=round(active.slowdown, 2),
            version=self.config.version,
        )
        self._count_placement(active, unix_now)

    def _count_placement(self, active: ActiveRun, unix_now: float) -> None:
        """Count a placement away from its data or its gang, or with a late expected end."""
        if active.remote_factor > 1:
            self.count("gangs_spread" if active.gang_size > 1 else "tasks_off_rack")
        if active.slowdown > 1 and unix_now + active.expected_s() > active.tracked.deadline:
            self.count("placements_late")


def _can_start_now(assignment: Assignment | None) -> bool:
    return assignment is not None and assignment.can_start_now


def _sooner(first: Assignment | None, second: Assignment | None) -> Assignment | None:
    """The second assignment if only that one can start now, or if there is no first one."""
    if first is None or (not first.can_start_now and _can_start_now(second)):
        return second
    return first
