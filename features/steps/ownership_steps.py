"""Steps for domain ownership, and for faults in it that the history checks found."""

from concurrent.futures import Future
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from comfreyshelf import journal
from comfreyshelf.agent import Agent, StartPart
from comfreyshelf.commands import ReserveParts, StopParts
from comfreyshelf.config_text import parse_config
from comfreyshelf.errors import LogUnavailableError
from comfreyshelf.events import ConfigInForce, JobClosed, JobQueued, JobResumed, WorkerReported
from comfreyshelf.ids import (
    Attempt,
    CallerId,
    DomainId,
    EntryId,
    Epoch,
    JobId,
    Offset,
    OperatorId,
    OrganisationId,
    RackId,
    ServiceId,
    TargetId,
    Version,
    ZoneId,
)
from comfreyshelf.journal import Appender, LedgerReader
from comfreyshelf.ledger import Ledger
from comfreyshelf.messages import (
    Commit,
    Heartbeat,
    Release,
    Reserve,
    ReserveAnswer,
    Status,
    Stop,
    Welcome,
)
from comfreyshelf.metrics import Metrics
from comfreyshelf.model import HeldPart, Job, PartState, Placement, Shape, WorkerInfo
from comfreyshelf.ownership import (
    Append,
    LogAvailabilityChanged,
    MessageReceived,
    Output,
    Ownership,
    RecordApplied,
    SendMessage,
    TimePassed,
)
from comfreyshelf.records import (
    AnyBody,
    AttemptStarted,
    ConfigPublished,
    DomainClaimed,
    DomainReported,
    EntryUp,
    JobAccepted,
    JobFinished,
    JobsCancelled,
    Record,
    make_record_id,
)
from comfreyshelf.scheduler import Scheduler
from comfreyshelf.settings import EntrySettings
from features.history.scenario import CONFIG_TEXT
from features.history.world import ProcessLog

DOMAIN = DomainId("litoral")
TARGET = TargetId("t0")
ORGANISATION = OrganisationId("gamma")
WORKER = WorkerInfo(TARGET, ZoneId("paysandu"), RackId("p1"), 8, 64, 256, 1)
JOB = Job(
    JobId("job"),
    ORGANISATION,
    CallerId("caller"),
    "key",
    ServiceId("permit"),
    "kind",
    Shape(1, 2),
    1.0,
)


class OwnerHarness:
    """The ownership logic of an entry with its ledger; keeps all outputs."""

    def __init__(self) -> None:
        self.ledger = Ledger()
        cfg = EntrySettings("e0", "paysandu", "e0", "e0", "")
        self.ownership = Ownership(cfg, "e0/new", self.ledger)
        self.now = 100.0
        self.outputs: list[Output] = []

    def feed(self, event) -> None:
        self.outputs += self.ownership.handle(event, self.now)

    def apply_records(self, *bodies: AnyBody, writer: str = "e0/new") -> None:
        """Apply all records to the ledger before the ownership logic handles the first of them."""
        events = []
        for body in bodies:
            offset = self.ledger.next_offset
            record = Record(make_record_id(writer, offset), writer, self.now, body)
            events.append(RecordApplied(record, self.ledger.apply(offset, record)))
        for event in events:
            self.feed(event)

    def sent_messages(self, kind: type) -> list:
        return [
            output.message
            for output in self.outputs
            if isinstance(output, SendMessage) and isinstance(output.message, kind)
        ]

    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.feed(MessageReceived(TARGET, Status(WORKER, self.now, Epoch(1), Version(1))))
        self.feed(TimePassed())


def publish_config(harness: OwnerHarness) -> None:
    harness.feed(LogAvailabilityChanged(True))
    harness.apply_records(
        ConfigPublished(Version(1), Version(0), CONFIG_TEXT, OperatorId("operations"))
    )


def make_claim(epoch: int) -> DomainClaimed:
    return DomainClaimed(DOMAIN, Epoch(epoch), Epoch(epoch - 1), EntryId("e0"))


