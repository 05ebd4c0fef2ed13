"""Lives of a target that heartbeats claim, until the runner itself confirms or denies them."""

from typing import NamedTuple

from comfreyshelf.fleet.jobs import Announcement, Incarnation
from comfreyshelf.ids import TargetId

# Foreign heartbeats may claim any number of lives. The newest are kept, as a runner repeats its own
# claim with each heartbeat.
MAX_CLAIMS = 8


class TargetLife(NamedTuple):
    """One life of a target; another one may follow on the same VM, also under the same id."""

    id: TargetId
    incarnation: Incarnation


class _Claim(NamedTuple):
    """A heartbeat, and when it was received on this process's clock."""

    announcement: Announcement
    received_at: float


class HeartbeatClaims:
    """Heartbeats of lives that have not answered a call yet.

    Anyone can send a heartbeat, and it may be late, so it proves neither that the life that it
    names has begun nor that another one has ended. Only the answer of the runner on this VM does:
    it refuses calls that are meant for another id, and states its incarnation. Not thread-safe.
    """

    def __init__(self) -> None:
        self._claims: dict[TargetLife, _Claim] = {}

    def add(self, announcement: Announcement, now: float) -> bool:
        """Keep a heartbeat until it is settled; returns False if a newer one is known."""
        life = TargetLife(announcement.id, announcement.incarnation)
        known = self._claims.pop(life, None)
        is_newer = known is None or known.announcement.sequence < announcement.sequence
        # The newest claims come last.
        self._claims[life] = _Claim(announcement, now) if known is None or is_newer else known
        if len(self._claims) > MAX_CLAIMS:
            del self._claims[next(iter(self._claims))]
        return is_newer

    def ids(self) -> list[TargetId]:
        """The ids to ask the runner for."""
        return list(dict.fromkeys(life.id for life in self._claims))

    def settle(
        self, target: TargetId, incarnation: Incarnation | None, asked_at: float
    ) -> Announcement | None:
        """Settle the claims of an id by the runner's answer to a call that named it.

        `incarnation` is the one that has answered, None if the runner has another id. Returns the
        heartbeat of that life, if there was one. Claims that came after the runner was asked stay.
        """
        confirmed = None
        for life, claim in list(self._claims.items()):
            if life.id != target:
                continue
            if life.incarnation == incarnation:
                confirmed = claim.announcement
            if life.incarnation == incarnation or claim.received_at <= asked_at:
                del self._claims[life]
        return confirmed
