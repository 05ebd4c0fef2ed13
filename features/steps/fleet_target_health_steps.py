"""Steps for the health of targets."""

import math
from collections import Counter

import msgspec
from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet.health.blame import Level, Place
from comfreyshelf.fleet.health.learned_health import LearnedHealth
from comfreyshelf.fleet.health.record import HealthRecord
from comfreyshelf.fleet.health.score import Score
from comfreyshelf.fleet.health.steps import Machine
from comfreyshelf.fleet.health.target_health import HealthEvent, Standing
from comfreyshelf.fleet.jobs import EndKind
from comfreyshelf.fleet.scheduling import Scheduling
from comfreyshelf.ids import JobId
from features.health_world import HEALTH, SMALL, STEP_S, WHOLE, FaultyTarget, HealthWorld
from features.owner_task_world import OwnerTaskWorld
from features.owner_world import step

WARM_UP_S = 10.0
# More tasks than five sixths of a fleet of 60 targets can hold.
HIGH_LOAD_JOBS = 8
LAST_S = 30.0


def health_of(context: Context) -> LearnedHealth:
    health = context.world.core.policies.health
    assert isinstance(health, LearnedHealth)
    return health


def target_of(context: Context, number: int) -> FaultyTarget:
    return context.world.targets[number]


def judge(context: Context) -> None:
    """Let the owner judge what was recorded, as at the start of a planning pass."""
    world = context.world
    for change in world.core.policies.health.begin_pass(world.core.targets.values(), world.now):
        context.changes.append(change)


def record(
    context: Context, number: int, job: str, kind: EndKind, is_expected: bool = False
) -> None:
    world, target = context.world, target_of(context, number)
    announcement = target.report(world.now).announcement
    event = HealthEvent(announcement, target.machine, JobId(job), kind, is_expected)
    world.core.policies.health.record_end(event, world.now)


def fail_jobs(context: Context, number: int, jobs: int) -> None:
    """Fail runs of several jobs of their own on a target."""
    for index in range(jobs):
        record(context, number, f"failed-{number}-{index}", EndKind.FAILED)
    judge(context)


def create_world(
    context: Context, zones: int, per_zone: int, scheduling: Scheduling = HEALTH
) -> None:
    context.world = HealthWorld(zones, per_zone, scheduling)
    context.changes = []


def run_with_fault(context: Context, seconds: float, jobs: int = 0) -> None:
    world = context.world
    first = 1000 + round(world.now / STEP_S)
    options = {"jobs": jobs} if jobs else {}
    world.run_for(seconds, lambda n: world.submit_load(first + n, **options))


def standing_changes(context: Context) -> list[dict[str, object]]:
    return [f for event, f in context.world.events if event == "target standing changed"]


# Load


@given("a fleet of 6 zones of 10 targets under load")
def create_loaded_fleet(context: Context) -> None:
    create_world(context, 6, 10)
    context.world.run_for(WARM_UP_S, context.world.submit_load)
    assert not context.world.by_standing()[Standing.AVOIDED]


@given("a fleet of 1 zones of 6 targets without load")
def create_idle_fleet(context: Context) -> None:
    create_world(context, 1, 6)


@given("a fleet of 1 zones of 6 targets without load and without target health")
def create_plain_fleet(context: Context) -> None:
    create_world(context, 1, 6, Scheduling())


@when("the runners of a zone fail 45% of what they start for {seconds:d} seconds")
def fail_zone(context: Context, seconds: int) -> None:
    world = context.world
    context.faulty = world.targets[10:20]
    for target in context.faulty:
        target.failing = 0.45
    context.first_failure_at = context.known_at = math.inf
    for _ in range(round(seconds / STEP_S)):
        run_with_fault(context, STEP_S)
        if world.ends[True, EndKind.FAILED]:
            context.first_failure_at = min(context.first_failure_at, world.now)
        if not world.by_standing(context.faulty)[Standing.TRUSTED]:
            context.known_at = min(context.known_at, world.now)


@then("all targets of that zone were restricted 1 second after its first failure")
def check_zone_known(context: Context) -> None:
    known_after_s = context.known_at - context.first_failure_at
    assert known_after_s <= 1.0, known_after_s


@then("at most {percent:d}% of the starts of the last 30 seconds were on them")
def check_few_starts(context: Context, percent: int) -> None:
    world = context.world
    since = world.now - LAST_S
    starts, all_starts = world.starts_on(context.faulty, since), world.starts_on(
        world.targets, since
    )
    assert starts <= percent / 100 * all_starts, (starts, all_starts)


