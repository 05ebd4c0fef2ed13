"""Steps for fair shares of contested capacity."""

import math
import os
from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

import msgspec
from behave import given, then, when
from behave.runner import Context

from comfreyshelf.errors import SettingsError
from comfreyshelf.fleet.__main__ import load_settings
from comfreyshelf.fleet.guarantee import covered_jobs
from comfreyshelf.fleet.job_table import StoredJob
from comfreyshelf.fleet.jobs import EndKind, FleetConfig, Job, Organisation, Resources, Step
from comfreyshelf.fleet.owner import OwnerCore
from comfreyshelf.fleet.scheduling import Feature, Scheduling
from comfreyshelf.fleet.shares.usage import OrganisationUsage
from comfreyshelf.ids import JobId, OrganisationId, Version
from comfreyshelf.platform.settings import SCHEDULING_VARIABLE
from features.owner_task_world import OwnerTaskWorld
from features.owner_world import CONFIG, FakeTarget, World, queue, step

NAMES = ("big", "small", *(f"o{number}" for number in range(10)))
SHARED_CONFIG = msgspec.structs.replace(
    CONFIG,
    # Run times are learned by queue, so jobs of other lengths have a queue of their own.
    queues=(*CONFIG.queues, queue("brief", 1)),
    organisations=(
        Organisation(OrganisationId("sure"), ("k",), 24),
        *(Organisation(OrganisationId(name), (), 0) for name in NAMES),
    ),
)
# So long that no run of it is taken as stalled.
LONG_TASK_MS = 10_000_000
NODE_SETTINGS = b"""{
    "node-name": "e", "zone": "z", "ip": "127.0.0.1", "platform": {"address": ""},
    "listen": {}, "port-range": [1, 2], "contracts": ["health"]
}"""


def create_world(context: Context, **options: str) -> World:
    scheduling = Scheduling(frozenset({Feature.FAIR_SHARES}), {"fair_shares": options})
    context.log_lines, context.counts = [], Counter()

    def watch(core: OwnerCore) -> None:
        core.log_event = lambda event, **fields: context.log_lines.append((event, fields))
        core.count = lambda name: context.counts.update([name])

    context.world = World(SHARED_CONFIG, scheduling, watch)
    return context.world


def submit(
    world: World, organisation: str, *steps: Step, jobs: int = 1, queue_name: str = "usual"
) -> list[Job]:
    first = len(world.jobs)
    return [
        world.accept(
            f"{organisation}-{first + n}", steps, organisation=organisation, queue=queue_name
        )
        for n in range(jobs)
    ]


def pass_time(world: World, seconds: float, percent: int = 0) -> None:
    """Let time pass; each run makes this progress in a second."""
    for _ in range(round(seconds)):
        world.now += 1.0
        for target in world.targets:
            for task, row in target.running.items():
                progress = min(99, row.percent + percent)
                target.running[task] = msgspec.structs.replace(row, percent=progress)
        world.run_round()


def runs_by_organisation(world: World) -> Counter[str]:
    return Counter(
        world.jobs[JobId(task.partition(".")[0])].organisation
        for target in world.targets
        for task in target.running
    )


def starts_by_organisation(world: World) -> Counter[str]:
    return Counter(
        world.jobs[JobId(task.partition(".")[0])].organisation
        for target in world.targets
        for task, _ in target.started
    )


def end_all(world: World) -> None:
    for target in world.targets:
        for task in list(target.running):
            target.end(task, EndKind.DONE)


def planned_order(context: Context) -> list[str]:
    """The organisations of the waiting jobs, in the order of the next planning pass."""
    world = context.world
    world.report()
    core = world.core
    core.plan(world.now, world.unix_now)
    waiting = [tracked for tracked in core.jobs.values() if tracked.job.id in context.waiting]
    covered_ids = covered_jobs(core.jobs.values(), core.config, world.unix_now)
    order = core.policies.ranking.sort(waiting, covered_ids, world.unix_now)
    return [tracked.job.id for tracked in order]


def usage(world: World) -> OrganisationUsage:
    (learned,) = world.core.policies.learned
    assert isinstance(learned, OrganisationUsage)
    return learned


def usage_of(world: World, name: str) -> tuple[float, float]:
    organisation = OrganisationId(name)
    return usage(world).current(organisation), usage(world).recent(organisation)


