"""Accuracy of expected run times on simulated deployments, by how they are predicted.

Run it with `python -m benchmarks.prediction [SEEDS]`. Jobs of three kinds arrive as in the two
deployments of docs/design/hard-load.md and occupy as many places as a fleet has accelerators. A run
is reported each second, and its run time is learned as ActiveRun does, from its progress or its
end. Each run that ends is compared with what was expected when it started. There is no network, and
the same seeds give the same figures.
"""

import heapq
import random
import statistics
import sys
from collections.abc import Callable
from dataclasses import dataclass, field

from comfreyshelf.fleet.active_run import MIN_SAMPLE_PERCENT, MIN_SAMPLE_S
from comfreyshelf.fleet.jobs import Job, QueueName, Resources, Step
from comfreyshelf.fleet.prediction.distribution import Points
from comfreyshelf.fleet.prediction.model import (
    DurationModel,
    JobDurations,
    Quantile,
    RunSample,
)
from comfreyshelf.fleet.prediction.quantile_model import Measure, QuantileModel
from comfreyshelf.fleet.prediction.queue_mean import QueueMeanModel
from comfreyshelf.ids import JobId, OrganisationId

REPORT_INTERVAL_S = 1.0
DAY_S = 240.0
# Runs that started earlier are not counted for the figures "after a minute".
WARM_S = 60.0
BURST_RATE = 2.3
BURST_S = 5.0


@dataclass(frozen=True)
class Kind:
    """Jobs of one queue; `rate` is in jobs a second, and estimates are off by up to `error`.

    Task times differ from job to job and within a job by log-normal factors with these spreads.
    `stretched_share` of the tasks take seven times as long. `stopped_share` of the runs are stopped
    at a random time.
    """

    queue: str
    rate: float
    tasks: int
    work_s: float
    gang_share: float
    error: float
    job_spread: float = 0.5
    task_spread: float = 0.15
    stretched_share: float = 0.0
    stopped_share: float = 0.1


@dataclass(frozen=True)
class Deployment:
    """The kinds of jobs, and how many tasks run at the same time."""

    kinds: tuple[Kind, ...]
    places: int


DEPLOYMENTS = {
    "first": Deployment(
        (
            Kind("urgent", 0.64, 5, 5.0, 0.7, 0.2),
            Kind("priority 1", 0.25, 6, 22.0, 1.0, 0.9),
            Kind("priority 2", 0.15, 39, 15.2, 0.0, 0.5),
        ),
        240,
    ),
    "second": Deployment(
        (
            Kind("urgent", 0.61, 5, 4.2, 0.7, 0.5),
            Kind("priority 1", 0.26, 6, 18.8, 1.0, 0.2),
            Kind("priority 2", 0.18, 39, 10.4, 0.0, 0.2, stretched_share=0.03),
        ),
        220,
    ),
}


class OwnEstimate(DurationModel):
    """Takes the caller's estimate."""

    def for_job(self, job: Job) -> JobDurations:
        return _EstimateOnly(job)


class _EstimateOnly(JobDurations):
    def __init__(self, job: Job) -> None:
        self._job = job

    def expected_s(
        self, step_number: int, quantile: Quantile = Quantile.MEDIAN, at_least_s: float = 0.0
    ) -> float:
        return self._job.steps[step_number].estimate_ms / 1000

    def observe(self, step_number: int, sample: RunSample) -> None:
        pass


class _PartialModel(QuantileModel):
    """A QuantileModel that uses only some of its distributions."""

    measures: tuple[Measure, ...] = ()

    def find(self, job: Job, is_gang: bool, measure: Measure) -> tuple[Points, float] | None:
        return super().find(job, is_gang, measure) if measure in self.measures else None


class RatioModel(_PartialModel):
    """The caller's estimate times its usual ratio, without siblings."""

    measures = (Measure.ESTIMATE_RATIO,)

    def for_job(self, job: Job) -> JobDurations:
        return _WithoutSiblings(super().for_job, job)


class SecondsModel(_PartialModel):
    """Quantiles of seconds by queue and organisation, without siblings."""

    measures = (Measure.SECONDS,)

    def for_job(self, job: Job) -> JobDurations:
        return _WithoutSiblings(super().for_job, job)


