"""Measures the scheduler's decision times and memory for one domain, by number of workers.

Example: python -m benchmarks.decision_cost 64 1000 (fleet sizes; without any, those of SIZES)
"""

import gc
import math
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Sequence

import msgspec

from comfreyshelf.commands import Command, ReserveParts, StopParts
from comfreyshelf.config import Config, Guarantee, Organisation
from comfreyshelf.events import (
    ConfigInForce,
    Event,
    JobClosed,
    JobQueued,
    PartEnded,
    PartsReserved,
    StartRecorded,
    Tick,
    WorkerReported,
)
from comfreyshelf.gangs import AttemptPhase
from comfreyshelf.ids import (
    CallerId,
    DomainId,
    Epoch,
    JobId,
    OrganisationId,
    RackId,
    ServiceId,
    TargetId,
    Version,
    ZoneId,
)
from comfreyshelf.model import Adjacency, Job, PartState, Shape, Urgency, WorkerInfo
from comfreyshelf.scheduler import Scheduler

SIZES = (10, 100, 1_000, 2_000, 31_000)
# Share of the accelerators that are allocated before decisions are timed.
OCCUPANCY = 0.85
ACCELERATORS = 8
WORKERS_PER_RACK = 3
RACKS_PER_ZONE = 700
ORGANISATIONS = 410
DECISIONS = 1_000
# Jobs that are queued while decisions with a backlog are timed.
BACKLOG_JOBS = 5_000
BACKLOG_CALLERS_PER_ORGANISATION = 3
SEED = 7
ONE_ACCELERATOR = Shape(1, 1, Adjacency.WORKER)
WORKER_SHAPE = Shape(1, ACCELERATORS, Adjacency.WORKER)
DOMAIN = DomainId("litoral")


class Row(msgspec.Struct, frozen=True):
    """Figures of one kind of decision at one fleet size; `memory` is the scheduler's, in bytes."""

    workers: int
    kind: str
    median_us: float
    p99_us: float
    memory: int
    placed: int