@given("an owner with fair shares and 4 targets of 8 accelerators")
def create_owner(context: Context) -> None:
    create_world(context)


@given("an owner without fair shares")
def create_plain_owner(context: Context) -> None:
    context.world = World(SHARED_CONFIG)


@given('the setting "{option}" is "{text}"')
def create_owner_with_setting(context: Context, option: str, text: str) -> None:
    create_world(context, **{option: text})


@given('"{name}" has used all targets for {seconds:d} seconds')
def use_all(context: Context, name: str, seconds: int) -> None:
    use_some(context, name, 4, seconds)


@given('"{name}" has used {count:d} targets for {seconds:d} seconds')
def use_some(context: Context, name: str, count: int, seconds: int) -> None:
    long_step = msgspec.structs.replace(step(count), estimate_ms=LONG_TASK_MS)
    submit(context.world, name, long_step)
    context.world.settle()
    pass_time(context.world, seconds)
    assert runs_by_organisation(context.world)[name] == count
    context.usage_before = usage_of(context.world, name)


@given('"sure" has used its guarantee of 3 targets with urgent work for {seconds:d} seconds')
def use_guarantee(context: Context, seconds: int) -> None:
    long_step = msgspec.structs.replace(step(3), estimate_ms=LONG_TASK_MS)
    submit(context.world, "sure", long_step, queue_name="urgent")
    context.world.settle()
    pass_time(context.world, seconds)
    assert runs_by_organisation(context.world)["sure"] == 3


@given('"small" and then "big" fill the targets, "big" with 3 of 4')
def fill_unequally(context: Context) -> None:
    submit(context.world, "small", step(1))
    context.world.settle()
    submit(context.world, "big", step(1), jobs=3)
    context.world.settle()
    pass_time(context.world, 3)
    assert runs_by_organisation(context.world) == {"small": 1, "big": 3}


@when('"{name}" submits {jobs:d} jobs, and then {others:d} others submit {each:d} jobs each')
def submit_with_others(context: Context, name: str, jobs: int, others: int, each: int) -> None:
    submit(context.world, name, step(1), jobs=jobs)
    for number in range(others):
        submit(context.world, f"o{number}", step(1), jobs=each)
    context.world.settle()


@then("each of the 4 organisations has a run on 1 target")
def check_equal_shares(context: Context) -> None:
    assert runs_by_organisation(context.world) == {"big": 1, "o0": 1, "o1": 1, "o2": 1}


@when("10 organisations submit 6 jobs of 1 accelerator each, one organisation after the other")
def submit_ten(context: Context) -> None:
    submit_small_tasks(context, 6)
    context.world.settle()


def submit_small_tasks(context: Context, jobs: int) -> None:
    for number in range(10):
        submit(context.world, f"o{number}", step(1, demand=Resources(1000, 1000, 1)), jobs=jobs)


@then("each of them has 3 or 4 runs")
def check_ten(context: Context) -> None:
    runs = runs_by_organisation(context.world)
    assert sum(runs.values()) == 32 and set(runs.values()) == {3, 4}, runs


@when("all runs end three times, and each organisation submits 3 more jobs each time")
def end_three_times(context: Context) -> None:
    for _ in range(3):
        pass_time(context.world, 3)
        end_all(context.world)
        submit_small_tasks(context, 3)
        context.world.settle()


@then("the runs started of each organisation differ by at most {most:d}")
def check_starts(context: Context, most: int) -> None:
    starts = starts_by_organisation(context.world)
    assert len(starts) == 10 and sum(starts.values()) == 128, starts
    assert max(starts.values()) - min(starts.values()) <= most, starts


@when('"{first}" submits 8 jobs, and 1 second later "{second}" submits 1 job')
def submit_after_eight(context: Context, first: str, second: str) -> None:
    submit(context.world, first, step(1), jobs=8)
    pass_time(context.world, 1)
    (context.first_job,) = submit(context.world, second, step(1))
    context.world.settle()


@when("one run ends")
def end_one(context: Context) -> None:
    target = context.world.targets[0]
    target.end(next(iter(target.running)), EndKind.DONE)
    context.world.settle()


@then('the job of "{name}" starts')
def check_job_started(context: Context, name: str) -> None:
    assert context.first_job.organisation == name
    assert context.world.starts(context.first_job.id)


@when("all runs end")
def end_all_runs(context: Context) -> None:
    end_all(context.world)