class CombinedModel(QuantileModel):
    """Seconds and ratio by inverse variance, without siblings."""

    def for_job(self, job: Job) -> JobDurations:
        return _WithoutSiblings(super().for_job, job)


class _WithoutSiblings(JobDurations):
    """Asks the expectations of a job of which no run was seen."""

    def __init__(self, for_job: Callable[[Job], JobDurations], job: Job) -> None:
        self._learning, self._unseen = for_job(job), for_job(job)

    def expected_s(
        self, step_number: int, quantile: Quantile = Quantile.MEDIAN, at_least_s: float = 0.0
    ) -> float:
        return self._unseen.expected_s(step_number, quantile, at_least_s)

    def observe(self, step_number: int, sample: RunSample) -> None:
        self._learning.observe(step_number, sample)


MODELS: dict[str, Callable[[], DurationModel]] = {
    "own estimate": OwnEstimate,
    "queue mean, as before": QueueMeanModel,
    "ratio to the estimate": RatioModel,
    "quantiles of seconds": SecondsModel,
    "both by inverse variance": CombinedModel,
    "the same with siblings": QuantileModel,
}


@dataclass
class _SimulatedJob:
    job: Job
    kind: Kind
    works_s: list[float]
    is_gang: bool
    durations: JobDurations
    observed: int = 0


@dataclass
class _Run:
    owner: _SimulatedJob
    index: int
    started_at: float
    expected_s: float
    high_s: float
    has_sibling: bool
    # When the run is stopped, measured from its start; infinite if it ends by itself.
    stopped_after_s: float
    work_s: float
    is_recorded: bool = False


@dataclass
class Sample:
    """One run that ended as done: actual time, expectations at its start, and when it started."""

    queue: str
    actual_s: float
    expected_s: float
    high_s: float
    has_sibling: bool
    started_at: float


