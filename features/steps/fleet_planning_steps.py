"""Steps for the owner's run time estimates, guarantees and preemption costs."""

from collections import Counter

import msgspec
from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.guarantee import covered_jobs
from comfreyshelf.fleet.jobs import EndKind, Resources, RunningRow, RunNumber, TaskName
from comfreyshelf.fleet.moves.preemption_cost import make_victim
from comfreyshelf.fleet.placement.candidate_target import CandidateTarget
from comfreyshelf.fleet.placement.placing import WAIT_COST_CORE_S, PlacementLimits, PlanningCapacity
from comfreyshelf.fleet.tracked_job import Outlook, Unit
from comfreyshelf.ids import JobId, ServiceId
from features.owner_world import CONFIG, SERVICE, World, step


@given("an owner with 4 targets of 8 accelerators")
def create_owner(context: Context) -> None:
    context.world = World()


@given("two of the targets belong to another service")
def assign_other_service(context: Context) -> None:
    for target in context.world.targets[:2]:
        target.service = ServiceId("other")
    context.world.settle()


@when("a job of 4 tasks of 8 accelerators is submitted")
def submit_four_tasks(context: Context) -> None:
    context.world.accept("job", (step(4),))
    context.world.settle()


@then("it runs on the two targets of its own service only")
def runs_on_own_service(context: Context) -> None:
    assert [bool(target.running) for target in context.world.targets] == [False, False, True, True]


@given("less urgent work on all targets, one run of which is about to end")
def fill_targets_with_ending_run(context: Context) -> None:
    world = context.world
    world.accept("usual", (step(4),))
    world.settle()
    world.wait(10)
    context.ending = world.targets[0]
    (row,) = context.ending.running.values()
    context.ending.running[row.task] = RunningRow(row.task, row.run, "", 98)
    world.run_round()


@when("an urgent job within its guarantee is submitted")
def submit_covered_job(context: Context) -> None:
    context.world.accept("urgent", (step(1),), queue="urgent", organisation="sure")
    context.world.settle()


@when("an urgent job within its guarantee is submitted, and that run goes on for 2 seconds")
def submit_covered_job_and_wait(context: Context) -> None:
    submit_covered_job(context)
    context.world.wait(2, progress=False)


@when("an urgent job of less than half a second is submitted")
def submit_short_covered_job(context: Context) -> None:
    short = msgspec.structs.replace(step(1), estimate_ms=400)
    context.world.accept("urgent", (short,), queue="urgent", organisation="sure")
    context.world.settle()


@then("no run is stopped, and the urgent job starts when that run has ended")
def check_waits_for_end(context: Context) -> None:
    assert not any(target.ended for target in context.world.targets)
    assert not context.world.starts("urgent")
    context.ending.end(next(iter(context.ending.running)), EndKind.DONE)
    context.world.settle()
    assert context.world.starts("urgent") == [("urgent.0.0.0", 1)]


@then("a run has been stopped, and the urgent job runs")
def check_stopped_after_patience(context: Context) -> None:
    kinds = [end.kind for target in context.world.targets for end in target.ended]
    assert kinds == [EndKind.STOPPED], kinds
    assert context.world.starts("urgent")


@given("two equal runs on one target, one of which is the third run of its task")
def run_twice_stopped_task(context: Context) -> None:
    world = context.world
    world.accept("usual", (step(2, demand=Resources(1000, 1000, 4)),))
    world.settle()
    context.runs = sorted(
        (active for view in world.core.targets.values() for active in view.active_runs.values()),
        key=lambda active: active.task,
    )
    context.runs[0].run = RunNumber(3)


@then("the other one is stopped first")
def check_first_victim(context: Context) -> None:
    world = context.world
    first, second = (make_victim(run, world.now, world.unix_now) for run in context.runs)
    assert second.total_loss < first.total_loss


@given("a job of 1 task of 8 accelerators is nearly done, 58 of its 61 seconds used")
def run_until_nearly_done(context: Context) -> None:
    # The objective is 3 x 20 s + 1 s = 61 s; 58 s after its submission the run has 2 s left.
    context.world.accept("job", (step(1),))
    advance_run(context, 18, 5)
    context.world.accept("waiting", (step(5, gang=True),))
    context.world.core.jobs[JobId("job")].accepted_at -= 40
    context.world.core.jobs[JobId("waiting")].accepted_at -= 58


@then("the job counts as in time")
def counts_in_time(context: Context) -> None:
    context.world.run_round()
    job = context.world.core.jobs[JobId("job")]
    assert job.outlook(context.world.unix_now) is Outlook.IN_TIME


@then("a job that never started and was submitted with it counts as late")
def counts_late(context: Context) -> None:
    job = context.world.core.jobs[JobId("waiting")]
    assert job.outlook(context.world.unix_now) is Outlook.LATE


