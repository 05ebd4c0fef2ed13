"""A fleet of simulated targets that leave, come back, are slow or hang, under an owner."""

from collections import Counter

import msgspec

from comfreyshelf.fleet.jobs import EndKind, Job, JobPhase, Resources, RunningRow, Step
from comfreyshelf.fleet.messages import Report
from comfreyshelf.fleet.scheduling import Feature, Scheduling
from features.owner_world import CONFIG, FakeTarget, World

TICK_S = 0.25
WITH_MOVES = Scheduling(frozenset({Feature.MOVES}))
WITHOUT_MOVES = Scheduling()
# As in `CONFIG`, but with the objectives of a deployment under heavy load.
_OBJECTIVES = {0: (1.5, 0.4), 1: (3.0, 1.2), 2: (3.0, 3.0)}
MOVING_CONFIG = msgspec.structs.replace(
    CONFIG,
    queues=tuple(
        msgspec.structs.replace(
            queue,
            stretch=_OBJECTIVES[queue.priority][0],
            latency_s=_OBJECTIVES[queue.priority][1],
        )
        for queue in CONFIG.queues
    ),
)


class LeavingTarget(FakeTarget):
    """A target that leaves for good or is replaced once its notice is over.

    A target that `keeps_accepting` announces when it leaves, but does not drain.
    """

    def __init__(self, number: int) -> None:
        super().__init__(number)
        self.leaves_at: float | None = None
        self.returns_after_s: float | None = None
        self.keeps_accepting = False
        self.is_gone = False
        # When each run that was ordered to stop ends.
        self.stops_at: dict[str, float] = {}

    def report(self, now: float) -> Report:
        report = super().report(now)
        left_s = 0.0 if self.leaves_at is None else max(0.0, self.leaves_at - now)
        announcement = msgspec.structs.replace(
            report.announcement,
            draining=self.leaves_at is not None and not self.keeps_accepting,
            drain_left_ms=int(1000 * left_s),
        )
        return msgspec.structs.replace(report, announcement=announcement, gone=self.is_gone)


