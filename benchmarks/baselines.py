"""Queues that the policy benchmark uses as baselines."""

from collections.abc import Iterator

from comfreyshelf.config import Config
from comfreyshelf.ids import DomainId, OrganisationId
from comfreyshelf.model import Job, Shape
from comfreyshelf.queueing import JobQueue


class FirstComeQueue(JobQueue):
    """Orders jobs by acceptance and ignores their urgency."""

    def __init__(self) -> None:
        super().__init__()
        self._blocked_shapes: set[Shape] = set()

    def mark_blocked(self, job: Job) -> None:
        """Skip jobs of this job's shape until `clear_blocked`, because one did not fit."""
        self._blocked_shapes.add(job.shape)

    def clear_blocked(self) -> None:
        """Try all shapes again after accelerators became free."""
        self._blocked_shapes.clear()

    def ordered(self, now: float) -> Iterator[Job]:
        """Iterate over the jobs in order of acceptance, without those of blocked shapes."""
        for job in sorted(self.jobs(), key=lambda job: (job.accepted_at, job.id)):
            if job.shape not in self._blocked_shapes:
                yield job


class QuotaQueue(FirstComeQueue):
    """Orders jobs by acceptance, with each guarantee as a quota: a plain number of accelerators.

    A job may start if it fits into its organisation's quota, or if the accelerators left after its
    start cover the unused quotas of all other organisations.
    """

    def __init__(self, config: Config, domain: DomainId, accelerators: int) -> None:
        super().__init__()
        self._accelerators = accelerators
        self._quotas: dict[OrganisationId, int] = {}
        for guarantee in config.domain_guarantees(domain):
            quota = self._quotas.get(guarantee.organisation, 0)
            self._quotas[guarantee.organisation] = quota + guarantee.shape.total_accelerators

    def ordered(self, now: float) -> Iterator[Job]:
        """Iterate in order of acceptance over the jobs that the quotas allow."""
        return (job for job in super().ordered(now) if self._is_within_quota(job))

    def _is_within_quota(self, job: Job) -> bool:
        used = self.used_accelerators[job.organisation] + job.shape.total_accelerators
        if used <= self._quotas.get(job.organisation, 0):
            return True
        unused = sum(
            max(0, quota - self.used_accelerators[name])
            for name, quota in self._quotas.items()
            if name != job.organisation
        )
        return (
            sum(self.used_accelerators.values()) + job.shape.total_accelerators + unused
            <= self._accelerators
        )
