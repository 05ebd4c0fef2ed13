"""Snapshots of the ledger: schedule, chunks, and recovery from retained records."""

import hashlib
import zlib

import msgspec

from comfreyshelf.ids import Offset
from comfreyshelf.ledger import Ledger, LedgerState
from comfreyshelf.records import Record, SnapshotChunk

CHUNK_BYTES = 256 * 1024
# Incomplete snapshots beyond this number are dropped, oldest first.
MAX_PARTIAL_SNAPSHOTS = 4
_COMPRESSION_LEVEL = 1

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(LedgerState)


class Snapshot(msgspec.Struct, frozen=True):
    """A complete snapshot that covers all offsets below `covers`."""

    covers: Offset
    state: LedgerState


def encode_snapshot(ledger: Ledger) -> list[SnapshotChunk]:
    """Encode the ledger as chunks of at most CHUNK_BYTES each, to be appended in order."""
    data = zlib.compress(_ENCODER.encode(ledger.state), _COMPRESSION_LEVEL)
    name = f"{ledger.next_offset}-{hashlib.sha256(data).hexdigest()[:16]}"
    pieces = [data[start : start + CHUNK_BYTES] for start in range(0, len(data), CHUNK_BYTES)]
    return [
        SnapshotChunk(name, ledger.next_offset, index, len(pieces), piece)
        for index, piece in enumerate(pieces)
    ]


class SnapshotAssembler:
    """Assembles snapshots from chunks; `newest` is the complete one with the highest `covers`."""

    def __init__(self) -> None:
        self.newest: Snapshot | None = None
        self.damaged_count = 0
        self._partial: dict[str, dict[int, bytes]] = {}

    def add(self, chunk: SnapshotChunk) -> bool:
        """Add a chunk; returns True if it completed a snapshot that replaced `newest`."""
        pieces = self._partial.setdefault(chunk.snapshot, {})
        pieces[chunk.index] = chunk.data
        if len(pieces) < chunk.count:
            self._evict_oldest_partial()
            return False
        del self._partial[chunk.snapshot]
        if self.newest is not None and chunk.covers <= self.newest.covers:
            return False
        state = self._decode(chunk, pieces)
        if state is None:
            self.damaged_count += 1
            return False
        self.newest = Snapshot(chunk.covers, state)
        return True

    def _evict_oldest_partial(self) -> None:
        while len(self._partial) > MAX_PARTIAL_SNAPSHOTS:
            del self._partial[next(iter(self._partial))]

    @staticmethod
    def _decode(chunk: SnapshotChunk, pieces: dict[int, bytes]) -> LedgerState | None:
        data = b"".join(pieces[index] for index in sorted(pieces))
        if hashlib.sha256(data).hexdigest()[:16] != chunk.snapshot.rpartition("-")[2]:
            return None
        try:
            return _DECODER.decode(zlib.decompress(data))
        except (zlib.error, msgspec.DecodeError):
            return None


class Recovery:
    """Rebuilds a ledger from the records that the log still retains.

    Pass every retained record in order to `add`; `rebuild` restores the newest complete snapshot
    and applies the records after it. `is_complete` tells whether no record is missing: either the
    log starts at offset 0, or a snapshot reaches the oldest retained record.
    """

    def __init__(self, oldest_retained: Offset) -> None:
        self._oldest_retained = oldest_retained
        self._assembler = SnapshotAssembler()
        self._records: list[tuple[Offset, Record | None]] = []

    @property
    def is_complete(self) -> bool:
        """Whether the state can be rebuilt without a gap."""
        if self._oldest_retained == 0:
            return True
        newest = self._assembler.newest
        return newest is not None and newest.covers >= self._oldest_retained

    def add(self, offset: Offset, record: Record | None) -> None:
        """Add the record at `offset`, or None for a damaged one."""
        if record is not None and isinstance(record.body, SnapshotChunk):
            self._assembler.add(record.body)
            # The assembler holds the data; only the position in the log is still needed here.
            record = msgspec.structs.replace(
                record, body=msgspec.structs.replace(record.body, data=b"")
            )
        self._records.append((offset, record))

    def rebuild(self, ledger: Ledger) -> None:
        """Bring `ledger` up to the newest record that was added."""
        newest = self._assembler.newest
        if newest is not None:
            ledger.restore(newest.state, newest.covers)
        for offset, record in self._records:
            if offset < ledger.next_offset:
                continue
            if record is None:
                ledger.skip(offset)
            else:
                ledger.apply(offset, record)


class SnapshotSchedule:
    """Decides when this entry has to append a snapshot.

    A snapshot is due a quarter of the retention time after the last complete one. The entry of
    rank r waits r times STAGGER_S longer, so that usually only one entry appends it.
    """

    STAGGER_S = 5.0

    def __init__(self, retention_s: float) -> None:
        self._interval_s = retention_s / 4
        self._last_snapshot_at = float("-inf")
        self._first_check_at: float | None = None

    def record_snapshot(self, now: float) -> None:
        """Record that the log has a complete snapshot at `now`, in monotonic seconds."""
        self._last_snapshot_at = now

    def is_due(self, now: float, rank: int) -> bool:
        """Whether a snapshot is due; without any so far, the interval starts at the first call."""
        if self._first_check_at is None:
            self._first_check_at = now
        last = max(self._last_snapshot_at, self._first_check_at)
        return now - last >= self._interval_s + rank * self.STAGGER_S
