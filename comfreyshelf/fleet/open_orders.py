"""Orders that a runner has carried out or refused, as long as its listings do not show it."""

from comfreyshelf.fleet.crash_log import RunKey
from comfreyshelf.fleet.jobs import RunListing, RunningRow
from comfreyshelf.fleet.messages import Orders, Rejection, StartOrder, StopOrder


class OpenOrders:
    """Confirmed starts and stops of one life of a runner, and the runs that it will never start.

    Not thread-safe; times are on the clock of the target process. For example, a run whose stop was
    confirmed at 10.0, and that a listing requested at 10.5 does not show, never started: it is
    rejected.
    """

    def __init__(self, stop_grace_s: float) -> None:
        self._stop_grace_s = stop_grace_s
        # Confirmed starts by task that no listing has shown yet.
        self._unlisted_starts: dict[str, RunningRow] = {}
        # Confirmed stops by task: the run, and when a stopped run has ended at the latest.
        self._unsettled_stops: dict[str, tuple[int, float]] = {}
        self._rejected: dict[RunKey, Rejection] = {}
        # Tasks with an order that is being carried out on the runner.
        self._tasks_in_progress: set[str] = set()

    @property
    def has_unsettled_stops(self) -> bool:
        """Whether a confirmed stop has not shown in a listing yet."""
        return bool(self._unsettled_stops)

    @property
    def unlisted_starts(self) -> tuple[RunningRow, ...]:
        """Runs whose start was confirmed and that no listing has shown yet."""
        return tuple(self._unlisted_starts.values())

    @property
    def rejections(self) -> tuple[Rejection, ...]:
        """The runs that the runner will never start."""
        return tuple(self._rejected.values())

    def begin_life(self) -> None:
        """Forget what the former life of the runner had carried out or refused."""
        self._unlisted_starts.clear()
        self._unsettled_stops.clear()
        self._rejected.clear()

    def drop_starts(self) -> None:
        """Forget the starts of a runner that runs nothing any more."""
        self._unlisted_starts.clear()

    def take(
        self, orders: Orders, running: tuple[RunningRow, ...]
    ) -> tuple[list[StartOrder], list[StopOrder]]:
        """Return the starts and stops to carry out now, which are in progress from then on."""
        ordered = {(order.task, order.run) for order in orders.starts}
        ordered |= {(order.task, order.run) for order in orders.stops}
        for key in [key for key in self._rejected if key not in ordered]:
            del self._rejected[key]
        known = {(row.task, row.run) for row in running} | self._rejected.keys()
        busy = self._tasks_in_progress | self._unsettled_stops.keys()
        starts = [
            order
            for order in orders.starts
            if (order.task, order.run) not in known and order.task not in busy
        ]
        stops = [order for order in orders.stops if order.task not in busy]
        self._tasks_in_progress |= {order.task for order in starts}
        self._tasks_in_progress |= {order.task for order in stops}
        return starts, stops

    def apply_listing(self, listing: RunListing, requested_at: float) -> bool:
        """Settle what a listing shows; returns whether runs were rejected."""
        listed = {(row.task, row.run) for row in listing.running}
        listed |= {(row.task, row.run) for row in listing.ended}
        for task, row in list(self._unlisted_starts.items()):
            if (task, row.run) in listed:
                del self._unlisted_starts[task]
        return self._settle_stops(listing, listed, requested_at)

    def _settle_stops(self, listing: RunListing, listed: set[RunKey], requested_at: float) -> bool:
        """Forget stops that a later listing confirms, and reject the runs that it omits.

        A run that the listing shows neither as running nor as ended never started and never will. A
        listing that was requested before the stop took effect says nothing about it.
        """
        rows = (*listing.running, *self._unlisted_starts.values())
        running = {(row.task, row.run) for row in rows}
        has_rejected = False
        for task, (run, stopped_at) in list(self._unsettled_stops.items()):
            if requested_at < stopped_at:
                continue
            if (task, run) not in listed and (task, run) not in self._rejected:
                self.reject(task, run, "stopped before its start")
                has_rejected = True
            if (task, run) not in running:
                del self._unsettled_stops[task]
        return has_rejected

    def record_started(self, order: StartOrder) -> None:
        """Record that the runner has confirmed a start."""
        self._unlisted_starts[order.task] = RunningRow(order.task, order.run, "", 0)

    def record_stopped(self, order: StopOrder, now: float) -> None:
        """Record that the runner has confirmed a stop."""
        self._unlisted_starts.pop(order.task, None)
        self._unsettled_stops[order.task] = (order.run, now + self._stop_grace_s)

    def reject(self, task: str, run: int, reason: str) -> None:
        """Record that the runner will never start a run."""
        self._rejected[(task, run)] = Rejection(task, run, reason)

    def close(self, task: str) -> None:
        """Record that the order in progress for a task has been carried out or has failed."""
        self._tasks_in_progress.discard(task)
