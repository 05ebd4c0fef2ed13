"""What the placement of a unit has to achieve, so that its job ends in time."""

from math import floor, inf

import msgspec

from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.prediction.model import Quantile
from comfreyshelf.fleet.tracked_job import TrackedJob, Unit

# A unit is first placed so that it ends in time even if it takes this many times as long.
IN_TIME_MARGIN = 1.15
# A target with at most this slowdown is worth waiting for, even by work that is late.
USUAL_SLOWDOWN = 1.26
# Less urgent work that may take this many times as long goes on the slow targets.
HIGH_SLACK_SLOWDOWN = 2.0
MAX_SLOWDOWN = 8.0
# From the planning of a start until the run has begun, usually and at most.
ORDER_DELAY_S = 0.2
START_DELAY_S = 0.3
# Steps to which slowdowns and seconds are rounded, so that equal units share one search.
SLOWDOWN_STEP = 0.05
START_STEP_S = 0.25


class PlacementGoal(msgspec.Struct, frozen=True):
    """When a unit should end.

    Its tasks take `duration_s` on a target of speed 1 near their data. Up to `max_slowdown` they
    end in time; 0 if the job is late anyway. If the unit `prefers_slow` targets, it leaves the fast
    ones to others. Its guarantee demands a start within `start_within_s`, infinite if it has none.
    """

    duration_s: float
    max_slowdown: float
    prefers_slow: bool = False
    start_within_s: float = inf

    @property
    def safe_slowdown(self) -> float:
        """The slowdown up to which the unit ends in time with a margin."""
        return self.max_slowdown / IN_TIME_MARGIN

    @property
    def patient_slowdown(self) -> float:
        """The slowdown of targets that are worth waiting for."""
        return max(self.safe_slowdown, USUAL_SLOWDOWN)

    def slack_s(self, slowdown: float) -> float:
        """Seconds by which the unit may start later and still end in time at a slowdown."""
        return self.duration_s * (self.max_slowdown - slowdown)


def make_goal(
    tracked: TrackedJob, unit: Unit, is_covered: bool, bounds: Bounds, unix_now: float
) -> PlacementGoal | None:
    """The goal for a unit; None if nothing is known of its duration, or if it never ends."""
    # High, as a unit that ends later than the median must still end in time.
    duration_s = tracked.task_duration_s(unit.step_number, Quantile.HIGH)
    if duration_s <= 0 or unit.step.lasting or tracked.job.times > 0:
        return None
    following_s = max(
        0.0, tracked.remaining_critical_path_s - tracked.task_duration_s(unit.step_number)
    )
    left_s = tracked.deadline - unix_now - following_s - START_DELAY_S
    max_slowdown = _round_down(min(MAX_SLOWDOWN, max(0.0, left_s / duration_s)), SLOWDOWN_STEP)
    start_within_s = inf
    if is_covered:
        left_s = bounds.reclaim_s - ORDER_DELAY_S - (unix_now - tracked.accepted_at)
        start_within_s = max(0.0, _round_down(left_s, START_STEP_S))
    return PlacementGoal(
        round(duration_s, 1) or duration_s,
        max_slowdown,
        tracked.priority > 0 and max_slowdown >= HIGH_SLACK_SLOWDOWN,
        start_within_s,
    )


def _round_down(value: float, step: float) -> float:
    return floor(value / step) * step
