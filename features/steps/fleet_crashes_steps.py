"""Steps for runners that crash, seen by their target processes and by the owner."""

from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet.jobs import (
    EndedRow,
    EndKind,
    Incarnation,
    JobPhase,
    Resources,
    RunListing,
    RunningRow,
    Token,
)
from comfreyshelf.fleet.messages import CrashedRun, Orders, RunnerCrash, StartOrder
from comfreyshelf.fleet.order_executor import OrderExecutor
from comfreyshelf.fleet.store import ConnectionLostError, StoreSilentError
from comfreyshelf.fleet.target_runner import RefusedError
from comfreyshelf.ids import JobId, TargetId
from comfreyshelf.metrics import Metrics
from features.owner_world import FakeTarget, World, step
from features.target_world import (
    FakeRunner,
    announcement,
    confirm_life,
    simulated_target_process,
)

DOWN_S = 3.0
ONE_ACCELERATOR = Resources(1000, 1000, 1)


class ScriptedRunner(FakeRunner):
    """Answers each start as `outcomes` says for its task; a task that is missing starts."""

    def __init__(self) -> None:
        self.outcomes: dict[str, Exception] = {}

    def start(self, token: Token, target: TargetId, order: StartOrder, deadline_ms: int) -> None:
        if order.task in self.outcomes:
            raise self.outcomes[order.task]


def list_runs(context: Context, *running: RunningRow) -> None:
    listing = RunListing(0, Incarnation(1), running, ())
    context.state.apply_listing(TargetId("t"), listing, context.clock)


def order_starts(context: Context, *tasks: str) -> None:
    """Let the target process carry out the starts of run 1 of these tasks."""
    executor = OrderExecutor(context.state, context.runner, Metrics())
    starts = tuple(StartOrder(task, 1, "", "") for task in tasks)
    executor.execute(Orders(Token(1), 1, context.clock, 0, starts, ()))
    # Unlike close(), this lets the orders finish.
    executor._pool.shutdown(wait=True)


def reported_runs(context: Context) -> dict[str, tuple[float, bool]]:
    """Age and whether it was started, by task, of the runs of all crashes that are reported."""
    crashes = context.state.report().crashes
    return {run.task: (run.age_s, run.was_started) for crash in crashes for run in crash.runs}


@given('a target process whose runner has run "{task}" for {seconds:d} seconds')
def run_for_some_time(context: Context, task: str, seconds: int) -> None:
    context.stack.enter_context(simulated_target_process(context, ScriptedRunner()))
    list_runs(context)
    order_starts(context, task)
    context.clock += seconds
    list_runs(context, RunningRow(task, 1, "", 10))


@when('the runner confirms the start of "{task}", and crashes {seconds:g} seconds later')
def start_and_crash(context: Context, task: str, seconds: float) -> None:
    order_starts(context, task)
    context.clock += seconds
    context.state.record_connection(is_refused=False)


@when("the runner is back as another target")
def return_as_other_target(context: Context) -> None:
    context.clock += 3.0
    confirm_life(context.state, announcement("t2", 2), context.clock)


def list_next_life(context: Context, requested_at: float, **rows: tuple) -> None:
    """Let the next life under the runner's id answer with its first listing."""
    listing = RunListing(0, Incarnation(2), rows.get("running", ()), rows.get("ended", ()))
    context.state.apply_listing(TargetId("t"), listing, requested_at)


@when('the runner starts again under its id, and "{task}" is started as its next life runs it')
def start_on_next_life(context: Context, task: str) -> None:
    order_starts(context, task)
    context.clock += 0.5
    list_next_life(context, context.clock, running=(RunningRow(task, 1, "", 5),))


@when('the runner starts again under its id, and "{task}" is started as its next life has ended it')
def end_on_next_life(context: Context, task: str) -> None:
    order_starts(context, task)
    context.clock += 0.5
    list_next_life(context, context.clock, ended=(EndedRow(1, task, 1, EndKind.DONE, ""),))


