"""Server side of the connections between the owner and the target processes."""

import threading
from collections.abc import Callable

import msgspec
import pynng

from comfreyshelf.fleet import messages
from comfreyshelf.fleet.messages import Orders, Report
from comfreyshelf.ids import TargetId
from comfreyshelf.kernel import Service
from comfreyshelf.logs import log_event

_SEND_TIMEOUT_MS = 200


class Hub(Service):
    """Accepts target processes; orders go to the connection of a target's latest report."""

    def __init__(self, address: str, on_report: Callable[[Report], None]) -> None:
        self._address = address
        self._on_report = on_report
        self._pipes: dict[TargetId, pynng.Pipe] = {}
        self._socket: pynng.Pair1 | None = None

    def start(self) -> None:
        """Listen on the address and start the receiving thread."""
        self._socket = pynng.Pair1(polyamorous=True, send_timeout=_SEND_TIMEOUT_MS)
        self._socket.listen(f"tcp://{self._address}")
        threading.Thread(target=self._receive_reports, args=(self._socket,), daemon=True).start()

    def stop(self) -> None:
        """Close the socket and all connections."""
        if self._socket is not None:
            self._socket.close()

    def _receive_reports(self, socket: pynng.Pair1) -> None:
        while True:
            try:
                message = socket.recv_msg()
                report = messages.decode_report(message.bytes)
            except pynng.exceptions.Closed:
                return
            except (pynng.exceptions.NNGException, msgspec.DecodeError) as exc:
                log_event("report could not be received or decoded", why=str(exc))
                continue
            self._pipes[report.announcement.id] = message.pipe
            self._on_report(report)

    def send(self, target: TargetId, orders: Orders) -> None:
        """Send orders; a lost message is harmless, as orders repeat until a report shows them."""
        pipe = self._pipes.get(target)
        if pipe is None:
            return
        try:
            pipe.send(messages.encode(orders))
        except pynng.exceptions.NNGException as exc:
            log_event("orders not sent", target=target, why=str(exc))