@then("at least {percent:d}% of the starts of the last 30 seconds were on them")
def check_many_starts(context: Context, percent: int) -> None:
    world = context.world
    since = world.now - LAST_S
    starts, all_starts = world.starts_on(context.faulty, since), world.starts_on(
        world.targets, since
    )
    assert starts >= percent / 100 * all_starts, (starts, all_starts)


@then("at most {most:d} jobs have failed")
def check_few_failed_jobs(context: Context, most: int) -> None:
    phases = context.world.jobs_by_phase()
    assert phases["failed"] <= most and phases["completed"] > 100, phases


@when("they are well for {seconds:d} seconds under a load above what the others can hold")
def heal_zone(context: Context, seconds: int) -> None:
    for target in context.faulty:
        target.failing = 0.0
    run_with_fault(context, seconds, HIGH_LOAD_JOBS)


@then("all targets are trusted")
def check_all_trusted(context: Context) -> None:
    judge(context)
    world = context.world
    standings = world.by_standing()
    assert standings == {Standing.TRUSTED: len(world.targets)}, standings


@when("a fifth of the targets flaps at 1 second for {seconds:d} seconds")
def flap(context: Context, seconds: int) -> None:
    context.faulty = context.world.targets[::5]
    for target in context.faulty:
        target.flap_s = 1.0
    run_with_fault(context, seconds, HIGH_LOAD_JOBS)


@then("a pause was at least {least:d} seconds, and none longer than {most:d} seconds")
def check_pauses_grow(context: Context, least: int, most: int) -> None:
    pauses = [float(str(change["pause_s"])) for change in standing_changes(context)]
    assert least <= max(pauses) <= most, pauses


@when("a fifth of the targets restarts whenever it is idle for {seconds:d} seconds")
def restart_often(context: Context, seconds: int) -> None:
    context.faulty = context.world.targets[::5]
    for target in context.faulty:
        target.restart_s = STEP_S
    # Under low load most of them are idle.
    run_with_fault(context, seconds / 3, 2)
    restarts = context.world.counts['target_signals{signal="restarted"}']
    assert restarts > 10 * len(context.faulty), restarts
    run_with_fault(context, 2 * seconds / 3, HIGH_LOAD_JOBS)


@then("no target was ever avoided")
def check_none_avoided(context: Context) -> None:
    assert not context.world.max_by_standing[Standing.AVOIDED], context.world.max_by_standing


@when(
    "a tenth of the targets hangs for {seconds:d} seconds under a load above what the others"
    " can hold"
)
def hang(context: Context, seconds: int) -> None:
    context.faulty = context.world.targets[::10]
    for target in context.faulty:
        target.hangs = True
    run_with_fault(context, seconds, HIGH_LOAD_JOBS + 1)


@when("3 of 100 jobs fail wherever they run, for {seconds:d} seconds")
def fail_some_jobs(context: Context, seconds: int) -> None:
    context.world.run_for(seconds, lambda n: context.world.submit_mixed_load(1000 + n))
    assert context.world.failing_jobs


@then("at most {most:d} targets were restricted at once, and none was ever avoided")
def check_few_restricted(context: Context, most: int) -> None:
    highest = context.world.max_by_standing
    assert highest[Standing.PROBATION] <= most and not highest[Standing.AVOIDED], highest


@when("all targets fail 90% of what they start for {seconds:d} seconds")
def fail_everywhere(context: Context, seconds: int) -> None:
    world = context.world
    for target in world.targets:
        target.failing = 0.9
    context.most_restricted = context.most_spared = 0
    for _ in range(seconds):
        run_with_fault(context, 1.0)
        trusted = world.by_standing()[Standing.TRUSTED]
        context.most_restricted = max(context.most_restricted, len(world.targets) - trusted)
        context.most_spared = max(context.most_spared, health_of(context).spared)


@then("at most {avoided:d} targets were avoided at once, and {restricted:d} restricted")
def check_bounds(context: Context, avoided: int, restricted: int) -> None:
    assert context.world.max_by_standing[Standing.AVOIDED] <= avoided
    assert 0 < context.most_restricted <= restricted, context.most_restricted


@then("targets were spared")
def check_spared(context: Context) -> None:
    assert context.most_spared > 0


# Blame