def make_config(workers: int) -> Config:
    """Make a configuration whose guarantees cover about a tenth of the fleet."""
    count = min(ORGANISATIONS, max(1, workers // 10))
    parts = max(1, workers // 10 // count)
    organisations = {}
    for index in range(count):
        name = OrganisationId(f"org-{index}")
        shape = Shape(parts, ACCELERATORS, Adjacency.ZONE, 0, 0)
        guarantee = Guarantee(name, 0, shape, DOMAIN)
        organisations[name] = Organisation(name, guarantees=(guarantee,))
    return Config(Version(1), organisations=organisations)


def make_worker(index: int) -> WorkerInfo:
    """Make the worker with this index; its rack and zone follow from the index."""
    rack = index // WORKERS_PER_RACK
    zone = ZoneId(f"zone-{rack // RACKS_PER_ZONE}")
    return WorkerInfo(
        TargetId(f"target-{index}"), zone, RackId(f"rack-{rack}"), ACCELERATORS, 64, 256, 1
    )


def make_job(index: int, rng: random.Random, preemptible: bool, organisation: str = "other") -> Job:
    """Make a job of a random shape, mostly a small one."""
    parts = rng.choices((1, 2, 4, 8), (80, 10, 7, 3))[0]
    accelerators = rng.choices((1, 2, 4, 8), (40, 25, 20, 15))[0]
    adjacency = rng.choice((Adjacency.RACK, Adjacency.ZONE))
    if parts * accelerators > WORKERS_PER_RACK * ACCELERATORS:
        adjacency = Adjacency.ZONE
    return Job(
        JobId(f"job-{index}"),
        OrganisationId(organisation),
        CallerId("caller"),
        str(index),
        ServiceId("permit"),
        "model",
        Shape(parts, accelerators, adjacency, accelerators * 4, accelerators * 16),
        60.0,
        preemptible=preemptible,
    )


def fill_to_occupancy(scheduler: Scheduler, workers: int, rng: random.Random) -> int:
    """Queue jobs until OCCUPANCY is reached; jobs that do not fit are withdrawn.

    Returns how many jobs were queued.
    """
    wanted_accelerators = OCCUPANCY * workers * ACCELERATORS
    used = 0
    tried = 0
    while used < wanted_accelerators:
        job = make_job(tried, rng, rng.random() < 0.6)
        tried += 1
        if any(isinstance(c, ReserveParts) for c in scheduler.handle(JobQueued(job), 0.0)):
            used += job.shape.total_accelerators
        else:
            scheduler.handle(JobClosed(job.id), 0.0)
    return tried


def fill_remaining(scheduler: Scheduler) -> None:
    """Fill all accelerators that are left with running jobs of one accelerator."""
    for index in range(10**6):
        job = msgspec.structs.replace(
            make_job(0, random.Random(SEED), True),
            id=JobId(f"borrower-{index}"),
            shape=ONE_ACCELERATOR,
        )
        commands = scheduler.handle(JobQueued(job), 0.0)
        reserved = [command for command in commands if isinstance(command, ReserveParts)]
        if not reserved:
            scheduler.handle(JobClosed(job.id), 0.0)
            return
        for command in reserved:
            scheduler.handle(PartsReserved(job.id, command.attempt, command.target), 0.0)
            scheduler.handle(StartRecorded(job.id, command.attempt, True), 0.0)


def measure(workers: int) -> list[Row]:
    """Time decisions in a domain filled to OCCUPANCY and then in a full one.

    In the full domain, jobs either have to wait or reclaim accelerators under a guarantee.
    """
    rng = random.Random(SEED)
    tracemalloc.start()
    scheduler = Scheduler(DOMAIN, Epoch(1))
    scheduler.handle(ConfigInForce(make_config(workers)), 0.0)
    for index in range(workers):
        scheduler.handle(WorkerReported(make_worker(index)), 0.0)
    scheduler.cell_plan.refresh()
    tried = fill_to_occupancy(scheduler, workers, rng)
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    rows = []
    for kind in ("preemptible", "firm", "guaranteed", "waiting", "reclaiming"):
        if kind == "waiting":
            fill_remaining(scheduler)
        times = []
        placed = 0
        for index in range(tried, tried + DECISIONS):
            number = index % len(scheduler.config.organisations)
            is_guaranteed = kind in ("guaranteed", "reclaiming")
            organisation = f"org-{number}" if is_guaranteed else "other"
            job = make_job(index, rng, kind not in ("firm", "waiting"), organisation)
            if kind == "reclaiming":
                job = msgspec.structs.replace(job, shape=WORKER_SHAPE)
            start = time.perf_counter()
            commands = scheduler.handle(JobQueued(job), 0.0)
            times.append((time.perf_counter() - start) * 1e6)
            placed += any(isinstance(command, ReserveParts) for command in commands)
            scheduler.handle(JobClosed(job.id), 0.0)
        times.sort()
        p99 = times[int(len(times) * 0.99)]
        rows.append(Row(workers, kind, statistics.median(times), p99, memory, placed))
    return rows + measure_backlog(scheduler, workers, memory)


def acknowledge(scheduler: Scheduler, commands: list[Command], now: float) -> None:
    """Answer reservations and stops at once, in place of the targets and the log."""
    for command in commands:
        match command:
            case ReserveParts():
                job, attempt = command.job.id, command.attempt
                scheduler.handle(PartsReserved(job, attempt, command.target), now)
                scheduler.handle(StartRecorded(job, attempt, True), now)
            case StopParts():
                gang = scheduler.gangs.get(command.job)
                for part in gang.parts_on(command.target) if gang is not None else ():
                    placement = part.placement
                    ended = PartEnded(
                        command.job,
                        command.attempt,
                        placement.part,
                        placement.target,
                        PartState.STOPPED,
                        checkpointed=True,
                    )
                    scheduler.handle(ended, now)


def measure_backlog(scheduler: Scheduler, workers: int, memory: int) -> list[Row]:
    """Time the end of a job, and a tick, in a full domain with BACKLOG_JOBS queued jobs."""
    rng = random.Random(SEED)
    for gang in list(scheduler.gangs.values()):
        for target in gang.targets:
            scheduler.handle(PartsReserved(gang.job.id, gang.attempt, target), 0.0)
        scheduler.handle(StartRecorded(gang.job.id, gang.attempt, True), 0.0)
    organisations = list(scheduler.config.organisations)
    for index in range(BACKLOG_JOBS):
        job = make_job(index, rng, rng.random() < 0.6, rng.choice(organisations))
        job = msgspec.structs.replace(
            job,
            id=JobId(f"queued-{index}"),
            caller=CallerId(
                f"{job.organisation}-{rng.randrange(BACKLOG_CALLERS_PER_ORGANISATION)}"
            ),
            urgency=rng.choice(list(Urgency)),
        )
        scheduler.handle(JobQueued(job), 0.0)
    rows = []
    running = [
        gang
        for gang in scheduler.gangs.values()
        if gang.phase is AttemptPhase.RUNNING and len(gang.parts) == 1
    ]
    for kind in ("backlog end", "backlog tick"):
        times = []
        placed = 0
        for step in range(min(len(running), DECISIONS // 5)):
            now = 1000.0 + step
            event: Event = Tick()
            if kind == "backlog end":
                gang = running[step]
                placement = gang.parts[0].placement
                event = PartEnded(
                    gang.job.id,
                    gang.attempt,
                    0,
                    placement.target,
                    PartState.FINISHED,
                    b"",
                    60.0,
                    True,
                )
                scheduler.handle(event, now)
                event = JobClosed(gang.job.id)
            start = time.perf_counter()
            commands = scheduler.handle(event, now)
            times.append((time.perf_counter() - start) * 1e6)
            placed += sum(isinstance(command, ReserveParts) for command in commands)
            acknowledge(scheduler, commands, now)
        times.sort()
        p99 = times[int(len(times) * 0.99)]
        rows.append(Row(workers, kind, statistics.median(times), p99, memory, placed))
    return rows


def growth_rate(rows: Sequence[Row]) -> float:
    """Return the exponent of the median's growth between the last two fleet sizes; 1 is linear."""
    small, large = rows[-2:]
    return math.log(large.median_us / small.median_us) / math.log(large.workers / small.workers)


def main() -> None:
    """Print a line for each fleet size and kind of decision, then the growth of the medians."""
    sizes = [int(value) for value in sys.argv[1:]] or list(SIZES)
    rows = []
    print(f"{'workers':>8} {'kind':>12} {'median us':>10} {'p99 us':>9} {'placed':>7} {'MiB':>7}")
    for size in sizes:
        for row in measure(size):
            rows.append(row)
            print(
                f"{row.workers:>8} {row.kind:>12} {row.median_us:>10.0f} {row.p99_us:>9.0f} "
                f"{row.placed:>7} {row.memory / 2**20:>7.1f}",
                flush=True,
            )
    for kind in dict.fromkeys(row.kind for row in rows):
        of_kind = [row for row in rows if row.kind == kind]
        if len(of_kind) > 1:
            first, last = (row.workers for row in of_kind[-2:])
            print(
                f"{kind}: median grows as workers^{growth_rate(of_kind):.2f} from {first} to {last}"
            )


if __name__ == "__main__":
    main()
