"""Measures latencies of short requests and of job starts through an entry over loopback.

Example: python -m benchmarks.http_latency (takes at most about 20 s)
"""

import threading
import time
from collections.abc import Callable

from absl import logging

from comfreyshelf.client import Client
from comfreyshelf.demo import (
    CALLER_KEY,
    DEMO_CONFIG_TEXT,
    OPERATOR_KEY,
    Deployment,
    wait_for_targets,
)
from comfreyshelf.worker import StandinWorker

REQUEST_DURATION_S = 6.0
JOB_DURATION_S = 8.0
THREADS = 4
BODY = b"x" * 1024
# The rate limits are so high that they refuse none of the measured requests and jobs.
CONFIG_TEXT = DEMO_CONFIG_TEXT.replace(
    "weight = 2", "weight = 2\nrate = 1000000\nburst = 1000000"
).replace(
    "organisation = hidrovia-dragados",
    "organisation = hidrovia-dragados\nrate = 1000000\nburst = 1000000",
)


def quantiles(values: list[float]) -> str:
    """Format the count, p50 and p99 of `values`, which are in seconds."""
    ordered = sorted(values)
    p50 = ordered[len(ordered) // 2]
    p99 = ordered[int(len(ordered) * 0.99)]
    return f"n={len(ordered)} p50={p50 * 1e3:.2f} ms p99={p99 * 1e3:.2f} ms"


def repeat_for(call: Callable[[], float], seconds: float) -> list[float]:
    """Call `call` repeatedly for `seconds` and return its results."""
    until = time.monotonic() + seconds
    values = []
    while time.monotonic() < until:
        values.append(call())
    return values


def make_request_call(client: Client) -> Callable[[], float]:
    """Return a function that sends one request and returns its round-trip time in seconds."""

    def call() -> float:
        started = time.monotonic()
        client.request("permit", BODY)
        return time.monotonic() - started

    return call


def count_started_parts(deployment: Deployment) -> int:
    """Count the parts that the stand-in workers have started."""
    workers = [target.worker for target in deployment.targets]
    return sum(len(worker.started) for worker in workers if isinstance(worker, StandinWorker))


def make_job_call(client: Client, deployment: Deployment) -> Callable[[], float]:
    """Return a function that submits a job of one part and measures the time to its start."""
    state = {"number": 0}

    def call() -> float:
        state["number"] += 1
        before = count_started_parts(deployment)
        started = time.monotonic()
        job = client.submit(
            key=f"latency-{state['number']}",
            service="permit",
            kind="latency",
            shape={"parts": 1, "accelerators": 1},
            payload='{"run_s": 0.01}',
        )
        while count_started_parts(deployment) == before:
            time.sleep(0.0005)
        seconds = time.monotonic() - started
        client.job(job["id"], wait_s=5.0)
        return seconds

    return call


def measure_concurrent_requests(deployment: Deployment) -> list[float]:
    """Return the round-trip times of requests from THREADS callers at the same time."""
    values: list[float] = []

    def work() -> None:
        values.extend(
            repeat_for(make_request_call(deployment.client(CALLER_KEY)), REQUEST_DURATION_S / 2)
        )

    threads = [threading.Thread(target=work) for _ in range(THREADS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return values


def main() -> None:
    """Measure and print all latencies."""
    logging.set_verbosity(logging.ERROR)
    with Deployment().run() as deployment:
        operator = deployment.client(OPERATOR_KEY)
        operator.publish(CONFIG_TEXT, 0)
        wait_for_targets(operator, len(deployment.targets), 1)
        caller = deployment.client(CALLER_KEY)
        print(
            "request, 1 caller:   ",
            quantiles(repeat_for(make_request_call(caller), REQUEST_DURATION_S / 2)),
        )
        print(f"request, {THREADS} callers:  ", quantiles(measure_concurrent_requests(deployment)))
        print(
            "submit to start:     ",
            quantiles(repeat_for(make_job_call(caller, deployment), JOB_DURATION_S)),
        )


if __name__ == "__main__":
    main()
