"""What each end of a pipe knows of the other, so that unchanged statuses are not sent again."""

from collections import OrderedDict
from collections.abc import Iterator

import msgspec

from comfreyshelf.ids import TargetId
from comfreyshelf.messages import Heartbeat, Renewal, Status, Welcome


class Peer(msgspec.Struct):
    """What a target knows of one entry: the last status that it has, and its last welcome."""

    acknowledged: int = 0
    welcome: Welcome | None = None


class StatusSender:
    """The target's side: chooses between a full status and a heartbeat for each link."""

    def __init__(self) -> None:
        self._peers: dict[str, Peer] = {}
        self._sequence = 0
        self._contents: tuple[object, ...] = ()

    def number(self, status: Status) -> Status:
        """The status with its sequence number, which is a new one if the contents changed."""
        contents = (status.worker, status.parts, status.runners, status.draining)
        if contents != self._contents:
            self._contents = contents
            self._sequence += 1
        return msgspec.structs.replace(status, sequence=self._sequence)

    def message(self, link: str, status: Status) -> Status | Heartbeat:
        """What to send over `link` for a numbered status."""
        peer = self._peers.get(link)
        if peer is None or peer.acknowledged != status.sequence:
            return status
        return Heartbeat(
            status.worker.target, status.sent_at, status.sequence, status.epoch, status.version
        )

    def welcomed(self, link: str, welcome: Welcome) -> None:
        """Note a welcome and the status that it acknowledges."""
        peer = self._peers.setdefault(link, Peer())
        peer.acknowledged = welcome.known
        peer.welcome = welcome

    def renewed(self, link: str, renewal: Renewal) -> Welcome | None:
        """The welcome that a renewal stands for, or None if this process does not have it."""
        peer = self._peers.get(link)
        known = peer.welcome if peer is not None else None
        if known is None or known.digest != renewal.digest:
            return None
        return msgspec.structs.replace(known, echo=renewal.echo, lease_s=renewal.lease_s)

    def forget(self, link: str) -> None:
        """The entry has no status of this process, or its link is closed."""
        self._peers.pop(link, None)


class LastHeard:
    """Targets in the order in which they were heard, so that silent ones are found at the front.

    A scan of all targets took 0.25 ms a tick at 2,000 targets.
    """

    def __init__(self) -> None:
        self._times: OrderedDict[TargetId, float] = OrderedDict()

    def __iter__(self) -> Iterator[TargetId]:
        return iter(self._times)

    def heard(self, target: TargetId, now: float) -> None:
        """Note that a target was heard; `now` must not go back."""
        self._times[target] = now
        self._times.move_to_end(target)

    def forget(self, target: TargetId) -> None:
        """Expect nothing more from a target."""
        self._times.pop(target, None)

    def pop_silent(self, horizon: float) -> list[TargetId]:
        """Remove and return the targets that were last heard before `horizon`."""
        silent: list[TargetId] = []
        while self._times:
            target, heard_at = next(iter(self._times.items()))
            if heard_at >= horizon:
                break
            del self._times[target]
            silent.append(target)
        return silent
