"""The command that tells where a job would go, without submitting it."""

import os
import sys
from pathlib import Path
from typing import Annotated

import typer

from comfreyshelf.errors import UserError
from comfreyshelf.fleet.where_client import JobQuestion, ask_where
from comfreyshelf.ui.connection import KEY_VARIABLE, JsonOption, KeyFileOption, read_key
from comfreyshelf.ui.output import print_json
from comfreyshelf.ui.where_text import describe_answer


def add_commands(app: typer.Typer) -> None:
    """Register the command."""
    app.command("where")(where)


def where(
    body: Annotated[
        Path | None, typer.Argument(help="the job's body; standard input if none is given")
    ] = None,
    control: Annotated[
        str, typer.Option(help="ip:port of the control address of an entry of the fleet")
    ] = "",
    host: Annotated[str, typer.Option(help="host under which the job would be submitted")] = "",
    path: Annotated[str, typer.Option(help="path of the queue, with or without a job id")] = "",
    key_file: KeyFileOption = None,
    as_json: JsonOption = False,
) -> None:
    """Tell where a job would go now and why, without submitting it."""
    for option, value in (("--control", control), ("--host", host), ("--path", path)):
        if not value:
            raise typer.BadParameter("a value is needed", param_hint=option)
    # Queues that are open need no key.
    key = read_key(key_file) if key_file or os.environ.get(KEY_VARIABLE) else ""
    located = ask_where(control, JobQuestion(_read_body(body), host, path, key))
    if as_json:
        print_json(located)
        return
    print(f"answer of the owner at {located.owner}")
    for line in describe_answer(located.answer):
        print(line)


def _read_body(path: Path | None) -> bytes:
    if path is None:
        return sys.stdin.buffer.read()
    try:
        return path.read_bytes()
    except OSError as exc:
        raise UserError(f"cannot read {path}: {exc}", "give a readable file") from exc
