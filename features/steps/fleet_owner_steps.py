"""Steps for the owner's decisions, with simulated clocks and targets."""

import random
from collections import Counter

import msgspec
from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet.job_table import StoredJob
from comfreyshelf.fleet.jobs import (
    EndKind,
    JobPhase,
    Resources,
    RunningRow,
    split_full_name,
)
from comfreyshelf.fleet.tracked_job import Outlook
from comfreyshelf.ids import (
    JobId,
)
from features.owner_world import CONFIG, FakeTarget, World, step


@given("4 targets of 8 accelerators, two in each rack")
def create_owner_and_targets(context: Context) -> None:
    context.world = World()


@when("a job of {count:d} task of 8 accelerators is accepted")
def accept_job(context: Context, count: int) -> None:
    context.world.accept("job", (step(count),))


@given("a job of 1 task of 8 accelerators runs")
def start_job(context: Context) -> None:
    context.world.accept("job", (step(1),))
    context.world.settle()
    context.ran_on = context.world.run_of("job")[0]


@given("a checkpointing job of 1 task of 8 accelerators runs")
def start_checkpointing_job(context: Context) -> None:
    context.world.accept("job", (step(1, checkpoints=True),))
    context.world.settle()
    context.ran_on = context.world.run_of("job")[0]


@then("no start is ordered until the change is stored")
def check_start_follows_store(context: Context) -> None:
    core = context.world.core
    context.world.report()
    core.plan(context.world.now, context.world.unix_now)
    assert core.changes()
    assert not any(core.orders_for(view).starts for view in core.targets.values())
    context.world.store()
    assert sum(len(core.orders_for(view).starts) for view in core.targets.values()) == 1


@when("its run ends as done")
def end_run_as_done(context: Context) -> None:
    target, row = context.world.run_of("job")
    target.end(row.task, EndKind.DONE)
    context.world.report()


@then("the end is acknowledged only after the change is stored")
def check_acknowledgement_follows_store(context: Context) -> None:
    core = context.world.core
    view = core.targets[context.ran_on.id]
    assert core.orders_for(view).acknowledged == 0
    context.world.store()
    assert core.orders_for(view).acknowledged == 1


@when("a job of a gang of {count:d} tasks of 8 accelerators is accepted")
def accept_gang(context: Context, count: int) -> None:
    context.world.accept("job", (step(count, gang=True, same_rack=True),))
    context.world.settle()


@given("a job of a gang of 2 tasks of 8 accelerators runs")
def start_gang(context: Context) -> None:
    accept_gang(context, 2)


