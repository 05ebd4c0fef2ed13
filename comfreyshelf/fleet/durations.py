"""How long tasks of each queue really run."""

from comfreyshelf.fleet.jobs import QueueName, Step

# Fewer observations than this leave the caller's estimate in force.
MIN_OBSERVATIONS = 3
# Weight of the newest observation.
NEWEST_WEIGHT = 0.2


class DurationEstimator:
    """Mean run time in seconds by queue, from runs that ended as done from their beginning."""

    def __init__(self) -> None:
        self._mean_s: dict[QueueName, float] = {}
        self._count: dict[QueueName, int] = {}

    def observe(self, queue: QueueName, seconds: float) -> None:
        """Take in the run time of one task."""
        count = self._count.get(queue, 0) + 1
        weight = max(NEWEST_WEIGHT, 1 / count)
        mean = self._mean_s.get(queue, seconds)
        self._count[queue] = count
        self._mean_s[queue] = mean + weight * (seconds - mean)

    def expected_s(self, queue: QueueName, step: Step) -> float:
        """Expected run time of a task: the queue's mean once known, else the caller's estimate."""
        if self._count.get(queue, 0) >= MIN_OBSERVATIONS:
            return self._mean_s[queue]
        return step.estimate_ms / 1000
