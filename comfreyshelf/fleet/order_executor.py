"""Carries out the owner's orders on the runner of a target process."""

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from comfreyshelf.fleet.bounds import CONTACT_GRACE_S, monotonic
from comfreyshelf.fleet.evacuation.zone_guard import ZONE_EVACUATED
from comfreyshelf.fleet.heartbeat_claims import TargetLife
from comfreyshelf.fleet.jobs import Token
from comfreyshelf.fleet.messages import Orders, StartOrder, StopOrder
from comfreyshelf.fleet.store import ConnectionLostError, StoreBusyError, StoreSilentError
from comfreyshelf.fleet.target_runner import RefusedError, Runner
from comfreyshelf.fleet.target_state import TargetState
from comfreyshelf.logs import log_event
from comfreyshelf.metrics import Metrics

_ORDER_THREADS = 4


class _Origin(NamedTuple):
    """Under which token an order came, for which life of the target, and when."""

    token: Token
    life: TargetLife
    received_at: float


class OrderExecutor:
    """Carries out orders on the runner in a thread pool, and records the outcome in the state."""

    def __init__(self, state: TargetState, runner: Runner, metrics: Metrics) -> None:
        self._state = state
        self._runner = runner
        self._metrics = metrics
        self._pool = ThreadPoolExecutor(_ORDER_THREADS, "order")
        # Starts (task, run) sent by this process that the runner has not answered.
        self._unanswered_starts: set[tuple[str, int]] = set()
        # Protects `_is_closed`, after which the pool takes no more work.
        self._submit_lock = threading.Lock()
        self._is_closed = False

    def execute(self, orders: Orders) -> None:
        """Submit all orders that are not already in progress; none once the process stops."""
        with self._submit_lock:
            if self._is_closed:
                self._metrics.count("orders_while_stopping")
                return
            self._submit(orders)

    def _submit(self, orders: Orders) -> None:
        pending = self._state.apply_orders(orders)
        origin = _Origin(pending.token, pending.life, monotonic())
        for stop in pending.stops:
            self._pool.submit(self._stop, origin, stop)
        for start in pending.starts:
            self._pool.submit(self._start, origin, start)
        for order in pending.refused_starts:
            self._metrics.count(f'starts_refused{{reason="{pending.refusal_reason}"}}')
            log_event(
                "start refused",
                task=order.task,
                run=order.run,
                token=pending.token,
                why=pending.refusal_reason,
            )
            # The runner may have carried out an earlier copy of the order without an answer, so the
            # run counts as rejected only once it is stopped and no listing shows it.
            self._pool.submit(self._stop, origin, StopOrder(order.task, order.run))

    def _is_outdated(self, origin: _Origin) -> bool:
        """Whether an order has lost its ground since it came.

        Another owner has taken over, another runner has followed, or this process was paused. An
        owner repeats the orders that it still wants.
        """
        return (
            origin.token < self._state.token
            or origin.life != self._state.life
            or monotonic() - origin.received_at > CONTACT_GRACE_S
        )

    def _start(self, origin: _Origin, order: StartOrder) -> None:
        state = self._state
        started_at = monotonic()
        outcome, deadline_ms = "started", state.lease_deadline_ms()
        try:
            if self._is_outdated(origin):
                outcome = "outdated"
                self._metrics.count("orders_outdated")
                return
            if deadline_ms is None:
                outcome = "no contact to an owner"
                return
            if state.is_zone_evacuated():
                # The evacuation came after the order. The owner repeats the order, which is then
                # refused.
                outcome = ZONE_EVACUATED
                self._metrics.count("starts_in_flight_withheld")
                return
            is_first = state.record_start_sent(origin.life, order)
            try:
                self._runner.start(origin.token, origin.life.id, order, deadline_ms)
            except (RefusedError, StoreBusyError):
                if is_first:
                    state.record_start_not_done(order)
                raise
            state.record_started(origin.life, order)
        except RefusedError as exc:
            outcome = exc.reason
            self._metrics.count(f'starts_refused{{reason="{exc.reason}"}}')
            self._reject(origin, order, exc.reason)
        except (StoreBusyError, StoreSilentError) as exc:
            self._unanswered_starts.add((order.task, order.run))
            if isinstance(exc, StoreSilentError) and not isinstance(exc, ConnectionLostError):
                state.record_start_silent(origin.life)
            # The owner repeats the order until the run is listed or rejected.
            outcome = str(exc)
            self._metrics.count("starts_unanswered")
        finally:
            state.close_order(order.task)
            log_event(
                "start",
                task=order.task,
                run=order.run,
                token=origin.token,
                outcome=outcome,
                took_ms=round((monotonic() - started_at) * 1000, 1),
            )

    def _reject(self, origin: _Origin, order: StartOrder, reason: str) -> None:
        """Stop the run before rejecting it, as an earlier copy of the order may still arrive.

        If an earlier copy got no answer, or may have been sent by an earlier process, it may have
        started the run. The run then counts as rejected only once a listing shows that it ended or
        is absent.
        """
        stop = StopOrder(order.task, order.run)
        try:
            self._runner.stop(origin.token, origin.life.id, stop)
        except (StoreBusyError, StoreSilentError, RefusedError) as exc:
            log_event("refused start stays open", task=order.task, run=order.run, why=str(exc))
            return
        is_unanswered = (order.task, order.run) in self._unanswered_starts
        self._unanswered_starts.discard((order.task, order.run))
        if is_unanswered or self._state.may_have_unknown_starts():
            self._state.record_stopped(origin.life, stop)
        else:
            self._state.reject(origin.life, order.task, order.run, reason)

    def _stop(self, origin: _Origin, order: StopOrder) -> None:
        state = self._state
        outcome = "stopped"
        try:
            if self._is_outdated(origin):
                outcome = "outdated"
                self._metrics.count("orders_outdated")
                return
            self._runner.stop(origin.token, origin.life.id, order)
            state.record_stopped(origin.life, order)
        except (StoreBusyError, StoreSilentError, RefusedError) as exc:
            outcome = str(exc)
        finally:
            state.close_order(order.task)
            log_event("stop", task=order.task, run=order.run, token=origin.token, outcome=outcome)

    def close(self) -> None:
        """Cancel queued orders and wait for those in progress."""
        with self._submit_lock:
            self._is_closed = True
        self._pool.shutdown(wait=True, cancel_futures=True)
