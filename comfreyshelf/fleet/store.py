"""The interface to the platform's store, as the fleet uses it."""

from abc import ABC, abstractmethod

import msgspec

from comfreyshelf.errors import UserError

# The group whose leader owns the schedule.
OWNER_GROUP = "owner"


class StoreBusyError(UserError):
    """The store refused a call and did nothing."""


class StoreSilentError(UserError):
    """A call got no answer; the store may carry it out later."""


class FencedError(UserError):
    """A writer with a higher epoch has taken over."""


class ExpiredError(UserError):
    """The records at that offset are no longer kept."""


class KeyedRecord(msgspec.Struct, frozen=True):
    """A record of a keyed topic; an empty value removes the key."""

    key: str
    value: bytes
    offset: int = -1


class Batch(msgspec.Struct, frozen=True):
    """Records that were read and the offset at which the topic ends."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int


class Writer(msgspec.Struct, frozen=True):
    """Identity of a fenced writer; `sequence` numbers its appends within the epoch."""

    name: str
    epoch: int
    sequence: int


class Membership(msgspec.Struct, frozen=True):
    """A member's place in a group; the leader holds the group's only partition."""

    generation: int
    is_leader: bool


class Store(ABC):
    """Keyed topics and groups of the platform's store.

    All calls raise StoreBusyError if nothing was done and StoreSilentError if that is unknown.
    """

    @abstractmethod
    def append(self, topic: str, records: list[KeyedRecord], writer: Writer | None = None) -> int:
        """Append all records or none and return the offset of the first; raises FencedError."""

    @abstractmethod
    def read(self, topic: str, offset: int, wait_ms: int) -> Batch:
        """Read records from an offset, waiting for one; raises ExpiredError."""

    @abstractmethod
    def read_newest(self, topic: str) -> Batch:
        """The newest record of each key; reading may go on at `next_offset`."""

    @abstractmethod
    def join(self, group: str, member: str, topic: str, ttl_ms: int, generation: int) -> Membership:
        """Join a group, or stay in it."""

    @abstractmethod
    def leave(self, group: str, member: str) -> None:
        """Leave a group."""

    @abstractmethod
    def leader(self, group: str) -> str:
        """The member that holds the group's only partition, or an empty string."""
