"""Which jobs a guarantee covers, what guarantees will claim, and which units may borrow."""

from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from comfreyshelf.fleet.jobs import FleetConfig, Job
from comfreyshelf.fleet.tracked_job import Outlook, TrackedJob, Unit
from comfreyshelf.ids import JobId, OrganisationId

# Units of this priority number or higher may borrow guaranteed accelerators only if they keep
# checkpoints.
CHECKPOINTS_REQUIRED_PRIORITY = 2
# What an organisation's urgent jobs asked for in this period is expected to be asked for again.
CLAIM_WINDOW_S = 8.0


def may_borrow(tracked: TrackedJob, unit: Unit, is_in_time: bool) -> bool:
    """Whether a unit may use accelerators that a guarantee may reclaim at any time.

    Urgent units may, even when they are late, as guarantees exist for urgent work. Units of the
    lowest priority and units that will miss their objective anyway would lose more by a reclaim
    than they gain by an early start, unless they keep checkpoints.
    """
    if tracked.priority == 0 or unit.step.checkpoints:
        return True
    return is_in_time and tracked.priority < CHECKPOINTS_REQUIRED_PRIORITY


class _Claim(msgspec.Struct, frozen=True):
    """An urgent job's demand; `accepted_at` is in seconds since the Unix epoch."""

    accepted_at: float
    organisation: OrganisationId
    accelerators: int


class ClaimForecast:
    """How many accelerators guarantees are expected to claim, from the urgent jobs accepted lately.

    The sum of all guarantees may be as large as the fleet. If all of it were kept free, less urgent
    work would wait beside idle targets, so only the recent demand counts.
    """

    def __init__(self) -> None:
        self._claims: dict[JobId, _Claim] = {}

    def record(self, job: Job, accepted_at: float) -> None:
        """Record an urgent job; `accepted_at` is in seconds since the Unix epoch."""
        accelerators = max(step.demand.accelerators * step.count for step in job.steps)
        self._claims[job.id] = _Claim(accepted_at, job.organisation, accelerators)

    def expected_accelerators(
        self, config: FleetConfig, used: Mapping[OrganisationId, int], unix_now: float
    ) -> int:
        """The accelerators that guarantees may claim soon, beyond those that are `used` already."""
        for job in [
            job
            for job, claim in self._claims.items()
            if unix_now - claim.accepted_at > CLAIM_WINDOW_S
        ]:
            del self._claims[job]
        demand: Counter[OrganisationId] = Counter()
        for claim in self._claims.values():
            demand[claim.organisation] += claim.accelerators
        return sum(
            max(0, min(accelerators, config.guaranteed_accelerators(name) - used.get(name, 0)))
            for name, accelerators in demand.items()
        )


def covered_jobs(jobs: Iterable[TrackedJob], config: FleetConfig, unix_now: float) -> set[JobId]:
    """The urgent jobs that their organisation's guarantee covers.

    If an organisation's urgent jobs together need no more than its guarantee, all of them are
    covered. Otherwise only jobs that can still be in time are covered, in the order of acceptance
    and as far as the guarantee suffices.
    """
    needed_accelerators: Counter[OrganisationId] = Counter()
    urgent = []
    for tracked in jobs:
        if tracked.priority == 0 and not tracked.phase.is_final:
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
