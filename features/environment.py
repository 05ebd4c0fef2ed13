"""Hooks: counts scenarios, closes what they opened, and passes over known failures by name."""

from collections import Counter
from contextlib import ExitStack
from pathlib import Path

from absl import logging
from behave.model import Scenario
from behave.model_type import Status
from behave.runner import Context

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
SUMMARY = ROOT / ".test-summary"

_COUNTS: Counter[str] = Counter()


def known_red_names() -> set[str]:
    """Names of the scenarios that KNOWN-RED.txt lists, one `test: NAME` line each."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def _is_whole_run(context: Context) -> bool:
    return not context.config.name and [Path(p).name for p in context.config.paths] in (
        [],
        ["features"],
    )


def before_all(context: Context) -> None:
    logging.set_verbosity(logging.ERROR)
    _COUNTS.clear()
    context.known_red = known_red_names()
    context.unmatched = set(context.known_red)


def before_scenario(context: Context, scenario: Scenario) -> None:
    context.stack = ExitStack()
    # behave ends the names of examples with a blank.
    name = scenario.name.strip()
    if name in context.known_red:
        context.unmatched.discard(name)
        print(f"known red, passed over: {scenario.name}")
        scenario.skip("listed in KNOWN-RED.txt")


def after_scenario(context: Context, scenario: Scenario) -> None:
    context.stack.close()
    if scenario.status == Status.passed:
        _COUNTS["passed"] += 1
    elif scenario.status != Status.skipped:
        _COUNTS["failed"] += 1


def after_all(context: Context) -> None:
    # An entry that names no scenario would hide that its test runs, or that it is gone.
    if _is_whole_run(context):
        for name in sorted(context.unmatched):
            print(f"KNOWN-RED.txt names no scenario: {name}")
            _COUNTS["failed"] += 1
            context._runner.aborted = True
    SUMMARY.write_text(
        f"{_COUNTS['passed']} passed, {_COUNTS['failed']} failed\n", encoding="utf-8"
    )
