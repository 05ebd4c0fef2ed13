"""Server side of the connections between the owner and the target processes."""

import threading
from collections.abc import Callable

import msgspec
import pynng

from comfreyshelf.fleet import messages
from comfreyshelf.fleet.messages import Orders, TargetMessage, TokenRequest
from comfreyshelf.ids import TargetId
from comfreyshelf.kernel import Service
from comfreyshelf.logs import log_event

_SEND_TIMEOUT_MS = 200


class Hub(Service):
    """Accepts target processes; orders go to the connection of a target's latest report.

    They go to a machine, by its name, if its target process has asked for a token only.
    """

    def __init__(self, address: str, on_message: Callable[[TargetMessage], None]) -> None:
        self._address = address
        self._on_message = on_message
        self._pipes: dict[str, pynng.Pipe] = {}
        self._socket: pynng.Pair1 | None = None

    def start(self) -> None:
        """Listen on the address and start the receiving thread."""
        self._socket = pynng.Pair1(polyamorous=True, send_timeout=_SEND_TIMEOUT_MS)
        self._socket.listen(f"tcp://{self._address}")
        threading.Thread(target=self._receive, args=(self._socket,), daemon=True).start()

    def stop(self) -> None:
        """Close the socket and all connections."""
        if self._socket is not None:
            self._socket.close()

    def _receive(self, socket: pynng.Pair1) -> None:
        while True:
            try:
                received = socket.recv_msg()
                message = messages.decode_target_message(received.bytes)
            except pynng.exceptions.Closed:
                return
            except (pynng.exceptions.NNGException, msgspec.DecodeError) as exc:
                log_event("report could not be received or decoded", why=str(exc))
                continue
            self._pipes[_sender(message)] = received.pipe
            self._on_message(message)

    def send(self, recipient: TargetId | str, orders: Orders) -> None:
        """Send orders to a target, or to a machine that has asked for a token.

        A lost message is harmless, as orders repeat until a report shows them.
        """
        pipe = self._pipes.get(recipient)
        if pipe is None:
            return
        try:
            pipe.send(messages.encode(orders))
        except pynng.exceptions.NNGException as exc:
            log_event("orders not sent", target=recipient, why=str(exc))


def _sender(message: TargetMessage) -> str:
    """The recipient of the orders that answer a message."""
    return message.machine if isinstance(message, TokenRequest) else message.announcement.id
