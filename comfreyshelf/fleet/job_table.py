"""The state of all jobs, which every entry builds from the job records in the store."""

import hashlib
import threading
from collections import Counter
from collections.abc import Mapping
from enum import StrEnum

import msgspec

from comfreyshelf.fleet.jobs import Job, JobPhase, Progress
from comfreyshelf.fleet.store import KeyedRecord
from comfreyshelf.ids import JobId, OrganisationId

# Bytes of the digest that tells organisations apart in the keys of early cancels.
_DIGEST_BYTES = 8
# Bytes that the store adds to each record at most.
RECORD_HEADER_BYTES = 16


class _Kind(StrEnum):
    """What a record holds, by the first characters of its key; the job's id follows."""

    JOB = "j/"
    CANCEL = "c/"
    PROGRESS = "p/"
    # After the job's id, the key goes on with `/` and a digest of the organisation.
    EARLY_CANCEL = "e/"


class EarlyCancel(msgspec.Struct, frozen=True, array_like=True):
    """A cancel that came before its job; `at` is in seconds since the Unix epoch."""

    organisation: OrganisationId
    at: float


_decode_job = msgspec.msgpack.Decoder(Job).decode
_decode_progress = msgspec.msgpack.Decoder(Progress).decode
_decode_early_cancel = msgspec.msgpack.Decoder(EarlyCancel).decode


def job_record(job: Job) -> KeyedRecord:
    """The record by which a job is accepted."""
    return KeyedRecord(_Kind.JOB + job.id, msgspec.msgpack.encode(job))


def cancel_record(job: JobId, unix_now: float) -> KeyedRecord:
    """The record by which a job is cancelled; `unix_now` is in seconds since the Unix epoch."""
    return KeyedRecord(_Kind.CANCEL + job, msgspec.msgpack.encode(unix_now))


def early_cancel_record(job: JobId, organisation: OrganisationId, unix_now: float) -> KeyedRecord:
    """The record by which an organisation cancels a job that no entry knows.

    The job may still arrive, as the store may carry an append out long after its caller was told
    that it got no answer. It is cancelled then, unless it is of another organisation.
    """
    digest = hashlib.blake2b(organisation.encode(), digest_size=_DIGEST_BYTES).hexdigest()
    cancel = EarlyCancel(organisation, unix_now)
    return KeyedRecord(f"{_Kind.EARLY_CANCEL}{job}/{digest}", msgspec.msgpack.encode(cancel))


def progress_record(job: JobId, progress: Progress) -> KeyedRecord:
    """The record of a job's progress."""
    return KeyedRecord(_Kind.PROGRESS + job, msgspec.msgpack.encode(progress))


def split_records(records: list[KeyedRecord], max_bytes: int) -> list[list[KeyedRecord]]:
    """Split records into batches of at most `max_bytes`; a larger record is a batch of its own."""
    batches: list[list[KeyedRecord]] = []
    size = max_bytes
    for record in records:
        record_bytes = len(record.key) + len(record.value) + RECORD_HEADER_BYTES
        if size + record_bytes > max_bytes:
            batches.append([])
            size = 0
        batches[-1].append(record)
        size += record_bytes
    return batches


class StoredJob(msgspec.Struct):
    """A job as stored; `job` is None until its acceptance record has been read.

    `cancelled` is whether it was cancelled while it was known, `early_cancels` are the cancels that
    came before, by key. `offsets` holds the offset of the last record applied, by key.
    """

    job: Job | None = None
    cancelled: bool = False
    progress: Progress = msgspec.field(default_factory=Progress)
    offsets: dict[str, int] = {}
    early_cancels: Mapping[str, EarlyCancel] = {}

    @property
    def is_cancelled(self) -> bool:
        """Whether the job was cancelled, while it was known or before by its organisation."""
        if self.cancelled or self.job is None or not self.early_cancels:
            return self.cancelled
        return self.is_cancelled_early_by(self.job.organisation)

    def is_cancelled_early_by(self, organisation: OrganisationId) -> bool:
        """Whether an organisation has cancelled the job before it was known."""
        return any(cancel.organisation == organisation for cancel in self.early_cancels.values())

    @property
    def is_empty(self) -> bool:
        """Whether the store keeps no record of the job."""
        has_progress = self.progress.phase is not JobPhase.QUEUED or bool(self.progress.tasks)
        return self.job is None and not (self.cancelled or self.early_cancels or has_progress)

    @property
    def phase(self) -> JobPhase:
        """The state that callers are shown, in which a cancellation takes effect at once."""
        if self.is_cancelled and not self.progress.phase.is_final:
            return JobPhase.CANCELLED
        return self.progress.phase


