"""The estimated speed of one machine."""

import math
from collections.abc import Iterable

import msgspec

from comfreyshelf.fleet.speed.run_pace import RunKey

# Speeds outside this range are errors of measurement.
MIN_SPEED = 0.1
MAX_SPEED = 2.0
# The newest runs count. A target of 8 accelerators works on up to 8 small tasks.
MAX_SAMPLES = 9
# Weight of what was believed before, in squares of the number of runs: one run moves the estimate
# by a fifth, three by two thirds. Tasks of one step differ by 15 to 30%, and a few run 7 times as
# long.
PRIOR_WEIGHT = 4.0
# Machines below this speed are disturbed, which passes; other differences last.
DISTURBED_SPEED = 0.5
# Two runs in a row that differ by this factor from all before show that the machine has changed.
CHANGE_FACTOR = 2.0


class HalfLives(msgspec.Struct, frozen=True):
    """Seconds without evidence after which a speed is taken to be half as far from 1.

    `recovery_s` applies to machines that are disturbed.
    """

    usual_s: float = 600.0
    recovery_s: float = 30.0


class MachineSpeed(msgspec.Struct):
    """The logarithms of a machine's speed that its newest runs have shown.

    `prior` is the logarithm believed before them, `age_s` the time since the last
    evidence, infinite if there was none.
    """

    prior: float = 0.0
    samples: dict[RunKey, float] = {}
    age_s: float = math.inf

    def add_sample(
        self, run: RunKey, speed: float, half_lives: HalfLives, is_first: bool = True
    ) -> None:
        """Add the speed that a run has shown, or replace what it showed before.

        Unless it `is_first`, the run has shown a speed before, which may have been replaced by
        newer runs. It does not return then, as long tasks would return more often than short ones.
        """
        if not is_first and run not in self.samples:
            return
        if self.age_s > half_lives.recovery_s:
            self.prior, self.samples = self._aged_log(half_lives), {}
        self.age_s = 0.0
        self.samples[run] = clamp_log(speed)
        if len(self.samples) > MAX_SAMPLES:
            del self.samples[next(iter(self.samples))]
        self._drop_outdated_samples()

    def turn(self, change: float, half_lives: HalfLives) -> None:
        """Apply a sudden change of the speed by a factor."""
        self.prior = clamp_log(change * math.exp(self._aged_log(half_lives)))
        self.samples, self.age_s = {}, 0.0

    def adopt(self, log_speed: float, age_s: float) -> None:
        """Take over the stored logarithm of the speed, whose last evidence has an age."""
        self.prior, self.samples, self.age_s = log_speed, {}, age_s

    @property
    def log_speed(self) -> float:
        """The logarithm of the speed at the time of the last evidence."""
        if not self.samples:
            return self.prior
        count = len(self.samples)
        weight = count**2 / (count**2 + PRIOR_WEIGHT)
        return weight * cautious_median(self.samples.values()) + (1 - weight) * self.prior

    def speed(self, half_lives: HalfLives) -> float:
        """The speed to expect now."""
        return math.exp(self._aged_log(half_lives))

    def _aged_log(self, half_lives: HalfLives) -> float:
        log_speed = self.log_speed
        is_disturbed = log_speed < math.log(DISTURBED_SPEED)
        half_life_s = half_lives.recovery_s if is_disturbed else half_lives.usual_s
        return float(log_speed * 0.5 ** (self.age_s / half_life_s))

    def _drop_outdated_samples(self) -> None:
        """Keep the last two samples only if both differ much from all before."""
        if len(self.samples) < 2:
            return
        *older, second, newest = [self.prior, *self.samples.values()]
        middle, change = cautious_median(older), math.log(CHANGE_FACTOR)
        is_faster = min(second, newest) - middle > change
        is_slower = middle - max(second, newest) > change
        if is_faster or is_slower:
            self.prior = cautious_median((second, newest))
            self.samples = dict(list(self.samples.items())[-2:])


def clamp_log(speed: float) -> float:
    """The logarithm of a speed, limited to the range of possible ones."""
    return math.log(min(MAX_SPEED, max(MIN_SPEED, speed)))


def cautious_median(logs: Iterable[float]) -> float:
    """The median; of an even number of values, the middle one that is closer to 0."""
    ordered = sorted(logs)
    low, high = ordered[(len(ordered) - 1) // 2], ordered[len(ordered) // 2]
    return min(low, high, key=abs)
