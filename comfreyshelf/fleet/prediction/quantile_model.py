"""Run times as distributions, learned by queue, organisation, caller's estimate and siblings."""

import math
from bisect import insort
from collections import OrderedDict
from collections.abc import Iterator
from enum import Enum
from functools import partial

import msgspec

from comfreyshelf.fleet.jobs import Job, QueueName, Step
from comfreyshelf.fleet.prediction.distribution import (
    LearnedDistribution,
    Points,
    lognormal_points,
)
from comfreyshelf.fleet.prediction.model import (
    DurationModel,
    JobDurations,
    Quantile,
    RunSample,
)
from comfreyshelf.ids import OrganisationId

# Samples from which on a distribution of a whole queue, or of one organisation in it, is used.
# The narrow key needs more, as the wide one is the better guess until its spread is known.
MIN_QUEUE_WEIGHT = 4.0
MIN_ORGANISATION_WEIGHT = 20.0
# Estimates outside of these bounds are no estimates.
MIN_ESTIMATE_S, MAX_ESTIMATE_S = 0.01, 86_400.0
# A run time that differs from its estimate by more than this factor does not count in the ratio.
MAX_RATIO = 50.0
# An estimate is not believed if what it makes of a run time is outside of all known ones by more
# than this factor.
MAX_DISTANCE = 3.0
# Expectation of a task of which nothing is known, and the spreads until they are learned.
DEFAULT_TASK_S = 10.0
DEFAULT_ESTIMATE_SPREAD = 0.4
DEFAULT_SIBLING_SPREAD = 0.25
# The variance of a distribution counts as larger by this share of a sample while it has few.
FEW_SAMPLES = 4.0
# The progress of a run is up to one listing interval out of date.
PROGRESS_ERROR_S = 1.0
# Limit of the distributions that are kept; those that were not used for longest are evicted.
MAX_KEYS = 256
# Limit of the run times that are kept for one step of a job.
MAX_SIBLINGS = 99


class Measure(Enum):
    """What a distribution is of: seconds, or their ratio to the estimate or to the siblings."""

    SECONDS = "s"
    ESTIMATE_RATIO = "e"
    SIBLING_RATIO = "b"


class Key(msgspec.Struct, frozen=True):
    """What a distribution was learned from; an empty organisation stands for all of them.

    Gangs have distributions of their own, as a gang takes as long as its slowest member.
    """

    queue: QueueName
    organisation: OrganisationId
    is_gang: bool
    measure: Measure


ALL_ORGANISATIONS = OrganisationId("")


class _Source(msgspec.Struct, frozen=True):
    """A distribution of seconds, and its variance in the log domain."""

    points: Points
    variance: float


