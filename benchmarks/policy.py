"""Compares comfreyshelf's scheduling policy with three baselines on one seeded load.

Example: python -m benchmarks.policy --deployment camara --seed 1 --load 0.85 --workers 10
"""

import random
from collections.abc import Callable
from functools import partial
from operator import attrgetter
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import msgspec
import typer

from benchmarks.baselines import FirstComeQueue, QuotaQueue
from benchmarks.figures import (
    Figures,
    Fragmentation,
    figures,
    goodput_of_others,
    retained_work_of_others,
)
from benchmarks.load import (
    ACCELERATORS,
    LoadGenerator,
    SimulatedJob,
    kinds_for_urgency,
    mean_job_accelerator_s,
)
from benchmarks.replay import Replay
from comfreyshelf.config import Config
from comfreyshelf.config_text import parse_config
from comfreyshelf.ids import DomainId, Epoch, OrganisationId, RackId, TargetId, Version
from comfreyshelf.model import Urgency, WorkerInfo
from comfreyshelf.placement import BestFit, FirstFit, Placer
from comfreyshelf.queueing import FairQueue, JobQueue
from comfreyshelf.scheduler import Scheduler

SAMPLES = Path(__file__).resolve().parent.parent / "samples"
WORKERS_PER_RACK = 3
# Cores and memory in GB of each worker, by deployment.
WORKER_RESOURCES = {"camara": (64, 256), "toowong": (128, 512)}
FAULTS = (
    "worker-loss",
    "bad-workers",
    "broken-jobs",
    "cancel-wave",
    "log-outage",
    "flood-low",
    "flood-urgent",
    "drain",
)
FLOOD_URGENCIES = {"flood-low": Urgency.LOW, "flood-urgent": Urgency.URGENT}
# Work that a flood asks for, as a multiple of the fleet's capacity.
FLOOD_FACTOR = 2.0
FLOOD_S = 7200.0
# Share of the jobs that fail on every worker under the fault "broken-jobs".
FAILING_JOB_SHARE = 0.02
TABLE_FIELDS = (
    "scattered",
    "small_over_large",
    "jain",
    "urgent_start_p99_s",
    "urgent_start_max_s",
    "reclaim_p50_s",
    "reclaim_p99_s",
    "empty_s",
    "unfinished",
    "finished_twice",
    "overlaps",
    "lost_work_s",
    "may_have_run",
)


class Setup(msgspec.Struct, frozen=True):
    """Parameters of one run of the benchmark; `duration_s` is the time over which jobs arrive."""

    config: Config
    domain: DomainId
    seed: int
    load: float
    duration_s: float
    workers: list[WorkerInfo]
    faults: tuple[str, ...]

    @property
    def accelerators(self) -> int:
        """Total accelerators of the fleet."""
        return len(self.workers) * ACCELERATORS

    @property
    def flood_window(self) -> tuple[float, float]:
        """Start and end of a flood, in seconds from the start of the run."""
        return 0.4 * self.duration_s, 0.4 * self.duration_s + FLOOD_S


class Row(msgspec.Struct, frozen=True):
    """Figures of one policy.

    `figures` come from the run without floods. `goodput_kept` and `work_kept` map each flood to
    the work of the other organisations during the flood, as a share of their work in the same
    time without it. The first counts the work of jobs that finish during the flood, the second
    all work that is done during it and not lost. `flood_violations` counts jobs that finished
    twice and reservations that overlapped in the runs with a flood.
    """

    policy: str
    figures: Figures
    goodput_kept: dict[str, float]
    work_kept: dict[str, float]
    flood_violations: int = msgspec.field(default=0, name="broken_in_floods")


class Policy(NamedTuple):
    """The queue that orders the jobs of a policy, and the placer that chooses their workers."""

    make_queue: Callable[[Setup], JobQueue]
    placer: Placer


# "first-fit" orders jobs by acceptance and places them first-fit, without planned cells.
# "first-come" changes only the order of the jobs: it keeps the guarantees and best-fit placement.
POLICIES: dict[str, Policy] = {
    "comfreyshelf": Policy(lambda setup: FairQueue(), BestFit()),
    "first-fit": Policy(lambda setup: FirstComeQueue(), FirstFit()),
    "first-come": Policy(lambda setup: FirstComeQueue(), BestFit()),
    "quota-counts": Policy(
        lambda setup: QuotaQueue(setup.config, setup.domain, setup.accelerators), BestFit()
    ),
}


