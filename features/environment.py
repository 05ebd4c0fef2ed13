"""Hooks: counts scenarios, closes what they opened, and passes over known failures by name."""

import os
from collections import Counter
from contextlib import ExitStack
from pathlib import Path

import msgspec
from absl import logging
from behave.model import Scenario
from behave.model_type import Status
from behave.runner import Context

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Names the file for the summary of a run, if one is wanted.
SUMMARY_VARIABLE = "COMFREYSHELF_TEST_SUMMARY"

_COUNTS: Counter[str] = Counter()


class Summary(msgspec.Struct):
    """What one run of behave came to; `passed_over` names the known failures that it met."""

    passed: int
    failed: int
    passed_over: list[str]


def known_red_names() -> set[str]:
    """Names of the scenarios that KNOWN-RED.txt lists, one `test: NAME` line each."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def before_all(context: Context) -> None:
    logging.set_verbosity(logging.ERROR)
    _COUNTS.clear()
    context.known_red = known_red_names()
    context.passed_over = set()


def before_scenario(context: Context, scenario: Scenario) -> None:
    context.stack = ExitStack()
    # behave ends the names of examples with a blank.
    name = scenario.name.strip()
    if name in context.known_red:
        context.passed_over.add(name)
        print(f"known red, passed over: {scenario.name}")
        scenario.skip("listed in KNOWN-RED.txt")


def after_scenario(context: Context, scenario: Scenario) -> None:
    context.stack.close()
    if scenario.status == Status.passed:
        _COUNTS["passed"] += 1
    elif scenario.status != Status.skipped:
        _COUNTS["failed"] += 1


def after_all(context: Context) -> None:
    path = os.environ.get(SUMMARY_VARIABLE)
    if path:
        summary = Summary(_COUNTS["passed"], _COUNTS["failed"], sorted(context.passed_over))
        Path(path).write_bytes(msgspec.json.encode(summary))
