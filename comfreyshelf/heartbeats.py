"""Bookkeeping of statuses and heartbeats, so that an unchanged status is not sent again."""

from collections import OrderedDict
from collections.abc import Iterator

import msgspec

from comfreyshelf.ids import TargetId
from comfreyshelf.messages import Heartbeat, Renewal, Status, Welcome


class LinkState(msgspec.Struct):
    """What a target knows of the entry on one link.

    `acknowledged` is the sequence number of the newest status that the entry has, 0 if none;
    `welcome` is its last welcome.
    """

    acknowledged: int = 0
    welcome: Welcome | None = None


class StatusSender:
    """Numbers the statuses of a target, and chooses a status or a heartbeat for each link."""

    def __init__(self) -> None:
        self._link_states: dict[str, LinkState] = {}
        self._sequence = 0
        self._contents: tuple[object, ...] = ()

    def with_sequence(self, status: Status) -> Status:
        """The status with its sequence number, which increases if the contents have changed."""
        contents = (status.worker, status.parts, status.runners, status.draining)
        if contents != self._contents:
            self._contents = contents
            self._sequence += 1
        return msgspec.structs.replace(status, sequence=self._sequence)

    def message_for(self, link: str, status: Status) -> Status | Heartbeat:
        """The message to send on `link`: a heartbeat if the entry has this status already."""
        state = self._link_states.get(link)
        if state is None or state.acknowledged != status.sequence:
            return status
        return Heartbeat(
            status.worker.target, status.sent_at, status.sequence, status.epoch, status.version
        )

    def on_welcome(self, link: str, welcome: Welcome) -> None:
        """Store a welcome and the sequence number of the status that it acknowledges."""
        state = self._link_states.setdefault(link, LinkState())
        state.acknowledged = welcome.known
        state.welcome = welcome

    def expand_renewal(self, link: str, renewal: Renewal) -> Welcome | None:
        """The stored welcome that `renewal` refers to, with the renewed lease.

        Returns None if the digest of the stored welcome differs or none is stored.
        """
        state = self._link_states.get(link)
        welcome = state.welcome if state is not None else None
        if welcome is None or welcome.digest != renewal.digest:
            return None
        return msgspec.structs.replace(welcome, echo=renewal.echo, lease_s=renewal.lease_s)

    def forget(self, link: str) -> None:
        """Drop the state of a link that is closed, or whose entry needs a full status."""
        self._link_states.pop(link, None)


class LastHeard:
    """Targets in the order in which they were last heard, so that silent ones are at the front.

    Without this order, a scan of all targets took 0.25 ms per tick with 2,000 targets.
    """

    def __init__(self) -> None:
        self._heard_at: OrderedDict[TargetId, float] = OrderedDict()

    def __iter__(self) -> Iterator[TargetId]:
        return iter(self._heard_at)

    def mark_heard(self, target: TargetId, now: float) -> None:
        """Record that a target was heard at `now`, which must not decrease between calls."""
        self._heard_at[target] = now
        self._heard_at.move_to_end(target)

    def forget(self, target: TargetId) -> None:
        """Remove a target, which will then not be reported as silent."""
        self._heard_at.pop(target, None)

    def pop_silent(self, heard_before: float) -> list[TargetId]:
        """Remove and return the targets that were last heard before `heard_before`."""
        silent: list[TargetId] = []
        while self._heard_at:
            target, heard_at = next(iter(self._heard_at.items()))
            if heard_at >= heard_before:
                break
            del self._heard_at[target]
            silent.append(target)
        return silent
