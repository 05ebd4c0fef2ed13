"""Steps for runners that crash, seen by their target processes and by the owner."""

from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet import order_executor, target_state
from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.jobs import (
    Announcement,
    Incarnation,
    Resources,
    RunListing,
    RunningRow,
    Token,
)
from comfreyshelf.fleet.messages import Orders, StartOrder, StopOrder
from comfreyshelf.fleet.order_executor import OrderExecutor
from comfreyshelf.fleet.store import StoreSilentError
from comfreyshelf.fleet.target_runner import RefusedError, Runner
from comfreyshelf.fleet.target_state import TargetState
from comfreyshelf.ids import RackId, ServiceId, TargetId, ZoneId
from comfreyshelf.metrics import Metrics


class ScriptedRunner(Runner):
    """Answers each start as `outcomes` says for its task; a task that is missing starts."""

    def __init__(self) -> None:
        self.outcomes: dict[str, Exception] = {}

    def renew_lease(
        self, token: Token, acknowledged: int, deadline_ms: int | None, wait_ms: int
    ) -> RunListing:
        return RunListing(0, Incarnation(1), (), ())

    def start(self, token: Token, order: StartOrder, deadline_ms: int) -> None:
        if order.task in self.outcomes:
            raise self.outcomes[order.task]

    def stop(self, token: Token, order: StopOrder) -> None:
        """Stops succeed."""

    def close(self) -> None:
        """There are no connections."""


def announcement(target: str, incarnation: int, draining: bool = False) -> Announcement:
    return Announcement(
        TargetId(target),
        ServiceId("permit"),
        ZoneId("z"),
        RackId("r"),
        (),
        Resources(),
        draining,
        3000 if draining else 0,
        Incarnation(incarnation),
        2 if draining else 1,
        0,
    )


@contextmanager
def simulated_target_process(context: Context) -> Iterator[None]:
    """A target process without threads for its links, on a simulated clock."""
    context.clock = 100.0
    with (
        mock.patch.object(target_state, "monotonic", lambda: context.clock),
        mock.patch.object(order_executor, "monotonic", lambda: context.clock),
    ):
        context.state = TargetState(Bounds(), "m", Metrics())
        context.state.announce(announcement("t", 1))
        context.runner = ScriptedRunner()
        yield


def list_runs(context: Context, *running: RunningRow) -> None:
    context.state.apply_listing(RunListing(0, Incarnation(1), running, ()), context.clock)


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
    context.stack.enter_context(simulated_target_process(context))
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
    context.state.announce(announcement("t2", 2))


@when('the runner refuses the start of "{refused}", and leaves the start of "{lost}" unanswered')
def refuse_and_lose_starts(context: Context, refused: str, lost: str) -> None:
    context.runner.outcomes = {
        refused: RefusedError("no room", "room"),
        lost: StoreSilentError("the connection was cut", "retry"),
    }
    order_starts(context, refused, lost)


@when("the runner refuses the connections of {seconds:g} seconds")
@when("the runner refuses the connections of {seconds:g} seconds more")
def refuse_connections(context: Context, seconds: float) -> None:
    context.state.report_due.clear()
    context.state.record_connection(is_refused=True)
    context.clock += seconds
    context.state.record_connection(is_refused=True)


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


@then("no crash is reported")
def check_no_crash(context: Context) -> None:
    assert not context.state.report().crashes
