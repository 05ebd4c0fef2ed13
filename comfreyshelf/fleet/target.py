"""The target process: renews its runner's lease, carries out orders and reports."""

import threading
from abc import ABC, abstractmethod
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import msgspec
import pynng

from comfreyshelf.errors import UserError
from comfreyshelf.fleet import messages
from comfreyshelf.fleet.bounds import (
    CONTACT_GRACE_S,
    REPORT_INTERVAL_S,
    Bounds,
    monotonic,
)
from comfreyshelf.fleet.jobs import Announcement, Holdings, RunningRow, Token
from comfreyshelf.fleet.messages import Orders, Rejection, Report, StartOrder, StopOrder
from comfreyshelf.fleet.store import Store, StoreBusyError, StoreSilentError
from comfreyshelf.ids import TargetId
from comfreyshelf.logs import change
from comfreyshelf.metrics import Metrics
from comfreyshelf.tasks import Poller

OWNER_GROUP = "owner"
# How long a look at the runner waits for a run to end.
LOOK_WAIT_MS = 1200
STOP_LOOK_WAIT_MS = 150
# Pause between looks while ends wait to be acknowledged.
LOOK_PAUSE_S = 0.15
# Without orders for this long, the owner is looked up again.
OWNER_SILENT_S = 1.5
LOOKUP_INTERVAL_S = 0.4
_ORDER_THREADS = 4
_SEND_TIMEOUT_MS = 200
_RECEIVE_TIMEOUT_MS = 2000


class RefusedError(UserError):
    """The runner refused a call; `reason` is its own word."""

    def __init__(self, message: str, reason: str) -> None:
        super().__init__(message, "see the reason")
        self.reason = reason


class Runner(ABC):
    """The runner on this machine; calls raise StoreBusyError, StoreSilentError or RefusedError."""

    @abstractmethod
    def hold(
        self, token: Token, acknowledged: int, deadline_ms: int | None, wait_ms: int
    ) -> Holdings:
        """Renew the lease up to a time on the runner's clock, and list its runs."""

    @abstractmethod
    def start(self, token: Token, order: StartOrder, deadline_ms: int) -> None:
        """Start a run."""

    @abstractmethod
    def stop(self, token: Token, order: StopOrder) -> None:
        """Stop a run."""

    @abstractmethod
    def close(self) -> None:
        """Close all connections."""


class ToDo(NamedTuple):
    """Orders to carry out now; those in `refusals` must never start."""

    starts: list[StartOrder]
    stops: list[StopOrder]
    refusals: list[StartOrder]


