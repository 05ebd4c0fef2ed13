"""Steps for explaining a failed request from log lines."""

import json

from behave import given, then, when
from behave.runner import Context
from typer.testing import CliRunner

from comfreyshelf.explain import describe_cause, read_lines, render_line, select_job_lines
from comfreyshelf.ids import JobId
from comfreyshelf.ui.app import app

JOB = JobId("a" * 16)
OTHER = "b" * 16
ENDS = {
    "refused": {"event": "refused", "path": f"/q/{JOB}", "why": "the store is away"},
    "cancelled": {"event": "cancelled", "job": JOB},
    "failed": {"event": "job ended", "job": JOB, "phase": "failed", "why": "it failed 2 times"},
    "lost": {"event": "run lost", "task": f"{JOB}.0.0.1", "why": "no report for 9.0 s"},
}


@given("log lines of a job that was {outcome}, among others")
def lines(context: Context, outcome: str) -> None:
    written = [
        {"time": 3.0, "process": "e2"} | ENDS[outcome],
        {"time": 1.0, "process": "e1", "event": "accepted", "job": JOB},
        {"time": 2.0, "process": "e2", "event": "owner elected", "epoch": 4},
        {"time": 2.5, "process": "e1", "event": "accepted", "job": OTHER},
        {"time": 9.0, "process": "e1", "event": "store lost"},
    ]
    context.texts = ["no json", "  1.0 e1 {broken", *(f"12 e {json.dumps(w)}" for w in written)]


@when("its story is printed")
def printed(context: Context) -> None:
    context.story = select_job_lines(read_lines(context.texts), JOB)
    context.printed = [render_line(line, 1.0) for line in context.story]


@then('it is in order of time, names no other job, and the cause says "{expected}"')
def ordered(context: Context, expected: str) -> None:
    assert [line["time"] for line in context.story] == [1.0, 2.0, 3.0]
    assert not any(OTHER in line for line in context.printed)
    assert describe_cause(context.story, JOB) == expected, describe_cause(context.story, JOB)


@when("the story of an unknown job is asked for")
def unknown(context: Context) -> None:
    context.result = CliRunner().invoke(app, ["explain", "f" * 16], input="{}\n")


@then("the command says which logs to give")
def says(context: Context) -> None:
    assert context.result.exit_code != 0
    assert "give the logs of all entries" in str(context.result.exception)
