"""Estimates of task run times from the observed run times of each queue."""

from comfreyshelf.fleet.jobs import Job, QueueName, Step
from comfreyshelf.fleet.prediction.model import (
    DurationModel,
    JobDurations,
    Quantile,
    RunSample,
)

# With fewer observations the caller's estimate is used.
MIN_OBSERVATIONS = 3
# Weight of the newest observation in the moving average.
NEWEST_WEIGHT = 0.2


class QueueMeanModel(DurationModel):
    """Moving average of the run times of tasks in seconds, by queue.

    The first observations weigh the same; later, older ones decay exponentially. All quantiles are
    the same, as the spread is not known.
    """

    def __init__(self) -> None:
        self._mean_s: dict[QueueName, float] = {}
        self._count: dict[QueueName, int] = {}

    def for_job(self, job: Job) -> JobDurations:
        return _JobMeans(self, job)

    def observe(self, queue: QueueName, seconds: float) -> None:
        """Add the observed run time of one task."""
        count = self._count.get(queue, 0) + 1
        weight = max(NEWEST_WEIGHT, 1 / count)
        mean = self._mean_s.get(queue, seconds)
        self._count[queue] = count
        self._mean_s[queue] = mean + weight * (seconds - mean)

    def expected_s(self, queue: QueueName, step: Step) -> float:
        """Expected run time in seconds: the queue's average or, until it is known, the estimate."""
        if self._count.get(queue, 0) >= MIN_OBSERVATIONS:
            return self._mean_s[queue]
        return step.estimate_ms / 1000


class _JobMeans(JobDurations):
    """The shortest run time of a step's tasks in this job; else the average of its queue.

    The shortest counts, as other tasks may run on slow targets or far from their data.
    """

    def __init__(self, model: QueueMeanModel, job: Job) -> None:
        self._model = model
        self._job = job
        self._observed_s: dict[int, float] = {}

    def expected_s(
        self, step_number: int, quantile: Quantile = Quantile.MEDIAN, at_least_s: float = 0.0
    ) -> float:
        observed_s = self._observed_s.get(step_number)
        if observed_s is not None:
            return observed_s
        return self._model.expected_s(self._job.queue, self._job.steps[step_number])

    def has_siblings(self, step_number: int) -> bool:
        return step_number in self._observed_s

    def observe(self, step_number: int, sample: RunSample) -> None:
        if sample.is_at_least:
            return
        self._observed_s[step_number] = min(
            sample.seconds, self._observed_s.get(step_number, sample.seconds)
        )
        self._model.observe(self._job.queue, sample.seconds)
