"""Steps for evacuations: the operators' topic, the owner, target processes and a deployment."""

import threading
import time
from unittest import mock

import msgspec
from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet.bounds import CONTACT_GRACE_S, Bounds
from comfreyshelf.fleet.evacuation import operator_topic
from comfreyshelf.fleet.evacuation.evacuations import (
    OFFSET_UNSUPPORTED,
    Evacuations,
    max_read_age_s,
)
from comfreyshelf.fleet.evacuation.operator_topic import OperatorTopic, OperatorTopicReader
from comfreyshelf.fleet.job_table import job_record
from comfreyshelf.fleet.jobs import (
    EndKind,
    FleetConfig,
    Incarnation,
    Job,
    JobPhase,
    QueueName,
    Resources,
    RunListing,
    RunningRow,
    Token,
)
from comfreyshelf.fleet.messages import (
    Orders,
    Report,
    StartOrder,
    StopOrder,
    decode_orders,
    decode_target_message,
    encode,
)
from comfreyshelf.fleet.order_executor import OrderExecutor
from comfreyshelf.fleet.store import Batch, StoreSilentError
from comfreyshelf.ids import JobId, Offset, OrganisationId, TargetId, ZoneId
from comfreyshelf.metrics import Metrics
from comfreyshelf.platform.runner import CALL_TIMEOUT_S as RUNNER_TIMEOUT_S
from comfreyshelf.platform.wire import PlatformCodec, decode_announcement
from features.evacuation_world import EVACUATE_S, EvacuationWorld, FakeOperatorStore
from features.owner_task_world import OwnerTaskWorld
from features.owner_world import FakeTarget, step
from features.target_world import FakeRunner, announcement, simulated_target_process

ORDER_THREADS = 4
URGENT_JOBS = 10
START = StartOrder("job.0.0.0", 1, "spec", "")


def split_zones(zones: str) -> list[str]:
    return [zone.strip() for zone in zones.split(",") if zone.strip()]


# The operators' topic


@given("an entry that follows the operators' topic")
def follow_topic(context: Context) -> None:
    context.clock = 100.0
    context.op_store = FakeOperatorStore()
    context.metrics = Metrics()
    context.changes = []
    context.ages_s = []

    def advance(seconds: float) -> None:
        context.clock += seconds

    context.op_store.advance = advance
    context.stack.enter_context(
        mock.patch.object(operator_topic, "monotonic", lambda: now(context))
    )
    context.log = context.stack.enter_context(mock.patch.object(operator_topic, "log_event"))
    context.topic = OperatorTopic(
        context.op_store, PlatformCodec(), context.metrics, context.changes.append
    )
    context.op_store.put_config(3)
    read_topic(context)


def now(context: Context) -> float:
    return context.owner.now if "owner" in context else context.clock


def read_topic(context: Context) -> None:
    try:
        context.topic.catch_up()
    except StoreSilentError:
        assert context.op_store.silent


@given('the records "{keys}" are written and read')
@when('the records "{keys}" are written and read')
def write_records(context: Context, keys: str) -> None:
    for key in split_zones(keys):
        context.op_store.put(key, b"{}")
    read_topic(context)


@when('the record "{key}" is removed and the topic is read')
def remove_record(context: Context, key: str) -> None:
    context.op_store.put(key, b"")
    read_topic(context)


@when("the store repeats its first record")
def repeat_record(context: Context) -> None:
    store = context.op_store
    first = next(record for record in store.records if record.key.startswith("evacuate"))
    end = len(store.records) + 1
    with mock.patch.object(store, "read", lambda *args: Batch((first,), end, end)):
        read_topic(context)


@given("the store does not answer")
def silence_store(context: Context) -> None:
    context.op_store.silent = True


@when("the store answers again")
def restore_store(context: Context) -> None:
    context.op_store.silent = False
    read_topic(context)


@when('the store loses the records "{key}" and its history')
def lose_history(context: Context, key: str) -> None:
    context.op_store.forget(key)
    # The next read is below the first offset that is kept.
    context.op_store.put_config(4)
    context.op_store.first_offset = len(context.op_store.records)
    read_topic(context)


@when("the store hides its newest {count:d} records after losing its history")
def serve_old_records(context: Context, count: int) -> None:
    context.op_store.hidden = count
    context.op_store.first_offset = len(context.op_store.records) + 1
    read_topic(context)


