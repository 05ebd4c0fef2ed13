"""Which jobs an organisation's guarantee covers, and who may borrow from it."""

from collections import Counter
from collections.abc import Iterable

from comfreyshelf.fleet.jobs import FleetConfig
from comfreyshelf.fleet.work import JobWork, Outlook, Unit
from comfreyshelf.ids import JobId, OrganisationId

# Work of this priority number or higher borrows guaranteed accelerators only with checkpoints.
LENDING_PRIORITY = 2


def may_borrow(work: JobWork, unit: Unit, hopeful: bool) -> bool:
    """Whether a unit may use accelerators that a guarantee may claim at any time.

    Urgent work may, also when late: guarantees are kept for such work. The least urgent work, and
    work that is too late anyway, would lose more by a reclaim than it gains by an early start,
    unless it keeps checkpoints.
    """
    if work.priority == 0 or unit.step.checkpoints:
        return True
    return hopeful and work.priority < LENDING_PRIORITY


def sure_jobs(jobs: Iterable[JobWork], config: FleetConfig, date: float) -> set[JobId]:
    """Urgent jobs inside their organisation's guarantee.

    All of them, if together they need no more than the guarantee; else those that can still be
    in time, the earliest accepted first.
    """
    wanted: Counter[OrganisationId] = Counter()
    urgent = []
    for work in jobs:
        if work.priority == 0 and not work.progress.phase.final:
            wanted[work.job.organisation] += work.accelerators()
            urgent.append(work)
    used: Counter[OrganisationId] = Counter()
    sure = set()
    for work in sorted(urgent, key=lambda w: w.accepted_at):
        organisation = work.job.organisation
        guaranteed = config.guaranteed(organisation)
        if wanted[organisation] <= guaranteed:
            sure.add(work.job.id)
        elif work.outlook(date) is Outlook.IN_TIME:
            needed = used[organisation] + work.accelerators()
            if needed <= guaranteed:
                used[organisation] = needed
                sure.add(work.job.id)
    return sure
