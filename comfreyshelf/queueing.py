"""Order of queued jobs."""

from collections.abc import Iterator

from comfreyshelf.ids import JobId
from comfreyshelf.model import Job


class Queue:
    """Queued jobs in the order in which they should start."""

    def __init__(self) -> None:
        self._jobs: dict[JobId, Job] = {}

    def __contains__(self, job: JobId) -> bool:
        return job in self._jobs

    def __len__(self) -> int:
        return len(self._jobs)

    def push(self, job: Job) -> None:
        """Add a job; a job that is already queued stays."""
        self._jobs[job.id] = job

    def remove(self, job: JobId) -> Job | None:
        """Remove a job, or return None if it is not queued."""
        return self._jobs.pop(job, None)

    def ordered(self, now: float) -> Iterator[Job]:
        """Jobs, first to start first, at time `now` in seconds."""
        yield from sorted(
            self._jobs.values(), key=lambda job: (job.urgency.rank, job.accepted_at, job.id)
        )
