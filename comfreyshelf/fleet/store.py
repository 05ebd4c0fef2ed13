"""Interface to the external store: keyed topics, fenced writers and consumer groups."""

from abc import ABC, abstractmethod

import msgspec

from comfreyshelf.errors import UserError

# The group whose leader owns the schedule.
OWNER_GROUP = "owner"


class StoreBusyError(UserError):
    """The store refused a call and did not carry out any of it."""


class StoreSilentError(UserError):
    """A call got no usable answer; the store may have carried it out, or may do so later."""


class FencedError(UserError):
    """The store rejected an append, usually because a writer with a higher epoch exists."""


class ExpiredError(UserError):
    """The store no longer keeps the records at the requested offset."""


class KeyedRecord(msgspec.Struct, frozen=True):
    """A record of a keyed topic; an empty value removes the key."""

    key: str
    value: bytes
    offset: int = -1


class Batch(msgspec.Struct, frozen=True):
    """Records that were read, the offset to read from next and the topic's end offset."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end_offset: int


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

    All calls raise StoreBusyError if the store did nothing, and StoreSilentError if the outcome
    is unknown.
    """

    @abstractmethod
    def append(self, topic: str, records: list[KeyedRecord], writer: Writer | None = None) -> int:
        """Append all records or none and return the offset of the first; raises FencedError."""

    @abstractmethod
    def read(self, topic: str, offset: int, wait_ms: int) -> Batch:
        """Read records from an offset, waiting up to `wait_ms` for one; raises ExpiredError."""

    @abstractmethod
    def read_newest(self, topic: str) -> Batch:
        """Read the newest record of each key; `next_offset` is where `read` continues."""

    @abstractmethod
    def join(self, group: str, member: str, topic: str, ttl_ms: int, generation: int) -> Membership:
        """Join a group, or renew the membership; it expires after `ttl_ms`."""

    @abstractmethod
    def leave(self, group: str, member: str) -> None:
        """Give up the membership, so that another member can lead at once."""

    @abstractmethod
    def find_leader(self, group: str) -> str:
        """Return the member that holds the group's only partition, or an empty string."""
