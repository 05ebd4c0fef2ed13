"""Steps for explaining a failed request from log lines."""

import json

from behave import given, then, when
from behave.runner import Context
from typer.testing import CliRunner

from comfreyshelf.explain import describe_cause, read_lines, render_line, select_job_lines
from comfreyshelf.ids import JobId
from comfreyshelf.ui.app import app

JOB = JobId("a" * 16)
OTHER_JOB = "b" * 16
LAST_EVENTS = {
    "refused": {"event": "refused", "path": f"/q/{JOB}", "why": "the store is away"},
    "cancelled": {"event": "cancelled", "job": JOB},
    "failed": {"event": "job ended", "job": JOB, "phase": "failed", "why": "it failed 2 times"},
    "lost": {"event": "run lost", "task": f"{JOB}.0.0.1", "why": "no report for 9.0 s"},
}


@given("log lines of a job that was {outcome}, among others")
def write_log_lines(context: Context, outcome: str) -> None:
    events = [
        {"time": 3.0, "process": "e2"} | LAST_EVENTS[outcome],
        {"time": 1.0, "process": "e1", "event": "accepted", "job": JOB},
        {"time": 2.0, "process": "e2", "event": "owner elected", "epoch": 4},
        {"time": 2.5, "process": "e1", "event": "accepted", "job": OTHER_JOB},
        {"time": 9.0, "process": "e1", "event": "store lost"},
    ]
    context.texts = [
        "no json",
        "  1.0 e1 {broken",
        *(f"12 e {json.dumps(event)}" for event in events),
    ]


@when("its events are printed")
def print_events(context: Context) -> None:
    context.events = select_job_lines(read_lines(context.texts), JOB)
    context.printed = [render_line(line, 1.0) for line in context.events]


@then('they are in order of time, name no other job, and the cause is "{expected}"')
def events_end_in_cause(context: Context, expected: str) -> None:
    assert [line["time"] for line in context.events] == [1.0, 2.0, 3.0]
    assert not any(OTHER_JOB in line for line in context.printed)
    assert describe_cause(context.events, JOB) == expected, describe_cause(context.events, JOB)


@when("an explanation of an unknown job is requested")
def explain_unknown_job(context: Context) -> None:
    context.result = CliRunner().invoke(app, ["explain", "f" * 16], input="{}\n")


@then("the command says which logs it needs")
def names_missing_logs(context: Context) -> None:
    assert context.result.exit_code != 0
    assert "give the logs of all entries" in str(context.result.exception)


@given("log lines of 2 runs that were preempted, 1 that failed and 1 that was done")
def write_run_lines(context: Context) -> None:
    rows = [
        ("done", "done", 0.0),
        ("failed", "failed", 50.0),
        ("stopped", "preempted by more urgent work", 100.0),
        ("stopped", "preempted by more urgent work", 200.0),
    ]
    context.texts = [
        json.dumps(
            {"time": 1.0, "process": "e", "event": "run ended", "how": how}
            | {"cause": cause, "lost_core_s": core_s}
        )
        for how, cause, core_s in rows
    ]


@when("the lost work is printed")
def print_lost_work(context: Context) -> None:
    context.result = CliRunner().invoke(app, ["lost-work"], input="\n".join(context.texts) + "\n")


@then("preemption comes first with 300 core-seconds of 2 runs, then the failure with 50 of 1")
def check_lost_work(context: Context) -> None:
    rows = [line.split() for line in context.result.output.splitlines()]
    assert [(row[0], row[2], row[4]) for row in rows] == [
        ("300", "2", "preempted"),
        ("50", "1", "failed"),
        ("350", "3", "all"),
    ], context.result.output
