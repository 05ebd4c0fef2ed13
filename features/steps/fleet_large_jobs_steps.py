"""Steps for jobs that are too large to be accepted, or to be kept in the store."""

import json
import time

from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet.job_table import job_record, progress_record
from comfreyshelf.fleet.jobs import (
    Incarnation,
    Job,
    JobPhase,
    Progress,
    QueueName,
    Resources,
    RunNumber,
    TaskName,
    TaskProgress,
)
from comfreyshelf.fleet.store import FencedError, KeyedRecord, Writer
from comfreyshelf.fleet.web import Call
from comfreyshelf.ids import JobId, OrganisationId, TargetId
from features.owner_task_world import FakeStore, OwnerTaskWorld
from features.owner_world import FakeTarget, step
from features.steps.fleet_outage_steps import make_front


@given("an entry that accepts jobs")
def create_entry(context: Context) -> None:
    make_front(context, True, [None])


def submit(context: Context, tasks: int, **options: int) -> None:
    headers = {"HTTP_HOST": "h.example", "HTTP_X_API_KEY": "key"}
    body = json.dumps({"task-spec": "", "steps": [{"count": tasks}], **options})
    call = Call("POST", "/q/" + "1" * 16, headers, body.encode())
    context.reply = context.front.handle(call)


@when("a job of {tasks:d} tasks is submitted")
def submit_job(context: Context, tasks: int) -> None:
    submit(context, tasks)


@when("a job of 1 task is submitted, to run {times:d} times at once")
def submit_periodic_job(context: Context, times: int) -> None:
    submit(context, 1, **{"repeat-count": times, "first-run-ms": 1, "interval-ms": 0})


@when("a job of 1 task is submitted, to run {times:d} times, each millisecond since 1970")
def submit_overdue_job(context: Context, times: int) -> None:
    submit(context, 1, **{"repeat-count": times, "first-run-ms": 1, "interval-ms": 1})


@when("a job of 1 task is submitted, to run {times:d} times, each second from tomorrow")
def submit_later_job(context: Context, times: int) -> None:
    tomorrow_ms = int((time.time() + 86_400) * 1000)
    submit(context, 1, **{"repeat-count": times, "first-run-ms": tomorrow_ms, "interval-ms": 1000})


@then("it is refused as malformed, and nothing is stored")
def check_refused(context: Context) -> None:
    assert context.reply.status == 400, context.reply
    assert context.store.appends == 0


@then("it is accepted")
def check_accepted(context: Context) -> None:
    assert context.reply.status == 200, context.reply


@given("the progress of a job of {tasks:d} tasks, each failed and crashed 4 times")
def make_progress(context: Context, tasks: int) -> None:
    runs = tuple(RunNumber(number) for number in range(97, 101))
    task = TaskProgress(
        run=RunNumber(100),
        target=TargetId("i-" + "f" * 10),
        incarnation=Incarnation(1_785_485_210_285),
        failures=4,
        checkpoint="f" * 16,
        resumed_from="f" * 16,
        machine="10.200.100.100",
        failed_runs=runs,
        crashed_runs=runs,
        suspicion=2,
        unexplained_crashes=3,
    )
    names = [TaskName(f"0.0.{number}") for number in range(tasks)]
    context.progress = Progress(JobPhase.RUNNING, dict.fromkeys(names, task))


@then("its record has at most {size:d} bytes")
def check_record_size(context: Context, size: int) -> None:
    assert len(progress_record(JobId("f" * 16), context.progress).value) <= size


class SmallStore(FakeStore):
    """Refuses appends of records or of batches that are too large."""

    def __init__(self, record_bytes: int, append_bytes: int) -> None:
        super().__init__()
        self.record_bytes = record_bytes
        self.append_bytes = append_bytes

    def append(
        self,
        topic: str,
        records: list[KeyedRecord],
        writer: Writer | None = None,
        max_timeout_s: float = float("inf"),
    ) -> int:
        sizes = [len(record.key) + len(record.value) for record in records]
        if max(sizes, default=0) > self.record_bytes or sum(sizes) > self.append_bytes:
            raise FencedError("the store answered an append with 413", "give up ownership")
        return super().append(topic, records, writer, max_timeout_s)


@given("an owner whose store takes records of {record:d} bytes and appends of {append:d} bytes")
def create_owner(context: Context, record: int, append: int) -> None:
    context.owner = OwnerTaskWorld(
        context.stack,
        SmallStore(record, append),
        max_record_bytes=record,
        max_append_bytes=append,
    )


@when("a job of {tasks:d} tasks and {jobs:d} jobs of one task start")
def start_jobs(context: Context, tasks: int, jobs: int) -> None:
    owner = context.owner
    one_core = Resources(1, 1, 0)
    counts = {"large": tasks} | {f"small{number}": 1 for number in range(jobs)}
    for name, count in counts.items():
        steps = (step(count, demand=one_core),)
        job = Job(JobId(name), OrganisationId("other"), QueueName("usual"), "", steps, 0.0)
        owner.store.append("jobs", [job_record(job)])
    owner.elect(3)
    owner.report(FakeTarget(0).report(owner.now))


@then("the job of 80 tasks has failed, and {starts:d} starts are ordered")
def check_large_job_failed(context: Context, starts: int) -> None:
    stored = context.owner.table.get(JobId("large"))
    assert stored is not None and stored.phase is JobPhase.FAILED
    _, orders = context.owner.hub.sent[-1]
    assert len(orders.starts) == starts, len(orders.starts)


@then("the owner still owns the schedule")
def check_still_owner(context: Context) -> None:
    assert all(orders.token for _, orders in context.owner.hub.sent)