@dataclass
class Day:
    """One day of load under one model."""

    deployment: Deployment
    model: DurationModel
    seed: int
    samples: list[Sample] = field(default_factory=list)

    def __post_init__(self) -> None:
        # Load and stops are the same for all models.
        self._rng = random.Random(self.seed)
        self._waiting: list[tuple[float, int, _SimulatedJob]] = []
        self._running: list[_Run] = []
        self._bursts = [
            (self._rng.choice(self.deployment.kinds), self._rng.uniform(5, DAY_S - 10))
            for _ in range(8)
        ]
        # A burst of the shortest tasks comes first, when nothing is known yet.
        self._bursts.append((self.deployment.kinds[0], 0.0))

    def play(self) -> list[Sample]:
        """Play the day in steps of one report interval."""
        now = 0.0
        job_count = 0
        while now < DAY_S:
            for kind in self.deployment.kinds:
                rate = kind.rate * REPORT_INTERVAL_S
                for burst_kind, start in self._bursts:
                    if burst_kind is kind and start <= now < start + BURST_S:
                        rate *= BURST_RATE
                arrivals = int(rate) + (self._rng.random() < rate % 1)
                for _ in range(arrivals):
                    job_count += 1
                    job = self._make_job(kind, job_count, now)
                    priority = self.deployment.kinds.index(kind)
                    heapq.heappush(self._waiting, (priority, job_count, job))
            self._start_jobs(now)
            now += REPORT_INTERVAL_S
            self._report(now)
        return self.samples

    def _make_job(self, kind: Kind, number: int, now: float) -> _SimulatedJob:
        rng = self._rng
        organisation = min(9, int(rng.paretovariate(0.8)) - 1)
        # Each organisation has work of another size.
        work_s = kind.work_s * (0.75 + 0.05 * organisation)
        work_s *= rng.lognormvariate(0.0, kind.job_spread)
        count = max(1, round(kind.tasks * rng.lognormvariate(0.0, 0.4)))
        is_gang = rng.random() < kind.gang_share
        works_s = [
            work_s
            * rng.lognormvariate(0.0, kind.task_spread)
            * (7.0 if rng.random() < kind.stretched_share else 1.0)
            for _ in range(count)
        ]
        if is_gang:
            works_s = [max(works_s)] * count
        estimate_s = work_s * rng.uniform(1 - kind.error, 1 + kind.error)
        step = Step(count, Resources(1000, 1000, 1), int(estimate_s * 1000), gang=is_gang)
        job = Job(
            JobId(f"{number:016x}"),
            OrganisationId(f"o{organisation}"),
            QueueName(kind.queue),
            "",
            (step,),
            now,
        )
        durations = self.model.for_job(job)
        return _SimulatedJob(job, kind, works_s, is_gang, durations)

    def _start_jobs(self, now: float) -> None:
        while self._waiting:
            priority, number, owner = self._waiting[0]
            free = self.deployment.places - len(self._running)
            if free < (len(owner.works_s) if owner.is_gang else 1):
                return
            heapq.heappop(self._waiting)
            placed = min(free, len(owner.works_s))
            for index in range(len(owner.works_s) - placed, len(owner.works_s)):
                self._start(owner, index, now)
            del owner.works_s[len(owner.works_s) - placed :]
            if owner.works_s:
                heapq.heappush(self._waiting, (priority, number, owner))

    def _start(self, owner: _SimulatedJob, index: int, now: float) -> None:
        rng = random.Random(f"{self.seed} {owner.job.id} {index}")
        work_s = owner.works_s[index]
        is_stopped = rng.random() < owner.kind.stopped_share and not owner.is_gang
        run = _Run(
            owner,
            index,
            now,
            owner.durations.expected_s(0),
            owner.durations.expected_s(0, Quantile.HIGH),
            owner.observed > 0,
            work_s * rng.random() if is_stopped else float("inf"),
            work_s,
        )
        self._running.append(run)

    def _report(self, now: float) -> None:
        for run in list(self._running):
            elapsed_s = now - run.started_at
            work_s = run.work_s
            percent = min(100, int(100 * elapsed_s / work_s))
            if elapsed_s >= min(work_s, run.stopped_after_s):
                self._running.remove(run)
                is_done = work_s <= run.stopped_after_s
                if not run.is_recorded:
                    seconds = work_s if is_done else run.stopped_after_s
                    self._observe(run, RunSample(seconds, is_at_least=not is_done))
                if is_done:
                    self._add_sample(run, work_s)
            elif (
                not run.is_recorded and percent >= MIN_SAMPLE_PERCENT and elapsed_s >= MIN_SAMPLE_S
            ):
                self._observe(run, RunSample(100 * elapsed_s / percent))

    def _observe(self, run: _Run, sample: RunSample) -> None:
        run.is_recorded = True
        run.owner.durations.observe(0, sample)
        run.owner.observed += not sample.is_at_least

    def _add_sample(self, run: _Run, work_s: float) -> None:
        self.samples.append(
            Sample(
                run.owner.kind.queue,
                work_s,
                run.expected_s,
                run.high_s,
                run.has_sibling,
                run.started_at,
            )
        )


def _describe(samples: list[Sample]) -> str:
    if not samples:
        return f"{'-':>6} {'-':>6} {'-':>6}"
    ratios = sorted(sample.actual_s / sample.expected_s for sample in samples)
    within = sum(sample.actual_s <= sample.high_s for sample in samples) / len(samples)
    return f"{statistics.median(ratios):6.2f} {ratios[int(0.9 * len(ratios))]:6.2f} {within:6.0%}"


def main() -> None:
    """Print the ratio of actual to expected run time, by deployment, queue and model."""
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 4)
    header = f"{'median':>6} {'90th':>6} {'high':>6}"
    for name, deployment in DEPLOYMENTS.items():
        days = {
            label: [s for seed in seeds for s in Day(deployment, make(), seed).play()]
            for label, make in MODELS.items()
        }
        print(f"{name}: {'':41}{'all runs':>20}   {'after a minute':>20}   {'with siblings':>20}")
        print(f"{'queue':12} {'prediction':36} {header}   {header}   {header}")
        for kind in deployment.kinds:
            for label, samples in days.items():
                mine = [sample for sample in samples if sample.queue == kind.queue]
                warm = [sample for sample in mine if sample.started_at >= WARM_S]
                siblings = [sample for sample in mine if sample.has_sibling]
                columns = "   ".join(_describe(group) for group in (mine, warm, siblings))
                print(f"{kind.queue:12} {label:36} {columns}  n={len(mine)},{len(siblings)}")


if __name__ == "__main__":
    main()
