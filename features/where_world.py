"""Owners that are asked where a job would go, and descriptions of all that an owner knows."""

from collections import Counter
from collections.abc import Collection, Mapping
from typing import Any

import msgspec

from comfreyshelf.fleet.dry_run import dry_run
from comfreyshelf.fleet.dry_run_answer import DryRunAnswer
from comfreyshelf.fleet.jobs import EndKind, Job, QueueName, Resources, RunningRow, Step
from comfreyshelf.fleet.messages import Orders
from comfreyshelf.fleet.prediction.model import JobDurations
from comfreyshelf.fleet.scheduling import Feature, Scheduling
from comfreyshelf.ids import JobId, OrganisationId, TargetId
from features.owner_world import FakeTarget, World, step

ALL_FEATURES = Scheduling(frozenset(Feature))
ASKED = JobId("where")
HALF = Resources(8000, 16000, 4)


def make_job(world: World, steps: tuple[Step, ...], **options: object) -> Job:
    """A job as it would be submitted now."""
    organisation = OrganisationId(str(options.pop("organisation", "other")))
    queue = QueueName(str(options.pop("queue", "usual")))
    return Job(ASKED, organisation, queue, "spec", steps, world.unix_now, **options)  # type: ignore


def ask(world: World, steps: tuple[Step, ...], **options: object) -> DryRunAnswer:
    """Ask the owner of a world where a job would go."""
    return dry_run(world.core, make_job(world, steps, **options), world.now, world.unix_now)


def describe(value: Any, seen: dict[int, int] | None = None) -> Any:
    """All mutable state that a value leads to, as plain values; shared parts by number.

    Functions and the caches of expected run times are left out.
    """
    seen = {} if seen is None else seen
    if value is None or isinstance(value, str | int | float | bytes):
        return value
    if callable(value) or isinstance(value, JobDurations):
        return type(value).__name__
    if id(value) in seen:
        return f"part {seen[id(value)]}"
    seen[id(value)] = len(seen)
    if isinstance(value, Mapping):
        return [type(value).__name__, [(repr(k), describe(v, seen)) for k, v in value.items()]]
    if isinstance(value, set | frozenset):
        return sorted(map(repr, value))
    if isinstance(value, Collection):
        return [describe(part, seen) for part in value]
    names = (
        value.__struct_fields__
        if isinstance(value, msgspec.Struct)
        else getattr(value, "__dict__", ())
    )
    return [type(value).__name__, [(name, describe(getattr(value, name), seen)) for name in names]]


class BusyWorld(World):
    """A world with all features, in which jobs, departures, failures and cancellations happen.

    `orders` has what was sent to the targets; `events` and `counts` what the owner logs and counts.
    In each round, the owner `is_asked` several questions, if so.
    """

    def __init__(self, is_asked: bool) -> None:
        self.is_asked = is_asked
        self.answers: list[DryRunAnswer] = []
        self.events: list[tuple[str, dict]] = []
        self.counts: Counter[str] = Counter()
        self.orders: list[tuple[TargetId, Orders]] = []
        super().__init__(scheduling=ALL_FEATURES, targets=6)
        self.core.log_event = lambda event, **fields: self.events.append((event, fields))
        self.core.count = lambda name: self.counts.update([name])

    def run_round(self, instant_stops: bool = True) -> None:
        self.ask_all()
        super().run_round(instant_stops)
        self.ask_all()

    def ask_all(self) -> None:
        if not self.is_asked:
            return
        self.answers += [
            ask(self, (step(1),)),
            ask(self, (step(3, gang=True, same_rack=True),), queue="urgent"),
            ask(self, (step(2, gang=True),), queue="urgent", organisation="sure"),
            ask(self, (step(4, demand=HALF), step(1, after=(0,))), queue="least"),
        ]

    def deliver(self, instant_stops: bool = True) -> None:
        for target in self.targets:
            view = self.core.targets.get(target.id)
            if view is not None and view.orders_changed:
                self.orders.append((target.id, self.core.orders_for(view)))
        super().deliver(instant_stops)

    def live(self, seconds: int) -> None:
        """Let jobs arrive and end, targets leave and fail, for some seconds."""
        for second in range(seconds):
            self.now += 1.0
            self._submit(second)
            self._advance(second)
            self.run_round()

    def _submit(self, second: int) -> None:
        if second % 2 == 0:
            self.accept(f"{second:016x}", (step(4, demand=HALF, checkpoints=True),), queue="least")
        if second % 4 == 1:
            self.accept(f"{second:016x}", (step(2, gang=True, same_rack=True),))
        if second % 6 == 3:
            steps = (step(2, gang=True),)
            self.accept(f"{second:016x}", steps, queue="urgent", organisation="sure")

    def _advance(self, second: int) -> None:
        for target in self.targets:
            target.draining = target.number == 1 and second % 12 >= 9
            for task, row in list(target.running.items()):
                self._advance_run(target, task, row, second)

    @staticmethod
    def _advance_run(target: FakeTarget, task: str, row: RunningRow, second: int) -> None:
        # The third target works at a third of the speed, and the fifth one fails some runs.
        percent = row.percent + (5 if target.number == 2 else 15)
        if percent >= 100:
            is_failed = target.number == 4 and second % 2
            target.end(task, EndKind.FAILED if is_failed else EndKind.DONE)
        else:
            target.running[task] = RunningRow(task, row.run, row.checkpoint, percent)
