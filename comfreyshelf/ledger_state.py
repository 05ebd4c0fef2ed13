"""State of the ledger; a snapshot is one encoded `LedgerState`."""

import msgspec

from comfreyshelf.ids import (
    Attempt,
    CallerId,
    DomainId,
    EntryId,
    Epoch,
    JobId,
    OperatorId,
    OrganisationId,
    Version,
)
from comfreyshelf.model import CellUse, DomainSummary, Job, JobState, Placement
from comfreyshelf.reasons import RefusalReason
from comfreyshelf.records import DomainReported


class LedgerJob(msgspec.Struct):
    """State of one job; `attempt` is the number of the newest attempt, 0 before the first.

    `moves` counts how often the job was moved to another domain.
    """

    job: Job
    domain: DomainId
    state: JobState = JobState.QUEUED
    attempt: Attempt = Attempt(0)
    placements: tuple[Placement, ...] = ()
    cell: CellUse | None = None
    result: bytes = b""
    digest: str = ""
    reason: RefusalReason | None = None
    ended_at: float = 0.0
    moves: int = 0


class LedgerDomain(msgspec.Struct):
    """Ownership of one domain; `renewed_at` is the time in the newest claim or renewal."""

    epoch: Epoch = Epoch(0)
    owner: EntryId = EntryId("")
    renewed_at: float = 0.0
    summary: DomainSummary | None = None
    report: DomainReported | None = None


class EntryInfo(msgspec.Struct):
    """An entry as its newest announcement describes it."""

    entry: EntryId
    zone: str
    http_address: str
    pipe_address: str
    renewed_at: float
    version: Version = Version(0)


class PublishedConfig(msgspec.Struct):
    """One accepted configuration text."""

    version: Version
    text: str
    operator: OperatorId
    time: float


class Verdict(msgspec.Struct, frozen=True):
    """Whether a record was accepted; `reason` says why not."""

    accepted: bool
    reason: str = ""


ACCEPTED = Verdict(True)

CallerKey = tuple[OrganisationId, CallerId, str]


class WriterProgress(msgspec.Struct):
    """The highest sequence number seen from one writer, and the time of that record."""

    sequence: int
    time: float


class LedgerState(msgspec.Struct):
    """The whole state of the ledger; it is encodable, so that it can be stored as a snapshot.

    `time` is the newest record time, as a Unix time in seconds; a single record advances it by a
    bounded step only, since the clock of its writer may be wrong. `requests` maps the client key of
    each started request to its entry and start time.
    """

    time: float = 0.0

    config: PublishedConfig | None = None
    history: list[PublishedConfig] = []
    jobs: dict[JobId, LedgerJob] = {}
    domains: dict[DomainId, LedgerDomain] = {}
    entries: dict[EntryId, EntryInfo] = {}
    requests: dict[str, tuple[EntryId, float]] = {}
    writers: dict[str, WriterProgress] = {}
