"""A fleet owner with a simulated clock, store and targets, shared by several step files."""

from collections.abc import Callable

from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.evacuation.evacuations import OFFSET_UNSUPPORTED
from comfreyshelf.fleet.job_table import StoredJob
from comfreyshelf.fleet.jobs import (
    Announcement,
    EndedRow,
    EndKind,
    FleetConfig,
    Incarnation,
    Job,
    Organisation,
    Progress,
    Queue,
    QueueName,
    Resources,
    RunningRow,
    Step,
    Token,
)
from comfreyshelf.fleet.messages import CrashedRun, Orders, Rejection, Report, RunnerCrash
from comfreyshelf.fleet.owner import OwnerCore
from comfreyshelf.fleet.scheduling import Scheduling
from comfreyshelf.ids import (
    JobId,
    OrganisationId,
    RackId,
    ServiceId,
    TargetId,
    Version,
    ZoneId,
)

SERVICE = ServiceId("permit")
TASK_RESOURCES = Resources(1000, 1000, 8)
START_TIME_S = 1_000_000.0


def queue(name: str, priority: int) -> Queue:
    return Queue(QueueName(name), "host", f"/{name}/", SERVICE, priority, 2, 3.0, 1.0, False)


CONFIG = FleetConfig(
    Version(1),
    (queue("urgent", 0), queue("usual", 1), queue("least", 2)),
    (
        Organisation(OrganisationId("sure"), ("k",), 24),
        Organisation(OrganisationId("other"), ("l",), 0),
    ),
    1000,
)


class FakeTarget:
    """A target that executes orders at once and reports its running and ended tasks."""

    def __init__(self, number: int, born: int = 1, machine: str = "") -> None:
        self.number = number
        self.id = TargetId(f"t{number}-{born}" if born > 1 else f"t{number}")
        self.machine = machine or f"m{number}"
        self.born = born
        self.service = SERVICE
        self.zone = ZoneId("z")
        # Up to where its target process knows the operators' topic.
        self.operator_offset = OFFSET_UNSUPPORTED
        self.rejected: list[Rejection] = []
        self.running: dict[str, RunningRow] = {}
        self.stopping: dict[str, int] = {}
        self.ended: list[EndedRow] = []
        self.acknowledged = 0
        self.draining = False
        self.started: list[tuple[str, int]] = []
        self.checkpoints: list[str] = []
        self.started_at: dict[str, float] = {}
        self.crashes: list[RunnerCrash] = []
        self.room = Resources(64000, 262144, 8)
        # When the runner is back after a crash; None while it is up.
        self.down_until: float | None = None

    def crash(self, now: float, down_s: float) -> None:
        """Lose all runs; another target follows on the same machine after `down_s`."""
        runs = [
            CrashedRun(row.task, row.run, now - self.started_at[row.task], True)
            for row in self.running.values()
        ]
        self.crashes.append(RunnerCrash(tuple(runs)))
        self.running.clear()
        self.down_until = now + down_s

    def come_back(self) -> None:
        """Become the target that follows on the machine of a crashed one."""
        self.down_until = None
        self.born += 1
        self.id = TargetId(f"t{self.number}-{self.born}")
        self.ended, self.acknowledged = [], 0

    def report(self, now: float) -> Report:
        announcement = Announcement(
            self.id,
            self.service,
            self.zone,
            RackId(f"r{self.number // 2}"),
            ("a", f"r{self.number // 2}"),
            self.room,
            self.draining,
            3000 if self.draining else 0,
            Incarnation(self.born),
            1,
            0,
        )
        unacknowledged = tuple(end for end in self.ended if end.number > self.acknowledged)
        running = tuple(self.running.values())
        return Report(
            now,
            announcement,
            self.born,
            True,
            running,
            unacknowledged,
            tuple(self.rejected),
            self.machine,
            runner_up=self.down_until is None,
            crashes=tuple(self.crashes),
            operator_offset=self.operator_offset,
            takes_no_work=self.down_until is not None,
        )

    def refuse_evacuated(self, orders: Orders) -> bool:
        """Refuse the starts of orders that evacuate the target's zone, if the process can."""
        self.rejected.clear()
        if self.operator_offset == OFFSET_UNSUPPORTED:
            return False
        self.operator_offset = max(self.operator_offset, orders.operator_offset)
        is_evacuated = self.zone in orders.evacuated_zones
        if is_evacuated:
            self.rejected += [
                Rejection(start.task, start.run, "zone evacuated")
                for start in orders.starts
                if start.task not in self.running
            ]
        return is_evacuated

    def end(self, task: str, kind: EndKind, checkpoint: str = "") -> None:
        row = self.running.pop(task)
        self.ended.append(EndedRow(len(self.ended) + 1, task, row.run, kind, checkpoint))


