"""Steps for moving whole units off targets that leave, are slow or hang."""

from unittest import mock

from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet.job_table import StoredJob
from comfreyshelf.fleet.jobs import JobPhase, Resources, Step
from comfreyshelf.ids import JobId
from features.moving_world import (
    TICK_S,
    LeavingTarget,
    MovingWorld,
    demand,
)

WHOLE_TARGET = demand(8)
JOB = "job"
# A job that outlasts every scenario.
LONG_S = 100.0


def one_target(count: int = 1, **options: object) -> Step:
    """A step whose tasks fill a target each."""
    return Step(count, WHOLE_TARGET, **options)  # type: ignore[arg-type]


def start(context: Context, step: Step, work_s: float, ran_s: float, **options: object) -> None:
    """Start the job of the scenario, and let it run."""
    if "world" not in context:
        context.world = MovingWorld()
    world: MovingWorld = context.world
    world.submit(JOB, step, work_s, **options)
    world.settle()
    context.target = world.targets_of(JOB)[0]
    world.pass_time(ran_s)


def free_targets(world: MovingWorld) -> list[LeavingTarget]:
    """The targets on which nothing runs."""
    return [target for target in world.targets if not target.running and not target.down_until]


def fill(context: Context, spare: int = 0, **options: object) -> None:
    """Run other work on all free targets but some."""
    world: MovingWorld = context.world
    world.submit("other", one_target(len(free_targets(world)) - spare), LONG_S, **options)
    world.settle()
    assert len(free_targets(world)) == spare


def reserved_target(context: Context) -> LeavingTarget:
    """The target that was reserved for the job's last move."""
    (name,) = context.world.logged("unit moved")[-1]["targets"]
    return next(target for target in context.world.targets if target.id == name)


@given("a job of {work:g} seconds that has run for {ran:g} seconds")
def start_job(context: Context, work: float, ran: float) -> None:
    start(context, one_target(), work, ran)


@given("a job with checkpoints of {work:g} seconds that has run for {ran:g} seconds")
def start_checkpointed(context: Context, work: float, ran: float) -> None:
    start(context, one_target(checkpoints=True), work, ran)


@given("a hanging job of {work:g} seconds that has run for {ran:g} seconds")
def start_hanging(context: Context, work: float, ran: float) -> None:
    context.world = MovingWorld()
    context.world.hanging.add(f"{JOB}.0.0.0")
    start(context, one_target(), work, ran)


@given("a gang of {count:d} tasks of {work:g} seconds that has run for {ran:g} seconds")
def start_gang(context: Context, count: int, work: float, ran: float) -> None:
    start(context, one_target(count, gang=True), work, ran)


@given("{count:d} targets and a job of {work:g} seconds that has run for {ran:g} seconds")
def start_among(context: Context, count: int, work: float, ran: float) -> None:
    context.world = MovingWorld(targets=count)
    start(context, one_target(), work, ran)


@given(
    "a job of 5 tasks of {work:g} seconds, at most 2 on one of 3 targets, that has run for "
    "{ran:g} seconds"
)
def start_limited(context: Context, work: float, ran: float) -> None:
    context.world = MovingWorld(targets=3)
    step = Step(5, Resources(1000, 1000, 1), per_target=2)
    start(context, step, work, ran)


def tasks_by_target(world: MovingWorld) -> list[int]:
    """The number of the job's tasks on each target."""
    return [sum(task.startswith(JOB) for task in target.running) for target in world.targets]


@when("a target with 2 of its tasks leaves in {seconds:g} seconds")
def leave_full(context: Context, seconds: float) -> None:
    world = context.world
    context.most_tasks = []
    deliver = world.deliver

    def deliver_and_count(instant_stops: bool = True) -> None:
        deliver(instant_stops)
        context.most_tasks.append(max(tasks_by_target(world)))

    world.deliver = deliver_and_count
    world.leave(tasks_by_target(world).index(2), seconds)


