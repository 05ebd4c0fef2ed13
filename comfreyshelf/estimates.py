"""Run time estimates per organisation and kind of job, learnt from earlier runs."""

import math
from collections import OrderedDict

import msgspec

from comfreyshelf.ids import OrganisationId
from comfreyshelf.model import Job

# Pairs of organisation and kind whose statistics are kept.
MAX_KINDS = 4096
# Smallest weight of a new observation in the moving averages.
LEARNING_RATE = 0.1
# The declared time counts as this many observations.
PRIOR_RUNS = 2.0
# Variance of the logarithms that is assumed before there are observations.
PRIOR_VARIANCE = 1.0
# Shorter run times count as this long.
MIN_RUN_S = 1.0


class _RunStatistics(msgspec.Struct):
    """Moving mean and variance of two logarithms over the observed runs of one kind.

    `log_ratio` is that of the run time divided by the declared time, `log_run` that of the run
    time. `runs` counts the observations.
    """

    runs: float = 0.0
    log_ratio: float = 0.0
    log_ratio_variance: float = PRIOR_VARIANCE
    log_run: float = 0.0
    log_run_variance: float = PRIOR_VARIANCE

    def add(self, log_ratio: float, log_run: float) -> None:
        self.runs += 1
        rate = max(LEARNING_RATE, 1.0 / self.runs)
        self.log_ratio, self.log_ratio_variance = _update_moments(
            self.log_ratio, self.log_ratio_variance, log_ratio, rate
        )
        self.log_run, self.log_run_variance = _update_moments(
            self.log_run, self.log_run_variance, log_run, rate
        )


class Estimates:
    """Estimated run times in seconds.

    Of two predictors, the one with the smaller variance is used for each organisation and kind:
    the declared time corrected by its usual error, or the usual run time. Statistics of the least
    recently used kinds are evicted.
    """

    def __init__(self) -> None:
        self._statistics: OrderedDict[tuple[OrganisationId, str], _RunStatistics] = OrderedDict()

    def __len__(self) -> int:
        return len(self._statistics)

    def record_run(self, job: Job, run_s: float) -> None:
        """Add a finished job, which ran `run_s` seconds in one attempt, to the statistics."""
        self._add_observation(job, run_s)

    def record_elapsed(self, job: Job, elapsed_s: float) -> None:
        """Add a running job to the statistics if it already runs far longer than expected.

        Otherwise the estimates of a kind with much too short declared times would stay too short
        until its first job ends.
        """
        if elapsed_s > 2.0 * self.expected_s(job):
            self._add_observation(job, 1.5 * elapsed_s)

    def expected_s(self, job: Job) -> float:
        """The expected run time: the declared time, corrected by the observed runs."""
        return math.exp(self._predict(job)[0])

    def conservative_s(self, job: Job) -> float:
        """A run time that about five of six jobs do not exceed."""
        mean, spread = self._predict(job)
        return math.exp(mean + spread)

    def remaining_s(self, job: Job, elapsed_s: float) -> float:
        """Expected time that a running job still needs."""
        mean, spread = self._predict(job)
        if elapsed_s <= 0:
            return math.exp(mean)
        # A job that exceeded its estimate is expected to need a fraction of its elapsed time more.
        return max(math.exp(mean) - elapsed_s, 0.5 * spread * elapsed_s, MIN_RUN_S)

    def _predict(self, job: Job) -> tuple[float, float]:
        log_declared = math.log(max(MIN_RUN_S, job.declared_s))
        key = (job.organisation, job.kind)
        statistics = self._statistics.get(key)
        if statistics is None:
            return log_declared, PRIOR_VARIANCE
        self._statistics.move_to_end(key)
        weight = statistics.runs / (statistics.runs + PRIOR_RUNS)
        if statistics.log_run_variance < statistics.log_ratio_variance:
            mean, variance = statistics.log_run, statistics.log_run_variance
        else:
            mean, variance = log_declared + statistics.log_ratio, statistics.log_ratio_variance
        spread = math.sqrt(weight * variance + (1.0 - weight) * PRIOR_VARIANCE)
        return weight * mean + (1.0 - weight) * log_declared, spread

    def _add_observation(self, job: Job, run_s: float) -> None:
        log_run = math.log(max(MIN_RUN_S, run_s))
        log_declared = math.log(max(MIN_RUN_S, job.declared_s))
        key = (job.organisation, job.kind)
        statistics = self._statistics.setdefault(key, _RunStatistics())
        self._statistics.move_to_end(key)
        statistics.add(log_run - log_declared, log_run)
        if len(self._statistics) > MAX_KINDS:
            self._statistics.popitem(last=False)


def _update_moments(mean: float, variance: float, value: float, rate: float) -> tuple[float, float]:
    delta = value - mean
    if rate >= 1.0:
        return value, PRIOR_VARIANCE
    return mean + rate * delta, (1.0 - rate) * (variance + rate * delta * delta)
