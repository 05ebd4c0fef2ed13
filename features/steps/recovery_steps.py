"""Steps for recovery from the log."""

import random
import time

import msgspec
from behave import given, then, when
from behave.runner import Context

from comfreyshelf import snapshots
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
    ServiceId,
    TargetId,
    Version,
    ZoneId,
)
from comfreyshelf.journal import Appender, LedgerReader
from comfreyshelf.ledger import Ledger
from comfreyshelf.log import MemoryLog
from comfreyshelf.metrics import Metrics
from comfreyshelf.model import AttemptOutcome, Job, Placement, Shape, Urgency
from comfreyshelf.reasons import RefusalReason
from comfreyshelf.records import (
    AnyBody,
    AttemptEnded,
    AttemptStarted,
    ConfigPublished,
    DomainClaimed,
    DomainRenewed,
    EntryDown,
    EntryUp,
    JobAccepted,
    JobFinished,
    JobRefused,
    JobsCancelled,
    Record,
    RequestStarted,
    decode_record,
    encode_record,
    make_record_id,
)
from comfreyshelf.snapshots import Recovery, SnapshotSchedule, encode_snapshot

DOMAIN = DomainId("litoral")
ORGANISATION = OrganisationId("o")
CALLER = CallerId("c")
WAIT_S = 30.0

TEXT = (
    "[deployment]\nname = t\nresult_retention_s = 3600\n"
    "[region litoral]\n[zone z]\nregion = litoral\n[service s]\n"
    f"[organisation o]\n[operator p]\nkey_sha256 = {'0' * 64}\n"
)


def random_body(rng: random.Random) -> AnyBody:
    """Return a random record body; names are few, so that many records concern the same jobs."""
    job = JobId(f"j{rng.randrange(12)}")
    epoch = Epoch(rng.randrange(3))
    attempt = Attempt(rng.randrange(1, 4))
    entry = EntryId(f"e{rng.randrange(2)}")
    version = rng.randrange(4)
    bodies: list[AnyBody] = [
        ConfigPublished(Version(version + 1), Version(version), TEXT, OperatorId("p")),
        EntryUp(entry, ZoneId("z"), "127.0.0.1:1", "127.0.0.1:2"),
        DomainClaimed(DOMAIN, Epoch(epoch + 1), epoch, entry),
        DomainRenewed(DOMAIN, epoch, entry),
        JobAccepted(random_job(job, rng), DOMAIN),
        AttemptStarted(job, attempt, DOMAIN, epoch, (Placement(0, TargetId("t"), 1),)),
        AttemptEnded(job, attempt, DOMAIN, epoch, rng.choice(list(AttemptOutcome))),
        JobFinished(job, attempt, DOMAIN, epoch, b"result", "digest"),
        JobsCancelled((job,), ORGANISATION, CALLER),
        JobRefused(job, DOMAIN, epoch, RefusalReason.NEVER_FITS),
        RequestStarted(ORGANISATION, CALLER, f"k{rng.randrange(5)}", entry),
    ]
    return rng.choice(bodies)


def random_job(job: JobId, rng: random.Random) -> Job:
    return Job(
        job,
        ORGANISATION,
        CALLER,
        f"key-{rng.randrange(20)}",
        ServiceId("s"),
        "kind",
        Shape(1, rng.choice([1, 2, 4, 8])),
        10.0,
        rng.choice(list(Urgency)),
    )


def make_records(count: int, seed: int) -> list[Record]:
    rng = random.Random(seed)
    sequences = {"a": 0, "b": 0}
    records = []
    for index in range(count):
        writer = rng.choice(["a", "b"])
        if rng.random() < 0.9:
            sequences[writer] += 1
        record_id = make_record_id(writer, max(1, sequences[writer]))
        records.append(Record(record_id, writer, 1000.0 + 40.0 * index, random_body(rng)))
    return records


def encode_ledger(ledger: Ledger) -> bytes:
    return msgspec.json.encode((ledger.state, ledger.config, ledger.next_offset), order="sorted")


def read_to_end(log: MemoryLog, accept_lost_history: bool = False) -> LedgerReader:
    """Return a reader that has polled often enough to reach the end of the log."""
    reader = LedgerReader(log, Metrics(), accept_lost_history)
    for _ in range(4):
        reader.poll()
    return reader


@given("a ledger to which {count:d} random records were applied")
def given_ledger(context: Context, count: int) -> None:
    context.records = make_records(count, seed=7)
    ledger = Ledger()
    for offset, record in enumerate(context.records):
        ledger.apply(Offset(offset), record)
    context.expected_ledger = encode_ledger(ledger)
    context.later_records = [
        msgspec.structs.replace(record, id=make_record_id("later", index + 1), time=9000.0)
        for index, record in enumerate(make_records(300, seed=8))
    ]
    context.expected_verdicts = apply_and_list_verdicts(ledger, context.later_records)