class MovingWorld(World):
    """Runs do their work tick by tick; a stopped one ends a tick later and saves a checkpoint.

    `work_s` is the real run time of a job's tasks. `lost_core_s` sums up the work thrown away, and
    `counts` the counters of the owner. While the store `is_away`, nothing is stored.
    """

    targets: list[LeavingTarget]  # type: ignore[assignment]

    def __init__(self, scheduling: Scheduling = WITH_MOVES, targets: int = 4) -> None:
        self.work_s: dict[str, float] = {}
        self.done_s: dict[str, float] = {}
        self.hanging: set[str] = set()
        self.stop_s = TICK_S
        self.is_away = False
        self.lost_core_s = 0.0
        self.counts: Counter[str] = Counter()
        self.events: list[tuple[str, dict[str, object]]] = []
        self.timed_events: list[tuple[str, dict[str, object], float]] = []
        # Time, task and run of each start.
        self.starts_at: list[tuple[float, str, int]] = []
        self.phases: dict[str, JobPhase] = {}
        self.ended_unix: dict[str, float] = {}
        super().__init__(scheduling=scheduling, targets=0)
        self.targets = [LeavingTarget(number) for number in range(targets)]
        self.collect_events()
        self.settle()

    def collect_events(self) -> None:
        """Collect the events and counters of the present owner."""
        self.core.configure(MOVING_CONFIG)
        self.core.log_event = self._log
        self.core.count = lambda name: self.counts.update([name])

    def take_over(self) -> None:
        super().take_over()
        self.collect_events()

    def _log(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))
        self.timed_events.append((event, fields, self.now))
        if event == "run ended":
            self.lost_core_s += float(str(fields["lost_core_s"]))

    def submit(self, name: str, step: Step, work_s: float, **options: object) -> Job:
        """Accept a job whose tasks take `work_s`, which is also its caller's estimate."""
        self.work_s[name] = work_s
        step = msgspec.structs.replace(step, estimate_ms=int(1000 * work_s))
        return self.accept(name, (step,), **options)

    def store(self) -> None:
        if self.is_away:
            return
        for job, progress in self.core.changes():
            if progress.phase.is_final:
                self.phases[job] = progress.phase
                self.ended_unix.setdefault(job, self.unix_now)
        super().store()

    def deliver(self, instant_stops: bool = True) -> None:
        before = {target.id: len(target.started) for target in self.targets}
        super().deliver(instant_stops=False)
        for target in self.targets:
            for task, run in target.started[before[target.id] :]:
                self.starts_at.append((self.now, task, run))
            view = self.core.targets.get(target.id)
            if view is None or target.id in self.silent or target.down_until is not None:
                continue
            for stop in self.core.orders_for(view).stops:
                row = target.running.get(stop.task)
                if row is not None and row.run == stop.run:
                    target.stops_at.setdefault(stop.task, self.now + self.stop_s)

    def pass_time(self, seconds: float) -> None:
        """Let time pass, a tick at a time."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for target in self.targets:
                self._advance(target)
            self.run_round()
            running = Counter(task for target in self.targets for task in target.running)
            assert not running or max(running.values()) == 1, "a task runs twice"

    def leave(self, number: int, notice_s: float, returns_after_s: float | None = None) -> None:
        """Announce that a target leaves; it is replaced on its machine if it returns."""
        target = self.targets[number]
        target.leaves_at = self.now + notice_s
        target.returns_after_s = returns_after_s

    def _advance(self, target: LeavingTarget) -> None:
        if target.is_gone:
            return
        if target.down_until is not None:
            if self.now >= target.down_until:
                target.come_back()
            return
        for task, row in list(target.running.items()):
            self._advance_run(target, task, row)
        if target.leaves_at is not None and self.now >= target.leaves_at:
            self._depart(target)

    def _advance_run(self, target: LeavingTarget, task: str, row: RunningRow) -> None:
        job = task.partition(".")[0]
        if self.now >= target.stops_at.get(task, self.now + 1):
            del target.stops_at[task]
            has_checkpoints = self.jobs[job].steps[0].checkpoints  # type: ignore[index]
            target.end(task, EndKind.STOPPED, "saved" if has_checkpoints else "")
            if not has_checkpoints:
                self.done_s[task] = 0.0
            return
        if task not in self.hanging:
            self.done_s[task] = self.done_s.get(task, 0.0) + TICK_S
        percent = min(100, int(100 * self.done_s.get(task, 0.0) / self.work_s[job]))
        target.running[task] = RunningRow(task, row.run, row.checkpoint, percent)
        if percent >= 100:
            target.end(task, EndKind.DONE)

    def _depart(self, target: LeavingTarget) -> None:
        """End a target with all of its runs, whose work is lost."""
        for task in target.running:
            self.done_s[task] = 0.0
        target.running.clear()
        target.stops_at.clear()
        target.is_gone = True
        self.core.handle_report(target.report(self.now), self.now, self.unix_now)
        target.is_gone, target.leaves_at = False, None
        returns_after_s = target.returns_after_s
        target.down_until = self.now + (1e9 if returns_after_s is None else returns_after_s)

    def report(self) -> None:
        for target in self.targets:
            if target.id not in self.silent and target.down_until is None:
                self.core.handle_report(target.report(self.now), self.now, self.unix_now)

    def crash_target(self, target: LeavingTarget) -> None:
        """Kill a target without notice; nothing follows on its machine."""
        for task in target.running:
            self.done_s[task] = 0.0
        target.leaves_at = None
        target.crash(self.now, 1e9)
        self.core.handle_report(target.report(self.now), self.now, self.unix_now)

    def targets_of(self, job: str) -> list[LeavingTarget]:
        """The targets on which tasks of a job run, by number."""
        return [t for t in self.targets if any(task.startswith(f"{job}.") for task in t.running)]

    def logged(self, event: str) -> list[dict[str, object]]:
        """The fields of all log lines of an event."""
        return [fields for name, fields in self.events if name == event]

    def stops(self, job: str) -> int:
        """How many runs of a job were ordered to stop."""
        return sum(str(line["task"]).startswith(f"{job}.") for line in self.logged("run stopped"))


def demand(accelerators: int) -> Resources:
    """The demand of a task that is limited by its accelerators."""
    return Resources(1000, 1000, accelerators)
