"""Steps for cancels of unknown jobs, with entries and an owner on one simulated store."""

import json
import time
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet import ownership
from comfreyshelf.fleet.entry_sync import JobSync
from comfreyshelf.fleet.http_api import CallerApi
from comfreyshelf.fleet.job_table import JobTable
from comfreyshelf.fleet.jobs import FleetConfig
from comfreyshelf.fleet.store import (
    Batch,
    KeyedRecord,
    StoreBusyError,
    StoreSilentError,
    Writer,
)
from comfreyshelf.fleet.web import Call
from comfreyshelf.metrics import Metrics
from comfreyshelf.platform.wire import PlatformCodec
from features.owner_task_world import FakeStore, OwnerTaskWorld
from features.owner_world import FakeTarget
from features.platform_standins import CONFIG

JOB = "1" * 16
BODY = {"task-spec": "x", "steps": [{"count": 1, "cpu": 1000, "gpu": 1, "est-runtime-ms": 300}]}
KEY, OTHER_KEY = "key", "other-key"
TENANTS = [*CONFIG["tenants"], {"name": "b", "api-keys": [OTHER_KEY], "guaranteed": {}}]
# Twice the time for which the state of an ended job can be read.
KEPT_S = 240.0


class LateStore(FakeStore):
    """May answer no calls of entries, and carry their appends out only when told to."""

    def __init__(self) -> None:
        super().__init__()
        self.error: Exception | None = None
        self.reads_fail = False
        self.late: list[list[KeyedRecord]] = []

    def append(
        self,
        topic: str,
        records: list[KeyedRecord],
        writer: Writer | None = None,
        max_timeout_s: float = float("inf"),
    ) -> int:
        if self.error is not None and writer is None:
            if isinstance(self.error, StoreSilentError):
                self.late.append(records)
            raise self.error
        return super().append(topic, records, writer, max_timeout_s)

    def read(
        self, topic: str, offset: int, wait_ms: int, max_timeout_s: float = float("inf")
    ) -> Batch:
        if self.error is not None and self.reads_fail:
            raise self.error
        return super().read(topic, offset, wait_ms, max_timeout_s)

    def carry_out(self) -> None:
        """Append what got no answer."""
        for records in self.late:
            super().append("jobs", records)
        self.late.clear()

    def kept_keys(self) -> set[str]:
        """The keys that have a record."""
        newest = {record.key: record.value for record in self.records}
        return {key for key, value in newest.items() if value}


class Entry:
    """The part of an entry that answers callers."""

    def __init__(self, store: LateStore, config: FleetConfig) -> None:
        self.now = 100.0
        self.sync = JobSync(store, JobTable(), lambda job: None)
        self.api = CallerApi(
            PlatformCodec(),
            self.sync._job_table,
            lambda: config,
            lambda record, limit_s: self.sync.append([record], max_timeout_s=limit_s),
            self.sync.catch_up,
            lambda: True,
            lambda limit_s: True,
            Metrics(),
            lambda: self.now,
            self._sleep,
        )

    def _sleep(self, seconds: float) -> None:
        self.now += seconds

    def call(self, method: str, job: str = JOB, key: str = KEY) -> tuple[int, dict]:
        """Status and body of the answer to a request."""
        headers = {"HTTP_HOST": "h.example", "HTTP_X_API_KEY": key, "HTTP_DEADLINE_MS": "3000"}
        body = json.dumps(BODY).encode() if method == "POST" else b""
        reply = self.api.handle(Call(method, f"/q/{job}", headers, body))
        return reply.status, json.loads(reply.body)


def elect(context: Context, generation: int) -> None:
    """Let an owner that has read nothing yet take over, with one target."""
    context.owner = OwnerTaskWorld(context.stack, context.store)
    context.owner.task.handle(context.fleet_config)
    context.owner.confirm(generation)
    context.owner.report(FakeTarget(0).report(context.owner.now))


def started_tasks(context: Context) -> set[str]:
    """The tasks that the present owner has ordered to start, once it has read all records."""
    owner = context.owner
    owner.read_jobs()
    owner.report(FakeTarget(0).report(owner.now))
    return {order.task for _, orders in owner.hub.sent for order in orders.starts}


@given("two entries and an owner")
def create_entries(context: Context) -> None:
    context.store = LateStore()
    config = json.dumps(CONFIG | {"tenants": TENANTS}).encode()
    context.fleet_config = PlatformCodec().decode_config(config)
    context.entries = [Entry(context.store, context.fleet_config) for _ in range(2)]
    elect(context, 3)


