"""Pollers that apply job records and configuration from the store to an entry's memory."""

import threading
from collections.abc import Callable

import msgspec

from comfreyshelf.errors import UserError
from comfreyshelf.fleet.bounds import monotonic
from comfreyshelf.fleet.codec import Codec
from comfreyshelf.fleet.job_table import JobTable
from comfreyshelf.fleet.jobs import FleetConfig
from comfreyshelf.fleet.store import (
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
        """Read the records that are available now, without waiting for new ones."""
        self.read(0)

    def read(self, wait_ms: int, max_timeout_s: float = float("inf")) -> None:
        """Read once and apply the records; waits at most `wait_ms` for one.

        The read counts as unanswered after `max_timeout_s` on each route at the latest.
        """
        with self._lock:
            offset = self._next_offset
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


class ConfigReader(Poller):
    """Polls the store for the operators' configuration and passes each newer version on.

    An older version never replaces a newer one.
    """

    def __init__(
        self, store: Store, codec: Codec, on_change: Callable[[FleetConfig], None]
    ) -> None:
        super().__init__("config-reader")
        self._store = store
        self._codec = codec
        self._on_change = on_change
        self._next_offset = -1
        # After a failure, a short read tells whether the store answers at all.
        self._wait_ms = READ_WAIT_MS
        self.config: FleetConfig | None = None

    def poll(self) -> None:
        topic = self._codec.config_topic
        try:
            if self._next_offset < 0:
                batch = self._store.read_newest(topic)
            else:
                batch = self._store.read(topic, self._next_offset, self._wait_ms)
        except ExpiredError as exc:
            log_event("configuration records expired", why=str(exc))
            self._next_offset = -1
            return
        except (StoreBusyError, StoreSilentError, msgspec.DecodeError):
            self._wait_ms = 0
            self.wait(RETRY_S)
            return
        self._wait_ms = READ_WAIT_MS
        self._next_offset = batch.next_offset
        newest = [r for r in batch.records if r.key == self._codec.config_key and r.value]
        if newest:
            self._apply_config(newest[-1].value)
        elif self.config is None:
            # The operators' first configuration has not been written yet.
            self._next_offset = -1
            self.wait(RETRY_S)

    def _apply_config(self, value: bytes) -> None:
        try:
            config = self._codec.decode_config(value)
        except UserError as exc:
            log_event("configuration refused", why=str(exc))
            return
        if self.config is not None and config.version <= self.config.version:
            return
        log_event(
            "configuration in force",
            version=config.version,
            before=self.config.version if self.config else 0,
        )
        self.config = config
        self._on_change(config)
