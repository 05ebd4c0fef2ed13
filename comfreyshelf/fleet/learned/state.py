"""Interface of what an owner learns and the next owner goes on with."""

from abc import ABC, abstractmethod


class LearnedState(ABC):
    """Something learned that is kept as one record in the store.

    `unix_now` is in seconds since the Unix epoch, so that the next owner can tell the age.
    """

    # Key of the record.
    name: str

    @property
    def revision(self) -> int | None:
        """A number that changes with the state, 0 while nothing was learned or merged.

        None if only its encodings can be compared.
        """
        return None

    @abstractmethod
    def encode(self, unix_now: float) -> bytes:
        """The record's value."""

    @abstractmethod
    def merge(self, value: bytes, unix_now: float) -> None:
        """Add what an earlier owner has stored; raises msgspec.DecodeError if it is unreadable."""
