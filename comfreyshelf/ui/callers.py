"""Callers' commands: jobs and short requests."""

import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from comfreyshelf.model import Adjacency, JobState, Urgency
from comfreyshelf.ui.connection import (
    DEFAULT_ENTRY,
    EntryOption,
    JsonOption,
    KeyFileOption,
    connect,
)
from comfreyshelf.ui.output import ExitCode, print_json, print_table

JobArgument = Annotated[str, typer.Argument(help="job id")]


def add_commands(app: typer.Typer) -> None:
    """Register the commands."""
    app.command("submit")(submit)
    app.command("status")(status)
    app.command("cancel")(cancel)
    app.command("result")(result)
    app.command("request")(request)


def submit(
    service: Annotated[str, typer.Argument(help="service that the job belongs to")],
    key: Annotated[str, typer.Option(help="idempotency key; a repeated key names the same job")],
    kind: Annotated[
        str, typer.Option(help="kind of work; run times are estimated per kind")
    ] = "job",
    parts: Annotated[int, typer.Option(help="parts of the gang, 512 at most")] = 1,
    accelerators: Annotated[int, typer.Option(help="accelerators per part")] = 1,
    adjacency: Annotated[
        Adjacency, typer.Option(help="widest unit that the parts may span")
    ] = Adjacency.ZONE,
    cores: Annotated[int, typer.Option(help="cores per part")] = 1,
    memory_gb: Annotated[int, typer.Option(help="memory per part, GB")] = 1,
    run_time: Annotated[float, typer.Option(help="expected run time, seconds")] = 60.0,
    urgency: Annotated[Urgency, typer.Option(help="urgency of the job")] = Urgency.NORMAL,
    deadline: Annotated[float, typer.Option(help="seconds from now, 0 for none")] = 0.0,
    idempotent: Annotated[bool, typer.Option(help="whether the job may run again")] = True,
    preemptible: Annotated[bool, typer.Option(help="whether the job can be checkpointed")] = True,
    payload: Annotated[str, typer.Option(help="payload, or @FILE to read it")] = "",
    entry: EntryOption = DEFAULT_ENTRY,
    key_file: KeyFileOption = None,
    as_json: JsonOption = False,
) -> None:
    """Submit a gang job and print its id."""
    client = connect(entry, key_file)
    view = client.submit(
        key=key,
        service=service,
        kind=kind,
        shape={
            "parts": parts,
            "accelerators": accelerators,
            "adjacency": adjacency.value,
            "cores": cores,
            "memory_gb": memory_gb,
        },
        declared_s=run_time,
        urgency=urgency.value,
        deadline_s=deadline,
        idempotent=idempotent,
        preemptible=preemptible,
        payload=Path(payload[1:]).read_text() if payload.startswith("@") else payload,
    )
    if as_json:
        print_json(view)
    else:
        print(view["id"])


def status(
    job: JobArgument,
    wait: Annotated[float, typer.Option(help="seconds to wait for the end, 60 at most")] = 0.0,
    by_key: Annotated[
        bool, typer.Option("--by-key", help="JOB is the idempotency key of the job")
    ] = False,
    entry: EntryOption = DEFAULT_ENTRY,
    key_file: KeyFileOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show a job; exits with 79 if it may have run without a result, and with 1 if refused."""
    client = connect(entry, key_file)
    view = client.job_by_key(job) if by_key else client.job(job, wait)
    if by_key and wait:
        view = client.job(view["id"], wait)
    if as_json:
        print_json(view)
    else:
        _print_jobs([view])
    if view["state"] == JobState.MAY_HAVE_RUN.value:
        raise typer.Exit(ExitCode.MAY_HAVE_RUN)
    if view["state"] == JobState.REFUSED.value:
        raise typer.Exit(ExitCode.FAILED)


def cancel(
    jobs: Annotated[list[str], typer.Argument(help="job ids")],
    entry: EntryOption = DEFAULT_ENTRY,
    key_file: KeyFileOption = None,
    as_json: JsonOption = False,
) -> None:
    """Cancel jobs of your organisation, all with one record."""
    views = connect(entry, key_file).cancel(jobs)
    if as_json:
        print_json(views)
    else:
        _print_jobs(views)


def result(
    job: JobArgument, entry: EntryOption = DEFAULT_ENTRY, key_file: KeyFileOption = None
) -> None:
    """Write the whole result of a finished job to standard output, after checking its digest."""
    sys.stdout.buffer.write(connect(entry, key_file).result(job))


def request(
    service: Annotated[str, typer.Argument(help="service")],
    idempotent: Annotated[bool, typer.Option(help="whether the request may run again")] = True,
    entry: EntryOption = DEFAULT_ENTRY,
    key_file: KeyFileOption = None,
) -> None:
    """Send standard input to a runner of a service and write its whole answer."""
    client = connect(entry, key_file)
    sys.stdout.buffer.write(client.request(service, sys.stdin.buffer.read(), idempotent))


def _print_jobs(views: list[dict[str, Any]]) -> None:
    rows = [
        (view["id"], view["key"], view["state"], view["attempt"], view["reason"] or "-")
        for view in views
    ]
    print_table(("JOB", "KEY", "STATE", "ATTEMPT", "REASON"), rows)
