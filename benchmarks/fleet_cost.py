"""Measures the decision times and memory of the fleet's owner, by number of targets.

Example: python -m benchmarks.fleet_cost
Features of the scheduling are switched on by name: python -m benchmarks.fleet_cost fair_shares
"""

import gc
import random
import statistics
import sys
import time
import tracemalloc

from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.job_table import StoredJob
from comfreyshelf.fleet.jobs import (
    Announcement,
    FleetConfig,
    Incarnation,
    Job,
    Organisation,
    Queue,
    QueueName,
    Resources,
    RunningRow,
    Step,
    Token,
)
from comfreyshelf.fleet.messages import Report
from comfreyshelf.fleet.owner import OwnerCore
from comfreyshelf.fleet.scheduling import Feature, Scheduling
from comfreyshelf.ids import JobId, OrganisationId, RackId, ServiceId, TargetId, Version, ZoneId

SIZES = (11, 64, 300, 1_000, 2_000)
ORGANISATIONS = 10
TARGETS_PER_RACK = 4
TASKS_PER_TARGET = 8
# Jobs that are queued after the targets are filled.
QUEUED_JOBS = 20
REPORT_ROUNDS = 20
SEED = 7
SERVICE = ServiceId("permit")
TARGET_RESOURCES = Resources(64_000, 262_144, 8)
SMALL_TASK = Resources(5_000, 16_000, 1)
WIDE_TASK = Resources(5_000, 16_000, 8)


class Fleet:
    """An owner and its simulated targets, which run tasks of one accelerator each.

    `running` maps the number of each target to the run of each of its tasks.
    """

    def __init__(self, size: int, scheduling: Scheduling) -> None:
        self.now = 100.0
        queues = tuple(
            Queue(QueueName(f"q{n}"), "h", f"/q{n}/", SERVICE, n, 3, 3.0, 1.0, False)
            for n in range(3)
        )
        organisations = tuple(
            Organisation(OrganisationId(f"o{n}"), (f"k{n}",), size * 5 // ORGANISATIONS)
            for n in range(ORGANISATIONS)
        )
        config = FleetConfig(Version(1), queues, organisations, 262_144)
        self.core = OwnerCore(config, Bounds(), Token(1), self.now, scheduling)
        self.size = size
        self.running: dict[int, dict[str, int]] = {n: {} for n in range(size)}
        self.job_count = 0
        for number in range(size):
            self.report(number)

    def report(self, number: int) -> None:
        """Pass one target's report to the owner; the progress of its runs follows the time."""
        rack = RackId(f"r{number // TARGETS_PER_RACK}")
        announcement = Announcement(
            TargetId(f"t{number}"),
            SERVICE,
            ZoneId("z"),
            rack,
            ("a", rack),
            TARGET_RESOURCES,
            False,
            0,
            Incarnation(1),
            1,
            0,
        )
        rows = []
        for task, run in self.running[number].items():
            rows.append(RunningRow(task, run, "", int(self.now) % 100))
        report = Report(self.now, announcement, 1, True, tuple(rows), (), (), f"m{number}")
        self.core.handle_report(report, self.now, self.now)

    def submit(self, tasks: int, demand: Resources, queue: int) -> None:
        """Add an accepted job to the owner."""
        self.job_count += 1
        job = Job(
            JobId(f"{self.job_count:016x}"),
            OrganisationId(f"o{self.job_count % ORGANISATIONS}"),
            QueueName(f"q{queue}"),
            "x" * 200,
            (Step(tasks, demand, 3_600_000, checkpoints=True),),
            self.now,
        )
        self.core.load_job(StoredJob(job), self.now, self.now)

    def plan(self) -> float:
        """Run one planning pass and start what it orders; returns the milliseconds of the pass."""
        started = time.perf_counter()
        self.core.plan(self.now, self.now)
        elapsed_s = time.perf_counter() - started
        self.core.mark_stored()
        for number in range(self.size):
            for order in self.core.orders_for(self.core.targets[TargetId(f"t{number}")]).starts:
                self.running[number][order.task] = order.run
        return elapsed_s * 1000


def measure(size: int, scheduling: Scheduling) -> list[float]:
    """Measure one number of targets.

    Returns the median milliseconds of a report, of a planning pass without a new job and of one
    with a new urgent job, and the owner's KB of memory for each target.
    """
    random.seed(SEED)
    gc.collect()
    tracemalloc.start()
    fleet = Fleet(size, scheduling)
    for _ in range(size * TASKS_PER_TARGET // 32):
        fleet.submit(32, SMALL_TASK, 2)
    fleet.plan()
    memory_kb = tracemalloc.get_traced_memory()[0] / 1024 / size
    tracemalloc.stop()
    for _ in range(QUEUED_JOBS):
        fleet.submit(4, WIDE_TASK, 1)
    reports, idle, busy = [], [], []
    for round_number in range(REPORT_ROUNDS):
        fleet.now += 0.05
        started = time.perf_counter()
        fleet.report(round_number % size)
        reports.append((time.perf_counter() - started) * 1000)
        idle.append(fleet.plan())
    for _ in range(5):
        fleet.now += 0.05
        fleet.submit(1, WIDE_TASK, 0)
        busy.append(fleet.plan())
    return [statistics.median(reports), statistics.median(idle), statistics.median(busy), memory_kb]


def main() -> None:
    """Print a row for each number of targets."""
    scheduling = Scheduling(frozenset(Feature(name) for name in sys.argv[1:]))
    print(f"{'targets':>8} {'report ms':>10} {'pass ms':>8} {'urgent ms':>10} {'KB/target':>10}")
    for size in SIZES:
        report, idle, busy, memory = measure(size, scheduling)
        print(f"{size:>8} {report:>10.3f} {idle:>8.2f} {busy:>10.2f} {memory:>10.1f}", flush=True)


if __name__ == "__main__":
    main()
