"""The group whose leader owns the schedule."""

import threading
import time
from collections.abc import Callable

import msgspec

from comfreyshelf.fleet.bounds import monotonic
from comfreyshelf.fleet.followers import RETRY_S
from comfreyshelf.fleet.store import (
    OWNER_GROUP,
    Membership,
    Store,
    StoreBusyError,
    StoreSilentError,
)
from comfreyshelf.logs import log_event
from comfreyshelf.tasks import Poller

# A member that sends nothing for this long loses the schedule to another one.
MEMBER_TTL_MS = 1200
JOIN_INTERVAL_S = 0.3
MOVED_INTERVAL_S = 0.03
# An entry that does not lead looks this often whether anyone does.
WATCH_INTERVAL_S = 0.3
# A member that does not lead leaves the group after this long.
SPARE_S = 3.0
# A stopping entry lets others take the lead for this long.
STOPPING_WAIT_S = 1.0
OWNER_TOPIC = "owner"


class Member(Poller):
    """Watches the group whose leader owns the schedule, and joins it while it has no leader.

    A member that joins takes the lead from the present one, so only an entry that finds none joins.
    Each term has a member name of its own, so that the group's generation, which is the epoch of
    the owner's writes, is never used by two terms.
    """

    def __init__(self, store: Store, name: str, told: Callable[[Membership], None]) -> None:
        super().__init__("member")
        self._store = store
        self._name = name
        self._told = told
        self._generation = 0
        self._member = ""
        self._led_at = float("-inf")
        self._renew = threading.Event()
        # A stopping entry leads only when nobody else does.
        self.stopping = False

    def end_term(self) -> None:
        """Leave the group, and join it again as another member when it has no leader."""
        self._renew.set()

    def poll(self) -> None:
        try:
            if self._renew.is_set():
                self._renew.clear()
                self._leave()
            self.wait(self._stay() if self._member else self._watch())
        except (StoreBusyError, StoreSilentError, msgspec.DecodeError):
            self.wait(RETRY_S)

    def _watch(self) -> float:
        """Join if nobody leads; returns the seconds until the next look."""
        now = monotonic()
        if self._store.leader(OWNER_GROUP):
            self._led_at = now
            self._told(Membership(self._generation, False))
            return WATCH_INTERVAL_S
        if self.stopping and now - self._led_at < STOPPING_WAIT_S:
            return WATCH_INTERVAL_S
        self._member = f"{self._name}/{time.time_ns() // 1_000_000}"
        self._led_at = monotonic()
        return 0.0

    def _stay(self) -> float:
        """Renew the membership; returns the seconds until the next renewal."""
        membership = self._store.join(
            OWNER_GROUP, self._member, OWNER_TOPIC, MEMBER_TTL_MS, self._generation
        )
        moved = membership.generation != self._generation
        self._generation = membership.generation
        if not self._renew.is_set():
            self._told(membership)
        if membership.leads:
            self._led_at = monotonic()
        elif monotonic() - self._led_at > SPARE_S:
            self._leave()
        # A partition moves only once its last holder has joined with the new generation.
        return MOVED_INTERVAL_S if moved else JOIN_INTERVAL_S

    def _leave(self) -> None:
        member, self._member = self._member, ""
        if not member:
            return
        try:
            self._store.leave(OWNER_GROUP, member)
        except (StoreBusyError, StoreSilentError) as exc:
            log_event("group not left", why=str(exc))

    def stop(self) -> None:
        """End the thread and leave the group, so that another member leads at once."""
        super().stop()
        self._leave()