class TargetState:
    """What the threads of a target process share; every method takes the lock."""

    def __init__(self, bounds: Bounds, machine: str) -> None:
        self._bounds = bounds
        self._machine = machine
        self._lock = threading.Lock()
        self._announcement: Announcement | None = None
        self._gone = False
        self._holdings: Holdings | None = None
        self._looked_at = 0.0
        self._started: dict[str, RunningRow] = {}
        self._stopped: dict[str, tuple[int, float]] = {}
        self._rejected: dict[tuple[str, int], Rejection] = {}
        self._busy: set[str] = set()
        self.token = Token(0)
        self.contact_at = float("-inf")
        self.acknowledged = 0
        self.acknowledgement = threading.Event()
        self.news = threading.Event()

    @property
    def target(self) -> str:
        """The target's id, empty until its first heartbeat."""
        return self._announcement.id if self._announcement else ""

    @property
    def settling(self) -> bool:
        """Whether a confirmed stop has not shown in a listing yet."""
        return bool(self._stopped)

    def announce(self, announcement: Announcement) -> bool:
        """Take in a heartbeat; False if a newer one is known."""
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
                self._forget()
            self._announcement = announcement
            self._gone = False
            if renewed or (old is not None and old.draining != announcement.draining):
                self.news.set()
            return True

    def leave(self, target: TargetId) -> None:
        """The target has left for good."""
        with self._lock:
            if self._announcement is not None and self._announcement.id == target:
                self._gone = True
                self.news.set()

    def _forget(self) -> None:
        self._holdings = None
        self._started.clear()
        self._stopped.clear()
        self._rejected.clear()
        self.acknowledged = 0

    def listed(self, holdings: Holdings, asked_at: float) -> None:
        """Take in a listing of the runner; `asked_at` is when it was asked for."""
        with self._lock:
            announced = self._announcement
            if announced is not None and holdings.incarnation < announced.incarnation:
                return
            if self._holdings is not None and self._holdings.incarnation != holdings.incarnation:
                self._forget()
            before = self._holdings
            self._holdings = holdings
            self._looked_at = monotonic()
            present = {(row.task, row.run) for row in holdings.running}
            present |= {(row.task, row.run) for row in holdings.ended}
            for task, row in list(self._started.items()):
                if (task, row.run) in present:
                    del self._started[task]
            self._settle_stops(present, asked_at)
            if before is None or _summary(before) != _summary(holdings):
                self.news.set()

    def _settle_stops(self, present: set[tuple[str, int]], asked_at: float) -> None:
        """A stopped run that is listed nowhere never started and never will."""
        for task, (run, stopped_at) in list(self._stopped.items()):
            if asked_at < stopped_at:
                continue
            if (task, run) not in present and (task, run) not in self._rejected:
                self._rejected[(task, run)] = Rejection(task, run, "stopped before its start")
                self.news.set()
            if (task, run) not in {(row.task, row.run) for row in self._running()}:
                del self._stopped[task]

    def _running(self) -> tuple[RunningRow, ...]:
        listed = self._holdings.running if self._holdings else ()
        return (*listed, *self._started.values())

    def deadline_ms(self) -> int | None:
        """A full lease from now on the runner's clock; None without contact to an owner."""
        with self._lock:
            now = monotonic()
            if self._holdings is None or now - self.contact_at > CONTACT_GRACE_S:
                return None
            elapsed = now - self._looked_at
            return int(self._holdings.clock_ms + (elapsed + self._bounds.lease_s) * 1000)

    def report(self) -> Report | None:
        """The report to send now; None before the first heartbeat."""
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

    def accept(self, orders: Orders) -> ToDo:
        """Take in orders and return what to carry out now."""
        with self._lock:
            if orders.token < self.token:
                return ToDo([], [], [])
            if orders.token > self.token:
                change("owner changed", token=orders.token, before=self.token)
            self.token = orders.token
            self.contact_at = max(self.contact_at, orders.report_sent_at)
            announced = self._announcement
            if announced is None or orders.incarnation != announced.incarnation:
                return ToDo([], [], [])
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
                and order.task not in self._busy
                and order.task not in self._stopped
            ]
            stops = [
                order
                for order in orders.stops
                if order.task not in self._busy and order.task not in self._stopped
            ]
            self._busy |= {order.task for order in starts} | {order.task for order in stops}
            if announced.draining or self._gone:
                return ToDo([], stops, starts)
            return ToDo(starts, stops, [])

    def started(self, order: StartOrder) -> None:
        """The runner has confirmed a start."""
        with self._lock:
            self._started[order.task] = RunningRow(order.task, order.run, "", 0)
            self.news.set()

    def stopped(self, order: StopOrder) -> None:
        """The runner has confirmed a stop."""
        with self._lock:
            self._started.pop(order.task, None)
            self._stopped[order.task] = (
                order.run,
                monotonic() + self._bounds.stop_grace_s,
            )

    def reject(self, task: str, run: int, reason: str) -> None:
        """The runner will never start a run."""
        with self._lock:
            self._reject(task, run, reason)

    def _reject(self, task: str, run: int, reason: str) -> None:
        self._rejected[(task, run)] = Rejection(task, run, reason)
        self.news.set()

    def finished(self, task: str) -> None:
        """An order has been carried out or has failed."""
        with self._lock:
            self._busy.discard(task)


def _summary(holdings: Holdings) -> tuple:
    """What of a listing is worth an early report."""
    return (
        {(row.task, row.run) for row in holdings.running},
        {row.number for row in holdings.ended},
    )


class Looker(Poller):
    """Renews the lease and lists the runs of the runner."""

    def __init__(self, state: TargetState, runner: Runner) -> None:
        super().__init__("looker")
        self._state = state
        self._runner = runner
        self._up = True

    def poll(self) -> None:
        state = self._state
        if not state.target:
            self.wait(0.05)
            return
        deadline = state.deadline_ms()
        asked_at = monotonic()
        state.acknowledgement.clear()
        try:
            holdings = self._runner.hold(
                state.token, state.acknowledged, deadline, self._wait_ms(deadline)
            )
        except (StoreBusyError, StoreSilentError, RefusedError, msgspec.DecodeError) as exc:
            if self._up:
                change("runner lost", target=state.target, why=str(exc))
            self._up = False
            self.wait(0.2)
            return
        if not self._up:
            change("runner regained", target=state.target)
        self._up = True
        state.listed(holdings, asked_at)
        if holdings.ended or deadline is None:
            state.acknowledgement.wait(LOOK_PAUSE_S)

    def _wait_ms(self, deadline: int | None) -> int:
        """How long the look may wait; a stop that has to be settled needs one soon."""
        if deadline is None:
            return 0
        return STOP_LOOK_WAIT_MS if self._state.settling else LOOK_WAIT_MS


