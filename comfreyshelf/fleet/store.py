"""Interface to the external store: keyed topics, fenced writers and consumer groups."""

from abc import ABC, abstractmethod

import msgspec

from comfreyshelf.errors import UserError

# The group whose leader owns the schedule.
OWNER_GROUP = "owner"


class StoreBusyError(UserError):
    """A call was refused or could not be delivered, so no part of it was carried out."""


class StoreSilentError(UserError):
    """A call got no usable answer; it may have been carried out, or may still be."""


class ConnectionLostError(StoreSilentError):
    """The connection ended before the answer, as it does if the process at the far end ends."""


class NotListeningError(StoreBusyError):
    """The machine refused the connection, because no process listens at the address."""


class FencedError(UserError):
    """The store rejected an append, usually because a writer with a higher epoch exists.

    A writer that receives this error gives up its epoch.
    """


class ExpiredError(UserError):
    """The store no longer keeps the records at the requested offset."""


class KeyedRecord(msgspec.Struct, frozen=True):
    """A record of a keyed topic; an empty value removes the key.

    `offset` is the record's place in the topic, -1 for a record that is yet to be appended.
    """

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
    """A member's place in a group; the leader holds the group's only partition.

    `requested_at` is when the store was asked, on the monotonic clock: the membership lasts for its
    time to live from then, however late the answer is read.
    """

    generation: int
    is_leader: bool
    requested_at: float = float("-inf")


class Store(ABC):
    """Keyed topics and groups of the platform's store.

    All calls raise StoreBusyError if the store did nothing, and StoreSilentError if the outcome
    is unknown.
    """

    @abstractmethod
    def append(
        self,
        topic: str,
        records: list[KeyedRecord],
        writer: Writer | None = None,
        max_timeout_s: float = float("inf"),
    ) -> int:
        """Append all records or none and return the offset of the first; raises FencedError.

        An append counts as unanswered after `max_timeout_s` at the latest.
        """

    @abstractmethod
    def read(
        self, topic: str, offset: int, wait_ms: int, max_timeout_s: float = float("inf")
    ) -> Batch:
        """Read records from an offset, waiting up to `wait_ms` for one; raises ExpiredError.

        A read counts as unanswered after `max_timeout_s` on each route at the latest.
        """

    @abstractmethod
    def read_newest(self, topic: str) -> Batch:
        """Read the newest record of each key; `next_offset` is where `read` continues."""

    @abstractmethod
    def join(self, group: str, member: str, topic: str, ttl_ms: int, generation: int) -> Membership:
        """Join a group, or renew the membership; it expires after `ttl_ms`."""

    @abstractmethod
    def leave(self, group: str, member: str) -> None:
        """Leave a group at once instead of letting the membership expire."""

    @abstractmethod
    def find_leader(self, group: str) -> str:
        """Return the member that holds the group's only partition, or an empty string."""
