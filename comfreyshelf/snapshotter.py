"""Task of an entry that appends snapshots of the ledger."""

import time

from comfreyshelf import logs
from comfreyshelf.ids import EntryId
from comfreyshelf.journal import Appender, LedgerReader
from comfreyshelf.ledger import Verdict
from comfreyshelf.metrics import Metrics
from comfreyshelf.records import Record, SnapshotChunk
from comfreyshelf.settings import EntrySettings
from comfreyshelf.snapshots import SnapshotSchedule, encode_snapshot
from comfreyshelf.tasks import Poller

CHECK_INTERVAL_S = 1.0
APPEND_TIMEOUT_S = 60.0


class Snapshotter(Poller):
    """Appends a snapshot when one is due and no entry of a lower rank appended it first."""

    def __init__(
        self, cfg: EntrySettings, reader: LedgerReader, appender: Appender, metrics: Metrics
    ) -> None:
        super().__init__("snapshots")
        self._entry = EntryId(cfg.name)
        self._reader = reader
        self._appender = appender
        self._metrics = metrics
        self._schedule = SnapshotSchedule(cfg.log_retention_s)
        reader.on_record(self._on_record)

    def poll(self) -> None:
        """Wait for CHECK_INTERVAL_S, then append a snapshot if one is due."""
        self.wait(CHECK_INTERVAL_S)
        if not self._reader.log_up:
            return
        if self._schedule.is_due(time.monotonic(), self._entry_rank()):
            self.append_snapshot()

    def append_snapshot(self) -> None:
        """Append a snapshot of the current ledger."""
        started = time.monotonic()
        with self._reader.lock:
            chunks = encode_snapshot(self._reader.ledger)
        self._metrics.record_latency("snapshot_encode", time.monotonic() - started)
        futures = [self._appender.submit(chunk, APPEND_TIMEOUT_S) for chunk in chunks]
        confirmed = all(future.result().verdict is not None for future in futures)
        size = sum(len(chunk.data) for chunk in chunks)
        self._metrics.set_gauge("snapshot_bytes", size)
        if confirmed:
            self._schedule.record_snapshot(time.monotonic())
            self._metrics.count("snapshots")
            logs.log_event("snapshot appended", bytes=size, chunks=len(chunks))

    def _entry_rank(self) -> int:
        with self._reader.lock:
            names = sorted(self._reader.ledger.state.entries)
        return names.index(self._entry) if self._entry in names else len(names)

    def _on_record(self, record: Record, verdict: Verdict) -> None:
        body = record.body
        if isinstance(body, SnapshotChunk) and body.index == body.count - 1:
            self._schedule.record_snapshot(time.monotonic())