def apply_and_list_verdicts(ledger: Ledger, records: list[Record]) -> list[bool]:
    """Apply records and list which are accepted, to compare state that `encode_ledger` omits."""
    first = ledger.next_offset
    return [
        ledger.apply(Offset(first + index), record).accepted for index, record in enumerate(records)
    ]


@when("a snapshot is taken after each record and all records up to it expire")
def recover_at_every_offset(context: Context) -> None:
    context.recovered = []
    ledger = Ledger()
    for offset, record in enumerate(context.records):
        ledger.apply(Offset(offset), record)
        chunks = encode_snapshot(ledger)
        recovery = Recovery(Offset(offset + 1))
        for later in range(offset + 1, len(context.records)):
            recovery.add(Offset(later), context.records[later])
        # The log may hold a snapshot's chunks after newer records of other writers. Chunks do not
        # change the ledger.
        for chunk in chunks:
            recovery._assembler.add(chunk)
        assert recovery.is_complete
        fresh = Ledger()
        recovery.rebuild(fresh)
        context.recovered.append(
            (encode_ledger(fresh), apply_and_list_verdicts(fresh, context.later_records))
        )


@then("recovery from the retained records gives the same ledger each time")
def check_same_ledger(context: Context) -> None:
    assert len(context.recovered) == len(context.records)
    expected = (context.expected_ledger, context.expected_verdicts)
    assert all(recovered == expected for recovered in context.recovered)


@given("a log whose first records expired without a snapshot")
def given_log_without_history(context: Context) -> None:
    context.log = MemoryLog()
    context.log.append([encode_record(record) for record in make_records(20, seed=1)])
    context.log.expire_before(10)


@then("a reader does not catch up")
def check_not_caught_up(context: Context) -> None:
    assert not read_to_end(context.log).caught_up.is_set()


@then("a reader that accepts lost history catches up")
def check_lost_history_accepted(context: Context) -> None:
    assert read_to_end(context.log, accept_lost_history=True).caught_up.is_set()


@given("a reader that has read a log to its end")
def given_reader(context: Context) -> None:
    context.log = MemoryLog()
    context.records = make_records(60, seed=3)
    context.log.append([encode_record(record) for record in context.records[:20]])
    context.reader = read_to_end(context.log)
    context.reset_count = 0

    def count_reset() -> None:
        context.reset_count += 1

    context.reader.on_reset(count_reset)


@when("records and a snapshot are appended while the reader is stopped, and unread records expire")
def append_and_expire(context: Context) -> None:
    ledger = Ledger()
    for offset, record in enumerate(context.records[:50]):
        ledger.apply(Offset(offset), record)
    context.log.append([encode_record(record) for record in context.records[20:50]])
    chunks = [
        Record(make_record_id("s", index + 1), "s", 3000.0, chunk)
        for index, chunk in enumerate(encode_snapshot(ledger))
    ]
    context.log.append([encode_record(record) for record in chunks])
    context.log.append([encode_record(record) for record in context.records[50:]])
    context.log.expire_before(40)
    everything = context.records[:50] + chunks + context.records[50:]
    for offset in range(50, len(everything)):
        ledger.apply(Offset(offset), everything[offset])
    context.expected_ledger = encode_ledger(ledger)


@then("the reader rebuilds the same ledger and calls its reset listeners")
def check_reader_rebuilt(context: Context) -> None:
    for _ in range(4):
        context.reader.poll()
    assert context.reset_count == 1
    assert encode_ledger(context.reader.ledger) == context.expected_ledger


class AnswerLosingLog(MemoryLog):
    """Loses every second answer to an append, alternately before and after the append."""

    def append(self, batch):
        turn = self.append_count % 4
        self.append_count += 1
        if turn == 1:
            self.lost_answers = 1
        elif turn == 3:
            self.down = True
        try:
            return super().append(batch)
        finally:
            self.down = False


@given("an appender on a log that loses every second answer")
def given_appender(context: Context) -> None:
    context.log = AnswerLosingLog()
    context.reader = LedgerReader(context.log, Metrics())
    context.applied = []
    context.reader.on_record(
        lambda record, verdict: context.applied.append((record.body, verdict.reason))
    )
    context.appender = Appender("w", context.log, context.reader, Metrics())
    for service in (context.reader, context.appender):
        service.start()
        context.stack.callback(service.stop)
    assert context.reader.caught_up.wait(WAIT_S)


