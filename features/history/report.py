"""Runs plans, counts violations by promise and fault, and gives the command to repeat one."""

import shlex
from collections import Counter

from features.history.checkers import check_all
from features.history.events import Promise, Violation
from features.history.plan import FaultKind, Plan
from features.history.scenario import run_plan

UNHANDLED_EXCEPTION = "unhandled exception"
ROWS = [*(promise.value for promise in Promise), UNHANDLED_EXCEPTION]


class Report:
    """Totals over many plans; a plan with two faults counts for both of them."""

    def __init__(self) -> None:
        self.examples = 0
        self.events = 0
        self.runs: Counter[str] = Counter()
        self.violations: Counter[tuple[str, str]] = Counter()
        self.first_violations: dict[str, tuple[Violation, Plan]] = {}

    def run(self, plan: Plan) -> list[Violation]:
        """Run one plan and return the violations in its history."""
        history = run_plan(plan)
        violations = check_all(history)
        self.examples += 1
        self.events += len(history)
        columns = {fault.kind.value for fault in plan.faults} or {"none"}
        self.runs.update(columns)
        for violation in violations:
            row = violation.promise.value if violation.promise else UNHANDLED_EXCEPTION
            self.first_violations.setdefault(row, (violation, plan))
            self.violations.update((row, column) for column in columns)
        return violations

    def broken_rows(self, known_red: set[str]) -> list[str]:
        """Rows with violations that are not listed as known red."""
        return [row for row in ROWS if row in self.first_violations and row not in known_red]

    def render(self) -> str:
        """Format totals, violations by fault and promise, and the first violation of each row."""
        lines = [f"{self.examples} examples, {self.events} events checked", ""]
        lines.append(f"{'fault':20}{'examples':>9}" + "".join(f"{row[:13]:>15}" for row in ROWS))
        for column in ["none", *(kind.value for kind in FaultKind)]:
            if not self.runs[column]:
                continue
            counts = "".join(f"{self.violations[row, column]:>15}" for row in ROWS)
            lines.append(f"{column:20}{self.runs[column]:>9}{counts}")
        for row, (violation, plan) in self.first_violations.items():
            lines += ["", f"{row}: {violation.message}", f"  repeat: {repeat_command(plan)}"]
            lines += [f"  {event}"[:240] for event in violation.events[:4]]
        return "\n".join(lines)


def repeat_command(plan: Plan) -> str:
    """The command line that runs a plan again."""
    return f"python -m features.history --plan {shlex.quote(plan.encode())}"