def prepare(
    deployment: str, seed: int, load: float, workers: int, faults: tuple[str, ...], hours: float
) -> Setup:
    """Read the sample configuration and build workers for the domain with most guarantees.

    Raises ValueError if the sample configuration is not valid.
    """
    text = (SAMPLES / f"{deployment}.ini").read_text(encoding="utf-8")
    config = parse_config(text, Version(1)).default_value(None)
    if config is None:
        raise ValueError(f"samples/{deployment}.ini is not a valid configuration")
    domain = max(config.domains, key=lambda name: len(config.domain_guarantees(name)))
    zones = [zone.id for zone in config.zones.values() if zone.domain == domain]
    cores, memory_gb = WORKER_RESOURCES[deployment]
    fleet = []
    for index in range(workers):
        zone = zones[index % len(zones)]
        rack = RackId(f"{zone}-{index // len(zones) // WORKERS_PER_RACK}")
        target = TargetId(f"target-{index:05d}")
        fleet.append(WorkerInfo(target, zone, rack, ACCELERATORS, cores, memory_gb, 1))
    return Setup(config, domain, seed, load, hours * 3600, fleet, faults)


def replay(
    setup: Setup, policy: Policy, faults: tuple[str, ...], until: float = 0.0
) -> tuple[Replay, Row]:
    """Replay the load of a setup with `faults` until every job has ended.

    The replay stops at `until` seconds if it is given, otherwise after 20 times the duration.
    """
    queue = policy.make_queue(setup)
    scheduler = Scheduler(setup.domain, Epoch(1), placer=policy.placer, queue=queue)
    run = Replay(scheduler, setup.config, setup.workers, setup.seed)
    run.submit(make_arrivals(setup, faults))
    add_faults(setup, run, faults)
    fragmentation = Fragmentation()
    run.run(until or setup.duration_s * 20, fragmentation.sample)
    return run, Row("", figures(run, fragmentation), {}, {})


def make_arrivals(setup: Setup, faults: tuple[str, ...]) -> list[SimulatedJob]:
    """Return the jobs of a setup; floods are added to its steady load."""
    load = LoadGenerator(setup.config, setup.domain, setup.seed)
    jobs = load.steady_arrivals(setup.accelerators, setup.load, setup.duration_s)
    if "broken-jobs" in faults:
        jobs = load.mark_failing(jobs, FAILING_JOB_SHARE)
    if "cancel-wave" in faults:
        jobs = load.mark_cancelled(jobs, setup.duration_s / 2, setup.duration_s / 10)
    for name, urgency in FLOOD_URGENCIES.items():
        if name in faults:
            start, end = setup.flood_window
            rate = (
                FLOOD_FACTOR
                * setup.accelerators
                / mean_job_accelerator_s(kinds_for_urgency(urgency))
            )
            jobs += load.flood_arrivals(flooding_organisation(setup), urgency, start, end, rate)
    return jobs


def flooding_organisation(setup: Setup) -> OrganisationId:
    """Return the organisation that floods, which is the one with the largest weight."""
    return max(setup.config.organisations.values(), key=lambda each: each.weight).id


