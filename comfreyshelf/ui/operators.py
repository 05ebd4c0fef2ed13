"""Operators' commands on the configuration text."""

from pathlib import Path
from typing import Annotated

import typer

from comfreyshelf.config import parse_config
from comfreyshelf.errors import UserError
from comfreyshelf.ids import Version

EXIT_INVALID_TEXT = 2

TextPath = Annotated[Path, typer.Argument(help="INI text of the configuration")]


def add_commands(app: typer.Typer) -> None:
    """Register the commands."""
    app.command("check")(check)


def read_text(path: Path) -> str:
    """Read a text file; raises UserError."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise UserError(f"cannot read {path}: {exc}", "give a readable file") from exc


def check(text: TextPath) -> None:
    """Check a configuration text; exits with 2 if it has problems."""
    parsed = parse_config(read_text(text), Version(1))
    if parsed.is_ok():
        print(f"{text}: valid")
        return
    for problem in parsed.error:
        print(f"{text}: {problem}")
    raise typer.Exit(EXIT_INVALID_TEXT)
