"""Steps for jobs, publishes and scrapping with separate processes."""

import msgspec
from behave import given, then, when
from behave.runner import Context

from comfreyshelf.client import RefusedError
from comfreyshelf.demo import (
    CALLER_KEY,
    DEMO_CONFIG_TEXT,
    OPERATOR_KEY,
    wait_for_empty,
    wait_for_targets,
)
from features.processes import separate_processes

ZONES = ("paysandu", "salto")


@given("{entries:d} entries and {targets:d} targets as separate processes")
def start_processes(context: Context, entries: int, targets: int) -> None:
    context.processes = context.stack.enter_context(separate_processes())
    context.target_count = targets
    context.processes.start_log()
    for index in range(entries):
        context.processes.start_entry(f"entry-{index}", ZONES[index % 2])
    for index in range(targets):
        zone = ZONES[index % 2]
        context.processes.start_target(f"target-{index}", zone, f"{zone}-rack")


@given("the demo configuration is published")
def publish_demo(context: Context) -> None:
    publish(context, DEMO_CONFIG_TEXT)


def publish(context: Context, text: str) -> None:
    """Publish the first version of the text and wait until it is in force on all targets."""
    context.operator = context.processes.client("entry-0", OPERATOR_KEY)
    context.processes.client("entry-1", OPERATOR_KEY)
    context.operator.publish(text, 0)
    wait_for_targets(context.operator, context.target_count, 1)


def submit_job(context: Context, entry: str, key: str, parts: int, accelerators: int, run_s: float):
    client = context.processes.client(entry, CALLER_KEY)
    return client.submit(
        key=key,
        service="permit",
        kind="survey-check",
        shape={"parts": parts, "accelerators": accelerators},
        declared_s=1.0,
        payload=msgspec.json.encode({"run_s": run_s}).decode(),
    )


@when("a caller submits a gang of {parts:d} parts through {entry}")
def submit_gang(context: Context, parts: int, entry: str) -> None:
    context.parts = parts
    context.first = submit_job(context, entry, "gang", parts, 2, 0.2)


@when("the caller submits the same key again through {entry}")
def submit_again(context: Context, entry: str) -> None:
    context.second = submit_job(context, entry, "gang", context.parts, 2, 0.2)


@then("both submissions name the same job")
def same_job(context: Context) -> None:
    assert context.first["id"] == context.second["id"]


@then("the whole result is read back through {entry}")
def read_result(context: Context, entry: str) -> None:
    client = context.processes.client(entry, CALLER_KEY)
    view = client.job(context.first["id"], wait_s=60.0)
    assert view["state"] == "finished", view
    assert client.result(context.first["id"]).count(b";") == context.parts


@when("two operators publish against version 1")
def publish_twice(context: Context) -> None:
    context.wins = 0
    context.losses = []
    for index in range(2):
        client = context.processes.client(f"entry-{index}", OPERATOR_KEY)
        try:
            client.publish(f"{DEMO_CONFIG_TEXT}\n# change {index}\n", 1)
            context.wins += 1
        except RefusedError as exc:
            context.losses.append(str(exc))


@then("one publish wins and the other is told that version 2 is in force")
def one_wins(context: Context) -> None:
    assert context.wins == 1
    assert len(context.losses) == 1
    assert "version 2 is in force" in context.losses[0]


@when("{jobs:d} jobs that fill a worker run and {target} is scrapped")
def run_jobs_and_scrap(context: Context, jobs: int, target: str) -> None:
    context.jobs = [
        submit_job(context, "entry-1", f"model-{index}", 1, 8, 1.0)["id"] for index in range(jobs)
    ]
    context.operator.publish(f"{DEMO_CONFIG_TEXT}\n[target {target}]\nscrap = yes\n", 1)


@then("{target} becomes empty")
def becomes_empty(context: Context, target: str) -> None:
    wait_for_empty(context.operator, target)


@then("every job finishes")
def every_job_finishes(context: Context) -> None:
    client = context.processes.client("entry-1", CALLER_KEY)
    states = {client.job(job, wait_s=60.0)["state"] for job in context.jobs}
    assert states == {"finished"}, states