@given("a job of 1 task of 8 accelerators, estimated at 20 seconds, is submitted")
def submit_one_task(context: Context) -> None:
    context.world.accept("job", (step(1),))


def advance_run(context: Context, seconds: int, percent_a_second: int, first: int = 0) -> None:
    """Advance the job's run from `first` percent on, with one report a second."""
    world = context.world
    world.settle(3)
    target, row = world.run_of("job")
    for second in range(seconds + 1):
        percent = min(99, first + percent_a_second * second)
        target.running[row.task] = RunningRow(row.task, row.run, "", percent)
        if second:
            world.now += 1
        else:
            find_active_run(context).is_confirmed = False
        world.run_round()


def find_active_run(context: Context) -> ActiveRun:
    return next(
        active
        for view in context.world.core.targets.values()
        for active in view.active_runs.values()
        if active.tracked.job.id == "job"
    )


@when("its run makes 10 percent a second for 3 seconds")
def report_steady_progress(context: Context) -> None:
    advance_run(context, 3, 10)


@when("its run starts at 50 percent and makes 5 percent a second for 4 seconds")
def report_progress_from_checkpoint(context: Context) -> None:
    advance_run(context, 4, 5, first=50)


@then("the run is expected to end in {seconds:d} seconds")
def expected_to_end_in(context: Context, seconds: int) -> None:
    left_s = find_active_run(context).remaining_s(context.world.now)
    assert abs(left_s - seconds) < 0.5, left_s


@when("reports of 0, 30 and 60 percent, sent 5 seconds apart, arrive at the same time")
def receive_delayed_reports(context: Context) -> None:
    world = context.world
    world.settle(1)
    target, row = world.run_of("job")
    arrived = world.now + 10
    for late, percent in ((0, 0), (5, 30), (10, 60)):
        target.running[row.task] = RunningRow(row.task, row.run, "", percent)
        world.core.handle_report(target.report(world.now + late), arrived, world.unix_now)


@then("a task of the job is expected to take {seconds:d} seconds")
def expected_task_duration(context: Context, seconds: int) -> None:
    task_s = context.world.core.jobs[JobId("job")].task_duration_s(0)
    assert abs(task_s - seconds) < 0.5, task_s


@given("urgent jobs of 4 and of 1 tasks of an organisation with 24 guaranteed accelerators")
def submit_urgent_jobs(context: Context) -> None:
    context.world.accept("large", (step(4),), queue="urgent", organisation="sure")
    context.world.accept("small", (step(1),), queue="urgent", organisation="sure")


@then("only the small one is within the guarantee")
def only_small_job_covered(context: Context) -> None:
    world = context.world
    assert covered_jobs(world.core.jobs.values(), CONFIG, world.unix_now) == {JobId("small")}


@given("an urgent job of 2 tasks of 8 accelerators that must miss its objective")
def submit_late_urgent_job(context: Context) -> None:
    world = context.world
    world.settle()
    world.accept("late", (step(2),), queue="urgent")
    world.core.jobs[JobId("late")].accepted_at -= 60


@when("the owner plans")
def run_planning(context: Context) -> None:
    context.world.settle()


@then("both tasks of the late job run")
def both_late_tasks_run(context: Context) -> None:
    work = context.world.core.jobs[JobId("late")]
    assert work.outlook(context.world.unix_now) is Outlook.LATE
    assert len(context.world.starts("late")) == 2


@given("a target full of 8 small runs of one job that would miss its objective if stopped")
def fill_target_with_small_runs(context: Context) -> None:
    world = context.world
    world.accept("small", (step(8, demand=Resources(1000, 1000, 1)),))
    world.settle()
    context.full_target = world.run_of("small")[0]
    assert len(context.full_target.running) == 8
    # The objective is 3 x 20 s + 1 s = 61 s; a second start after 42 s would miss it.
    world.core.jobs[JobId("small")].accepted_at -= 40.8


@then("room for one task of 8 accelerators costs their work and the loss of one late job")
def lateness_counts_once(context: Context) -> None:
    world = context.world
    view = world.core.targets[context.full_target.id]
    victims = [
        make_victim(active, world.now, world.unix_now) for active in view.active_runs.values()
    ]
    assert all(victim.lateness_loss > 0 for victim in victims)
    slot = CandidateTarget(
        view.announcement, Resources(64000, 262144, 0), list_victims=lambda: victims
    )
    unit = Unit(SERVICE, step(1), 0, 0, (TaskName("0.0.0"),))
    choice = PlanningCapacity({view.id: slot}).find_assignment(
        unit, set(), lambda target: 0, PlacementLimits(0, True)
    )
    assert choice is not None and len(choice.victims) == 8
    work_lost = sum(victim.lost_work for victim in victims)
    assert (
        abs(choice.cost - WAIT_COST_CORE_S - work_lost - victims[0].lateness_loss) < 1e-6
    ), choice.cost


@given("less urgent work on all targets")
def fill_all_targets(context: Context) -> None:
    context.world.accept("busy", (step(4),))
    context.world.settle()


