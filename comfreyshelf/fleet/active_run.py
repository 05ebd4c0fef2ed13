"""A run that occupies resources of a target, as its owner knows it."""

from typing import TYPE_CHECKING

import msgspec

from comfreyshelf.fleet.jobs import (
    Incarnation,
    Resources,
    RunNumber,
    Step,
    TaskName,
    full_task_name,
    parse_task_name,
)
from comfreyshelf.fleet.prediction.model import Quantile, RunSample
from comfreyshelf.ids import JobId, TargetId

if TYPE_CHECKING:
    from comfreyshelf.fleet.tracked_job import TrackedJob

# Minimum progress from which the speed of a run is extrapolated.
MIN_PROGRESS_PERCENT = 8
# Minimum progress and duration for a run to count as an observation of its step's run time.
# The progress in a report may be up to 1 s out of date, which distorts shorter samples.
MIN_SAMPLE_PERCENT = 30
MIN_SAMPLE_S = 1.0
# Least share of a task for which its run was watched, from which the whole run time is projected at
# its end. The progress at the first listing may be out of date, which distorts smaller shares.
MIN_SEEN_SHARE = 0.5
# Most of the time between two listings of a run that counts as time without progress. Over a longer
# gap nobody watched the run.
MAX_LISTING_GAP_S = 2.0


class FirstExpectation(msgspec.Struct, frozen=True):
    """The run time that was expected of a run when it started, to compare it with the actual one.

    `median_s` and `high_s` are quantiles in seconds; `has_siblings` is whether another task of the
    step had shown its run time.
    """

    median_s: float
    high_s: float
    has_siblings: bool