@when("all runs end, and {seconds:d} seconds pass")
def end_all_and_wait(context: Context, seconds: int) -> None:
    end_all(context.world)
    pass_time(context.world, seconds)


@when('"big" and then "small" submit a gang of 4 tasks')
def submit_gangs(context: Context) -> None:
    for name in ("big", "small"):
        submit(context.world, name, step(4, gang=True))
    context.world.settle()


@then('"{name}" has runs on {count:d} targets')
def check_runs(context: Context, name: str, count: int) -> None:
    runs = runs_by_organisation(context.world)
    assert runs[name] == count, runs


@when('"big" submits a gang of 4 tasks of 8 accelerators')
def submit_gang(context: Context) -> None:
    (context.gang,) = submit(context.world, "big", step(4, gang=True))


@when('"small" and "big" submit a job of 1 task of 8 accelerators each second')
def submit_stream(context: Context) -> None:
    world = context.world
    short = msgspec.structs.replace(step(1), estimate_ms=3000)
    while world.now < 160 and not world.starts(context.gang.id):
        for name in ("small", "big"):
            submit(world, name, short, queue_name="brief")
        pass_time(world, 1)
        for target in world.targets:
            for task in [t for t in target.running if world.now - target.started_at[t] >= 3]:
                target.end(task, EndKind.DONE)


@then("the gang starts within its objective")
def check_gang_started(context: Context) -> None:
    world = context.world
    assert world.starts(context.gang.id), "the gang never started"
    # Its objective is 61 s, and it runs for 20 s.
    assert world.unix_now - context.gang.accepted_at <= 41, world.now


@given('a late job of 4 tasks of "big", which is soon too late to be of use')
def submit_late_large_job(context: Context) -> None:
    use_all(context, "o0", 1)
    (context.large,) = submit(context.world, "big", step(4))
    # Its objective is 61 s, so that it is of use if it starts within 163 s.
    context.world.core.jobs[context.large.id].accepted_at -= 160


@when('"big" has many small jobs that have just become late')
def submit_late_small_jobs(context: Context) -> None:
    small = step(1, demand=Resources(1000, 1000, 1))
    jobs = submit(context.world, "big", small, jobs=20)
    for job in jobs:
        context.world.core.jobs[job.id].accepted_at -= 42
    context.waiting = {context.large.id, *(job.id for job in jobs)}


@then("the large one is first")
def check_large_first(context: Context) -> None:
    assert planned_order(context)[0] == context.large.id


@when('"big" submits a job of 40 tasks, and 1 second later one of 1 task that takes 3 seconds')
def submit_large_and_small(context: Context) -> None:
    """Runs last 5 to 8 seconds, and one ends each second from then on."""
    world = context.world
    submit(world, "big", msgspec.structs.replace(step(40), estimate_ms=5000))
    pass_time(world, 1, 20)
    short = msgspec.structs.replace(step(1), estimate_ms=3000)
    (context.first_job,) = submit(world, "big", short, queue_name="brief")
    pass_time(world, 3, 20)
    for target in world.targets:
        pass_time(world, 1, 20)
        target.end(next(iter(target.running)), EndKind.DONE)
    world.settle()


@then("the small job starts within its objective")
def check_small_in_time(context: Context) -> None:
    world = context.world
    started = [t.started_at.get(f"{context.first_job.id}.0.0.0") for t in world.targets]
    accepted_at = context.first_job.accepted_at - (world.unix_now - world.now)
    # Its objective is 10 s, and it runs for 3 s.
    assert any(at is not None and at - accepted_at <= 7 for at in started), started


@when('"big" submits 1 jobs, and 1 second later "small" submits 1 job, before the owner plans')
def submit_unplanned(context: Context) -> None:
    jobs = submit(context.world, "big", step(1))
    context.world.now += 1
    jobs += submit(context.world, "small", step(1))
    context.expected = [job.id for job in jobs]


@then("both jobs are placed, and nothing was ordered by shares")
def check_no_shares(context: Context) -> None:
    world = context.world
    world.report()
    world.core.plan(world.now, world.unix_now)
    placed = [tracked.job.id for tracked in world.core.jobs.values() if tracked.active_runs]
    assert set(context.expected) <= set(placed)
    assert context.counts["rankings_by_share"] == 0


