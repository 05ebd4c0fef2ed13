"""Steps for failed attempts that are reported late, repeatedly, or to another owner."""

from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet.jobs import EndKind, JobPhase
from comfreyshelf.ids import JobId
from features.owner_world import FakeTarget


def fail_current_run(context: Context) -> None:
    target, row = context.world.run_of("job")
    target.end(row.task, EndKind.FAILED)


def report_lost_run_failed(context: Context, target: FakeTarget) -> None:
    """Let a target that was silent report its run as failed."""
    context.world.silent.clear()
    target.end(next(iter(target.running)), EndKind.FAILED)
    context.world.settle()


@when("the lost run is reported as failed, and the second run fails too")
def fail_lost_run_and_second(context: Context) -> None:
    report_lost_run_failed(context, context.ran_on)
    fail_current_run(context)
    context.world.settle()


@then("{count:d} runs were ordered, and the job has failed")
def check_runs_and_failure(context: Context, count: int) -> None:
    starts = context.world.starts("job")
    assert len(starts) == count, starts
    assert context.world.log[JobId("job")].phase is JobPhase.FAILED


@given("its first run has failed, and its second one has been given up as silent")
def fail_first_and_lose_second(context: Context) -> None:
    world = context.world
    fail_current_run(context)
    world.settle()
    context.ran_on = world.run_of("job")[0]
    world.silent.add(context.ran_on.id)
    world.wait(10)
    assert sorted(run for _, run in world.starts("job")) == [1, 2, 3]


@when("the second run is reported as failed after all")
def report_second_failed(context: Context) -> None:
    report_lost_run_failed(context, context.ran_on)


@then("the third run goes on, and completes the job")
def check_third_completes(context: Context) -> None:
    world = context.world
    target, row = world.run_of("job")
    assert row.run == 3
    target.end(row.task, EndKind.DONE)
    world.settle()
    assert world.log[JobId("job")].phase is JobPhase.COMPLETED


@when("its run fails, and a new owner takes over before the failure is acknowledged")
def fail_and_take_over(context: Context) -> None:
    world = context.world
    fail_current_run(context)
    world.report()
    world.store()
    world.take_over()
    world.settle()


@when("both of its runs fail, and a new owner takes over when the first failure is stored")
def fail_gang_around_takeover(context: Context) -> None:
    world = context.world
    first, second = [target for target in world.targets if target.running]
    first.end(next(iter(first.running)), EndKind.FAILED)
    world.report()
    world.store()
    second.end(next(iter(second.running)), EndKind.FAILED)
    world.take_over()
    world.settle()


@then("the job is running with run {run:d}")
def check_runs_again(context: Context, run: int) -> None:
    world = context.world
    assert world.log[JobId("job")].phase is JobPhase.RUNNING, world.log[JobId("job")]
    assert world.run_of("job")[1].run == run