@given("an entry that reads a claim of its predecessor process")
def given_claim_of_predecessor(context: Context) -> None:
    context.harness = OwnerHarness()
    publish_config(context.harness)
    context.harness.apply_records(make_claim(1), writer="e0/old")


@then("it owns no domain")
def check_owns_no_domain(context: Context) -> None:
    assert context.harness.ownership.domains == {}


@given("an entry that owns a domain with one target")
def given_owned_domain(context: Context) -> None:
    context.harness = OwnerHarness()
    publish_config(context.harness)
    context.harness.apply_records(make_claim(1))
    context.harness.advance(0.1)


@when("a job is accepted while the owner waits for statuses")
@when("a job is accepted")
def accept_job(context: Context) -> None:
    context.harness.apply_records(JobAccepted(JOB, DOMAIN))


@given("the wait for statuses is over")
@when("the wait for statuses is over")
def finish_status_wait(context: Context) -> None:
    context.harness.advance(3.0)
    context.harness.advance(0.1)


@then("nothing is reserved")
def check_nothing_reserved(context: Context) -> None:
    assert context.harness.sent_messages(Reserve) == []


@then("the job is reserved once")
def check_reserved_once(context: Context) -> None:
    assert [message.job for message in context.harness.sent_messages(Reserve)] == [JOB]


CANCELLATION = JobsCancelled((JOB.id,), ORGANISATION, CallerId("caller"))


@when("a job is accepted and cancelled before the owner handles either record")
def accept_and_cancel_job(context: Context) -> None:
    context.harness.apply_records(JobAccepted(JOB, DOMAIN), CANCELLATION)


@when("the job is cancelled")
def cancel_job(context: Context) -> None:
    context.harness.apply_records(CANCELLATION)


@then("the target is told to release it")
def check_released(context: Context) -> None:
    assert [message.job for message in context.harness.sent_messages(Release)] == [JOB.id]


@then("the job is not reserved again")
def check_not_reserved_again(context: Context) -> None:
    for _ in range(5):
        context.harness.advance(1.0)
    assert len(context.harness.sent_messages(Reserve)) == 1


@when("the job is finished by an earlier owner before its start is recorded")
def finish_before_start(context: Context) -> None:
    harness = context.harness
    attempt = harness.sent_messages(Reserve)[0].attempt
    harness.feed(MessageReceived(TARGET, ReserveAnswer(TARGET, JOB.id, attempt)))
    start = AttemptStarted(JOB.id, attempt, DOMAIN, Epoch(1), (Placement(0, TARGET, 3),))
    # The owner of another domain may finish a job that was since routed to this domain.
    finish = JobFinished(JOB.id, attempt, DomainId("platense"), Epoch(1), b"result", "")
    harness.apply_records(finish, start)


@when("a start of the same attempt with an older epoch is rejected")
def reject_start_of_old_epoch(context: Context) -> None:
    attempt = context.harness.sent_messages(Reserve)[0].attempt
    start = AttemptStarted(JOB.id, attempt, DOMAIN, Epoch(0), (Placement(0, TARGET, 3),))
    context.harness.apply_records(start)


@then("the reservation stays")
def check_reservation_stays(context: Context) -> None:
    assert context.harness.sent_messages(Release) == []


def make_scheduler(epoch: int) -> Scheduler:
    scheduler = Scheduler(DOMAIN, Epoch(epoch))
    scheduler.handle(ConfigInForce(parse_config(CONFIG_TEXT, Version(1)).ok), 0.0)
    scheduler.handle(WorkerReported(WORKER), 0.0)
    return scheduler


@when("owners in epochs 1 and 2 start the same job")
def start_in_two_epochs(context: Context) -> None:
    context.attempts = []
    for epoch in (1, 2):
        commands = make_scheduler(epoch).handle(JobQueued(JOB), 1.0)
        context.attempts += [c.attempt for c in commands if isinstance(c, ReserveParts)]


@then("their attempt numbers differ")
def check_attempts_differ(context: Context) -> None:
    assert len(set(context.attempts)) == 2, context.attempts


