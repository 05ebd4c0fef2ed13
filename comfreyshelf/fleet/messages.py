"""Messages between the owner of the schedule and the target processes."""

import msgspec

from comfreyshelf.fleet.jobs import Announcement, EndedRow, RunningRow, Token


class Rejection(msgspec.Struct, frozen=True, array_like=True):
    """A run that its target will never start, with the target's reason."""

    task: str
    run: int
    reason: str


class Report(msgspec.Struct, frozen=True, tag="report"):
    """What a target process knows of its target.

    `sent_at` is on the sender's clock and comes back in `Orders`, which dates the last contact.
    `lists_known` is false until the target has listed its runs to this process. A target that is
    `gone` has left for good and runs nothing. A `machine` runs one target at a time.
    """

    sent_at: float
    announcement: Announcement
    incarnation: int
    lists_known: bool
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    rejected: tuple[Rejection, ...]
    machine: str
    gone: bool = False


class StartOrder(msgspec.Struct, frozen=True, array_like=True):
    """Start a run; the same order may come more than once."""

    task: str
    run: int
    payload: str
    checkpoint: str


class StopOrder(msgspec.Struct, frozen=True, array_like=True):
    """Stop a run, or make its target reject it if it has not started."""

    task: str
    run: int


class Orders(msgspec.Struct, frozen=True, tag="orders"):
    """What the owner wants of a target; each message names all that is still open.

    Ends up to `acknowledged` are in the store. `report_sent_at` repeats the newest report's time.
    """

    token: Token
    incarnation: int
    report_sent_at: float
    acknowledged: int
    starts: tuple[StartOrder, ...]
    stops: tuple[StopOrder, ...]


decode_report = msgspec.msgpack.Decoder(Report).decode
decode_orders = msgspec.msgpack.Decoder(Orders).decode
encode = msgspec.msgpack.encode
