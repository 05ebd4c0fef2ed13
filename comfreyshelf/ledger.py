"""Replicated state machine: every reader applies the records of the log by the same rules."""

from collections import Counter, OrderedDict

from comfreyshelf.config import EMPTY_CONFIG, Config
from comfreyshelf.config_text import parse_config
from comfreyshelf.ids import CallerId, DomainId, Epoch, JobId, Offset, OrganisationId, RecordId
from comfreyshelf.ledger_state import (
    ACCEPTED,
    CallerKey,
    EntryInfo,
    LedgerDomain,
    LedgerJob,
    LedgerState,
    PublishedConfig,
    Verdict,
    WriterProgress,
)
from comfreyshelf.model import AttemptOutcome, Job, JobState
from comfreyshelf.reasons import RefusalReason
from comfreyshelf.records import (
    AttemptEnded,
    AttemptStarted,
    Body,
    ConfigPublished,
    DomainClaimed,
    DomainRenewed,
    DomainReported,
    EntryDown,
    EntryUp,
    JobAccepted,
    JobFinished,
    JobRefused,
    JobRouted,
    JobsCancelled,
    Record,
    RequestStarted,
    SnapshotChunk,
    split_record_id,
)

MAX_VERDICTS = 20_000
# The ledger's time advances by at most this with each record. Otherwise a record from a writer with
# a wrong clock would make every reader evict ended jobs at once.
MAX_TIME_STEP_S = 60.0
WRITER_RETENTION_S = 24 * 3600.0
ENTRY_RETENTION_S = 3600.0
# Entries renew their announcement every 10 s.
ENTRY_EXPIRES_S = 35.0
EVICTION_INTERVAL_S = 60.0

DUPLICATE = "repeated"


