"""Steps for the placement of work by its expected end."""

import math
import random

import msgspec
from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet.jobs import FleetConfig, Organisation, Queue, QueueName, Resources
from comfreyshelf.fleet.placement.fragmentation import largest_gangs
from comfreyshelf.fleet.placement.room_forecast import list_ends
from comfreyshelf.ids import OrganisationId, Version
from features.owner_world import SERVICE, step
from features.speed_world import WITH_TARGET_SPEED, WITHOUT_FEATURES, SpeedWorld

WHOLE_TARGET = Resources(1000, 1000, 8)
SMALL_TASK = Resources(1000, 1000, 1)
# What the deployments promise: within this time a covered job runs.
RECLAIM_S = 2.9


def make_queue(name: str, priority: int, stretch: float, latency_s: float) -> Queue:
    path = f"/{name}/"
    return Queue(QueueName(name), "host", path, SERVICE, priority, 2, stretch, latency_s, False)


CONFIG = FleetConfig(
    Version(1),
    (
        make_queue("urgent", 0, 1.5, 0.4),
        make_queue("usual", 1, 3.0, 1.2),
        make_queue("least", 2, 3.0, 3.0),
    ),
    (
        Organisation(OrganisationId("sure"), ("k",), 240),
        Organisation(OrganisationId("other"), ("l",), 0),
    ),
    1000,
)


def set_speeds(world: SpeedWorld, speeds: dict[int, float]) -> None:
    """Set the speeds of targets, and let the owner know them from a record."""
    machines = {}
    for number, speed in speeds.items():
        world.targets[number].speed = speed
        machines[f"m{number}"] = [math.log(speed), 0]
    record = {"version": 1, "unix_s": world.unix_now, "machines": machines}
    for state in world.core.policies.learned:
        state.merge(msgspec.json.encode(record), world.unix_now)


def submit(world: SpeedWorld, name: str, work_s: float, urgent: bool = False, **options) -> None:
    """Submit a job of tasks of `work_s` seconds, which its caller estimates rightly."""
    count = options.pop("count", 1)
    queue = options.pop("queue", "usual")
    one = step(count, **{"demand": WHOLE_TARGET, **options})
    one = msgspec.structs.replace(one, estimate_ms=int(work_s * 1000))
    organisation = "sure" if urgent else "other"
    world.work_s[name] = work_s
    world.accept(name, (one,), queue="urgent" if urgent else queue, organisation=organisation)


def occupy(
    world: SpeedWorld,
    numbers: list[int],
    seconds: float,
    urgent: bool = False,
    queue: str = "usual",
) -> None:
    """Fill some targets with a run each that ends after some seconds."""
    others = [target for target in world.targets if target.number not in numbers]
    world.silent.update(target.id for target in others)
    world.advance(2)
    for number in numbers:
        submit(world, f"busy{number}", seconds + 2.0, urgent, queue=queue)
        world.run_round()
    assert all(world.targets[number].running for number in numbers)
    world.silent.clear()
    for target in others:
        target.is_changed = True
    world.advance(2)


def create_racks(
    context: Context, racks: int, per_rack: int = 5, with_feature: bool = True
) -> SpeedWorld:
    scheduling = WITH_TARGET_SPEED if with_feature else WITHOUT_FEATURES
    context.world = SpeedWorld([1.0] * racks * per_rack, per_rack, scheduling, CONFIG)
    return context.world


@given("2 racks of 5 targets, each with a run of a guarantee that ends in 1 second, {feature}")
def create_urgent_runs_ending_soon(context: Context, feature: str) -> None:
    world = create_racks(context, 2, with_feature=feature == "with the feature")
    occupy(world, [0, 5], 1.0, urgent=True)


@given("2 racks of 5 targets, each with a run of a guarantee that ends in 6 seconds")
def create_long_urgent_runs(context: Context) -> None:
    occupy(create_racks(context, 2), [0, 5], 6.0, urgent=True)


@given("2 racks of 5 targets, each with a less urgent run that ends in {seconds:d} seconds")
def create_less_urgent_runs(context: Context, seconds: int) -> None:
    context.busy_s = seconds
    occupy(create_racks(context, 2), [0, 5], seconds)


@given("2 racks of 5 targets, of which the first is full for {seconds:d} seconds")
def create_full_rack(context: Context, seconds: int) -> None:
    occupy(create_racks(context, 2), [0, 1, 2, 3, 4], seconds)


@given("a rack whose usual targets are busy for 5 seconds and one that is 5 times slower is free")
def create_rack_with_free_slow_target(context: Context) -> None:
    world = create_racks(context, 1)
    occupy(world, [0, 1, 2, 3], 5.0)
    set_speeds(world, {4: 0.2})


