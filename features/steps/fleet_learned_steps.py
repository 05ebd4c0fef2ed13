"""Steps for the records in which what an owner has learned outlives it."""

import time
from unittest import mock

import msgspec
from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet.job_table import job_record
from comfreyshelf.fleet.jobs import Job, QueueName, Resources, Step
from comfreyshelf.fleet.learned import keeper
from comfreyshelf.fleet.learned.keeper import LEARNED_TOPIC, LearnedKeeper
from comfreyshelf.fleet.learned.messages import KeeperMessage, LearnedChanged
from comfreyshelf.fleet.learned.state import LearnedState
from comfreyshelf.fleet.ownership import JobChanged
from comfreyshelf.fleet.prediction.model import JobDurations, RunSample
from comfreyshelf.fleet.prediction.quantile_model import QuantileModel
from comfreyshelf.fleet.prediction.record import RECORD_VERSION, DurationsRecord
from comfreyshelf.fleet.scheduling import Feature, Scheduling
from comfreyshelf.fleet.store import (
    Batch,
    FencedError,
    KeyedRecord,
    StoreBusyError,
    StoreSilentError,
    Writer,
)
from comfreyshelf.ids import JobId, OrganisationId
from features.owner_task_world import FakeStore, OwnerTaskWorld
from features.owner_world import FakeTarget, step

PREDICTION = Scheduling(frozenset({Feature.PREDICTION}))
ESTIMATE_S = 5.0


class DamagedAnswerError(msgspec.DecodeError):
    """An answer that cannot be decoded; takes the arguments of the store's errors."""

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(message)


class TopicStore(FakeStore):
    """Several topics in memory, with fenced writers whose repeated appends are carried out once.

    `fault` is raised by the calls for learned records: a busy store does nothing, a silent one has
    carried out an append. `read_fault` is raised by reads only.
    """

    def __init__(self) -> None:
        super().__init__()
        self.topics: dict[str, list[KeyedRecord]] = {}
        self.sequences: dict[tuple[str, int], int] = {}
        self.epochs: dict[str, int] = {}
        self.fault: type[Exception] | None = None
        self.read_fault: type[Exception] | None = None

    def append(
        self,
        topic: str,
        records: list[KeyedRecord],
        writer: Writer | None = None,
        max_timeout_s: float = float("inf"),
    ) -> int:
        fault = self.fault if topic == LEARNED_TOPIC else None
        if fault is StoreBusyError:
            raise StoreBusyError("the store is away", "wait")
        kept = self.topics.setdefault(topic, [])
        if self._accepts(writer):
            kept += [KeyedRecord(r.key, r.value, len(kept) + i) for i, r in enumerate(records)]
        if fault is not None:
            raise fault("the answer is lost", "repeat the call")
        return len(kept)

    def _accepts(self, writer: Writer | None) -> bool:
        """Whether an append is new; raises FencedError for one of an older epoch."""
        if writer is None:
            return True
        if writer.epoch < self.epochs.get(writer.name, 0):
            raise FencedError("a newer epoch was seen", "give up ownership")
        self.epochs[writer.name] = writer.epoch
        next_sequence = self.sequences.get((writer.name, writer.epoch), 0)
        if writer.sequence < next_sequence:
            return False
        assert writer.sequence == next_sequence, f"sequence {writer.sequence} leaves a gap"
        self.sequences[(writer.name, writer.epoch)] = next_sequence + 1
        return True

    def read(self, topic: str, offset: int, wait_ms: int) -> Batch:
        fault = self.fault or self.read_fault
        if topic == LEARNED_TOPIC and fault is not None:
            raise fault("the store is away", "wait")
        kept = self.topics.get(topic, [])
        return Batch(tuple(kept[offset:]), len(kept), len(kept))

    def read_newest(self, topic: str) -> Batch:
        newest = {record.key: record for record in self.read(topic, 0, 0).records}
        return Batch(tuple(newest.values()), 0, 0)

    @property
    def learned(self) -> list[KeyedRecord]:
        return self.topics.get(LEARNED_TOPIC, [])