@given("{zones:d} zones of 6 targets, known to an owner")
def create_known_fleet(context: Context, zones: int) -> None:
    create_world(context, zones, 6)


@when('job "{job}" fails on target {number:d}')
@when('job "{job}" fails on targets {number:d}')
def fail_job_on_one(context: Context, job: str, number: int) -> None:
    record(context, number, job, EndKind.FAILED)
    judge(context)


@when('job "{job}" fails on targets {first}, {second}, {third} and {fourth}')
def fail_job_on_four(context: Context, job: str, **numbers: str) -> None:
    for number in numbers.values():
        fail_job_on_one(context, job, int(number))


@when('job "{job}" fails on targets {first:d}, {second:d} and {third:d}')
def fail_job_on_three(context: Context, job: str, **numbers: int) -> None:
    for number in numbers.values():
        fail_job_on_one(context, job, number)


@when('job "{job}" fails {count:d} times on target {number:d}')
def fail_job_often(context: Context, job: str, count: int, number: int) -> None:
    for _ in range(count):
        fail_job_on_one(context, job, number)


@when("target {number:d} restarts {times:d} times")
def restart_target(context: Context, number: int, times: int) -> None:
    world, target = context.world, target_of(context, number)
    for _ in range(times):
        target.restart()
        world.report()
    judge(context)
    signals = 'target_signals{signal="restarted"}'
    assert world.counts[signals] >= times, world.counts


@when("{count:d} jobs succeed on target {number:d}")
def succeed(context: Context, count: int, number: int) -> None:
    for index in range(count):
        record(context, number, f"well-{index}", EndKind.DONE)
    judge(context)


@given("target {number:d} is on probation after failures of two jobs")
def put_on_probation(context: Context, number: int) -> None:
    fail_jobs(context, number, 2)
    check_on_probation(context, number)


@then("target {number:d} is on probation")
def check_on_probation(context: Context, number: int) -> None:
    judge(context)
    standing = context.world.standing(target_of(context, number))
    assert standing is Standing.PROBATION, standing


@then("target {number:d} is avoided")
def check_avoided(context: Context, number: int) -> None:
    judge(context)
    standing = context.world.standing(target_of(context, number))
    assert standing is Standing.AVOIDED, standing


@when("{count:d} jobs are lost on target {number:d} at once")
def lose_jobs(context: Context, count: int, number: int) -> None:
    for index in range(count):
        record(context, number, f"lost-{index}", EndKind.LOST)


@when("a zone is silent for {seconds:d} seconds and then reports again")
def silence_zone(context: Context, seconds: int) -> None:
    world = context.world
    zone = world.targets[10:20]
    assert any(target.running for target in zone)
    world.silent = {target.id for target in zone}
    run_with_fault(context, seconds)
    assert not any(target.id in world.core.targets for target in zone)
    world.silent = set()
    run_with_fault(context, 2.0)


@when("{count:d} jobs end as {kind} on target {number:d}, as was expected")
def end_as_expected(context: Context, count: int, kind: str, number: int) -> None:
    for index in range(count):
        context.world.now += 1.0
        record(context, number, f"expected-{index}", EndKind(kind), is_expected=True)
    health = health_of(context)
    assert not health.machines, health.machines


@when("runs are lost twice on target {number:d}, which drains")
def lose_draining(context: Context, number: int) -> None:
    world, target = context.world, target_of(context, number)
    for index in range(2):
        world.accept(f"all-{index}", (step(6, demand=WHOLE),))
        world.run_for(1.0)
        assert target.running
        target.draining = True
        world.report()
        target.draining = False
        target.restart()
        world.report()
        lost = [fields for event, fields in world.events if event == "run lost"]
        assert len(lost) == index + 1, lost
        world.run_for(10.0)


@then("nothing speaks against target {number:d}")
@then("nothing is learned of target {number:d}")
def check_nothing_learned(context: Context, number: int) -> None:
    judge(context)
    machines = health_of(context).machines
    assert target_of(context, number).machine not in machines, machines


# Steps


@given("a fleet in which only a target on probation has room")
def create_full_fleet(context: Context) -> None:
    create_world(context, 1, 6)
    fail_jobs(context, 0, 2)
    world = context.world
    for target in world.targets[1:]:
        target.hangs = True
    world.accept("full", (step(5, demand=WHOLE, lasting=True),))
    world.run_for(1.0)
    assert all(target.running for target in world.targets[1:]) and not target_of(context, 0).running
    context.probes_started = 0


