"""Tasks of an entry that apply the log to the ledger and append records to the log."""

import queue
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future

import msgspec
from absl import logging

from comfreyshelf import logs
from comfreyshelf.errors import LogUnavailableError, RecordError
from comfreyshelf.ids import Offset, RecordId
from comfreyshelf.ledger import Ledger, Verdict
from comfreyshelf.log import LogClient, Page
from comfreyshelf.metrics import LOG_PEER, Metrics
from comfreyshelf.reasons import RetryReason
from comfreyshelf.records import AnyBody, Record, decode_record, encode_record, make_record_id
from comfreyshelf.snapshots import Recovery
from comfreyshelf.tasks import Poller, Task

READ_WAIT_S = 0.5
READ_RETRY_S = 0.1
# The log counts as unreachable only after this time without any answer, because a single failed
# read may be due to a lost packet.
OUTAGE_AFTER_S = 1.0
MAX_BATCH_RECORDS = 64
MAX_BATCH_BYTES = 512 * 1024
RETRY_DELAY_S = 0.5

RecordListener = Callable[[Record, Verdict], None]
ReachabilityListener = Callable[[bool], None]
ResetListener = Callable[[], None]


class LedgerReader(Poller):
    """Reads the log and applies its records to the ledger, which nothing else may change.

    It starts with a recovery, which ends when the reader reaches the end of the log; no listener is
    called before that. If records expire before they were read, the reader recovers again and then
    calls the reset listeners.
    Listeners run in the reader's thread and must not block. Other threads hold `lock` while they
    read the ledger; it is a condition that is notified when records were applied.
    """

    def __init__(self, log: LogClient, metrics: Metrics, accept_lost_history: bool = False) -> None:
        super().__init__("ledger-reader")
        self.lock = threading.Condition()
        self.ledger = Ledger()
        self.log_up = False
        self.caught_up = threading.Event()
        self._log = log
        self._metrics = metrics
        self._accept_lost_history = accept_lost_history
        self._next_offset = Offset(0)
        self._recovery: Recovery | None = Recovery(Offset(0))
        self._record_listeners: list[RecordListener] = []
        self._reachability_listeners: list[ReachabilityListener] = []
        self._reset_listeners: list[ResetListener] = []
        self._last_answer_at = time.monotonic()
        self._started_at = time.monotonic()

    def on_record(self, listener: RecordListener) -> None:
        """Call `listener` after each record is applied."""
        self._record_listeners.append(listener)

    def on_reachability_change(self, listener: ReachabilityListener) -> None:
        """Call `listener` when the log becomes reachable or unreachable."""
        self._reachability_listeners.append(listener)

    def on_reset(self, listener: ResetListener) -> None:
        """Call `listener` when the ledger was rebuilt because records expired before being read."""
        self._reset_listeners.append(listener)

    def wait_until(self, condition: Callable[[Ledger], bool], timeout_s: float) -> bool:
        """Wait until `condition(ledger)` holds, checked under the lock; False after the timeout."""
        with self.lock:
            return self.lock.wait_for(lambda: condition(self.ledger), timeout_s)

    def catch_up(self, timeout_s: float) -> bool:
        """Wait until the records that the log holds now are applied; returns False on a timeout.

        Raises LogUnavailableError if the log does not tell what it holds.
        """
        end = self._next_offset
        while (page := self._log.read(end)).items:
            end = Offset(page.next)
        return self.wait_until(lambda _: self._next_offset >= end, timeout_s)

    def poll(self) -> None:
        """Read one page and apply it."""
        try:
            page = self._log.read(self._next_offset, READ_WAIT_S)
        except LogUnavailableError:
            self._metrics.count_retry(RetryReason.LOG_UNAVAILABLE)
            if time.monotonic() - self._last_answer_at > OUTAGE_AFTER_S:
                self._set_log_up(False)
            self.wait(READ_RETRY_S)
            return
        self._last_answer_at = time.monotonic()
        self._metrics.count_bytes_received(LOG_PEER, sum(len(data) for _, data in page.items))
        if page.oldest > self._next_offset:
            self._restart_recovery(Offset(page.oldest))
        self._process_page(page)
        if not page.items and self._finish_recovery():
            self.caught_up.set()
            self._set_log_up(True)

    def _restart_recovery(self, oldest: Offset) -> None:
        self._metrics.count("recoveries")
        self._recovery = Recovery(oldest)

    def _process_page(self, page: Page) -> None:
        for offset, data in page.items:
            record = self._decode(data)
            if self._recovery is not None:
                self._recovery.add(Offset(offset), record)
            else:
                self._apply(Offset(offset), record)
        with self.lock:
            self._next_offset = Offset(page.next)
            self.lock.notify_all()

    def _decode(self, data: bytes) -> Record | None:
        try:
            return decode_record(data)
        except RecordError:
            self._metrics.count("record_damaged")
            return None

    def _apply(self, offset: Offset, record: Record | None) -> None:
        with self.lock:
            if record is None:
                self.ledger.skip(offset)
                return
            verdict = self.ledger.apply(offset, record)
            self.lock.notify_all()
        for listener in self._record_listeners:
            listener(record, verdict)

    def _finish_recovery(self) -> bool:
        """Rebuild the ledger if a recovery is under way; returns False if records are missing."""
        recovery = self._recovery
        if recovery is None:
            return True
        if not recovery.is_complete and not self._accept_lost_history:
            self._metrics.set_gauge("history_missing", 1.0)
            return False
        with self.lock:
            recovery.rebuild(self.ledger)
            self.lock.notify_all()
        self._recovery = None
        self._metrics.set_gauge("history_missing", 0.0)
        if self.caught_up.is_set():
            logging.warning(
                "records expired before they were read; the ledger was rebuilt from a snapshot"
            )
            for listener in self._reset_listeners:
                listener()
        else:
            self._metrics.set_gauge("recovery_seconds", time.monotonic() - self._started_at)
        return True

    def _set_log_up(self, up: bool) -> None:
        if up == self.log_up:
            return
        self.log_up = up
        logs.log_event("log service reachable" if up else "log service unreachable")
        self._metrics.set_gauge("log_up", float(up))
        for listener in self._reachability_listeners:
            listener(up)


