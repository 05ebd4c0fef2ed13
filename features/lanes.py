"""Runs all features in two parallel behave processes and prints the totals.

Run it with `python -m features.lanes`.
"""

import os
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec

from features.environment import ROOT, SUMMARY_VARIABLE, Summary, known_red_names

# promises.feature takes as long as all others together. It runs in virtual time without sockets, so
# it can run beside the features that start processes without disturbing them.
LANES = (("--include", "promises"), ("--exclude", "promises"))
# This format prints the assertion of a step that fails.
BEHAVE = (sys.executable, "-m", "behave", "--no-color", "--no-timings", "--format", "progress3")


def main() -> int:
    """Run both lanes; exit with 1 if one failed or KNOWN-RED.txt names an unknown scenario."""
    failed_lanes = 0
    total = Summary(0, 0, [])
    with TemporaryDirectory() as folder:
        summaries = [Path(folder) / f"lane-{number}.json" for number in range(len(LANES))]
        runs = [
            subprocess.Popen(
                [*BEHAVE, *lane, "features"],
                cwd=ROOT,
                env=os.environ | {SUMMARY_VARIABLE: str(path)},
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
            )
            for lane, path in zip(LANES, summaries, strict=True)
        ]
        for run, path in zip(runs, summaries, strict=True):
            output, _ = run.communicate()
            print(output)
            failed_lanes += run.returncode != 0
            if path.exists():
                lane = msgspec.json.decode(path.read_bytes(), type=Summary)
                total.passed += lane.passed
                total.failed += lane.failed
                total.passed_over += lane.passed_over
    for name in sorted(total.passed_over):
        print(f"known red, passed over: {name}")
    # A name that matches no scenario is an error: its test still runs, or no longer exists.
    for name in sorted(known_red_names() - set(total.passed_over)):
        print(f"KNOWN-RED.txt names no scenario: {name}")
        total.failed += 1
    # A lane can fail without counting a failed scenario, for example by an error in a step file.
    total.failed = max(total.failed, failed_lanes)
    print(f"{total.passed} passed, {total.failed} failed")
    return 1 if total.failed else 0


if __name__ == "__main__":
    sys.exit(main())