class ActiveRun(msgspec.Struct):
    """A run that occupies resources of a target.

    The start is ordered only once the run `is_stored`; it `is_confirmed` once the target has
    listed it. `machine` is where the target runs. `first_percent` is the progress when the target
    first listed the run. `started_at`, `stopping_since` and `percent_changed_at` are on the owner's
    clock; `first_reported_at`, `percent_reported_at` and `listed_at` are times of listings, on
    the target's clock. `stalled_s` is for how long listings have shown the run without progress.
    `gang_key` is equal for all members of a gang, and unique for any other task. The task takes
    `slowdown` times as long there as on a target of speed 1 near its data, of which `remote_factor`
    is for the distance from its data or its gang. The slowdown of a gang is that of its slowest
    member; only the progress of that member shows how long the gang takes.
    """

    tracked: "TrackedJob"
    task: TaskName
    run: RunNumber
    target: TargetId
    incarnation: Incarnation
    demand: Resources
    machine: str
    started_at: float
    is_stored: bool = False
    is_confirmed: bool = False
    stopping_since: float | None = None
    stop_cause: str = ""
    first_percent: int = 0
    percent: int = 0
    percent_changed_at: float = 0.0
    first_reported_at: float = 0.0
    percent_reported_at: float = 0.0
    listed_at: float = 0.0
    stalled_s: float = 0.0
    is_duration_recorded: bool = False
    slowdown: float = 1.0
    # Whether the reported progress has ever gone backwards.
    has_regressed: bool = False
    # What was expected when the target first listed the run: the median and the high quantile, in
    # seconds, and whether siblings had shown their run times. None until then.
    first_expectation: FirstExpectation | None = None
    remote_factor: float = 1.0
    is_slowest_member: bool = True
    # Worked out once from the task's name, as each planning pass asks for them.
    full_name: str = ""
    step_number: int = 0
    gang_key: tuple[JobId, TaskName] = (JobId(""), TaskName(""))
    gang_size: int = 1

    def __post_init__(self) -> None:
        self.full_name = full_task_name(self.tracked.job.id, self.task)
        _, self.step_number, _ = parse_task_name(self.task)
        members = self.tracked.gang_members(self.task)
        self.gang_key = (self.tracked.job.id, members[0])
        self.gang_size = len(members)

    @property
    def step(self) -> Step:
        """The step that the task belongs to."""
        return self.tracked.job.steps[self.step_number]

    def update_progress(
        self, percent: int, now: float, listed_at: float, sent_at: float = 0.0
    ) -> None:
        """Record the progress from a report; `listed_at` is when the runner listed the run.

        A run without progress may have started after that listing: its target process reports a
        start as soon as the runner has confirmed it. Its pace counts from `sent_at`, when the
        report was sent.
        """
        if not self.is_confirmed:
            self.started_at, self.first_percent = now, percent
            self.first_reported_at = max(listed_at, sent_at) if percent == 0 else listed_at
            self.listed_at = listed_at
            self.first_expectation = FirstExpectation(
                self.expected_s(Quantile.MEDIAN),
                self.expected_s(Quantile.HIGH),
                self.tracked.has_siblings(self.step_number),
            )
        self.is_confirmed = True
        if percent < self.percent:
            # A speed is measured only over progress that has not been taken back.
            self.has_regressed = True
            self.first_percent, self.first_reported_at = percent, listed_at
        if percent != self.percent or not self.percent_changed_at:
            self.percent, self.percent_changed_at = percent, now
            self.percent_reported_at, self.stalled_s = listed_at, 0.0
        else:
            self.stalled_s += min(MAX_LISTING_GAP_S, max(0.0, listed_at - self.listed_at))
        self.listed_at = listed_at
        # Reports delayed by a link arrive together, so speed is measured by the listings' times.
        gained_percent, elapsed_s = percent - self.first_percent, listed_at - self.first_reported_at
        if (
            not self.is_duration_recorded
            and self.is_slowest_member
            and gained_percent >= MIN_SAMPLE_PERCENT
            and elapsed_s >= MIN_SAMPLE_S
        ):
            self.record_duration(100 * elapsed_s / gained_percent)

    def record_duration(self, seconds: float, is_at_least: bool = False) -> None:
        """Learn how long the whole task takes where this run is."""
        self.is_duration_recorded = True
        sample = RunSample(seconds / self.slowdown, is_at_least, self.run)
        self.tracked.record_duration(self.step_number, sample)

    def expected_s(self, quantile: Quantile = Quantile.MEDIAN) -> float:
        """Expected seconds of the whole task where this run is."""
        return self.tracked.task_duration_s(self.step_number, quantile) * self.slowdown

    def record_end(self, is_whole: bool, now: float) -> None:
        """Learn from the end of a run, unless its duration was projected already.

        A run that does not do the `whole` task shows that the task takes at least as long as the
        run made progress: a run on a target that hangs says nothing of its task. What was done
        before the first listing is added, and too much of it says nothing of the whole.
        """
        if self.is_duration_recorded:
            return
        if is_whole:
            seen_share = 1.0 if self.has_regressed else 1 - self.first_percent / 100
            if seen_share >= MIN_SEEN_SHARE:
                self.record_duration((now - self.started_at) / seen_share)
        elif self.is_confirmed and self.percent_reported_at > self.first_reported_at:
            worked_s = self.percent_reported_at - self.first_reported_at
            self.record_duration(worked_s, is_at_least=True)

    def worked_s(self, now: float) -> float:
        """Seconds of work done by the run, including work done before this owner first saw it."""
        prior_work_s = self.first_percent / 100 * self.expected_s()
        return prior_work_s + now - self.started_at

    def unit_remaining_s(self, now: float, quantile: Quantile = Quantile.MEDIAN) -> float:
        """Expected seconds until the run's room is free: a gang ends with its slowest member."""
        if self.gang_size == 1:
            return self.remaining_s(now, quantile)
        runs = self.tracked.active_runs
        members = self.tracked.gang_members(self.task)
        active = [self, *(runs[name] for name in members if name in runs)]
        return max(member.remaining_s(now, quantile) for member in active)

    def remaining_s(self, now: float, quantile: Quantile = Quantile.MEDIAN) -> float:
        """Expected seconds until the run ends.

        Once the run has made MIN_PROGRESS_PERCENT of progress, its speed is extrapolated. Before
        that, the expected duration of the task is used, given that it takes at least as long as it
        has run.
        """
        gained_percent = self.percent - self.first_percent
        elapsed_s = self.percent_reported_at - self.first_reported_at
        if gained_percent >= MIN_PROGRESS_PERCENT and elapsed_s > 0:
            elapsed_s += self.tracked.progress_error_s(quantile)
            remaining_s = (100 - self.percent) * elapsed_s / gained_percent
            return max(0.0, remaining_s - (now - self.percent_changed_at))
        ran_s = now - self.started_at
        expected_s = self.tracked.task_duration_s(self.step_number, quantile, ran_s / self.slowdown)
        return max(0.0, expected_s * self.slowdown - ran_s)