@when(
    'the runner starts again under its id, and "{task}" is started as its next life '
    "starts after it has listed it"
)
def start_after_listing(context: Context, task: str) -> None:
    requested_at = context.clock
    context.clock += 0.1
    order_starts(context, task)
    list_next_life(context, requested_at)


@when('the runner started "{task}" before it starts again under its id, without runs')
def start_before_crash(context: Context, task: str) -> None:
    order_starts(context, task)
    context.clock += 0.5
    list_next_life(context, context.clock)


@when('the runner left unanswered "{task}" before it starts again under its id, without runs')
def lose_start_before_crash(context: Context, task: str) -> None:
    context.runner.outcomes = {task: ConnectionLostError("the connection was cut", "retry")}
    start_before_crash(context, task)


@when('the runner listed "{task}" before it starts again under its id, without runs')
def list_before_crash(context: Context, task: str) -> None:
    order_starts(context, task)
    context.clock += 0.5
    list_runs(context, RunningRow("old", 1, "", 10), RunningRow(task, 1, "", 10))
    # An answer that is late confirms the start only after the next life was asked.
    requested_at = context.clock
    context.clock += 0.1
    context.state.record_started(context.state.life, StartOrder(task, 1, "", ""))
    list_next_life(context, requested_at)


@when('the runner refuses the start of "{refused}", and leaves the start of "{lost}" unanswered')
def refuse_and_lose_starts(context: Context, refused: str, lost: str) -> None:
    context.runner.outcomes = {
        refused: RefusedError("no room", "room"),
        lost: ConnectionLostError("the connection was cut", "retry"),
    }
    order_starts(context, refused, lost)


@when('the runner leaves the start of "{lost}" unanswered, and the listing got no answer in time')
def time_out_listing(context: Context, lost: str) -> None:
    context.runner.outcomes = {lost: ConnectionLostError("reset", "retry")}
    order_starts(context, lost)
    context.state.record_connection(is_refused=False, is_end_seen=False)
    # The next call's connection is lost as the silence ends.
    context.state.record_connection(is_refused=False)


@when('the runner leaves the start of "{lost}" unanswered, and the start got no answer in time')
def time_out_start(context: Context, lost: str) -> None:
    context.runner.outcomes = {lost: StoreSilentError("timed out", "retry")}
    order_starts(context, lost)
    context.state.record_connection(is_refused=False)


@when("the runner refuses the connections of {seconds:g} seconds")
@when("the runner refuses the connections of {seconds:g} seconds more")
def refuse_connections(context: Context, seconds: float) -> None:
    context.state.report_due.clear()
    refuse_listing(context)
    context.clock += seconds
    refuse_listing(context)


def refuse_listing(context: Context) -> None:
    context.state.record_connection(is_refused=True, may_be_carried_out=False)


@when("its lease is renewed")
def renew_lease(context: Context) -> None:
    order_starts(context)
    assert context.state.listing_request().deadline_ms is not None
    list_runs(context, RunningRow("old", 1, "", 10))


@when("it answers again")
def answer_again(context: Context) -> None:
    list_runs(context, RunningRow("old", 1, "", 20))


@then("no report is due")
def check_no_report_due(context: Context) -> None:
    assert not context.state.report_due.is_set()


@then("a report is due")
def check_report_due(context: Context) -> None:
    assert context.state.report_due.is_set()


@when("the runner drains, and is back as another target")
def drain_and_return(context: Context) -> None:
    context.state.announce(announcement("t", 1, draining=True))
    return_as_other_target(context)


@when("{seconds:d} more seconds pass at the target process")
def pass_time(context: Context, seconds: int) -> None:
    context.clock += seconds


@then('a crash is reported with "{old}" of {old_s:g} seconds and "{new}" of {new_s:g} seconds')
def check_ages(context: Context, old: str, old_s: float, new: str, new_s: float) -> None:
    runs = reported_runs(context)
    assert runs == {old: (old_s, True), new: (new_s, True)}, runs


