"""Why runs end without success, and how much work is thrown away with them."""

from enum import Enum

from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.jobs import EndKind, JobPhase


class StopCause(Enum):
    """Why the owner ordered a run to stop."""

    RECLAIMED = "reclaimed for a guarantee"
    PREEMPTED = "preempted by more urgent work"
    DRAINED = "its target drains"
    STALLED = "no progress"
    SLOW_TARGET = "its target is slow"
    GANG_BROKEN = "another member of its gang ended"
    CANCELLED = "its job was cancelled"
    JOB_FAILED = "its job failed"
    SUPERSEDED = "its task was done already"
    TARGET_RESTARTED = "its target started again"


STOP_CAUSE_BY_PHASE = {
    JobPhase.CANCELLED: StopCause.CANCELLED,
    JobPhase.FAILED: StopCause.JOB_FAILED,
    JobPhase.COMPLETED: StopCause.SUPERSEDED,
}


def lost_core_s(active: ActiveRun, kind: EndKind, has_checkpoint: bool, now: float) -> float:
    """The core-seconds of work that are thrown away with a run that has ended.

    An accelerator counts as several cores. A run with a checkpoint counts as saved; what it did
    since then is at most the interval between checkpoints.
    """
    if kind is EndKind.DONE or not active.is_confirmed:
        return 0.0
    if has_checkpoint and active.step.checkpoints:
        return 0.0
    return max(0.0, now - active.started_at) * active.demand.core_equivalents