@then("no target has run more than 2 of its tasks at once")
def check_limit_kept(context: Context) -> None:
    assert context.most_tasks and max(context.most_tasks) <= 2, context.most_tasks


@given("a second job of {work:g} seconds that has run for {ran:g} seconds")
def start_second(context: Context, work: float, ran: float) -> None:
    context.world.submit("second", one_target(), work)
    context.world.settle()
    context.world.pass_time(ran)


@given("other work on all other targets, and a hanging job of {work:g} seconds")
def start_hanging_without_room(context: Context, work: float) -> None:
    start_hanging(context, work, 0.0)
    fill(context)


@given(
    "a covered job on all targets but two, and a job of {work:g} seconds that has run for "
    "{ran:g} seconds"
)
def start_beside_covered(context: Context, work: float, ran: float) -> None:
    context.world = MovingWorld()
    context.world.submit("covered", one_target(2), LONG_S, queue="urgent", organisation="sure")
    start(context, one_target(), work, ran)


@given(
    "a job of {work:g} seconds that has run for {ran:g} seconds, on a target {slowdown:g} times "
    "as slow"
)
def start_on_slow_target(context: Context, work: float, ran: float, slowdown: float) -> None:
    start(context, one_target(), work, 0.0)
    context.world.work_s[JOB] *= slowdown
    context.world.pass_time(ran)
    slow_down(context, slowdown)


@given(
    "an urgent job expected to take {expected:g} seconds that takes {work:g}, on a target "
    "{slowdown:g} times as slow"
)
def start_long_on_slow_target(
    context: Context, expected: float, work: float, slowdown: float
) -> None:
    start(context, one_target(), expected, 0.0, queue="urgent")
    context.world.work_s[JOB] = work * slowdown
    slow_down(context, slowdown)


def slow_down(context: Context, slowdown: float) -> None:
    """Let the job's run count as slowed down, as the owner's model of target speeds does."""
    context.slowdown = slowdown
    world: MovingWorld = context.world
    for active in world.core.jobs[JobId(JOB)].active_runs.values():
        active.slowdown = slowdown
    context.target = world.targets_of(JOB)[0]


@when("its new target turns out to be as slow")
def slow_down_new_target(context: Context) -> None:
    slow_down(context, context.slowdown)


@when("the operators' topic has not been read lately")
def hold_placement(context: Context) -> None:
    gate = context.world.core.zone_gate
    context.gate = mock.patch.object(gate, "is_current", lambda now: False)
    context.gate.start()


@when("the operators' topic is read again")
def release_placement(context: Context) -> None:
    context.gate.stop()


@given("other work on all other targets")
def fill_all(context: Context) -> None:
    fill(context)


@given("other work on all other targets but one")
def fill_but_one(context: Context) -> None:
    fill(context, 1)


@given("urgent work on all targets but one, which leaves in {seconds:g} seconds without draining")
def fill_but_leaving(context: Context, seconds: float) -> None:
    context.world = MovingWorld()
    fill(context, 1, queue="urgent")
    (target,) = free_targets(context.world)
    target.keeps_accepting = True
    context.world.leave(target.number, seconds)
    context.world.settle()


@given("stops take {seconds:g} seconds")
@given("stops take {seconds:g} second")
def slow_stops(context: Context, seconds: float) -> None:
    context.world.stop_s = seconds


@when("its target leaves in {seconds:g} seconds")
def leave(context: Context, seconds: float) -> None:
    context.world.leave(context.target.number, seconds)


@when("the target of one member leaves in {seconds:g} seconds")
def leave_member(context: Context, seconds: float) -> None:
    leave(context, seconds)


@when("the target of the second job leaves in {seconds:g} seconds")
def leave_second(context: Context, seconds: float) -> None:
    (target,) = context.world.targets_of("second")
    context.world.leave(target.number, seconds)


