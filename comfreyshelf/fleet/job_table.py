"""The state of all jobs, which every entry builds from the job records in the store."""

import threading

import msgspec

from comfreyshelf.fleet.jobs import Job, JobPhase, Progress
from comfreyshelf.fleet.store import KeyedRecord
from comfreyshelf.ids import JobId

_JOB = "j/"
_CANCEL = "c/"
_PROGRESS = "p/"
# Bytes that the store adds to each record at most.
RECORD_HEADER_BYTES = 16

_decode_job = msgspec.msgpack.Decoder(Job).decode
_decode_progress = msgspec.msgpack.Decoder(Progress).decode


def job_record(job: Job) -> KeyedRecord:
    """The record by which a job is accepted."""
    return KeyedRecord(_JOB + job.id, msgspec.msgpack.encode(job))


def cancel_record(job: JobId, unix_now: float) -> KeyedRecord:
    """The record by which a job is cancelled; `unix_now` is in seconds since the Unix epoch."""
    return KeyedRecord(_CANCEL + job, msgspec.msgpack.encode(unix_now))


def progress_record(job: JobId, progress: Progress) -> KeyedRecord:
    """The record of a job's progress."""
    return KeyedRecord(_PROGRESS + job, msgspec.msgpack.encode(progress))


def removal_records(job: JobId) -> list[KeyedRecord]:
    """Empty records that delete all records of a job from the store."""
    return [KeyedRecord(prefix + job, b"") for prefix in (_JOB, _CANCEL, _PROGRESS)]


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

    `offsets` holds the offset of the last record applied, by key prefix.
    """

    job: Job | None = None
    cancelled: bool = False
    progress: Progress = msgspec.field(default_factory=Progress)
    offsets: dict[str, int] = {}

    @property
    def phase(self) -> JobPhase:
        """The state that callers are shown, in which a cancellation takes effect at once."""
        if self.cancelled and not self.progress.phase.is_final:
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

    def apply(self, record: KeyedRecord) -> JobId | None:
        """Apply one record; returns the job that changed, None if none did or it was deleted."""
        prefix, job_id = record.key[:2], JobId(record.key[2:])
        with self.lock:
            entry = self._entries.get(job_id) or StoredJob()
            if entry.offsets.get(prefix, -1) >= record.offset:
                return None
            entry.offsets[prefix] = record.offset
            if not record.value:
                self._entries.pop(job_id, None)
                return None
            self._entries[job_id] = entry
            if prefix == _JOB:
                entry.job = entry.job or _decode_job(record.value)
            elif prefix == _CANCEL:
                entry.cancelled = True
            elif prefix == _PROGRESS:
                entry.progress = _decode_progress(record.value)
        return job_id

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
