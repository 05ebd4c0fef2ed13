"""Which jobs an organisation's guarantee covers, and who may borrow from it."""

from collections import Counter
from collections.abc import Iterable

from comfreyshelf.fleet.jobs import FleetConfig
from comfreyshelf.fleet.work import Outlook, TrackedJob, Unit
from comfreyshelf.ids import JobId, OrganisationId

# Work of this priority number or higher borrows guaranteed accelerators only with checkpoints.
CHECKPOINTS_REQUIRED_PRIORITY = 2


def may_borrow(tracked: TrackedJob, unit: Unit, in_time: bool) -> bool:
    """Whether a unit may use accelerators that a guarantee may claim at any time.

    Urgent work may, also when late: guarantees are kept for such work. The least urgent work, and
    work that is too late anyway, would lose more by a reclaim than it gains by an early start,
    unless it keeps checkpoints.
    """
    if tracked.priority == 0 or unit.step.checkpoints:
        return True
    return in_time and tracked.priority < CHECKPOINTS_REQUIRED_PRIORITY


def covered_jobs(jobs: Iterable[TrackedJob], config: FleetConfig, unix_now: float) -> set[JobId]:
    """Urgent jobs inside their organisation's guarantee.

    All of them, if together they need no more than the guarantee; else those that can still be
    in time, the earliest accepted first.
    """
    wanted: Counter[OrganisationId] = Counter()
    urgent = []
    for tracked in jobs:
        if tracked.priority == 0 and not tracked.progress.phase.is_final:
            wanted[tracked.job.organisation] += tracked.widest_step_accelerators()
            urgent.append(tracked)
    used: Counter[OrganisationId] = Counter()
    covered = set()
    for tracked in sorted(urgent, key=lambda t: t.accepted_at):
        organisation = tracked.job.organisation
        guaranteed = config.guaranteed_accelerators(organisation)
        if wanted[organisation] <= guaranteed:
            covered.add(tracked.job.id)
        elif tracked.outlook(unix_now) is Outlook.IN_TIME:
            needed = used[organisation] + tracked.widest_step_accelerators()
            if needed <= guaranteed:
                used[organisation] = needed
                covered.add(tracked.job.id)
    return covered
