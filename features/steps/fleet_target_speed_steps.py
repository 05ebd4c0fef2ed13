"""Steps for learned speeds of machines and the slowdowns of runs."""

import math
import random
from statistics import geometric_mean
from unittest import mock

import msgspec
from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet.job_table import StoredJob
from comfreyshelf.fleet.jobs import EndKind, Resources, RunningRow, RunNumber
from comfreyshelf.fleet.speed.machine_speed import HalfLives, MachineSpeed
from comfreyshelf.ids import JobId
from features.owner_world import step
from features.speed_world import TICK_S, WITHOUT_FEATURES, SpeedWorld

SMALL_TASK = Resources(1000, 1000, 1)
WHOLE_TARGET = Resources(1000, 1000, 8)
SLOW_SPEED = 0.2
DISTURBED_SPEED = 0.5
# Number of the target whose machine turns slow.
SLOW = 2


def slow_machine_record(speed_log: float, age_s: float, unix_now: float) -> bytes:
    fields = {"version": 1, "unix_s": unix_now - age_s, "machines": {f"m{SLOW}": [speed_log, 0]}}
    return msgspec.json.encode(fields)


def learned_state(context: Context):
    (state,) = context.world.core.policies.learned
    return state


@given("12 targets of the speeds 0.8, 1 and 1.25")
def create_mixed_fleet(context: Context) -> None:
    context.world = SpeedWorld([0.8, 1.0, 1.25] * 4, 3)


@given("6 targets of speed 1")
def create_equal_fleet(context: Context) -> None:
    context.world = SpeedWorld([1.0] * 6, 3)


@given("6 targets of speed 1 with small tasks of 22 seconds")
def create_busy_fleet(context: Context) -> None:
    world = context.world = SpeedWorld([1.0] * 6, 3)
    world.accept("job", (step(48, demand=SMALL_TASK),), queue="least")
    world.work_s["job"] = 22.0
    world.advance(6)


@given("6 targets of speed 1 with a gang of 5 tasks")
def create_fleet_with_gang(context: Context, targets: int = 6) -> None:
    world = context.world = SpeedWorld([1.0] * targets, 6)
    world.accept("gang", (step(5, gang=True),))
    world.work_s["gang"] = 22.0
    world.advance(6)
    if not world.targets[SLOW].running:
        context.slow = next(target.number for target in world.targets if target.running)


@given("12 targets of speed 1 with a gang of 5 tasks that all keep the pace of the slowest one")
def create_fleet_with_lockstep_gang(context: Context) -> None:
    create_fleet_with_gang(context, targets=12)
    context.is_lockstep = True


@given("6 targets of speed 1 with one large task of 22 seconds on each")
def create_fleet_with_large_tasks(context: Context) -> None:
    world = context.world = SpeedWorld([1.0] * 6, 3)
    world.accept("job", (step(6, demand=WHOLE_TARGET),))
    world.work_s["job"] = 22.0
    world.advance(6)


@given("a machine that 6 runs have shown to be 5 times slower")
def create_shown_slow_machine(context: Context) -> None:
    context.machine = MachineSpeed()
    for number in range(6):
        context.machine.add_sample((f"run{number}", RunNumber(1)), SLOW_SPEED, HalfLives())
    assert context.machine.speed(HalfLives()) < DISTURBED_SPEED


@given("2 targets that are known to have the speeds 0.8 and 1.25")
def create_known_pair(context: Context) -> None:
    world = context.world = SpeedWorld([0.8, 1.25], 2)
    machines = {"m0": [math.log(0.8), 0], "m1": [math.log(1.25), 0]}
    fields = {"version": 1, "unix_s": world.unix_now, "machines": machines}
    learned_state(context).merge(msgspec.json.encode(fields), world.unix_now)


@given("6 targets, one of which was last seen 5 times slower")
def create_fleet_with_slow_machine(context: Context) -> None:
    world = context.world = SpeedWorld([1.0] * 6, 3)
    world.targets[SLOW].speed = SLOW_SPEED
    learned_state(context).merge(slow_machine_record(-1.61, 0, world.unix_now), world.unix_now)
    context.speeds = [world.speed(number) for number in range(6)]