def add_faults(setup: Setup, run: Replay, faults: tuple[str, ...]) -> None:
    """Schedule the faults of workers and the log, and the drain of a target."""
    rng = random.Random(setup.seed)
    targets = [info.target for info in setup.workers]
    if "worker-loss" in faults:
        for _ in range(max(4, len(targets) // 4)):
            target = rng.choice(targets)
            when = rng.uniform(0.1, 0.9) * setup.duration_s
            run.schedule(when, partial(run.lose_worker, target, 120.0))
    if "bad-workers" in faults:
        for target in rng.sample(targets, max(1, len(targets) // 10)):
            when = rng.uniform(0.1, 0.5) * setup.duration_s
            run.schedule(when, partial(run.break_worker, target, 3600.0))
    if "log-outage" in faults:
        run.schedule(0.5 * setup.duration_s, lambda: run.log_outage(300.0))
    if "drain" in faults:
        run.schedule(0.5 * setup.duration_s, lambda: run.scrap(targets[0]))


def measure(setup: Setup, name: str) -> Row:
    """Run one policy without floods, and once more for each flood to compare with that run.

    Runs with a flood stop when the flood ends, since only the time of the flood is compared.
    """
    base_faults = tuple(fault for fault in setup.faults if fault not in FLOOD_URGENCIES)
    baseline, row = replay(setup, POLICIES[name], base_faults)
    goodput_kept = {}
    work_kept = {}
    violations = 0
    start, end = setup.flood_window
    for fault in setup.faults:
        if fault in FLOOD_URGENCIES:
            flooded, other = replay(setup, POLICIES[name], (*base_faults, fault), end)
            violations += other.figures.finished_twice + other.figures.overlaps
            before = goodput_of_others(baseline, flooding_organisation(setup), start, end)
            during = goodput_of_others(flooded, flooding_organisation(setup), start, end)
            goodput_kept[fault] = during / before if before else 1.0
            before = retained_work_of_others(baseline, flooding_organisation(setup), start, end)
            during = retained_work_of_others(flooded, flooding_organisation(setup), start, end)
            work_kept[fault] = during / before if before else 1.0
    return Row(name, row.figures, goodput_kept, work_kept, violations)


def table(rows: list[Row]) -> str:
    """Format the figures as a table with a column for each policy."""
    lines = [f"{'':32}" + "".join(f"{row.policy:>15}" for row in rows)]

    def line(label: str, pick: Callable[[Row], float]) -> None:
        lines.append(f"{label:32}" + "".join(f"{pick(row):15.3f}" for row in rows))

    line("jobs", lambda row: row.figures.all.jobs)
    line("completion p50 s", lambda row: row.figures.all.completion_p50_s)
    line("completion p99 s", lambda row: row.figures.all.completion_p99_s)
    line("slowdown p50", lambda row: row.figures.all.slowdown_p50)
    line("slowdown p99", lambda row: row.figures.all.slowdown_p99)
    line("on time", lambda row: row.figures.all.on_time)
    for name in (urgency.value for urgency in Urgency):
        pick = attrgetter("slowdown_p99")
        line(
            f"slowdown p99 {name}", _pick_from_group(lambda row: row.figures.by_urgency, name, pick)
        )
        pick = attrgetter("on_time")
        line(f"on time {name}", _pick_from_group(lambda row: row.figures.by_urgency, name, pick))
    for name in rows[0].figures.by_organisation:
        pick = attrgetter("slowdown_p99")
        label = f"slowdown p99 {name}"[:32]
        line(label, _pick_from_group(lambda row: row.figures.by_organisation, name, pick))
    line("fragmentation", lambda row: row.figures.fragmentation)
    for name in rows[0].goodput_kept:
        line(f"goodput kept {name}", _pick_from_group(lambda row: row.goodput_kept, name, float))
        line(f"work kept {name}", _pick_from_group(lambda row: row.work_kept, name, float))
    for name in TABLE_FIELDS:
        line(name, attrgetter(f"figures.{name}"))
    line("violations in floods", lambda row: row.flood_violations)
    for row in rows:
        lines.append(f"refused by {row.policy}: {row.figures.refused or 'none'}")
    return "\n".join(lines)


def _pick_from_group(
    groups: Callable[[Row], dict[str, Any]], name: str, pick: Callable[[Any], float]
) -> Callable[[Row], float]:
    return lambda row: pick(groups(row)[name])


def main(
    deployment: Annotated[str, typer.Option(help="camara or toowong")] = "camara",
    seed: int = 1,
    load: float = 0.85,
    workers: int = 10,
    faults: Annotated[str, typer.Option(help=f"comma-separated: {', '.join(FAULTS)}")] = "",
    hours: Annotated[float, typer.Option(help="virtual hours of arrivals")] = 24.0,
    json: Annotated[str, typer.Option(help="file to write the figures to, as JSON")] = "",
) -> None:
    """Replay one load under every policy and print the figures of each."""
    chosen = tuple(name for name in faults.split(",") if name)
    unknown = [name for name in chosen if name not in FAULTS]
    if unknown or deployment not in WORKER_RESOURCES:
        raise typer.BadParameter(
            f"unknown fault or deployment: {', '.join(unknown) or deployment}; "
            f"faults are {', '.join(FAULTS)}, deployments {', '.join(WORKER_RESOURCES)}"
        )
    setup = prepare(deployment, seed, load, workers, chosen, hours)
    rows = [measure(setup, name) for name in POLICIES]
    print(table(rows))
    if json:
        Path(json).write_bytes(msgspec.json.format(msgspec.json.encode(rows)) + b"\n")


if __name__ == "__main__":
    typer.run(main)