class Entry(OwnerTaskWorld):
    """An owner task and a keeper of one entry, driven without their threads."""

    def __init__(self, context: Context, store: TopicStore, epoch: int) -> None:
        super().__init__(context.stack, store, scheduling=PREDICTION)  # type: ignore[arg-type]
        context.stack.enter_context(mock.patch.object(keeper, "monotonic", lambda: self.now))
        self.learned_keeper = LearnedKeeper(store, self.metrics, self.task.handle)
        self.sent: list[KeeperMessage] = []
        self.task.connect(self.sync, store, self.hub, self._end_term, self._send_to_keeper)
        self.now = 1000.0 + 100 * epoch
        self.elect(epoch)
        self.epoch = epoch

    def _send_to_keeper(self, message: KeeperMessage) -> None:
        self.sent.append(message)
        self.learned_keeper.handle(message)

    @property
    def core(self):  # type: ignore[no-untyped-def]
        return self.task._core

    def wait(self, seconds: float) -> None:
        """Let the time pass in ticks, with the lead confirmed."""
        for _ in range(round(seconds / 0.25)):
            self.now += 0.25
            self.confirm(self.epoch)
            self.task.tick()
            self.learned_keeper.tick()

    def durations(self) -> JobDurations:
        work = Step(1, Resources(), round(ESTIMATE_S * 1000))
        job = Job(JobId("j"), OrganisationId("other"), QueueName("usual"), "", (work,), 0.0)
        return self.core.policies.durations.for_job(job)

    def run_tasks(self, count: int, factor: float) -> None:
        for _ in range(count):
            self.durations().observe(0, RunSample(factor * ESTIMATE_S))

    @property
    def ratio(self) -> float:
        return self.durations().expected_s(0) / ESTIMATE_S


@given("an owner task that predicts run times and keeps them in a store")
def create_entry(context: Context) -> None:
    context.store = TopicStore()
    context.entry = Entry(context, context.store, 1)


@when(
    "{count:d} tasks take {factor:g} times their estimate, and the owner dies {seconds:g} "
    "seconds later"
)
@given(
    "{count:d} tasks took {factor:g} times their estimate, and the owner has died "
    "{seconds:g} seconds later"
)
def run_and_die(context: Context, count: int, factor: float, seconds: float) -> None:
    context.entry.wait(0.5)
    context.entry.run_tasks(count, factor)
    context.entry.wait(seconds)
    context.first = context.entry


@then("the next owner expects {low:g} to {high:g} times the estimate")
@then("a third owner expects {low:g} to {high:g} times the estimate")
def check_next_owner(context: Context, low: float, high: float) -> None:
    context.entry = Entry(context, context.store, context.entry.epoch + 1)
    context.entry.wait(0.5)
    check_ratio(context, low, high)


def check_ratio(context: Context, low: float, high: float) -> None:
    assert low <= context.entry.ratio <= high, context.entry.ratio


@when(
    "the next owner takes over while the topic of learned records is away for {seconds:g} "
    "seconds"
)
def take_over_without_topic(context: Context, seconds: float) -> None:
    context.records_before = list(context.store.learned)
    context.store.read_fault = StoreSilentError
    context.entry = Entry(context, context.store, 2)
    context.entry.learned_keeper.handle(LearnedChanged(2, {"another": b"state"}))
    target = FakeTarget(1)
    context.entry.report(target.report(context.entry.now))
    job = Job(JobId("a" * 16), OrganisationId("other"), QueueName("usual"), "", (step(1),), 0.0)
    context.entry.sync.append([job_record(job)])
    context.entry.task.handle(JobChanged(job.id))
    context.entry.run_tasks(3, 1.0)
    context.entry.report(target.report(context.entry.now))
    context.entry.wait(1.0)
    context.started = [o for _, orders in context.entry.hub.sent for o in orders.starts]
    context.entry.wait(seconds)


@then("it starts a job meanwhile and writes no learned record")
def check_started(context: Context) -> None:
    assert context.started, context.entry.hub.sent
    assert context.store.learned == context.records_before


@then("it expects {low:g} to {high:g} times the estimate once the topic is back")
def check_after_fault(context: Context, low: float, high: float) -> None:
    context.store.read_fault = None
    context.entry.wait(2.0)
    check_ratio(context, low, high)
    # The first record that the new owner writes holds what the old one has learned.
    new_records = context.store.learned[len(context.records_before) :]
    first = next(record for record in new_records if record.key == "durations")
    context.store.topics[LEARNED_TOPIC] = [first]
    check_next_owner(context, low, high)


def quantiles_record(version: int, milli: range) -> bytes:
    row = ("usual", "", False, "s", 50.0, tuple(milli))
    return msgspec.msgpack.encode((version, time.time(), [row]))


RECORDS = {
    "of noise": b"\xff\x00noise" * 20,
    "of another version": quantiles_record(RECORD_VERSION + 1, range(20_000, 40_000, 1000)),
    "whose quantiles are out of order": quantiles_record(RECORD_VERSION, range(20_000, 0, -1000)),
    "of no bytes but one": b"\x01",
}


@given("the store holds a learned record {record}")
def put_record(context: Context, record: str) -> None:
    context.store.topics[LEARNED_TOPIC] = [KeyedRecord("durations", RECORDS[record], 0)]


@when("the owner takes over")
def take_over(context: Context) -> None:
    context.entry = Entry(context, context.store, 2)
    context.entry.wait(1.0)


