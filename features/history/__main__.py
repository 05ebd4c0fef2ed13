"""Runs history checks: `python -m features.history --seed N --examples N` or `--plan JSON`."""

import argparse
import itertools
import sys
import time

from absl import logging

from features.environment import known_red_names
from features.history.plan import (
    DEFAULT_KINDS,
    FaultKind,
    Plan,
    decode_plan,
    draw_examples,
    fixed_faults,
    replace_fault_kinds,
)
from features.history.report import Report

# Share of the examples that have a single fault; the others have two.
SINGLE_FAULT_SHARE = 0.4


def main() -> int:
    """Run the examples; exit with 1 if a promise broke that KNOWN-RED.txt does not list."""
    parser = argparse.ArgumentParser(prog="python -m features.history")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--examples", type=int, default=200)
    parser.add_argument("--plan", type=decode_plan, help="repeat one plan, given as JSON")
    parser.add_argument(
        "--faults", default="", help="comma-separated faults that every example has"
    )
    args = parser.parse_args()
    logging.set_verbosity(logging.FATAL)
    report = Report()
    started = time.monotonic()
    for plan in _plans(args):
        report.run(plan)
    print(report.render())
    print(f"\nseed {args.seed}, {time.monotonic() - started:.1f} s")
    known_red = {
        name.removeprefix("history ") for name in known_red_names() if name.startswith("history ")
    }
    broken_rows = report.broken_rows(known_red)
    print(
        f"broken: {', '.join(broken_rows) or 'none'}; passed over: {', '.join(sorted(known_red))}"
    )
    return 1 if broken_rows else 0


def _plans(args: argparse.Namespace) -> list[Plan]:
    if args.plan is not None:
        return [args.plan]
    if args.faults:
        kinds = tuple(FaultKind(name) for name in args.faults.split(","))
        return draw_examples(fixed_faults(kinds), args.seed, args.examples)
    single_count = int(args.examples * SINGLE_FAULT_SHARE)
    pairs = tuple(itertools.combinations_with_replacement(DEFAULT_KINDS, 2))
    return [
        *_draw_over_kinds(args.seed, single_count, tuple((kind,) for kind in DEFAULT_KINDS)),
        *_draw_over_kinds(args.seed, args.examples - single_count, pairs),
    ]


def _draw_over_kinds(
    seed: int, count: int, choices: tuple[tuple[FaultKind, ...], ...]
) -> list[Plan]:
    """Draw plans that take their faults from `choices` in turn; `seed` selects the first one."""
    if count == 0:
        return []
    drawn = draw_examples(fixed_faults(choices[0]), seed, count)
    first = seed * count
    return [
        replace_fault_kinds(plan, choices[(first + index) % len(choices)])
        for index, plan in enumerate(drawn)
    ]


if __name__ == "__main__":
    sys.exit(main())