@given("4 targets in two racks")
def create_two_racks(context: Context) -> None:
    context.world = SpeedWorld([1.0] * 4, 2)


@given("4 targets in two racks, without the feature")
def create_two_racks_without_feature(context: Context) -> None:
    context.world = SpeedWorld([1.0] * 4, 2, WITHOUT_FEATURES)


@when("{jobs:d} jobs of 48 small tasks that differ by a quarter run for {seconds:d} seconds")
def run_varied_jobs(context: Context, jobs: int, seconds: int) -> None:
    rng, world = random.Random(2), context.world
    for number in range(jobs):
        world.accept(f"j{number}", (step(48, demand=SMALL_TASK),), queue="least")
        for index in range(48):
            world.work_s[f"j{number}.0.0.{index}"] = 15 * rng.lognormvariate(0.0, 0.25)
    world.advance(seconds)


@then("the machines of speed 0.8 are taken for slower than those of speed 1.25")
def check_order_of_speeds(context: Context) -> None:
    speeds = [context.world.speed(number) for number in range(12)]
    assert max(speeds[0::3]) < min(speeds[2::3]), speeds


@then("the speed of each machine is known to within a third")
def check_speeds(context: Context) -> None:
    for target in context.world.targets:
        ratio = context.world.speed(target.number) / target.speed
        assert 3 / 4 < ratio < 4 / 3, (target.number, ratio)


@then("the mean speed of the machines is still within a sixth of 1")
def check_mean_speed(context: Context) -> None:
    mean = geometric_mean(context.world.speed(number) for number in range(12))
    assert 5 / 6 < mean < 7 / 6, mean


@when("one machine turns 5 times slower and {seconds:d} seconds pass")
def slow_down_machine(context: Context, seconds: int) -> None:
    world = context.world
    context.slow = getattr(context, "slow", SLOW)
    slowed = world.targets if getattr(context, "is_lockstep", False) else []
    for target in slowed or [world.targets[context.slow]]:
        target.speed = SLOW_SPEED
    world.advance(seconds)


@when("one machine turns 5 times slower for 12 seconds and then recovers")
def slow_down_and_recover(context: Context) -> None:
    slow_down_machine(context, 12)
    assert context.world.speed(SLOW) < DISTURBED_SPEED
    context.world.targets[SLOW].speed = 1.0


@then("no machine is taken for slow within 8 seconds")
def check_recovers(context: Context) -> None:
    context.world.advance(8)
    check_no_slow_machine(context)


@then("that machine is taken for less than half as fast, and the others for usual")
def check_slow_machine(context: Context) -> None:
    slow = getattr(context, "slow", SLOW)
    speeds = [context.world.speed(number) for number in range(6)]
    others = [speed for number, speed in enumerate(speeds) if number != slow]
    assert speeds[slow] < DISTURBED_SPEED, speeds
    assert all(0.75 < speed < 1.33 for speed in others), speeds


@then("the log names it once")
def check_log(context: Context) -> None:
    lines = [fields for event, fields in context.world.events if event == "target speed changed"]
    assert [line["machine"] for line in lines] == [f"m{SLOW}"], lines
    assert context.world.counts["machines_slowed"] == 1


@then("no machine is taken for slow")
def check_no_slow_machine(context: Context) -> None:
    speeds = [context.world.speed(target.number) for target in context.world.targets]
    assert all(speed > 0.66 for speed in speeds), speeds


@when("tasks of 10 seconds run on all of them, one of which takes 70 seconds")
def run_odd_task(context: Context) -> None:
    world = context.world
    world.accept("job", (step(6, demand=WHOLE_TARGET),))
    world.work_s.update({"job": 10.0, "job.0.0.3": 70.0})
    world.advance(9)
    context.odd = next(t.number for t in world.targets for task, _ in t.started if "0.0.3" in task)
    assert world.speed(context.odd) < 1.0


