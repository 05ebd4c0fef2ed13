"""State shared by the threads of a target process: its target, runs and open orders."""

import threading
from typing import NamedTuple

from comfreyshelf.fleet.bounds import CONTACT_GRACE_S, Bounds, monotonic
from comfreyshelf.fleet.jobs import Announcement, RunListing, RunningRow, Token
from comfreyshelf.fleet.messages import Orders, Rejection, Report, StartOrder, StopOrder
from comfreyshelf.ids import TargetId
from comfreyshelf.logs import log_event


class PendingOrders(NamedTuple):
    """Orders to carry out now; those in `refusals` must never start."""

    starts: list[StartOrder]
    stops: list[StopOrder]
    refusals: list[StartOrder]


class TargetState:
    """State shared by the threads of a target process; public methods take the lock."""

    def __init__(self, bounds: Bounds, machine: str) -> None:
        self._bounds = bounds
        self._machine = machine
        self._lock = threading.Lock()
        self._announcement: Announcement | None = None
        self._gone = False
        self._holdings: RunListing | None = None
        self._listed_at = 0.0
        self._started: dict[str, RunningRow] = {}
        self._stopped: dict[str, tuple[int, float]] = {}
        self._rejected: dict[tuple[str, int], Rejection] = {}
        self._tasks_in_progress: set[str] = set()
        self.token = Token(0)
        self.contact_at = float("-inf")
        self.acknowledged = 0
        self.acknowledgement = threading.Event()
        self.report_due = threading.Event()

    @property
    def target(self) -> str:
        """The target's id, empty until its first heartbeat."""
        return self._announcement.id if self._announcement else ""

    @property
    def has_unsettled_stops(self) -> bool:
        """Whether a confirmed stop has not shown in a listing yet."""
        return bool(self._stopped)

    def announce(self, announcement: Announcement) -> bool:
        """Apply a heartbeat; returns False if it is not newer than the known one."""
        with self._lock:
            old = self._announcement
            if old is not None and (old.incarnation, old.sequence) >= (
                announcement.incarnation,
                announcement.sequence,
            ):
                return False
            renewed = old is None or (old.id, old.incarnation) != (
                announcement.id,
                announcement.incarnation,
            )
            if renewed:
                self._reset()
            self._announcement = announcement
            self._gone = False
            if renewed or (old is not None and old.draining != announcement.draining):
                self.report_due.set()
            return True

    def leave(self, target: TargetId) -> None:
        """Record that the target has left permanently."""
        with self._lock:
            if self._announcement is not None and self._announcement.id == target:
                self._gone = True
                self.report_due.set()

    def _reset(self) -> None:
        self._holdings = None
        self._started.clear()
        self._stopped.clear()
        self._rejected.clear()
        self.acknowledged = 0

    def update_holdings(self, holdings: RunListing, asked_at: float) -> None:
        """Apply a listing of the runner; `asked_at` is the time of the request."""
        with self._lock:
            announced = self._announcement
            if announced is not None and holdings.incarnation < announced.incarnation:
                return
            if self._holdings is not None and self._holdings.incarnation != holdings.incarnation:
                self._reset()
            before = self._holdings
            self._holdings = holdings
            self._listed_at = monotonic()
            present = {(row.task, row.run) for row in holdings.running}
            present |= {(row.task, row.run) for row in holdings.ended}
            for task, row in list(self._started.items()):
                if (task, row.run) in present:
                    del self._started[task]
            self._settle_stops(present, asked_at)
            if before is None or _summary(before) != _summary(holdings):
                self.report_due.set()

    def _settle_stops(self, present: set[tuple[str, int]], asked_at: float) -> None:
        """Reject stopped runs that a later listing omits: they never started and never will."""
        for task, (run, stopped_at) in list(self._stopped.items()):
            if asked_at < stopped_at:
                continue
            if (task, run) not in present and (task, run) not in self._rejected:
                self._rejected[(task, run)] = Rejection(task, run, "stopped before its start")
                self.report_due.set()
            if (task, run) not in {(row.task, row.run) for row in self._running()}:
                del self._stopped[task]

    def _running(self) -> tuple[RunningRow, ...]:
        listed = self._holdings.running if self._holdings else ()
        return (*listed, *self._started.values())

    def deadline_ms(self) -> int | None:
        """Return the end of a lease that starts now, on the runner's clock.

        Returns None before the first listing or without recent contact to an owner.
        """
        with self._lock:
            now = monotonic()
            if self._holdings is None or now - self.contact_at > CONTACT_GRACE_S:
                return None
            elapsed = now - self._listed_at
            return int(self._holdings.clock_ms + (elapsed + self._bounds.lease_s) * 1000)

    def report(self) -> Report | None:
        """Return the report to send now; None before the first heartbeat."""
        with self._lock:
            if self._announcement is None:
                return None
            known = (
                self._holdings is not None
                and self._holdings.incarnation == self._announcement.incarnation
            )
            return Report(
                monotonic(),
                self._announcement,
                self._announcement.incarnation,
                known,
                self._running() if known else (),
                self._holdings.ended if known and self._holdings else (),
                tuple(self._rejected.values()),
                self._machine,
                self._gone,
            )

    def accept(self, orders: Orders) -> PendingOrders:
        """Apply orders and return those to carry out now."""
        with self._lock:
            if orders.token < self.token:
                return PendingOrders([], [], [])
            if orders.token > self.token:
                log_event("owner changed", token=orders.token, before=self.token)
            self.token = orders.token
            self.contact_at = max(self.contact_at, orders.report_sent_at)
            announced = self._announcement
            if announced is None or orders.incarnation != announced.incarnation:
                return PendingOrders([], [], [])
            if orders.acknowledged > self.acknowledged:
                self.acknowledged = orders.acknowledged
                self.acknowledgement.set()
            wanted = {(order.task, order.run) for order in orders.starts}
            wanted |= {(order.task, order.run) for order in orders.stops}
            for key in [key for key in self._rejected if key not in wanted]:
                del self._rejected[key]
            running = {(row.task, row.run) for row in self._running()}
            starts = [
                order
                for order in orders.starts
                if (order.task, order.run) not in running | self._rejected.keys()
                and order.task not in self._tasks_in_progress
                and order.task not in self._stopped
            ]
            stops = [
                order
                for order in orders.stops
                if order.task not in self._tasks_in_progress and order.task not in self._stopped
            ]
            self._tasks_in_progress |= {order.task for order in starts} | {
                order.task for order in stops
            }
            if announced.draining or self._gone:
                return PendingOrders([], stops, starts)
            return PendingOrders(starts, stops, [])

    def record_started(self, order: StartOrder) -> None:
        """Record that the runner has confirmed a start."""
        with self._lock:
            self._started[order.task] = RunningRow(order.task, order.run, "", 0)
            self.report_due.set()

    def record_stopped(self, order: StopOrder) -> None:
        """Record that the runner has confirmed a stop."""
        with self._lock:
            self._started.pop(order.task, None)
            self._stopped[order.task] = (
                order.run,
                monotonic() + self._bounds.stop_grace_s,
            )

    def reject(self, task: str, run: int, reason: str) -> None:
        """Record that the runner will never start a run."""
        with self._lock:
            self._reject(task, run, reason)

    def _reject(self, task: str, run: int, reason: str) -> None:
        self._rejected[(task, run)] = Rejection(task, run, reason)
        self.report_due.set()

    def finish_order(self, task: str) -> None:
        """Record that an order has been carried out or has failed."""
        with self._lock:
            self._tasks_in_progress.discard(task)


def _summary(holdings: RunListing) -> tuple:
    """Return the parts of a listing whose change triggers an early report."""
    return (
        {(row.task, row.run) for row in holdings.running},
        {row.number for row in holdings.ended},
    )
