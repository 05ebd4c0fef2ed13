"""Client side of the connection from a target process to the owner of the schedule."""

import threading

import msgspec
import pynng

from comfreyshelf.fleet import messages
from comfreyshelf.fleet.bounds import REPORT_INTERVAL_S, monotonic
from comfreyshelf.fleet.order_executor import OrderExecutor
from comfreyshelf.fleet.store import OWNER_GROUP, Store, StoreBusyError, StoreSilentError
from comfreyshelf.fleet.target_state import TargetState
from comfreyshelf.logs import log_event
from comfreyshelf.tasks import Poller

# The owner is looked up again if no orders arrived for this long.
OWNER_TIMEOUT_S = 1.5
LOOKUP_INTERVAL_S = 0.4
_SEND_TIMEOUT_MS = 200
# The receiving thread checks this often whether its socket has been replaced.
_RECEIVE_TIMEOUT_MS = 2000


class OwnerLink(Poller):
    """Sends reports to the owner and passes on the orders that it receives."""

    def __init__(self, state: TargetState, store: Store, order_executor: OrderExecutor) -> None:
        super().__init__("owner-link")
        self._state = state
        self._store = store
        self._order_executor = order_executor
        self._socket: pynng.Pair1 | None = None
        self._address = ""
        self._orders_received_at = monotonic()
        self._message_received_at = float("-inf")
        self._looked_up_at = float("-inf")

    def poll(self) -> None:
        now = monotonic()
        if self._socket is None or now - self._orders_received_at > OWNER_TIMEOUT_S:
            self._find_owner(now)
        if self._socket is None:
            self.wait(LOOKUP_INTERVAL_S / 2)
            return
        self._state.report_due.wait(REPORT_INTERVAL_S)
        self._state.report_due.clear()
        message = self._state.message_to_owner()
        if message is not None:
            try:
                self._socket.send(messages.encode(message))
            except pynng.exceptions.NNGException as exc:
                log_event("report not sent", owner=self._address, why=str(exc))
                self._find_owner(monotonic())

    def _find_owner(self, now: float) -> None:
        if now - self._looked_up_at < LOOKUP_INTERVAL_S:
            return
        self._looked_up_at = now
        try:
            member = self._store.find_leader(OWNER_GROUP)
        except (StoreBusyError, StoreSilentError, msgspec.DecodeError) as exc:
            log_event("owner lookup failed", why=str(exc))
            return
        # Members are named NAME@ADDRESS/START_TIME/CONTROL_ADDRESS.
        address = member.partition("@")[2].partition("/")[0]
        is_responding = now - self._message_received_at < OWNER_TIMEOUT_S
        if not address or (address == self._address and is_responding):
            return
        # A broken connection may raise no error, so an unchanged address is dialled again too.
        self._close_socket()
        log_event("owner found", owner=member)
        self._address = address
        self._orders_received_at = now
        socket = pynng.Pair1(
            send_timeout=_SEND_TIMEOUT_MS,
            recv_timeout=_RECEIVE_TIMEOUT_MS,
            reconnect_time_min=50,
            reconnect_time_max=300,
        )
        socket.dial(f"tcp://{address}", block=False)
        self._socket = socket
        threading.Thread(target=self._receive_orders, args=(socket,), daemon=True).start()
        self._state.report_due.set()

    def _receive_orders(self, socket: pynng.Pair1) -> None:
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
                log_event("orders cannot be decoded", why=str(exc))
                continue
            if not orders.token:
                # Token 0: the entry that answered does not own the schedule.
                self._message_received_at = monotonic()
                self._orders_received_at = float("-inf")
                self._state.report_due.set()
                continue
            self._orders_received_at = self._message_received_at = monotonic()
            self._order_executor.execute(orders)

    def _close_socket(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def stop(self) -> None:
        """End the thread and close the connection."""
        super().stop()
        self._close_socket()
