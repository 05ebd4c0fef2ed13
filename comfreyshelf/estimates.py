"""Corrected run times per organisation and kind, learnt from what was seen."""

import math
from collections import OrderedDict

import msgspec

from comfreyshelf.ids import OrganisationId
from comfreyshelf.model import Job

MAX_KINDS = 4096
LEARNING_RATE = 0.1
# Weight of the declared time, counted in observations, while few runs were seen.
PRIOR_RUNS = 2.0
PRIOR_SPREAD = 1.0
SHORTEST_S = 1.0


class _Seen(msgspec.Struct):
    """Running mean and variance of log(run time over declared time) and of log(run time)."""

    runs: float = 0.0
    ratio: float = 0.0
    ratio_variance: float = PRIOR_SPREAD
    run: float = 0.0
    run_variance: float = PRIOR_SPREAD

    def add(self, ratio: float, run: float) -> None:
        self.runs += 1
        rate = max(LEARNING_RATE, 1.0 / self.runs)
        self.ratio, self.ratio_variance = _blend(self.ratio, self.ratio_variance, ratio, rate)
        self.run, self.run_variance = _blend(self.run, self.run_variance, run, rate)


class Estimates:
    """Run times in seconds.

    Per organisation and kind the better predictor is used: the declared time times the usual
    error of declarations, or the usual run time. The least recently used kinds are dropped.
    """

    def __init__(self) -> None:
        self._seen: OrderedDict[tuple[OrganisationId, str], _Seen] = OrderedDict()

    def __len__(self) -> int:
        return len(self._seen)

    def finished(self, job: Job, run_s: float) -> None:
        """Learn from a finished job that ran `run_s` seconds in one attempt."""
        self._learn(job, run_s)

    def still_running(self, job: Job, elapsed_s: float) -> None:
        """Learn from usage of a job that already runs far longer than expected.

        Without this, a kind whose declarations are much too short would look short until its
        first job ends.
        """
        if elapsed_s > 2.0 * self.expected_s(job):
            self._learn(job, 1.5 * elapsed_s)

    def expected_s(self, job: Job) -> float:
        """The corrected run time."""
        return math.exp(self._predict(job)[0])

    def cautious_s(self, job: Job) -> float:
        """A run time that about five of six jobs do not exceed."""
        mean, spread = self._predict(job)
        return math.exp(mean + spread)

    def left_s(self, job: Job, elapsed_s: float) -> float:
        """Expected time that a running job still needs."""
        mean, spread = self._predict(job)
        if elapsed_s <= 0:
            return math.exp(mean)
        # A job that outlived its estimate is expected to need a part of what it already ran.
        return max(math.exp(mean) - elapsed_s, 0.5 * spread * elapsed_s, SHORTEST_S)

    def _predict(self, job: Job) -> tuple[float, float]:
        declared = math.log(max(SHORTEST_S, job.declared_s))
        key = (job.organisation, job.kind)
        seen = self._seen.get(key)
        if seen is None:
            return declared, PRIOR_SPREAD
        self._seen.move_to_end(key)
        trust = seen.runs / (seen.runs + PRIOR_RUNS)
        if seen.run_variance < seen.ratio_variance:
            mean, variance = seen.run, seen.run_variance
        else:
            mean, variance = declared + seen.ratio, seen.ratio_variance
        spread = math.sqrt(trust * variance + (1.0 - trust) * PRIOR_SPREAD)
        return trust * mean + (1.0 - trust) * declared, spread

    def _learn(self, job: Job, run_s: float) -> None:
        run = math.log(max(SHORTEST_S, run_s))
        declared = math.log(max(SHORTEST_S, job.declared_s))
        key = (job.organisation, job.kind)
        seen = self._seen.setdefault(key, _Seen())
        self._seen.move_to_end(key)
        seen.add(run - declared, run)
        if len(self._seen) > MAX_KINDS:
            self._seen.popitem(last=False)


def _blend(mean: float, variance: float, value: float, rate: float) -> tuple[float, float]:
    change = value - mean
    if rate >= 1.0:
        return value, PRIOR_SPREAD
    return mean + rate * change, (1.0 - rate) * (variance + rate * change * change)
