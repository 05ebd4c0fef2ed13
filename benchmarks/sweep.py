"""Runs the policy benchmark over seeds, deployments and faults and prints means and worst cases.

Example: python -m benchmarks.sweep --seeds 1-5,11-15 --processes 5

Abbreviations in the header: `sd` slowdown, `vs fc` and `vs ff` ratio to the first-come and
first-fit baselines, `frag` fragmentation, `scat` its avoidable part, `small/l` slowdown of small
callers over that of large ones, `unf` unfinished jobs, `dbl` jobs that finished twice, `cut`
overlapping reservations (in runs with a flood also jobs that finished twice), `maybe` jobs that may
have run, `lost s` lost run time.
"""

from concurrent.futures import ProcessPoolExecutor
from typing import Annotated

import msgspec
import typer

from benchmarks.policy import FAULTS, FLOOD_URGENCIES, WORKER_RESOURCES, Row, measure, prepare

# The baselines run only without faults, because the goals compare with them at steady load.
BASELINES = ("first-come", "first-fit")
SEED_SETS = {"tuning": range(1, 11), "held-out": range(11, 10_000)}
HEADER = (
    f"{'deployment':10} {'seeds':8} {'fault':12} {'sd p99':>7} {'vs fc':>6} {'vs ff':>6} "
    f"{'frag':>6} {'vs fc':>6} {'vs ff':>6} {'scat':>6} {'vs fc':>6} {'vs ff':>6} "
    f"{'goodput':>11} {'work':>11} {'small/l':>9} {'urgent':>7} "
    f"{'reclaim':>7} {'unf':>4} {'dbl':>4} {'cut':>4} {'maybe':>5} {'lost s':>7}"
)


class Case(msgspec.Struct, frozen=True):
    """One combination of deployment, seed and fault; `fault` is empty for a run without faults."""

    deployment: str
    seed: int
    fault: str


def run_case(case: Case, hours: float) -> dict[str, Row]:
    """Run one case and return its rows by policy."""
    faults = (case.fault,) if case.fault else ()
    setup = prepare(case.deployment, case.seed, 0.85, 10, faults, hours)
    names = ("comfreyshelf",) if case.fault else ("comfreyshelf", *BASELINES)
    return {name: measure(setup, name) for name in names}


def summary(label: str, rows: list[dict[str, Row]]) -> str:
    """Format one line of the table.

    Ratios to the baselines are means over the seeds; figures with a bound are those of the worst
    seed, and counts are sums.
    """
    ours = [row["comfreyshelf"] for row in rows]
    figures = [row.figures for row in ours]

    def mean(values: list[float]) -> float:
        return sum(values) / len(values)

    def ratio(name: str, field: str) -> str:
        if name not in rows[0]:
            return "     -"
        pairs = [(row["comfreyshelf"].figures, row[name].figures) for row in rows]
        if field == "slowdown":
            return f"{mean([a.all.slowdown_p99 / b.all.slowdown_p99 for a, b in pairs]):6.2f}"
        return f"{mean([getattr(a, field) / getattr(b, field) for a, b in pairs]):6.2f}"

    def mean_and_min(kept: list[dict[str, float]]) -> str:
        values = [value for each in kept for value in each.values()]
        return f"{mean(values):5.3f}/{min(values):5.3f}" if values else "          -"

    goodput = mean_and_min([row.goodput_kept for row in ours])
    work = mean_and_min([row.work_kept for row in ours])
    small_to_large = [each.small_over_large for each in figures]
    return (
        f"{label} {mean([each.all.slowdown_p99 for each in figures]):7.2f} "
        f"{ratio('first-come', 'slowdown')} {ratio('first-fit', 'slowdown')} "
        f"{mean([each.fragmentation for each in figures]):6.3f} "
        f"{ratio('first-come', 'fragmentation')} {ratio('first-fit', 'fragmentation')} "
        f"{mean([each.scattered for each in figures]):6.3f} "
        f"{ratio('first-come', 'scattered')} {ratio('first-fit', 'scattered')} "
        f"{goodput} {work} {mean(small_to_large):4.2f}/{max(small_to_large):4.2f} "
        f"{max(each.urgent_start_max_s for each in figures):7.2f} "
        f"{max(each.reclaim_p99_s for each in figures):7.2f} "
        f"{sum(each.unfinished for each in figures):4} "
        f"{sum(each.finished_twice for each in figures):4} "
        f"{sum(each.overlaps for each in figures) + sum(row.flood_violations for row in ours):4} "
        f"{sum(each.may_have_run for each in figures):5} "
        f"{sum(each.lost_work_s for each in figures):7.0f}"
    )


def parse_seeds(text: str) -> list[int]:
    """Parse a list of numbers and ranges such as `1-5,11-15`."""
    seeds: list[int] = []
    for item in text.split(","):
        first, _, last = item.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def main(
    seeds: str = "1-5,11-15",
    faults: Annotated[str, typer.Option(help="comma-separated; 'none' is no fault")] = "",
    processes: int = 5,
    hours: Annotated[float, typer.Option(help="virtual hours of arrivals")] = 24.0,
) -> None:
    """Run every deployment, seed and fault, and print a line for each fault and set of seeds."""
    chosen = faults.split(",") if faults else ["none", *FAULTS]
    cases = [
        Case(deployment, seed, "" if fault == "none" else fault)
        for fault in sorted(chosen, key=lambda name: name not in FLOOD_URGENCIES)
        for deployment in WORKER_RESOURCES
        for seed in parse_seeds(seeds)
    ]
    with ProcessPoolExecutor(processes) as pool:
        rows = dict(zip(cases, pool.map(run_case, cases, [hours] * len(cases)), strict=True))
    print(HEADER)
    for fault in chosen:
        for deployment in WORKER_RESOURCES:
            for name, members in SEED_SETS.items():
                found = [
                    row
                    for case, row in rows.items()
                    if (case.deployment, case.fault or "none") == (deployment, fault)
                    and case.seed in members
                ]
                if found:
                    print(summary(f"{deployment:10} {name:8} {fault:12}", found))
    for case, row in rows.items():
        worst = row["comfreyshelf"].figures
        if worst.urgent_start_max_s > 9.7:
            print(f"urgent work waited {worst.urgent_start_max_s:.1f} s in {case}")


if __name__ == "__main__":
    typer.run(main)
