"""The cost of preempting a run, and whether starting a unit is worth its preemptions."""

from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.placement.candidate_target import Victim
from comfreyshelf.fleet.placement.placing import Assignment
from comfreyshelf.fleet.prediction.model import Quantile
from comfreyshelf.fleet.tracked_job import Outlook, TrackedJob, Unit

# Least time that a preempted run loses to being stopped, placed and started again.
RESTART_LOSS_S = 0.5
# Added to the loss of urgent runs beyond their guarantee, so that they are preempted only if
# nothing else suffices.
URGENT_LOSS_CORE_S = 1e6
# Loss of a job that misses its objective, in core-seconds for each core-second of its work, by
# priority; the last item applies to all further priorities.
LATENESS_WEIGHTS = (3.4, 0.4, 0.1)
# A unit beyond its guarantee may preempt runs whose loss is at most this share of its gain, by
# priority; the last item applies to all further priorities.
PREEMPT_GAIN_SHARES = (0.15, 0.15)
# Each earlier run of a task raises the loss of stopping it again by this share, so that stops
# spread over many jobs.
REPEATED_STOP_LOSS_SHARE = 0.5
# Urgent work rather waits this long for a run to end than stops one.
ENDING_SOON_S = 1.0
# A unit that is not urgent preempts nothing while its slack exceeds this many times its run time.
WAIT_SLACK_RATIO = 0.5


def lateness_weight(priority: int) -> float:
    """Loss per core-second of work if a job of this priority misses its objective."""
    return LATENESS_WEIGHTS[min(priority, len(LATENESS_WEIGHTS) - 1)]


def make_victim(active: ActiveRun, now: float, unix_now: float, loss_factor: float = 1.0) -> Victim:
    """The run as a victim, with the loss of stopping it and its whole gang.

    `loss_factor` is below 1 for runs that are stopped in preference to others of equal loss.
    """
    tracked = active.tracked
    step = active.step
    # The median, as a high quantile would make nearly every victim late, and thus too dear.
    worked_s, remaining_s = active.worked_s(now), active.unit_remaining_s(now, Quantile.MEDIAN)
    if step.checkpoints:
        # The run saves a checkpoint when it is stopped, so that no work is lost.
        worked_s = 0.0
    lost_core_s = (
        max(RESTART_LOSS_S, worked_s)
        * step.demand.core_equivalents
        * active.gang_size
        * (1 + REPEATED_STOP_LOSS_SHARE * (active.run - 1))
        * loss_factor
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
        # The high quantile, as urgent work that waits for the run has no time for a second wait.
        active.is_confirmed
        and remaining_s <= ENDING_SOON_S
        and active.unit_remaining_s(now, Quantile.HIGH) <= ENDING_SOON_S,
    )


def is_worth_preempting(
    tracked: TrackedJob, unit: Unit, assignment: Assignment, unix_now: float
) -> bool:
    """Whether starting a unit at once gains enough to outweigh the loss of its victims."""
    if not assignment.victims:
        return True
    if tracked.outlook(unix_now) is not Outlook.IN_TIME:
        return False
    # The median on both sides, as the gain is compared with what the victims are expected to lose.
    duration_s = tracked.task_duration_s(unit.step_number, Quantile.MEDIAN)
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
