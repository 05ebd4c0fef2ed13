"""Which heartbeats to believe: lives that they claim, and their order within one life."""

from typing import NamedTuple

from comfreyshelf.fleet.jobs import Announcement, Incarnation
from comfreyshelf.ids import TargetId

# Foreign heartbeats may claim any number of lives. The newest are kept, as a runner repeats its own
# claim with each heartbeat.
MAX_CLAIMS = 8
# Longer than a runner's heartbeats are apart, and longer than most are late.
SERIES_TIMEOUT_S = 4.0


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


class HeartbeatSeries:
    """Which heartbeat of a life is the newest, by its sequence number.

    A heartbeat of another writer may carry a number far above those of the runner, whose own go on
    below it. So after SERIES_TIMEOUT_S without a higher number two rising ones count again. For
    example, 5, 900, 6, 7 and 8 at intervals of 2 s: 900 is in force until 8 replaces it. Not
    thread-safe.
    """

    def __init__(self, sequence: int, now: float) -> None:
        self._newest, self._newest_at = sequence, now
        # The last number that was not above the newest one.
        self._lower: int | None = None

    def accept(self, sequence: int, now: float) -> bool:
        """Record a heartbeat; returns whether it is the newest one."""
        is_rising = self._lower is not None and sequence > self._lower
        is_timed_out = now - self._newest_at >= SERIES_TIMEOUT_S
        if sequence <= self._newest and not (is_rising and is_timed_out):
            self._lower = sequence
            return False
        self._newest, self._newest_at, self._lower = sequence, now, None
        return True