@when("the reserved target leaves in {seconds:g} seconds")
def leave_reserved(context: Context, seconds: float) -> None:
    context.world.leave(reserved_target(context).number, seconds)


@when("each target that it runs on leaves in {seconds:g} seconds, {times:d} times in turn")
def leave_in_turn(context: Context, seconds: float, times: int) -> None:
    for _ in range(times):
        (target,) = context.world.targets_of(JOB)
        if target.leaves_at is None:
            context.world.leave(target.number, seconds)
        context.world.pass_time(1.5)


@when("the reserved target crashes")
def crash_reserved(context: Context) -> None:
    context.crashed = reserved_target(context)
    context.world.crash_target(context.crashed)


@when("its target crashes")
def crash(context: Context) -> None:
    context.reserved = reserved_target(context)
    context.world.crash_target(context.target)


@when("the fleet runs on for {seconds:g} s")
def pass_time(context: Context, seconds: float) -> None:
    context.world.pass_time(seconds)


@when("work of another target ends")
def end_other(context: Context) -> None:
    task = next(
        task
        for target in context.world.targets
        for task in target.running
        if task.startswith("other")
    )
    context.world.done_s[task] = LONG_S


@when("4 more jobs of its own and of lower priority are submitted")
def submit_more(context: Context) -> None:
    for number, queue in enumerate(("usual", "usual", "least", "least")):
        context.world.submit(f"more{number}", one_target(), 30.0, queue=queue)


@when("an urgent job within its guarantee of 24 accelerators is submitted")
def submit_covered(context: Context) -> None:
    context.world.submit("urgent", one_target(), 5.0, queue="urgent", organisation="sure")


@when('a job "{name}" of {work:g} seconds is submitted')
def submit(context: Context, name: str, work: float) -> None:
    context.world.submit(name, one_target(), work)


@when('an urgent job "{name}" of {work:g} seconds is submitted')
def submit_urgent(context: Context, name: str, work: float) -> None:
    context.world.submit(name, one_target(), work, queue="urgent")


@when('a gang "{name}" of {count:d} tasks of {work:g} seconds is submitted')
def submit_gang(context: Context, name: str, count: int, work: float) -> None:
    context.world.submit(name, one_target(count, gang=True), work)


@when("another owner takes over")
def take_over(context: Context) -> None:
    context.world.take_over()


@when("the moving job is cancelled")
def cancel(context: Context) -> None:
    world: MovingWorld = context.world
    world.cancelled.add(JobId(JOB))
    stored = StoredJob(world.jobs[JobId(JOB)], True)
    world.core.load_job(stored, world.now, world.unix_now)


@when("the store goes away")
def lose_store(context: Context) -> None:
    context.world.is_away = True


@when("the store is back")
def regain_store(context: Context) -> None:
    context.world.is_away = False


@then("the job is done, and no run of it was stopped")
def check_done(context: Context) -> None:
    assert context.world.phases.get(JOB) is JobPhase.COMPLETED
    assert context.world.stops(JOB) == 0


@then("no run of the job was stopped")
def check_not_stopped(context: Context) -> None:
    assert context.world.stops(JOB) == 0


@then('no run of the job "{name}" was stopped')
def check_job_not_stopped(context: Context, name: str) -> None:
    assert context.world.stops(name) == 0


@then("the job runs on a target that stays")
def check_runs_on_staying(context: Context) -> None:
    check_job_runs_on_staying(context, JOB)


@then('the job "{name}" runs on a target that stays')
def check_job_runs_on_staying(context: Context, name: str) -> None:
    (target,) = context.world.targets_of(name)
    assert target.leaves_at is None and target.down_until is None


@then("the job runs on another target")
def check_runs_elsewhere(context: Context) -> None:
    (target,) = context.world.targets_of(JOB)
    assert target is not context.target


