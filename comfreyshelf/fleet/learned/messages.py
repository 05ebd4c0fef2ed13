"""Messages between the owner's task and the keeper of what it learns."""

import msgspec


class TermStarted(msgspec.Struct, frozen=True):
    """This entry owns the schedule from now on; the keeper answers with LearnedRead."""

    epoch: int


class TermEnded(msgspec.Struct, frozen=True):
    """This entry no longer owns the schedule, so nothing more may be written."""


class LearnedChanged(msgspec.Struct, frozen=True):
    """Records to be written, by key; each replaces an earlier one that is not written yet."""

    epoch: int
    values: dict[str, bytes]


class LearnedRead(msgspec.Struct, frozen=True):
    """The records that earlier owners have written, by key, for the term with this epoch."""

    epoch: int
    values: dict[str, bytes]


KeeperMessage = TermStarted | TermEnded | LearnedChanged