@when("a job is submitted at the first entry, and the store does not answer")
def submit_unanswered(context: Context) -> None:
    context.store.error = StoreSilentError("no answer", "ask again")
    status, _ = context.entries[0].call("POST")
    context.store.error = None
    assert status == 504 and not context.store.kept_keys()


@when("it is cancelled {where}")
def cancel_unknown(context: Context, where: str) -> None:
    if "started again" in where:
        context.entries[0] = Entry(context.store, context.fleet_config)
    entries = context.entries[1:] if "second" in where else context.entries
    for entry in entries[:1] if "first" in where else entries:
        assert entry.call("DELETE")[0] == 410


@when("the store carries the submission out")
def carry_out(context: Context) -> None:
    assert not started_tasks(context)
    context.store.carry_out()


@then("the job does not start, also under the next owner, and is shown as canceled")
def check_not_started(context: Context) -> None:
    assert not started_tasks(context)
    elect(context, 4)
    assert not started_tasks(context)
    for entry in (*context.entries, Entry(context.store, context.fleet_config)):
        entry.sync.catch_up()
        assert entry.call("GET") == (200, {"state": "canceled"})
        assert entry.call("GET", "") == (200, {"waiting": 0})
        assert entry.call("DELETE")[0] == 200


@when("a job is cancelled that no entry knows")
def cancel_before_submission(context: Context) -> None:
    assert context.entries[0].call("DELETE")[0] == 410


@then("it is not counted as waiting, and unknown at both entries")
def check_unknown(context: Context) -> None:
    for entry in context.entries:
        assert entry.call("GET")[0] == 410
        assert entry.call("GET", "") == (200, {"waiting": 0})


@when("{count:d} jobs are submitted at the first entry, and the store returns one record at a time")
def submit_many(context: Context, count: int) -> None:
    context.entries[1].sync.catch_up()
    context.last_job = f"{count:016x}"
    for number in range(1, count + 1):
        assert context.entries[0].call("POST", f"{number:016x}")[0] == 200
    context.store.page_records = 1


@then("the second entry knows the last of them")
def check_last_job_known(context: Context) -> None:
    assert context.entries[1].call("GET", context.last_job) == (200, {"state": "queued"})


@when("another organisation cancels a job that no entry knows")
def cancel_as_other(context: Context) -> None:
    assert context.entries[0].call("DELETE", key=OTHER_KEY)[0] == 410


@when("the job is submitted at the second entry")
def submit_later(context: Context) -> None:
    assert context.entries[1].call("POST")[0] == 200


@then("the job starts")
def check_started(context: Context) -> None:
    assert started_tasks(context) == {f"{JOB}.0.0.0"}


@when("an organisation cancels {count:d} jobs that no entry knows")
def cancel_many(context: Context, count: int) -> None:
    statuses = {context.entries[0].call("DELETE", f"{number:016x}")[0] for number in range(count)}
    assert statuses == {410}


@then("its next such cancel is answered with 429, and a repeated one with 410")
def check_limit(context: Context) -> None:
    appends = len(context.store.records)
    for entry in context.entries:
        entry.sync.catch_up()
        assert entry.call("DELETE")[0] == 429
        assert entry.call("DELETE", f"{7:016x}")[0] == 410
    assert len(context.store.records) == appends


@then("the cancel of another organisation is answered with 410")
def check_other_not_limited(context: Context) -> None:
    assert context.entries[1].call("DELETE", key=OTHER_KEY)[0] == 410


@when("the time for which ended jobs are kept has passed twice")
def pass_retention(context: Context) -> None:
    started_tasks(context)
    assert context.store.kept_keys()
    later = time.time() + KEPT_S + 1
    clock = mock.Mock(time=lambda: later)
    context.stack.enter_context(mock.patch.object(ownership, "time", clock))
    context.owner.now += KEPT_S + 1
    context.owner.confirm(3)
    context.owner.task.tick()


@then("the store keeps no record of them, and each cancel is answered with 410")
def check_removed(context: Context) -> None:
    assert context.store.kept_keys() == set()
    for entry in context.entries:
        entry.sync.catch_up()
        assert not entry.sync._job_table._entries
    for entry in context.entries:
        assert entry.call("DELETE")[0] == 410


@when("the store {trouble} and a job is cancelled that no entry knows")
def cancel_in_trouble(context: Context, trouble: str) -> None:
    is_busy = trouble == "is busy"
    context.store.error = (StoreBusyError if is_busy else StoreSilentError)("no", "ask again")
    context.store.reads_fail = trouble != "answers no appends"
    context.status, _ = context.entries[0].call("DELETE")


@then("the cancel is answered with {status:d}")
def check_cancel_status(context: Context, status: int) -> None:
    assert context.status == status
