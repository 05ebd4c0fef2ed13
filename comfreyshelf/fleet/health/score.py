"""How strongly the ends of runs speak against a machine, rack or zone."""

import math

import msgspec

# The failure rates that a score distinguishes: one of runners that are well, and one of runners
# that are to be found. A score is the log-likelihood ratio of both (CUSUM): it rises by
# FAILURE_CHARGE with a failure, falls by DONE_CREDIT with a success, and never below 0, so that a
# long time of successes does not delay the detection of a fault that begins now.
GOOD_FAILURE_RATE = 0.03
BAD_FAILURE_RATE = 0.45
FAILURE_CHARGE = math.log(BAD_FAILURE_RATE / GOOD_FAILURE_RATE)
DONE_CREDIT = math.log((1 - GOOD_FAILURE_RATE) / (1 - BAD_FAILURE_RATE))
# Bounds the successes that are needed after a long time of failures.
MAX_SCORE = 12.0
# Most jobs take 4 to 22 s, so a fault shows in several runs within this time.
HALF_LIFE_S = 30.0
# Scores below this are forgotten.
MIN_SCORE = 0.05


class Score(msgspec.Struct):
    """A sum from 0 to MAX_SCORE that halves every HALF_LIFE_S; `at` is on the owner's clock."""

    amount: float = 0.0
    at: float = 0.0

    def value(self, now: float) -> float:
        """The sum as of `now`."""
        elapsed_s = max(0.0, now - self.at)
        return self.amount * float(0.5 ** (elapsed_s / HALF_LIFE_S)) if self.amount else 0.0

    def add(self, change: float, now: float, limit: float = MAX_SCORE) -> None:
        """Add to the sum; an increase does not raise it above `limit`."""
        value = self.value(now)
        increased = max(value, min(limit, value + change))
        self.amount = max(0.0, value + change) if change < 0 else increased
        self.at = max(self.at, now)