class QuantileModel(DurationModel):
    """Distributions of run times and of their ratios, with fall-back from narrow to wide keys.

    The queue's run times and the caller's estimate times its usual error are combined by inverse
    variance in the log domain, so that whichever has the narrower spread counts more.
    """

    def __init__(self) -> None:
        self._distributions: OrderedDict[Key, LearnedDistribution] = OrderedDict()
        # Grows with each sample; expectations are cached for one revision of their queue.
        self.revision = 0
        self.revision_by_queue: dict[QueueName, int] = {}

    def for_job(self, job: Job) -> JobDurations:
        return _LearnedDurations(self, job)

    def items(self) -> Iterator[tuple[Key, LearnedDistribution]]:
        """All distributions, those that were updated last at the end."""
        yield from self._distributions.items()

    def distribution(self, key: Key) -> LearnedDistribution:
        """The distribution of a key, to be updated; it is created on first use."""
        found = self._distributions.setdefault(key, LearnedDistribution())
        self._distributions.move_to_end(key)
        if len(self._distributions) > MAX_KEYS:
            self._distributions.popitem(last=False)
        self.revision += 1
        self.revision_by_queue[key.queue] = self.revision
        return found

    def learn(
        self, job: Job, is_gang: bool, measure: Measure, value: float, is_at_least: bool
    ) -> None:
        """Add one value to the distributions of the job's queue and of its organisation there."""
        for organisation in (ALL_ORGANISATIONS, job.organisation):
            distribution = self.distribution(Key(job.queue, organisation, is_gang, measure))
            if is_at_least:
                distribution.add_at_least(value)
            else:
                distribution.add(value)

    def find(self, job: Job, is_gang: bool, measure: Measure) -> tuple[Points, float] | None:
        """The narrowest distribution with enough samples, and its number of samples."""
        for organisation, min_weight in (
            (job.organisation, MIN_ORGANISATION_WEIGHT),
            (ALL_ORGANISATIONS, MIN_QUEUE_WEIGHT),
        ):
            distribution = self._distributions.get(Key(job.queue, organisation, is_gang, measure))
            if distribution is not None and distribution.weight >= min_weight:
                points = distribution.points
                if points is not None:
                    return points, distribution.weight
        return None

    def prior_sources(self, job: Job, is_gang: bool, estimate_s: float | None) -> list[_Source]:
        """What is known of a task before any of its siblings has run; at least one source."""
        sources = []
        seconds = self.find(job, is_gang, Measure.SECONDS)
        if seconds is not None:
            sources.append(_make_source(*seconds))
        if estimate_s is None:
            return sources or [_unknown_source(DEFAULT_TASK_S)]
        ratio = self.find(job, is_gang, Measure.ESTIMATE_RATIO)
        if ratio is None:
            return sources or [_unknown_source(estimate_s)]
        scaled = _make_source(ratio[0].scaled(estimate_s), ratio[1])
        if seconds is None or _is_believable(scaled.points, seconds[0]):
            sources.append(scaled)
        return sources


def _make_source(points: Points, weight: float) -> _Source:
    return _Source(points, points.spread**2 * (1 + FEW_SAMPLES / weight))


def _unknown_source(median_s: float) -> _Source:
    spread = DEFAULT_ESTIMATE_SPREAD
    return _Source(lognormal_points(median_s, spread), spread**2)


def _is_believable(guess: Points, known: Points) -> bool:
    median = guess.quantile(0.5)
    return known.values[0] / MAX_DISTANCE <= median <= known.values[-1] * MAX_DISTANCE


def _combine(sources: list[_Source]) -> Points:
    """Combine the medians by inverse variance; the shape is that of the narrowest source.

    The shape is not narrowed, which two sources would justify in the middle but not in the tail.
    """
    narrowest = min(sources, key=lambda source: source.variance)
    if len(sources) == 1:
        return narrowest.points
    precision = sum(1 / source.variance for source in sources)
    log_median = (
        sum(math.log(source.points.quantile(0.5)) / source.variance for source in sources)
        / precision
    )
    return narrowest.points.scaled(math.exp(log_median) / narrowest.points.quantile(0.5))


class _GangSample(msgspec.Struct):
    """What the members of a gang's run have shown; the gang takes as long as its slowest."""

    run: int = 0
    members: int = 0
    seconds: float = 0.0
    is_at_least: bool = False