@then('a crash is reported with "{old}", and "{lost}" as possibly begun')
def check_possibly_begun(context: Context, old: str, lost: str) -> None:
    runs = reported_runs(context)
    assert {task: was_started for task, (_, was_started) in runs.items()} == {
        old: True,
        lost: False,
    }, runs


@then('a crash is reported with "{task}"')
def check_crash_reported(context: Context, task: str) -> None:
    assert list(reported_runs(context)) == [task]


@then('a crash is reported with both "{old}" and "{new}"')
def check_both_reported(context: Context, old: str, new: str) -> None:
    assert list(reported_runs(context)) == [old, new]


@then("the next life is reported with its runs only")
def check_next_life_runs(context: Context) -> None:
    report = context.state.report()
    assert report.incarnation == 2 and "old" not in {row.task for row in report.running}, report


@then("no crash is reported")
def check_no_crash(context: Context) -> None:
    assert not context.state.report().crashes


def phase(world: World, job: str) -> JobPhase:
    """The phase of a job, as stored."""
    return world.log[JobId(job)].phase


class CrashingWorld(World):
    """Targets whose runners crash `crash_after_s` after the start of a job named in `deadly`.

    With `is_start_confirmed` false, the start that crashes a runner is not confirmed. A runner is
    back after DOWN_S.
    """

    def __init__(self, crash_after_s: float = 0.1, is_start_confirmed: bool = True) -> None:
        super().__init__()
        self.crash_after_s = crash_after_s
        self.is_start_confirmed = is_start_confirmed
        self.deadly: set[str] = set()
        # Whether a new owner takes over as soon as a runner has crashed.
        self.takes_over_on_crash = False

    def advance(self, seconds: float) -> None:
        """Let time pass in rounds of 0.1 seconds."""
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for target in self.targets:
                if target.down_until is not None and self.now >= target.down_until:
                    target.come_back()
                elif any(self.is_crash_due(target, task) for task in target.running):
                    self.crash(target)
            self.run_round()

    def is_crash_due(self, target: FakeTarget, task: str) -> bool:
        is_deadly = task.partition(".")[0] in self.deadly
        return is_deadly and self.now - target.started_at[task] >= self.crash_after_s - 1e-6

    def crash(self, target: FakeTarget) -> None:
        target.crash(self.now, DOWN_S)
        if not self.is_start_confirmed:
            (crash,) = target.crashes[-1:]
            runs = tuple(CrashedRun(run.task, run.run, run.age_s, False) for run in crash.runs)
            target.crashes[-1] = RunnerCrash(runs)
        if self.takes_over_on_crash:
            self.take_over()


def start_deadly_job(context: Context, world: CrashingWorld) -> None:
    context.world = world
    world.deadly.add("deadly")
    world.accept("deadly", (step(1, demand=ONE_ACCELERATOR),))


@given("4 targets")
def create_targets(context: Context) -> None:
    context.world = CrashingWorld()


@given("4 targets and a job that crashes each runner {seconds:g} seconds after its start")
def accept_deadly_job(context: Context, seconds: float) -> None:
    start_deadly_job(context, CrashingWorld(seconds))


@given("4 targets and a job that crashes each runner before its start is confirmed")
def accept_job_that_crashes_at_once(context: Context) -> None:
    start_deadly_job(context, CrashingWorld(0.0, is_start_confirmed=False))


@when("{seconds:d} seconds pass, in which each runner that crashed is back after 3 seconds")
def let_runners_crash(context: Context, seconds: int) -> None:
    context.world.advance(seconds)


@when("a new owner takes over after each crash, before the old one has stored it")
def take_over_after_each_crash(context: Context) -> None:
    context.world.takes_over_on_crash = True
    context.world.advance(60.0)


@then("the job has failed after {count:d} starts")
def check_failed_after(context: Context, count: int) -> None:
    starts = context.world.starts("deadly")
    assert phase(context.world, "deadly") is JobPhase.FAILED
    assert len(starts) == count, starts


