"""Messages between entries and target processes, encoded as msgpack."""

import msgspec

from comfreyshelf.errors import RecordError
from comfreyshelf.ids import (
    Attempt,
    DomainId,
    EntryId,
    Epoch,
    JobId,
    RequestId,
    TargetId,
    Version,
    ZoneId,
)
from comfreyshelf.model import HeldPart, Job, PartState, Placement, WorkerInfo
from comfreyshelf.reasons import RefusalReason


class Message(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base of all messages."""


class RunnerLoad(msgspec.Struct, frozen=True, omit_defaults=True):
    """Load of the local runner of one service, in requests."""

    service: str
    running: int = 0
    waiting: int = 0
    healthy: bool = True


class Status(Message, frozen=True, tag=True):
    """Target to entry: the target's capacity, the parts that it holds and the load of its runners.

    `sent_at` is in seconds of the target's own clock. `sequence` grows with each change of the
    contents, which are all fields but `sent_at`, `epoch` and `version`.
    """

    worker: WorkerInfo
    sent_at: float
    epoch: Epoch
    version: Version
    parts: tuple[HeldPart, ...] = ()
    runners: tuple[RunnerLoad, ...] = ()
    draining: bool = False
    sequence: int = 0


class Heartbeat(Message, frozen=True, tag=True):
    """Target to entry: nothing has changed since status `sequence`, which the entry has."""

    target: TargetId
    sent_at: float
    sequence: int
    epoch: Epoch
    version: Version


class StatusWanted(Message, frozen=True, tag=True):
    """Entry to target: send a full `Status`; the entry lacks the one that a heartbeat names."""


class ServiceSlots(msgspec.Struct, frozen=True):
    """Admission limits of one service's runner."""

    service: str
    slots: int
    connections: int


class Welcome(Message, frozen=True, tag=True):
    """Entry to target: the configuration, the entries to connect to, and a lease.

    `owner` tells whether the sender owns the target's domain. `echo` is `sent_at` of the status
    that this answers, so the lease of `lease_s` seconds starts when the target asked for it. A
    `lease_s` of 0 does not renew the lease, as in a welcome that no status asked for. `known` is
    the sequence number of the newest status that the entry has, and `digest` identifies the
    contents without the lease. `entries` are the addresses that the target keeps pipes to. `zone`
    is the zone of the entry, and `cross_region` tells whether it lies in another region than the
    target.
    """

    entry: EntryId
    domain: DomainId
    epoch: Epoch
    version: Version
    owner: bool
    echo: float = 0.0
    lease_s: float = 0.0
    draining: bool = False
    entries: tuple[str, ...] = ()
    services: tuple[ServiceSlots, ...] = ()
    known: int = 0
    digest: bytes = b""
    zone: ZoneId = ZoneId("")
    cross_region: bool = False


class Renewal(Message, frozen=True, tag=True):
    """Entry to target: answers a heartbeat by renewing the lease of an unchanged `Welcome`.

    `digest` is that of the welcome; `echo` and `lease_s` replace its fields.
    """

    digest: bytes
    echo: float
    lease_s: float


class Reserve(Message, frozen=True, tag=True):
    """Owner to target: reserve accelerators for parts of an attempt for a limited time."""

    epoch: Epoch
    version: Version
    job: Job
    attempt: Attempt
    placements: tuple[Placement, ...]


class ReserveAnswer(Message, frozen=True, tag=True):
    """Target to owner: answers a `Reserve`; `reason` is None if all the parts were reserved."""

    target: TargetId
    job: JobId
    attempt: Attempt
    reason: RefusalReason | None = None


class Commit(Message, frozen=True, tag=True):
    """Owner to target: start the reserved parts of an attempt."""

    epoch: Epoch
    job: JobId
    attempt: Attempt


class Release(Message, frozen=True, tag=True):
    """Owner to target: drop a reservation, and refuse the attempt from now on."""

    epoch: Epoch
    job: JobId
    attempt: Attempt


class Stop(Message, frozen=True, tag=True):
    """Owner to target: stop the parts of an attempt, after a checkpoint if `checkpoint`."""

    epoch: Epoch
    job: JobId
    attempt: Attempt
    checkpoint: bool = False


class Forget(Message, frozen=True, tag=True):
    """Owner to target: drop the reports of an attempt, which are recorded or no longer needed."""

    epoch: Epoch
    job: JobId
    attempt: Attempt


class Probe(Message, frozen=True, tag=True):
    """Owner to target: run a short test of the worker."""

    epoch: Epoch


class ProbeAnswer(Message, frozen=True, tag=True):
    """Target to owner: the outcome of a `Probe`."""

    target: TargetId
    passed: bool


class PartReport(Message, frozen=True, tag=True):
    """Target to owner: a part ended; sent repeatedly until the owner sends `Forget`.

    `started` tells whether the part ever started. `run_s` is its run time in seconds.
    """

    target: TargetId
    job: JobId
    attempt: Attempt
    part: int
    state: PartState
    result: bytes = b""
    run_s: float = 0.0
    started: bool = True
    checkpointed: bool = False


class AttemptAbsent(Message, frozen=True, tag=True):
    """Target to owner: the target holds no part of an attempt and will start none.

    If `started` is False, no part of it ever started here. It is True if the target has no
    tombstone of the attempt, because a previous incarnation may have started it.
    """

    target: TargetId
    job: JobId
    attempt: Attempt
    started: bool = True


class UsageReport(Message, frozen=True, tag=True):
    """Target to owner: usage of a part, which the platform reports with a lag.

    `busy` is the share of time that its accelerators were busy, from 0 to 1.
    """

    target: TargetId
    job: JobId
    part: int
    busy: float
    memory_gb: float


class RunRequest(Message, frozen=True, tag=True):
    """Entry to target: send a short request to the local runner of a service.

    The answer is due within `timeout_s` seconds. `digest` is the SHA-256 of `body`; a target
    process refuses a body that does not match it.
    """

    request: RequestId
    service: str
    version: Version
    timeout_s: float
    body: bytes
    idempotent: bool = True
    digest: str = ""


class RequestAnswer(Message, frozen=True, tag=True):
    """Target to entry: the answer of a runner, or why the request failed or was refused.

    If `started` is False, the request never started here and never will.
    """

    target: TargetId
    request: RequestId
    started: bool
    ok: bool = False
    body: bytes = b""
    digest: str = ""
    reason: RefusalReason | None = None


class DisproveStart(Message, frozen=True, tag=True):
    """Entry to target: confirm that a request has not started and never will.

    `incarnation` is that of the target process that the request was sent to. A later incarnation
    cannot know whether the request started there. It is 0 for a request that was not sent to any.
    """

    request: RequestId
    incarnation: int = 0


class StartDisproved(Message, frozen=True, tag=True):
    """Target to entry: answers `DisproveStart`; if not `disproved`, the request may have run."""

    target: TargetId
    request: RequestId
    disproved: bool


AnyMessage = (
    Status
    | Heartbeat
    | StatusWanted
    | Welcome
    | Renewal
    | Reserve
    | ReserveAnswer
    | Commit
    | Release
    | Stop
    | Forget
    | Probe
    | ProbeAnswer
    | PartReport
    | AttemptAbsent
    | UsageReport
    | RunRequest
    | RequestAnswer
    | DisproveStart
    | StartDisproved
)

_ENCODER = msgspec.msgpack.Encoder()
# First bytes of a msgpack array. A frame of several messages is an array, a single message a map.
_ARRAY_FIRST_BYTES = frozenset({*range(0x90, 0xA0), 0xDC, 0xDD})
_FRAME_DECODER: msgspec.msgpack.Decoder[list[msgspec.Raw]] = msgspec.msgpack.Decoder(
    list[msgspec.Raw]
)
_DECODER: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def encode_message(message: AnyMessage) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> AnyMessage:
    """Decode a message; raises RecordError if it is damaged or of an unknown type."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as exc:
        raise RecordError(f"cannot decode message: {exc}", "drop it and count it") from exc


def encode_frame(messages: list[bytes]) -> bytes:
    """Join encoded messages into one frame; a single message is a frame by itself."""
    if len(messages) == 1:
        return messages[0]
    return _ENCODER.encode([msgspec.Raw(message) for message in messages])


def decode_frame(data: bytes) -> list[AnyMessage]:
    """The messages of a frame in order; raises RecordError if any of them is damaged."""
    if not data[:1] or data[0] not in _ARRAY_FIRST_BYTES:
        return [decode_message(data)]
    try:
        items = _FRAME_DECODER.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise RecordError(f"cannot decode frame: {exc}", "drop it and count it") from exc
    return [decode_message(bytes(item)) for item in items]
