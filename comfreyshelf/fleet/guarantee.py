"""Which jobs an organisation's guarantee covers, and which units may borrow from guarantees."""

from collections import Counter
from collections.abc import Iterable

from comfreyshelf.fleet.jobs import FleetConfig
from comfreyshelf.fleet.tracked_job import Outlook, TrackedJob, Unit
from comfreyshelf.ids import JobId, OrganisationId

# Units of this priority number or higher may borrow guaranteed accelerators only if they keep
# checkpoints.
CHECKPOINTS_REQUIRED_PRIORITY = 2


def may_borrow(tracked: TrackedJob, unit: Unit, is_in_time: bool) -> bool:
    """Whether a unit may use accelerators that a guarantee may reclaim at any time.

    Urgent units may, even when they are late, as guarantees exist for urgent work. Units of the
    lowest priority and units that will miss their objective anyway would lose more by a reclaim
    than they gain by an early start, unless they keep checkpoints.
    """
    if tracked.priority == 0 or unit.step.checkpoints:
        return True
    return is_in_time and tracked.priority < CHECKPOINTS_REQUIRED_PRIORITY


def covered_jobs(jobs: Iterable[TrackedJob], config: FleetConfig, unix_now: float) -> set[JobId]:
    """The urgent jobs that their organisation's guarantee covers.

    If an organisation's urgent jobs together need no more than its guarantee, all of them are
    covered. Otherwise only jobs that can still be in time are covered, in the order of acceptance
    and as far as the guarantee suffices.
    """
    needed_accelerators: Counter[OrganisationId] = Counter()
    urgent = []
    for tracked in jobs:
        if tracked.priority == 0 and not tracked.progress.phase.is_final:
            needed_accelerators[tracked.job.organisation] += tracked.widest_step_accelerators()
            urgent.append(tracked)
    covered_accelerators: Counter[OrganisationId] = Counter()
    covered = set()
    for tracked in sorted(urgent, key=lambda t: t.accepted_at):
        organisation = tracked.job.organisation
        guaranteed = config.guaranteed_accelerators(organisation)
        if needed_accelerators[organisation] <= guaranteed:
            covered.add(tracked.job.id)
        elif tracked.outlook(unix_now) is Outlook.IN_TIME:
            covered_with_job = (
                covered_accelerators[organisation] + tracked.widest_step_accelerators()
            )
            if covered_with_job <= guaranteed:
                covered_accelerators[organisation] = covered_with_job
                covered.add(tracked.job.id)
    return covered