@given("a rack whose usual targets hold the least urgent work for 200 seconds and one that is slow")
def create_rack_with_least_urgent_work(context: Context) -> None:
    world = create_racks(context, 1)
    occupy(world, [0, 1, 2, 3], 200.0, queue="least")
    set_speeds(world, {4: 0.2})


@given("a gang of 2 tasks, one of which has done its work while the other needs 30 seconds")
def create_gang_with_idle_member(context: Context) -> None:
    world = create_racks(context, 1)
    submit(world, "gang", 30.0, count=2, gang=True)
    world.work_s["gang.0.0.0"] = 2.0
    world.advance(5)
    assert any(row.percent == 100 for target in world.targets for row in target.running.values())


@then("both targets are expected to be busy for more than 20 seconds")
def check_gang_ends(context: Context) -> None:
    world = context.world
    views = [world.core.targets[target.id] for target in world.targets if target.running]
    ends = [end.after_s for view in views for end in list_ends(view)]
    assert len(ends) == 2 and min(ends) > 20, ends


@then("the task runs on the slow target, and nothing was stopped")
def check_slow_target(context: Context) -> None:
    world = context.world
    (target,) = world.targets_of("task")
    assert target.speed == 0.2
    assert not any(event == "run stopped" for event, _ in world.events)


@given("10 targets in 2 racks, of which all but one are 5 times slower")
def create_slow_fleet(context: Context) -> None:
    world = create_racks(context, 2)
    # Six usual targets that do not report keep the usual speed of the fleet at 1.
    set_speeds(world, {number: 0.2 for number in range(4)})
    for number in range(4, 9):
        world.silent.add(world.targets[number].id)
    world.advance(2)


@given("10 targets in 2 racks, of which the last 2 have the speed 0.8")
def create_slightly_slow_fleet(context: Context) -> None:
    set_speeds(create_racks(context, 2), {8: 0.8, 9: 0.8})


@given("10 targets in one rack of the speeds 0.8 and 1.25 in turn")
def create_alternating_rack(context: Context) -> None:
    world = create_racks(context, 1, 10)
    set_speeds(world, {number: (0.8, 1.25)[number % 2] for number in range(10)})


@given("3 racks of 5 targets, of which the last is partly full")
def create_partly_full_rack(context: Context) -> None:
    occupy(create_racks(context, 3), [14], 100.0)


@when("an urgent gang of 5 whole targets is submitted that asks for one rack")
def submit_urgent_gang(context: Context) -> None:
    submit(context.world, "gang", 5.0, True, count=5, gang=True, same_rack=True)
    context.world.advance(3)


@when("a gang of the same priority and of 20 seconds is submitted that asks for one rack")
def submit_usual_gang(context: Context) -> None:
    submit(context.world, "gang", 20.0, count=5, gang=True, same_rack=True)
    context.world.advance(3)


@when("a task of 20 seconds with data in the first rack is submitted")
def submit_local_task(context: Context) -> None:
    submit(context.world, "task", 20.0, rack="r0")
    context.world.advance(10)


@when("a task of 20 seconds is submitted")
def submit_task(context: Context) -> None:
    submit(context.world, "task", 20.0)
    context.world.advance(8)


@when("an urgent task of 5 seconds is submitted")
def submit_urgent_task(context: Context) -> None:
    submit(context.world, "task", 5.0, True)
    context.world.advance(1)


@when("2 tasks of 20 seconds with high slack are submitted")
def submit_slack_tasks(context: Context) -> None:
    submit(context.world, "task", 20.0, count=2, queue="least", checkpoints=True)
    context.world.advance(1)


@when("3 tasks of 8 accelerators with no rack are submitted one after the other")
def submit_single_tasks(context: Context) -> None:
    for number in range(3):
        submit(context.world, f"task{number}", 60.0)
        context.world.advance(1)


@then("it runs in {racks:d} rack(s) and ends {end}")
def check_racks_and_end(context: Context, racks: int, end: str) -> None:
    world = context.world
    assert len({target.rack for target in world.targets_of("gang")}) == racks
    world.advance(15)
    is_late = bool(world.late_jobs("gang", 1.5 * 5.0 + 0.4))
    assert is_late == (end == "late"), world.ended_at


@then("it starts within 2.7 seconds of its acceptance, in 2 racks")
def check_spread_in_time(context: Context) -> None:
    world = context.world
    started_at = world.first_start_at["gang.0.0.0"]
    assert started_at + 1_000_000 - world.jobs["gang"].accepted_at <= 2.7
    assert len({target.rack for target in world.targets_of("gang")}) == 2
    assert world.counts["gangs_spread"] == 1