@when("an answer that was requested first arrives after a newer one")
def overtake_answer(context: Context) -> None:
    store = context.op_store
    end = len(store.records)

    def answer_late(*args: object) -> Batch:
        late.stop()
        context.clock += 0.5
        store.put("evacuate/a", b"{}")
        context.topic.catch_up()
        return Batch((), end, end)

    late = mock.patch.object(store, "read", answer_late)
    late.start()
    assert context.topic.read(1000)


@when('damaged records of zone "{zone}" and of no zone, and a configuration, are read twice')
def read_damaged_records(context: Context, zone: str) -> None:
    context.op_store.put(f"evacuate/{zone}", b"\xff[")
    context.op_store.put("evacuate/", b"{}")
    context.op_store.put_config(7)
    read_topic(context)
    context.op_store.first_offset = len(context.op_store.records) + 1
    read_topic(context)


@when("configurations of versions {first:d} and {second:d} are written and read")
def write_configurations(context: Context, first: int, second: int) -> None:
    for version in (first, second):
        context.op_store.put_config(version)
        read_topic(context)


@then('the zones "{zones}" are evacuated')
@then('the zones "" are evacuated')
def check_zones(context: Context, zones: str = "") -> None:
    known = context.topic.state.evacuations
    assert known.zones == set(split_zones(zones)), known


@then('the zones "{zones}" are evacuated and reads are failing')
@then('the zones "" are evacuated and reads are failing')
def check_zones_and_failure(context: Context, zones: str = "") -> None:
    check_zones(context, zones)
    assert context.topic.state.failing


@then('the zones "{zones}" are evacuated and reads are not failing')
@then('the zones "" are evacuated and reads are not failing')
def check_zones_and_success(context: Context, zones: str = "") -> None:
    check_zones(context, zones)
    assert not context.topic.state.failing


@then('the zones "{zones}" were announced last')
def check_announced(context: Context, zones: str) -> None:
    announced = [change for change in context.changes if isinstance(change, Evacuations)]
    assert [sorted(known.zones) for known in announced] == [["a", "b"], split_zones(zones)]
    assert [c.version for c in context.changes if isinstance(c, FleetConfig)] == [3]


@then('"{counter}" was counted')
def check_counted(context: Context, counter: str) -> None:
    assert context.metrics.value(counter) == 1


@then("{count:d} malformed records were counted, and the configuration is in force")
def check_malformed(context: Context, count: int) -> None:
    events = [call.args[0] for call in context.log.call_args_list]
    assert events.count("evacuation record malformed") == count, events
    assert context.metrics.value("evacuation_records_malformed") == count
    assert context.topic.config.version == 7


@then("the configuration of version {version:d} is in force")
def check_configuration(context: Context, version: int) -> None:
    assert context.topic.config.version == version
    versions = [c.version for c in context.changes if isinstance(c, FleetConfig)]
    assert versions == [3, version], versions


@given("reads take {milliseconds:d} ms")
def slow_reads(context: Context, milliseconds: int) -> None:
    context.op_store.read_s = milliseconds / 1000
    context.reader = OperatorTopicReader(context.topic)
    context.op_store.waits_ms.clear()


@when("the topic is polled {count:d} times")
def poll_topic(context: Context, count: int) -> None:
    for _ in range(count):
        current_at = context.topic.state.current_at
        context.reader.poll()
        context.ages_s.append(context.clock - current_at)


@when("reads take {milliseconds:d} ms, and the topic is polled {count:d} times")
def poll_faster(context: Context, milliseconds: int, count: int) -> None:
    context.op_store.read_s = milliseconds / 1000
    poll_topic(context, count)


@then("only the first read waited")
def check_short_reads(context: Context) -> None:
    assert context.op_store.waits_ms == [1000, 0, 0, 0], context.op_store.waits_ms


@then("the last read waited")
def check_long_poll(context: Context) -> None:
    assert context.op_store.waits_ms[-1] == 1000, context.op_store.waits_ms


@then("the knowledge was never older than {milliseconds:d} ms")
def check_age(context: Context, milliseconds: int) -> None:
    assert len(context.ages_s) == 4
    assert max(context.ages_s) <= milliseconds / 1000, context.ages_s


# The owner


def demand(accelerators: int) -> Resources:
    return Resources(1000, 1000, accelerators)


@given("an owner of {targets:d} targets in {zones:d} zones")
def create_world(context: Context, targets: int, zones: int) -> None:
    context.world = EvacuationWorld(targets)
    assert len({target.zone for target in context.world.targets}) == zones


@given("an owner of 4 targets in 2 zones, in a deployment without evacuations")
def create_world_without_evacuations(context: Context) -> None:
    context.world = EvacuationWorld(evacuate_s=0.0)