@when("5 cheap tasks are accepted")
def accept_cheap_tasks(context: Context) -> None:
    cheap = msgspec.structs.replace(step(5, demand=SMALL), estimate_ms=2000)
    context.world.accept("cheap", (cheap,))
    context.world.run_for(1.0)


@when("a task that is {kind} is accepted")
def accept_task(context: Context, kind: str) -> None:
    cheap = msgspec.structs.replace(step(1, demand=SMALL), estimate_ms=2000)
    long = msgspec.structs.replace(cheap, estimate_ms=60_000)
    steps = {
        "long": long,
        "long and checkpointed": msgspec.structs.replace(long, checkpoints=True),
        "cheap and urgent": cheap,
        "cheap and a gang of two": msgspec.structs.replace(cheap, count=2, gang=True),
    }
    queue = "urgent" if "urgent" in kind else "usual"
    context.world.accept("new", (steps[kind],), queue=queue)
    context.world.run_for(1.0)


@then("{count:d} task runs on the target on probation")
def check_probes(context: Context, count: int) -> None:
    world, target = context.world, target_of(context, 0)
    assert world.standing(target) is Standing.PROBATION
    assert len(target.running) == count, target.running


@when("it ends as done")
def end_probe(context: Context) -> None:
    target = target_of(context, 0)
    (task,) = target.running
    context.world.end_row(target, task, EndKind.DONE)
    context.world.run_for(1.0)


@then("the target on probation is trusted, and has {count:d} tasks")
def check_trusted_again(context: Context, count: int) -> None:
    world, target = context.world, target_of(context, 0)
    assert world.standing(target) is Standing.TRUSTED
    assert len(target.running) == count, target.running


@when("a run fails on target {number:d} each time it is on probation, {times:d} times")
def fail_each_probe(context: Context, number: int, times: int) -> None:
    health, target = health_of(context), target_of(context, number)
    context.changes.clear()
    for index in range(times):
        while context.world.standing(target) is not Standing.PROBATION:
            context.world.now += 1.0
            judge(context)
        fail_job_on_one(context, f"probe-{index}", number)
        assert health.standing(target.machine) is Standing.AVOIDED


@then("its pauses were 16, 32, 64, 120, 120, 120 and 120 seconds")
def check_pauses(context: Context) -> None:
    pauses = [c.pause_s for c in context.changes if c.standing is Standing.AVOIDED]
    assert pauses == [16, 32, 64, 120, 120, 120, 120], pauses


@when("{seconds:d} seconds pass for that owner")
def pass_time(context: Context, seconds: int) -> None:
    for _ in range(seconds):
        context.world.now += 1.0
        judge(context)


# Urgent work and gangs


@given("a fleet of 6 targets, of which 3 are trusted, 1 is on probation and 2 are avoided")
def create_mixed_fleet(context: Context) -> None:
    create_world(context, 1, 6)
    for number, jobs in ((3, 2), (4, 3), (5, 3)):
        for index in range(jobs):
            record(context, number, f"failed-{number}-{index}", EndKind.FAILED)
    context.world.run_round()
    check_mixed_standings(context)
    context.urgent = 0


@then("3 targets are trusted, 1 is on probation and 2 are avoided")
def check_mixed_standings(context: Context) -> None:
    standings = [context.world.standing(target).value for target in context.world.targets]
    assert standings == ["trusted"] * 3 + ["probation"] + ["avoided"] * 2, standings


def accept_urgent(context: Context, count: int) -> None:
    context.urgent += 1
    context.accepted_at = context.world.now
    whole = step(count, demand=WHOLE)
    name = f"urgent{context.urgent}"
    context.world.accept(name, (whole,), queue="urgent", organisation="own")


@when("urgent work within its guarantee takes all trusted targets")
def fill_trusted(context: Context) -> None:
    accept_urgent(context, 3)
    context.world.run_round()
    assert all(target.running for target in context.world.targets[:3])


@when("other work takes all trusted targets")
def fill_trusted_with_other(context: Context) -> None:
    context.world.accept("other", (step(3, demand=WHOLE),), queue="least")
    context.world.run_round()
    assert all(target.running for target in context.world.targets[:3])


@when("1 more urgent task within its guarantee is accepted")
def accept_one_urgent(context: Context) -> None:
    accept_urgent(context, 1)


