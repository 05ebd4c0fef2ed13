"""Stand-ins for the operators' topic, and an owner whose targets are in several zones."""

import json

from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.evacuation.evacuations import Evacuations, OperatorTopicState
from comfreyshelf.fleet.store import Batch, ExpiredError, KeyedRecord, StoreSilentError
from comfreyshelf.ids import Offset, TargetId, ZoneId
from features.owner_task_world import FakeStore
from features.owner_world import FakeTarget, World
from features.platform_standins import CONFIG

# Deployments with evacuations have this bound.
EVACUATE_S = 5.0


class FakeOperatorStore(FakeStore):
    """The operators' topic in memory.

    It is `silent` if no read is answered, and shows none of its `hidden` newest records. Offsets
    below `first_offset` have expired. Reads take `read_s` on the clock that `advance` moves.
    """

    def __init__(self) -> None:
        super().__init__()
        self.silent = False
        self.hidden = 0
        self.first_offset = 0
        self.read_s = 0.0
        # The waits of all reads, in milliseconds; -1 for one of the newest records.
        self.waits_ms: list[int] = []
        self.advance = lambda seconds: None

    def put(self, key: str, value: bytes) -> None:
        """Append a record, as the platform's operators do."""
        self.append("op", [KeyedRecord(key, value)])

    def put_config(self, version: int) -> None:
        self.put("config", json.dumps(CONFIG | {"version": version}).encode())

    def forget(self, key: str) -> None:
        """Lose all records of a key, and the offsets up to now."""
        self.records = [
            KeyedRecord("" if record.key == key else record.key, record.value, record.offset)
            for record in self.records
        ]
        self.first_offset = len(self.records)

    def _visible(self) -> list[KeyedRecord]:
        self.advance(self.read_s)
        if self.silent:
            raise StoreSilentError("no answer", "read again")
        return self.records[: len(self.records) - self.hidden]

    def read(self, topic: str, offset: int, wait_ms: int) -> Batch:
        self.waits_ms.append(wait_ms)
        visible = self._visible()
        if offset < self.first_offset:
            raise ExpiredError("the offset expired", "read the newest records")
        records = tuple(visible[offset:])
        if not records:
            self.advance(wait_ms / 1000)
        return Batch(records, max(offset, len(visible)), len(visible))

    def read_newest(self, topic: str) -> Batch:
        self.waits_ms.append(-1)
        visible = self._visible()
        newest = {record.key: record for record in visible if record.key}
        return Batch(tuple(newest.values()), len(visible), len(visible))


class EvacuationWorld(World):
    """An owner with the targets 2n and 2n+1 in zone `zn`, a rack each, and an operators' topic.

    The topic counts as read in each round while `is_read`.
    """

    def __init__(self, targets: int = 4, evacuate_s: float = EVACUATE_S) -> None:
        self.topic = OperatorTopicState(Evacuations(frozenset(), Offset(1)), 100.0)
        self.is_read = True
        self.events: list[tuple[str, dict]] = []
        self.counts: list[str] = []
        super().__init__(bounds=Bounds(evacuate_s=evacuate_s))
        self.targets = [FakeTarget(number) for number in range(targets)]
        for target in self.targets:
            target.zone = ZoneId(f"z{target.number // 2}")
            target.operator_offset = Offset(0)
        self.observe()
        self.settle()

    def observe(self) -> None:
        """Keep what the owner logs and counts."""
        self.core.log_event = lambda event, **fields: self.events.append((event, fields))
        self.core.count = self.counts.append

    def evacuate(self, *zones: str) -> None:
        """Make exactly these zones the evacuated ones, by a newer record."""
        offset = Offset(self.topic.evacuations.offset + 1)
        known = Evacuations(frozenset(ZoneId(zone) for zone in zones), offset)
        self.topic = OperatorTopicState(known, self.now)

    def run_round(self, instant_stops: bool = True) -> None:
        if self.is_read:
            self.topic = OperatorTopicState(self.topic.evacuations, self.now)
        self.core.update_evacuations(self.topic)
        super().run_round(instant_stops)

    def target(self, number: int) -> FakeTarget:
        return next(t for t in self.targets if t.id == TargetId(f"t{number}"))

    def started_in(self, zone: str) -> list[tuple[str, int]]:
        return [start for t in self.targets if t.zone == zone for start in t.started]

    def wait_reasons(self, job: str) -> list[str]:
        return [
            fields["why"]
            for event, fields in self.events
            if event == "unit waits" and fields["job"] == job
        ]
