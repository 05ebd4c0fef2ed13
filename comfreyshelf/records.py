"""Log records and their versioned msgpack codec."""

import msgspec

from comfreyshelf.errors import RecordError
from comfreyshelf.holders import DrainView, LostGuarantee
from comfreyshelf.ids import (
    Attempt,
    CallerId,
    DomainId,
    EntryId,
    Epoch,
    JobId,
    Offset,
    OperatorId,
    OrganisationId,
    RecordId,
    TargetId,
    Version,
    ZoneId,
)
from comfreyshelf.model import AttemptOutcome, CellUse, DomainSummary, Job, Placement
from comfreyshelf.reasons import RefusalReason

FORMAT_VERSION = 1


class Body(msgspec.Struct, frozen=True, tag=True):
    """Base of all record bodies."""


class ConfigPublished(Body, frozen=True, tag=True):
    """A configuration text; valid if `base` is the version in force when it is read."""

    version: Version
    base: Version
    text: str
    operator: OperatorId


class EntryUp(Body, frozen=True, tag=True):
    """An entry announces or renews its addresses (`ip:port`) and the version it has in force."""

    entry: EntryId
    zone: ZoneId
    http_address: str
    pipe_address: str
    version: Version = Version(0)


class EntryDown(Body, frozen=True, tag=True):
    """An entry leaves after a graceful shutdown."""

    entry: EntryId


class DomainClaimed(Body, frozen=True, tag=True):
    """An entry claims a domain; valid if `base_epoch` is the current epoch."""

    domain: DomainId
    epoch: Epoch
    base_epoch: Epoch
    entry: EntryId


class DomainRenewed(Body, frozen=True, tag=True):
    """The owner of a domain shows that it is alive; `summary` is None if it did not change."""

    domain: DomainId
    epoch: Epoch
    entry: EntryId
    summary: DomainSummary | None = None


class DomainReported(Body, frozen=True, tag=True):
    """What operators read back of a domain, appended by its owner when it changes.

    `leaving` are the targets marked for scrapping, `lost` the guarantees without capacity, and
    `behind` the targets that have not confirmed `version` yet, out of `targets`.
    """

    domain: DomainId
    epoch: Epoch
    version: Version
    targets: int
    leaving: tuple[DrainView, ...] = ()
    lost: tuple[LostGuarantee, ...] = ()
    behind: tuple[TargetId, ...] = ()


class JobAccepted(Body, frozen=True, tag=True):
    """A job enters `domain`; the first record of a caller's client key wins."""

    job: Job
    domain: DomainId


class JobRouted(Body, frozen=True, tag=True):
    """The owner hands a queued job to another domain."""

    job: JobId
    domain: DomainId
    to: DomainId
    epoch: Epoch


class AttemptStarted(Body, frozen=True, tag=True):
    """An attempt may start; valid under the current epoch when no attempt of the job is open."""

    job: JobId
    attempt: Attempt
    domain: DomainId
    epoch: Epoch
    placements: tuple[Placement, ...]
    cell: CellUse | None = None


class AttemptEnded(Body, frozen=True, tag=True):
    """An attempt ended without a result; `MAY_HAVE_RUN` is final, the others requeue the job."""

    job: JobId
    attempt: Attempt
    domain: DomainId
    epoch: Epoch
    outcome: AttemptOutcome


class JobFinished(Body, frozen=True, tag=True):
    """The whole result of a job and its SHA-256 digest in hex; the first record wins."""

    job: JobId
    attempt: Attempt
    domain: DomainId
    epoch: Epoch
    result: bytes
    digest: str


class JobsCancelled(Body, frozen=True, tag=True):
    """A batch of cancellations by one caller of one organisation."""

    jobs: tuple[JobId, ...]
    organisation: OrganisationId
    caller: CallerId


class JobRefused(Body, frozen=True, tag=True):
    """A queued job can never run."""

    job: JobId
    domain: DomainId
    epoch: Epoch
    reason: RefusalReason


class RequestStarted(Body, frozen=True, tag=True):
    """A keyed non-idempotent request is about to be sent; the first record of a key wins."""

    organisation: OrganisationId
    caller: CallerId
    key: str
    entry: EntryId


class SnapshotChunk(Body, frozen=True, tag=True):
    """One chunk of a snapshot of the fold that covers all offsets below `covers`."""

    snapshot: str
    covers: Offset
    index: int
    count: int
    data: bytes


AnyBody = (
    ConfigPublished
    | EntryUp
    | EntryDown
    | DomainClaimed
    | DomainRenewed
    | DomainReported
    | JobAccepted
    | JobRouted
    | AttemptStarted
    | AttemptEnded
    | JobFinished
    | JobsCancelled
    | JobRefused
    | RequestStarted
    | SnapshotChunk
)


class Record(msgspec.Struct, frozen=True):
    """A record body in its envelope.

    `writer` is unique to one process, `id` is the writer and a sequence number that grows by one a
    record, and `time` is in seconds since the epoch.
    """

    id: RecordId
    writer: str
    time: float
    body: AnyBody
    format: int = FORMAT_VERSION


def make_record_id(writer: str, sequence: int) -> RecordId:
    """The id of the record with that sequence number of a writer."""
    return RecordId(f"{writer}:{sequence}")


def split_record_id(record: RecordId) -> tuple[str, int]:
    """The writer and sequence number; raises RecordError if the id is malformed."""
    writer, _, sequence = record.rpartition(":")
    if not sequence.isdecimal():
        raise RecordError(f"malformed record id '{record}'", "skip it and count it")
    return writer, int(sequence)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Encode a record for the log."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> Record:
    """Decode a record; raises RecordError if it is damaged or of an unknown type or format."""
    try:
        record = _DECODER.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as exc:
        raise RecordError(f"unreadable record: {exc}", "skip it and count it") from exc
    if record.format != FORMAT_VERSION:
        raise RecordError(f"unknown record format {record.format}", "upgrade this process")
    split_record_id(record.id)
    return record
