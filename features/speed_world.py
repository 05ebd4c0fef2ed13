"""A fleet owner whose simulated targets differ in speed and work on tasks of known length."""

import msgspec

from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.job_table import StoredJob
from comfreyshelf.fleet.jobs import EndKind, FleetConfig, JobPhase, RunningRow, Token
from comfreyshelf.fleet.messages import Report
from comfreyshelf.fleet.owner import OwnerCore
from comfreyshelf.fleet.scheduling import Feature, Scheduling
from comfreyshelf.ids import JobId, RackId, TargetId
from features.owner_world import CONFIG, START_TIME_S, FakeTarget, World

TICK_S = 0.25
REPORT_INTERVAL_S = 1.0
WITH_TARGET_SPEED = Scheduling(frozenset({Feature.TARGET_SPEED}))
WITHOUT_FEATURES = Scheduling()


class SpeedTarget(FakeTarget):
    """A target of some speed; `done_s` has the work done by each run, in seconds at speed 1."""

    def __init__(self, number: int, speed: float, per_rack: int) -> None:
        super().__init__(number)
        self.speed = speed
        self.rack = RackId(f"r{number // per_rack}")
        self.done_s: dict[str, float] = {}
        self.reported_at = 0.0
        self.is_changed = True

    def report(self, now: float) -> Report:
        report = super().report(now)
        announcement = msgspec.structs.replace(report.announcement, rack=self.rack)
        self.reported_at, self.is_changed = now, False
        return msgspec.structs.replace(report, announcement=announcement)

    def restart(self) -> None:
        """Lose all runs; another target follows on the same machine."""
        self.running.clear()
        self.done_s.clear()
        self.come_back()
        self.is_changed = True

    @property
    def free_accelerators(self) -> int:
        return self.room.accelerators - len(self.running)


class SpeedWorld(World):
    """An owner with targets of the given speeds; tasks take `work_s` seconds at speed 1.

    Targets report once a second and at each change. The members of a gang end together, and take
    Bounds.remote_factor times as long if it asked for one rack and spans several.
    """

    def __init__(
        self,
        speeds: list[float],
        per_rack: int,
        scheduling: Scheduling = WITH_TARGET_SPEED,
        config: FleetConfig = CONFIG,
    ) -> None:
        self.scheduling, self.config = scheduling, config
        self.now = 100.0
        self.core = OwnerCore(config, Bounds(), Token(1), self.now, scheduling)
        self.targets = [SpeedTarget(n, speed, per_rack) for n, speed in enumerate(speeds)]
        self.silent: set[TargetId] = set()
        self.log = {}
        self.jobs = {}
        self.cancelled = set()
        self.work_s: dict[str, float] = {}
        self.ended_at: dict[JobId, float] = {}
        self.first_start_at: dict[str, float] = {}
        self.racks_of_gang: dict[str, set[RackId]] = {}
        self.events: list[tuple[str, dict]] = []
        self.counts: dict[str, int] = {}
        self._watch(self.core)
        self.run_round()

    def _watch(self, core: OwnerCore) -> None:
        core.log_event = lambda event, **fields: self.events.append((event, fields))
        core.count = self._count

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def take_over(self, keeps_learned: bool = True) -> None:
        learned = [(s.name, s.encode(self.unix_now)) for s in self.core.policies.learned]
        token = Token(self.core.token + 1)
        self.core = OwnerCore(self.config, Bounds(), token, self.now, self.scheduling)
        self._watch(self.core)
        for job, progress in self.log.items():
            stored = StoredJob(self.jobs[job], job in self.cancelled, progress)
            self.core.load_job(stored, self.now, self.unix_now)
        if keeps_learned:
            for state, (_, value) in zip(self.core.policies.learned, learned, strict=True):
                state.merge(value, self.unix_now)

    def store(self) -> None:
        for job, progress in self.core.changes():
            if progress.phase is JobPhase.COMPLETED:
                self.ended_at.setdefault(job, self.now)
        super().store()

    def report(self) -> None:
        for target in self.targets:
            is_due = self.now - target.reported_at >= REPORT_INTERVAL_S
            if target.id not in self.silent and (target.is_changed or is_due):
                self.core.handle_report(target.report(self.now), self.now, self.unix_now)

    def deliver(self, instant_stops: bool = True) -> None:
        before = {target.id: len(target.started) for target in self.targets}
        ended = {target.id: len(target.ended) for target in self.targets}
        super().deliver(instant_stops)
        for target in self.targets:
            target.is_changed = target.is_changed or len(target.ended) > ended[target.id]
            for task, run in target.started[before[target.id] :]:
                target.is_changed = True
                target.done_s[task] = 0.0
                target.running[task] = RunningRow(task, run, "", 0)
                self.first_start_at.setdefault(task, self.now)

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for target in self.targets:
                for task in list(target.running):
                    self._work(target, task)
            for target in self.targets:
                self._end_done_runs(target)
            self.run_round()

    def _work(self, target: SpeedTarget, task: str) -> None:
        row, work_s = target.running[task], self.task_work_s(task)
        done_s = target.done_s[task] + TICK_S * target.speed / self._remote_factor(task, target)
        target.done_s[task] = min(work_s, done_s)
        percent = int(100 * target.done_s[task] / work_s)
        target.running[task] = RunningRow(task, row.run, row.checkpoint, percent)

    def task_work_s(self, task: str) -> float:
        return self.work_s.get(task, self.work_s.get(task.partition(".")[0], 20.0))

    def members(self, task: str) -> list[tuple[SpeedTarget, str]]:
        """The running members of a task's gang, or the task alone, each with its target."""
        job, _, name = task.partition(".")
        step = self.jobs[JobId(job)].steps[int(name.split(".")[1])]
        prefix = task.rpartition(".")[0] + "." if step.gang else task
        return [(t, other) for t in self.targets for other in t.running if other.startswith(prefix)]

    def _remote_factor(self, task: str, target: SpeedTarget) -> float:
        job, _, name = task.partition(".")
        step = self.jobs[JobId(job)].steps[int(name.split(".")[1])]
        if step.gang and step.same_rack:
            racks = {member.rack for member, _ in self.members(task)}
            return Bounds().remote_factor if len(racks) > 1 else 1.0
        return Bounds().remote_factor if step.rack and target.rack != step.rack else 1.0

    def _end_done_runs(self, target: SpeedTarget) -> None:
        for task in list(target.running):
            members = self.members(task)
            if all(t.done_s[name] >= self.task_work_s(name) for t, name in members):
                for member, name in members:
                    member.end(name, EndKind.DONE)
                    member.is_changed = True

    def speed(self, number: int) -> float:
        """The speed that the owner expects of a machine."""
        return self.core.policies.speeds.speed(self.targets[number].machine)

    def targets_of(self, job: str) -> list[SpeedTarget]:
        return [t for t in self.targets for task, _ in t.started if task.startswith(f"{job}.")]

    def late_jobs(self, prefix: str, objective_s: float) -> list[str]:
        """The jobs that have not ended, or took longer than their objective."""
        return [
            job
            for job, stored in self.jobs.items()
            if job.startswith(prefix)
            and self.ended_at.get(job, float("inf")) + START_TIME_S
            > stored.accepted_at + objective_s
        ]