@then("it starts on the target on {standing} within 2.9 seconds")
@then("it starts on an {standing} target within 2.9 seconds")
@then("it starts on a {standing} target within 2.9 seconds")
def check_urgent_started(context: Context, standing: str) -> None:
    world, name = context.world, f"urgent{context.urgent}"
    while not world.starts(name) and world.now - context.accepted_at <= 2.9 - STEP_S:
        world.run_for(STEP_S)
    target, _ = world.run_of(name)
    assert world.standing(target).value == standing, world.standing(target)
    if standing != "trusted":
        assert world.counts[f'units_on_untrusted_targets{{standing="{standing}"}}'] == 1


@when("a gang of {count:d} whole targets is accepted")
def accept_gang(context: Context, count: int) -> None:
    context.gang = "gang"
    context.world.accept("gang", (step(count, demand=WHOLE, gang=True),))
    context.world.run_for(1.0)


@when("another gang of 3 whole targets is accepted")
def accept_second_gang(context: Context) -> None:
    context.gang = "second"
    context.world.accept("second", (step(3, demand=WHOLE, gang=True),))
    context.world.run_for(1.0)


@then("it runs on trusted targets only")
def check_gang_on_trusted(context: Context) -> None:
    used = [target for target in context.world.targets if target.running]
    assert context.world.by_standing(used) == {Standing.TRUSTED: 3}, used


@then("it waits")
def check_gang_waits(context: Context) -> None:
    assert not context.world.starts(context.gang)


@then("it runs")
def check_gang_runs(context: Context) -> None:
    assert len(context.world.starts(context.gang)) == len(context.world.targets)


@when("target {number:d} has failed one job")
def fail_one_job(context: Context, number: int) -> None:
    fail_jobs(context, number, 1)
    assert context.world.standing(target_of(context, number)) is Standing.TRUSTED


@then("target {number:d} is idle")
def check_idle(context: Context, number: int) -> None:
    running = [len(target.running) for target in context.world.targets]
    assert sum(running) == 5 and not target_of(context, number).running, running


# Failures


@given("a run has failed on target {number:d}, which is avoided")
def avoid_target(context: Context, number: int) -> None:
    fail_job_on_one(context, "probe", number)
    check_avoided(context, number)


@when("that owner dies, and the next one reads what it learned {seconds:d} seconds ago")
def replace_owner(context: Context, seconds: int) -> None:
    world = context.world
    (learned,) = world.core.policies.learned
    value = learned.encode(world.unix_now)
    assert learned.revision
    world.now += seconds
    world.take_over()
    (learned,) = world.core.policies.learned
    assert learned.revision == 0
    # The record may be read before the first report.
    learned.merge(value, world.unix_now)
    world.settle()


@when("that owner dies, and the next one reads no record")
def replace_owner_without_record(context: Context) -> None:
    context.world.take_over()
    context.world.settle()


@given("4 jobs have failed on 4 targets of zone 0")
def fail_part_of_zone(context: Context) -> None:
    for number in range(4):
        fail_jobs(context, number, 1)


@then("no target of zone 0 is trusted, and all others are")
def check_zone_restricted(context: Context) -> None:
    judge(context)
    world = context.world
    assert not world.by_standing(world.targets[:6])[Standing.TRUSTED], world.by_standing()
    assert world.by_standing(world.targets[6:])[Standing.TRUSTED] == len(world.targets) - 6


def changed_record(context: Context, what: str) -> bytes:
    """The owner's record with one change."""
    if what == "of random bytes":
        return b"\xc1\x00random"
    (learned,) = context.world.core.policies.learned
    content = msgspec.msgpack.decode(learned.encode(context.world.unix_now))
    row = content["machines"][0]
    if what == "of version 2":
        content["version"] = 2
    elif what == "with a group of level 7":
        content["groups"].append([7, "z", 1.0, False])
    elif what.startswith("with a time of"):
        content["at"] = float(what.rpartition(" ")[2])
    else:
        changes = {
            "with a score of nan": (3, math.nan),
            "with a score of 1000": (3, 1000.0),
            "with a negative score": (3, -1.0),
            "with step 3": (4, 3),
            "with 1000 strikes": (5, 1000),
            "with a pause of inf": (8, math.inf),
        }
        index, value = changes[what]
        row[index] = value
    return msgspec.msgpack.encode(content)