def ignored(context: Context, reason: str) -> float:
    return context.entry.metrics.value(f'learned_records_ignored{{reason="{reason}"}}')


@then("the record is counted as unreadable, and the estimate counts")
def check_unreadable(context: Context) -> None:
    assert ignored(context, "unreadable") == 1
    check_ratio(context, 0.95, 1.05)


@then("the owner writes its own record once it has learned something")
def check_own_record(context: Context) -> None:
    context.entry.run_tasks(40, 4.0)
    context.entry.wait(6.0)
    check_next_owner(context, 3.5, 4.5)


@when("the next owner takes over, and the old one writes that tasks take half their estimate")
def write_late(context: Context) -> None:
    context.entry = Entry(context, context.store, 2)
    context.entry.wait(1.0)
    context.first.run_tasks(400, 0.5)
    value = context.first.core.policies.learned[0].encode(0.0)
    context.first.learned_keeper.handle(LearnedChanged(1, {"durations": value}))


@then("the old owner's write is refused")
def check_refused(context: Context) -> None:
    assert context.first.metrics.value("learned_fenced") == 1


@when("the answer to a write is lost, the store is busy, and more is learned meanwhile")
def lose_answer(context: Context, fault: type[Exception] = StoreSilentError) -> None:
    entry = context.entry
    entry.wait(0.5)
    context.store.fault = fault
    entry.run_tasks(10, 2.0)
    entry.wait(1.0)
    context.store.fault = StoreBusyError
    entry.run_tasks(10, 2.0)
    entry.wait(6.0)
    context.store.fault = None
    entry.wait(2.0)


@when("the answer to a write is damaged, the store is busy, and more is learned meanwhile")
def damage_answer(context: Context) -> None:
    lose_answer(context, DamagedAnswerError)


@then("both records are in the store in order")
def check_both_records(context: Context) -> None:
    sent = [m.values["durations"] for m in context.entry.sent if isinstance(m, LearnedChanged)]
    assert len(sent) == 2, len(sent)
    assert [record.value for record in context.store.learned] == sent


@when("10 tasks end in each of 20 seconds, and nothing ends for 20 seconds")
def run_for_40_seconds(context: Context) -> None:
    for second in range(40):
        if second < 20:
            context.entry.run_tasks(10, 1.0)
        context.entry.wait(1.0)


@then("{low:d} or {high:d} records were written")
def check_record_count(context: Context, low: int, high: int) -> None:
    assert low <= len(context.store.learned) <= high, len(context.store.learned)


class FailingState(LearnedState):
    """A state that can neither be encoded nor merged."""

    name = "failing"

    def encode(self, unix_now: float) -> bytes:
        raise ValueError("a fault")

    def merge(self, value: bytes, unix_now: float) -> None:
        raise ValueError("a fault")


class LargeState(LearnedState):
    """A state that is larger than a record of the store."""

    name = "large"

    def encode(self, unix_now: float) -> bytes:
        return b"x" * 300_000

    def merge(self, value: bytes, unix_now: float) -> None:
        raise AssertionError("it was never stored")


@given("further learned states, of which one raises errors and one grows beyond a record")
def add_states(context: Context) -> None:
    exchange = context.entry.task._learned
    exchange._states = (FailingState(), LargeState(), *exchange._states)


@then("the faults of the two states are counted")
def check_faults(context: Context) -> None:
    context.entry = context.first
    assert ignored(context, "not_encoded") > 0 and ignored(context, "too_large") > 0


@when(
    "its record is merged {hours:g} hours later, and {count:d} tasks of {seconds:g} "
    "seconds have ended"
)
def merge_later(context: Context, hours: float, count: int, seconds: float) -> None:
    value = DurationsRecord(context.model).encode(1e9)
    context.model = QuantileModel()
    DurationsRecord(context.model).merge(value, 1e9 + 3600 * hours)
    work = Step(1, Resources(), 10_000)
    job = Job(JobId("j"), OrganisationId("other"), QueueName("usual"), "", (work,), 0.0)
    for _ in range(count):
        context.model.for_job(job).observe(0, RunSample(seconds))


@when("{count:d} tasks of each of {organisations:d} organisations have ended")
def run_many_organisations(context: Context, count: int, organisations: int) -> None:
    work = Step(1, Resources(), 10_000)
    for number in range(organisations):
        organisation = OrganisationId(f"organisation-with-a-long-name-{number}")
        job = Job(JobId("j"), organisation, QueueName("usual"), "", (work,), 0.0)
        for _ in range(count):
            context.model.for_job(job).observe(0, RunSample(10.0))


@then("its record has less than {limit:d} KB")
def check_record_size(context: Context, limit: int) -> None:
    value = DurationsRecord(context.model).encode(0.0)
    assert 0 < len(value) < 1024 * limit, len(value)
