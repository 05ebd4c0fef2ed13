"""An entry's view of the operators' topic: the configuration and the evacuated zones."""

import threading
from collections.abc import Callable

import msgspec

from comfreyshelf.errors import UserError
from comfreyshelf.fleet.bounds import monotonic
from comfreyshelf.fleet.codec import Codec
from comfreyshelf.fleet.entry_sync import READ_WAIT_MS, RETRY_S
from comfreyshelf.fleet.evacuation.evacuations import Evacuations, OperatorTopicState
from comfreyshelf.fleet.jobs import FleetConfig
from comfreyshelf.fleet.store import (
    Batch,
    ExpiredError,
    KeyedRecord,
    Store,
    StoreBusyError,
    StoreSilentError,
)
from comfreyshelf.ids import Offset, ZoneId
from comfreyshelf.logs import log_event
from comfreyshelf.metrics import Metrics
from comfreyshelf.tasks import Poller

# After a read that took this much longer than it was asked to wait, the next one does not wait. The
# knowledge of the topic ages by two reads, and a slow long poll would make it too old.
SLOW_READ_S = 0.3
# Short reads are repeated for this long after a target process turned out to know newer records.
REREAD_S = 3.0
# Such short reads begin at most this often, as an offset that a target process states may be wrong.
REREAD_INTERVAL_S = 10.0

OnChange = Callable[[FleetConfig | Evacuations], None]


class OperatorTopic:
    """Follows the operators' topic; thread-safe.

    The newest record of a key applies, by offset, and an older version of the configuration never
    replaces a newer one. An answer whose end offset is below one that was seen before is outdated
    and changes nothing. `on_change` is called with each newer configuration, and with the
    evacuations when the set of zones changes.
    """

    def __init__(self, store: Store, codec: Codec, metrics: Metrics, on_change: OnChange) -> None:
        self._store = store
        self._codec = codec
        self._metrics = metrics
        self._on_change = on_change
        self._lock = threading.Lock()
        # -1 while the newest records of all keys have to be read.
        self._next_offset = -1
        # The highest end offset that any answer has stated.
        self._end_seen = 0
        # When the newest answer that was applied had been requested.
        self._newest_request_at = float("-inf")
        # The offset of the last record that was applied, by key.
        self._offsets: dict[str, int] = {}
        self._zones: dict[str, ZoneId] = {}
        self.config: FleetConfig | None = None
        # Replaced as a whole, so that it can be read without the lock.
        self.state = OperatorTopicState()

    def catch_up(self) -> bool:
        """Read the records that are available now; returns False if the answer is outdated."""
        return self.read(0)

    def read(self, wait_ms: int) -> bool:
        """Read once and apply the records; waits at most `wait_ms` for one.

        Returns False if the answer is outdated. Raises StoreBusyError, StoreSilentError, or
        msgspec.DecodeError if the answer cannot be decoded.
        """
        requested_at = monotonic()
        try:
            batch, is_complete = self._read_store(wait_ms)
        except (StoreBusyError, StoreSilentError, msgspec.DecodeError):
            with self._lock:
                self.state = msgspec.structs.replace(self.state, failing=True)
            raise
        # The store holds a read without records until the wait is over.
        has_waited = not batch.records and monotonic() - requested_at >= wait_ms / 1000
        current_at = requested_at + (wait_ms / 1000 if has_waited and not is_complete else 0.0)
        with self._lock:
            if batch.end_offset < self._end_seen:
                return self._is_overtaken(batch, requested_at)
            self._newest_request_at = max(self._newest_request_at, requested_at)
            changes = self._apply_batch(batch, is_complete, current_at)
        for change in changes:
            self._on_change(change)
        return True

    def record_behind(self, offset: Offset) -> None:
        """Count that a target process knows the topic up to a higher offset."""
        self._metrics.count("operator_topic_behind")
        log_event("operator records behind", known=self.state.evacuations.offset, reported=offset)

    def _is_overtaken(self, batch: Batch, requested_at: float) -> bool:
        """Whether an answer that says less than an earlier one was merely requested before it.

        Otherwise the answer is outdated, which counts as a failed read.
        """
        if requested_at < self._newest_request_at:
            return True
        self._metrics.count("operator_reads_outdated")
        if not self.state.failing:
            log_event("outdated operator records", end=batch.end_offset, end_before=self._end_seen)
        self.state = msgspec.structs.replace(self.state, failing=True)
        return False

    def _read_store(self, wait_ms: int) -> tuple[Batch, bool]:
        """Read from the store; returns the batch and whether it holds the records of all keys."""
        topic = self._codec.config_topic
        with self._lock:
            offset = self._next_offset
        if offset >= 0:
            try:
                return self._store.read(topic, offset, wait_ms), False
            except ExpiredError as exc:
                self._metrics.count("operator_records_expired")
                log_event("configuration records expired", why=str(exc))
        return self._store.read_newest(topic), True

    def _apply_batch(
        self, batch: Batch, is_complete: bool, current_at: float
    ) -> list[FleetConfig | Evacuations]:
        """Apply a batch; returns what it has changed."""
        self._end_seen = batch.end_offset
        changes: list[FleetConfig | Evacuations] = []
        if is_complete:
            self._end_missing_evacuations(batch)
        for record in batch.records:
            config = self._apply_record(record)
            if config is not None:
                changes.append(config)
        self._next_offset = max(self._next_offset, batch.next_offset)
        known = self.state.evacuations
        evacuations = Evacuations(frozenset(self._zones.values()), Offset(self._next_offset))
        if evacuations.zones != known.zones:
            changes.append(evacuations)
        if self._next_offset < batch.end_offset:
            # More records follow, one of which may evacuate a zone.
            current_at = self.state.current_at
        self.state = OperatorTopicState(evacuations, max(current_at, self.state.current_at))
        return changes

    def _end_missing_evacuations(self, batch: Batch) -> None:
        """End the evacuations without a record among the newest ones of all keys.

        Their removal is no longer in the store. An evacuation that was read from beyond the end of
        this batch is newer than it.
        """
        keys = {record.key for record in batch.records}
        for key in [key for key in self._zones if key not in keys]:
            if self._offsets[key] < batch.end_offset:
                self._end_evacuation(key, self._offsets[key])

    def _apply_record(self, record: KeyedRecord) -> FleetConfig | None:
        """Apply a record, unless a newer one of its key is known; returns a new configuration."""
        if record.offset <= self._offsets.get(record.key, -1):
            return None
        zone = self._codec.evacuated_zone(record.key)
        if zone is None and record.key != self._codec.config_key:
            return None
        self._offsets[record.key] = record.offset
        if zone is not None:
            self._apply_evacuation(record, zone)
            return None
        return self._apply_config(record.value) if record.value else None

    def _apply_config(self, value: bytes) -> FleetConfig | None:
        try:
            config = self._codec.decode_config(value)
        except UserError as exc:
            self._metrics.count("configurations_refused")
            log_event("configuration refused", why=str(exc))
            return None
        before = self.config.version if self.config else 0
        if self.config is not None and config.version <= before:
            return None
        log_event("configuration in force", version=config.version, before=before)
        self.config = config
        return config

    def _apply_evacuation(self, record: KeyedRecord, zone: ZoneId) -> None:
        """Begin or end the evacuation of a zone.

        A value that cannot be decoded evacuates the zone too: the key alone names the order, and a
        start in a zone that its operators want to empty is worse than idle capacity.
        """
        if not record.value:
            self._end_evacuation(record.key, record.offset)
            return
        try:
            if not zone:
                raise UserError("the key names no zone", "remove the record")
            self._codec.check_evacuation(record.value)
        except UserError as exc:
            self._metrics.count("evacuation_records_malformed")
            log_event(
                "evacuation record malformed",
                key=record.key,
                offset=record.offset,
                is_evacuated=bool(zone),
                why=str(exc),
            )
        if zone and record.key not in self._zones:
            self._zones[record.key] = zone
            self._metrics.count("evacuations_begun")
            log_event("zone evacuated", zone=zone, offset=record.offset)

    def _end_evacuation(self, key: str, offset: int) -> None:
        zone = self._zones.pop(key, None)
        if zone is not None:
            self._metrics.count("evacuations_ended")
            log_event("zone returned to service", zone=zone, offset=offset)