class Ledger:
    """Applies records in offset order; `next_offset` is the offset to read next.

    `apply` returns the verdict on each record. A writer appends in the order of its sequence
    numbers and resends complete batches, so a record at or below the highest number seen from its
    writer is a duplicate and is ignored. The newest verdicts are kept, so that a writer that did
    not get an answer can look up whether its record was accepted.
    """

    def __init__(self) -> None:
        self.state = LedgerState()
        self.config: Config = EMPTY_CONFIG
        self.next_offset = Offset(0)
        self.counters: Counter[str] = Counter()
        self._verdicts: OrderedDict[RecordId, Verdict] = OrderedDict()
        self._jobs_by_key: dict[CallerKey, JobId] = {}
        self._ended_at: OrderedDict[JobId, float] = OrderedDict()
        self._evicted_at = 0.0

    @property
    def time(self) -> float:
        """Time of the newest record as a Unix time in seconds; see `LedgerState`."""
        return self.state.time

    def apply(self, offset: Offset, record: Record) -> Verdict:
        """Apply the record at `offset`; a duplicate has no effect."""
        self.next_offset = Offset(offset + 1)
        if self._detect_duplicate(record):
            self.counters["record_repeated"] += 1
            return Verdict(False, DUPLICATE)
        self._advance_time(record.time)
        verdict = self._apply_body(record, record.body)
        self._store_verdict(record.id, verdict)
        kind = "accepted" if verdict.accepted else "rejected"
        self.counters[f"record_{kind}"] += 1
        self._evict_expired()
        return verdict

    def skip(self, offset: Offset) -> None:
        """Skip the damaged record at `offset`."""
        self.next_offset = Offset(offset + 1)
        self.counters["record_damaged"] += 1

    def find_verdict(self, record: RecordId) -> Verdict | None:
        """The verdict on a record, or None if it was not read yet or its verdict was evicted."""
        return self._verdicts.get(record)

    def job_by_key(self, organisation: OrganisationId, caller: CallerId, key: str) -> JobId | None:
        """The job that was accepted with a caller's client key, or None."""
        return self._jobs_by_key.get((organisation, caller, key))

    def live_entries(self) -> list[EntryInfo]:
        """The entries that renewed their announcement within ENTRY_EXPIRES_S, sorted by name."""
        oldest_renewal = self.time - ENTRY_EXPIRES_S
        entries = self.state.entries.items()
        return [info for _, info in sorted(entries) if info.renewed_at >= oldest_renewal]

    def restore(self, state: LedgerState, covers: Offset) -> None:
        """Replace the state with that of a snapshot that covers the offsets below `covers`."""
        self.state = state
        self.next_offset = covers
        self._verdicts.clear()
        self._jobs_by_key = {
            self._caller_key(ledger_job.job): ledger_job.job.id
            for ledger_job in state.jobs.values()
        }
        ended = [ledger_job for ledger_job in state.jobs.values() if ledger_job.state.is_final]
        ended.sort(key=lambda ledger_job: ledger_job.ended_at)
        self._ended_at = OrderedDict(
            (ledger_job.job.id, ledger_job.ended_at) for ledger_job in ended
        )
        if state.config is not None:
            parsed = parse_config(state.config.text, state.config.version)
            self.config = parsed.default_value(EMPTY_CONFIG)

    @staticmethod
    def _caller_key(job: Job) -> CallerKey:
        return (job.organisation, job.caller, job.key)

    def _detect_duplicate(self, record: Record) -> bool:
        """Whether a record was applied before; if not, store its writer's sequence number."""
        writer, sequence = split_record_id(record.id)
        progress = self.state.writers.get(writer)
        if progress is None:
            self.state.writers[writer] = WriterProgress(sequence, record.time)
            return False
        if sequence <= progress.sequence:
            return True
        progress.sequence = sequence
        progress.time = record.time
        return False

    def _advance_time(self, time: float) -> None:
        state = self.state
        limit = state.time + MAX_TIME_STEP_S if state.time else time
        state.time = max(state.time, min(time, limit))

    def _store_verdict(self, record: RecordId, verdict: Verdict) -> None:
        self._verdicts[record] = verdict
        if len(self._verdicts) > MAX_VERDICTS:
            self._verdicts.popitem(last=False)

    def _evict_expired(self) -> None:
        while self._ended_at:
            job_id, ended_at = next(iter(self._ended_at.items()))
            if self.time - ended_at < self.config.result_retention_s:
                break
            del self._ended_at[job_id]
            ledger_job = self.state.jobs.pop(job_id)
            self._jobs_by_key.pop(self._caller_key(ledger_job.job), None)
        if self.time - self._evicted_at > EVICTION_INTERVAL_S:
            self._evict_inactive()

    def _evict_inactive(self) -> None:
        """Drop request keys, writers and entries past their retention time."""
        state = self.state
        self._evicted_at = self.time
        oldest_request = self.time - self.config.result_retention_s
        state.requests = {
            key: value for key, value in state.requests.items() if value[1] >= oldest_request
        }
        oldest_writer = self.time - WRITER_RETENTION_S
        state.writers = {
            name: progress
            for name, progress in state.writers.items()
            if progress.time >= oldest_writer
        }
        oldest_entry = self.time - ENTRY_RETENTION_S
        state.entries = {
            name: info for name, info in state.entries.items() if info.renewed_at >= oldest_entry
        }

    def _apply_body(self, record: Record, body: Body) -> Verdict:  # noqa: PLR0912
        match body:
            case ConfigPublished():
                return self._apply_config_published(record, body)
            case EntryUp():
                return self._apply_entry_up(record, body)
            case EntryDown():
                self.state.entries.pop(body.entry, None)
                return ACCEPTED
            case DomainClaimed():
                return self._apply_domain_claimed(record, body)
            case DomainRenewed():
                return self._apply_domain_renewed(record, body)
            case DomainReported():
                return self._apply_domain_reported(body)
            case JobAccepted():
                return self._apply_job_accepted(body)
            case JobRouted():
                return self._apply_job_routed(body)
            case AttemptStarted():
                return self._apply_attempt_started(body)
            case AttemptEnded():
                return self._apply_attempt_ended(record, body)
            case JobFinished():
                return self._apply_job_finished(record, body)
            case JobsCancelled():
                return self._apply_jobs_cancelled(record, body)
            case JobRefused():
                return self._apply_job_refused(record, body)
            case RequestStarted():
                return self._apply_request_started(record, body)
            case SnapshotChunk():
                return ACCEPTED
        return Verdict(False, "unknown record type")

    def _apply_config_published(self, record: Record, body: ConfigPublished) -> Verdict:
        current = self.config.version
        if body.base != current or body.version != current + 1:
            return Verdict(False, f"version {current} is in force")
        parsed = parse_config(body.text, body.version)
        if parsed.is_error():
            return Verdict(False, "invalid text")
        self.config = parsed.ok
        published = PublishedConfig(body.version, body.text, body.operator, record.time)
        self.state.config = published
        self.state.history.append(published)
        del self.state.history[:-20]
        return ACCEPTED

    def _apply_entry_up(self, record: Record, body: EntryUp) -> Verdict:
        self.state.entries[body.entry] = EntryInfo(
            body.entry,
            body.zone,
            body.http_address,
            body.pipe_address,
            self.time,
            body.version,
        )
        return ACCEPTED

    def _apply_domain_claimed(self, record: Record, body: DomainClaimed) -> Verdict:
        domain = self.state.domains.get(body.domain) or LedgerDomain()
        if body.base_epoch != domain.epoch or body.epoch != domain.epoch + 1:
            return Verdict(False, f"epoch {domain.epoch} is current")
        self.state.domains[body.domain] = domain
        domain.epoch = body.epoch
        domain.owner = body.entry
        domain.renewed_at = record.time
        return ACCEPTED

    def _apply_domain_renewed(self, record: Record, body: DomainRenewed) -> Verdict:
        if not self._is_current_epoch(body.domain, body.epoch):
            return Verdict(False, "old epoch")
        domain = self.state.domains[body.domain]
        domain.renewed_at = max(domain.renewed_at, record.time)
        domain.summary = body.summary or domain.summary
        return ACCEPTED

    def _apply_domain_reported(self, body: DomainReported) -> Verdict:
        if not self._is_current_epoch(body.domain, body.epoch):
            return Verdict(False, "old epoch")
        self.state.domains[body.domain].report = body
        return ACCEPTED

    def _is_current_epoch(self, domain: DomainId, epoch: Epoch) -> bool:
        ledger_domain = self.state.domains.get(domain)
        return ledger_domain is not None and ledger_domain.epoch == epoch

    def _apply_job_accepted(self, body: JobAccepted) -> Verdict:
        job = body.job
        if job.id in self.state.jobs:
            return Verdict(False, "job id is known")
        if self._caller_key(job) in self._jobs_by_key:
            return Verdict(False, "client key is known")
        self.state.jobs[job.id] = LedgerJob(job, body.domain)
        self._jobs_by_key[self._caller_key(job)] = job.id
        return ACCEPTED

    def _apply_job_routed(self, body: JobRouted) -> Verdict:
        ledger_job = self.state.jobs.get(body.job)
        if (
            ledger_job is None
            or ledger_job.state is not JobState.QUEUED
            or ledger_job.domain != body.domain
        ):
            return Verdict(False, "job is not queued in this domain")
        if not self._is_current_epoch(body.domain, body.epoch):
            return Verdict(False, "old epoch")
        ledger_job.domain = body.to
        ledger_job.moves += 1
        return ACCEPTED

    def _apply_attempt_started(self, body: AttemptStarted) -> Verdict:
        ledger_job = self.state.jobs.get(body.job)
        if (
            ledger_job is None
            or ledger_job.state is not JobState.QUEUED
            or ledger_job.domain != body.domain
        ):
            return Verdict(False, "job is not queued")
        if not self._is_current_epoch(body.domain, body.epoch):
            return Verdict(False, "old epoch")
        if body.attempt <= ledger_job.attempt:
            return Verdict(False, "old attempt")
        ledger_job.state = JobState.RUNNING
        ledger_job.attempt = body.attempt
        ledger_job.placements = body.placements
        ledger_job.cell = body.cell
        return ACCEPTED

    def _apply_attempt_ended(self, record: Record, body: AttemptEnded) -> Verdict:
        ledger_job = self.state.jobs.get(body.job)
        if (
            ledger_job is None
            or ledger_job.state is not JobState.RUNNING
            or ledger_job.attempt != body.attempt
        ):
            return Verdict(False, "attempt is not open")
        if not self._is_current_epoch(body.domain, body.epoch):
            return Verdict(False, "old epoch")
        ledger_job.placements = ()
        ledger_job.cell = None
        if body.outcome is AttemptOutcome.MAY_HAVE_RUN:
            ledger_job.reason = RefusalReason.MAY_HAVE_RUN
            self._end_job(record, ledger_job, JobState.MAY_HAVE_RUN)
        else:
            ledger_job.state = JobState.QUEUED
        return ACCEPTED

    def _apply_job_finished(self, record: Record, body: JobFinished) -> Verdict:
        ledger_job = self.state.jobs.get(body.job)
        if ledger_job is None:
            return Verdict(False, "job is unknown")
        if ledger_job.state.is_final:
            self.counters["result_dropped"] += 1
            return Verdict(False, "job has ended")
        ledger_job.result = body.result
        ledger_job.digest = body.digest
        ledger_job.attempt = max(ledger_job.attempt, body.attempt)
        self._end_job(record, ledger_job, JobState.FINISHED)
        return ACCEPTED

    def _apply_jobs_cancelled(self, record: Record, body: JobsCancelled) -> Verdict:
        cancelled = 0
        for job_id in body.jobs:
            ledger_job = self.state.jobs.get(job_id)
            if (
                ledger_job is None
                or ledger_job.state.is_final
                or ledger_job.job.organisation != body.organisation
            ):
                continue
            self._end_job(record, ledger_job, JobState.CANCELLED)
            cancelled += 1
        return ACCEPTED if cancelled else Verdict(False, "no job to cancel")

    def _apply_job_refused(self, record: Record, body: JobRefused) -> Verdict:
        ledger_job = self.state.jobs.get(body.job)
        if ledger_job is None or ledger_job.state is not JobState.QUEUED:
            return Verdict(False, "job is not queued")
        if not self._is_current_epoch(body.domain, body.epoch):
            return Verdict(False, "old epoch")
        ledger_job.reason = body.reason
        self._end_job(record, ledger_job, JobState.REFUSED)
        return ACCEPTED

    def _apply_request_started(self, record: Record, body: RequestStarted) -> Verdict:
        key = f"{body.organisation}/{body.caller}/{body.key}"
        known = self.state.requests.get(key)
        if known is not None and self.time - known[1] < self.config.result_retention_s:
            return Verdict(False, "request key is known")
        self.state.requests[key] = (body.entry, self.time)
        return ACCEPTED

    def _end_job(self, record: Record, ledger_job: LedgerJob, state: JobState) -> None:
        ledger_job.state = state
        ledger_job.ended_at = self.time
        ledger_job.placements = ()
        ledger_job.cell = None
        self._ended_at[ledger_job.job.id] = self.time
