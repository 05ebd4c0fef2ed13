"""Distinguishes faulty workers from faulty jobs; quarantines and probes faulty workers."""

import math
import random

import msgspec

from comfreyshelf.ids import JobId, TargetId

# A worker enters quarantine after failures of this many jobs count against it.
QUARANTINE_AFTER_JOBS = 3
# A job is refused after this many failures, and after failures on this many workers count against
# it.
REFUSE_AFTER_WORKERS = 3
# Largest fraction of a domain's workers that may be in quarantine at a time.
MAX_QUARANTINED_SHARE = 0.2
PROBE_BASE_DELAY_S = 10.0
PROBE_MAX_DELAY_S = 1800.0
# After a job failed on a worker, it is not placed there again for this long.
AVOID_AFTER_FAILURE_S = 600.0
# A job that failed on this many workers is refused even if its failures count against the workers.
# Otherwise, in a fleet with many faulty workers, no failure would ever count against the job.
MAX_FAILED_WORKERS = 8
# Jobs whose failures are remembered; the oldest are forgotten first.
MAX_TRACKED_JOBS = 20_000


class _ProbeSchedule(msgspec.Struct):
    """Probes of a quarantined worker: the time of the next one in seconds, and their number."""

    probe_at: float
    probes: int = 0


class Quarantine:
    """Attributes failed parts to workers or jobs and keeps faulty workers in quarantine.

    A failure of a job counts against the worker if the job failed on no other worker, or if it
    finished later. It counts against the job if the worker is not in quarantine and no failure of
    another job counts against that worker.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._quarantined: dict[TargetId, _ProbeSchedule] = {}
        self._quarantine_counts: dict[TargetId, int] = {}
        self._failed_jobs: dict[TargetId, set[JobId]] = {}
        self._failure_times: dict[JobId, dict[TargetId, float]] = {}
        self._failure_counts: dict[JobId, int] = {}
        self._succeeded_jobs: dict[JobId, None] = {}

    @property
    def quarantined(self) -> frozenset[TargetId]:
        """Workers in quarantine; they get no new work."""
        return frozenset(self._quarantined)

    @property
    def suspects(self) -> frozenset[TargetId]:
        """Workers that would be in quarantine but for its size limit; jobs use them last."""
        return frozenset(
            target
            for target in self._failed_jobs
            if target not in self._quarantined
            and self._count_jobs_against_worker(target) >= QUARANTINE_AFTER_JOBS
        )

    def record_failure(self, job: JobId, target: TargetId, worker_count: int, now: float) -> bool:
        """Record that a job failed on a worker; returns whether the worker enters quarantine."""
        self._failed_jobs.setdefault(target, set()).add(job)
        self._failure_times.setdefault(job, {})[target] = now
        self._failure_counts[job] = self._failure_counts.get(job, 0) + 1
        self._evict_oldest_jobs()
        return self._try_quarantine(target, worker_count, now)

    def record_success(self, job: JobId, targets: list[TargetId]) -> None:
        """Record that a job finished on `targets`.

        Failures on these workers are forgotten. Earlier failures of the job on other workers now
        count against those workers.
        """
        for target in targets:
            self._failed_jobs.pop(target, None)
            if target not in self._quarantined:
                self._quarantine_counts.pop(target, None)
        if job in self._failure_times:
            self._succeeded_jobs[job] = None
        self._failure_counts.pop(job, None)

    def fails_everywhere(self, job: JobId, worker_count: int) -> bool:
        """Whether a job is to be refused: enough of its failures count against the job itself."""
        failures = self._failure_times.get(job, {})
        if len(failures) >= MAX_FAILED_WORKERS:
            return True
        counted = sum(self._counts_against_job(job, target) for target in failures)
        needed = min(REFUSE_AFTER_WORKERS, max(1, worker_count - len(self._quarantined)))
        return counted >= needed and self._failure_counts.get(job, 0) >= REFUSE_AFTER_WORKERS

    def avoided_targets(self, job: JobId, now: float) -> frozenset[TargetId]:
        """Workers on which a job failed within AVOID_AFTER_FAILURE_S."""
        failures = self._failure_times.get(job)
        if not failures:
            return frozenset()
        return frozenset(
            target
            for target, failed_at in failures.items()
            if now - failed_at < AVOID_AFTER_FAILURE_S
        )

    def due_probes(self, now: float) -> list[TargetId]:
        """Return the workers to probe now and schedule the next probe of each.

        So a probe that gets no answer is repeated after the next, longer delay.
        """
        due = [target for target, schedule in self._quarantined.items() if schedule.probe_at <= now]
        for target in due:
            schedule = self._quarantined[target]
            schedule.probes += 1
            schedule.probe_at = now + self._probe_delay_s(target, schedule.probes)
        return due

    def record_probe(self, target: TargetId, passed: bool) -> bool:
        """Record the result of a probe; returns whether the worker leaves quarantine."""
        if not passed or target not in self._quarantined:
            return False
        del self._quarantined[target]
        self._failed_jobs.pop(target, None)
        return True

    def forget_job(self, job: JobId) -> None:
        """Forget a closed job.

        If it finished, its failures on other workers still count until a job succeeds there.
        """
        self._failure_counts.pop(job, None)
        if job not in self._succeeded_jobs:
            self._drop_job(job)

    def forget_worker(self, target: TargetId) -> None:
        """Forget a lost worker; it is not in quarantine when it returns."""
        self._quarantined.pop(target, None)
        self._failed_jobs.pop(target, None)
        self._quarantine_counts.pop(target, None)

    def _try_quarantine(self, target: TargetId, worker_count: int, now: float) -> bool:
        if (
            target in self._quarantined
            or self._count_jobs_against_worker(target) < QUARANTINE_AFTER_JOBS
        ):
            return False
        if len(self._quarantined) + 1 > math.floor(MAX_QUARANTINED_SHARE * worker_count):
            return False
        self._quarantine_counts[target] = self._quarantine_counts.get(target, 0) + 1
        self._quarantined[target] = _ProbeSchedule(now + self._probe_delay_s(target, 0))
        return True

    def _count_jobs_against_worker(self, target: TargetId) -> int:
        return sum(self._counts_against_worker(job) for job in self._failed_jobs.get(target, ()))

    def _counts_against_worker(self, job: JobId) -> bool:
        return job in self._succeeded_jobs or len(self._failure_times.get(job, ())) <= 1

    def _counts_against_job(self, job: JobId, target: TargetId) -> bool:
        if target in self._quarantined:
            return False
        others = self._failed_jobs.get(target, set()) - {job}
        return not any(self._counts_against_worker(other) for other in others)

    def _probe_delay_s(self, target: TargetId, probes: int) -> float:
        doublings = min(10, probes + self._quarantine_counts.get(target, 1) - 1)
        return min(PROBE_MAX_DELAY_S, PROBE_BASE_DELAY_S * 2.0**doublings) * self._rng.uniform(
            0.5, 1.0
        )

    def _evict_oldest_jobs(self) -> None:
        while len(self._failure_times) > MAX_TRACKED_JOBS:
            self._drop_job(next(iter(self._failure_times)))

    def _drop_job(self, job: JobId) -> None:
        self._succeeded_jobs.pop(job, None)
        for target in self._failure_times.pop(job, {}):
            jobs = self._failed_jobs.get(target)
            if jobs is not None:
                jobs.discard(job)
                if not jobs:
                    del self._failed_jobs[target]
