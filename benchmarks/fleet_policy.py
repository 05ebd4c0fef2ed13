"""Worth of the owner's decisions under load, on simulated targets.

Run it with `python -m benchmarks.fleet_policy SITE FIRST_SEED END_SEED [FEATURE...]`; SITE is small
or large, and each FEATURE is one of the scheduling settings.
Jobs of three kinds arrive at random and in bursts. A job earns its worth if it ends within its
objective, less if it ends late; work that is thrown away costs a fixed amount a core-second.
"""

import random
import sys
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.job_table import StoredJob
from comfreyshelf.fleet.jobs import (
    Announcement,
    EndedRow,
    EndKind,
    FleetConfig,
    Incarnation,
    Job,
    JobPhase,
    Organisation,
    Queue,
    QueueName,
    Resources,
    RunningRow,
    Step,
    TaskName,
    Token,
)
from comfreyshelf.fleet.messages import Report
from comfreyshelf.fleet.owner import OwnerCore
from comfreyshelf.fleet.ranking import Ranking
from comfreyshelf.fleet.scheduling import Feature, Scheduling
from comfreyshelf.ids import JobId, OrganisationId, RackId, ServiceId, TargetId, Version, ZoneId

TICK_S = 0.1
REPORT_INTERVAL_S = 1.0
STOP_GRACE_S = 0.2
DRAIN_S = 60.0
STRAGGLER_FACTOR = 7.0
SERVICE = ServiceId("s")
# Worth lost by one core-second of work that is thrown away.
WASTE_WORTH_PER_CORE_S = 0.005


@dataclass(frozen=True)
class Kind:
    """A kind of job; `rate` is in jobs a second, worths are those of a job of mean size."""

    name: str
    priority: int
    rate: float
    tasks: int
    work_s: float
    cores: float
    accelerators: tuple[int, ...]
    gang_share: float
    worth: float
    late_worth: float
    stretch: float
    latency_s: float
    same_rack_share: float = 1.0
    checkpoint_share: float = 0.5
    # Largest error of the caller's estimate as a share of it; 0 for a log-normal error.
    estimate_error: float = 0.0
    # Share of the tasks that run STRAGGLER_FACTOR times as long.
    straggler_share: float = 0.0


@dataclass(frozen=True)
class Site:
    """A fleet, its load and its organisations.

    `submitters` are the relative numbers of jobs that the organisations submit; without it, a few
    organisations submit most. The jobs of the first organisation have `first_size` times as many
    tasks as those of the others. `speeds` are those of the targets; without it, they are random.
    The owner plans once in `plan_ticks` ticks.
    """

    targets: int
    per_rack: int
    cores: int
    organisations: int
    guaranteed: int
    kinds: tuple[Kind, ...]
    burst: float = 5.0
    day_s: float = 40.0
    memory_mb: int = 1_000_000
    submitters: tuple[float, ...] = ()
    first_size: float = 1.0
    speeds: tuple[float, ...] = ()
    plan_ticks: int = 1
    waste_worth_per_core_s: float = WASTE_WORTH_PER_CORE_S


SMALL = Site(
    11,
    3,
    32,
    4,
    16,
    (
        Kind("seat", 0, 0.23, 3, 5.0, 3.7, (1, 2, 4, 8), 0.0, 4.0, 0.8, 2.0, 0.4),
        Kind("render", 1, 0.20, 2, 17.0, 13.0, (1, 2, 4, 8), 0.5, 3.0, 0.9, 3.0, 1.2),
        Kind("rota", 2, 0.098, 9, 15.2, 2.8, (1,), 0.0, 1.0, 0.3, 4.0, 3.0),
    ),
)
LARGE = Site(
    160,
    13,
    64,
    24,
    40,
    (
        Kind("survey", 0, 1.63, 5, 5.0, 7.5, (1, 2, 4, 8), 0.0, 4.0, 0.8, 2.0, 0.4),
        Kind("erosion", 1, 0.51, 13, 17.0, 26.0, (1, 2, 4, 8), 0.5, 3.0, 0.3, 3.0, 1.2),
        Kind("volume", 2, 0.40, 38, 19.0, 5.6, (1,), 0.0, 1.0, 0.1, 4.0, 3.0),
    ),
)
FIRST_ORGANISATION = OrganisationId("o0")
SITES = {"small": SMALL, "large": LARGE}


