"""Steps of the ownership core and of the faults that the history checks found."""

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


class Driver:
    """An ownership core with its ledger; keeps all outputs."""

    def __init__(self) -> None:
        self.ledger = Ledger()
        cfg = EntrySettings("e0", "paysandu", "e0", "e0", "")
        self.core = Ownership(cfg, "e0/new", self.ledger)
        self.now = 100.0
        self.outputs: list[Output] = []

    def feed(self, event) -> None:
        self.outputs += self.core.handle(event, self.now)

    def fold(self, *bodies: AnyBody, writer: str = "e0/new") -> None:
        """Apply all records to the ledger first, then give them to the core."""
        folded = []
        for body in bodies:
            offset = self.ledger.next_offset
            record = Record(make_record_id(writer, offset), writer, self.now, body)
            folded.append(RecordApplied(record, self.ledger.apply(offset, record)))
        for event in folded:
            self.feed(event)

    def sent(self, kind: type) -> list:
        return [
            output.message
            for output in self.outputs
            if isinstance(output, SendMessage) and isinstance(output.message, kind)
        ]

    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.feed(MessageReceived(TARGET, Status(WORKER, self.now, Epoch(1), Version(1))))
        self.feed(TimePassed())


def publish(driver: Driver) -> None:
    driver.feed(LogAvailabilityChanged(True))
    driver.fold(ConfigPublished(Version(1), Version(0), CONFIG_TEXT, OperatorId("operations")))


def claim(epoch: int) -> DomainClaimed:
    return DomainClaimed(DOMAIN, Epoch(epoch), Epoch(epoch - 1), EntryId("e0"))


@given("an entry that reads a claim by its predecessor")
def read_old_claim(context: Context) -> None:
    context.driver = Driver()
    publish(context.driver)
    context.driver.fold(claim(1), writer="e0/old")


@then("it owns no domain")
def owns_nothing(context: Context) -> None:
    assert context.driver.core.domains == {}


@given("an entry that owns a domain with one target")
def owns_domain(context: Context) -> None:
    context.driver = Driver()
    publish(context.driver)
    context.driver.fold(claim(1))
    context.driver.pass_time(0.1)


@when("a job is accepted before the statuses are in")
@when("a job is accepted")
def accept_job(context: Context) -> None:
    context.driver.fold(JobAccepted(JOB, DOMAIN))


@given("the wait for statuses is over")
@when("the wait for statuses is over")
def wait_is_over(context: Context) -> None:
    context.driver.pass_time(3.0)
    context.driver.pass_time(0.1)


@then("nothing is reserved yet")
def nothing_reserved(context: Context) -> None:
    assert context.driver.sent(Reserve) == []


@then("the job is reserved once")
def reserved_once(context: Context) -> None:
    assert [message.job for message in context.driver.sent(Reserve)] == [JOB]


CANCEL = JobsCancelled((JOB.id,), ORGANISATION, CallerId("caller"))


@when("a job is accepted and cancelled before the owner handles either record")
def accept_and_cancel(context: Context) -> None:
    context.driver.fold(JobAccepted(JOB, DOMAIN), CANCEL)


@when("the job is cancelled")
def cancel(context: Context) -> None:
    context.driver.fold(CANCEL)


@then("the target is told to release it")
def released(context: Context) -> None:
    assert [message.job for message in context.driver.sent(Release)] == [JOB.id]


@then("the job is not reserved again")
def not_again(context: Context) -> None:
    for _ in range(5):
        context.driver.pass_time(1.0)
    assert len(context.driver.sent(Reserve)) == 1


@when("the job is finished by an earlier owner before its start is recorded")
def finish_before_start(context: Context) -> None:
    driver = context.driver
    attempt = driver.sent(Reserve)[0].attempt
    driver.feed(MessageReceived(TARGET, ReserveAnswer(TARGET, JOB.id, attempt)))
    start = AttemptStarted(JOB.id, attempt, DOMAIN, Epoch(1), (Placement(0, TARGET, 3),))
    # An earlier owner of another domain may finish a job that was routed here since.
    finish = JobFinished(JOB.id, attempt, DomainId("platense"), Epoch(1), b"result", "")
    driver.fold(finish, start)


@when("a start of the same attempt in an older epoch is rejected")
def old_start(context: Context) -> None:
    attempt = context.driver.sent(Reserve)[0].attempt
    start = AttemptStarted(JOB.id, attempt, DOMAIN, Epoch(0), (Placement(0, TARGET, 3),))
    context.driver.fold(start)


@then("the reservation stays")
def reservation_stays(context: Context) -> None:
    assert context.driver.sent(Release) == []


