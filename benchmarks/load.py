"""A seeded load of jobs for the policy benchmark."""

import math
import random

import msgspec

from comfreyshelf.config import Config
from comfreyshelf.ids import CallerId, DomainId, JobId, OrganisationId, ServiceId
from comfreyshelf.model import Adjacency, Job, Shape, Urgency

ACCELERATORS = 8
CORES_PER_ACCELERATOR = 4
MEMORY_GB_PER_ACCELERATOR = 16
SMALL_CALLERS = 4
BIG_CALLER_SHARE = 0.7
# A job is on time when it completes within this multiple of its run time, or the least slack.
ON_TIME_FACTOR = 6.0
LEAST_SLACK_S = 180.0
URGENCIES = (Urgency.URGENT, Urgency.HIGH, Urgency.NORMAL, Urgency.LOW)
URGENCY_SHARES = (0.04, 0.16, 0.6, 0.2)


class Kind(msgspec.Struct, frozen=True):
    """A kind of job: `share` of all jobs, median run time, and how far off declarations are."""

    name: str
    share: float
    median_s: float
    sigma: float
    declared_factor: float
    shapes: tuple[Shape, ...]


class Work(msgspec.Struct, frozen=True):
    """A job with what the scheduler is not told: its run time and whether it always fails."""

    job: Job
    run_s: float
    broken: bool = False
    flood: bool = False
    big_caller: bool = False
    cancel_at: float = 0.0


def shape(parts: int, accelerators: int, adjacency: Adjacency = Adjacency.ZONE) -> Shape:
    """A shape with cores and memory in proportion to its accelerators."""
    cores = accelerators * CORES_PER_ACCELERATOR
    return Shape(parts, accelerators, adjacency, cores, accelerators * MEMORY_GB_PER_ACCELERATOR)


KINDS = (
    Kind("check", 0.55, 40.0, 0.6, 6.0, (shape(1, 1), shape(1, 2), shape(2, 1))),
    Kind("volume", 0.27, 240.0, 0.8, 0.4, (shape(1, 4), shape(2, 2), shape(4, 1))),
    Kind(
        "model",
        0.18,
        700.0,
        0.8,
        2.5,
        (shape(1, 8), shape(2, 4, Adjacency.RACK), shape(2, 8, Adjacency.RACK), shape(3, 8)),
    ),
)


def mean_work(kinds: tuple[Kind, ...] = KINDS) -> float:
    """Mean accelerator-seconds of a job."""
    total = 0.0
    for kind in kinds:
        size = sum(each.total_accelerators for each in kind.shapes) / len(kind.shapes)
        total += kind.share * size * kind.median_s * math.exp(kind.sigma**2 / 2)
    return total / sum(kind.share for kind in kinds)


def kinds_of(urgency: Urgency) -> tuple[Kind, ...]:
    """Urgent jobs are of the shorter kinds."""
    return KINDS[:2] if urgency is Urgency.URGENT else KINDS


class Load:
    """Makes jobs with arrival times in seconds from 0 to `duration_s`."""

    def __init__(self, config: Config, domain: DomainId, seed: int) -> None:
        self._rng = random.Random(seed)
        members = [guarantee.organisation for guarantee in config.domain_guarantees(domain)]
        names = list(dict.fromkeys(members))
        self.organisations = [config.organisations[name] for name in names]
        self._count = 0

    def steady(self, accelerators: int, load: float, duration_s: float) -> list[Work]:
        """Poisson arrivals that ask for `load` times the capacity, shared by weight."""
        rate = load * accelerators / mean_work()
        weights = [organisation.weight for organisation in self.organisations]
        works = []
        now = self._rng.expovariate(rate)
        while now < duration_s:
            organisation = self._rng.choices(self.organisations, weights)[0]
            urgency = self._rng.choices(URGENCIES, URGENCY_SHARES)[0]
            works.append(self._work(organisation.id, urgency, now))
            now += self._rng.expovariate(rate)
        return works

    def flood(
        self, organisation: OrganisationId, urgency: Urgency, start: float, end: float, rate: float
    ) -> list[Work]:
        """Jobs of one organisation and urgency from the big caller, `rate` a second."""
        works = []
        now = start
        while now < end:
            work = self._work(organisation, urgency, now)
            caller = CallerId(f"{organisation}-big")
            job = msgspec.structs.replace(work.job, caller=caller)
            works.append(msgspec.structs.replace(work, job=job, flood=True, big_caller=True))
            now += self._rng.expovariate(rate)
        return works

    def spoil(self, works: list[Work], share: float) -> list[Work]:
        """Make a share of the jobs fail wherever they run."""
        return [msgspec.structs.replace(work, broken=self._rng.random() < share) for work in works]

    def cancel(self, works: list[Work], at: float, window_s: float) -> list[Work]:
        """Cancel half of the jobs that arrive in the window before `at`."""
        return [
            (
                msgspec.structs.replace(work, cancel_at=at)
                if at - window_s < work.job.accepted_at < at and self._rng.random() < 0.5
                else work
            )
            for work in works
        ]

    def _work(self, organisation: OrganisationId, urgency: Urgency, now: float) -> Work:
        rng = self._rng
        kinds = kinds_of(urgency)
        kind = rng.choices(kinds, [each.share for each in kinds])[0]
        run_s = max(5.0, kind.median_s * math.exp(rng.gauss(0.0, kind.sigma)))
        declared_s = run_s * kind.declared_factor * math.exp(rng.gauss(0.0, 0.7))
        big = rng.random() < BIG_CALLER_SHARE
        suffix = "big" if big else f"small-{rng.randrange(SMALL_CALLERS)}"
        self._count += 1
        job = Job(
            id=JobId(f"job-{self._count:06d}"),
            organisation=organisation,
            caller=CallerId(f"{organisation}-{suffix}"),
            key=str(self._count),
            service=ServiceId("permit"),
            kind=kind.name,
            shape=rng.choice(kind.shapes),
            declared_s=declared_s,
            urgency=urgency,
            deadline=now + due_s(run_s) if rng.random() < 0.5 else 0.0,
            idempotent=rng.random() < 0.8,
            preemptible=rng.random() < 0.8,
            accepted_at=now,
        )
        return Work(job, run_s, big_caller=big)


def due_s(run_s: float) -> float:
    """Seconds after acceptance within which a job is on time."""
    return max(LEAST_SLACK_S, ON_TIME_FACTOR * run_s)