class PendingAppend(msgspec.Struct):
    """A record to append; `deadline` is in monotonic seconds, or 0 for none.

    `was_sent` becomes True before the first attempt to send the record.
    """

    record: Record
    future: "Future[AppendResult]"
    deadline: float
    was_sent: bool = False


class AppendResult(msgspec.Struct, frozen=True):
    """The result of an append.

    `verdict` is None if it was not known by the deadline. If `was_sent` is False, the record was
    provably never sent.
    """

    verdict: Verdict | None
    was_sent: bool


class Appender(Task[PendingAppend]):
    """Appends records in batches; a record is confirmed when the reader reads it back.

    If the answer to an append is lost, the records that the reader has not read back are sent again
    under the same ids, so that the ledger applies each of them once. `writer` must be unique to
    each process, also if one process replaces another under the same name.
    """

    def __init__(self, writer: str, log: LogClient, reader: LedgerReader, metrics: Metrics) -> None:
        super().__init__("appender", tick_s=0.1)
        self._writer = writer
        self._sequence = 0
        self._log = log
        self._reader = reader
        self._metrics = metrics
        self._unsent: list[PendingAppend] = []
        self._unconfirmed: dict[RecordId, PendingAppend] = {}
        self._retry_at = 0.0
        self._lock = threading.Lock()
        self._submit_lock = threading.Lock()
        reader.on_record(self._resolve_append)

    def submit(self, body: AnyBody, timeout_s: float = 0.0) -> "Future[AppendResult]":
        """Queue a record for appending; the future resolves when the ledger has applied it.

        If `timeout_s` is not 0, it resolves after about that many seconds at the latest.
        """
        future: Future[AppendResult] = Future()
        deadline = time.monotonic() + timeout_s if timeout_s else 0.0
        # Records have to enter the inbox in the order of their sequence numbers, since the ledger
        # takes a lower number for a duplicate.
        with self._submit_lock:
            self._sequence += 1
            record_id = make_record_id(self._writer, self._sequence)
            record = Record(record_id, self._writer, time.time(), body)
            self.send(PendingAppend(record, future, deadline))
        return future

    def handle(self, message: PendingAppend) -> None:
        """Collect the queued records into a batch and send it."""
        self._unsent.append(message)
        while len(self._unsent) < MAX_BATCH_RECORDS:
            try:
                more = self._inbox.get_nowait()
            except queue.Empty:
                break
            if more is None:
                self._inbox.put(None)
                break
            self._unsent.append(more)
        if time.monotonic() >= self._retry_at:
            self._flush()

    def tick(self) -> None:
        """Resolve overdue records without a verdict, and send the other unsent ones."""
        now = time.monotonic()
        with self._lock:
            overdue = [
                item for item in self._unconfirmed.values() if item.deadline and now > item.deadline
            ]
            for item in overdue:
                del self._unconfirmed[item.record.id]
        # A sent record is resolved only through `_unconfirmed`, so that it is resolved once.
        overdue += [
            item
            for item in self._unsent
            if not item.was_sent and item.deadline and now > item.deadline
        ]
        self._unsent = [item for item in self._unsent if not item.deadline or now <= item.deadline]
        for item in overdue:
            item.future.set_result(AppendResult(None, item.was_sent))
        if self._unsent and now >= self._retry_at:
            self._flush()

    def close(self) -> None:
        """Send the remaining records once more."""
        if self._unsent:
            self._flush()

    def _flush(self) -> None:
        self._unsent = [item for item in self._unsent if not self._is_applied(item)]
        batch, data = self._next_batch()
        if not batch:
            return
        with self._lock:
            for item in batch:
                item.was_sent = True
                self._unconfirmed[item.record.id] = item
        started = time.monotonic()
        self._metrics.count_bytes_sent(LOG_PEER, sum(map(len, data)))
        try:
            self._log.append(data)
        except LogUnavailableError:
            self._metrics.count_retry(RetryReason.LOG_ANSWER_LOST)
            self._retry_at = time.monotonic() + RETRY_DELAY_S
            return
        self._metrics.record_latency("log_append", time.monotonic() - started)
        self._metrics.count("log_appends")
        self._unsent = self._unsent[len(batch) :]

    def _next_batch(self) -> tuple[list[PendingAppend], list[bytes]]:
        """The first unsent records within the limits of a batch, and their encodings."""
        batch: list[PendingAppend] = []
        data: list[bytes] = []
        size = 0
        for item in self._unsent[:MAX_BATCH_RECORDS]:
            encoded = encode_record(item.record)
            size += len(encoded)
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(item)
            data.append(encoded)
        return batch, data

    def _is_applied(self, item: PendingAppend) -> bool:
        with self._reader.lock:
            return self._reader.ledger.find_verdict(item.record.id) is not None

    def _resolve_append(self, record: Record, verdict: Verdict) -> None:
        with self._lock:
            item = self._unconfirmed.pop(record.id, None)
        if item is not None:
            item.future.set_result(AppendResult(verdict, True))
