"""Telling bad workers from bad jobs: quarantine with probes, and jobs that fail everywhere."""

import math
import random

import msgspec

from comfreyshelf.ids import JobId, TargetId

DISTINCT_JOBS = 3
DISTINCT_WORKERS = 3
LARGEST_SHARE = 0.2
PROBE_BASE_S = 10.0
PROBE_LONGEST_S = 1800.0
# A job is not placed again on a worker where it failed for this long.
AVOID_S = 600.0
# A job that failed on this many workers is refused whatever is known of them, because in a fleet
# with many bad workers no failure could count against the job.
MOST_WORKERS = 8
MAX_FAILED_JOBS = 20_000


class _Probation(msgspec.Struct):
    """A worker in quarantine: when its next probe is sent, in seconds."""

    probe_at: float
    probes: int = 0


class Quarantine:
    """Blame for failed parts.

    A failure of a job counts against the worker if the job failed on no other worker, or finished
    elsewhere later. It counts against the job if nothing else speaks against the worker.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._held: dict[TargetId, _Probation] = {}
        self._rounds: dict[TargetId, int] = {}
        self._failed_on: dict[TargetId, set[JobId]] = {}
        self._failures: dict[JobId, dict[TargetId, float]] = {}
        self._count: dict[JobId, int] = {}
        self._good_jobs: dict[JobId, None] = {}

    @property
    def held(self) -> frozenset[TargetId]:
        """Workers in quarantine; they get no new work."""
        return frozenset(self._held)

    @property
    def suspects(self) -> frozenset[TargetId]:
        """Workers that would be in quarantine but for its bound; they are chosen last."""
        return frozenset(
            target
            for target in self._failed_on
            if target not in self._held and self._blame(target) >= DISTINCT_JOBS
        )

    def failed(self, job: JobId, target: TargetId, fleet: int, now: float) -> bool:
        """A part of a job failed on a worker; returns whether the worker enters quarantine."""
        self._failed_on.setdefault(target, set()).add(job)
        self._failures.setdefault(job, {})[target] = now
        self._count[job] = self._count.get(job, 0) + 1
        self._bound_memory()
        return self._enter(target, fleet, now)

    def finished(self, job: JobId, targets: list[TargetId]) -> None:
        """A job finished: its workers work, and its earlier failures were not its own fault."""
        for target in targets:
            self._failed_on.pop(target, None)
            if target not in self._held:
                self._rounds.pop(target, None)
        if job in self._failures:
            self._good_jobs[job] = None
        self._count.pop(job, None)

    def fails_everywhere(self, job: JobId, fleet: int) -> bool:
        """Whether a job failed on enough distinct workers that are not bad themselves."""
        failures = self._failures.get(job, {})
        if len(failures) >= MOST_WORKERS:
            return True
        credible = sum(self._credible(job, target) for target in failures)
        needed = min(DISTINCT_WORKERS, max(1, fleet - len(self._held)))
        return credible >= needed and self._count.get(job, 0) >= DISTINCT_WORKERS

    def avoided(self, job: JobId, now: float) -> frozenset[TargetId]:
        """Workers on which a job failed a short time ago."""
        failures = self._failures.get(job)
        if not failures:
            return frozenset()
        return frozenset(target for target, at in failures.items() if now - at < AVOID_S)

    def due_probes(self, now: float) -> list[TargetId]:
        """Workers to probe now; a probe without an answer is repeated after the next delay."""
        due = [target for target, probation in self._held.items() if probation.probe_at <= now]
        for target in due:
            probation = self._held[target]
            probation.probes += 1
            probation.probe_at = now + self._probe_delay_s(target, probation.probes)
        return due

    def probe_ended(self, target: TargetId, passed: bool) -> bool:
        """A probe ended; returns whether the worker leaves quarantine."""
        if not passed or target not in self._held:
            return False
        del self._held[target]
        self._failed_on.pop(target, None)
        return True

    def forget_job(self, job: JobId) -> None:
        """Drop a closed job; what a finished job proved about workers stays until they work."""
        self._count.pop(job, None)
        if job not in self._good_jobs:
            self._drop(job)

    def forget_worker(self, target: TargetId) -> None:
        """Drop a lost worker."""
        self._held.pop(target, None)
        self._failed_on.pop(target, None)
        self._rounds.pop(target, None)

    def _enter(self, target: TargetId, fleet: int, now: float) -> bool:
        if target in self._held or self._blame(target) < DISTINCT_JOBS:
            return False
        if len(self._held) + 1 > math.floor(LARGEST_SHARE * fleet):
            return False
        self._rounds[target] = self._rounds.get(target, 0) + 1
        self._held[target] = _Probation(now + self._probe_delay_s(target, 0))
        return True

    def _blame(self, target: TargetId) -> int:
        return sum(self._blames_worker(job) for job in self._failed_on.get(target, ()))

    def _blames_worker(self, job: JobId) -> bool:
        return job in self._good_jobs or len(self._failures.get(job, ())) <= 1

    def _credible(self, job: JobId, target: TargetId) -> bool:
        if target in self._held:
            return False
        others = self._failed_on.get(target, set()) - {job}
        return not any(self._blames_worker(other) for other in others)

    def _probe_delay_s(self, target: TargetId, probes: int) -> float:
        doublings = min(10, probes + self._rounds.get(target, 1) - 1)
        return min(PROBE_LONGEST_S, PROBE_BASE_S * 2.0**doublings) * self._rng.uniform(0.5, 1.0)

    def _bound_memory(self) -> None:
        while len(self._failures) > MAX_FAILED_JOBS:
            self._drop(next(iter(self._failures)))

    def _drop(self, job: JobId) -> None:
        self._good_jobs.pop(job, None)
        for target in self._failures.pop(job, {}):
            jobs = self._failed_on.get(target)
            if jobs is not None:
                jobs.discard(job)
                if not jobs:
                    del self._failed_on[target]
