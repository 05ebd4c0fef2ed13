"""Measures latencies from submission to start and result, with separate processes on loopback.

Example: python -m benchmarks.process_latency (starts the stand-in log, 2 entries and 3 targets)
"""

import time
from typing import Annotated

import msgspec
import typer
from hdrh.histogram import HdrHistogram

from comfreyshelf.client import Client
from comfreyshelf.demo import CALLER_KEY, DEMO_CONFIG_TEXT, OPERATOR_KEY, wait_for_targets
from features.processes import separate_processes

ENTRIES = 2
TARGETS = 3
ZONES = ("paysandu", "salto")
POLL_INTERVAL_S = 0.002
TIMEOUT_S = 30.0
# Keeps the submissions below the caller's rate limit.
PAUSE_BETWEEN_JOBS_S = 0.05
QUANTILES = {"p50": 50, "p99": 99, "max": 100}


def run_job(client: Client, key: str, parts: int, histograms: dict[str, HdrHistogram]) -> None:
    """Submit a job that runs for 50 ms and record its latencies up to its result.

    Raises RuntimeError if the job does not finish within TIMEOUT_S.
    """
    started = time.perf_counter()
    view = client.submit(
        key=key,
        service="permit",
        kind="survey-check",
        shape={"parts": parts, "accelerators": 2},
        declared_s=1.0,
        payload=msgspec.json.encode({"run_s": 0.05}).decode(),
    )
    record_elapsed(histograms, "submit to accepted", started)
    while view["state"] == "queued" and time.perf_counter() - started < TIMEOUT_S:
        time.sleep(POLL_INTERVAL_S)
        view = client.job(view["id"])
    record_elapsed(histograms, "submit to start", started)
    view = client.wait(view["id"], TIMEOUT_S)
    if view["state"] != "finished":
        raise RuntimeError(f"job {key} is {view['state']}; expected finished within {TIMEOUT_S} s")
    client.result(view["id"])
    record_elapsed(histograms, "submit to result", started)


def record_elapsed(histograms: dict[str, HdrHistogram], name: str, started: float) -> None:
    """Record the microseconds since `started` in the named histogram."""
    histogram = histograms.setdefault(name, HdrHistogram(1, 60_000_000, 3))
    histogram.record_value(int((time.perf_counter() - started) * 1e6))


def main(
    jobs: Annotated[int, typer.Option(help="jobs, one after the other")] = 100,
    parts: Annotated[int, typer.Option(help="parts of each job")] = 4,
) -> None:
    """Run the jobs and print the latencies.

    Starts are polled every 2 ms, so they are seen up to 2 ms late.
    """
    histograms: dict[str, HdrHistogram] = {}
    with separate_processes() as processes:
        processes.start_log()
        for index in range(ENTRIES):
            processes.start_entry(f"entry-{index}", ZONES[index % 2])
        for index in range(TARGETS):
            zone = ZONES[index % 2]
            processes.start_target(f"target-{index}", zone, f"{zone}-rack")
        operator = processes.client("entry-0", OPERATOR_KEY)
        client = processes.client("entry-1", CALLER_KEY)
        operator.publish(DEMO_CONFIG_TEXT, 0)
        wait_for_targets(operator, TARGETS, 1)
        run_job(client, "warm-up", parts, {})
        for index in range(jobs):
            run_job(client, f"job-{index}", parts, histograms)
            time.sleep(PAUSE_BETWEEN_JOBS_S)
    print(f"{jobs} jobs of {parts} parts, {ENTRIES} entries, {TARGETS} targets; ms")
    for name, histogram in histograms.items():
        figures = (
            f"{label} {histogram.get_value_at_percentile(percent) / 1000:.1f}"
            for label, percent in QUANTILES.items()
        )
        print(name, *figures)


if __name__ == "__main__":
    typer.run(main)
