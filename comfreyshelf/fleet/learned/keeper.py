"""Task of an entry that keeps in the store what the owner learns, apart from the owner's task.

A slow store therefore delays neither planning nor orders.
"""

from collections.abc import Callable

import msgspec

from comfreyshelf.errors import UserError
from comfreyshelf.fleet.bounds import monotonic
from comfreyshelf.fleet.learned.messages import (
    KeeperMessage,
    LearnedChanged,
    LearnedRead,
    TermEnded,
    TermStarted,
)
from comfreyshelf.fleet.store import (
    FencedError,
    KeyedRecord,
    Store,
    StoreBusyError,
    StoreSilentError,
    Writer,
)
from comfreyshelf.logs import log_event
from comfreyshelf.metrics import Metrics
from comfreyshelf.tasks import Task

LEARNED_TOPIC = "learned"
# Name under which the store fences these writes; the owner numbers its own appends differently.
WRITER_NAME = "learned"
TICK_S = 0.25
# Pause before a failed call is repeated. It is longer than for jobs, as nothing waits for it.
RETRY_S = 1.0


class LearnedKeeper(Task[KeeperMessage]):
    """Reads the learned records once in each term, then writes what the owner's task sends.

    An empty append under the epoch of the term comes before the read, so that the store refuses
    whatever an earlier owner writes later. Nothing is written before the read has succeeded, so
    that a new owner that knows little never replaces a record that it has not seen.
    """

    def __init__(
        self, store: Store, metrics: Metrics, on_read: Callable[[LearnedRead], None]
    ) -> None:
        super().__init__("learned", TICK_S)
        self._store = store
        self._metrics = metrics
        self._on_read = on_read
        # Epoch of the current term, 0 without one.
        self._epoch = 0
        self._next_sequence = 0
        self._is_read = False
        self._pending: dict[str, bytes] = {}
        # An append that got no answer. It is repeated unchanged under the same sequence number.
        self._unanswered: list[KeyedRecord] | None = None
        self._retry_at = float("-inf")
        self._last_call_succeeded = True

    def handle(self, message: KeeperMessage) -> None:
        """Note one message; calls to the store follow once the inbox is empty."""
        match message:
            case TermStarted(epoch):
                self._begin_term(epoch)
            case TermEnded():
                self._begin_term(0)
            case LearnedChanged(epoch, values):
                if epoch == self._epoch:
                    self._pending |= values
        if self._inbox.empty():
            self.tick()

    def tick(self) -> None:
        """Do what is left to do, unless a call has failed lately."""
        if not self._epoch or monotonic() < self._retry_at:
            return
        try:
            self._call_store()
        except FencedError as exc:
            self._metrics.count("learned_fenced")
            log_event("learned records fenced", epoch=self._epoch, why=str(exc))
            self._begin_term(0)
        except (StoreBusyError, StoreSilentError, msgspec.DecodeError) as exc:
            self._record_failure(exc)

    def _begin_term(self, epoch: int) -> None:
        self._epoch, self._next_sequence, self._is_read = epoch, 0, False
        self._pending, self._unanswered = {}, None
        self._retry_at = float("-inf")

    def _call_store(self) -> None:
        if self._next_sequence == 0:
            self._append([])
        if not self._is_read:
            batch = self._store.read_newest(LEARNED_TOPIC)
            self._is_read = True
            values = {record.key: record.value for record in batch.records if record.value}
            log_event("learned records read", epoch=self._epoch, records=len(values))
            self._on_read(LearnedRead(self._epoch, values))
        if self._unanswered is not None:
            self._append(self._unanswered)
        if self._pending:
            records = [KeyedRecord(name, value) for name, value in self._pending.items()]
            self._pending = {}
            self._append(records)
        if not self._last_call_succeeded:
            log_event("learned records are kept again", epoch=self._epoch)
        self._last_call_succeeded = True

    def _append(self, records: list[KeyedRecord]) -> None:
        try:
            self._store.append(
                LEARNED_TOPIC, records, Writer(WRITER_NAME, self._epoch, self._next_sequence)
            )
        except (StoreSilentError, msgspec.DecodeError):
            # The store may have carried it out, also if its answer cannot be read.
            self._unanswered = records
            raise
        except StoreBusyError:
            # An append that got no answer before may have been carried out, so it stays as it is.
            if self._unanswered is None:
                self._pending = {record.key: record.value for record in records} | self._pending
            raise
        self._unanswered = None
        self._next_sequence += 1
        if records:
            self._metrics.count("learned_records_written", len(records))

    def _record_failure(self, exc: UserError | msgspec.DecodeError) -> None:
        self._retry_at = monotonic() + RETRY_S
        self._metrics.count('retries{reason="learned_records"}')
        if self._last_call_succeeded:
            log_event("learned records not kept", epoch=self._epoch, why=str(exc))
        self._last_call_succeeded = False