@when("a health record {what} is merged")
def merge_bad_record(context: Context, what: str) -> None:
    (learned,) = context.world.core.policies.learned
    context.before = learned.encode(context.world.unix_now)
    context.error = None
    try:
        learned.merge(changed_record(context, what), context.world.unix_now)
    except msgspec.DecodeError as exc:
        context.error = exc


@then("that owner takes it as unreadable")
def check_unreadable(context: Context) -> None:
    (learned,) = context.world.core.policies.learned
    assert context.error is not None
    assert learned.encode(context.world.unix_now) == context.before


@when("its own health record is merged {times:d} times")
def merge_own_record(context: Context, times: int) -> None:
    world = context.world
    (learned,) = world.core.policies.learned
    context.score = health_of(context).machines["m0"].score.value(world.now)
    for _ in range(times):
        learned.merge(learned.encode(world.unix_now), world.unix_now)
        judge(context)


@then("the score of target 0 is unchanged")
def check_score(context: Context) -> None:
    score = health_of(context).machines["m0"].score.value(context.world.now)
    # The record rounds scores to two digits.
    assert abs(score - context.score) < 0.01, (score, context.score)


@given("3000 machines with long names have failed, the last ones most")
def create_many_machines(context: Context) -> None:
    health = LearnedHealth()
    health.begin_pass((), 0.0)
    for number in range(3000):
        name = f"{number}-" + "x" * 100
        places = (Place(Level.MACHINE, name), Place(Level.RACK, "z/r"), Place(Level.ZONE, "z"))
        health.machines[name] = Machine(places, Score(number / 1000, 0.0))
        health.groups.charge(Place(Level.RACK, name), 1.0, 0.0)
    context.learned = HealthRecord(health)


@then("the health record has at most {most:d} bytes and holds the last machines")
def check_record_bounded(context: Context, most: int) -> None:
    value = context.learned.encode(0.0)
    assert len(value) <= most, len(value)
    names = [row[0] for row in msgspec.msgpack.decode(value)["machines"]]
    assert len(names) > 10 and names[0].startswith("2999-"), names


@when("all targets restart under other ids")
def restart_all(context: Context) -> None:
    before = {target.id for target in context.world.targets}
    for target in context.world.targets:
        target.restart()
    context.world.settle()
    assert not before & {target.id for target in context.world.targets}


@when("target {number:d} has failed two jobs")
def fail_two_jobs(context: Context, number: int) -> None:
    fail_jobs(context, number, 2)


@then("target {number:d} gets no work for 8 seconds, and then as usual")
def check_quarantined(context: Context, number: int) -> None:
    world, target = context.world, target_of(context, number)
    world.accept("many", (step(60, demand=WHOLE),))
    world.run_for(7.5)
    assert not target.started
    world.run_for(2.0)
    assert target.started


@then("the log has each step of them with its reason, and the counters too")
def check_logged(context: Context) -> None:
    changes = [(c["machine"], c["standing"], c["reason"]) for c in standing_changes(context)]
    steps = [("m3", "probation", "failed"), ("m4", "avoided", "failed")]
    steps.append(("m5", "avoided", "failed"))
    assert changes == steps, changes
    counts = Counter({k: v for k, v in context.world.counts.items() if "standing_changes" in k})
    assert counts == {
        'target_standing_changes{standing="probation",reason="failed"}': 1,
        'target_standing_changes{standing="avoided",reason="failed"}': 2,
    }, counts


@given("an owner task with target health, one of whose 6 targets is on probation")
def create_owner_task(context: Context) -> None:
    owner = OwnerTaskWorld(context.stack, scheduling=HEALTH)
    owner.elect(1)
    for target in context.world.targets:
        owner.report(target.report(owner.now))
    core = owner.task._core
    assert core is not None
    for job in "ab":
        announcement = context.world.targets[0].report(owner.now).announcement
        event = HealthEvent(announcement, "m0", JobId(job), EndKind.FAILED)
        core.policies.health.record_end(event, owner.now)
    core.needs_plan = True
    for _ in range(2):
        owner.task.tick()
    context.metrics = owner.metrics


@then("its gauges show 5 trusted targets and 1 on probation")
def check_gauges(context: Context) -> None:
    lines = context.metrics.render().splitlines()
    for standing, count in (("trusted", 5), ("probation", 1), ("avoided", 0)):
        expected = f'comfreyshelf_targets_by_standing{{standing="{standing}"}} {count}'
        assert any(line.startswith(expected) for line in lines), lines
    assert any(line.startswith("comfreyshelf_targets_spared 0") for line in lines), lines
