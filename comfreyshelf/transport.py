"""pynng pipes between entries and target processes: the listener of an entry, links of a target."""

import threading
import time
from collections.abc import Callable

import msgspec
import pynng

from comfreyshelf.errors import RecordError
from comfreyshelf.ids import TargetId, ZoneId
from comfreyshelf.messages import (
    AnyMessage,
    Heartbeat,
    Status,
    StatusWanted,
    decode_frame,
    decode_message,
    encode_frame,
    encode_message,
)
from comfreyshelf.metrics import LinkPeer, Metrics
from comfreyshelf.tasks import Poller
from comfreyshelf.tls import TlsFiles, pipe_client_config, pipe_server_config, pipe_url

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# Closing a socket wakes its receiving thread. If the wake-up is missed, the thread ends after this
# time at the latest.
_RECEIVE_TIMEOUT_MS = 5000
# nng sends in the background and drops unsent messages when a socket is closed, so a socket is
# closed only after this delay.
_CLOSE_DELAY_S = 0.1
_SEND_TIMEOUT_MS = 500
_SOCKET_BUFFER_MESSAGES = 256
# A polyamorous Pair1 socket queues two frames per pipe and drops further ones without an error: of
# 200 small messages sent at once, 140 were lost. Frames to one pipe are therefore this far apart.
_FRAME_INTERVAL_S = 0.001
MAX_FRAME_BYTES = 1024 * 1024
# Messages that may wait for one pipe. Further ones are refused, as if the pipe were down.
MAX_OUTBOX_MESSAGES = 4096
UNKNOWN_PEER = LinkPeer()


class Outbox(msgspec.Struct):
    """Encoded messages that wait to be sent on one pipe."""

    pipe: pynng.Pipe
    messages: list[bytes] = []

    def pop_frame(self) -> list[bytes]:
        """Remove and return the messages of the next frame.

        These are as many as fit into MAX_FRAME_BYTES, but at least one.
        """
        size = len(self.messages[0])
        count = 1
        while count < len(self.messages) and size + len(self.messages[count]) <= MAX_FRAME_BYTES:
            size += len(self.messages[count])
            count += 1
        taken = self.messages[:count]
        self.messages = self.messages[count:]
        return taken


