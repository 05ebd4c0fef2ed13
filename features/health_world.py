"""A fleet whose targets fail in several ways, with a stream of jobs and a simulated clock."""

import random
from collections import Counter, deque
from collections.abc import Callable, Iterable

import msgspec

from comfreyshelf.fleet.health.target_health import Standing
from comfreyshelf.fleet.jobs import EndKind, Organisation, Resources, RunningRow
from comfreyshelf.fleet.messages import Report
from comfreyshelf.fleet.owner import OwnerCore
from comfreyshelf.fleet.scheduling import Feature, Scheduling
from comfreyshelf.ids import JobId, OrganisationId, RackId, ZoneId
from features.owner_world import CONFIG, FakeTarget, World, step

HEALTH = Scheduling(frozenset({Feature.TARGET_HEALTH}))
HEALTH_CONFIG = msgspec.structs.replace(
    CONFIG, organisations=(*CONFIG.organisations, Organisation(OrganisationId("own"), ("o",), 480))
)
STEP_S = 0.5
SMALL = Resources(5000, 8000, 1)
WHOLE = Resources(5000, 8000, 8)
RACK_SIZE = 5
# A failing task fails this long after its start, others are done after TASK_S.
FAILING_S = 1.0
TASK_S = 4.0
JOBS_PER_STEP = 6


class FaultyTarget(FakeTarget):
    """A target with a fault.

    It fails the share `failing` of what it starts. `hangs` is whether its runs make no progress.
    It is down every other `flap_s`, or restarts as another target each `restart_s` when it is idle.
    """

    def __init__(self, number: int, zone: str, rack: str) -> None:
        super().__init__(number)
        self.zone = ZoneId(zone)
        self.rack = rack
        self.failing = 0.0
        self.hangs = False
        self.flap_s = 0.0
        self.restart_s = 0.0
        self.restarted_at = 0.0

    def report(self, now: float) -> Report:
        report = super().report(now)
        announcement = msgspec.structs.replace(report.announcement, rack=RackId(self.rack))
        return msgspec.structs.replace(report, announcement=announcement, listed_at=now)

    def restart(self) -> None:
        """Become another target on the same machine; its runs are lost."""
        self.running.clear()
        self.come_back()


class HealthWorld(World):
    """An owner with `zones` of `per_zone` targets; `events` and `counts` are what it logged."""

    def __init__(
        self, zones: int = 6, per_zone: int = 10, scheduling: Scheduling = HEALTH, seed: int = 1
    ) -> None:
        self.events: list[tuple[str, dict[str, object]]] = []
        self.counts: Counter[str] = Counter()
        # How often runs ended in each way, on machines with a fault and on others.
        self.ends: Counter[tuple[bool, EndKind]] = Counter()
        self.failing_jobs: set[str] = set()
        self.max_by_standing: Counter[Standing] = Counter()
        self.random = random.Random(seed)
        super().__init__(HEALTH_CONFIG, scheduling, self._watch)
        self.core.targets.clear()
        self.targets = [
            FaultyTarget(n, f"z{n // per_zone}", f"r{n // RACK_SIZE}")
            for n in range(zones * per_zone)
        ]
        self.will_fail: dict[tuple[str, int], bool] = {}
        # Machine and time of each start.
        self.start_times: deque[tuple[str, float]] = deque()
        self.settle()

    def _watch(self, core: OwnerCore) -> None:
        def log(event: str, **fields: object) -> None:
            self.events.append((event, {**fields, "at": self.now}))

        core.log_event = log
        core.count = lambda name: self.counts.update([name])

    def standing(self, target: FakeTarget) -> Standing:
        return self.core.policies.health.standing(target.machine)

    def by_standing(self, targets: Iterable[FakeTarget] | None = None) -> Counter[Standing]:
        listed = self.targets if targets is None else targets
        return Counter(self.standing(target) for target in listed)

    def end_row(self, target: FakeTarget, task: str, kind: EndKind) -> None:
        """End a run and count it."""
        self.ends[is_faulty(target), kind] += 1
        target.end(task, kind)

    def deliver(self, instant_stops: bool = True) -> None:
        known = {target.id: set(target.running) for target in self.targets}
        super().deliver(instant_stops)
        for target in self.targets:
            for task in sorted(set(target.running) - known[target.id]):
                self.start_times.append((target.machine, self.now))
                fails = self.random.random() < getattr(target, "failing", 0.0)
                run = target.running[task].run
                self.will_fail[task, run] = fails or task.partition(".")[0] in self.failing_jobs

    def run_for(self, seconds: float, arrive: Callable[[int], None] = lambda n: None) -> None:
        """Let time pass; `arrive` is called with the number of each step to accept jobs."""
        for number in range(round(seconds / STEP_S)):
            self.now += STEP_S
            arrive(number)
            for target in self.targets:
                self._advance(target, number)
            self.run_round()
            self.deliver()
            for standing, count in self.by_standing().items():
                self.max_by_standing[standing] = max(self.max_by_standing[standing], count)

    def _advance(self, target: FaultyTarget, number: int) -> None:
        if target.flap_s and int(self.now / target.flap_s) % 2 and target.running:
            self.ends[True, EndKind.LOST] += len(target.running)
            target.restart()
        is_restart_due = self.now - target.restarted_at >= target.restart_s
        if target.restart_s and not target.running and is_restart_due:
            target.restarted_at = self.now
            target.restart()
        for task, row in list(target.running.items()):
            elapsed_s = self.now - target.started_at[task]
            if target.hangs:
                continue
            if self.will_fail.get((task, row.run)) and elapsed_s >= FAILING_S:
                self.end_row(target, task, EndKind.FAILED)
            elif elapsed_s >= TASK_S:
                self.end_row(target, task, EndKind.DONE)
            else:
                percent = max(1, int(100 * elapsed_s / TASK_S))
                target.running[task] = RunningRow(task, row.run, "", percent)

    def submit_load(self, number: int, jobs: int = JOBS_PER_STEP) -> None:
        """Jobs of 8 tasks that use about four fifths of a fleet of 60 targets."""
        for index in range(jobs):
            name = f"load{number}x{index}"
            self.accept(name, (step(8, demand=SMALL),), queue="usual")

    def submit_mixed_load(self, number: int, jobs: int = JOBS_PER_STEP) -> None:
        """The same load, in which 3 jobs of 100 fail wherever they run."""
        for index in range(jobs):
            name = f"load{number}x{index}"
            if (jobs * number + index) % 33 == 5:
                self.failing_jobs.add(name)
            self.accept(name, (step(8, demand=SMALL),), queue="usual")

    def starts_on(self, targets: Iterable[FakeTarget], since: float) -> int:
        machines = {target.machine for target in targets}
        return sum(at >= since and machine in machines for machine, at in self.start_times)

    def jobs_by_phase(self) -> Counter[str]:
        return Counter(
            progress.phase.value
            for job, progress in self.log.items()
            if JobId(job) not in self.failing_jobs
        )


def is_faulty(target: FakeTarget) -> bool:
    """Whether a target has a fault that ends runs."""
    return isinstance(target, FaultyTarget) and bool(
        target.failing or target.hangs or target.flap_s
    )