@dataclass(frozen=True)
class _Accepted:
    kind: Kind
    organisation: OrganisationId
    accepted_at: float
    objective_s: float
    core_s: float


@dataclass
class _Run:
    run: int
    work_s: float
    resumed_s: float
    done_s: float = 0.0


@dataclass
class _Target:
    number: int
    site: Site
    speed: float
    running: dict[str, _Run] = field(default_factory=dict)
    stopping: dict[str, float] = field(default_factory=dict)
    ended: list[EndedRow] = field(default_factory=list)
    acknowledged: int = 0
    reported_at: float = -10.0
    is_changed: bool = True

    @property
    def id(self) -> TargetId:
        return TargetId(f"t{self.number}")

    def report(self, now: float) -> Report:
        rack = f"r{self.number // self.site.per_rack}"
        announcement = Announcement(
            self.id,
            SERVICE,
            ZoneId("z"),
            RackId(rack),
            ("a", rack),
            Resources(self.site.cores * 1000, self.site.memory_mb, 8),
            False,
            0,
            Incarnation(1),
            1,
            0,
        )
        rows = tuple(
            RunningRow(name, run.run, "", min(100, int(100 * run.done_s / run.work_s)))
            for name, run in self.running.items()
        )
        ended = tuple(row for row in self.ended if row.number > self.acknowledged)
        return Report(now, announcement, 1, True, rows, ended, (), f"m{self.number}")

    def end(self, name: str, kind: EndKind, checkpoint: str = "") -> _Run:
        run = self.running.pop(name)
        self.stopping.pop(name, None)
        self.ended.append(EndedRow(len(self.ended) + 1, name, run.run, kind, checkpoint))
        self.is_changed = True
        return run


@dataclass
class Result:
    """What one simulated day earned.

    `by_organisation` and `by_size` are the worth earned and the worth of all jobs, of each
    organisation, and of the largest tenth of the jobs of each kind and the others.
    """

    worth: float
    in_time: float
    waste: float
    stops: int
    runs: int
    by_organisation: dict[OrganisationId, tuple[float, float]]
    by_size: dict[str, tuple[float, float]]