class Hub(Poller):
    """The pipe listener of an entry.

    `on_message` is called with each message and its target; the target of a pipe is known from the
    first `Status` on it. `is_cross_region` tells whether a zone lies in another region than the
    entry, for the byte counters. `revision` grows whenever a target's pipe opens or closes.
    """

    def __init__(
        self,
        address: str,
        metrics: Metrics,
        on_message: Callable[[TargetId, AnyMessage], None],
        is_cross_region: Callable[[ZoneId], bool] = lambda _: False,
        tls: TlsFiles | None = None,
    ) -> None:
        super().__init__("hub")
        self.revision = 0
        self._address = address
        self._is_cross_region = is_cross_region
        self._tls = tls
        self._peers: dict[int, LinkPeer] = {}
        self._metrics = metrics
        self._on_message = on_message
        self._lock = threading.Lock()
        self._pipes: dict[TargetId, pynng.Pipe] = {}
        self._incarnations: dict[TargetId, int] = {}
        self._targets: dict[int, TargetId] = {}
        self._outboxes: dict[int, Outbox] = {}
        self._has_output = threading.Event()
        self._sender_thread = threading.Thread(
            target=self._send_frames, name="hub-sender", daemon=True
        )
        self._socket: pynng.Pair1 | None = None

    def start(self) -> None:
        """Listen, then start the sending and the receiving thread."""
        self._socket = pynng.Pair1(
            polyamorous=True,
            recv_timeout=_RECEIVE_TIMEOUT_MS,
            send_timeout=_SEND_TIMEOUT_MS,
            recv_max_size=MAX_MESSAGE_BYTES,
            recv_buffer_size=_SOCKET_BUFFER_MESSAGES,
            send_buffer_size=_SOCKET_BUFFER_MESSAGES,
        )
        self._socket.add_post_pipe_remove_cb(self._on_pipe_removed)
        if self._tls is not None:
            self._socket.tls_config = pipe_server_config(self._tls)
        self._socket.listen(pipe_url(self._address, self._tls))
        self._sender_thread.start()
        super().start()

    def stop(self) -> None:
        """Send the waiting messages, close the socket, and end the threads."""
        self._stopping.set()
        if self._socket is not None:
            if self._sender_thread.is_alive():
                self._has_output.set()
                self._sender_thread.join()
            time.sleep(_CLOSE_DELAY_S)
            self._socket.close()
        super().stop()

    def is_connected(self, target: TargetId) -> bool:
        """Whether there is a pipe to a target."""
        with self._lock:
            return target in self._pipes

    def targets(self) -> list[TargetId]:
        """Targets with an open pipe."""
        with self._lock:
            return list(self._pipes)

    def send(self, target: TargetId, message: AnyMessage) -> bool:
        """Queue a message; False if there is no pipe to the target or its outbox is full."""
        with self._lock:
            pipe = self._pipes.get(target)
        return pipe is not None and self._enqueue(pipe, message)

    def _enqueue(self, pipe: pynng.Pipe, message: AnyMessage) -> bool:
        data = encode_message(message)
        with self._lock:
            outbox = self._outboxes.setdefault(pipe.id, Outbox(pipe))
            if len(outbox.messages) >= MAX_OUTBOX_MESSAGES:
                self._metrics.count("pipe_send_failed")
                return False
            outbox.messages.append(data)
        self._has_output.set()
        return True

    def _send_frames(self) -> None:
        """Send waiting messages, at most one frame per pipe in each _FRAME_INTERVAL_S."""
        while True:
            self._has_output.wait()
            self._has_output.clear()
            with self._lock:
                frames = [(box.pipe, box.pop_frame()) for box in self._outboxes.values()]
                self._outboxes = {key: box for key, box in self._outboxes.items() if box.messages}
                if self._outboxes:
                    self._has_output.set()
            for pipe, messages in frames:
                self._send_frame(pipe, encode_frame(messages))
            if self._stopping.is_set() and not self._outboxes:
                return
            time.sleep(_FRAME_INTERVAL_S)

    def _send_frame(self, pipe: pynng.Pipe, data: bytes) -> None:
        try:
            pipe.send(data)
        except pynng.exceptions.NNGException:
            self._metrics.count("pipe_send_failed")
            return
        self._metrics.count_bytes_sent(self._peers.get(pipe.id, UNKNOWN_PEER), len(data))

    def poll(self) -> None:
        """Receive one message."""
        assert self._socket is not None
        try:
            received = self._socket.recv_msg()
        except pynng.Timeout:
            return
        except pynng.Closed:
            self._stopping.set()
            return
        data = received.bytes
        peer = self._peers.get(received.pipe.id, UNKNOWN_PEER)
        self._metrics.count_bytes_received(peer, len(data))
        try:
            message = decode_message(data)
        except RecordError:
            self._metrics.count("message_damaged")
            return
        if isinstance(message, Status) and not self._register_pipe(message, received.pipe):
            self._metrics.count("status_of_old_incarnation")
            return
        target = self._targets.get(received.pipe.id)
        if target is None:
            self._metrics.count("message_before_status")
            if isinstance(message, Heartbeat):
                self._enqueue(received.pipe, StatusWanted())
            return
        if isinstance(message, Heartbeat) and not self._is_current_pipe(target, received.pipe):
            self._metrics.count("status_of_old_incarnation")
            return
        self._on_message(target, message)

    def _register_pipe(self, status: Status, pipe: pynng.Pipe) -> bool:
        """Register the pipe of a status; returns False while a newer incarnation is connected.

        A target process that was replaced while it was paused may resume. It must neither be
        mistaken for the new process nor get a lease, so that it stops its parts.
        """
        target = status.worker.target
        incarnation = status.worker.incarnation
        with self._lock:
            if target in self._pipes and incarnation < self._incarnations[target]:
                self._targets.pop(pipe.id, None)
                return False
            previous = self._pipes.get(target)
            self.revision += previous is None or previous.id != pipe.id
            self._pipes[target] = pipe
            zone = status.worker.zone
            self._peers[pipe.id] = LinkPeer(zone, self._is_cross_region(zone))
            self._incarnations[target] = incarnation
            self._targets[pipe.id] = target
        return True

    def _is_current_pipe(self, target: TargetId, pipe: pynng.Pipe) -> bool:
        """Whether a pipe belongs to the newest incarnation, the only one that may get a lease."""
        with self._lock:
            current = self._pipes.get(target)
        return current is not None and current.id == pipe.id

    def _on_pipe_removed(self, pipe: pynng.Pipe) -> None:
        with self._lock:
            target = self._targets.pop(pipe.id, None)
            self._peers.pop(pipe.id, None)
            current = self._pipes.get(target) if target is not None else None
            if target is not None and current is not None and current.id == pipe.id:
                del self._pipes[target]
                del self._incarnations[target]
                self.revision += 1


