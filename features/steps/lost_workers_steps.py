"""Steps for jobs whose workers restart under them."""

import msgspec
from behave import then, when
from behave.runner import Context

from comfreyshelf.events import WorkerReported
from comfreyshelf.ids import JobId
from comfreyshelf.reasons import RefusalReason
from features.steps.order_steps import make_job

MAX_RESTARTS = 6


@when("a job is queued, and each worker restarts one second after it has started there")
def restart_workers_early(context: Context) -> None:
    restart_workers(context, 1)


@when("a job is queued, and each worker restarts {seconds:d} seconds after it has started there")
def restart_workers(context: Context, seconds: int) -> None:
    harness = context.harness
    harness.queue(make_job("job"))
    for incarnation in range(2, MAX_RESTARTS + 1):
        gang = harness.scheduler.gangs.get(JobId("job"))
        if gang is None:
            return
        worker = harness.scheduler.topology.workers[gang.parts[0].placement.target].info
        harness.now += seconds
        harness.feed(WorkerReported(msgspec.structs.replace(worker, incarnation=incarnation)))


@then("the job is refused as failing everywhere after {count:d} attempts")
def check_refused(context: Context, count: int) -> None:
    assert context.harness.started == ["job"] * count, context.harness.started
    assert [body.reason for body in context.harness.refused] == [RefusalReason.FAILS_EVERYWHERE]


@then("the job still runs after {count:d} attempts")
def check_still_runs(context: Context, count: int) -> None:
    assert context.harness.started == ["job"] * count, context.harness.started
    assert not context.harness.refused
