"""How actual run times compare with what was expected when the runs started."""

import msgspec

from comfreyshelf.fleet.active_run import ActiveRun

# Upper bounds of the counted ratios of actual to expected run time. The goal is a median of 0.9 to
# 1.1 and a 90th percentile below 1.5.
RATIO_BOUNDS = (0.5, 0.67, 0.9, 1.1, 1.5, 3.0)
# The progress at the first listing of a run that counts; one that was far along then, as after a
# takeover, had a start that this owner did not see.
MAX_FIRST_PERCENT = 50


class RunAccuracy(msgspec.Struct, frozen=True):
    """Actual and expected seconds of a run that did its whole task, and their ratio."""

    actual_s: float
    median_s: float
    high_s: float
    has_siblings: bool

    @property
    def ratio(self) -> float:
        """Actual divided by expected run time."""
        return self.actual_s / max(0.001, self.median_s)


def run_accuracy(active: ActiveRun, now: float) -> RunAccuracy | None:
    """Compare a run that ended as done with its first expectation.

    None if the run did only a part of its task or was never listed. The part that was done before
    the first listing is added.
    """
    first = active.first_expectation
    resumed_from = active.tracked.task_progress(active.task).resumed_from
    if first is None or resumed_from or active.first_percent > MAX_FIRST_PERCENT:
        return None
    actual_s = (now - active.started_at) / (1 - active.first_percent / 100)
    return RunAccuracy(actual_s, first.median_s, first.high_s, first.has_siblings)


def ratio_counters(accuracy: RunAccuracy, priority: int) -> list[str]:
    """The counters of a cumulative histogram of ratios to which the run adds 1."""
    siblings = "yes" if accuracy.has_siblings else "no"
    labels = f'priority="{priority}",siblings="{siblings}"'
    bounds = [f"{bound:g}" for bound in RATIO_BOUNDS if accuracy.ratio <= bound] + ["+Inf"]
    names = [f'run_time_ratio_bucket{{{labels},le="{bound}"}}' for bound in bounds]
    if accuracy.actual_s <= accuracy.high_s:
        names.append(f"runs_within_high_quantile{{{labels}}}")
    return names
