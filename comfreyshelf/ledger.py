"""The fold of the log: every process applies the same records with the same rules."""

from collections import Counter, OrderedDict

from comfreyshelf.config import EMPTY_CONFIG, Config
from comfreyshelf.config_text import parse_config
from comfreyshelf.ids import CallerId, DomainId, Epoch, JobId, Offset, OrganisationId, RecordId
from comfreyshelf.ledger_state import (
    ACCEPTED,
    CallerKey,
    ConfigEntry,
    DomainEntry,
    EntryInfo,
    JobEntry,
    LedgerState,
    Verdict,
    WriterMark,
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
# One record with a wrong clock must not make every reader forget ended jobs at once.
MAX_TIME_STEP_S = 60.0
WRITER_RETENTION_S = 24 * 3600.0
ENTRY_RETENTION_S = 3600.0
# Entries announce themselves every 10 s.
ENTRY_EXPIRES_S = 35.0
SWEEP_INTERVAL_S = 60.0

REPEATED = "repeated"


class Ledger:
    """Folds records in offset order; `next_offset` is the offset to read next.

    `apply` returns the verdict on each record. A writer appends in the order of its sequence
    numbers and repeats a batch whole, so a record at or below the highest number seen of its writer
    is a repetition and counts once. The newest verdicts are kept, so a writer whose answer was lost
    can look up what became of its record.
    """

    def __init__(self) -> None:
        self.state = LedgerState()
        self.config: Config = EMPTY_CONFIG
        self.next_offset = Offset(0)
        self.counters: Counter[str] = Counter()
        self._verdicts: OrderedDict[RecordId, Verdict] = OrderedDict()
        self._keys: dict[CallerKey, JobId] = {}
        self._ended: OrderedDict[JobId, float] = OrderedDict()
        self._swept_at = 0.0

    @property
    def time(self) -> float:
        """The time of the fold in seconds since the epoch."""
        return self.state.time

    def apply(self, offset: Offset, record: Record) -> Verdict:
        """Apply the record at `offset`; a repeated record counts once."""
        self.next_offset = Offset(offset + 1)
        if self._is_repeated(record):
            self.counters["record_repeated"] += 1
            return Verdict(False, REPEATED)
        self._advance_time(record.time)
        verdict = self._dispatch(record, record.body)
        self._remember(record.id, verdict)
        kind = "accepted" if verdict.accepted else "rejected"
        self.counters[f"record_{kind}"] += 1
        self._forget_old()
        return verdict

    def skip(self, offset: Offset) -> None:
        """Pass over a damaged record."""
        self.next_offset = Offset(offset + 1)
        self.counters["record_damaged"] += 1

    def verdict(self, record: RecordId) -> Verdict | None:
        """What became of a record, or None if it was not read yet."""
        return self._verdicts.get(record)

    def job_by_key(self, organisation: OrganisationId, caller: CallerId, key: str) -> JobId | None:
        """The job that a caller's client key names."""
        return self._keys.get((organisation, caller, key))

    def live_entries(self) -> list[EntryInfo]:
        """The entries that renewed their announcement lately, in order of name."""
        horizon = self.time - ENTRY_EXPIRES_S
        entries = self.state.entries.items()
        return [info for _, info in sorted(entries) if info.renewed_at >= horizon]

    def restore(self, state: LedgerState, covers: Offset) -> None:
        """Replace everything by a snapshot that covers the offsets below `covers`."""
        self.state = state
        self.next_offset = covers
        self._verdicts.clear()
        self._keys = {self._key(entry.job): entry.job.id for entry in state.jobs.values()}
        ended = [entry for entry in state.jobs.values() if entry.state.final]
        ended.sort(key=lambda entry: entry.ended_at)
        self._ended = OrderedDict((entry.job.id, entry.ended_at) for entry in ended)
        if state.config is not None:
            parsed = parse_config(state.config.text, state.config.version)
            self.config = parsed.default_value(EMPTY_CONFIG)

    @staticmethod
    def _key(job: Job) -> CallerKey:
        return (job.organisation, job.caller, job.key)

    def _is_repeated(self, record: Record) -> bool:
        writer, sequence = split_record_id(record.id)
        mark = self.state.writers.get(writer)
        if mark is None:
            self.state.writers[writer] = WriterMark(sequence, record.time)
            return False
        if sequence <= mark.sequence:
            return True
        mark.sequence = sequence
        mark.time = record.time
        return False

    def _advance_time(self, time: float) -> None:
        state = self.state
        limit = state.time + MAX_TIME_STEP_S if state.time else time
        state.time = max(state.time, min(time, limit))

    def _remember(self, record: RecordId, verdict: Verdict) -> None:
        self._verdicts[record] = verdict
        if len(self._verdicts) > MAX_VERDICTS:
            self._verdicts.popitem(last=False)

    def _forget_old(self) -> None:
        while self._ended:
            job, ended_at = next(iter(self._ended.items()))
            if self.time - ended_at < self.config.result_retention_s:
                break
            del self._ended[job]
            entry = self.state.jobs.pop(job)
            self._keys.pop(self._key(entry.job), None)
        if self.time - self._swept_at > SWEEP_INTERVAL_S:
            self._sweep()

    def _sweep(self) -> None:
        """Drop request keys, writers and entries that have not been seen for long."""
        state = self.state
        self._swept_at = self.time
        keys_from = self.time - self.config.result_retention_s
        state.requests = {
            key: value for key, value in state.requests.items() if value[1] >= keys_from
        }
        writers_from = self.time - WRITER_RETENTION_S
        state.writers = {
            name: mark for name, mark in state.writers.items() if mark.time >= writers_from
        }
        entries_from = self.time - ENTRY_RETENTION_S
        state.entries = {
            name: info for name, info in state.entries.items() if info.renewed_at >= entries_from
        }

    def _dispatch(self, record: Record, body: Body) -> Verdict:  # noqa: PLR0912
        match body:
            case ConfigPublished():
                return self._publish(record, body)
            case EntryUp():
                return self._entry_up(record, body)
            case EntryDown():
                self.state.entries.pop(body.entry, None)
                return ACCEPTED
            case DomainClaimed():
                return self._claim(record, body)
            case DomainRenewed():
                return self._renew(record, body)
            case DomainReported():
                return self._report(body)
            case JobAccepted():
                return self._accept(body)
            case JobRouted():
                return self._route(body)
            case AttemptStarted():
                return self._start(body)
            case AttemptEnded():
                return self._end(record, body)
            case JobFinished():
                return self._finish(record, body)
            case JobsCancelled():
                return self._cancel(record, body)
            case JobRefused():
                return self._refuse(record, body)
            case RequestStarted():
                return self._request(record, body)
            case SnapshotChunk():
                return ACCEPTED
        return Verdict(False, "unknown record type")

    def _publish(self, record: Record, body: ConfigPublished) -> Verdict:
        current = self.config.version
        if body.base != current or body.version != current + 1:
            return Verdict(False, f"version {current} is in force")
        parsed = parse_config(body.text, body.version)
        if parsed.is_error():
            return Verdict(False, "invalid text")
        self.config = parsed.ok
        entry = ConfigEntry(body.version, body.text, body.operator, record.time)
        self.state.config = entry
        self.state.history.append(entry)
        del self.state.history[:-20]
        return ACCEPTED

    def _entry_up(self, record: Record, body: EntryUp) -> Verdict:
        self.state.entries[body.entry] = EntryInfo(
            body.entry,
            body.zone,
            body.http_address,
            body.pipe_address,
            self.time,
            body.version,
        )
        return ACCEPTED

    def _claim(self, record: Record, body: DomainClaimed) -> Verdict:
        domain = self.state.domains.get(body.domain) or DomainEntry()
        if body.base_epoch != domain.epoch or body.epoch != domain.epoch + 1:
            return Verdict(False, f"epoch {domain.epoch} is current")
        self.state.domains[body.domain] = domain
        domain.epoch = body.epoch
        domain.owner = body.entry
        domain.renewed_at = record.time
        return ACCEPTED

    def _renew(self, record: Record, body: DomainRenewed) -> Verdict:
        if not self._is_owner(body.domain, body.epoch):
            return Verdict(False, "old epoch")
        domain = self.state.domains[body.domain]
        domain.renewed_at = max(domain.renewed_at, record.time)
        domain.summary = body.summary or domain.summary
        return ACCEPTED

    def _report(self, body: DomainReported) -> Verdict:
        if not self._is_owner(body.domain, body.epoch):
            return Verdict(False, "old epoch")
        self.state.domains[body.domain].report = body
        return ACCEPTED

    def _is_owner(self, domain: DomainId, epoch: Epoch) -> bool:
        entry = self.state.domains.get(domain)
        return entry is not None and entry.epoch == epoch

    def _accept(self, body: JobAccepted) -> Verdict:
        job = body.job
        if job.id in self.state.jobs:
            return Verdict(False, "job id is known")
        if self._key(job) in self._keys:
            return Verdict(False, "client key is known")
        self.state.jobs[job.id] = JobEntry(job, body.domain)
        self._keys[self._key(job)] = job.id
        return ACCEPTED

    def _route(self, body: JobRouted) -> Verdict:
        entry = self.state.jobs.get(body.job)
        if entry is None or entry.state is not JobState.QUEUED or entry.domain != body.domain:
            return Verdict(False, "job is not queued there")
        if not self._is_owner(body.domain, body.epoch):
            return Verdict(False, "old epoch")
        entry.domain = body.to
        entry.moves += 1
        return ACCEPTED

    def _start(self, body: AttemptStarted) -> Verdict:
        entry = self.state.jobs.get(body.job)
        if entry is None or entry.state is not JobState.QUEUED or entry.domain != body.domain:
            return Verdict(False, "job is not queued")
        if not self._is_owner(body.domain, body.epoch):
            return Verdict(False, "old epoch")
        if body.attempt <= entry.attempt:
            return Verdict(False, "old attempt")
        entry.state = JobState.RUNNING
        entry.attempt = body.attempt
        entry.placements = body.placements
        entry.cell = body.cell
        return ACCEPTED

    def _end(self, record: Record, body: AttemptEnded) -> Verdict:
        entry = self.state.jobs.get(body.job)
        if entry is None or entry.state is not JobState.RUNNING or entry.attempt != body.attempt:
            return Verdict(False, "attempt is not open")
        if not self._is_owner(body.domain, body.epoch):
            return Verdict(False, "old epoch")
        entry.placements = ()
        entry.cell = None
        if body.outcome is AttemptOutcome.MAY_HAVE_RUN:
            entry.reason = RefusalReason.MAY_HAVE_RUN
            self._close(record, entry, JobState.MAY_HAVE_RUN)
        else:
            entry.state = JobState.QUEUED
        return ACCEPTED

    def _finish(self, record: Record, body: JobFinished) -> Verdict:
        entry = self.state.jobs.get(body.job)
        if entry is None:
            return Verdict(False, "job is unknown")
        if entry.state.final:
            self.counters["result_dropped"] += 1
            return Verdict(False, "job has ended")
        entry.result = body.result
        entry.digest = body.digest
        entry.attempt = max(entry.attempt, body.attempt)
        self._close(record, entry, JobState.FINISHED)
        return ACCEPTED

    def _cancel(self, record: Record, body: JobsCancelled) -> Verdict:
        cancelled = 0
        for job in body.jobs:
            entry = self.state.jobs.get(job)
            if entry is None or entry.state.final or entry.job.organisation != body.organisation:
                continue
            self._close(record, entry, JobState.CANCELLED)
            cancelled += 1
        return ACCEPTED if cancelled else Verdict(False, "no job to cancel")

    def _refuse(self, record: Record, body: JobRefused) -> Verdict:
        entry = self.state.jobs.get(body.job)
        if entry is None or entry.state is not JobState.QUEUED:
            return Verdict(False, "job is not queued")
        if not self._is_owner(body.domain, body.epoch):
            return Verdict(False, "old epoch")
        entry.reason = body.reason
        self._close(record, entry, JobState.REFUSED)
        return ACCEPTED

    def _request(self, record: Record, body: RequestStarted) -> Verdict:
        key = f"{body.organisation}/{body.caller}/{body.key}"
        known = self.state.requests.get(key)
        if known is not None and self.time - known[1] < self.config.result_retention_s:
            return Verdict(False, "request key is known")
        self.state.requests[key] = (body.entry, self.time)
        return ACCEPTED

    def _close(self, record: Record, entry: JobEntry, state: JobState) -> None:
        entry.state = state
        entry.ended_at = self.time
        entry.placements = ()
        entry.cell = None
        self._ended[entry.job.id] = self.time
