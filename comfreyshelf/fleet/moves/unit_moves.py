"""Moves whole units off targets that leave, are slow or do not make progress, if there is room."""

from collections import Counter
from enum import Enum

from comfreyshelf.fleet.attempts import is_suspect
from comfreyshelf.fleet.bounds import ANSWER_MARGIN_S, REPORT_INTERVAL_S, Bounds
from comfreyshelf.fleet.guarantee import may_borrow
from comfreyshelf.fleet.lost_work import StopCause
from comfreyshelf.fleet.moves.departures import ExpectedDepartures, RolloutForecast, certain_s
from comfreyshelf.fleet.moves.move_policy import (
    NOTHING_TO_AVOID,
    FleetAccess,
    MovePass,
    MovePolicy,
    TargetsToAvoid,
)
from comfreyshelf.fleet.moves.move_value import is_worth_leaving_slow, move_value
from comfreyshelf.fleet.moves.reservations import Reservations, UnitKey, unit_key
from comfreyshelf.fleet.moves.stalls import is_stalled, stall_limit_s
from comfreyshelf.fleet.moves.units_at_risk import Risk, UnitAtRisk, find_units_at_risk
from comfreyshelf.fleet.placement.placing import NO_PREEMPTION, Assignment, PlacementLimits
from comfreyshelf.fleet.prediction.model import Quantile
from comfreyshelf.fleet.scheduling import Scheduling
from comfreyshelf.fleet.tracked_job import Outlook, TrackedJob, Unit
from comfreyshelf.ids import JobId, TargetId

# Options of the section `moves` and their defaults: for how long room is kept for a unit whose runs
# are being stopped, and how often one unit may be moved.
RESERVE_S = 4.0
MAX_MOVES = 3
# The end of a run has to be reported before its target leaves, or it counts as lost.
END_REPORT_S = ANSWER_MARGIN_S
# Work without checkpoints and without room elsewhere goes on if it would end in time should it need
# only this share of what is expected; else it would only do more work that is thrown away.
HOPEFUL_REMAINING_SHARE = 0.6
# A stalled run is stopped without room elsewhere after this many times the time after which it
# counts as stalled, as it holds room that other work could use.
STALLED_STOP_RATIO = 2.0
# A job has low slack if its slack is at most this many times its remaining critical path.
LOW_SLACK_RATIO = 1.5
# Work stays off targets still to be replaced, if others have room, from this chance on that one of
# them leaves while it runs; work with low slack waits for other targets from the second one on.
# With 0.2, more work was late by waiting than was saved.
AVOIDED_CHANCE = 0.02
EXCLUDED_CHANCE = 0.5
# A job with less slack no longer waits for a target that stays: it would be late for certain.
MIN_WAIT_SLACK_S = 0.5

_STOP_CAUSES = {
    Risk.DEPARTURE: StopCause.DRAINED,
    Risk.STALLED: StopCause.STALLED,
    Risk.SLOW: StopCause.SLOW_TARGET,
}


class Stay(Enum):
    """Why a unit at risk is not moved now; the value is used in counters."""

    ENDS_IN_TIME = "ends_in_time"
    UNTIL_LATEST = "checkpoint_later"
    NO_ROOM = "no_room"
    GUARANTEE = "guarantees_may_claim_room"
    MOVED_OFTEN = "moved_often"
    STORE_BEHIND = "store_behind"
    NOT_WORTH = "not_worth"


_WITHOUT_ROOM = (Stay.NO_ROOM, Stay.GUARANTEE)


def stop_margin_s(bounds: Bounds) -> float:
    """Least time before a departure at which a run has to be stopped to save its checkpoint.

    The stop itself, the report of it with its checkpoint, and one report that comes too late.
    """
    return bounds.stop_grace_s + ANSWER_MARGIN_S + REPORT_INTERVAL_S