@when('"big" submits a job without slack and "small" one with much slack')
def submit_with_slack(context: Context) -> None:
    (urgent,) = submit(context.world, "big", step(1))
    context.world.core.jobs[urgent.id].accepted_at -= 30
    (patient,) = submit(context.world, "small", step(1))
    context.waiting = {urgent.id, patient.id}
    context.expected_first = urgent.id


@then('the job of "big" is planned first')
@then('the urgent job of "sure" is planned first')
def check_planned_first(context: Context) -> None:
    order = planned_order(context)
    assert order[0] == context.expected_first, order


@when('"small" submits 4 urgent jobs and then "sure" submits 1 urgent job within its guarantee')
def submit_urgent(context: Context) -> None:
    jobs = submit(context.world, "small", step(1), jobs=4, queue_name="urgent")
    (covered,) = submit(context.world, "sure", step(1), queue_name="urgent")
    context.waiting = {covered.id, *(job.id for job in jobs)}
    context.expected_first = covered.id


@then('the usage of "sure" is 0')
def check_not_charged(context: Context) -> None:
    assert usage_of(context.world, "sure") == (0.0, 0.0)


@when('"sure" submits 1 urgent job within its guarantee that fits on one target')
def submit_covered(context: Context) -> None:
    submit(context.world, "sure", step(1), queue_name="urgent")
    pass_time(context.world, 3)


@then('a run of "big" has been stopped')
def check_victim(context: Context) -> None:
    ended = [end.task for target in context.world.targets for end in target.ended]
    assert len(ended) == 1 and ended[0].startswith("big"), ended


@when("the owner dies, all runs end, and the next owner reads what it has learned")
def replace_owner(context: Context) -> None:
    world = context.world
    value = usage(world).encode(world.unix_now)
    end_all(world)
    world.now += 2
    world.take_over()
    usage(world).merge(value, world.unix_now)
    world.settle()


@when("the owner dies, and the next one reads nothing")
def replace_owner_without_record(context: Context) -> None:
    context.world.now += 2
    context.world.take_over()
    context.world.settle()


@when("a record {record} is merged")
def merge_bad_record(context: Context, record: str) -> None:
    world = context.world
    rows: dict[str, object] = {"version": 1, "at": world.unix_now, "usage": {"big": 0.9}}
    changes = {
        "of version 2": {"version": 2},
        "with a usage of -1": {"usage": {"big": -1.0}},
        "with a usage of 50": {"usage": {"big": 50.0}},
        "with a usage of nan": {"usage": {"big": math.nan}},
        "with a time of nan": {"at": math.nan},
        "with a time of inf": {"at": math.inf},
    }
    value = msgspec.msgpack.encode(rows | changes.get(record, {}))
    if record == "of random bytes":
        value = bytes(range(7, 200, 3))
    try:
        usage(world).merge(value, world.unix_now)
        context.merge_error = None
    except msgspec.DecodeError as exc:
        context.merge_error = exc


@then('it is reported as unreadable, and the usage of "big" is unchanged')
def check_record_refused(context: Context) -> None:
    assert context.merge_error is not None
    check_usage_unchanged(context)


@when("its own record is merged 5 times, and then one of 600 seconds ago")
def merge_again(context: Context) -> None:
    world = context.world
    value = usage(world).encode(world.unix_now)
    for _ in range(5):
        usage(world).merge(value, world.unix_now)
    usage(world).merge(usage(world).encode(world.unix_now - 600), world.unix_now)


@then('the usage of "big" is unchanged')
def check_usage_unchanged(context: Context) -> None:
    before, after = context.usage_before, usage_of(context.world, "big")
    assert all(math.isclose(a, b, abs_tol=1e-4) for a, b in zip(before, after, strict=True)), after


@when("the owner dies, and the next one reads what it learned 600 seconds ago")
def replace_owner_late(context: Context) -> None:
    world = context.world
    value = usage(world).encode(world.unix_now - 600)
    world.take_over()
    usage(world).merge(value, world.unix_now)


@then('the usage of "big" was forgotten')
def check_forgotten(context: Context) -> None:
    assert 0 < usage(context.world).recent(OrganisationId("big")) < 0.001


@given("5000 organisations with long names have used the fleet")
def use_by_many(context: Context) -> None:
    context.learned = OrganisationUsage(60.0)
    shares = {OrganisationId(f"{n:04}" + "x" * 60): (n + 1) / 5000 for n in range(5000)}
    context.learned.update(shares, 0.0)
    context.learned.update({}, 600.0)


