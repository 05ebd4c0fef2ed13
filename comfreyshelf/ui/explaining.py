"""The commands that explain a request, a job or lost work from log lines."""

import sys
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Annotated

import typer

from comfreyshelf.errors import SettingsError, UserError
from comfreyshelf.explain import (
    describe_cause,
    read_lines,
    render_line,
    select_job_lines,
    sum_lost_work,
)
from comfreyshelf.ids import JobId


class UnknownJobError(UserError):
    """No log line mentions the job."""


def add_commands(app: typer.Typer) -> None:
    """Register the commands."""
    app.command("explain")(explain)
    app.command("lost-work")(lost_work)


LogFiles = Annotated[
    list[Path] | None, typer.Argument(help="log files; standard input if none is given")
]


def explain(
    job: Annotated[str, typer.Argument(help="id of the request or job")],
    files: LogFiles = None,
) -> None:
    """Print the events of a request or job in order of time, and the cause of its outcome."""
    lines = select_job_lines(read_lines(_iterate_text(files)), JobId(job))
    if not lines:
        raise UnknownJobError(
            f"no log line mentions {job}", "give the logs of all entries and targets"
        )
    start = float(str(lines[0]["time"]))
    for line in lines:
        print(render_line(line, start))
    print(f"cause: {describe_cause(lines, JobId(job))}")


def lost_work(files: LogFiles = None) -> None:
    """Print how many runs ended without success, and the work lost with them, by cause."""
    causes = sum_lost_work(_iterate_text(files))
    total_core_s = sum(lost.core_s for lost in causes.values())
    for cause, lost in causes.items():
        print(f"{lost.core_s:12.0f} core-s  {lost.runs:6d} runs  {cause}")
    print(f"{total_core_s:12.0f} core-s  {sum(lost.runs for lost in causes.values()):6d} runs  all")


def _iterate_text(files: list[Path] | None) -> Iterator[str]:
    """The lines of the files, or of standard input, read one at a time."""
    if not files:
        yield from sys.stdin
        return
    with ExitStack() as stack:
        for path in files:
            try:
                file = stack.enter_context(path.open(encoding="utf-8", errors="replace"))
            except OSError as exc:
                raise SettingsError(f"cannot read {path}: {exc}", "give a log file") from exc
            yield from file