class Link(Poller):
    """A target process's pipe to one entry.

    `on_message` is called with the entry's address and each message from it. `peer` is unknown
    until the entry has told its zone.
    """

    def __init__(
        self,
        address: str,
        metrics: Metrics,
        on_message: Callable[[str, AnyMessage], None],
        tls: TlsFiles | None = None,
    ) -> None:
        super().__init__(f"link-{address}")
        self.address = address
        self.peer = UNKNOWN_PEER
        self._tls = tls
        self._metrics = metrics
        self._on_message = on_message
        self._socket: pynng.Pair1 | None = None

    def start(self) -> None:
        """Dial without blocking; pynng reconnects by itself when the pipe breaks."""
        self._socket = pynng.Pair1(
            polyamorous=False,
            recv_timeout=_RECEIVE_TIMEOUT_MS,
            send_timeout=_SEND_TIMEOUT_MS,
            recv_max_size=MAX_MESSAGE_BYTES,
            send_buffer_size=_SOCKET_BUFFER_MESSAGES,
            reconnect_time_min=100,
            reconnect_time_max=1000,
        )
        if self._tls is not None:
            self._socket.tls_config = pipe_client_config(self._tls, self.address)
        self._socket.dial(pipe_url(self.address, self._tls), block=False)
        super().start()

    def stop(self) -> None:
        """Wait until the last messages are sent, close the socket, and end the thread."""
        self._stopping.set()
        if self._socket is not None:
            time.sleep(_CLOSE_DELAY_S)
            self._socket.close()
        super().stop()

    @property
    def is_connected(self) -> bool:
        """Whether the pipe is up."""
        return self._socket is not None and bool(self._socket.pipes)

    def send(self, message: AnyMessage) -> bool:
        """Send a message without blocking; False if the pipe is down or its buffer is full."""
        if self._socket is None or not self.is_connected:
            return False
        data = encode_message(message)
        try:
            # A paused entry must not block the target's only thread, so a full buffer is an error.
            self._socket.send(data, block=False)
        except pynng.exceptions.NNGException:
            self._metrics.count("pipe_send_failed")
            return False
        self._metrics.count_bytes_sent(self.peer, len(data))
        return True

    def poll(self) -> None:
        """Receive one frame."""
        assert self._socket is not None
        try:
            data = self._socket.recv()
        except pynng.Timeout:
            return
        except pynng.Closed:
            self._stopping.set()
            return
        self._metrics.count_bytes_received(self.peer, len(data))
        try:
            messages = decode_frame(data)
        except RecordError:
            self._metrics.count("message_damaged")
            return
        for message in messages:
            self._on_message(self.address, message)
