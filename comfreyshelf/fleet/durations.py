"""Estimates of task run times, from the observed run times of each queue."""

from comfreyshelf.fleet.jobs import QueueName, Step

# With fewer observations the caller's estimate is used.
MIN_OBSERVATIONS = 3
# Weight of the newest observation in the moving average.
NEWEST_WEIGHT = 0.2


class DurationEstimator:
    """Moving average of the run times of tasks in seconds, by queue.

    A completed run is observed only if it ran from the beginning and not from a checkpoint. The
    first observations weigh the same; later, older ones decay exponentially.
    """

    def __init__(self) -> None:
        self._mean_s: dict[QueueName, float] = {}
        self._count: dict[QueueName, int] = {}

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
