"""An owner task with a simulated clock, store and hub, driven without its thread."""

from contextlib import ExitStack
from unittest import mock

from comfreyshelf.fleet import ownership
from comfreyshelf.fleet.entry_sync import JobSync
from comfreyshelf.fleet.hub import Hub
from comfreyshelf.fleet.job_table import JobTable
from comfreyshelf.fleet.messages import Orders, Report
from comfreyshelf.fleet.ownership import JobChanged, OwnerTask, ReportReceived
from comfreyshelf.fleet.settings import FleetSettings
from comfreyshelf.fleet.store import (
    Batch,
    FencedError,
    KeyedRecord,
    Membership,
    Store,
    StoreSilentError,
    Writer,
)
from comfreyshelf.ids import JobId, TargetId
from comfreyshelf.metrics import Metrics
from features.owner_world import CONFIG


class FakeStore(Store):
    """One topic in memory; it refuses appends of epochs below `fence`, and may not answer.

    A read returns at most `page_records` records.
    """

    def __init__(self) -> None:
        self.records: list[KeyedRecord] = []
        self.writers: list[Writer] = []
        self.fence = 0
        self.is_silent = False
        self.page_records = 1_000_000

    def append(
        self,
        topic: str,
        records: list[KeyedRecord],
        writer: Writer | None = None,
        max_timeout_s: float = float("inf"),
    ) -> int:
        if self.is_silent:
            raise StoreSilentError("no answer", "ask again")
        if writer is not None:
            self.writers.append(writer)
            if writer.epoch < self.fence:
                raise FencedError("a newer epoch was seen", "give up ownership")
        first = len(self.records)
        for offset, record in enumerate(records, first):
            self.records.append(KeyedRecord(record.key, record.value, offset))
        return first

    def read(
        self, topic: str, offset: int, wait_ms: int, max_timeout_s: float = float("inf")
    ) -> Batch:
        records = tuple(self.records[offset : offset + self.page_records])
        return Batch(records, offset + len(records), len(self.records))

    def read_newest(self, topic: str) -> Batch:
        return self.read(topic, 0, 0)

    def join(self, group: str, member: str, topic: str, ttl_ms: int, generation: int) -> Membership:
        return Membership(generation, True)

    def leave(self, group: str, member: str) -> None:
        """Groups are not simulated."""

    def find_leader(self, group: str) -> str:
        return ""


class FakeHub(Hub):
    """Keeps the orders that were sent."""

    def __init__(self) -> None:
        super().__init__("", lambda report: None)
        self.sent: list[tuple[TargetId, Orders]] = []

    def send(self, target: TargetId, orders: Orders) -> None:
        self.sent.append((target, orders))


class OwnerTaskWorld:
    """Calls an OwnerTask's handlers, as its thread would."""

    def __init__(
        self, stack: ExitStack, store: FakeStore | None = None, **settings_options: object
    ) -> None:
        self.now = 1000.0
        self.store, self.hub, self.metrics = store or FakeStore(), FakeHub(), Metrics()
        stack.enter_context(mock.patch.object(ownership, "monotonic", lambda: self.now))
        self.table = JobTable()
        self._changed: list[JobId] = []
        self.sync = JobSync(self.store, self.table, self._changed.append)
        settings = FleetSettings("e", "z", "127.0.0.1", "", "", 0, **settings_options)
        self.task = OwnerTask(settings, self.table, self.metrics)
        self.terms_ended = 0
        self.task.connect(self.sync, self.store, self.hub, self._end_term)

    def _end_term(self) -> None:
        self.terms_ended += 1

    def elect(self, generation: int) -> None:
        self.task.handle(CONFIG)
        self.confirm(generation)

    def confirm(self, generation: int, asked_ago_s: float = 0.0) -> None:
        """Deliver a confirmation of the lead that the store was asked for some seconds ago."""
        self.task.handle(Membership(generation, True, self.now - asked_ago_s))

    def read_jobs(self) -> None:
        """Read the records of jobs, and tell the owner which have changed."""
        self.sync.catch_up()
        changed, self._changed[:] = list(self._changed), []
        for job in changed:
            self.task.handle(JobChanged(job))

    def report(self, report: Report) -> None:
        self.task.handle(ReportReceived(report, self.now))