@then("the job runs on the reserved target, as its second run")
def check_runs_on_reserved(context: Context) -> None:
    (target,) = context.world.targets_of(JOB)
    assert target is context.reserved
    assert [run for _, run in context.world.starts(JOB)].count(2) == 1


@then("all {count:d} tasks run on targets that stay, with one run number")
def check_gang_runs(context: Context, count: int) -> None:
    targets = context.world.targets_of(JOB)
    assert len(targets) == count and all(target.leaves_at is None for target in targets)
    runs = {row.run for target in targets for row in target.running.values()}
    assert runs == {2}, runs


@then("all {count:d} runs were stopped in one pass")
def check_stopped_together(context: Context, count: int) -> None:
    times = [at for name, _, at in context.world.timed_events if name == "run stopped"]
    assert len(times) == count and len(set(times)) == 1, times


@then('the job "{name}" runs')
def check_runs(context: Context, name: str) -> None:
    assert context.world.targets_of(name)


@then("the urgent job runs beside it")
def check_urgent_runs(context: Context) -> None:
    check_runs(context, "urgent")


@then('the job "{name}" does not run')
def check_does_not_run(context: Context, name: str) -> None:
    assert not context.world.targets_of(name)


@then("no work was thrown away")
def check_nothing_lost(context: Context) -> None:
    assert context.world.lost_core_s == 0, context.world.lost_core_s
    assert not context.world.logged("run lost")


@then("the job was started once")
def check_started_once(context: Context) -> None:
    assert len(context.world.starts(JOB)) == 1


@then("the job was started twice")
def check_started_twice(context: Context) -> None:
    assert sorted(run for _, run in context.world.starts(JOB)) == [1, 2]


@then("{count:d} unit was moved for the reason {reason}")
@then("{count:d} units were moved for the reason {reason}")
def check_moves(context: Context, count: int, reason: str) -> None:
    moves = context.world.counts[f'moves{{reason="{reason}"}}']
    assert moves == count, context.world.counts


@then("the counter {name} is {count:d}")
def check_counter(context: Context, name: str, count: int) -> None:
    assert context.world.counts[name] == count, context.world.counts


@then("the log says what the move cost and saved")
def check_log(context: Context) -> None:
    (line,) = context.world.logged("unit moved")
    cores = WHOLE_TARGET.core_equivalents
    # It has run for 8 seconds, and would have run on for 4.
    assert abs(float(str(line["cost_core_s"])) - 8 * cores) <= 2 * TICK_S * cores, line
    assert abs(float(str(line["saved_core_s"])) - 4 * cores) <= 2 * TICK_S * cores, line


@given("a full fleet of 60 targets and more work that waits")
def create_full_fleet(context: Context) -> None:
    world = context.world = MovingWorld(targets=60)
    # The numbers of the targets that hold them follow this order, as targets fill up in turn.
    for number in range(5):
        world.submit(f"saved{number}", one_target(4, checkpoints=True), 30.0, queue="least")
        world.submit(f"short{number}", one_target(4), 7.0)
        world.submit(f"gang{number}", one_target(2, gang=True), 20.0)
        world.submit(f"long{number}", one_target(2), 12.0)
        world.settle()
    assert not free_targets(world)
    for number in range(20):
        world.submit(f"waiting{number}", one_target(2), 6.0, queue="least")
    world.pass_time(4.0)


@when("six of the targets announce that they leave in 4 seconds")
def leave_together(context: Context) -> None:
    world: MovingWorld = context.world
    for job in ("saved0", "short1", "gang1", "gang2", "long0", "long3"):
        world.leave(world.targets_of(job)[0].number, 4.0)


@when("an urgent job within its guarantee is submitted each second, for {seconds:d} seconds")
def submit_covered_each_second(context: Context, seconds: int) -> None:
    context.waits = run_covered_jobs(context.world, seconds)


