"""Applies job records from the store to an entry's memory."""

import threading
from collections.abc import Callable

import msgspec

from comfreyshelf.fleet.bounds import monotonic
from comfreyshelf.fleet.job_table import JobTable
from comfreyshelf.fleet.store import (
    Batch,
    ExpiredError,
    KeyedRecord,
    Store,
    StoreBusyError,
    StoreSilentError,
    Writer,
)
from comfreyshelf.fleet.topic_reachability import TopicReachability
from comfreyshelf.ids import JobId
from comfreyshelf.logs import log_event
from comfreyshelf.tasks import Poller

JOBS_TOPIC = "jobs"
# How long the store may hold a read until a record arrives.
READ_WAIT_MS = 1000
# The time that each route to the store has to answer a probe. A slow store takes up to 0.3 s.
PROBE_TIMEOUT_S = 0.5
# Pause before a failed call to the store is repeated.
RETRY_S = 0.2


class JobSync:
    """Keeps an entry's job table up to date with the job records in the store; thread-safe.

    It applies the records that it reads, and those that this entry appends as soon as they are
    stored. `on_change` is called with each job that changed.
    """

    def __init__(
        self, store: Store, job_table: JobTable, on_change: Callable[[JobId], None]
    ) -> None:
        self._store = store
        self._job_table = job_table
        self._on_change = on_change
        self._lock = threading.Lock()
        self._next_offset = -1
        self.last_read_at = float("-inf")
        self.reachability = TopicReachability(lambda: self.read(0, PROBE_TIMEOUT_S))

    def append(
        self,
        records: list[KeyedRecord],
        writer: Writer | None = None,
        max_timeout_s: float = float("inf"),
    ) -> None:
        """Append records to the store, then apply them to the job table."""
        try:
            first_offset = self._store.append(JOBS_TOPIC, records, writer, max_timeout_s)
        except StoreSilentError:
            self.reachability.record_failure()
            raise
        self.reachability.record_answer()
        self._apply(
            [
                KeyedRecord(record.key, record.value, first_offset + index)
                for index, record in enumerate(records)
            ]
        )

    def catch_up(self) -> None:
        """Read all records that are available now, without waiting for new ones.

        One answer of the store holds a part of them only, if this entry is far behind. Raises
        StoreBusyError or StoreSilentError if it could not read them all.
        """
        end_offset = self.read(0).end_offset
        while (known := self._known_offset()) < end_offset:
            batch = self.read(0)
            if max(batch.next_offset, self._known_offset()) <= known:
                raise StoreSilentError(
                    f"the store holds records up to {end_offset} and shows none after {known}",
                    "read again",
                )

    def _known_offset(self) -> int:
        with self._lock:
            return self._next_offset

    def read(self, wait_ms: int, max_timeout_s: float = float("inf")) -> Batch:
        """Read once, apply the records and return them; waits at most `wait_ms` for one.

        The read counts as unanswered after `max_timeout_s` on each route at the latest.
        """
        offset = self._known_offset()
        try:
            if offset < 0:
                batch = self._store.read_newest(JOBS_TOPIC)
            else:
                batch = self._store.read(JOBS_TOPIC, offset, wait_ms, max_timeout_s)
        except ExpiredError as exc:
            log_event("records expired", why=str(exc))
            batch = self._store.read_newest(JOBS_TOPIC)
        self.reachability.record_answer()
        self._apply(list(batch.records))
        with self._lock:
            self._next_offset = max(self._next_offset, batch.next_offset)
            self.last_read_at = monotonic()
        return batch

    def _apply(self, records: list[KeyedRecord]) -> None:
        for record in records:
            try:
                job = self._job_table.apply(record)
            except msgspec.DecodeError as exc:
                log_event("record cannot be decoded", key=record.key, why=str(exc))
                continue
            if job is not None:
                self._on_change(job)


class JobReader(Poller):
    """Polls the store for job records."""

    def __init__(self, job_sync: JobSync) -> None:
        super().__init__("job-reader")
        self._job_sync = job_sync
        # After a failure, a short read tells whether the store answers at all.
        self._wait_ms = READ_WAIT_MS

    def poll(self) -> None:
        try:
            self._job_sync.read(self._wait_ms)
            self._wait_ms = READ_WAIT_MS
        except (StoreBusyError, StoreSilentError, msgspec.DecodeError):
            self._wait_ms = 0
            self.wait(RETRY_S)