class OperatorTopicReader(Poller):
    """Polls the store for the operators' records."""

    def __init__(self, topic: OperatorTopic) -> None:
        super().__init__("operator-topic-reader")
        self._topic = topic
        # After a failure, a short read tells whether the store answers at all.
        self._wait_ms = READ_WAIT_MS
        self._reread_offset = 0
        self._reread_until = float("-inf")

    def read_up_to(self, offset: Offset) -> None:
        """Read without waiting until the records below this offset, or REREAD_S, have passed."""
        known, now = self._topic.state.evacuations.offset, monotonic()
        if offset > known and now >= self._reread_until - REREAD_S + REREAD_INTERVAL_S:
            self._reread_offset, self._reread_until = offset, now + REREAD_S
            self._topic.record_behind(offset)

    def poll(self) -> None:
        topic, started_at = self._topic, monotonic()
        is_behind = topic.state.evacuations.offset < self._reread_offset
        is_rereading = is_behind and started_at < self._reread_until
        wait_ms = 0 if is_rereading else self._wait_ms
        try:
            is_current = topic.read(wait_ms)
        except (StoreBusyError, StoreSilentError, msgspec.DecodeError):
            self._wait_ms = 0
            self.wait(RETRY_S)
            return
        is_slow = monotonic() - started_at > wait_ms / 1000 + SLOW_READ_S
        self._wait_ms = 0 if is_slow else READ_WAIT_MS
        if not is_current or topic.config is None or is_rereading:
            self.wait(RETRY_S)