def scheduler(epoch: int) -> Scheduler:
    core = Scheduler(DOMAIN, Epoch(epoch))
    core.handle(ConfigInForce(parse_config(CONFIG_TEXT, Version(1)).ok), 0.0)
    core.handle(WorkerReported(WORKER), 0.0)
    return core


@when("owners in epochs 1 and 2 start the same job")
def two_owners(context: Context) -> None:
    context.attempts = []
    for epoch in (1, 2):
        commands = scheduler(epoch).handle(JobQueued(JOB), 1.0)
        context.attempts += [c.attempt for c in commands if isinstance(c, ReserveParts)]


@then("their attempt numbers differ")
def attempts_differ(context: Context) -> None:
    assert len(set(context.attempts)) == 2, context.attempts


@given("a target that reserved a job")
def target_reserved(context: Context) -> None:
    context.agent = Agent(WORKER)
    welcome = Welcome(EntryId("e0"), DOMAIN, Epoch(1), Version(1), True, 100.0, 6.0)
    context.agent.handle(welcome, 100.0)
    placements = (Placement(0, TARGET, 3),)
    reserve = Reserve(Epoch(1), Version(1), JOB, Attempt(1), placements)
    context.agent.handle(reserve, 100.0)


@when("the stop arrives before the commit")
def stop_first(context: Context) -> None:
    context.actions = context.agent.handle(Stop(Epoch(1), JOB.id, Attempt(1)), 100.1)
    context.actions += context.agent.handle(Commit(Epoch(1), JOB.id, Attempt(1)), 100.2)


@then("no part starts")
def no_start(context: Context) -> None:
    assert not [action for action in context.actions if isinstance(action, StartPart)]


@given("a scheduler whose running job was cancelled")
def running_cancelled(context: Context) -> None:
    context.core = scheduler(1)
    context.core.handle(JobResumed(JOB, Attempt(1), (Placement(0, TARGET, 3),)), 1.0)
    context.core.handle(JobClosed(JOB.id), 2.0)


@when("the target still reports the part after 7 s")
def still_reported(context: Context) -> None:
    held = HeldPart(JOB.id, Attempt(1), 0, 3, PartState.RUNNING)
    context.commands = context.core.handle(WorkerReported(WORKER, (held,)), 9.0)


@then("the stop is sent again")
def stop_again(context: Context) -> None:
    assert StopParts(TARGET, JOB.id, Attempt(1)) in context.commands


class DeafLog(ProcessLog):
    """Takes records but loses every answer."""

    def __init__(self) -> None:
        pass

    def append(self, batch) -> list[Offset]:
        raise LogUnavailableError("the answer was lost", "wait")


@given("an appender whose log takes records but is never read")
def deaf_appender(context: Context) -> None:
    clock = mock.Mock()
    clock.monotonic.return_value = clock.time.return_value = 100.0
    context.stack.enter_context(mock.patch.object(journal, "time", clock))
    context.clock = clock
    reader = LedgerReader(DeafLog(), Metrics())
    context.appender = Appender("e0", DeafLog(), reader, Metrics())


@when("two records are overdue after a lost answer")
def overdue(context: Context) -> None:
    body = EntryUp(EntryId("e0"), ZoneId("paysandu"), "", "")
    context.futures = [context.appender.submit(body, 5.0) for _ in range(2)]
    context.appender.handle(context.appender._inbox.get_nowait())
    context.clock.monotonic.return_value = 106.0
    context.appender.tick()


@then("both are resolved as unknown")
def both_resolved(context: Context) -> None:
    results: list[Future] = [future for future in context.futures if future.done()]
    assert len(results) == 2
    assert all(future.result().verdict is None for future in results)


@when("version 2 is published")
def publish_second(context: Context) -> None:
    context.driver.fold(
        ConfigPublished(Version(2), Version(1), CONFIG_TEXT, OperatorId("operations"))
    )
    context.driver.pass_time(1.1)


@when("a heartbeat of the target names version 2")
def heartbeat_with_version(context: Context) -> None:
    driver = context.driver
    beat = Heartbeat(TARGET, driver.now, 0, Epoch(1), Version(2))
    driver.feed(MessageReceived(TARGET, beat))
    driver.now += 1.1
    driver.feed(TimePassed())


def newest_report(context: Context) -> DomainReported:
    bodies = [output.body for output in context.driver.outputs if isinstance(output, Append)]
    return [body for body in bodies if isinstance(body, DomainReported)][-1]


@then("the report names the target as behind")
def is_behind(context: Context) -> None:
    assert newest_report(context).behind == (TARGET,)


@then("the report names no target as behind")
def is_not_behind(context: Context) -> None:
    report = newest_report(context)
    assert (report.version, report.behind) == (2, ()), report