class Simulation:
    """One day of load on one owner; `ranking` replaces the owner's present one."""

    def __init__(
        self,
        site: Site,
        seed: int,
        scheduling: Scheduling | None = None,
        ranking: Ranking | None = None,
    ) -> None:
        self.site, self.rng, self.now = site, random.Random(seed), 0.0
        queues = tuple(
            Queue(
                QueueName(k.name),
                "h",
                f"/{k.name}/",
                SERVICE,
                k.priority,
                3,
                k.stretch,
                k.latency_s,
                True,
            )
            for k in site.kinds
        )
        organisations = tuple(
            Organisation(OrganisationId(f"o{n}"), (), site.guaranteed)
            for n in range(site.organisations)
        )
        config = FleetConfig(Version(1), queues, organisations, 1000)
        self.core = OwnerCore(config, Bounds(), Token(1), self.now, scheduling)
        if ranking is not None:
            self.core.policies.ranking = ranking
        self.targets = [
            _Target(
                n,
                site,
                site.speeds[n % len(site.speeds)] if site.speeds else self.rng.uniform(0.8, 1.2),
            )
            for n in range(site.targets)
        ]
        self.by_id = {target.id: target for target in self.targets}
        self.work_s: dict[str, float] = {}
        self.saved_s: dict[str, float] = {}
        self.accepted: dict[JobId, _Accepted] = {}
        self.ended_at: dict[JobId, float] = {}
        self.lost_core_s = 0.0
        self.ticks = 0
        self.counts: Counter[str] = Counter()
        self.bursts = [
            (self.rng.choice(site.kinds), start, start + 5.0)
            for start in (self.rng.uniform(2, 0.75 * site.day_s) for _ in range(3))
        ]

    def play(self) -> Result:
        while self.now < self.site.day_s + DRAIN_S and (
            self.now < self.site.day_s or self.core.jobs
        ):
            self.now += TICK_S
            if self.now < self.site.day_s:
                self._accept_jobs()
            for target in self.targets:
                self._advance(target)
            for target in self.targets:
                if target.is_changed or self.now - target.reported_at >= REPORT_INTERVAL_S:
                    target.is_changed, target.reported_at = False, self.now
                    self.core.handle_report(target.report(self.now), self.now, self.now)
            self.ticks += 1
            if self.ticks % self.site.plan_ticks:
                continue
            self.core.plan(self.now, self.now)
            for job, progress in self.core.changes():
                if progress.phase is JobPhase.COMPLETED:
                    self.ended_at.setdefault(job, self.now)
            self.core.mark_stored()
            self._deliver_orders()
        return self._result()

    def _accept_jobs(self) -> None:
        for kind in self.site.kinds:
            rate = kind.rate
            for burst_kind, start, end in self.bursts:
                if burst_kind is kind and start <= self.now < end:
                    rate *= self.site.burst
            if self.rng.random() < rate * TICK_S:
                self._accept_job(kind)

    def _accept_job(self, kind: Kind) -> None:
        rng = self.rng
        job_id = JobId(f"{len(self.accepted):016x}")
        work_s = kind.work_s * rng.lognormvariate(0.0, 0.35)
        size = rng.lognormvariate(0.0, 0.5)
        is_gang = rng.random() < kind.gang_share
        demand = Resources(int(kind.cores * 1000), 1000, rng.choice(kind.accelerators))
        estimate_ms = int(work_s * 1000 * self._draw_estimate_factor(kind))
        has_checkpoints = rng.random() < kind.checkpoint_share
        organisation = self._draw_organisation()
        if organisation == FIRST_ORGANISATION:
            size *= self.site.first_size
        count = max(1, round(kind.tasks * size))
        step = Step(
            count,
            demand,
            estimate_ms,
            checkpoints=has_checkpoints,
            gang=is_gang,
            same_rack=is_gang and self._is_drawn(kind.same_rack_share),
        )
        job = Job(job_id, organisation, QueueName(kind.name), "", (step,), self.now)
        for index in range(count):
            slowness = 1.0 if is_gang else rng.lognormvariate(0.0, 0.2)
            if self._is_drawn(kind.straggler_share):
                slowness *= STRAGGLER_FACTOR
            self.work_s[f"{job_id}.0.0.{index}"] = work_s * slowness
        core_s = count * work_s * step.demand.core_equivalents
        longest_s = max(self.work_s[f"{job_id}.0.0.{index}"] for index in range(count))
        objective_s = kind.stretch * longest_s + kind.latency_s
        self.accepted[job_id] = _Accepted(kind, organisation, self.now, objective_s, core_s)
        self.core.load_job(StoredJob(job), self.now, self.now)

    def _is_drawn(self, share: float) -> bool:
        """Whether an event of this probability happens; one that is certain takes no number."""
        return share >= 1 or (share > 0 and self.rng.random() < share)

    def _draw_organisation(self) -> OrganisationId:
        site = self.site
        if site.submitters:
            (number,) = self.rng.choices(range(len(site.submitters)), site.submitters)
        else:
            number = int(self.rng.paretovariate(1.2)) % site.organisations
        return OrganisationId(f"o{number}")

    def _draw_estimate_factor(self, kind: Kind) -> float:
        if kind.estimate_error:
            return self.rng.uniform(1 - kind.estimate_error, 1 + kind.estimate_error)
        return self.rng.lognormvariate(0.0, 0.5)

    def _advance(self, target: _Target) -> None:
        for name, run in list(target.running.items()):
            if name in target.stopping and run.done_s < run.work_s:
                if self.now >= target.stopping[name]:
                    self._end_stopped(target, name)
                continue
            run.done_s = min(run.work_s, run.done_s + TICK_S * target.speed)
            if run.done_s >= run.work_s and self._are_members_done(name, run):
                target.end(name, EndKind.DONE)
                self.counts["done"] += 1

    def _are_members_done(self, name: str, run: _Run) -> bool:
        """Whether all members of the run's gang have done their work; they end together."""
        job, _, task = name.partition(".")
        tracked = self.core.jobs.get(JobId(job))
        if tracked is None:
            return True
        for member in tracked.gang_members(TaskName(task)):
            active = tracked.active_runs.get(member)
            other = self.by_id[active.target].running.get(f"{job}.{member}") if active else None
            if other is not None and other.run == run.run and other.done_s < other.work_s:
                return False
        return True

    def _end_stopped(self, target: _Target, name: str) -> None:
        tracked = self.core.jobs.get(JobId(name.partition(".")[0]))
        run = target.running[name]
        step = tracked.job.steps[0] if tracked is not None else None
        checkpoint = ""
        if step is not None and step.checkpoints:
            self.saved_s[name] = run.done_s
            checkpoint = name
        elif step is not None:
            self.lost_core_s += (run.done_s - run.resumed_s) * step.demand.core_equivalents
        target.end(name, EndKind.STOPPED, checkpoint)
        self.counts["stopped"] += 1

    def _deliver_orders(self) -> None:
        for target in self.targets:
            view = self.core.targets.get(target.id)
            if view is None or not view.orders_changed:
                continue
            orders = self.core.orders_for(view)
            target.acknowledged = orders.acknowledged
            for start in orders.starts:
                if start.task not in target.running:
                    resumed_s = self.saved_s.get(start.task, 0.0) if start.checkpoint else 0.0
                    work_s = self.work_s[start.task]
                    target.running[start.task] = _Run(start.run, work_s, resumed_s, resumed_s)
                    target.is_changed = True
            for stop in orders.stops:
                if stop.task in target.running:
                    target.stopping.setdefault(stop.task, self.now + STOP_GRACE_S)

    def _result(self) -> Result:
        core_s_by_kind = {
            kind.name: sorted(job.core_s for job in self.accepted.values() if job.kind is kind)
            for kind in self.site.kinds
        }
        owed = earned = in_time = 0.0
        by_organisation: defaultdict[OrganisationId, list[float]] = defaultdict(lambda: [0.0, 0.0])
        by_size: defaultdict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
        for job_id, job in self.accepted.items():
            core_s = core_s_by_kind[job.kind.name]
            size = min(4.0, 0.3 + 0.7 * job.core_s * len(core_s) / sum(core_s))
            full = job.kind.worth * size
            took_s = self.ended_at.get(job_id, 1e9) - job.accepted_at
            got = job.kind.late_worth * size if took_s <= 3 * job.objective_s else 0.0
            if took_s <= job.objective_s:
                got = full
                in_time += full
            owed += full
            earned += got
            is_large = job.core_s >= core_s[len(core_s) * 9 // 10]
            for row in (
                by_organisation[job.organisation],
                by_size["large" if is_large else "rest"],
            ):
                row[0] += got
                row[1] += full
        waste = self.lost_core_s * self.site.waste_worth_per_core_s / owed
        return Result(
            earned / owed - waste,
            in_time / owed,
            waste,
            self.counts["stopped"],
            self.counts["done"] + self.counts["stopped"],
            {name: (row[0], row[1]) for name, row in by_organisation.items()},
            {name: (row[0], row[1]) for name, row in by_size.items()},
        )


def main() -> None:
    """Play days of one site from seeds and print each result, and the mean."""
    site, first, last = SITES[sys.argv[1]], int(sys.argv[2]), int(sys.argv[3])
    scheduling = Scheduling(frozenset(Feature(name) for name in sys.argv[4:]))
    results = [Simulation(site, seed, scheduling).play() for seed in range(first, last)]
    for name in ("worth", "in_time", "waste", "stops", "runs"):
        values = [getattr(result, name) for result in results]
        print(f"{name:8} mean {sum(values) / len(values):9.3f}  worst {min(values):9.3f}")


if __name__ == "__main__":
    main()
