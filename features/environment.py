"""behave hooks: count scenarios, close their resources and skip the known failures."""

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
# Path of the file to which a run writes its summary, if set.
SUMMARY_VARIABLE = "COMFREYSHELF_TEST_SUMMARY"

_COUNTS: Counter[str] = Counter()


class Summary(msgspec.Struct):
    """Results of one behave run; `passed_over` names the scenarios skipped as known failures."""

    passed: int
    failed: int
    passed_over: list[str]


def known_red_names() -> set[str]:
    """Names of the scenarios that KNOWN-RED.txt lists in lines `test: NAME`."""
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
    # behave appends a space to the names of outline examples.
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