class Orderer:
    """Carries out orders on the runner, several at a time."""

    def __init__(self, state: TargetState, runner: Runner, metrics: Metrics) -> None:
        self._state = state
        self._runner = runner
        self._metrics = metrics
        self._pool = ThreadPoolExecutor(_ORDER_THREADS, "order")
        # Starts of this process that got no answer.
        self._unanswered: set[tuple[str, int]] = set()

    def carry_out(self, orders: Orders) -> None:
        """Start on all orders that are not under way."""
        todo = self._state.accept(orders)
        for stop in todo.stops:
            self._pool.submit(self._stop, stop)
        for start in todo.starts:
            self._pool.submit(self._start, start)
        for refused in todo.refusals:
            # A copy of the order may have been carried out without an answer, so the run counts
            # as rejected only once it is stopped and listed nowhere.
            self._pool.submit(self._stop, StopOrder(refused.task, refused.run))

    def _start(self, order: StartOrder) -> None:
        state = self._state
        began = monotonic()
        outcome, deadline = "started", state.deadline_ms()
        try:
            if deadline is None:
                outcome = "no contact to an owner"
                return
            self._runner.start(state.token, order, deadline)
            state.started(order)
        except RefusedError as exc:
            outcome = exc.reason
            self._metrics.count(f'starts_refused{{reason="{exc.reason}"}}')
            self._reject(order, exc.reason)
        except (StoreBusyError, StoreSilentError) as exc:
            self._unanswered.add((order.task, order.run))
            # The owner repeats the order until the run is listed or rejected.
            outcome = str(exc)
            self._metrics.count("starts_unanswered")
        finally:
            state.finished(order.task)
            change(
                "start",
                task=order.task,
                run=order.run,
                token=state.token,
                outcome=outcome,
                took_ms=round((monotonic() - began) * 1000, 1),
            )

    def _reject(self, order: StartOrder, reason: str) -> None:
        """Make the refusal final, as an earlier copy of the order may still arrive.

        If such a copy got no answer it may have started, so its end or absence has to be listed.
        """
        try:
            self._runner.stop(self._state.token, StopOrder(order.task, order.run))
        except (StoreBusyError, StoreSilentError, RefusedError) as exc:
            change("refused start stays open", task=order.task, run=order.run, why=str(exc))
            return
        if (order.task, order.run) in self._unanswered:
            self._unanswered.discard((order.task, order.run))
            self._state.stopped(StopOrder(order.task, order.run))
        else:
            self._state.reject(order.task, order.run, reason)

    def _stop(self, order: StopOrder) -> None:
        state = self._state
        outcome = "stopped"
        try:
            self._runner.stop(state.token, order)
            state.stopped(order)
        except (StoreBusyError, StoreSilentError, RefusedError) as exc:
            outcome = str(exc)
        finally:
            state.finished(order.task)
            change("stop", task=order.task, run=order.run, token=state.token, outcome=outcome)

    def close(self) -> None:
        """Wait for what is under way."""
        self._pool.shutdown(wait=True, cancel_futures=True)


class OwnerLink(Poller):
    """The pipe to the owner: reports go out, orders come in."""

    def __init__(self, state: TargetState, store: Store, orderer: Orderer) -> None:
        super().__init__("owner-link")
        self._state = state
        self._store = store
        self._orderer = orderer
        self._socket: pynng.Pair1 | None = None
        self._address = ""
        self._heard_at = monotonic()
        self._answered_at = float("-inf")
        self._looked_up_at = float("-inf")

    def poll(self) -> None:
        now = monotonic()
        if self._socket is None or now - self._heard_at > OWNER_SILENT_S:
            self._look_up(now)
        if self._socket is None:
            self.wait(LOOKUP_INTERVAL_S / 2)
            return
        self._state.news.wait(REPORT_INTERVAL_S)
        self._state.news.clear()
        report = self._state.report()
        if report is not None:
            try:
                self._socket.send(messages.encode(report))
            except pynng.exceptions.NNGException as exc:
                change("report not sent", owner=self._address, why=str(exc))
                self._look_up(monotonic())

    def _look_up(self, now: float) -> None:
        if now - self._looked_up_at < LOOKUP_INTERVAL_S:
            return
        self._looked_up_at = now
        try:
            member = self._store.leader(OWNER_GROUP)
        except (StoreBusyError, StoreSilentError, msgspec.DecodeError) as exc:
            change("owner lookup failed", why=str(exc))
            return
        address = member.partition("@")[2].partition("/")[0]
        answers = now - self._answered_at < OWNER_SILENT_S
        if not address or (address == self._address and answers):
            return
        # A pipe may have gone silent without an error, so the same address is dialled again too.
        self._close()
        change("owner found", owner=member)
        self._address = address
        self._heard_at = now
        socket = pynng.Pair1(
            send_timeout=_SEND_TIMEOUT_MS,
            recv_timeout=_RECEIVE_TIMEOUT_MS,
            reconnect_time_min=50,
            reconnect_time_max=300,
        )
        socket.dial(f"tcp://{address}", block=False)
        self._socket = socket
        threading.Thread(target=self._receive, args=(socket,), daemon=True).start()
        self._state.news.set()

    def _receive(self, socket: pynng.Pair1) -> None:
        while True:
            try:
                orders = messages.decode_orders(socket.recv())
            except pynng.exceptions.Timeout:
                if socket is not self._socket:
                    return
                continue
            except pynng.exceptions.Closed:
                return
            except msgspec.DecodeError as exc:
                change("orders cannot be decoded", why=str(exc))
                continue
            if not orders.token:
                # The far end does not own the schedule.
                self._answered_at = monotonic()
                self._heard_at = float("-inf")
                self._state.news.set()
                continue
            self._heard_at = self._answered_at = monotonic()
            self._orderer.carry_out(orders)

    def _close(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def stop(self) -> None:
        """End the thread and close the pipe."""
        super().stop()
        self._close()