@given("a target that reserved a job")
def given_reserved_job(context: Context) -> None:
    context.agent = Agent(WORKER)
    welcome = Welcome(EntryId("e0"), DOMAIN, Epoch(1), Version(1), True, 100.0, 6.0)
    context.agent.handle(welcome, 100.0)
    placements = (Placement(0, TARGET, 3),)
    reserve = Reserve(Epoch(1), Version(1), JOB, Attempt(1), placements)
    context.agent.handle(reserve, 100.0)


@when("the stop arrives before the commit")
def stop_before_commit(context: Context) -> None:
    context.actions = context.agent.handle(Stop(Epoch(1), JOB.id, Attempt(1)), 100.1)
    context.actions += context.agent.handle(Commit(Epoch(1), JOB.id, Attempt(1)), 100.2)


@then("no part starts")
def check_no_start(context: Context) -> None:
    assert not [action for action in context.actions if isinstance(action, StartPart)]


@given("a scheduler whose running job was cancelled")
def given_cancelled_running_job(context: Context) -> None:
    context.scheduler = make_scheduler(1)
    context.scheduler.handle(JobResumed(JOB, Attempt(1), (Placement(0, TARGET, 3),)), 1.0)
    context.scheduler.handle(JobClosed(JOB.id), 2.0)


@when("the target still reports the part after 7 s")
def report_part_again(context: Context) -> None:
    held = HeldPart(JOB.id, Attempt(1), 0, 3, PartState.RUNNING)
    context.commands = context.scheduler.handle(WorkerReported(WORKER, (held,)), 9.0)


@then("the stop is sent again")
def check_stop_repeated(context: Context) -> None:
    assert StopParts(TARGET, JOB.id, Attempt(1)) in context.commands


class UnansweredLog(ProcessLog):
    """Loses the answer to every append."""

    def __init__(self) -> None:
        pass

    def append(self, batch) -> list[Offset]:
        raise LogUnavailableError("the answer was lost", "wait")


@given("an appender whose log answers no append and is never read")
def given_appender_without_answers(context: Context) -> None:
    clock = mock.Mock()
    clock.monotonic.return_value = clock.time.return_value = 100.0
    context.stack.enter_context(mock.patch.object(journal, "time", clock))
    context.clock = clock
    reader = LedgerReader(UnansweredLog(), Metrics())
    context.appender = Appender("e0", UnansweredLog(), reader, Metrics())


@when("two appended records pass their timeout after a lost answer")
def pass_append_timeout(context: Context) -> None:
    body = EntryUp(EntryId("e0"), ZoneId("paysandu"), "", "")
    context.futures = [context.appender.submit(body, 5.0) for _ in range(2)]
    context.appender.handle(context.appender._inbox.get_nowait())
    context.clock.monotonic.return_value = 106.0
    context.appender.tick()


@then("both are resolved as unknown")
def check_both_unknown(context: Context) -> None:
    results: list[Future] = [future for future in context.futures if future.done()]
    assert len(results) == 2
    assert all(future.result().verdict is None for future in results)


@when("version 2 is published")
def publish_second_version(context: Context) -> None:
    context.harness.apply_records(
        ConfigPublished(Version(2), Version(1), CONFIG_TEXT, OperatorId("operations"))
    )
    context.harness.advance(1.1)


@when("a heartbeat of the target names version 2")
def send_heartbeat_with_version(context: Context) -> None:
    harness = context.harness
    beat = Heartbeat(TARGET, harness.now, 0, Epoch(1), Version(2))
    harness.feed(MessageReceived(TARGET, beat))
    harness.now += 1.1
    harness.feed(TimePassed())


def newest_report(context: Context) -> DomainReported:
    bodies = [output.body for output in context.harness.outputs if isinstance(output, Append)]
    return [body for body in bodies if isinstance(body, DomainReported)][-1]


@then("the report names the target as behind")
def check_target_behind(context: Context) -> None:
    assert newest_report(context).behind == (TARGET,)


@then("the report names no target as behind")
def check_no_target_behind(context: Context) -> None:
    report = newest_report(context)
    assert (report.version, report.behind) == (2, ()), report