@when("a less urgent job of 1 task of 8 accelerators is submitted and waits for 3 seconds")
def submit_waiting_job(context: Context) -> None:
    context.log_lines = []
    context.world.core.log_event = lambda event, **fields: context.log_lines.append((event, fields))
    context.world.accept("job", (step(1),))
    context.world.wait(3)


@then("one line says that it waits for room")
def one_waiting_line(context: Context) -> None:
    lines = [fields for event, fields in context.log_lines if event == "unit waits"]
    assert [(line["job"], line["why"]) for line in lines] == [("job", "no room")], lines


def start_gang(context: Context) -> None:
    context.world.accept("gang", (step(2, gang=True, same_rack=True),))
    context.world.settle()
    context.members = [
        (target, row)
        for target in context.world.targets
        for row in target.running.values()
        if row.task.startswith("gang")
    ]


def report_percent(context: Context, member: int, percent: int) -> None:
    target, row = context.members[member]
    if row == target.running.get(row.task):
        context.members[member] = (target, RunningRow(row.task, row.run, "", percent))
        target.running[row.task] = context.members[member][1]


@given("a gang of 2 tasks, one of which is at 100 percent while the other still works")
def start_gang_with_working_member(context: Context) -> None:
    start_gang(context)
    context.percent_a_second = 2


@given("a gang of 2 tasks, one of which is at 100 percent while the other makes no progress")
def start_gang_with_stalled_member(context: Context) -> None:
    start_gang(context)
    context.percent_a_second = 0


@when("20 more seconds pass")
def pass_twenty_seconds(context: Context) -> None:
    for second in range(20):
        context.world.now += 1
        report_percent(context, 0, 100)
        report_percent(context, 1, 20 + context.percent_a_second * second)
        context.world.run_round()


@then("no member of the gang was stopped")
def gang_not_stopped(context: Context) -> None:
    assert not any(target.ended for target in context.world.targets)
    assert {run for _, run in context.world.starts("gang")} == {1}


@then("the gang was stopped and has started again")
def gang_restarted(context: Context) -> None:
    assert {1, 2} <= {run for _, run in context.world.starts("gang")}


@given("a target that holds both members of a gang")
def place_gang_on_one_target(context: Context) -> None:
    world = context.world
    world.accept("gang", (step(2, gang=True, demand=Resources(1000, 1000, 4)),))
    world.settle()
    context.full_target = world.run_of("gang")[0]
    assert len(context.full_target.running) == 2


@then("room for one task of 8 accelerators costs the work of the gang once")
def gang_loss_counts_once(context: Context) -> None:
    world = context.world
    view = world.core.targets[context.full_target.id]
    victims = [
        make_victim(active, world.now, world.unix_now) for active in view.active_runs.values()
    ]
    slot = CandidateTarget(
        view.announcement, Resources(64000, 262144, 0), list_victims=lambda: victims
    )
    unit = Unit(SERVICE, step(1), 0, 0, (TaskName("0.0.0"),))
    choice = PlanningCapacity({view.id: slot}).find_assignment(
        unit, set(), lambda target: 0, PlacementLimits(0, True)
    )
    assert choice is not None and len(choice.victims) == 2
    assert abs(choice.cost - WAIT_COST_CORE_S - victims[0].total_loss) < 1e-6, choice.cost


@given("8 targets, and 64 tasks of the lowest priority that hold all of their 64 accelerators")
def fill_with_least(context: Context) -> None:
    context.world = World(targets=8)
    demand = Resources(1000, 1000, 1)
    context.world.accept("least", (step(64, demand=demand, checkpoints=True),), queue="least")
    context.world.settle()
    assert all(len(target.running) == 8 for target in context.world.targets)


@when("a unit of 8 accelerators has waited until it may stop runs, beside a gang that may not")
def wait_beside_gang(context: Context) -> None:
    world = context.world
    context.stopped = []
    world.core.log_event = lambda event, **fields: (
        context.stopped.append(fields) if event == "run stopped" else None
    )
    # It has 25 s of slack at first, and may stop runs with less than 6 s.
    world.accept("tall", (msgspec.structs.replace(step(1), estimate_ms=12_000),))
    world.wait(16.5)
    # The gang is wider than one target, and in time for 5 s.
    small = step(5, demand=Resources(1000, 1000, 2), gang=True, same_rack=True)
    world.accept("wide", (msgspec.structs.replace(small, estimate_ms=2000),))
    world.wait(4.0)


@then("it starts once the 8 runs that were stopped for it have ended, and no others are stopped")
def check_freed_room(context: Context) -> None:
    stopped = Counter((fields["target"], fields["why"]) for fields in context.stopped)
    assert list(stopped.values()) == [8], stopped
    target, _ = context.world.run_of("tall")
    assert stopped == {(target.id, "preempted by more urgent work, for tall"): 8}, stopped