@given("an owner of 4 targets in 2 zones, each running a job of {accelerators:d} accelerators")
def create_busy_world(context: Context, accelerators: int) -> None:
    create_world(context, 4, 2)
    for number in range(4):
        one_each = step(1, demand=Resources(40000, 1000, accelerators))
        context.world.accept(f"first{number}", (one_each,))
    context.world.settle()
    assert all(len(target.running) == 1 for target in context.world.targets)


@when('zone "{zone}" is evacuated and {count:d} jobs of {accelerators:d} accelerators are accepted')
def evacuate_and_accept(context: Context, zone: str, count: int, accelerators: int) -> None:
    context.world.evacuate(zone)
    for number in range(count):
        context.world.accept(f"job{number}", (step(1, demand=demand(accelerators)),))
    context.world.settle()


@then('{count:d} of them run, all in zone "{zone}", and no run was stopped')
def check_started_elsewhere(context: Context, count: int, zone: str) -> None:
    world = context.world
    started = [s for s in world.started_in(zone) if s[0].startswith("job")]
    assert len(started) == len(world.starts("job")) == count, world.starts("job")
    assert len(world.starts("first")) == 4
    assert not any(target.ended for target in world.targets)


@when('zones "{zones}" are evacuated and a job is accepted')
def evacuate_all(context: Context, zones: str) -> None:
    context.world.evacuate(*split_zones(zones))
    context.world.accept("job", (step(1),), queue="least")
    context.world.settle()


@then("the job waits because of the evacuation for {seconds:d} s, which is logged and counted once")
def check_waits(context: Context, seconds: int) -> None:
    world = context.world
    world.wait(seconds)
    assert not world.starts("job")
    assert world.core.jobs[JobId("job")].phase is JobPhase.QUEUED
    assert world.wait_reasons("job") == ["its targets are in evacuated zones"]
    assert world.counts.count("units_waiting_for_zones") == 1


@when('zone "{zone}" is returned to service')
def return_zone(context: Context, zone: str) -> None:
    context.world.evacuate(*(context.world.topic.evacuations.zones - {zone}))
    context.world.settle()


@then('the job runs in zone "{zone}"')
def check_runs_in(context: Context, zone: str) -> None:
    assert [s[0] for s in context.world.started_in(zone)] == ["job.0.0.0"]


@when('zone "{zone}" is evacuated and a gang and a job with data in rack "{rack}" are accepted')
def accept_local_work(context: Context, zone: str, rack: str) -> None:
    context.world.evacuate(zone)
    gang = step(2, demand=demand(4), gang=True, same_rack=True)
    context.world.accept("gang", (gang,))
    context.world.accept("local", (step(1, demand=demand(4), rack=rack),))
    context.world.settle()


@then('both run in zone "{zone}"')
def check_both_run(context: Context, zone: str) -> None:
    started = sorted(task for task, _ in context.world.started_in(zone))
    assert started == ["gang.0.0.0", "gang.0.0.1", "local.0.0.0"], started


@when('zone "{zone}" is evacuated and a gang of {count:d} tasks of 8 accelerators is accepted')
def accept_wide_gang(context: Context, zone: str, count: int) -> None:
    context.world.evacuate(zone)
    context.world.accept("gang", (step(count, gang=True),))
    context.world.settle()


@when("{count:d} jobs of 8 accelerators are accepted after it")
def accept_more(context: Context, count: int) -> None:
    for number in range(count):
        context.world.accept(f"job{number}", (step(1),))
    context.world.settle()


@then('the gang waits because of the evacuation, and both jobs run in zone "{zone}"')
def check_gang_waits(context: Context, zone: str) -> None:
    world = context.world
    assert world.wait_reasons("gang") == ["its targets are in evacuated zones"]
    assert sorted(s[0] for s in world.started_in(zone)) == ["job0.0.0.0", "job1.0.0.0"]


