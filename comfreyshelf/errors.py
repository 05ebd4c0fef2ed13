"""Errors that users see; each says what to do next. Bugs raise ordinary exceptions."""

from enum import Enum

import msgspec

from comfreyshelf.reasons import RefusalReason


class Execution(Enum):
    """Whether work that was refused may have run."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class UserError(Exception):
    """An error that the user can resolve; the command line prints it without a traceback.

    `remedy` is one sentence that says what to do next.
    """

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy


class SettingsError(UserError):
    """A process setting is missing, unknown or out of range."""


class LogUnavailableError(UserError):
    """The log service did not answer; an append may still have taken effect."""


class RecordError(UserError):
    """A record cannot be decoded."""


class Problem(msgspec.Struct, frozen=True):
    """One error in the configuration text, with its section and line (counted from 1)."""

    section: str
    line: int
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"line {self.line}: [{self.section}] {self.message}; {self.remedy}"


class Refusal(msgspec.Struct, frozen=True):
    """A refusal that is sent to a caller.

    `remedy` says what to do next. `retry_after_s` is 0 if a retry cannot succeed.
    """

    reason: RefusalReason
    execution: Execution
    message: str
    remedy: str
    retry_after_s: int = 0


def not_run(reason: RefusalReason, message: str, remedy: str, retry_after_s: int = 0) -> Refusal:
    """Build a refusal of work that is proved not to have run."""
    return Refusal(reason, Execution.NOT_RUN, message, remedy, retry_after_s)


def may_have_run(reason: RefusalReason, message: str, remedy: str) -> Refusal:
    """Build a refusal of work that may have run: nothing proves that it never started."""
    return Refusal(reason, Execution.MAY_HAVE_RUN, message, remedy)
