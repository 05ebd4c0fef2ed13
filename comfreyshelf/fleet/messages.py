"""Messages between the owner of the schedule and the target processes."""

import msgspec

from comfreyshelf.fleet.evacuation.evacuations import OFFSET_UNSUPPORTED
from comfreyshelf.fleet.jobs import Announcement, EndedRow, RunningRow, Token
from comfreyshelf.ids import Offset, ZoneId


class Rejection(msgspec.Struct, frozen=True, array_like=True):
    """A run that its target will never start, and why."""

    task: str
    run: int
    reason: str


class CrashedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that was on a runner when it crashed, `age_s` seconds after its start was sent.

    Unless it `was_started`, its start got no answer, so that the runner may not have begun it.
    """

    task: str
    run: int
    age_s: float
    was_started: bool


class RunnerCrash(msgspec.Struct, frozen=True, array_like=True):
    """The end of a runner that had not announced it, and the runs that were there."""

    runs: tuple[CrashedRun, ...]


class Report(msgspec.Struct, frozen=True, tag="report"):
    """The state of a target, which its target process reports to the owner.

    `sent_at` is on the sender's clock. `Orders` return it as `report_sent_at`, which tells the
    target process when it last had contact. `lists_known` is false until the target has listed its
    runs to this process. A target that is `gone` has left for good and runs nothing. `machine`
    names the VM, which runs one target at a time. `listed_at` is when the target's runner last
    listed its runs, on the sender's clock. If the runner is not `runner_up`, it runs nothing and
    starts nothing until a later report says otherwise. One that `takes_no_work` may run what it
    has, but cannot be reached, or has not announced what it is. `crashes` repeats the recent
    crashes of runners on this VM, also of earlier incarnations. The process knows the evacuated
    zones that follow from the records of the operators' topic below `operator_offset`.
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
    listed_at: float = 0.0
    runner_up: bool = True
    crashes: tuple[RunnerCrash, ...] = ()
    operator_offset: Offset = OFFSET_UNSUPPORTED
    takes_no_work: bool = False


class TokenRequest(msgspec.Struct, frozen=True, tag="token request"):
    """Asks the owner for orders without starts and stops, for the sake of their token.

    A runner refuses the calls of a target process that has restarted, until that has the token of
    the present owner. `machine` names the VM: which target lives there is not known yet.
    """

    machine: str


class StartOrder(msgspec.Struct, frozen=True, array_like=True):
    """Order to start a run; it may be sent repeatedly."""

    task: str
    run: int
    payload: str
    checkpoint: str


class StopOrder(msgspec.Struct, frozen=True, array_like=True):
    """Order to stop a run; the target rejects the run if it has not started yet."""

    task: str
    run: int


class Orders(msgspec.Struct, frozen=True, tag="orders"):
    """All open orders of the owner for a target; each message replaces the previous one.

    Ended runs with numbers up to `acknowledged` are in the store. `report_sent_at` is
    `sent_at` of the newest report. Nothing may start in `evacuated_zones`, which follow from the
    records of the operators' topic below `operator_offset`.
    """

    token: Token
    incarnation: int
    report_sent_at: float
    acknowledged: int
    starts: tuple[StartOrder, ...]
    stops: tuple[StopOrder, ...]
    evacuated_zones: tuple[ZoneId, ...] = ()
    operator_offset: Offset = OFFSET_UNSUPPORTED


# What a target process sends.
TargetMessage = Report | TokenRequest

decode_target_message = msgspec.msgpack.Decoder(TargetMessage).decode
decode_orders = msgspec.msgpack.Decoder(Orders).decode
encode = msgspec.msgpack.encode
