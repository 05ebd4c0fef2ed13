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
    """A configuration text; accepted only if `base` is the version in force when it is applied."""

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
    """An entry has left after a graceful shutdown."""

    entry: EntryId


class DomainClaimed(Body, frozen=True, tag=True):
    """An entry claims ownership of a domain; accepted only if `base_epoch` is the current epoch."""

    domain: DomainId
    epoch: Epoch
    base_epoch: Epoch
    entry: EntryId


class DomainRenewed(Body, frozen=True, tag=True):
    """The owner of a domain renews its ownership; `summary` is None if it did not change."""

    domain: DomainId
    epoch: Epoch
    entry: EntryId
    summary: DomainSummary | None = None


class DomainReported(Body, frozen=True, tag=True):
    """Status of a domain for operators, appended by its owner when it changes.

    `leaving` lists the targets marked for scrapping, `lost` the guarantees without capacity, and
    `behind` the targets that have not confirmed `version` yet; `targets` is the number of targets.
    """

    domain: DomainId
    epoch: Epoch
    version: Version
    targets: int
    leaving: tuple[DrainView, ...] = ()
    lost: tuple[LostGuarantee, ...] = ()
    behind: tuple[TargetId, ...] = ()


class JobAccepted(Body, frozen=True, tag=True):
    """A job is queued in `domain`.

    Of the records of one caller with the same idempotency key, only the first is accepted.
    """

    job: Job
    domain: DomainId


class JobRouted(Body, frozen=True, tag=True):
    """The owner of `domain` moves a queued job to the domain `to`."""

    job: JobId
    domain: DomainId
    to: DomainId
    epoch: Epoch


class AttemptStarted(Body, frozen=True, tag=True):
    """An attempt may start; accepted in the current epoch if the job has no open attempt."""

    job: JobId
    attempt: Attempt
    domain: DomainId
    epoch: Epoch
    placements: tuple[Placement, ...]
    cell: CellUse | None = None


class AttemptEnded(Body, frozen=True, tag=True):
    """An attempt ended without a result.

    The outcome `MAY_HAVE_RUN` ends the job; any other outcome requeues it.
    """

    job: JobId
    attempt: Attempt
    domain: DomainId
    epoch: Epoch
    outcome: AttemptOutcome


class JobFinished(Body, frozen=True, tag=True):
    """The complete result of a job and its hex SHA-256 digest; only the first one is accepted."""

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
    """A queued job is refused because it can never run."""

    job: JobId
    domain: DomainId
    epoch: Epoch
    reason: RefusalReason


class RequestStarted(Body, frozen=True, tag=True):
    """A non-idempotent request is about to be sent; only the first record of a key is accepted."""

    organisation: OrganisationId
    caller: CallerId
    key: str
    entry: EntryId


class SnapshotChunk(Body, frozen=True, tag=True):
    """One chunk of a snapshot of the ledger that covers all offsets below `covers`."""

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
    """A record body with its metadata.

    `writer` is unique to one process, `id` is the writer and a sequence number that increases by
    one with each record, and `time` is a Unix time in seconds.
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
        raise RecordError(
            f"malformed record id '{record}', expected WRITER:NUMBER",
            "skip the record and count it as damaged",
        )
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
        raise RecordError(
            f"cannot decode the record: {exc}", "skip the record and count it as damaged"
        ) from exc
    if record.format != FORMAT_VERSION:
        raise RecordError(
            f"unknown record format {record.format}, expected {FORMAT_VERSION}",
            "upgrade this process",
        )
    split_record_id(record.id)
    return record
