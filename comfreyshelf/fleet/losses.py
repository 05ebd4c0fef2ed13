"""What stopping a run loses, and when a start is worth it."""

from comfreyshelf.fleet.placing import Assignment, Victim
from comfreyshelf.fleet.work import ActiveRun, Outlook, TrackedJob, Unit

# A stopped run loses at least this much time to stopping, placing and starting again.
RESTART_LOSS_S = 0.5
# Urgent runs, beyond their guarantee, are stopped only where nothing else suffices.
URGENT_LOSS_CORE_S = 1e6
# What a job loses that misses its objective, in lost core-seconds for each core-second of its
# work, by priority; beyond the list as in its last place.
LATENESS_WEIGHTS = (3.4, 1.5, 0.2)
# Beyond its guarantee a unit may stop runs whose loss is at most this share of its gain, by
# priority; beyond the list as in its last place.
PREEMPT_GAIN_SHARES = (0.3, 0.3)
# A less urgent unit waits while its slack exceeds this many of its run times.
WAIT_SLACK_RATIO = 0.5


def lateness_weight(priority: int) -> float:
    """The weight of missing an objective at a priority."""
    return LATENESS_WEIGHTS[min(priority, len(LATENESS_WEIGHTS) - 1)]


def make_victim(active: ActiveRun, now: float, unix_now: float) -> Victim:
    """A run with what stopping it loses, in core-seconds, its whole gang included."""
    tracked = active.tracked
    step = active.step
    worked_s, remaining_s = active.worked_s(now), active.remaining_s(now)
    if step.checkpoints:
        # A stop makes a checkpoint.
        worked_s = 0.0
    lost_core_s = (
        max(RESTART_LOSS_S, worked_s)
        * step.demand.core_equivalents
        * len(tracked.gang_members(active.task))
    )
    is_in_time = tracked.outlook(unix_now) is Outlook.IN_TIME
    becomes_late = (
        is_in_time and unix_now + RESTART_LOSS_S + worked_s + remaining_s > tracked.deadline
    )
    if tracked.priority == 0:
        lost_core_s += URGENT_LOSS_CORE_S
    return Victim(
        active,
        lost_core_s,
        lateness_weight(tracked.priority) * tracked.core_seconds if becomes_late else 0.0,
    )


def is_worth_preempting(
    tracked: TrackedJob, unit: Unit, assignment: Assignment, unix_now: float
) -> bool:
    """Whether starting a unit at once is worth what its victims lose."""
    if not assignment.victims:
        return True
    if tracked.outlook(unix_now) is not Outlook.IN_TIME:
        return False
    duration_s = tracked.task_duration_s(unit.step_number)
    slack_s = tracked.deadline - unix_now - tracked.critical_path_s
    if tracked.priority > 0 and slack_s > WAIT_SLACK_RATIO * duration_s:
        return False
    gain_core_s = (
        lateness_weight(tracked.priority)
        * unit.step.demand.core_equivalents
        * len(unit.tasks)
        * duration_s
    )
    gain_share = PREEMPT_GAIN_SHARES[min(tracked.priority, len(PREEMPT_GAIN_SHARES) - 1)]
    return assignment.cost <= gain_share * gain_core_s