class _LearnedDurations(JobDurations):
    """Expectations for one job, with the run times of each step's tasks in ascending order."""

    def __init__(self, model: QuantileModel, job: Job) -> None:
        self._model = model
        self._job = job
        self._siblings_s: dict[int, list[float]] = {}
        self._gangs: dict[int, _GangSample] = {}
        # Valid for one revision of the queue: the distribution of each step, and its quantiles with
        # its least value, as planning asks for those of each run in each pass.
        self._revision = -1
        self._points: dict[int, Points] = {}
        self._medians: dict[int, tuple[float, float]] = {}
        self._highs: dict[int, tuple[float, float]] = {}

    def expected_s(
        self, step_number: int, quantile: Quantile = Quantile.MEDIAN, at_least_s: float = 0.0
    ) -> float:
        revision = self._model.revision_by_queue.get(self._job.queue, 0)
        if revision != self._revision:
            self._revision = revision
            for cache in (self._points, self._medians, self._highs):
                cache.clear()
        quantiles = self._medians if quantile is Quantile.MEDIAN else self._highs
        found = quantiles.get(step_number)
        if found is None:
            points = self._step_points(step_number)
            found = points.quantile(quantile.value), points.values[0]
            quantiles[step_number] = found
        expected_s, least_s = found
        if at_least_s <= least_s:
            return expected_s
        return self._step_points(step_number).quantile(quantile.value, at_least_s)

    def has_siblings(self, step_number: int) -> bool:
        return step_number in self._siblings_s

    def progress_error_s(self, quantile: Quantile) -> float:
        return PROGRESS_ERROR_S if quantile is Quantile.HIGH else 0.0

    def _step_points(self, step_number: int) -> Points:
        cached = self._points.get(step_number)
        if cached is not None:
            return cached
        is_gang = _is_gang(self._job.steps[step_number])
        sources = self._model.prior_sources(self._job, is_gang, self._estimate_s(step_number))
        siblings_s = self._siblings_s.get(step_number)
        if siblings_s:
            sources.append(self._sibling_source(is_gang, siblings_s))
        points = _combine(sources)
        self._points[step_number] = points
        return points

    def _sibling_source(self, is_gang: bool, siblings_s: list[float]) -> _Source:
        median_s = _median(siblings_s)
        ratio = self._model.find(self._job, is_gang, Measure.SIBLING_RATIO)
        if ratio is not None:
            return _make_source(ratio[0].scaled(median_s), ratio[1])
        spread = DEFAULT_SIBLING_SPREAD
        return _Source(lognormal_points(median_s, spread), spread**2)

    def _estimate_s(self, step_number: int) -> float | None:
        estimate_s = self._job.steps[step_number].estimate_ms / 1000
        return estimate_s if MIN_ESTIMATE_S <= estimate_s <= MAX_ESTIMATE_S else None

    def observe(self, step_number: int, sample: RunSample) -> None:
        step = self._job.steps[step_number]
        if step.lasting or not 0.0 < sample.seconds < math.inf:
            return
        if not _is_gang(step):
            self._learn(step_number, sample.seconds, sample.is_at_least)
            return
        # Members that are ahead wait for the others, so a gang counts once, with its slowest.
        gang = self._gangs.get(step_number)
        if gang is None or gang.run != sample.run:
            # An earlier run ended before all of its members had shown something.
            gang = self._gangs[step_number] = _GangSample(sample.run)
        gang.members += 1
        gang.seconds = max(gang.seconds, sample.seconds)
        gang.is_at_least = gang.is_at_least or sample.is_at_least
        if gang.members >= step.count:
            del self._gangs[step_number]
            self._learn(step_number, gang.seconds, gang.is_at_least)

    def _learn(self, step_number: int, seconds: float, is_at_least: bool) -> None:
        learn = partial(self._model.learn, self._job, _is_gang(self._job.steps[step_number]))
        learn(Measure.SECONDS, seconds, is_at_least)
        estimate_s = self._estimate_s(step_number)
        if estimate_s is not None and 1 / MAX_RATIO <= seconds / estimate_s <= MAX_RATIO:
            learn(Measure.ESTIMATE_RATIO, seconds / estimate_s, is_at_least)
        siblings_s = self._siblings_s.get(step_number)
        if siblings_s:
            median_s = _median(siblings_s)
            learn(Measure.SIBLING_RATIO, seconds / median_s, is_at_least)
            if is_at_least and seconds < median_s:
                return
        elif is_at_least:
            return
        siblings_s = self._siblings_s.setdefault(step_number, [])
        if len(siblings_s) < MAX_SIBLINGS:
            insort(siblings_s, seconds)


def _is_gang(step: Step) -> bool:
    return step.gang and step.count > 1


def _median(ascending: list[float]) -> float:
    middle = len(ascending) // 2
    if len(ascending) % 2:
        return ascending[middle]
    return (ascending[middle - 1] + ascending[middle]) / 2
