"""Interface of the models that tell how long tasks are expected to run."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec

from comfreyshelf.fleet.jobs import Job


class Quantile(Enum):
    """Share of the tasks that end within an expected run time."""

    MEDIAN = 0.5
    HIGH = 0.9


class RunSample(msgspec.Struct, frozen=True):
    """What one run tells about the run time of its task.

    `seconds` is the time of the whole task on a target of speed 1 near its data. A run that ended
    before its task was done shows only that the task takes `is_at_least` that long. All members of
    a gang that run together have the same `run` number.
    """

    seconds: float
    is_at_least: bool = False
    run: int = 0


class JobDurations(ABC):
    """Expected run times of the tasks of one job."""

    @abstractmethod
    def expected_s(
        self, step_number: int, quantile: Quantile = Quantile.MEDIAN, at_least_s: float = 0.0
    ) -> float:
        """Expected seconds of one task of a step on a target of speed 1 near its data.

        `at_least_s` is how long the task is known to take at the least; a model that knows no
        distribution ignores it.
        """

    @abstractmethod
    def observe(self, step_number: int, sample: RunSample) -> None:
        """Add what a run of a step's task has shown."""

    def has_siblings(self, step_number: int) -> bool:
        """Whether a run of another task of the step has shown its run time."""
        return False

    def progress_error_s(self, quantile: Quantile) -> float:
        """Seconds by which a run's progress may be out of date when its end is projected."""
        return 0.0


class DurationModel(ABC):
    """Learns from the runs of all jobs how long tasks take."""

    @abstractmethod
    def for_job(self, job: Job) -> JobDurations:
        """The expectations for one job, which learn from its runs and feed this model."""
