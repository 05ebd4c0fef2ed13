"""When a run counts as stalled."""

from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.prediction.model import Quantile

# A run is stalled if it made no progress for longer than both MIN_STALL_S and this share of the
# expected duration of its task. It is stopped and, if possible, placed on another target.
MIN_STALL_S = 4.0
STALL_ESTIMATE_SHARE = 0.3


def stall_limit_s(active: ActiveRun) -> float:
    """Seconds without progress after which a run counts as stalled.

    By the high quantile, as a task that takes several times as long makes a percent as rarely.
    """
    return max(MIN_STALL_S, STALL_ESTIMATE_SHARE * active.expected_s(Quantile.HIGH))


def is_stalled(active: ActiveRun) -> bool:
    """Whether listings have shown a run without progress for too long."""
    if active.stalled_s <= MIN_STALL_S or active.step.lasting:
        return False
    if active.percent >= 100:
        # A gang member at 100 percent waits for the other members.
        return False
    return active.stalled_s > stall_limit_s(active)
