"""Generates the seeded load of jobs for the policy benchmark."""

import math
import random

import msgspec

from comfreyshelf.config import Config
from comfreyshelf.ids import CallerId, DomainId, JobId, OrganisationId, ServiceId
from comfreyshelf.model import Adjacency, Job, Shape, Urgency

# Accelerators of each worker.
ACCELERATORS = 8
CORES_PER_ACCELERATOR = 4
MEMORY_GB_PER_ACCELERATOR = 16
SMALL_CALLERS = 4
BIG_CALLER_SHARE = 0.7
# A job is on time if it completes within the factor times its run time, or within the minimum.
ON_TIME_FACTOR = 6.0
MIN_ON_TIME_LIMIT_S = 180.0
URGENCIES = (Urgency.URGENT, Urgency.HIGH, Urgency.NORMAL, Urgency.LOW)
URGENCY_SHARES = (0.04, 0.16, 0.6, 0.2)


class JobKind(msgspec.Struct, frozen=True):
    """A kind of job.

    `share` is its share of all jobs. Run times are log-normal with `median_s` and `sigma`.
    Declared run times are run times multiplied by `declared_factor` and log-normal noise.
    """

    name: str
    share: float
    median_s: float
    sigma: float
    declared_factor: float
    shapes: tuple[Shape, ...]


class SimulatedJob(msgspec.Struct, frozen=True):
    """A job and what the scheduler does not know about it, such as its run time.

    `cancel_at` is 0 if the caller does not cancel the job. `is_big_caller` tells whether it is from
    the one caller of the organisation that submits most of its jobs.
    """

    job: Job
    run_s: float
    always_fails: bool = False
    is_flood: bool = False
    is_big_caller: bool = False
    cancel_at: float = 0.0


def shape(parts: int, accelerators: int, adjacency: Adjacency = Adjacency.ZONE) -> Shape:
    """Make a shape with cores and memory in proportion to its accelerators."""
    cores = accelerators * CORES_PER_ACCELERATOR
    return Shape(parts, accelerators, adjacency, cores, accelerators * MEMORY_GB_PER_ACCELERATOR)


KINDS = (
    JobKind("check", 0.55, 40.0, 0.6, 6.0, (shape(1, 1), shape(1, 2), shape(2, 1))),
    JobKind("volume", 0.27, 240.0, 0.8, 0.4, (shape(1, 4), shape(2, 2), shape(4, 1))),
    JobKind(
        "model",
        0.18,
        700.0,
        0.8,
        2.5,
        (shape(1, 8), shape(2, 4, Adjacency.RACK), shape(2, 8, Adjacency.RACK), shape(3, 8)),
    ),
)


def mean_job_accelerator_s(kinds: tuple[JobKind, ...] = KINDS) -> float:
    """Return the mean accelerator-seconds of a job of these kinds."""
    total = 0.0
    for kind in kinds:
        size = sum(each.total_accelerators for each in kind.shapes) / len(kind.shapes)
        total += kind.share * size * kind.median_s * math.exp(kind.sigma**2 / 2)
    return total / sum(kind.share for kind in kinds)


def kinds_for_urgency(urgency: Urgency) -> tuple[JobKind, ...]:
    """Return the kinds of jobs of an urgency; urgent jobs are only of the two shorter kinds."""
    return KINDS[:2] if urgency is Urgency.URGENT else KINDS


class LoadGenerator:
    """Generates jobs; their arrival times are in seconds from the start of the run."""

    def __init__(self, config: Config, domain: DomainId, seed: int) -> None:
        self._rng = random.Random(seed)
        members = [guarantee.organisation for guarantee in config.domain_guarantees(domain)]
        names = list(dict.fromkeys(members))
        self.organisations = [config.organisations[name] for name in names]
        self._job_count = 0

    def steady_arrivals(
        self, accelerators: int, load: float, duration_s: float
    ) -> list[SimulatedJob]:
        """Generate Poisson arrivals that ask for `load` times the capacity of the accelerators.

        The weights of the organisations determine their shares of the jobs.
        """
        rate = load * accelerators / mean_job_accelerator_s()
        weights = [organisation.weight for organisation in self.organisations]
        jobs = []
        now = self._rng.expovariate(rate)
        while now < duration_s:
            organisation = self._rng.choices(self.organisations, weights)[0]
            urgency = self._rng.choices(URGENCIES, URGENCY_SHARES)[0]
            jobs.append(self._make_job(organisation.id, urgency, now))
            now += self._rng.expovariate(rate)
        return jobs

    def flood_arrivals(
        self, organisation: OrganisationId, urgency: Urgency, start: float, end: float, rate: float
    ) -> list[SimulatedJob]:
        """Generate `rate` jobs a second of one urgency, all from the organisation's big caller."""
        jobs = []
        now = start
        while now < end:
            simulated = self._make_job(organisation, urgency, now)
            caller = CallerId(f"{organisation}-big")
            job = msgspec.structs.replace(simulated.job, caller=caller)
            jobs.append(
                msgspec.structs.replace(simulated, job=job, is_flood=True, is_big_caller=True)
            )
            now += self._rng.expovariate(rate)
        return jobs

    def mark_failing(self, jobs: list[SimulatedJob], share: float) -> list[SimulatedJob]:
        """Return the jobs with a random share of them marked to fail wherever they run."""
        return [
            msgspec.structs.replace(simulated, always_fails=self._rng.random() < share)
            for simulated in jobs
        ]

    def mark_cancelled(
        self, jobs: list[SimulatedJob], cancel_at: float, window_s: float
    ) -> list[SimulatedJob]:
        """Return the jobs with a random half of some of them marked to be cancelled at `cancel_at`.

        Only jobs that arrive in the `window_s` seconds before `cancel_at` are marked.
        """
        return [
            (
                msgspec.structs.replace(simulated, cancel_at=cancel_at)
                if cancel_at - window_s < simulated.job.accepted_at < cancel_at
                and self._rng.random() < 0.5
                else simulated
            )
            for simulated in jobs
        ]

    def _make_job(self, organisation: OrganisationId, urgency: Urgency, now: float) -> SimulatedJob:
        rng = self._rng
        kinds = kinds_for_urgency(urgency)
        kind = rng.choices(kinds, [each.share for each in kinds])[0]
        run_s = max(5.0, kind.median_s * math.exp(rng.gauss(0.0, kind.sigma)))
        declared_s = run_s * kind.declared_factor * math.exp(rng.gauss(0.0, 0.7))
        is_big = rng.random() < BIG_CALLER_SHARE
        suffix = "big" if is_big else f"small-{rng.randrange(SMALL_CALLERS)}"
        self._job_count += 1
        job = Job(
            id=JobId(f"job-{self._job_count:06d}"),
            organisation=organisation,
            caller=CallerId(f"{organisation}-{suffix}"),
            key=str(self._job_count),
            service=ServiceId("permit"),
            kind=kind.name,
            shape=rng.choice(kind.shapes),
            declared_s=declared_s,
            urgency=urgency,
            deadline=now + on_time_limit_s(run_s) if rng.random() < 0.5 else 0.0,
            idempotent=rng.random() < 0.8,
            preemptible=rng.random() < 0.8,
            accepted_at=now,
        )
        return SimulatedJob(job, run_s, is_big_caller=is_big)


def on_time_limit_s(run_s: float) -> float:
    """Return within how many seconds after its acceptance a job must complete to be on time."""
    return max(MIN_ON_TIME_LIMIT_S, ON_TIME_FACTOR * run_s)