@when("one run makes no more progress for 6 seconds")
def hang_run(context: Context) -> None:
    world = context.world
    target = world.targets[SLOW]
    task = next(iter(target.running))
    for _ in range(round(6 / TICK_S)):
        done_s = target.done_s[task]
        world.advance(TICK_S)
        target.done_s[task] = done_s
        row = target.running[task]
        target.running[task] = RunningRow(task, row.run, "", int(100 * done_s / 22))


@when("two more runs show that it is as fast as usual")
def add_usual_samples(context: Context) -> None:
    for number in range(6, 8):
        context.machine.add_sample((f"run{number}", RunNumber(1)), 1.0, HalfLives())


@then("it is taken for at least 0.75 times as fast as usual")
def check_recovered_machine(context: Context) -> None:
    assert context.machine.speed(HalfLives()) >= 0.75, context.machine.speed(HalfLives())


@when("a gang of 6 tasks that all keep the pace of the slowest one runs for 20 seconds")
def run_lockstep_gang(context: Context) -> None:
    world = context.world
    for target in world.targets:
        target.speed = SLOW_SPEED
    world.accept("gang", (step(6, gang=True),))
    with mock.patch.object(type(learned_state(context)), "_age"):
        world.advance(20)


@when("nothing runs there for 90 seconds")
def leave_machine_idle(context: Context) -> None:
    world = context.world
    world.accept("job", (step(1, demand=WHOLE_TARGET),), queue="urgent")
    world.work_s["job"] = 200.0
    world.advance(90)
    context.slow = SLOW
    assert not world.targets[SLOW].started


@then("that machine is taken for at least 0.75 times as fast as usual")
def check_is_tried_again(context: Context) -> None:
    assert context.world.speed(SLOW) >= 0.75, context.world.speed(SLOW)


@when("its runner starts again as another target")
def restart_runner(context: Context) -> None:
    context.world.targets[SLOW].restart()
    context.world.advance(1)


@when("the owner dies and another one reads what it has learned")
def take_over(context: Context) -> None:
    context.world.take_over()
    context.world.advance(1)


@when("the owner dies and another one finds nothing")
def take_over_without_record(context: Context) -> None:
    context.world.take_over(keeps_learned=False)
    context.world.advance(1)


@then("the runs there are expected to take as long as they do there")
def check_adopted_slowdowns(context: Context) -> None:
    world = context.world
    runs = world.core.targets[world.targets[SLOW].id].active_runs.values()
    assert runs and all(
        run.slowdown == 1 / world.core.policies.speeds.speed(run.machine) > 2 for run in runs
    ), [run.slowdown for run in runs]


@then("the owner notices the slow machine within 25 seconds")
def check_noticed_again(context: Context) -> None:
    world = context.world
    world.accept("next", (step(48, demand=SMALL_TASK),), queue="least")
    world.work_s["next"] = 22.0
    world.advance(24)
    assert world.speed(SLOW) < DISTURBED_SPEED, world.speed(SLOW)


RECORDS = {
    "a record that is cut off": b'{"version": 1, "unix_s": 1000000.0, "machines": {"m2": [0.',
    "a record of another version": b'{"version": 2, "unix_s": 1000000.0, "machines": {}}',
    "a record of another kind of fields": b'{"version": 1, "unix_s": "x", "machines": [1]}',
}


@when("{record} is read")
def read_unusable_record(context: Context, record: str) -> None:
    try:
        learned_state(context).merge(RECORDS[record], context.world.unix_now)
    except msgspec.DecodeError:
        context.is_refused = True


@then("it is refused as unreadable, and the speeds are as before")
def check_speeds_unchanged(context: Context) -> None:
    assert context.is_refused
    check_same_speeds(context)


@then("the speeds are as before")
def check_same_speeds(context: Context) -> None:
    speeds = [context.world.speed(number) for number in range(6)]
    assert speeds == context.speeds, speeds