@given("urgent work of {accelerators:d} accelerators has just ended")
def end_urgent_work(context: Context, accelerators: int) -> None:
    world = context.world
    world.accept("urgent", (step(accelerators // 8),), queue="urgent", organisation="sure")
    world.settle()
    for target in world.targets:
        for task in list(target.running):
            target.end(task, EndKind.DONE)
    world.settle()


@when('zone "{zone}" is evacuated and a least urgent job of 8 accelerators is accepted')
def accept_least_urgent(context: Context, zone: str) -> None:
    context.world.evacuate(zone)
    context.world.accept("job", (step(1),), queue="least")
    context.world.settle()


@then("that job waits, as guarantees may claim the room")
def check_not_borrowed(context: Context) -> None:
    assert not context.world.starts("job")
    assert context.world.wait_reasons("job") == ["guarantees may claim the room"]


@when('zone "{zone}" is evacuated and an urgent job of 8 accelerators is accepted')
def accept_urgent(context: Context, zone: str) -> None:
    context.world.evacuate(zone)
    context.world.accept("urgent", (step(1),), queue="urgent", organisation="sure")


@then('it runs in zone "{zone}" within {seconds:g} s, and the runs in zone "{other}" continue')
def check_reclaimed(context: Context, zone: str, seconds: float, other: str) -> None:
    world = context.world
    world.wait(seconds)
    assert [s for s in world.started_in(zone) if s[0].startswith("urgent")]
    assert all(target.running for target in world.targets if target.zone == other)
    assert not any(target.ended for target in world.targets if target.zone == other)


@when("the topic is not read for {seconds:d} s and a job is accepted")
def stop_reading(context: Context, seconds: int) -> None:
    context.world.is_read = False
    context.world.wait(seconds)
    context.world.accept("job", (step(1),))
    context.world.settle()


@then("the job does not run, and that placement is held is logged and counted once")
def check_held(context: Context) -> None:
    world = context.world
    assert not world.starts(context.job if "job" in context else "job")
    assert [event for event, _ in world.events].count("placement held") == 1
    assert world.counts.count('placement_held{reason="operator_topic_not_read"}') == 1


@then(
    "the limit and the time that a start may take are at most {seconds:d} s, "
    "and {more:d} s while reads fail"
)
def check_limits(context: Context, seconds: int, more: int) -> None:
    bounds = Bounds(evacuate_s=seconds)
    start_s = CONTACT_GRACE_S + RUNNER_TIMEOUT_S
    assert max_read_age_s(bounds, failing=False) + start_s <= seconds
    assert max_read_age_s(bounds, failing=True) + start_s <= more


@given("each target reports that it knows newer records")
def report_newer_records_everywhere(context: Context) -> None:
    for target in context.world.targets:
        target.operator_offset = Offset(context.world.topic.evacuations.offset + 1)


@when("the topic is read again")
def read_again(context: Context) -> None:
    context.world.is_read = True
    context.world.settle()


@when("reads of the topic fail for {seconds:d} s and a job is accepted")
def fail_reads(context: Context, seconds: int) -> None:
    world = context.world
    world.is_read = True
    world.run_round()
    world.is_read = False
    world.topic = msgspec.structs.replace(world.topic, failing=True)
    world.wait(seconds)
    context.job = f"job{seconds}"
    world.accept(context.job, (step(1),))
    world.settle()


@then("the job runs")
def check_job_runs(context: Context) -> None:
    assert len(context.world.starts("job")) == 1


@when('the targets of zone "{zone}" report that they know newer records, and 4 jobs are accepted')
def report_newer_records(context: Context, zone: str) -> None:
    for target in context.world.targets:
        if target.zone == zone:
            target.operator_offset = Offset(context.world.topic.evacuations.offset + 1)
    context.world.settle()
    for number in range(4):
        context.world.accept(f"job{number}", (step(1),))
    context.world.settle()


@then('{count:d} of the jobs run, all in zone "{zone}"')
def check_all_in_zone(context: Context, count: int, zone: str) -> None:
    assert len(context.world.started_in(zone)) == len(context.world.starts("job")) == count


@when("the owner has read these records")
def read_newer_records(context: Context) -> None:
    context.world.evacuate()
    context.world.settle()


@then('{count:d} of the jobs run in zone "{zone}"')
def check_some_in_zone(context: Context, count: int, zone: str) -> None:
    assert len(context.world.started_in(zone)) == count


@when("a gang is placed, and its zone is evacuated before the orders are delivered")
def evacuate_placed_gang(context: Context) -> None:
    world = context.world
    world.accept("job", (step(2, gang=True, same_rack=True),))
    world.report()
    world.core.plan(world.now, world.unix_now)
    world.store()
    placed = next(fields for event, fields in world.events if event == "unit placed")
    context.zone = world.target(int(placed["targets"][0][1:])).zone
    world.evacuate(context.zone)
    world.settle()


@then("it runs as a whole in the other zone, as run 2, and never ran in its first zone")
def check_gang_moved(context: Context) -> None:
    world = context.world
    assert sorted(world.starts("job")) == [("job.0.0.0", 2), ("job.0.0.1", 2)]
    assert not world.started_in(context.zone)


@when("a job is placed on a target process of an older version, whose zone is evacuated then")
def place_on_old_version(context: Context) -> None:
    world = context.world
    for target in world.targets:
        target.operator_offset = OFFSET_UNSUPPORTED
    world.accept("job", (step(1),))
    world.report()
    world.core.plan(world.now, world.unix_now)
    world.store()
    context.view = next(view for view in world.core.targets.values() if view.active_runs)
    world.evacuate(context.view.announcement.zone)
    world.core.update_evacuations(world.topic)


@then("that target is ordered to stop the run and not to start it")
def check_stop_ordered(context: Context) -> None:
    orders = context.world.core.orders_for(context.view)
    assert orders.stops == (StopOrder("job.0.0.0", 1),) and not orders.starts, orders


@when('zone "{zone}" is evacuated for {seconds:d} s and a job is accepted')
def evacuate_unknown_zone(context: Context, zone: str, seconds: int) -> None:
    context.world.evacuate(zone)
    context.world.wait(seconds)
    context.world.accept("job", (step(1),))
    context.world.settle()


@then("the job runs, and the unknown zone is logged and counted once")
def check_unknown_zone(context: Context) -> None:
    world = context.world
    assert len(world.starts("job")) == 1
    logged = [fields for event, fields in world.events if event == "unknown zone evacuated"]
    assert logged == [{"zone": "z9"}], logged
    assert world.counts.count("evacuations_of_unknown_zones") == 1


@when("a target reports for {seconds:d} s that it will be slow")
def report_cold(context: Context, seconds: int) -> None:
    world, target = context.world, context.world.targets[0]
    make_report = target.report
    heartbeat = {
        "service": "permit",
        "zone": "z0",
        "state": "ready",
        "sequence": 1,
        "capacity": {"cpu": 64000, "mem-mb": 262144, "gpu": 8},
        "born": 1,
        "cold-left-ms": 4000,
    }
    cold = decode_announcement("t0", msgspec.json.encode(heartbeat))
    target.report = lambda at: msgspec.structs.replace(make_report(at), announcement=cold)
    world.wait(seconds)
    view = world.core.targets[TargetId("t0")]
    assert view.cold_until == world.now + 4.0


@then("that it is slow is logged and counted once")
def check_cold_logged(context: Context) -> None:
    logged = [fields for event, fields in context.world.events if event == "target cold"]
    assert logged == [{"target": "t0", "left_s": 4.0}], logged
    assert context.world.counts.count("targets_cold") == 1


@given("an owner of {targets:d} targets in {zones:d} zones, under a burst of {jobs:d} jobs")
def start_burst(context: Context, targets: int, zones: int, jobs: int) -> None:
    create_world(context, targets, zones)
    for number in range(jobs):
        gang = number % 3 == 0
        options = {"gang": True, "same_rack": True} if gang else {"checkpoints": number % 2 == 0}
        work = step(2 if gang else 1, demand=demand(1 + number % 4), **options)
        context.world.accept(f"job{number}", (work,), queue=("usual", "least")[number % 2])
        run_busy_round(context.world, 0.1)


def run_busy_round(world: EvacuationWorld, seconds: float) -> None:
    """Let the runs work; each ends as done 10 s after its start."""
    world.now += seconds
    for target in world.targets:
        for task, row in list(target.running.items()):
            worked_s = world.now - target.started_at[task]
            target.running[task] = RunningRow(task, row.run, "", min(99, 1 + int(10 * worked_s)))
            if worked_s >= 10.0:
                target.end(task, EndKind.DONE)
    world.run_round()


@when('zones "{zones}" are evacuated in the burst, and urgent jobs are accepted')
def evacuate_in_burst(context: Context, zones: str) -> None:
    world = context.world
    context.zones = split_zones(zones)
    world.evacuate(*context.zones)
    run_busy_round(world, 0.1)
    context.starts_before = {zone: len(world.started_in(zone)) for zone in context.zones}
    context.urgent_waits_s = {}
    # One each 4 s, for 10 s: no more than the guarantee of 24 accelerators.
    for number in range(URGENT_JOBS):
        name = f"urgent{number}"
        world.accept(name, (step(1),), queue="urgent", organisation="sure")
        for tenth in range(40):
            run_busy_round(world, 0.1)
            if world.starts(name) and name not in context.urgent_waits_s:
                context.urgent_waits_s[name] = (tenth + 1) / 10


@then("nothing starts there, and each urgent job runs within {seconds:g} s")
def check_burst(context: Context, seconds: float) -> None:
    started = {zone: len(context.world.started_in(zone)) for zone in context.zones}
    assert started == context.starts_before, (started, context.starts_before)
    assert len(context.urgent_waits_s) == URGENT_JOBS, context.urgent_waits_s
    assert max(context.urgent_waits_s.values()) <= seconds, context.urgent_waits_s


@then("all jobs are done {seconds:d} s after the zones are back, without one that failed")
def check_all_done(context: Context, seconds: int) -> None:
    world = context.world
    world.evacuate()
    for target in world.targets:
        # Enough for all targets, so that the zones are used again.
        world.accept(f"after{target.number}", (step(1),))
    for _ in range(seconds * 2):
        run_busy_round(world, 0.5)
    assert any(len(world.started_in(zone)) > context.starts_before[zone] for zone in context.zones)
    phases = {job: progress.phase for job, progress in world.log.items()}
    assert len(phases) == len(world.jobs)
    assert set(phases.values()) == {JobPhase.COMPLETED}, phases


# A new owner


def connect_owner(context: Context) -> None:
    """Create an entry that follows the topic, with a job, before it is elected."""
    follow_topic(context)
    context.owner = OwnerTaskWorld(context.stack, bounds=Bounds(evacuate_s=EVACUATE_S))
    context.reader = OperatorTopicReader(context.topic)
    context.owner.task.connect_operators(context.topic, context.reader.read_up_to)
    job = Job(
        JobId("job"), OrganisationId("other"), QueueName("usual"), "spec", (step(1),), time.time()
    )
    context.owner.store.append("jobs", [job_record(job)])
    # What was read shortly before the election is recent, but the previous owner may know more.
    read_topic(context)
    context.owner.now += 0.5
    context.sender = FakeTarget(0)
    context.sender.operator_offset = Offset(0)


@given("an entry that has not read the newest record, which evacuates the zone of a target")
def prepare_entry(context: Context) -> None:
    connect_owner(context)
    context.op_store.put("evacuate/z", b"{}")


@given("the operators' topic does not answer")
def silence_topic(context: Context) -> None:
    context.op_store.silent = True


@when("the entry is elected and the target reports")
def elect_entry(context: Context) -> None:
    context.owner.elect(3)
    assert context.owner.task._core is not None
    report_later(context, 0.1)


def report_later(context: Context, seconds: float) -> Orders:
    """Let a time pass in which the lead is confirmed; returns the orders after a report."""
    context.owner.now += seconds
    context.owner.confirm(3)
    context.owner.report(context.sender.report(context.owner.now))
    return context.owner.hub.sent[-1][1]


@then("no start is ordered there, and its orders name the zone")
def check_zone_ordered(context: Context) -> None:
    check_nothing_started(context)
    orders = context.owner.hub.sent[-1][1]
    assert orders.evacuated_zones == ("z",) and orders.operator_offset == 2, orders


@then("no start is ordered there")
def check_nothing_started(context: Context) -> None:
    assert context.owner.hub.sent
    assert not any(orders.starts for _, orders in context.owner.hub.sent)


@when("the operators' topic answers again and the zone is returned to service")
def answer_again(context: Context) -> None:
    context.op_store.silent = False
    context.op_store.put("evacuate/z", b"")
    read_topic(context)


@then("the start is ordered")
def check_start_ordered(context: Context) -> None:
    assert report_later(context, 0.1).starts


@given("an elected entry that has placed a job")
def place_job(context: Context) -> None:
    connect_owner(context)
    elect_entry(context)
    assert context.owner.hub.sent[-1][1].starts


@when("the topic is not read for {seconds:d} s more")
def let_knowledge_age(context: Context, seconds: int) -> None:
    for _ in range(seconds):
        report_later(context, 1.0)


@then("the orders no longer hold the start, which is counted")
def check_start_left_out(context: Context) -> None:
    assert not context.owner.hub.sent[-1][1].starts
    assert context.owner.metrics.value("orders_without_starts") >= 1


@when("the operators' topic has been read")
def read_topic_as_owner(context: Context) -> None:
    read_topic(context)


@then("the orders hold the start again, without a report")
def check_start_again(context: Context) -> None:
    context.owner.task.tick()
    assert context.owner.hub.sent[-1][1].starts


@then('the entry sends orders that name zone "{zone}" as soon as it is told')
def check_sent_early(context: Context, zone: str) -> None:
    sent = len(context.owner.hub.sent)
    assert isinstance(context.changes[-1], Evacuations)
    context.owner.task.handle(context.changes[-1])
    assert [orders.evacuated_zones for _, orders in context.owner.hub.sent[sent:]] == [(zone,)]


@given("an entry that follows the operators' topic and does not own the schedule")
def follow_as_other(context: Context) -> None:
    connect_owner(context)


@then('the gauge "{gauge}" is {value:d}')
def check_gauge(context: Context, gauge: str, value: int) -> None:
    context.owner.task.tick()
    assert context.owner.metrics.value(gauge) == value


@when("a target reports newer records than the entry knows")
def report_ahead(context: Context) -> None:
    context.op_store.waits_ms.clear()
    context.sender.operator_offset = Offset(10)
    for _ in range(3):
        report_later(context, 0.1)


@then("the next read does not wait, and the fact is counted once")
def check_reread(context: Context) -> None:
    with mock.patch.object(context.reader, "wait"):
        context.reader.poll()
    assert context.op_store.waits_ms == [0]
    assert context.metrics.value("operator_topic_behind") == 1


# The target process


class SlowRunner(FakeRunner):
    """A runner that answers stops only once `answers` is set."""

    def __init__(self) -> None:
        self.answers = threading.Event()
        self.started: list[str] = []
        self.stopped: list[str] = []

    def start(self, token: Token, target: TargetId, order: StartOrder, deadline_ms: int) -> None:
        self.started.append(order.task)

    def stop(self, token: Token, target: TargetId, order: StopOrder) -> None:
        self.stopped.append(order.task)
        assert self.answers.wait(10)


@given("a target process that has just started")
def start_target_process(context: Context) -> None:
    runner = SlowRunner()
    context.stack.enter_context(simulated_target_process(context, runner))
    context.metrics = Metrics()
    context.executor = OrderExecutor(context.state, runner, context.metrics)
    context.stack.callback(context.executor.close)
    context.stack.callback(runner.answers.set)
    list_runs(context)


def list_runs(
    context: Context, *running: RunningRow, target: str = "t", incarnation: int = 1
) -> None:
    listing = RunListing(0, Incarnation(incarnation), running, ())
    context.state.apply_listing(TargetId(target), listing, context.clock)


def send_orders(
    context: Context,
    zones: str,
    offset: int,
    *,
    token: int = 1,
    starts: tuple[StartOrder, ...] = (),
    stops: tuple[StopOrder, ...] = (),
    incarnation: int = 1,
) -> None:
    known = tuple(ZoneId(zone) for zone in split_zones(zones))
    orders = Orders(
        Token(token), incarnation, context.clock, 0, starts, stops, known, Offset(offset)
    )
    context.executor.execute(orders)


@given("a target process that was told of the evacuation of its zone at offset {offset:d}")
def start_evacuated(context: Context, offset: int) -> None:
    start_target_process(context)
    send_orders(context, "z", offset)


@when('an owner orders a start, with evacuations "{zones}" at offset {offset:d}')
@when('an owner orders a start, with evacuations "" at offset {offset:d}')
def order_start(context: Context, offset: int, zones: str = "") -> None:
    context.runner.answers.set()
    send_orders(context, zones, offset, starts=(START,))
    drain_executor(context)


def drain_executor(context: Context) -> None:
    """Wait until the executor has carried out all orders."""
    deadline = time.monotonic() + 10
    while context.state._open_orders._tasks_in_progress and time.monotonic() < deadline:
        time.sleep(0.005)
    assert not context.state._open_orders._tasks_in_progress


@then("nothing is started, and the run is rejected after a listing without it")
def check_rejected(context: Context) -> None:
    assert not context.runner.started and context.runner.stopped == [START.task]
    assert context.metrics.value('starts_refused{reason="zone evacuated"}') == 1
    assert not context.state.report().rejected
    context.clock += 1.0
    list_runs(context)
    assert [row.task for row in context.state.report().rejected] == [START.task]
    # The owner takes note, and orders nothing.
    send_orders(context, "", 0)


@then("the run is started")
def check_started(context: Context) -> None:
    assert context.runner.started == [START.task]


@given("a target process whose run has begun")
def begin_run(context: Context) -> None:
    start_target_process(context)
    send_orders(context, "", 1, starts=(START,))
    drain_executor(context)
    assert context.runner.started == [START.task]


@when('the order is repeated, with evacuations "{zones}" at offset {offset:d}')
def repeat_order(context: Context, zones: str, offset: int) -> None:
    send_orders(context, zones, offset, starts=(START,))
    context.runner.answers.set()
    drain_executor(context)


@then("the run is neither stopped nor rejected")
def check_left_alone(context: Context) -> None:
    report = context.state.report()
    assert not context.runner.stopped and not report.rejected
    assert [row.task for row in report.running] == [START.task]
    assert report.operator_offset == 5


@then("reports state offset {offset:d}")
def check_offset(context: Context, offset: int) -> None:
    assert context.state.report().operator_offset == offset


@given("a target process that has orders of a newer owner")
def take_newer_orders(context: Context) -> None:
    start_target_process(context)
    send_orders(context, "", 3, token=7)


@when('an older owner orders a start, with evacuations "{zones}" at offset {offset:d}')
def order_as_older_owner(context: Context, zones: str, offset: int) -> None:
    send_orders(context, zones, offset, token=6, starts=(START,))


@then("nothing is started, and reports state offset {offset:d}")
def check_ignored(context: Context, offset: int) -> None:
    assert not context.runner.started and not context.runner.stopped
    check_offset(context, offset)
    assert context.state.is_zone_evacuated()


@given("a target process whose threads are all busy with slow stops")
def occupy_threads(context: Context) -> None:
    start_target_process(context)
    stops = tuple(StopOrder(f"other{number}", 1) for number in range(ORDER_THREADS))
    send_orders(context, "", 1, stops=stops)


@when("a start is ordered, and then the evacuation of its zone arrives")
def evacuate_after_order(context: Context) -> None:
    send_orders(context, "", 1, starts=(START,))
    send_orders(context, "z", 2)


@then("the runner gets no start once its threads are free, which is counted")
def check_withheld(context: Context) -> None:
    context.runner.answers.set()
    drain_executor(context)
    assert not context.runner.started
    assert context.metrics.value("starts_in_flight_withheld") == 1


@when("another target follows on its VM, and is ordered a start by an owner that is behind")
def follow_target(context: Context) -> None:
    context.state.announce(announcement("u", 2))
    list_runs(context, target="u", incarnation=2)
    context.runner.answers.set()
    send_orders(context, "", 4, starts=(START,), incarnation=2)
    drain_executor(context)


@then("nothing is started")
def check_not_started(context: Context) -> None:
    assert not context.runner.started and context.runner.stopped == [START.task]


class _OldOrders(msgspec.Struct, tag="orders"):
    """The orders of a version without evacuations."""

    token: int
    incarnation: int
    report_sent_at: float
    acknowledged: int
    starts: tuple[StartOrder, ...]
    stops: tuple[StopOrder, ...]


@then("orders and reports without the fields of evacuations decode, and state no offset")
def check_old_messages(context: Context) -> None:
    orders = decode_orders(encode(_OldOrders(3, 1, 2.0, 0, (START,), ())))
    assert orders.starts == (START,)
    assert (orders.evacuated_zones, orders.operator_offset) == ((), OFFSET_UNSUPPORTED)
    fields = msgspec.to_builtins(FakeTarget(0).report(1.0))
    del fields["operator_offset"], fields["announcement"]["cold_left_ms"]
    report = decode_target_message(encode(fields))
    assert report.operator_offset == OFFSET_UNSUPPORTED
    assert report.announcement.cold_left_ms == 0


@then("orders and reports with them decode by the older definitions")
def check_new_messages(context: Context) -> None:
    orders = Orders(Token(3), 1, 2.0, 0, (START,), (), (ZoneId("z"),), Offset(4))
    assert msgspec.msgpack.decode(encode(orders), type=_OldOrders).starts == (START,)
    names = [n for n in Report.__struct_fields__ if n != "operator_offset"]
    hints = {name: object for name in names}
    old_report = msgspec.defstruct("Report", list(hints.items()), tag="report")
    report = msgspec.msgpack.decode(encode(FakeTarget(0).report(1.0)), type=old_report)
    assert report.sent_at == 1.0


# The deployment


@given("its operators evacuate the zone of all targets, and each entry has read it")
def evacuate_deployment(context: Context) -> None:
    context.fleet.store.put("keyed.op", "evacuate/z", b"{}")
    deadline = time.monotonic() + 10
    topics = [entry._operator_topic for entry in context.fleet.entries]
    while not all(t.state.evacuations.zones for t in topics) and time.monotonic() < deadline:
        time.sleep(0.02)
    assert all(topic.state.evacuations.zones == {"z"} for topic in topics)


@then("no task starts within {seconds:d} s")
def check_no_task(context: Context, seconds: int) -> None:
    time.sleep(seconds)
    assert not any(runner.starts for runner in context.fleet.runners)


@when("its operators return the zone to service")
def end_evacuation(context: Context) -> None:
    context.fleet.store.put("keyed.op", "evacuate/z", b"")
