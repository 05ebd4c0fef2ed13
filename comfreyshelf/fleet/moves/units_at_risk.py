"""Running units that may have to move: their targets leave or are slow, or they have stalled."""

from enum import Enum

import msgspec

from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.moves.departures import certain_s
from comfreyshelf.fleet.moves.move_policy import MovePass
from comfreyshelf.fleet.moves.stalls import is_stalled
from comfreyshelf.fleet.prediction.model import Quantile
from comfreyshelf.fleet.tracked_job import Outlook, TrackedJob, Unit
from comfreyshelf.ids import JobId, TargetId

# A target counts as slow for a task that takes this many times as long there.
MIN_SLOWDOWN = 1.2
# A run that has outlived its expectation without enough progress to tell more is taken to need at
# least this share of its age, as it may go on for any time.
OVERDUE_REMAINING_SHARE = 0.25


class Risk(Enum):
    """Why a unit may have to move; the value is used in counters. Earlier ones take precedence."""

    DEPARTURE = "departure"
    STALLED = "stalled"
    SLOW = "slow"


class UnitAtRisk(msgspec.Struct):
    """A running unit, and the targets that it should leave.

    `left_s` is for how long all of its targets certainly stay, infinite without an announcement.
    """

    tracked: TrackedJob
    unit: Unit
    runs: list[ActiveRun]
    risk: Risk
    targets_to_leave: set[TargetId]
    left_s: float = float("inf")

    @property
    def core_equivalents(self) -> float:
        """What all runs of the unit hold, in cores."""
        return self.unit.step.demand.core_equivalents * len(self.runs)

    def remaining_s(self, now: float) -> float:
        """Seconds until the unit's longest run is expected to end."""
        return max(active.remaining_s(now) for active in self.runs)

    def surely_remaining_s(self, now: float) -> float:
        """Seconds within which the unit's longest run ends at the high quantile."""
        return max(_surely_remaining_s(active, now) for active in self.runs)


def _surely_remaining_s(active: ActiveRun, now: float) -> float:
    remaining_s = active.remaining_s(now, Quantile.HIGH)
    if active.remaining_s(now) <= 0 and active.percent < 100:
        return max(remaining_s, OVERDUE_REMAINING_SHARE * (now - active.started_at))
    return remaining_s


def find_units_at_risk(moves: MovePass) -> dict[JobId, list[UnitAtRisk]]:
    """The running units that may have to move, by job; those with least time left come first.

    Units that are being stopped or that have not started everywhere are left out.
    """
    found: dict[tuple[JobId, str], UnitAtRisk] = {}
    for view in moves.fleet.targets.values():
        left_s = certain_s(view, moves.now)
        for active in view.active_runs.values():
            risk = _risk(active, left_s, moves)
            if risk is None:
                continue
            at_risk = found.get(active.gang_key)
            if at_risk is None:
                at_risk = _whole_unit(active, risk)
                if at_risk is None:
                    continue
                found[active.gang_key] = at_risk
            at_risk.targets_to_leave.add(view.id)
            at_risk.risk = min(at_risk.risk, risk, key=list(Risk).index)
            if left_s is not None:
                at_risk.left_s = min(at_risk.left_s, left_s)
    by_job: dict[JobId, list[UnitAtRisk]] = {}
    for at_risk in sorted(found.values(), key=lambda at_risk: at_risk.left_s):
        by_job.setdefault(at_risk.tracked.job.id, []).append(at_risk)
    return by_job


def _risk(active: ActiveRun, left_s: float | None, moves: MovePass) -> Risk | None:
    if active.stopping_since is not None or not active.is_confirmed:
        return None
    if left_s is not None:
        return Risk.DEPARTURE
    if is_stalled(active):
        return Risk.STALLED
    if (
        active.slowdown >= MIN_SLOWDOWN
        and active.tracked.outlook(moves.unix_now) is not Outlook.IN_TIME
    ):
        return Risk.SLOW
    return None


def _whole_unit(active: ActiveRun, risk: Risk) -> UnitAtRisk | None:
    """The unit of a run; None unless all of its tasks run and none is being stopped."""
    tracked = active.tracked
    if tracked.queue is None or tracked.phase.is_final:
        return None
    members = tracked.gang_members(active.task)
    runs = [tracked.active_runs[name] for name in members if name in tracked.active_runs]
    if len(runs) != len(members) or any(
        run.stopping_since is not None or not run.is_confirmed for run in runs
    ):
        return None
    occurrence = int(active.task.partition(".")[0])
    unit = Unit(tracked.queue.service, active.step, occurrence, active.step_number, members)
    return UnitAtRisk(tracked, unit, runs, risk, set())