@then("it runs in 1 rack(s) once that run has ended")
def check_waited_for_rack(context: Context) -> None:
    world = context.world
    assert not world.targets_of("gang")
    world.advance(context.busy_s)
    assert len({target.rack for target in world.targets_of("gang")}) == 1


@then("the task runs in the {rack} rack")
def check_rack(context: Context, rack: str) -> None:
    (target,) = context.world.targets_of("task")
    assert target.rack == {"first": "r0", "second": "r1"}[rack], target.rack


@then("the task runs on a usual target")
def check_usual_target(context: Context) -> None:
    (target,) = context.world.targets_of("task")
    assert target.speed == 1.0, target.number


@then("they run on the targets of speed 0.8")
def check_slow_targets(context: Context) -> None:
    speeds = [target.speed for target in context.world.targets_of("task")]
    assert speeds == [0.8, 0.8], speeds


@then("all its members run on targets of speed 1.25")
def check_equal_members(context: Context) -> None:
    speeds = [target.speed for target in context.world.targets_of("gang")]
    assert speeds == [1.25] * 5, speeds


@then("two whole racks are still free")
def check_free_racks(context: Context) -> None:
    assert {t.rack for t in context.world.targets if t.running} == {"r2"}


@then("the gauge shows a gang of 5 targets of 8 accelerators, and of 40 of 1")
def check_gauge(context: Context) -> None:
    world = context.world
    sizes = largest_gangs(world.core.targets.values(), world.now)
    assert sizes == {8: 5, 4: 10, 2: 20, 1: 40}, sizes


def run_burst(world: SpeedWorld, seed: int, is_gang: bool) -> tuple[int, float]:
    """Play a burst of urgent jobs; returns how many are late, and the longest wait in seconds."""
    rng = random.Random(seed + 100)
    count = 14 if is_gang else 30
    for number in range(count):
        if is_gang:
            options = {"count": rng.choice((3, 4, 5)), "gang": True, "same_rack": True}
            submit(world, f"urgent{number}", 5.0, True, **options)
            pair = {"count": 2, "demand": Resources(1000, 1000, 2)}
            submit(world, f"small{number}", 5.0, True, **pair)
            world.advance(1.5)
        else:
            submit(world, f"urgent{number}", 5.0, True, demand=Resources(1000, 1000, 4))
            world.advance(0.5)
    world.advance(25)
    waits = [
        world.first_start_at.get(f"urgent{n}.0.0.0", math.inf)
        + 1_000_000
        - world.jobs[f"urgent{n}"].accepted_at
        for n in range(count)
    ]
    return len(world.late_jobs("urgent", 1.5 * 5.0 + 0.4)), max(waits)


def fill_fleet(world: SpeedWorld, seed: int, jobs: int) -> None:
    rng = random.Random(seed)
    for number in range(jobs):
        submit(
            world,
            f"fill{number}",
            15.0,
            count=24,
            queue="least",
            demand=SMALL_TASK,
            checkpoints=True,
        )
        for index in range(24):
            world.work_s[f"fill{number}.0.0.{index}"] = 15.0 * rng.lognormvariate(0.0, 0.25)
        world.advance(3)


@given("30 targets of the speeds 0.8, 1 and 1.25 in racks of 5, fragmented by less urgent work")
def prepare_mixed_burst(context: Context) -> None:
    context.make_world = lambda scheduling: SpeedWorld([0.8, 1.0, 1.25] * 10, 5, scheduling, CONFIG)
    context.slow = []


@given("30 equal targets in racks of 5, half full of small tasks, of which 5 turn 5 times slower")
def prepare_slow_burst(context: Context) -> None:
    context.make_world = lambda scheduling: SpeedWorld([1.0] * 30, 5, scheduling, CONFIG)
    context.slow = [3, 8, 13, 18, 23]


@when("{count:d} urgent {kind} arrive within {seconds:d} seconds, with the feature and without")
def play_bursts(context: Context, count: int, kind: str, seconds: int) -> None:
    context.results = []
    for scheduling in (WITH_TARGET_SPEED, WITHOUT_FEATURES):
        late, longest_wait_s = 0, 0.0
        for seed in range(3):
            world = context.make_world(scheduling)
            fill_fleet(world, seed, 8)
            for number in context.slow:
                world.targets[number].speed = 0.2
            world.advance(4)
            more, wait_s = run_burst(world, seed, kind == "gangs")
            late, longest_wait_s = late + more, max(longest_wait_s, wait_s)
        context.results.append((late, longest_wait_s))


@then("at most half as many {kind} are late with the feature, and each {one} starts in time")
def check_bursts(context: Context, kind: str, one: str) -> None:
    (late, longest_wait_s), (late_without, _) = context.results
    assert late <= late_without / 2 and late_without > 0, context.results
    assert longest_wait_s <= RECLAIM_S, context.results
