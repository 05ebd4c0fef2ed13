"""Latency of short requests and of submit-to-start through an entry over loopback.

Run `python -m benchmarks.http_latency`; it takes at most about 20 s and prints milliseconds.
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
# High limits keep admission control out of the measured path.
CONFIG_TEXT = DEMO_CONFIG_TEXT.replace(
    "weight = 2", "weight = 2\nrate = 1000000\nburst = 1000000"
).replace(
    "organisation = hidrovia-dragados",
    "organisation = hidrovia-dragados\nrate = 1000000\nburst = 1000000",
)


def quantiles(values: list[float]) -> str:
    """Count, p50 and p99 in milliseconds."""
    ordered = sorted(values)
    p50 = ordered[len(ordered) // 2]
    p99 = ordered[int(len(ordered) * 0.99)]
    return f"n={len(ordered)} p50={p50 * 1e3:.2f} ms p99={p99 * 1e3:.2f} ms"


def repeat_for(call: Callable[[], float], seconds: float) -> list[float]:
    """Call until the time is over and collect the returned seconds."""
    until = time.monotonic() + seconds
    values = []
    while time.monotonic() < until:
        values.append(call())
    return values


def make_request_call(client: Client) -> Callable[[], float]:
    """One request round trip."""

    def call() -> float:
        started = time.monotonic()
        client.request("permit", BODY)
        return time.monotonic() - started

    return call


def count_started_parts(deployment: Deployment) -> int:
    """Parts that the stand-in workers have started."""
    workers = [target.worker for target in deployment.targets]
    return sum(len(worker.started) for worker in workers if isinstance(worker, StandinWorker))


def make_job_call(client: Client, deployment: Deployment) -> Callable[[], float]:
    """One job of one part, from submission until a worker starts it."""
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
    """Round trips of THREADS callers at once."""
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
    """Measure and print."""
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
