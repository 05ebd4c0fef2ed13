"""Leader election for ownership of the schedule, through a group of the store."""

import random
import threading
import time
from collections.abc import Callable

import msgspec

from comfreyshelf.fleet.bounds import monotonic
from comfreyshelf.fleet.entry_sync import RETRY_S
from comfreyshelf.fleet.store import (
    OWNER_GROUP,
    Membership,
    Store,
    StoreBusyError,
    StoreSilentError,
)
from comfreyshelf.logs import log_event
from comfreyshelf.tasks import Poller

# The store drops a member that has not renewed for this long, and another one can lead.
MEMBER_TTL_MS = 1200
JOIN_INTERVAL_S = 0.3
# Interval after a change of the group's generation, so that the partition moves soon.
REBALANCE_JOIN_INTERVAL_S = 0.03
# How often an entry outside the group checks whether the group has a leader.
WATCH_INTERVAL_S = 0.3
# An entry that finds the group without a leader waits a random time up to this limit and looks
# again, because each entry that joins moves the lead. A VM with more than REFERENCE_CORES waits
# for less, as the owner plans faster there.
MAX_CANDIDATE_DELAY_S = 0.3
REFERENCE_CORES = 0.5
# A member that has not led for this long leaves the group.
NON_LEADER_TIMEOUT_S = 3.0
# A stopping entry gives other entries this long to take the lead before it joins.
STOPPING_WAIT_S = 1.0
OWNER_TOPIC = "owner"
# What was read of the leader says nothing about the present one after this long.
LEADER_VALID_S = 3.0


def control_address(member: str) -> str:
    """The control address in a member's name; empty if its version does not state it."""
    return member.partition("@")[2].partition("/")[2].partition("/")[2]


class LeaderElection(Poller):
    """Watches the group whose leader owns the schedule, and joins it if it has no leader.

    A joining member takes leadership from the current leader, so an entry joins only if there is
    none. Each term uses a new member name, so that no two terms share the group's generation, which
    is the epoch of the owner's writes. `on_membership` receives the membership after each renewal,
    and a membership without leadership whenever the store reports another leader. Members are named
    NAME@PIPE_ADDRESS/START_TIME/CONTROL_ADDRESS.
    """

    def __init__(
        self,
        store: Store,
        name_prefix: str,
        cores: float,
        on_membership: Callable[[Membership], None],
        control_address: str = "",
    ) -> None:
        super().__init__("member")
        self._store = store
        self._name_prefix = name_prefix
        self._control_address = control_address
        # The member that led when the store was last asked, and when that was.
        self._known_leader = ("", float("-inf"))
        self._max_delay_s = MAX_CANDIDATE_DELAY_S * min(1.0, REFERENCE_CORES / cores)
        self._rng = random.Random(name_prefix)
        self._is_candidate = False
        self._is_leader = False
        self._renewed_at = float("-inf")
        self._on_membership = on_membership
        self._generation = 0
        self._member_name = ""
        self._leader_seen_at = float("-inf")
        self._term_ended = threading.Event()
        # A stopping entry takes the lead only if no other entry does.
        self.stopping = False

    def end_term(self) -> None:
        """Leave the group; rejoin under a new member name once it has no leader."""
        self._term_ended.set()

    @property
    def leader(self) -> str:
        """The name of the member that leads; empty if there is none or none is known."""
        if self._is_leader:
            return self._member_name
        name, read_at = self._known_leader
        return name if monotonic() - read_at <= LEADER_VALID_S else ""

    def _find_leader(self) -> str:
        leader = self._store.find_leader(OWNER_GROUP)
        self._known_leader = (leader, monotonic())
        return leader

    def poll(self) -> None:
        try:
            if self._term_ended.is_set():
                self._term_ended.clear()
                self._leave()
            self.wait(self._renew_membership() if self._member_name else self._watch_leader())
        except (StoreBusyError, StoreSilentError, msgspec.DecodeError):
            self.wait(RETRY_S)

    def _watch_leader(self) -> float:
        """Prepare to join if there is no leader; returns the seconds until the next poll."""
        now = monotonic()
        if self._find_leader():
            self._leader_seen_at = now
            self._is_candidate = False
            self._on_membership(Membership(self._generation, False))
            return WATCH_INTERVAL_S
        if self.stopping and now - self._leader_seen_at < STOPPING_WAIT_S:
            return WATCH_INTERVAL_S
        if not self._is_candidate:
            self._is_candidate = True
            return self._rng.uniform(0.0, self._max_delay_s)
        self._is_candidate = False
        started_ms = time.time_ns() // 1_000_000
        self._member_name = f"{self._name_prefix}/{started_ms}/{self._control_address}"
        self._leader_seen_at = self._renewed_at = monotonic()
        return 0.0

    def _renew_membership(self) -> float:
        """Renew the membership; returns the seconds until the next renewal."""
        requested_at = monotonic()
        if requested_at - self._renewed_at > MEMBER_TTL_MS / 1000 and self._has_lost_lead():
            return WATCH_INTERVAL_S
        membership = msgspec.structs.replace(
            self._store.join(
                OWNER_GROUP, self._member_name, OWNER_TOPIC, MEMBER_TTL_MS, self._generation
            ),
            requested_at=requested_at,
        )
        self._renewed_at = requested_at
        has_new_generation = membership.generation != self._generation
        self._generation = membership.generation
        if not self._term_ended.is_set():
            self._on_membership(membership)
        was_leader, self._is_leader = self._is_leader, membership.is_leader
        if membership.is_leader:
            self._leader_seen_at = monotonic()
        elif was_leader and self._has_lost_lead():
            return WATCH_INTERVAL_S
        elif monotonic() - self._leader_seen_at > NON_LEADER_TIMEOUT_S:
            self._leave()
        # A partition moves only after its previous holder has joined with the new generation.
        return REBALANCE_JOIN_INTERVAL_S if has_new_generation else JOIN_INTERVAL_S

    def _has_lost_lead(self) -> bool:
        """Whether another member leads now; if so, this one leaves the group.

        Staying in it, or renewing a membership that has lapsed in a pause, could move the lead away
        from that member.
        """
        leader = self._find_leader()
        if not leader or leader == self._member_name:
            return False
        self._leave()
        self._on_membership(Membership(self._generation, False))
        return True

    def _leave(self) -> None:
        member_name, self._member_name = self._member_name, ""
        self._is_leader = False
        if not member_name:
            return
        try:
            self._store.leave(OWNER_GROUP, member_name)
        except (StoreBusyError, StoreSilentError) as exc:
            log_event("group not left", why=str(exc))

    def stop(self) -> None:
        """End the thread and leave the group, so that another member can lead at once."""
        super().stop()
        self._leave()