def run_covered_jobs(world: MovingWorld, seconds: int) -> dict[str, float]:
    """Submit a covered job each second; how long each waited for its start, in seconds."""
    submitted: dict[str, float] = {}
    waits: dict[str, float] = {}
    for tick in range(round((seconds + 4) / TICK_S)):
        if tick % 4 == 0 and tick * TICK_S < seconds:
            name = f"urgent{tick // 4}"
            submitted[name] = world.now
            world.submit(name, one_target(), 2.0, queue="urgent", organisation="sure")
        world.pass_time(TICK_S)
        for name, at in submitted.items():
            if world.starts(name):
                waits.setdefault(name, world.now - at)
    assert waits.keys() == submitted.keys(), submitted.keys() - waits.keys()
    return waits


@then("no run with checkpoints was lost")
def check_no_checkpoint_lost(context: Context) -> None:
    lost = [str(line["task"]) for line in context.world.logged("run lost")]
    assert not any(task.startswith("saved") for task in lost), lost


@then("no run that could end before its target left was stopped")
def check_no_ending_run_stopped(context: Context) -> None:
    stopped = [
        line["task"]
        for line in context.world.logged("run stopped")
        if str(line["task"]).startswith("short") and "drains" in str(line["why"])
    ]
    assert not stopped, stopped


def stopped_without_checkpoints(world: MovingWorld) -> list[tuple[str, float]]:
    """Task and time of each run without checkpoints that was stopped on a leaving target."""
    return [
        (task, at)
        for name, fields, at in world.timed_events
        if name == "run stopped"
        and "drains" in str(fields["why"])
        and not (task := str(fields["task"])).startswith("saved")
    ]


def moved_jobs(world: MovingWorld) -> set[tuple[str, float]]:
    """Job and time of each unit that was moved to reserved room."""
    return {
        (str(fields["job"]), at) for name, fields, at in world.timed_events if name == "unit moved"
    }


@then("each run without checkpoints that was moved started again within 2 seconds")
def check_moved_runs_start_again(context: Context) -> None:
    world: MovingWorld = context.world
    moved = moved_jobs(world)
    for task, at in stopped_without_checkpoints(world):
        starts = [t for t, task_started, _ in world.starts_at if task_started == task and t > at]
        assert starts, (task, at)
        if (task.partition(".")[0], at) in moved:
            assert starts[0] - at <= 2.0, (task, at, starts)


@then("no other run without checkpoints was stopped that might have ended in time")
def check_only_hopeless_stopped(context: Context) -> None:
    world: MovingWorld = context.world
    moved = moved_jobs(world)
    lines = {
        (str(fields["job"]), at): fields
        for name, fields, at in world.timed_events
        if name == "unit stopped without room elsewhere"
    }
    for task, at in stopped_without_checkpoints(world):
        job = (task.partition(".")[0], at)
        if job not in moved:
            line = lines[job]
            assert 0.6 * float(str(line["remaining_s"])) > float(str(line["left_s"])) - 0.5, line


@then("each urgent job started within its time")
def check_waits(context: Context) -> None:
    assert max(context.waits.values()) <= context.world.core.bounds.reclaim_s, context.waits


