"""Steps for the prediction of run times: the model, and what the owner's core feeds it."""

import random
from collections import Counter
from unittest import mock

import msgspec
from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.jobs import EndKind, Job, QueueName, Resources, RunningRow, Step, Token
from comfreyshelf.fleet.moves.preemption_cost import make_victim
from comfreyshelf.fleet.owner import OwnerCore
from comfreyshelf.fleet.prediction.model import JobDurations, Quantile, RunSample
from comfreyshelf.fleet.prediction.quantile_model import Measure, QuantileModel
from comfreyshelf.fleet.scheduling import Feature, Scheduling
from comfreyshelf.ids import JobId, OrganisationId
from features.owner_world import CONFIG, World, step

QUEUE = QueueName("usual")
PREDICTION = Scheduling(frozenset({Feature.PREDICTION}))


def job_durations(
    context: Context,
    estimate_s: float,
    count: int = 1,
    organisation: str = "other",
    gang: bool = False,
) -> JobDurations:
    """The expectations for a new job."""
    work = Step(count, Resources(), round(estimate_s * 1000), gang=gang)
    job = Job(JobId("j"), OrganisationId(organisation), QUEUE, "", (work,), 0.0)
    return context.model.for_job(job)


def run_task(context: Context, seconds: float, estimate_s: float, **options: object) -> None:
    job_durations(context, estimate_s, **options).observe(0, RunSample(seconds))


def assert_between(value: float, low: float, high: float) -> None:
    assert low <= value <= high, f"{value:.2f} is not between {low} and {high}"


@given("a model that predicts run times")
def create_model(context: Context) -> None:
    context.model = QuantileModel()
    context.rng = random.Random(5)


@given(
    "{count:d} tasks of {seconds:g} seconds of the queue have ended, estimated at "
    "{estimate:g} seconds"
)
@when(
    "{count:d} tasks of {seconds:g} seconds of the queue have ended, estimated at "
    "{estimate:g} seconds"
)
def run_equal_tasks(context: Context, count: int, seconds: float, estimate: float) -> None:
    for _ in range(count):
        run_task(context, seconds, estimate)


@when(
    "the progress of {count:d} tasks shows that they take {seconds:g} seconds, estimated at "
    "{estimate:g} seconds"
)
def show_progress(context: Context, count: int, seconds: float, estimate: float) -> None:
    run_equal_tasks(context, count, seconds, estimate)


@then("a task estimated at {estimate:g} seconds is expected to take {low:g} to {high:g} seconds")
def check_expected(context: Context, estimate: float, low: float, high: float) -> None:
    context.durations = job_durations(context, estimate)
    assert_between(context.durations.expected_s(0), low, high)


@then("it ends within {low:g} to {high:g} seconds at the high quantile")
@then("they end within {low:g} to {high:g} seconds at the high quantile")
def check_high(context: Context, low: float, high: float) -> None:
    assert_between(context.durations.expected_s(0, Quantile.HIGH), low, high)


def random_task(context: Context) -> tuple[float, float]:
    """The run time of a task and its estimate, in seconds."""
    seconds = 10 * context.rng.lognormvariate(0.0, context.spread)
    return seconds, seconds * context.rng.uniform(1 - context.error, 1 + context.error)


@when(
    "{count:d} tasks with a spread of {spread:g} have run, with estimates off by up to "
    "{error:d} percent"
)
def run_random_tasks(context: Context, count: int, spread: float, error: int) -> None:
    context.spread, context.error = spread, error / 100
    for _ in range(count):
        run_task(context, *random_task(context))


@when("{count:d} tasks with a spread of {spread:g} have run, all estimated at {estimate:g} seconds")
def run_wrongly_estimated_tasks(
    context: Context, count: int, spread: float, estimate: float
) -> None:
    for _ in range(count):
        run_task(context, 10 * context.rng.lognormvariate(0.0, spread), estimate)