@when("the record is written")
def write_record(context: Context) -> None:
    context.record = context.learned.encode(1e9)


@then("it has at most 20000 bytes and holds the organisations with the highest usage")
def check_record_size(context: Context) -> None:
    assert len(context.record) <= 20_000, len(context.record)
    other = OrganisationUsage(60.0)
    other.merge(context.record, 1e9)
    assert other.recent(OrganisationId("4999" + "x" * 60)) > 0.99
    assert other.recent(OrganisationId("0000" + "x" * 60)) == 0


@when('"big" is removed from the configuration')
def remove_organisation(context: Context) -> None:
    organisations = tuple(o for o in SHARED_CONFIG.organisations if o.id != "big")
    context.world.core.configure(FleetConfig(Version(2), SHARED_CONFIG.queues, organisations, 1000))
    context.world.settle()


@then('the log says once that the weight of "big" is ignored')
def check_weight_ignored(context: Context) -> None:
    core = context.world.core
    core.configure(msgspec.structs.replace(core.config, version=Version(9)))
    pass_time(context.world, 3)
    lines = [fields for event, fields in context.log_lines if event == "weight ignored"]
    assert [line["organisation"] for line in lines] == ["big"], lines
    assert context.counts["weights_ignored"] == 1


@when("a job that cannot be planned waits for the same room")
def submit_bad_job(context: Context) -> None:
    (bad,) = submit(context.world, "o5", step(1))
    tracked = context.world.core.jobs[bad.id]
    context.stack.enter_context(
        mock.patch.object(tracked, "startable_units", side_effect=IndexError("no such step"))
    )


@then("the log says that it cannot be planned")
def check_bad_job(context: Context) -> None:
    events = [event for event, _ in context.log_lines]
    assert events.count("job cannot be planned") == 1, events


@then("a half-life of 0 seconds is refused when the settings are loaded")
def check_half_life(context: Context) -> None:
    with TemporaryDirectory() as folder:
        node, scheduling = Path(folder) / "node.json", Path(folder) / "scheduling.ini"
        node.write_bytes(NODE_SETTINGS)
        text = "[features]\nfair_shares = health\n[fair_shares]\nhalf_life_s = {}\n"
        with mock.patch.dict(os.environ, {SCHEDULING_VARIABLE: str(scheduling)}):
            scheduling.write_text(text.format(30) + "weight.Org-A = 2\n")
            options = load_settings(node).scheduling.options["fair_shares"]
            assert options == {"half_life_s": "30", "weight.Org-A": "2"}, options
            scheduling.write_text(text.format(0))
            try:
                load_settings(node)
            except SettingsError as exc:
                assert "half_life_s" in str(exc) and "correct" in str(exc), exc
            else:
                raise AssertionError("the half-life was accepted")


@given('an owner task with fair shares, on whose target a run of "sure" holds all accelerators')
def create_owner_task(context: Context) -> None:
    scheduling = Scheduling(frozenset({Feature.FAIR_SHARES}))
    world = OwnerTaskWorld(context.stack, scheduling=scheduling)
    world.elect(1)
    world.report(FakeTarget(0).report(world.now))
    core = world.task._core
    assert core is not None
    job = Job(JobId("a"), OrganisationId("sure"), CONFIG.queues[1].name, "", (step(1),), 0.0)
    core.load_job(StoredJob(job), world.now, 0.0)
    for _ in range(2):
        world.task.tick()
    context.metrics = world.metrics


@then('the metrics show a share of 1 for "sure" and of 0 for "other"')
def check_share_gauges(context: Context) -> None:
    lines = context.metrics.render().splitlines()
    assert 'comfreyshelf_organisation_share{organisation="sure"} 1.0' in lines, lines
    assert 'comfreyshelf_organisation_share{organisation="other"} 0.0' in lines, lines


@then("the log shows the share of an organisation whose unit waits")
def check_share_logged(context: Context) -> None:
    pass_time(context.world, 1)
    submit(context.world, "big", step(1))
    context.world.settle()
    lines = [fields for event, fields in context.log_lines if event == "unit waits"]
    assert any(line["organisation"] == "big" and line["share"] == 0.25 for line in lines), lines