@when("a record names the speeds 1e-30 and 1e30")
def read_extreme_record(context: Context) -> None:
    world = context.world
    fields = {"version": 1, "unix_s": world.unix_now, "machines": {"m0": [-69, 0], "m1": [69, 0]}}
    learned_state(context).merge(msgspec.json.encode(fields), world.unix_now)


@then("the speeds are 0.1 and 2")
def check_limited_speeds(context: Context) -> None:
    speeds = [round(context.world.speed(number), 6) for number in range(2)]
    assert speeds == [0.1, 2.0], speeds


@when("a record that is 600 seconds old calls that machine fast")
def read_outdated_record(context: Context) -> None:
    record = slow_machine_record(0.5, 600, context.world.unix_now)
    learned_state(context).merge(record, context.world.unix_now)


@when("a task of 10 seconds runs on the slow machine")
def run_on_slow_machine(context: Context) -> None:
    world = context.world
    for target in world.targets:
        if target.number != SLOW:
            world.silent.add(target.id)
    world.advance(3)
    world.accept("job", (step(1, demand=WHOLE_TARGET),), queue="least")
    world.work_s["job"] = 10.0
    # Without siblings nothing else is learned of the speed, which stays near the recorded one.
    with mock.patch.object(type(learned_state(context)), "_age"):
        world.advance(20)


@then("its job expects a task to take {task_s:d} seconds, and its run expects {run_s:g} seconds")
def check_expected_times(context: Context, task_s: int, run_s: float) -> None:
    (tracked,) = context.world.core.jobs.values()
    run = next(iter(tracked.active_runs.values()))
    assert run.is_duration_recorded
    assert abs(tracked.task_duration_s(0) - task_s) < 0.12 * task_s, tracked.task_duration_s(0)
    assert abs(run.expected_s() - run_s) < 0.12 * run_s, run.expected_s()


@when("a gang of 4 tasks of 6 seconds that asks for one rack runs across two")
def run_gang_across_racks(context: Context) -> None:
    world = context.world
    world.accept("gang", (step(4, gang=True, same_rack=True),))
    world.work_s["gang"] = 6.0
    world.advance(9)
    assert len({target.rack for target in world.targets_of("gang")}) == 2


@when("the owner dies before a target of the gang has reported again")
def take_over_before_reports(context: Context) -> None:
    world = context.world
    world.take_over()
    context.run = next(iter(world.core.jobs[JobId("gang")].active_runs.values()))
    assert context.run.slowdown == 1.0


@when("the owner dies and the next one reads the job after the reports")
def take_over_with_late_job(context: Context) -> None:
    world = context.world
    stored, world.log = world.log, {}
    world.take_over()
    for target in world.targets:
        target.is_changed = True
    world.report()
    job = JobId("gang")
    world.core.load_job(StoredJob(world.jobs[job], False, stored[job]), world.now, world.unix_now)
    context.run = next(iter(world.core.jobs[job].active_runs.values()))


@then("the run expects 18 seconds at once")
def check_loaded_gang(context: Context) -> None:
    assert context.run.slowdown == 3.0
    assert context.run.expected_s() == 3 * context.run.tracked.task_duration_s(0)


@when("a gang of 2 tasks of 10 seconds runs on both for 9 seconds")
def run_gang_on_pair(context: Context) -> None:
    context.world.accept("gang", (step(2, gang=True, same_rack=True),))
    context.world.work_s["gang"] = 10.0
    context.world.advance(9)


@then("the run expects 18 seconds once all targets have reported")
def check_adopted_gang(context: Context) -> None:
    world = context.world
    world.advance(1.25)
    assert [run.slowdown for run in context.run.tracked.active_runs.values()] == [3.0] * 4
    assert context.run.expected_s() == 3 * context.run.tracked.task_duration_s(0)


@then("every slowdown is 1, and nothing is learned")
def check_feature_off(context: Context) -> None:
    world = context.world
    runs = world.core.jobs[JobId("gang")].active_runs.values()
    assert [run.slowdown for run in runs] == [1.0] * 4
    assert world.core.policies.learned == ()
    assert not any(end.kind is not EndKind.DONE for t in world.targets for end in t.ended)
