"""What stopping a run loses, and when a start is worth it."""

from comfreyshelf.fleet.placing import Choice, Victim
from comfreyshelf.fleet.work import Active, JobWork, Outlook, Unit

# A stopped run loses at least this much time to stopping, placing and starting again.
RESTART_LOSS_S = 0.5
# Urgent runs, beyond their guarantee, are stopped only where nothing else suffices.
URGENT_LOSS = 1e6
# What a job loses that misses its objective, in lost core-seconds for each core-second of its
# work, by priority; beyond the list as in its last place.
LATE_LOSS = (3.4, 1.5, 0.2)
# Beyond its guarantee a unit may stop runs whose loss is at most this share of its gain, by
# priority; beyond the list as in its last place.
PREEMPT_GAIN_SHARES = (0.3, 0.3)
# A less urgent unit waits while its slack exceeds this many of its run times.
WAIT_SLACK = 0.5


def late_loss(priority: int) -> float:
    """The weight of missing an objective at a priority."""
    return LATE_LOSS[min(priority, len(LATE_LOSS) - 1)]


def victim_of(active: Active, now: float, date: float) -> Victim:
    """A run with what stopping it loses, in core-seconds, its whole gang included."""
    work = active.work
    step = active.step
    ran, left = active.worked_s(now), active.left_s(now)
    if step.checkpoints:
        # A stop makes a checkpoint.
        ran = 0.0
    lost = max(RESTART_LOSS_S, ran) * step.demand.cores * len(work.members(active.task))
    in_time = work.outlook(date) is Outlook.IN_TIME
    late = in_time and date + RESTART_LOSS_S + ran + left > work.deadline
    if work.priority == 0:
        lost += URGENT_LOSS
    return Victim(active, lost, late_loss(work.priority) * work.core_seconds if late else 0.0)


def is_worth(work: JobWork, unit: Unit, choice: Choice, date: float) -> bool:
    """Whether starting a unit at once is worth what its victims lose."""
    if not choice.victims:
        return True
    if work.outlook(date) is not Outlook.IN_TIME:
        return False
    seconds = work.task_s(unit.number)
    slack = work.deadline - date - work.chain_s
    if work.priority > 0 and slack > WAIT_SLACK * seconds:
        return False
    gain = late_loss(work.priority) * unit.step.demand.cores * len(unit.tasks) * seconds
    share = PREEMPT_GAIN_SHARES[min(work.priority, len(PREEMPT_GAIN_SHARES) - 1)]
    return choice.cost <= share * gain