@when("{count:d} records are appended")
def append_records(context: Context, count: int) -> None:
    context.futures = []
    for index in range(count):
        body = RequestStarted(ORGANISATION, CALLER, f"key-{index}", EntryId("e"))
        context.futures.append(context.appender.submit(body))
        time.sleep(0.002)


@then("the reader applied each of them exactly once and in order")
def check_applied_once(context: Context) -> None:
    assert all(future.result(WAIT_S).verdict.accepted for future in context.futures)
    applied = [body.key for body, reason in context.applied if reason != "repeated"]
    assert applied == [f"key-{index}" for index in range(len(context.futures))], applied


@given("a log that holds a record, a newer one and a late copy of the first")
def given_repeated_record(context: Context) -> None:
    bodies = [
        EntryUp(EntryId("e"), ZoneId("z"), "127.0.0.1:1", "127.0.0.1:2"),
        EntryDown(EntryId("e")),
    ]
    first, second = [
        Record(make_record_id("w", index + 1), "w", 1.0, body) for index, body in enumerate(bodies)
    ]
    context.log = MemoryLog()
    context.log.append([encode_record(record) for record in (first, second, first)])


@then("the late copy has no effect")
def check_late_copy_ignored(context: Context) -> None:
    reader = read_to_end(context.log)
    assert not reader.ledger.state.entries
    assert reader.ledger.counters["record_repeated"] == 1


@given("a log with an undecodable record and one of unknown type between two valid ones")
def given_damaged_log(context: Context) -> None:
    good = [
        Record(
            make_record_id("w", index), "w", 1.0, EntryUp(EntryId(f"e{index}"), ZoneId("z"), "", "")
        )
        for index in (1, 2)
    ]
    unknown = encode_record(good[0]).replace(b"EntryUp", b"EntryAp")
    context.log = MemoryLog()
    context.log.append([encode_record(good[0]), b"\xff\x00", unknown, encode_record(good[1])])


@then("a reader applies both valid records and counts {count:d} damaged ones")
def check_damaged_skipped(context: Context, count: int) -> None:
    reader = read_to_end(context.log)
    assert set(reader.ledger.state.entries) == {"e1", "e2"}
    assert reader.ledger.counters["record_damaged"] == count


@given("a snapshot of several chunks")
def given_chunked_snapshot(context: Context) -> None:
    ledger = Ledger()
    for offset, record in enumerate(make_records(200, seed=5)):
        ledger.apply(Offset(offset), record)
    size = snapshots.CHUNK_BYTES
    snapshots.CHUNK_BYTES = 300
    try:
        context.chunks = encode_snapshot(ledger)
    finally:
        snapshots.CHUNK_BYTES = size
    assert len(context.chunks) > 2


@then("the snapshot is not used while a chunk is missing or damaged")
def check_snapshot_not_used(context: Context) -> None:
    missing = snapshots.SnapshotAssembler()
    assert not any([missing.add(chunk) for chunk in context.chunks[1:]])
    assert missing.newest is None
    damaged = snapshots.SnapshotAssembler()
    broken = msgspec.structs.replace(context.chunks[0], data=b"?" * 300)
    assert not any([damaged.add(chunk) for chunk in [broken, *context.chunks[1:]]])
    assert damaged.newest is None
    assert damaged.damaged_count == 1


@then("the snapshot is used once all chunks are present and undamaged")
def check_snapshot_used(context: Context) -> None:
    assembler = snapshots.SnapshotAssembler()
    encoded = [
        encode_record(Record(make_record_id("s", index), "s", 1.0, chunk))
        for index, chunk in enumerate(context.chunks)
    ]
    results = [assembler.add(decode_record(data).body) for data in reversed(encoded)]
    assert results == [False] * (len(results) - 1) + [True]


@given("a snapshot schedule with a retention of {retention:d} seconds")
def given_schedule(context: Context, retention: int) -> None:
    context.schedule = SnapshotSchedule(retention)
    context.schedule.is_due(0.0, 0)
    context.schedule.record_snapshot(50.0)


@then("a snapshot is due {seconds:d} seconds after the last one for the first entry")
def check_snapshot_due(context: Context, seconds: int) -> None:
    assert not context.schedule.is_due(50.0 + seconds - 1, 0)
    assert context.schedule.is_due(50.0 + seconds, 0)


@then("the second entry waits {seconds:d} seconds longer")
def check_second_entry_waits(context: Context, seconds: int) -> None:
    assert not context.schedule.is_due(150.0 + seconds - 1, 1)
    assert context.schedule.is_due(150.0 + seconds, 1)