@then("both tasks are ordered with one run number in one rack")
def check_gang_runs_in_one_rack(context: Context) -> None:
    used = [target for target in context.world.targets if target.running]
    assert len(used) == 2 and len({target.number // 2 for target in used}) == 1, used
    assert {run for _, run in context.world.starts("job")} == {1}


@then("no start is ordered")
def check_nothing_ordered(context: Context) -> None:
    assert not context.world.starts("job")


@when("one run of it ends as failed")
def fail_gang_member(context: Context) -> None:
    target, row = context.world.run_of("job")
    target.end(row.task, EndKind.FAILED)


@then("the other member is stopped, and both start again with run 2 once it has ended")
def check_gang_restarts_whole(context: Context) -> None:
    context.world.settle(2, instant_stops=False)
    assert {run for _, run in context.world.starts("job")} == {1}
    context.world.settle()
    assert Counter(run for _, run in context.world.starts("job")) == {1: 2, 2: 2}


@when("its runs end as failed until the job ends")
def fail_all_runs(context: Context) -> None:
    for _ in range(5):
        running = [(t, r) for t in context.world.targets for r in list(t.running.values())]
        for target, row in running:
            target.end(row.task, EndKind.FAILED)
        context.world.settle()


@then("2 runs were ordered, on different targets, and the job has failed")
def check_job_failed_after_attempts(context: Context) -> None:
    used = [target.id for target in context.world.targets for _ in target.started]
    assert len(used) == 2 and len(set(used)) == 2, used
    assert context.world.log[JobId("job")].phase is JobPhase.FAILED


@given("less urgent jobs fill all targets, the last one just started")
def fill_targets(context: Context) -> None:
    for number in range(4):
        context.world.accept(f"job{number}", (step(1),))
        context.world.settle()
        context.world.wait(3)


@when("an urgent job of 1 task of 8 accelerators is accepted")
def accept_urgent_job(context: Context) -> None:
    context.world.accept("urgent", (step(1),), queue="urgent", organisation="sure")


@then("only the youngest run is stopped, and the urgent job starts when it has ended")
def check_youngest_run_stopped(context: Context) -> None:
    context.world.settle(2, instant_stops=False)
    assert not context.world.starts("urgent")
    context.world.settle()
    assert context.world.starts("urgent")
    stopped = [split_full_name(end.task)[0] for t in context.world.targets for end in t.ended]
    assert stopped == ["job3"], stopped


@when("its VM reports a new target")
def replace_target(context: Context) -> None:
    old = context.ran_on
    context.world.targets.remove(old)
    new = FakeTarget(old.number, 2, old.machine)
    new.started = list(old.started)
    context.world.targets.append(new)
    context.world.settle()


@given("a new owner takes over")
@when("a new owner takes over")
def elect_new_owner(context: Context) -> None:
    context.world.take_over()


@given("its caller cancels the job while there is no owner")
def cancel_without_owner(context: Context) -> None:
    context.world.cancelled.add(JobId("job"))


@then("the job's end is recorded in wall-clock time")
def check_end_time_is_wall_clock(context: Context) -> None:
    progress = context.world.log[JobId("job")]
    assert progress.phase is JobPhase.CANCELLED
    assert abs(progress.ended_at - context.world.unix_now) < 60, progress.ended_at


@when("its target process has restarted and has not listed its runs yet")
def report_without_run_list(context: Context) -> None:
    world = context.world
    report = context.ran_on.report(world.now)
    unknown = msgspec.structs.replace(report, lists_known=False, running=())
    world.core.handle_report(unknown, world.now, world.unix_now)
    world.core.plan(world.now, world.unix_now)
    world.store()


@then("no start is sent to it")
def check_no_start_sent(context: Context) -> None:
    core = context.world.core
    assert not core.orders_for(core.targets[context.ran_on.id]).starts


@then("the task is ordered again with run 2")
def check_second_run_ordered(context: Context) -> None:
    assert sorted(run for _, run in context.world.starts("job")) == [1, 2]


@then("the task is not ordered again")
def check_no_second_run(context: Context) -> None:
    assert [run for _, run in context.world.starts("job")] == [1]


@when("its target is silent for {seconds:d} seconds")
@when("its target is silent for {seconds:d} more second")
def silence_target(context: Context, seconds: int) -> None:
    context.world.silent.add(context.ran_on.id)
    context.world.wait(seconds)


@when("the lost run is reported as done")
def report_late_end(context: Context) -> None:
    assert sorted(run for _, run in context.world.starts("job")) == [1, 2]
    context.world.silent.clear()
    task = next(iter(context.ran_on.running))
    context.ran_on.end(task, EndKind.DONE)
    context.world.settle()


@then("the job is completed and the second run is stopped")
def check_second_run_stopped(context: Context) -> None:
    assert context.world.log[JobId("job")].phase is JobPhase.COMPLETED
    assert not any(target.running for target in context.world.targets)


@when("its target drains")
def drain_target(context: Context) -> None:
    context.ran_on.draining = True
    context.world.settle()


@then("its run is stopped, and starts elsewhere from the checkpoint")
def check_resumed_elsewhere(context: Context) -> None:
    target, row = context.world.run_of("job")
    assert target is not context.ran_on and row.run == 2
    assert target.checkpoints == ["stopped-here"], target.checkpoints


@when("its progress stalls for 9 seconds")
def stall_progress(context: Context) -> None:
    context.world.wait(9, progress=False)


@then("its run is stopped and starts elsewhere")
def check_restarted_elsewhere(context: Context) -> None:
    target, row = context.world.run_of("job")
    assert target is not context.ran_on and row.run == 2


@given("an organisation with a guarantee of 24 accelerators uses 12 of them for urgent work")
def start_guaranteed_job(context: Context) -> None:
    demand = Resources(1000, 1000, 4)
    context.world.accept("urgent", (step(3, demand=demand),), queue="urgent", organisation="sure")
    context.world.settle()


@when("a least urgent job of {count:d} tasks of 1 accelerator is accepted")
def accept_least_urgent_job(context: Context, count: int) -> None:
    context.world.accept("least", (step(count, demand=Resources(1000, 1000, 1)),), queue="least")
    context.world.settle()


@then("at most 8 accelerators of it run")
def check_guarantee_kept_free(context: Context) -> None:
    assert len(context.world.starts("least")) == 8


@given("an organisation with a guarantee of 24 accelerators has had no urgent work")
def have_no_urgent_work(context: Context) -> None:
    assert max(organisation.guaranteed for organisation in CONFIG.organisations) == 24


@given("its last urgent job was accepted {seconds:d} seconds ago and has ended")
def end_urgent_job(context: Context, seconds: int) -> None:
    start_guaranteed_job(context)
    for target in context.world.targets:
        for task in list(target.running):
            target.end(task, EndKind.DONE)
    context.world.wait(seconds)


@then("all {count:d} tasks of it run at once")
def check_all_started(context: Context, count: int) -> None:
    assert len(context.world.starts("least")) == count


@when("a job of two dependent steps, to run twice 10 seconds apart, is accepted")
def accept_dependent_steps(context: Context) -> None:
    world = context.world
    steps = (step(1), step(1, after=(0,)))
    world.accept("job", steps, times=2, first_ms=int(world.unix_now * 1000), every_ms=10_000)
    world.settle()


@then("the first step of the first occurrence runs alone")
def check_only_first_step_runs(context: Context) -> None:
    assert [task for task, _ in context.world.starts("job")] == ["job.0.0.0"]


@then("the second step follows when it is done")
def check_second_step_follows(context: Context) -> None:
    target, row = context.world.run_of("job")
    target.end(row.task, EndKind.DONE)
    context.world.settle()
    assert {task for task, _ in context.world.starts("job")} == {"job.0.0.0", "job.0.1.0"}


@then("the second occurrence starts 10 seconds after the first")
def check_second_occurrence_on_time(context: Context) -> None:
    context.world.wait(9)
    assert len(context.world.starts("job")) == 2
    context.world.wait(2)
    assert ("job.1.0.0", 1) in context.world.starts("job")


@when("its caller cancels the job")
def cancel_job(context: Context) -> None:
    job = context.world.jobs[JobId("job")]
    context.world.core.load_job(StoredJob(job, True), context.world.now, context.world.unix_now)
    context.world.settle()


@then("its run is stopped, and no start is ordered after its end")
def check_run_stopped_for_good(context: Context) -> None:
    context.world.settle()
    assert not any(target.running for target in context.world.targets)
    assert len(context.world.starts("job")) == 1


@when("an urgent job is accepted by an entry whose clock is 60 seconds behind")
def accept_with_slow_clock(context: Context) -> None:
    world = context.world
    world.now += 1.0
    job = world.accept("urgent", (step(1),), queue="urgent", organisation="sure")
    late = msgspec.structs.replace(job, id=JobId("late"), accepted_at=job.accepted_at - 60)
    world.core.load_job(StoredJob(late), world.now, world.unix_now)


@then("it still counts as in time")
def check_counts_as_in_time(context: Context) -> None:
    assert context.world.core.jobs[JobId("late")].outlook(context.world.unix_now) is Outlook.IN_TIME


@when("a target lists a run that was never ordered")
def list_unknown_run(context: Context) -> None:
    target = context.world.targets[0]
    target.running["ghost.0.0.0"] = RunningRow("ghost.0.0.0", 1, "", 1)
    context.world.settle()


@then("that run is stopped")
def check_unknown_run_stopped(context: Context) -> None:
    assert not context.world.targets[0].running


def check_single_runs(world: World, done: set[str]) -> None:
    """Check that no task runs on two reachable targets, or after its end was acknowledged."""
    counts: Counter[str] = Counter()
    for target in world.targets:
        if target.id not in world.silent:
            counts.update(list(target.running))
    assert all(count == 1 for count in counts.values()), counts
    assert not done & set(counts), done & set(counts)


@when("400 random events from seed {seed:d} happen")
def apply_random_events(context: Context, seed: int) -> None:
    world, rng = context.world, random.Random(seed)
    failures: Counter[str] = Counter()
    done: set[str] = set()
    for number in range(400):
        match rng.randrange(7):
            case 0:
                gang_size = rng.choice((1, 2))
                shape = Resources(1000, 1000, rng.choice((1, 4, 8)))
                job_step = step(gang_size, gang=rng.random() < 0.5, demand=shape)
                world.accept(
                    f"j{number}",
                    (job_step,),
                    queue=rng.choice(("urgent", "usual", "least")),
                    organisation=rng.choice(("sure", "other")),
                )
            case 1 | 2:
                target = rng.choice(world.targets)
                if target.running and target.id not in world.silent:
                    task = rng.choice(list(target.running))
                    kind = rng.choice((EndKind.DONE, EndKind.DONE, EndKind.FAILED))
                    job, _ = split_full_name(task)  # type: ignore[arg-type]
                    reachable = [t for t in world.targets if t.id not in world.silent]
                    is_gang = world.jobs[job].steps[0].gang
                    target.end(task, kind)
                    failures[task] += kind is EndKind.FAILED
                    for other in reachable if is_gang else ():
                        for member in [m for m in other.running if m.startswith(f"{job}.")]:
                            other.end(member, kind if kind is EndKind.DONE else EndKind.BROKEN)
                    if kind is EndKind.DONE:
                        done.add(task)
            case 3:
                index = rng.randrange(4)
                old = world.targets[index]
                world.silent.discard(old.id)
                world.targets[index] = FakeTarget(old.number, old.born + 1, old.machine)
            case 4:
                world.targets[rng.randrange(4)].draining = rng.random() < 0.3
        world.now += rng.choice((0.1, 0.5))
        world.run_round(instant_stops=rng.random() < 0.7)
        check_single_runs(world, done)
    context.failure_counts = failures


@then("no task ran twice at the same time, after its end or beyond its attempt limit")
def check_attempt_limit(context: Context) -> None:
    assert context.world.core.jobs is not None
    assert max(context.failure_counts.values(), default=0) <= 2, context.failure_counts
