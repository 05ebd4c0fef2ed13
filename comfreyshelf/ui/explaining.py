"""The command that explains a request or job from log lines."""

import sys
from pathlib import Path
from typing import Annotated

import typer

from comfreyshelf.errors import SettingsError, UserError
from comfreyshelf.explain import describe_cause, read_lines, render_line, select_job_lines
from comfreyshelf.ids import JobId


class UnknownJobError(UserError):
    """No log line mentions the job."""


def add_commands(app: typer.Typer) -> None:
    """Register the command."""
    app.command("explain")(explain)


def explain(
    job: Annotated[str, typer.Argument(help="id of the request or job")],
    files: Annotated[
        list[Path] | None, typer.Argument(help="log files; standard input if none is given")
    ] = None,
) -> None:
    """Print the events of a request or job in order of time, and the cause of its outcome."""
    texts: list[str] = []
    try:
        for path in files or ():
            texts += path.read_text(encoding="utf-8", errors="replace").splitlines()
    except OSError as exc:
        raise SettingsError(f"cannot read {exc.filename}: {exc}", "give a log file") from exc
    if not files:
        texts = sys.stdin.read().splitlines()
    lines = select_job_lines(read_lines(texts), JobId(job))
    if not lines:
        raise UnknownJobError(
            f"no log line mentions {job}", "give the logs of all entries and targets"
        )
    start = float(str(lines[0]["time"]))
    for line in lines:
        print(render_line(line, start))
    print(f"cause: {describe_cause(lines, JobId(job))}")
