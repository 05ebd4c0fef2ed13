"""Measures the CPU share, resident memory and control traffic of an idle and a busy target process.

Example: python -m benchmarks.target_cost (about 40 s; exits with 1 if a figure misses its goal)

CPU and memory of the target process are read from /proc. Control bytes are read from the metrics
of its entry, which is the other end of the target's only link.
"""

import os
import re
import sys
import time
from pathlib import Path

import msgspec

from comfreyshelf.client import Client
from comfreyshelf.demo import CALLER_KEY, DEMO_CONFIG_TEXT, OPERATOR_KEY, wait_for_targets
from features.processes import Processes, separate_processes

IDLE_S = 12.0
BUSY_S = 16.0
WARM_UP_S = 3.0
REQUESTS_PER_S = 5
MAX_CPU_PERCENT = 1.2
MAX_MEMORY_MB = 256.0
MAX_CONTROL_KB_PER_S = 11.0
_CONTROL_BYTES_PATTERN = re.compile(
    r'^comfreyshelf_control_bytes\{link="(?!log").*\} (\d+)$', re.MULTILINE
)


class Sample(msgspec.Struct, frozen=True):
    """Totals of the target process at the monotonic time `at`."""

    at: float
    cpu_s: float
    memory_mb: float
    control_bytes: int
    threads: int


def sample(pid: int, client: Client) -> Sample:
    """Read the current totals of the target process `pid`."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rsplit(") ", 1)[1].split()
    ticks = int(stat[11]) + int(stat[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="utf-8").split()[1])
    memory = pages * os.sysconf("SC_PAGE_SIZE") / 1e6
    sent = sum(int(value) for value in _CONTROL_BYTES_PATTERN.findall(client.metrics()))
    cpu_s = ticks / os.sysconf("SC_CLK_TCK")
    return Sample(time.monotonic(), cpu_s, memory, sent, int(stat[17]))


def print_and_check(name: str, before: Sample, after: Sample) -> bool:
    """Print a line of figures and return whether all of them meet their goals."""
    seconds = after.at - before.at
    cpu = 100 * (after.cpu_s - before.cpu_s) / seconds
    control = (after.control_bytes - before.control_bytes) / seconds / 1000
    print(
        f"{name}: {cpu:.2f} % of a core (goal {MAX_CPU_PERCENT}), "
        f"{after.memory_mb:.1f} MB (goal {MAX_MEMORY_MB:.0f}), "
        f"{control:.2f} KB/s control (goal {MAX_CONTROL_KB_PER_S:.0f}), "
        f"{after.threads} threads, over {seconds:.0f} s"
    )
    return (
        cpu <= MAX_CPU_PERCENT
        and after.memory_mb <= MAX_MEMORY_MB
        and control <= MAX_CONTROL_KB_PER_S
    )


def run_busy_load(client: Client, seconds: float) -> None:
    """Keep the target busy with jobs and requests for `seconds`.

    Six jobs of one accelerator run all the time, a short job starts each second, and
    REQUESTS_PER_S requests are sent a second.
    """
    for index in range(6):
        _submit(client, f"long-{index}", seconds + 60)
    end_at = time.monotonic() + seconds
    count = 0
    while time.monotonic() < end_at:
        if count % REQUESTS_PER_S == 0:
            _submit(client, f"short-{count}", 0.5)
        client.request("permit", b"x" * 200)
        count += 1
        time.sleep(1 / REQUESTS_PER_S)


def _submit(client: Client, key: str, run_s: float) -> None:
    client.submit(
        key=key,
        service="permit",
        kind="survey-check",
        shape={"parts": 1, "accelerators": 1},
        declared_s=run_s,
        payload=msgspec.json.encode({"run_s": run_s}).decode(),
    )


def start(processes: Processes) -> Client:
    """Start the log, one entry and one target, and return an operator's client."""
    processes.start_log()
    processes.start_entry("entry-0", "paysandu")
    processes.start_target("target-0", "paysandu", "rack-0", status_interval_s=2.0)
    operator = processes.client("entry-0", OPERATOR_KEY)
    operator.publish(DEMO_CONFIG_TEXT, 0)
    wait_for_targets(operator, 1, 1)
    return operator


def run() -> bool:
    """Measure an idle and a busy target and return whether every figure meets its goal."""
    with separate_processes() as processes:
        operator = start(processes)
        pid = processes.pid("target-0")
        time.sleep(WARM_UP_S)
        before = sample(pid, operator)
        time.sleep(IDLE_S)
        ok = print_and_check("idle", before, sample(pid, operator))
        before = sample(pid, operator)
        run_busy_load(processes.client("entry-0", CALLER_KEY), BUSY_S)
        return print_and_check("busy", before, sample(pid, operator)) and ok


if __name__ == "__main__":
    sys.exit(0 if run() else 1)
