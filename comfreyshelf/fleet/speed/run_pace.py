"""The pace of one run, from the listings of its target."""

from collections import deque
from itertools import pairwise

import msgspec

from comfreyshelf.fleet.active_run import MIN_PROGRESS_PERCENT, ActiveRun
from comfreyshelf.fleet.jobs import RunNumber, TaskName
from comfreyshelf.ids import JobId

RunKey = tuple[str, RunNumber]
StepKey = tuple[JobId, int]

# Listings closer together than this are repeats.
MIN_LISTING_GAP_S = 0.3
# Least duration from which the pace of a run is taken.
MIN_PACE_S = 1.5
# The recent pace is taken over this many intervals between listings, if the earlier pace would
# have gained MIN_EXPECTED_GAIN percent in them. Less is hidden by the rounding to whole percents.
RECENT_INTERVALS = 2
MAX_RECENT_INTERVALS = 4
MIN_EXPECTED_GAIN = 4.0
# A pace of at least this share of the earlier one counts as unchanged.
STEADY_SHARE = 0.67
# A run whose pace changes by at least this factor shows that its machine has turned slow or fast.
TURN_FACTOR = 2.0
# A run's next sample is taken once its progress has grown by this factor.
SAMPLE_GROWTH = 1.6


class Listing(msgspec.Struct, frozen=True):
    """The progress of a run in percent; `at` is in seconds on the clock of its target."""

    at: float
    percent: int


class RunPace(msgspec.Struct):
    """What the listings tell about one run.

    `first` is the first listing since the machine last changed its speed. `change` is the recent
    pace divided by the earlier one, None if that cannot be told. `idle_s` is for how long the run
    has not been listed, `has_sample` whether it has shown a speed of its machine. The last
    `turn_listings` of the listings showed a turn.
    """

    machine: str
    step: StepKey
    gang: tuple[JobId, TaskName] | None
    remote_factor: float
    first: Listing
    recent: deque[Listing]
    next_sample_gain: float = MIN_PROGRESS_PERCENT
    has_sample: bool = False
    turn_listings: int = 0
    change: float | None = None
    idle_s: float = 0.0

    def add(self, listing: Listing) -> bool:
        """Add a listing; returns False if it repeats an earlier one."""
        if listing.at - self.recent[-1].at < MIN_LISTING_GAP_S:
            return False
        if listing.percent < self.recent[-1].percent:
            # Progress that goes backwards tells nothing about the speed of the machine.
            self.restart(listing)
            return False
        self.idle_s = 0.0
        self.recent.append(listing)
        self.change = self._change()
        if self.change is not None:
            self.turn_listings = self.turn_listings + 1 if is_turn(self.change) else 0
        return True

    def restart(self, listing: Listing) -> None:
        """Measure the pace from a listing on."""
        self.first, self.change, self.next_sample_gain = listing, None, MIN_PROGRESS_PERCENT
        self.recent = deque([listing], MAX_RECENT_INTERVALS + 1)
        self.turn_listings = 0

    def take_sample(self) -> float | None:
        """Seconds of the whole task at the pace so far and near its data, if a sample is due."""
        newest = self.recent[-1]
        gain, elapsed_s = newest.percent - self.first.percent, newest.at - self.first.at
        if gain < self.next_sample_gain or elapsed_s < MIN_PACE_S:
            return None
        self.next_sample_gain = gain * SAMPLE_GROWTH
        return 100 * elapsed_s / gain / self.remote_factor

    def _change(self) -> float | None:
        """The recent pace divided by the earlier one."""
        newest = self.recent[-1]
        for intervals in range(RECENT_INTERVALS, len(self.recent)):
            start = self.recent[-1 - intervals]
            gain, elapsed_s = start.percent - self.first.percent, start.at - self.first.at
            if gain < MIN_PROGRESS_PERCENT or elapsed_s < MIN_PACE_S:
                return None
            earlier = gain / elapsed_s
            expected = earlier * (newest.at - start.at)
            recent_gain = newest.percent - start.percent
            if max(expected, recent_gain) < MIN_EXPECTED_GAIN:
                continue
            if newest.percent == self.recent[-2].percent:
                # A run without any progress hangs, which tells nothing of its machine's speed.
                return None
            return self._last_change(earlier, recent_gain / expected)
        return None

    def _last_change(self, earlier: float, change: float) -> float:
        """The change over the last interval alone, if it can be told and shows a slower pace.

        An interval may lie partly before the change, so both of the last two have to show it.
        """
        intervals = list(self.recent)[-3:]
        expected = [earlier * (new.at - old.at) for old, new in pairwise(intervals)]
        if min(expected) < MIN_EXPECTED_GAIN or change > 1:
            return change
        before, last = (
            (new.percent - old.percent) / gain
            for (old, new), gain in zip(pairwise(intervals), expected, strict=True)
        )
        return max(before, last) if before > STEADY_SHARE else last


def is_turn(change: float) -> bool:
    """Whether a machine that changes its pace by this factor has turned slow or fast."""
    return change <= 1 / TURN_FACTOR or change >= TURN_FACTOR


def new_run_pace(active: ActiveRun) -> RunPace:
    """Start to measure a run from its latest listing."""
    listing = Listing(active.listed_at, active.percent)
    return RunPace(
        active.machine,
        (active.tracked.job.id, active.step_number),
        active.gang_key if active.gang_size > 1 else None,
        active.remote_factor,
        listing,
        deque([listing], MAX_RECENT_INTERVALS + 1),
    )