class UnitMoves(MovePolicy):
    """Reserves room for a whole unit before it stops its runs, and lets it go on otherwise."""

    def __init__(self, scheduling: Scheduling) -> None:
        reserve_s = scheduling.number("moves", "reserve_s", RESERVE_S, 0.5)
        self._max_moves = int(scheduling.number("moves", "max_moves", MAX_MOVES, 0))
        self._reservations = Reservations(reserve_s)
        self._rollouts = RolloutForecast()
        self._at_risk: dict[JobId, list[UnitAtRisk]] = {}
        # How often each unit was moved, and those that have left a slow target.
        self._moves: Counter[UnitKey] = Counter()
        self._left_slow: set[UnitKey] = set()
        # Why each unit at risk was not moved in the last pass.
        self._stays: dict[UnitKey, Stay] = {}
        # Stalled runs that have been counted against their targets.
        self._recorded_stalls: set[tuple[str, int]] = set()
        # Targets that may be given work although they have announced when they leave.
        self._short_lived: dict[TargetId, float] = {}

    def stop_runs(self, fleet: FleetAccess, now: float) -> None:
        """Stop nothing, but count stalls, before the health of targets decides on candidates."""
        stalled = {
            (active.full_name, active.run): active
            for view in fleet.targets.values()
            if not view.certain_until
            for active in view.active_runs.values()
            if active.stopping_since is None and active.is_confirmed and is_stalled(active)
        }
        for key in stalled.keys() - self._recorded_stalls:
            fleet.record_stall(stalled[key], now)
        self._recorded_stalls = set(stalled)

    def begin_pass(self, moves: MovePass) -> None:
        targets = moves.fleet.targets
        self._rollouts.observe(targets, moves.now)
        self._short_lived = {
            target: left_s
            for target in moves.capacity.candidates
            if (left_s := certain_s(targets[target], moves.now)) is not None
        }
        self._reservations.hold(moves)
        self._at_risk = find_units_at_risk(moves)
        at_risk_keys = {
            unit_key(at_risk.tracked, at_risk.unit)
            for units in self._at_risk.values()
            for at_risk in units
        }
        self._stays = {key: why for key, why in self._stays.items() if key in at_risk_keys}
        for key in [key for key in self._moves if key[0] not in moves.fleet.jobs]:
            del self._moves[key]
            self._left_slow.discard(key)

    def move_units(self, tracked: TrackedJob, moves: MovePass) -> None:
        for at_risk in self._at_risk.get(tracked.job.id, ()):
            stay = self._move_unit(at_risk, moves)
            if stay is not None:
                self._record_stay(at_risk, stay, moves)

    def is_reserved(self, tracked: TrackedJob, unit: Unit) -> bool:
        return bool(self._reservations) and unit_key(tracked, unit) in self._reservations

    def take_reserved(
        self, tracked: TrackedJob, unit: Unit, moves: MovePass
    ) -> list[TargetId] | None:
        if not self._reservations:
            return None
        return self._reservations.take(unit_key(tracked, unit), moves)

    def reserved_targets(self, tracked: TrackedJob, unit: Unit) -> list[TargetId]:
        return self._reservations.targets_of_step(tracked, unit)

    def lend_reserved(self, moves: MovePass) -> bool:
        return self._reservations.lend(moves)

    def reclaim_reserved(self, moves: MovePass) -> None:
        if self._reservations:
            self._reservations.reclaim(moves)

    def targets_to_avoid(self, tracked: TrackedJob, unit: Unit, moves: MovePass) -> TargetsToAvoid:
        leaving = self._leaving_too_soon(tracked, unit)
        likely = self._likely_to_leave(tracked, unit)
        if likely.chance < AVOIDED_CHANCE or not _has_low_slack(tracked, moves.unix_now):
            return TargetsToAvoid(leaving, leaving) if leaving else NOTHING_TO_AVOID
        slack_s = tracked.deadline - moves.unix_now - tracked.remaining_critical_path_s
        may_wait = tracked.job.id not in moves.covered_ids and slack_s >= MIN_WAIT_SLACK_S
        avoided = likely.targets | leaving
        is_excluded = may_wait and likely.chance >= EXCLUDED_CHANCE
        return TargetsToAvoid(avoided, avoided if is_excluded else leaving)

    def _leaving_too_soon(self, tracked: TrackedJob, unit: Unit) -> frozenset[TargetId]:
        """Targets that leave before a unit that starts now ends there for sure."""
        if not self._short_lived:
            return frozenset()
        needed_s = END_REPORT_S + _duration_s(tracked, unit, Quantile.HIGH)
        return frozenset(
            target for target, left_s in self._short_lived.items() if left_s < needed_s
        )

    def _likely_to_leave(self, tracked: TrackedJob, unit: Unit) -> ExpectedDepartures:
        duration_s = _duration_s(tracked, unit, Quantile.MEDIAN)
        return self._rollouts.expected_departures(unit.service, duration_s, len(unit.tasks))

    def _move_unit(self, at_risk: UnitAtRisk, moves: MovePass) -> Stay | None:
        """Move a unit, or return why it stays."""
        if at_risk.risk is Risk.DEPARTURE:
            return self._leave_target(at_risk, moves)
        stay = self._move_if_possible(at_risk, moves)
        if stay is not None and at_risk.risk is Risk.STALLED:
            limit_s = max(stall_limit_s(active) for active in at_risk.runs)
            stalled_s = max(active.stalled_s for active in at_risk.runs if is_stalled(active))
            if stalled_s > STALLED_STOP_RATIO * limit_s:
                self._stop(at_risk, None, moves)
                return None
        return stay

    def _leave_target(self, at_risk: UnitAtRisk, moves: MovePass) -> Stay | None:
        if at_risk.surely_remaining_s(moves.now) + END_REPORT_S <= at_risk.left_s:
            return Stay.ENDS_IN_TIME
        if not at_risk.unit.step.checkpoints:
            stay = self._move_if_possible(at_risk, moves)
            if stay is None or self._may_still_end(at_risk, moves):
                return stay
            # The end of a run that is stopped is proven; one that goes on until its target has left
            # is given up with its lease.
            is_last_chance = at_risk.left_s <= stop_margin_s(moves.fleet.bounds)
            if stay not in _WITHOUT_ROOM and not is_last_chance:
                return stay
            self._stop(at_risk, None, moves)
            return None
        if at_risk.left_s > stop_margin_s(moves.fleet.bounds):
            return Stay.UNTIL_LATEST
        # Its checkpoint is saved only if it is stopped, so it is stopped even without room.
        assignment = self._find_room(at_risk, moves)
        self._stop(at_risk, assignment if isinstance(assignment, Assignment) else None, moves)
        return None

    @staticmethod
    def _may_still_end(at_risk: UnitAtRisk, moves: MovePass) -> bool:
        hoped_s = HOPEFUL_REMAINING_SHARE * at_risk.remaining_s(moves.now)
        return hoped_s + END_REPORT_S <= at_risk.left_s

    def _move_if_possible(self, at_risk: UnitAtRisk, moves: MovePass) -> Stay | None:
        key = unit_key(at_risk.tracked, at_risk.unit)
        if self._moves[key] >= self._max_moves or (
            at_risk.risk is Risk.SLOW and key in self._left_slow
        ):
            return Stay.MOVED_OFTEN
        if moves.is_store_behind:
            return Stay.STORE_BEHIND
        found = self._find_room(at_risk, moves)
        if isinstance(found, Stay):
            return found
        if at_risk.risk is Risk.SLOW and not is_worth_leaving_slow(at_risk, found.targets, moves):
            return Stay.NOT_WORTH
        self._stop(at_risk, found, moves)
        return None

    def _find_room(self, at_risk: UnitAtRisk, moves: MovePass) -> Assignment | Stay:
        """Find free room for a whole unit; what it holds on targets that stay counts as free."""
        tracked, unit, capacity = at_risk.tracked, at_risk.unit, moves.capacity
        own = _own_staying_targets(at_risk, moves)
        is_covered = tracked.job.id in moves.covered_ids
        is_in_time = tracked.outlook(moves.unix_now) is Outlook.IN_TIME
        needed_accelerators = unit.step.demand.accelerators * (len(unit.tasks) - len(own))
        if (
            needed_accelerators > moves.unclaimed_accelerators
            and not is_covered
            and not may_borrow(tracked, unit, is_in_time)
        ):
            return Stay.GUARANTEE
        excluded = self._leaving_too_soon(tracked, unit) | at_risk.targets_to_leave
        avoided = excluded | self._likely_to_leave(tracked, unit).targets | tracked.avoided_targets
        limits = PlacementLimits(
            preempt_above=NO_PREEMPTION,
            allow_rack_spread=is_covered,
            trial_job=tracked.job.id if is_suspect(tracked, unit.tasks) else None,
        )
        if own:
            capacity.give_back(unit, own)
        assignment = capacity.find_assignment(
            unit, set(avoided), moves.fleet.count_tasks(tracked, unit), limits
        )
        if own:
            capacity.reserve(unit, own)
        if (
            assignment is None
            or not assignment.can_start_now
            or not excluded.isdisjoint(assignment.targets)
        ):
            return Stay.NO_ROOM
        return assignment

    def _stop(self, at_risk: UnitAtRisk, found: Assignment | None, moves: MovePass) -> None:
        """Reserve the room that was found for a unit, if any, and stop its runs."""
        tracked, unit, fleet = at_risk.tracked, at_risk.unit, moves.fleet
        key = unit_key(tracked, unit)
        self._log_move(at_risk, found, moves)
        if found is not None:
            own = _own_staying_targets(at_risk, moves)
            self._reservations.add(tracked, unit, list(found.targets), moves)
            if tracked.job.id not in moves.covered_ids:
                moves.unclaimed_accelerators -= unit.step.demand.accelerators * (
                    len(unit.tasks) - len(own)
                )
        self._moves[key] += 1
        if at_risk.risk is Risk.SLOW:
            self._left_slow.add(key)
        for active in at_risk.runs:
            fleet.stop_run(active, moves.now, _STOP_CAUSES[at_risk.risk])
            if active.target in moves.capacity.candidates:
                moves.capacity.mark_releasing(active)

    def _log_move(self, at_risk: UnitAtRisk, found: Assignment | None, moves: MovePass) -> None:
        fleet, reason = moves.fleet, at_risk.risk.value
        counter = "moves" if found is not None else "stops_without_room"
        fleet.count(f'{counter}{{reason="{reason}"}}')
        targets = found.targets if found is not None else []
        value = move_value(at_risk, targets, moves)
        fleet.log_event(
            "unit moved" if found is not None else "unit stopped without room elsewhere",
            job=at_risk.tracked.job.id,
            step=at_risk.unit.step_number,
            tasks=len(at_risk.unit.tasks),
            why=reason,
            left_targets=sorted(at_risk.targets_to_leave),
            targets=sorted(set(targets)),
            left_s=round(at_risk.left_s, 2) if at_risk.risk is Risk.DEPARTURE else None,
            remaining_s=round(at_risk.remaining_s(moves.now), 2),
            cost_core_s=round(value.cost_core_s, 1),
            saved_core_s=round(value.saved_core_s, 1),
        )

    def _record_stay(self, at_risk: UnitAtRisk, stay: Stay, moves: MovePass) -> None:
        """Count and log why a unit is not moved, if it was another reason in the last pass."""
        key = unit_key(at_risk.tracked, at_risk.unit)
        if self._stays.get(key) is stay:
            return
        self._stays[key] = stay
        moves.fleet.count(f'moves_declined{{reason="{stay.value}"}}')
        moves.fleet.log_event(
            "unit not moved",
            job=at_risk.tracked.job.id,
            step=at_risk.unit.step_number,
            tasks=len(at_risk.unit.tasks),
            risk=at_risk.risk.value,
            why=stay.value,
            left_s=round(at_risk.left_s, 2) if at_risk.risk is Risk.DEPARTURE else None,
            remaining_s=round(at_risk.remaining_s(moves.now), 2),
        )


def _own_staying_targets(at_risk: UnitAtRisk, moves: MovePass) -> list[TargetId]:
    """The target of each of the unit's runs whose target stays and may be given work."""
    return [
        active.target
        for active in at_risk.runs
        if active.target not in at_risk.targets_to_leave
        and active.target in moves.capacity.candidates
    ]


def _duration_s(tracked: TrackedJob, unit: Unit, quantile: Quantile) -> float:
    """Expected seconds of a unit that starts now; infinite for one that never ends by itself."""
    if unit.step.lasting:
        return float("inf")
    return tracked.task_duration_s(unit.step_number, quantile)


def _has_low_slack(tracked: TrackedJob, unix_now: float) -> bool:
    """Whether a job is in time, and has to start soon to remain so."""
    remaining_s = tracked.remaining_critical_path_s
    slack_s = tracked.deadline - unix_now - remaining_s
    return 0 <= slack_s <= LOW_SLACK_RATIO * remaining_s
