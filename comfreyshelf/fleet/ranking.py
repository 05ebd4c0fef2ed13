"""The order in which jobs are planned."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection

import msgspec

from comfreyshelf.fleet.jobs import FleetConfig
from comfreyshelf.fleet.placement.placing import CandidateTarget
from comfreyshelf.fleet.targets import TargetView
from comfreyshelf.fleet.tracked_job import Outlook, TrackedJob
from comfreyshelf.ids import JobId, OrganisationId

# Jobs that can no longer be of use are ranked behind all others.
TOO_LATE_RANK = 7
# Ranks by priority; the lowest rank is placed first. A job with low slack has to start soon to meet
# its objective, one with high slack can wait, and a late one misses it in any case. A late result
# is worth only a fraction, so a late job comes after less urgent ones that would miss their
# objective by waiting.
LOW_SLACK_RANKS = (0, 1, 4)
HIGH_SLACK_RANKS = (0, 3, 5)
LATE_RANKS = (2, 6, 6)
# A job has high slack if its slack exceeds this many times its remaining critical path.
HIGH_SLACK_RATIO = 1.5


class PassView(msgspec.Struct, frozen=True):
    """The fleet at the start of a planning pass.

    `now` is on the owner's clock, `unix_now` in seconds since the Unix epoch. `candidates` are the
    targets that may be given work, with their free room.
    """

    now: float
    unix_now: float
    early_start_s: float
    config: FleetConfig
    covered_ids: set[JobId]
    targets: Collection[TargetView]
    candidates: Collection[CandidateTarget]
    log_event: Callable[..., None]
    count: Callable[[str], None]


class Ranking(ABC):
    """Decides which job is offered free room first."""

    @abstractmethod
    def begin_pass(self, view: PassView) -> None:
        """Take note of the fleet; called before `sort` in each planning pass."""

    @abstractmethod
    def sort(
        self, jobs: list[TrackedJob], covered_ids: set[JobId], unix_now: float
    ) -> list[TrackedJob]:
        """The jobs in the order in which they are planned.

        Those in `covered_ids` are within the guarantee of their organisation.
        """

    @abstractmethod
    def shares(self) -> dict[OrganisationId, float]:
        """The share of the fleet that each organisation holds, as far as it counts here."""

    @abstractmethod
    def loss_factor(self, organisation: OrganisationId) -> float:
        """Factor of the work that is lost by stopping a run of an organisation."""


class DeadlineRanking(Ranking):
    """Covered jobs first, then by priority and outlook, then by deadline."""

    def begin_pass(self, view: PassView) -> None:
        pass

    def sort(
        self, jobs: list[TrackedJob], covered_ids: set[JobId], unix_now: float
    ) -> list[TrackedJob]:
        return sorted(jobs, key=lambda t: (t.job.id not in covered_ids, rank(t, unix_now)))

    def shares(self) -> dict[OrganisationId, float]:
        return {}

    def loss_factor(self, organisation: OrganisationId) -> float:
        return 1.0


def rank(tracked: TrackedJob, unix_now: float) -> tuple[int, float]:
    """Rank by priority and outlook, then deadline, or for late jobs the work in core-seconds.

    Jobs with lower keys are planned first.
    """
    outlook = tracked.outlook(unix_now) if tracked.job.times <= 0 else Outlook.IN_TIME
    if outlook is Outlook.TOO_LATE:
        return (TOO_LATE_RANK, tracked.deadline)
    if outlook is Outlook.LATE:
        return (_rank_for_priority(LATE_RANKS, tracked.priority), tracked.core_seconds)
    has_high_slack = (
        unix_now + (1 + HIGH_SLACK_RATIO) * tracked.remaining_critical_path_s < tracked.deadline
    )
    return (
        _rank_for_priority(
            HIGH_SLACK_RANKS if has_high_slack else LOW_SLACK_RANKS, tracked.priority
        ),
        tracked.deadline,
    )


def _rank_for_priority(ranks: tuple[int, ...], priority: int) -> int:
    return ranks[min(priority, len(ranks) - 1)]
