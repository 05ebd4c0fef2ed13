"""Output of the command line: text or JSON, and exit codes."""

import sys
from collections.abc import Sequence
from enum import IntEnum

import msgspec

from comfreyshelf.client import RefusedError, UnreachableError
from comfreyshelf.errors import Execution, SettingsError, UserError
from comfreyshelf.reasons import RefusalReason


class ExitCode(IntEnum):
    """Exit codes; those above 63 are the conventional ones of sysexits."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID_TEXT = 65
    UNAVAILABLE = 69
    RETRY_LATER = 75
    NO_PERMISSION = 77
    BAD_SETTINGS = 78
    MAY_HAVE_RUN = 79


def exit_code(exc: UserError) -> ExitCode:
    """The exit code for an error."""
    if isinstance(exc, SettingsError):
        return ExitCode.BAD_SETTINGS
    if isinstance(exc, UnreachableError):
        return ExitCode.UNAVAILABLE
    if not isinstance(exc, RefusedError):
        return ExitCode.FAILED
    refusal = exc.refusal
    if refusal.execution is Execution.MAY_HAVE_RUN:
        return ExitCode.MAY_HAVE_RUN
    if refusal.reason in (RefusalReason.UNAUTHORISED, RefusalReason.FORBIDDEN):
        return ExitCode.NO_PERMISSION
    if refusal.reason is RefusalReason.INVALID_TEXT:
        return ExitCode.INVALID_TEXT
    return ExitCode.RETRY_LATER if refusal.retry_after_s else ExitCode.FAILED


def print_error(exc: UserError) -> None:
    """Print an error and its remedy to standard error."""
    print(f"comfreyshelf: {exc.message}", file=sys.stderr)
    print(f"remedy: {exc.remedy}", file=sys.stderr)


def print_json(value: object) -> None:
    """Print a value as one JSON document."""
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


def print_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a table whose columns are as wide as their widest cell."""
    cells = [list(map(str, row)) for row in [header, *rows]]
    widths = [max(len(row[index]) for row in cells) for index in range(len(header))]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(padded).rstrip())