class World:
    """An owner with fake targets.

    A round reports to the owner, plans, stores the changes and delivers orders; `settle` runs
    enough rounds for these to take effect.
    """

    def __init__(
        self,
        config: FleetConfig = CONFIG,
        scheduling: Scheduling | None = None,
        watch: Callable[[OwnerCore], None] = lambda core: None,
        bounds: Bounds | None = None,
        targets: int = 4,
    ) -> None:
        """`watch` is called with each new owner before its first planning pass."""
        self.now = 100.0
        self.config, self.scheduling, self.watch = config, scheduling, watch
        self.bounds = bounds or Bounds()
        self.core = OwnerCore(config, self.bounds, Token(1), self.now, scheduling)
        watch(self.core)
        self.targets = [FakeTarget(number) for number in range(targets)]
        self.silent: set[TargetId] = set()
        self.log: dict[JobId, Progress] = {}
        self.jobs: dict[JobId, Job] = {}
        self.cancelled: set[JobId] = set()
        self.settle()

    @property
    def unix_now(self) -> float:
        return START_TIME_S + self.now

    def accept(self, name: str, steps: tuple[Step, ...], **options: object) -> Job:
        organisation = OrganisationId(str(options.pop("organisation", "other")))
        queue_name = QueueName(str(options.pop("queue", "usual")))
        job = Job(JobId(name), organisation, queue_name, "spec", steps, self.unix_now, **options)
        self.jobs[job.id] = job
        self.core.load_job(StoredJob(job), self.now, self.unix_now)
        return job

    def take_over(self) -> None:
        """Replace the owner by a new one, which knows what the old one has stored."""
        token = Token(self.core.token + 1)
        self.core = OwnerCore(self.config, self.bounds, token, self.now, self.scheduling)
        self.watch(self.core)
        for job, progress in self.log.items():
            stored = StoredJob(self.jobs[job], job in self.cancelled, progress)
            self.core.load_job(stored, self.now, self.unix_now)

    def store(self) -> None:
        for job, progress in self.core.changes():
            self.log[job] = progress
        self.core.mark_stored()

    def report(self) -> None:
        for target in self.targets:
            if target.id not in self.silent:
                self.core.handle_report(target.report(self.now), self.now, self.unix_now)

    def deliver(self, instant_stops: bool = True) -> None:
        for target in self.targets:
            view = self.core.targets.get(target.id)
            if view is None or target.id in self.silent or target.down_until is not None:
                continue
            orders = self.core.orders_for(view)
            target.acknowledged = orders.acknowledged
            is_evacuated = target.refuse_evacuated(orders)
            for start in () if is_evacuated else orders.starts:
                if start.task not in target.running:
                    target.running[start.task] = RunningRow(start.task, start.run, "", 1)
                    target.started.append((start.task, start.run))
                    target.started_at[start.task] = self.now
                    target.checkpoints.append(start.checkpoint)
            for stop in orders.stops:
                row = target.running.get(stop.task)
                if instant_stops and row is not None and row.run == stop.run:
                    target.end(stop.task, EndKind.STOPPED, "stopped-here")

    def run_round(self, instant_stops: bool = True) -> None:
        self.report()
        self.core.plan(self.now, self.unix_now)
        self.store()
        self.deliver(instant_stops)

    def settle(self, rounds: int = 4, instant_stops: bool = True) -> None:
        for _ in range(rounds):
            self.run_round(instant_stops)

    def run_of(self, job: str) -> tuple[FakeTarget, RunningRow]:
        return next(
            (target, row)
            for target in self.targets
            for row in target.running.values()
            if row.task.startswith(job)
        )

    def starts(self, job: str) -> list[tuple[str, int]]:
        return [s for t in self.targets for s in t.started if s[0].startswith(job)]

    def wait(self, seconds: float, progress: bool = True) -> None:
        for _ in range(int(seconds * 2)):
            self.now += 0.5
            if progress:
                for target in self.targets:
                    for task, row in target.running.items():
                        percent = min(99, row.percent + 2)
                        target.running[task] = RunningRow(task, row.run, row.checkpoint, percent)
            self.run_round()


def step(count: int, **options: object) -> Step:
    demand = options.pop("demand", TASK_RESOURCES)
    return Step(count, demand, 20_000, **options)  # type: ignore[arg-type]