class JobTable:
    """Stored jobs by id, built from records; thread-safe.

    A record is applied only if its offset is higher than that of the last one with the same key, so
    that records may arrive repeatedly and in any order.
    """

    def __init__(self) -> None:
        self.lock = threading.RLock()
        self._entries: dict[JobId, StoredJob] = {}
        self._early_cancel_counts: Counter[OrganisationId] = Counter()

    def apply(self, record: KeyedRecord) -> JobId | None:
        """Apply one record; returns the job that changed, None if none did or it was deleted."""
        job_id = JobId(record.key[2:].partition("/")[0])
        with self.lock:
            entry = self._entries.get(job_id) or StoredJob()
            if entry.offsets.get(record.key, -1) >= record.offset:
                return None
            entry.offsets[record.key] = record.offset
            self._apply_value(entry, record.key, record.value)
            if entry.is_empty:
                self._entries.pop(job_id, None)
            else:
                self._entries[job_id] = entry
        return job_id if record.value else None

    def _apply_value(self, entry: StoredJob, key: str, value: bytes) -> None:
        """Set what the record of a key holds; an empty value deletes it."""
        match key[:2]:
            case _Kind.JOB:
                entry.job = (entry.job or _decode_job(value)) if value else None
            case _Kind.CANCEL:
                entry.cancelled = bool(value)
            case _Kind.PROGRESS:
                entry.progress = _decode_progress(value) if value else Progress()
            case _Kind.EARLY_CANCEL:
                self._set_early_cancel(entry, key, _decode_early_cancel(value) if value else None)

    def _set_early_cancel(self, entry: StoredJob, key: str, cancel: EarlyCancel | None) -> None:
        cancels = dict(entry.early_cancels)
        former = cancels.pop(key, None)
        if former is not None:
            self._early_cancel_counts[former.organisation] -= 1
        if cancel is not None:
            cancels[key] = cancel
            self._early_cancel_counts[cancel.organisation] += 1
        # Other threads may be reading the former cancels.
        entry.early_cancels = cancels

    def count_early_cancels(self, organisation: OrganisationId) -> int:
        """The number of jobs that an organisation has cancelled before they were known."""
        with self.lock:
            return self._early_cancel_counts[organisation]

    def is_cancelled_early(self, job: JobId, organisation: OrganisationId) -> bool:
        """Whether an organisation has cancelled a job before it was known."""
        with self.lock:
            entry = self._entries.get(job)
            return entry is not None and entry.is_cancelled_early_by(organisation)

    def removal_records(self, before: float) -> list[KeyedRecord]:
        """Empty records that delete what is kept of jobs that ended before a time.

        Cancels of jobs that never arrived are deleted, too, if they came before that time, which is
        in seconds since the Unix epoch.
        """
        with self.lock:
            return [
                KeyedRecord(key, b"")
                for job, entry in self._entries.items()
                for key in _outdated_keys(job, entry, before)
            ]

    def get(self, job: JobId) -> StoredJob | None:
        """An accepted job, None if it is unknown."""
        with self.lock:
            entry = self._entries.get(job)
            return entry if entry is not None and entry.job is not None else None

    def accepted_jobs(self) -> list[StoredJob]:
        """All accepted jobs."""
        with self.lock:
            return [entry for entry in self._entries.values() if entry.job is not None]

    def count_waiting(self, queue: str) -> int:
        """The number of accepted jobs of a queue of which no task has started."""
        return sum(
            1
            for entry in self.accepted_jobs()
            if entry.job is not None and entry.job.queue == queue and entry.phase is JobPhase.QUEUED
        )


def _outdated_keys(job: JobId, entry: StoredJob, before: float) -> list[str]:
    """The keys of the records of a job that are no longer needed at a time."""
    if 0 < entry.progress.ended_at < before:
        return [_Kind.JOB + job, _Kind.CANCEL + job, _Kind.PROGRESS + job, *entry.early_cancels]
    if entry.job is not None:
        return []
    return [key for key, cancel in entry.early_cancels.items() if cancel.at < before]