@then("the job has failed after at most {count:d} starts")
def check_failed_after_at_most(context: Context, count: int) -> None:
    starts = context.world.starts("deadly")
    assert phase(context.world, "deadly") is JobPhase.FAILED, starts
    assert len(starts) <= count, starts


@given("4 targets with a long job of one task on each")
def start_long_jobs(context: Context) -> None:
    context.world = CrashingWorld()
    for number in range(4):
        context.world.accept(f"long{number}", (step(1, demand=Resources(1000, 1000, 5)),))
    context.world.advance(10.0)


@when("{count:d} jobs in turn crash each runner that starts them")
def crash_runners_in_turn(context: Context, count: int) -> None:
    world = context.world
    for number in range(count):
        name = f"deadly{number}"
        world.deadly.add(name)
        world.accept(name, (step(1, demand=ONE_ACCELERATOR),))
        world.advance(10.0)


@then("these jobs have failed, and no long job has")
def check_only_deadly_jobs_failed(context: Context) -> None:
    world = context.world
    assert {phase(world, name) for name in world.deadly} == {JobPhase.FAILED}
    check_no_long_job_failed(context)


@then("no long job has failed")
def check_no_long_job_failed(context: Context) -> None:
    phases = [phase(context.world, f"long{number}") for number in range(4)]
    assert phases == [JobPhase.RUNNING] * 4, phases


@when("{count:d} jobs start together on one runner, and one of them crashes each runner at once")
def start_jobs_together(context: Context, count: int) -> None:
    world = context.world
    world.deadly.add("deadly")
    world.accept("deadly", (step(1, demand=ONE_ACCELERATOR),))
    for number in range(count - 1):
        world.accept(f"beside{number}", (step(1, demand=ONE_ACCELERATOR),))
    world.run_round()
    assert [len(target.running) for target in world.targets].count(count) == 1


@when("a job of 4 tasks and one of 4 tasks that crash each runner start together on one runner")
def start_two_jobs(context: Context) -> None:
    world = context.world
    world.deadly.add("deadly")
    for name in ("beside", "deadly"):
        world.accept(name, (step(4, demand=ONE_ACCELERATOR),))
    world.run_round()
    assert [len(target.running) for target in world.targets].count(8) == 1


@then("only the second job has failed, after at most {count:d} runners have crashed")
def check_second_job_failed(context: Context, count: int) -> None:
    world = context.world
    failed = [job for job in world.jobs if phase(world, job) is JobPhase.FAILED]
    assert failed == ["deadly"], failed
    assert sum(len(target.crashes) for target in world.targets) <= count


@when(
    "the runner of the first job crashes by chance {seconds:g} seconds after it has started again"
)
def crash_by_chance(context: Context, seconds: float) -> None:
    world = context.world
    while len(world.starts("beside")) < 8:
        world.advance(0.1)
    world.advance(seconds)
    target, _ = world.run_of("beside")
    world.crash(target)


@then("only that job has failed, after at most {count:d} starts")
def check_only_that_job_failed(context: Context, count: int) -> None:
    world = context.world
    failed = [job for job in world.jobs if phase(world, job) is JobPhase.FAILED]
    assert failed == ["deadly"], failed
    assert len(world.starts("deadly")) <= count, world.starts("deadly")


@when("all runners crash {count:d} times, after runs of {days:d} days each")
def crash_after_days(context: Context, count: int, days: int) -> None:
    world = context.world
    for _ in range(count):
        for target in world.targets:
            for task in target.started_at:
                target.started_at[task] -= days * 86_400
            world.crash(target)
        world.advance(DOWN_S + 1.0)


@when("all runners crash {count:d} times, {seconds:d} seconds apart")
def crash_all_runners(context: Context, count: int, seconds: int) -> None:
    for _ in range(count):
        for target in context.world.targets:
            context.world.crash(target)
        context.world.advance(DOWN_S + seconds)
