"""What a move throws away and what it saves, and whether leaving a slow target is worthwhile."""

import msgspec

from comfreyshelf.fleet.moves.move_policy import MovePass
from comfreyshelf.fleet.moves.preemption_cost import RESTART_LOSS_S, lateness_weight
from comfreyshelf.fleet.moves.stalls import stall_limit_s
from comfreyshelf.fleet.moves.units_at_risk import MIN_SLOWDOWN, Risk, UnitAtRisk
from comfreyshelf.ids import TargetId


class MoveValue(msgspec.Struct, frozen=True):
    """Core-seconds of work that a move throws away, and that it saves."""

    cost_core_s: float
    saved_core_s: float


def move_value(at_risk: UnitAtRisk, targets: list[TargetId], moves: MovePass) -> MoveValue:
    """The value of stopping a unit now; `targets` is where it starts again, empty if unknown.

    A unit without checkpoints that dies with its target loses, besides what it has done, what it
    does until then. A stalled unit holds its room until it is stopped without another room.
    """
    step = at_risk.unit.step
    worked_core_s = sum(
        (moves.now - active.started_at) * active.demand.core_equivalents for active in at_risk.runs
    )
    cost_core_s = 0.0 if step.checkpoints else worked_core_s
    if at_risk.risk is Risk.DEPARTURE:
        saved_core_s = (
            worked_core_s if step.checkpoints else at_risk.left_s * at_risk.core_equivalents
        )
    elif at_risk.risk is Risk.STALLED:
        saved_core_s = stall_limit_s(at_risk.runs[0]) * at_risk.core_equivalents
    else:
        gained_s = at_risk.remaining_s(moves.now) - _seconds_elsewhere(at_risk, targets, moves)
        saved_core_s = max(0.0, gained_s) * at_risk.core_equivalents
    return MoveValue(cost_core_s, saved_core_s)


def is_worth_leaving_slow(at_risk: UnitAtRisk, targets: list[TargetId], moves: MovePass) -> bool:
    """Whether a unit makes its job miss the objective where it is, and would not on `targets`.

    The objective has to outweigh the work that is thrown away.
    """
    tracked, remaining_s = at_risk.tracked, at_risk.remaining_s(moves.now)
    elsewhere_s = _seconds_elsewhere(at_risk, targets, moves)
    later_steps_s = max(0.0, tracked.remaining_critical_path_s - remaining_s)
    if moves.unix_now + elsewhere_s + later_steps_s > tracked.deadline:
        return False
    for name, other_s in tracked.remaining_s_by_task.items():
        # A task that misses the objective without being on a slow target makes the move useless.
        if (
            name not in at_risk.unit.tasks
            and moves.unix_now + other_s > tracked.deadline
            and tracked.active_runs[name].slowdown < MIN_SLOWDOWN
        ):
            return False
    gain = lateness_weight(tracked.priority) * tracked.core_seconds
    return gain > move_value(at_risk, targets, moves).cost_core_s


def _seconds_elsewhere(at_risk: UnitAtRisk, targets: list[TargetId], moves: MovePass) -> float:
    """Seconds until the unit would end if it were stopped now and started on `targets`."""
    slowdown = _expected_slowdown(at_risk, targets, moves)
    now = moves.now
    if not at_risk.unit.step.checkpoints:
        # What the runs have shown counts elsewhere as well as here, or a long task on a target of
        # usual speed would seem to be short on any other one.
        duration_s = max(
            (active.worked_s(now) + active.remaining_s(now)) / active.slowdown
            for active in at_risk.runs
        )
        return RESTART_LOSS_S + duration_s * slowdown
    remaining_s = max(active.remaining_s(now) / active.slowdown for active in at_risk.runs)
    return RESTART_LOSS_S + moves.fleet.bounds.restore_s + remaining_s * slowdown


def _expected_slowdown(at_risk: UnitAtRisk, targets: list[TargetId], moves: MovePass) -> float:
    """How many times as long the unit's tasks take on `targets` as on one of speed 1 nearby."""
    step, fleet = at_risk.unit.step, moves.fleet
    views = [fleet.targets[target] for target in targets]
    slowest = min((fleet.speeds.speed(view.machine) for view in views), default=1.0)
    racks = {view.announcement.rack for view in views}
    is_remote = (bool(step.rack) and racks != {step.rack}) or (step.same_rack and len(racks) > 1)
    return (fleet.bounds.remote_factor if is_remote else 1.0) / max(slowest, 0.01)