@given(
    "a half-full fleet of 60 targets, whose first half is replaced by {count:d} targets each second"
)
def create_rollout(context: Context, count: int) -> None:
    world = context.world = MovingWorld(targets=60)
    world.submit("usual", one_target(30, checkpoints=True), LONG_S, queue="least")
    world.settle()
    # Best fit takes equal targets in order, so the ones that are replaced next would be taken next.
    replaced = [target.number for target in world.targets if not target.running]
    context.replaced_in = {number: index // count + 1 for index, number in enumerate(replaced)}


@when("an urgent job of 3 seconds is submitted each half second for {seconds:d} seconds")
def submit_during_rollout(context: Context, seconds: int) -> None:
    world: MovingWorld = context.world
    context.submitted = {}
    for half_second in range(2 * seconds + 12):
        second = half_second / 2
        for number, at in context.replaced_in.items():
            if at == second:
                world.leave(number, 1.75, returns_after_s=0.5)
        if second < seconds:
            name = f"urgent{half_second}"
            context.submitted[name] = (second, world.unix_now)
            world.submit(name, one_target(), 3.0, queue="urgent")
        world.pass_time(0.5)


@then("from second {second:d} on, no run of an urgent job was stopped or lost")
def check_no_urgent_departures(context: Context, second: int) -> None:
    names = {name for name, (at, _) in context.submitted.items() if at >= second}
    hit = [
        (name, fields["task"])
        for name, fields in context.world.events
        if name in ("run stopped", "run lost") and str(fields["task"]).partition(".")[0] in names
    ]
    assert names and not hit, hit


@then("from second {second:d} on, every urgent job is done in time")
def check_urgent_in_time(context: Context, second: int) -> None:
    for name, (at, submitted_at) in context.submitted.items():
        took_s = context.world.ended_unix[name] - submitted_at
        assert at < second or took_s <= 1.5 * 3.0 + 0.4, (name, at, took_s)


@then("no unit was moved more than {count:d} times")
def check_move_counts(context: Context, count: int) -> None:
    moved = [str(line["job"]) for line in context.world.logged("unit moved")]
    assert all(moved.count(name) <= count for name in moved if name.startswith("urgent")), moved


@given("{targets:d} targets, which are replaced by {count:d} each second")
def create_fast_rollout(context: Context, targets: int, count: int) -> None:
    context.world = MovingWorld(targets=targets)
    context.departures = {(1.0 + number // count, number) for number in range(targets)}
    context.notice_s, context.returns_after_s = 1.75, 0.5


@given("a fleet with slow departures")
def create_slow_departures(context: Context) -> None:
    context.world = MovingWorld(targets=6)
    # The first targets in the order of placement leave last.
    context.departures = {(2.0 * (6 - number), number) for number in range(2, 6)}
    context.notice_s, context.returns_after_s = 1.75, None


@given("a fleet with departures at once")
def create_departures_at_once(context: Context) -> None:
    context.world = MovingWorld(targets=12)
    context.departures = {(1.0, number) for number in range(6, 12)}
    context.notice_s, context.returns_after_s = 1.75, None


@given("a fleet with targets that flap")
def create_flapping_targets(context: Context) -> None:
    context.world = MovingWorld(targets=6)
    context.departures = {
        (0.5 * number + 1.25 * times, number) for number in range(3, 6) for times in range(10)
    }
    context.notice_s, context.returns_after_s = 0.25, 0.25


@when("an urgent job of {work:g} seconds is submitted after {delay:g} seconds of the rollout")
def submit_in_rollout(context: Context, work: float, delay: float) -> None:
    world: MovingWorld = context.world
    for tick in range(round((delay + 2.0 * work) / TICK_S)):
        second = tick * TICK_S
        for at, number in context.departures:
            if at == second:
                world.leave(number, context.notice_s, context.returns_after_s)
        if second == delay:
            context.submitted_at = world.now
            context.submitted_unix = world.unix_now
            world.submit("urgent", one_target(), work, queue="urgent")
        world.pass_time(TICK_S)


@then("it is done in time by its first run, on a target that was replaced")
def check_done_on_replaced(context: Context) -> None:
    world: MovingWorld = context.world
    ((_, run),) = world.starts("urgent")
    (line,) = [line for line in world.logged("unit placed") if line["job"] == "urgent"]
    assert run == 1 and str(line["targets"][0]).endswith("-2"), line  # type: ignore[index]
    assert world.ended_unix["urgent"] - context.submitted_unix <= 1.5 * 3.0 + 0.4


@then("it starts at once, on a target that stays")
def check_starts_at_once(context: Context) -> None:
    (at,) = [at for at, task, _ in context.world.starts_at if task.startswith("urgent")]
    assert at - context.submitted_at <= 2 * TICK_S, at - context.submitted_at
