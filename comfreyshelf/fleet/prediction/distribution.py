"""Distributions of positive values: learned ones that decay, and fixed ones with quantiles."""

import math
from bisect import bisect_right
from collections.abc import Iterable
from statistics import NormalDist

import msgspec
from hdrh.histogram import HdrHistogram

# A distribution is described by this many values, each of which stands for an equal share.
POINTS = 20
_PERCENTILES = [100 * (index + 0.5) / POINTS for index in range(POINTS)]
_NORMAL_POINTS = tuple(NormalDist().inv_cdf(percent / 100) for percent in _PERCENTILES)
# Bounds of recorded values, in thousandths; as a run time, 1 ms and 28 hours.
_MIN_MILLI, _MAX_MILLI = 1, 100_000_000
_SIGNIFICANT_DIGITS = 2
# Count of one sample in a histogram of integers, so that a sample can be divided and can decay.
_SAMPLE_COUNT = 16
# A lower bound of a value is spread over this many of the larger values.
_IMPUTED_VALUES = 4
# With more samples than this, the weight of all is halved.
MAX_WEIGHT = 400.0
# The quantiles are worked out again once the weight has grown by this share, as a query takes
# 0.4 ms.
_REFRESH_SHARE = 0.05
# Spread of samples that are nearly equal; the progress in reports is not more accurate.
MIN_SPREAD = 0.05
# Shape of the tail beyond all known values (Pareto): of the tasks that have run for longer than all
# others, half take a quarter longer, and a tenth twice as long or longer.
_TAIL_EXPONENT = 3.0


class Points(msgspec.Struct, frozen=True):
    """A distribution as POINTS values in ascending order, each of which has an equal share."""

    values: tuple[float, ...]

    def quantile(self, share: float, at_least: float = 0.0) -> float:
        """The value below which this share lies, among the values of `at_least` or more."""
        below = self._share_below(at_least)
        if below >= 1.0:
            return at_least * (1.0 - share) ** (-1.0 / _TAIL_EXPONENT)
        position = (below + share * (1.0 - below)) * POINTS - 0.5
        index = max(0, min(POINTS - 2, int(position)))
        fraction = max(0.0, min(1.0, position - index))
        lower, upper = self.values[index], self.values[index + 1]
        return max(at_least, lower + fraction * (upper - lower))

    def _share_below(self, value: float) -> float:
        index = bisect_right(self.values, value)
        if index in (0, POINTS):
            return index / POINTS
        lower, upper = self.values[index - 1], self.values[index]
        return (index - 0.5 + (value - lower) / (upper - lower)) / POINTS

    @property
    def spread(self) -> float:
        """Half of the logarithmic distance of the 16% and 84% quantiles, a standard deviation."""
        return max(MIN_SPREAD, math.log(self.quantile(0.84) / self.quantile(0.16)) / 2)

    def scaled(self, factor: float) -> "Points":
        """The distribution of `factor` times the values."""
        return Points(tuple(factor * value for value in self.values))


def lognormal_points(median: float, spread: float) -> Points:
    """A distribution of which only the median and the standard deviation of the log are known."""
    return Points(tuple(median * math.exp(spread * z) for z in _NORMAL_POINTS))


class LearnedDistribution:
    """A histogram of samples in which older ones count less.

    `weight` is the effective number of samples.
    """

    def __init__(self) -> None:
        self._histogram = _new_histogram()
        self._points: Points | None = None
        self._points_weight = 0.0

    @property
    def weight(self) -> float:
        """The effective number of samples."""
        return float(self._histogram.get_total_count() / _SAMPLE_COUNT)

    def add(self, value: float) -> None:
        """Add one sample."""
        self._record((value,), 1.0)

    def add_at_least(self, value: float) -> None:
        """Add a sample of which only a lower bound is known.

        It counts as the larger values do that are known (redistribution to the right). It tells
        nothing if it is below all of them, or if none is known: a run that was stopped early does
        not make its task a short one.
        """
        points = self.points
        if points is None or value <= points.values[0]:
            return
        shares = [(index + 0.5) / _IMPUTED_VALUES for index in range(_IMPUTED_VALUES)]
        self._record([points.quantile(share, value) for share in shares], 1.0)

    def add_points(self, points: Points, weight: float) -> None:
        """Add a distribution that counts as `weight` samples."""
        self._record(points.values, min(MAX_WEIGHT, weight))

    def _record(self, values: Iterable[float], weight: float) -> None:
        values = tuple(values)
        count = max(1, round(weight * _SAMPLE_COUNT / len(values)))
        for value in values:
            milli = max(_MIN_MILLI, min(_MAX_MILLI, round(value * 1000)))
            self._histogram.record_value(milli, count)
        if self.weight > MAX_WEIGHT:
            self._halve()

    def _halve(self) -> None:
        old, self._histogram = self._histogram, _new_histogram()
        for item in old.get_recorded_iterator():
            count = item.count_at_value_iterated_to // 2
            if count:
                self._histogram.record_value(item.value_iterated_to, count)
        self._points = None

    @property
    def points(self) -> Points | None:
        """The quantiles, None without samples; they may lag behind by some percent of samples."""
        weight = self.weight
        if weight <= 0:
            return None
        change = abs(weight - self._points_weight)
        if self._points is None or change > _REFRESH_SHARE * self._points_weight:
            by_percent = self._histogram.get_percentile_to_value_dict(_PERCENTILES)
            self._points = Points(tuple(by_percent[p] / 1000 for p in _PERCENTILES))
            self._points_weight = weight
        return self._points


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(_MIN_MILLI, _MAX_MILLI, _SIGNIFICANT_DIGITS)
