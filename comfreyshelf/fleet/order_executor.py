"""Carries out the owner's orders on the runner of a target process."""

from concurrent.futures import ThreadPoolExecutor

from comfreyshelf.fleet.bounds import CONTACT_GRACE_S, monotonic
from comfreyshelf.fleet.jobs import Token
from comfreyshelf.fleet.messages import Orders, StartOrder, StopOrder
from comfreyshelf.fleet.store import StoreBusyError, StoreSilentError
from comfreyshelf.fleet.target_runner import RefusedError, Runner
from comfreyshelf.fleet.target_state import TargetState
from comfreyshelf.logs import log_event
from comfreyshelf.metrics import Metrics

_ORDER_THREADS = 4


class OrderExecutor:
    """Carries out orders on the runner in a thread pool, and records the outcome in the state."""

    def __init__(self, state: TargetState, runner: Runner, metrics: Metrics) -> None:
        self._state = state
        self._runner = runner
        self._metrics = metrics
        self._pool = ThreadPoolExecutor(_ORDER_THREADS, "order")
        # Starts (task, run) sent by this process that the runner has not answered.
        self._unanswered_starts: set[tuple[str, int]] = set()

    def execute(self, orders: Orders) -> None:
        """Submit all orders that are not already in progress."""
        pending = self._state.apply_orders(orders)
        received_at = monotonic()
        for stop in pending.stops:
            self._pool.submit(self._stop, pending.token, stop, received_at)
        for start in pending.starts:
            self._pool.submit(self._start, pending.token, start, received_at)
        for order in pending.refused_starts:
            # The runner may have carried out an earlier copy of the order without an answer, so the
            # run counts as rejected only once it is stopped and no listing shows it.
            stop = StopOrder(order.task, order.run)
            self._pool.submit(self._stop, pending.token, stop, received_at)

    def _is_outdated(self, token: Token, received_at: float) -> bool:
        """Whether another owner has taken over, or this process was paused, since the order came.

        An owner repeats the orders that it still wants.
        """
        return token < self._state.token or monotonic() - received_at > CONTACT_GRACE_S

    def _start(self, token: Token, order: StartOrder, received_at: float) -> None:
        state = self._state
        started_at = monotonic()
        outcome, deadline_ms = "started", state.lease_deadline_ms()
        try:
            if self._is_outdated(token, received_at):
                outcome = "outdated"
                self._metrics.count("orders_outdated")
                return
            if deadline_ms is None:
                outcome = "no contact to an owner"
                return
            is_first = state.record_start_sent(order)
            try:
                self._runner.start(token, order, deadline_ms)
            except (RefusedError, StoreBusyError):
                if is_first:
                    state.record_start_not_done(order)
                raise
            state.record_started(order)
        except RefusedError as exc:
            outcome = exc.reason
            self._metrics.count(f'starts_refused{{reason="{exc.reason}"}}')
            self._reject(token, order, exc.reason)
        except (StoreBusyError, StoreSilentError) as exc:
            self._unanswered_starts.add((order.task, order.run))
            # The owner repeats the order until the run is listed or rejected.
            outcome = str(exc)
            self._metrics.count("starts_unanswered")
        finally:
            state.close_order(order.task)
            log_event(
                "start",
                task=order.task,
                run=order.run,
                token=token,
                outcome=outcome,
                took_ms=round((monotonic() - started_at) * 1000, 1),
            )

    def _reject(self, token: Token, order: StartOrder, reason: str) -> None:
        """Stop the run before rejecting it, as an earlier copy of the order may still arrive.

        If an earlier copy got no answer, it may have started the run. The run then counts as
        rejected only once a listing shows that it ended or is absent.
        """
        try:
            self._runner.stop(token, StopOrder(order.task, order.run))
        except (StoreBusyError, StoreSilentError, RefusedError) as exc:
            log_event("refused start stays open", task=order.task, run=order.run, why=str(exc))
            return
        if (order.task, order.run) in self._unanswered_starts:
            self._unanswered_starts.discard((order.task, order.run))
            self._state.record_stopped(StopOrder(order.task, order.run))
        else:
            self._state.reject(order.task, order.run, reason)

    def _stop(self, token: Token, order: StopOrder, received_at: float) -> None:
        state = self._state
        outcome = "stopped"
        try:
            if self._is_outdated(token, received_at):
                outcome = "outdated"
                self._metrics.count("orders_outdated")
                return
            self._runner.stop(token, order)
            state.record_stopped(order)
        except (StoreBusyError, StoreSilentError, RefusedError) as exc:
            outcome = str(exc)
        finally:
            state.close_order(order.task)
            log_event("stop", task=order.task, run=order.run, token=token, outcome=outcome)

    def close(self) -> None:
        """Cancel queued orders and wait for those in progress."""
        self._pool.shutdown(wait=True, cancel_futures=True)