@then("half of {count:d} further tasks take {low:g} to {high:g} times as long as expected")
def check_median(context: Context, count: int, low: float, high: float) -> None:
    context.ratios, context.within = [], 0
    for _ in range(count):
        seconds, estimate_s = random_task(context)
        durations = job_durations(context, estimate_s)
        context.ratios.append(seconds / durations.expected_s(0))
        context.within += seconds <= durations.expected_s(0, Quantile.HIGH)
    context.ratios.sort()
    assert_between(context.ratios[count // 2], low, high)


@then("90 percent of them take less than {ratio:g} times as long as expected")
def check_ninetieth(context: Context, ratio: float) -> None:
    assert_between(context.ratios[int(0.9 * len(context.ratios))], 0.0, ratio)


@then("{low:d} to {high:d} percent of them end within the high quantile")
def check_within_high(context: Context, low: int, high: int) -> None:
    assert_between(100 * context.within / len(context.ratios), low, high)


@when(
    "{count:d} tasks of one organisation take as long as estimated, and {others:d} of "
    "another {factor:g} times as long"
)
def run_organisations(context: Context, count: int, others: int, factor: float) -> None:
    context.spread, context.error = 1.0, 0.1
    for organisation, tasks, slowness in (("first", count, 1.0), ("second", others, factor)):
        for _ in range(tasks):
            seconds, estimate_s = random_task(context)
            run_task(context, slowness * seconds, estimate_s, organisation=organisation)


@then(
    "a task of the {organisation} organisation is expected to take {low:g} to {high:g} times "
    "its estimate"
)
def check_organisation(context: Context, organisation: str, low: float, high: float) -> None:
    durations = job_durations(context, 10.0, organisation=organisation)
    assert_between(durations.expected_s(0) / 10.0, low, high)


@when("{count:d} tasks of {seconds:g} seconds have run, of which 3 in 100 took {long:g} seconds")
def run_with_long_tasks(context: Context, count: int, seconds: float, long: float) -> None:
    for number in range(count):
        run_task(context, long if number % 33 == 1 else seconds, seconds)


@then("a task that has run for {ran:g} seconds is expected to take {low:g} to {high:g} seconds")
def check_given_elapsed(context: Context, ran: float, low: float, high: float) -> None:
    assert_between(context.durations.expected_s(0, Quantile.MEDIAN, ran), low, high)


@given("{jobs:d} jobs of {tasks:d} equal tasks, with estimates off by up to {error:d} percent")
def run_jobs(context: Context, jobs: int, tasks: int, error: int) -> None:
    context.spread, context.error = 0.6, error / 100
    for _ in range(jobs):
        seconds, estimate_s = random_task(context)
        durations = job_durations(context, estimate_s, tasks)
        for _ in range(tasks):
            durations.observe(0, RunSample(seconds * context.rng.lognormvariate(0.0, 0.1)))


@when("{count:d} tasks of a job estimated at {estimate:g} seconds take {seconds:g} seconds")
def run_siblings(context: Context, count: int, estimate: float, seconds: float) -> None:
    context.durations = job_durations(context, estimate, count + 3)
    for _ in range(count):
        context.durations.observe(0, RunSample(seconds))


@when("5 tasks of a job take 10, 10, 70, 10 and 10 seconds")
def run_uneven_siblings(context: Context) -> None:
    context.durations = job_durations(context, 10.0, 8)
    for seconds in (10.0, 10.0, 70.0, 10.0, 10.0):
        context.durations.observe(0, RunSample(seconds))


@then("its other tasks are expected to take {low:g} to {high:g} seconds")
def check_siblings(context: Context, low: float, high: float) -> None:
    assert_between(context.durations.expected_s(0), low, high)


@given("{count:d} tasks have run for {low:g} to {high:g} seconds without an estimate")
def run_uniform_tasks(context: Context, count: int, low: float, high: float) -> None:
    for number in range(count):
        run_task(context, low + (high - low) * (number + 0.5) / count, 0.0)


@when("{count:d} runs are stopped after {seconds:g} seconds")
@when("{count:d} runs are stopped after {seconds:g} second")
def stop_runs(context: Context, count: int, seconds: float) -> None:
    for _ in range(count):
        job_durations(context, 0.0).observe(0, RunSample(seconds, is_at_least=True))


@then("a task without an estimate is expected to take {low:g} to {high:g} seconds")
def check_without_estimate(context: Context, low: float, high: float) -> None:
    assert_between(job_durations(context, 0.0).expected_s(0), low, high)


@when("{count:d} gangs run whose members take 10, 10, 10 and 16 seconds")
def run_gangs(context: Context, count: int) -> None:
    for _ in range(count):
        durations = job_durations(context, 12.0, 4, gang=True)
        for seconds in (10.0, 10.0, 10.0, 16.0):
            durations.observe(0, RunSample(seconds))


@then("a gang of the queue is expected to take {low:g} to {high:g} seconds")
def check_gang(context: Context, low: float, high: float) -> None:
    assert_between(job_durations(context, 12.0, 4, gang=True).expected_s(0), low, high)


class PredictingWorld(World):
    """An owner that predicts run times, with what it has learned and counted."""

    def __init__(self) -> None:
        super().__init__()
        self.core = OwnerCore(CONFIG, Bounds(), Token(1), self.now, PREDICTION)
        self.counts: Counter[str] = Counter()
        self.core.count = lambda name: self.counts.update([name])
        self.events: list[dict[str, object]] = []
        self.core.log_event = lambda event, **fields: self.events.append(fields | {"event": event})
        self.settle()

    def report_percent(self, percent: int) -> None:
        """Let the only run report this progress a second after its last report."""
        target, row = self.run_of("job")
        target.running[row.task] = RunningRow(row.task, row.run, "", percent)
        self.run_round()
        self.now += 1.0


@given("an owner that predicts run times")
def create_owner(context: Context) -> None:
    context.world = PredictingWorld()
    context.samples = []
    learn = QuantileModel.learn

    def record(model: QuantileModel, *args: object) -> None:
        _, _, measure, value, is_at_least = args
        if measure is Measure.SECONDS:
            context.samples.append((round(value, 1), is_at_least))
        learn(model, *args)

    patch = mock.patch.object(QuantileModel, "learn", record)
    patch.start()
    context.add_cleanup(patch.stop)


def start_run(context: Context, estimate_s: float = 20.0) -> None:
    work = Step(1, step(1).demand, int(estimate_s * 1000))
    context.world.accept("job", (work,), queue="urgent")
    context.world.core.plan(context.world.now, context.world.unix_now)
    context.world.store()
    context.world.deliver()


def end_run(context: Context, kind: EndKind) -> None:
    target, row = context.world.run_of("job")
    target.end(row.task, kind)
    context.world.run_round()


@when("a run makes 10 percent a second for 4 seconds")
def run_for_4_seconds(context: Context) -> None:
    start_run(context)
    for second in range(5):
        context.world.report_percent(10 * second)


@when("the run ends after 8 further seconds")
def run_to_end(context: Context) -> None:
    for second in range(8):
        context.world.report_percent(min(99, 40 + 8 * second))
    end_run(context, EndKind.DONE)


@when("a run makes 1 percent a second for 10 seconds, hangs for 3 seconds and is stopped")
def stop_hanging_run(context: Context) -> None:
    start_run(context)
    for second in range(14):
        context.world.report_percent(1 + min(10, second))
    end_run(context, EndKind.STOPPED)


@then("{count:d} run time of {seconds:g} seconds was learned")
def check_run_times(context: Context, count: int, seconds: float) -> None:
    assert context.samples == [(seconds, False)] * count, context.samples


@then("{count:d} lower bound of {seconds:g} seconds was learned")
def check_lower_bounds(context: Context, count: int, seconds: float) -> None:
    assert context.samples == [(seconds, True)] * count, context.samples


@when("a run reports 20, 40, 10, 20 and 30 percent, one second apart")
def report_backwards(context: Context) -> None:
    start_run(context)
    for percent in (20, 40, 10, 20, 30):
        context.world.report_percent(percent)
    context.world.now -= 1.0


@then("the regression was counted once")
def check_regression(context: Context) -> None:
    assert context.world.counts["progress_regressions"] == 1, context.world.counts


@when("a run of a task estimated at 5 seconds has run for 20 seconds without progress")
def run_without_progress(context: Context) -> None:
    start_run(context, 5.0)
    context.world.report_percent(1)
    context.world.now += 20.0


@then("the run is expected to go on for at least 3 seconds")
def check_goes_on(context: Context) -> None:
    (active,) = context.world.core.jobs[JobId("job")].active_runs.values()
    assert active.remaining_s(context.world.now) >= 3.0, active.remaining_s(context.world.now)


@when("a run of a task estimated at {estimate:g} seconds ends after {seconds:d} seconds")
def run_longer(context: Context, estimate: float, seconds: int) -> None:
    start_run(context, estimate)
    for second in range(seconds):
        context.world.report_percent(100 * second // seconds)
    end_run(context, EndKind.DONE)


@then(
    "the log states that it took {ratio:g} times the {seconds:g} seconds expected, above "
    "the high quantile"
)
def check_log(context: Context, ratio: float, seconds: float) -> None:
    (ended,) = [fields for fields in context.world.events if fields["event"] == "run ended"]
    assert abs(ended["ratio"] - ratio) < 0.1, ended
    assert abs(ended["first_expected_s"] - seconds) < 0.2, ended
    assert seconds < ended["first_high_s"] < ratio * seconds, ended


@then("a run time of more than {low:g} and at most {high:g} times the expected one was counted")
def check_ratio_counters(context: Context, low: float, high: float) -> None:
    labels = 'priority="0",siblings="no"'
    counts = context.world.counts
    assert counts[f'run_time_ratio_bucket{{{labels},le="{low:g}"}}'] == 0, counts
    assert counts[f'run_time_ratio_bucket{{{labels},le="{high:g}"}}'] == 1, counts
    assert counts[f'run_time_ratio_bucket{{{labels},le="+Inf"}}'] == 1, counts
    assert counts[f"runs_within_high_quantile{{{labels}}}"] == 0, counts


@when("runs with and without checkpoints are expected to take 7 to 10 of the 8 seconds left")
def drain_runs(context: Context) -> None:
    world = context.world
    for name, checkpoints in (("safe", True), ("plain", False)):
        work = Step(1, step(1).demand, 7000, checkpoints=checkpoints)
        world.accept(name, (work,))
    world.settle()
    for name in ("safe", "plain"):
        (active,) = world.core.jobs[JobId(name)].active_runs.values()
        world.core.targets[active.target].drain_until = world.now + 8.0
        assert 5.0 < active.remaining_s(world.now) < 8.0
        assert active.remaining_s(world.now, Quantile.HIGH) > 8.0
    world.core.plan(world.now, world.unix_now)


@then("only the run with checkpoints is stopped")
def check_drained(context: Context) -> None:
    stopped = [
        fields["task"] for fields in context.world.events if fields["event"] == "run stopped"
    ]
    assert stopped == ["safe.0.0.0"], stopped


@when("a run is 0.9 seconds from its expected end, by progress that may be out of date")
def run_to_nearly_done(context: Context) -> None:
    start_run(context, 10.0)
    for percent in (0, 20, 40, 60, 80):
        context.world.report_percent(percent)
    context.world.now -= 0.9


@then("it does not count as ending soon")
def check_not_ending_soon(context: Context) -> None:
    world = context.world
    (active,) = world.core.jobs[JobId("job")].active_runs.values()
    assert 0.0 < active.remaining_s(world.now) < 1.0, active.remaining_s(world.now)
    assert not make_victim(active, world.now, world.unix_now).ends_soon


@when("a run of a task estimated at 30 seconds makes no progress")
def start_without_progress(context: Context) -> None:
    start_run(context, 30.0)


@then("it does not count as stalled after {low:d} seconds, but does after {high:d} seconds")
def check_stalled(context: Context, low: int, high: int) -> None:
    world = context.world
    for _ in range(low):
        world.report_percent(10)
    assert not [fields for fields in world.events if fields["event"] == "run stopped"]
    for _ in range(high - low + 1):
        world.run_round()
        world.now += 1.0
    (stopped,) = [fields for fields in world.events if fields["event"] == "run stopped"]
    assert stopped["why"] == "no progress", stopped


@when("a run is at {percent:d} percent when the owner first sees it, and ends {seconds:d} s later")
def end_adopted_run(context: Context, percent: int, seconds: int) -> None:
    start_run(context)
    context.world.report_percent(percent)
    for _ in range(seconds - 1):
        context.world.report_percent(min(99, percent + 25))
    end_run(context, EndKind.DONE)


@given("a gang of 2 tasks estimated at 20 seconds")
def start_gang(context: Context) -> None:
    work = Step(2, step(2).demand, 20_000, gang=True)
    context.world.accept("job", (work,))
    context.world.settle()


@when("one member has done all of its work after 10 seconds, and the other half")
def advance_members(context: Context) -> None:
    world = context.world
    for second in range(1, 11):
        world.now += 1.0
        for target in world.targets:
            for task, row in target.running.items():
                percent = second * (10 if task.endswith("0.0.0") else 5)
                target.running[task] = RunningRow(task, row.run, "", percent)
        world.run_round()


@then("neither member counts as ending soon")
def check_gang_not_ending(context: Context) -> None:
    world = context.world
    runs = list(world.core.jobs[JobId("job")].active_runs.values())
    assert sorted(active.percent for active in runs) == [50, 100], runs
    assert not any(make_victim(active, world.now, world.unix_now).ends_soon for active in runs)


@when("2 of the 4 members of a gang show that they take at least 1 s, and its next run takes 16 s")
def run_gang_twice(context: Context) -> None:
    context.model = QuantileModel()
    durations = job_durations(context, 10.0, 4, gang=True)
    for _ in range(2):
        durations.observe(0, RunSample(1.0, is_at_least=True, run=1))
    for seconds in (10.0, 10.0, 16.0, 10.0):
        durations.observe(0, RunSample(seconds, run=2))


@when(
    "a run is reported 0.9 seconds after the last listing, and has made 50 percent 2 seconds later"
)
def report_start_between_listings(context: Context) -> None:
    world: PredictingWorld = context.world
    start_run(context)
    world.store()
    world.deliver()
    target, row = world.run_of("job")
    for elapsed_s, listed_ago_s, percent in ((0.0, 0.9, 0), (2.0, 0.0, 50)):
        world.now += elapsed_s
        report = msgspec.structs.replace(
            target.report(world.now),
            listed_at=world.now - listed_ago_s,
            running=(RunningRow(row.task, row.run, "", percent),),
        )
        world.core.handle_report(report, world.now, world.unix_now)


@then("it has shown that its task takes 4 seconds")
def task_takes_four_seconds(context: Context) -> None:
    assert context.samples == [(4.0, False)], context.samples
