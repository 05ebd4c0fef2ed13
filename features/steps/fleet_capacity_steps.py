"""Steps for targets whose room shrinks and grows while they run."""

from collections import defaultdict

import msgspec
from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet.jobs import Resources
from comfreyshelf.fleet.messages import Rejection
from features.owner_world import World, step
from features.target_world import announcement


def accept(context: Context, name: str, accelerators: int, **options: object) -> None:
    demand = Resources(1000, 1000, accelerators)
    context.newest = name
    context.world.accept(name, (step(1, demand=demand),), **options)


def set_room(context: Context, accelerators: int, targets: int) -> None:
    for target in context.world.targets[:targets]:
        target.room = Resources(64000, 262144, accelerators)


@given("a job of {count:d} accelerators runs on each target")
def start_job_on_each_target(context: Context, count: int) -> None:
    for number in range(len(context.world.targets)):
        # Two do not fit on one target, so that each gets one.
        accept(context, f"first{number}", 5)
    context.world.settle()
    for view in context.world.core.targets.values():
        for active in view.active_runs.values():
            active.demand = Resources(1000, 1000, count)
    assert all(len(target.running) == 1 for target in context.world.targets)


@when("the room of all targets shrinks to {count:d} accelerators")
def shrink_rooms(context: Context, count: int) -> None:
    set_room(context, count, len(context.world.targets))
    context.world.settle()


@when("the room of one target grows to {count:d} accelerators again")
def grow_one_room(context: Context, count: int) -> None:
    set_room(context, count, 1)
    context.world.settle()


@when("a job of {count:d} accelerators is accepted")
@when("a job of {count:d} accelerator is accepted")
def accept_job_of(context: Context, count: int) -> None:
    accept(context, "next", count)
    context.world.settle()


@when("an urgent job of 8 accelerators within its guarantee is accepted, and stops take long")
def accept_urgent_job(context: Context) -> None:
    accept(context, "urgent", 8, queue="urgent", organisation="sure")
    for _ in range(20):
        context.world.now += 0.1
        context.world.settle(1, instant_stops=False)
    stops = [
        core.orders_for(view).stops
        for core in [context.world.core]
        for view in core.targets.values()
    ]
    assert any(stops)


@when("the stopped runs have ended")
def end_stopped_runs(context: Context) -> None:
    context.world.settle()


@then("it is not started")
def check_not_started(context: Context) -> None:
    assert not context.world.starts(context.newest)


@then("it is started")
def check_started(context: Context) -> None:
    assert len(context.world.starts(context.newest)) == 1


@then("it is started there")
def check_started_on_first(context: Context) -> None:
    started = [task.partition(".")[0] for task, _ in context.world.targets[0].started]
    assert context.newest in started, started


@then("no run of the first jobs was stopped")
def check_first_jobs_run(context: Context) -> None:
    assert all(len(target.running) == 1 and not target.ended for target in context.world.targets)


class CrampedWorld(World):
    """Runners that refuse every start for want of room, although they announced enough."""

    def __init__(self) -> None:
        self.refused: defaultdict[str, list[Rejection]] = defaultdict(list)
        super().__init__()

    def deliver(self, instant_stops: bool = True) -> None:
        for target in self.targets:
            for start in self.core.orders_for(self.core.targets[target.id]).starts:
                self.refused[target.id].append(Rejection(start.task, start.run, "room"))

    def report(self) -> None:
        for target in self.targets:
            report = msgspec.structs.replace(
                target.report(self.now), rejected=tuple(self.refused[target.id])
            )
            self.core.handle_report(report, self.now, self.unix_now)


@given("the runners have no room left, and have not said so yet")
def cramp_runners(context: Context) -> None:
    context.world = CrampedWorld()


@when("a job of {count:d} accelerators is accepted, and {seconds:d} seconds pass")
def accept_and_wait(context: Context, count: int, seconds: int) -> None:
    accept(context, "next", count)
    for _ in range(seconds * 20):
        context.world.now += 0.05
        context.world.run_round()


@then("each runner has refused at most {count:d} starts")
def check_refusals(context: Context, count: int) -> None:
    refusals = [len(refused) for refused in context.world.refused.values()]
    assert max(refusals) <= count, refusals
    assert sum(refusals) >= 1


@when("a heartbeat announces another room")
def announce_other_room(context: Context) -> None:
    context.state.report_due.clear()
    context.state.announce(
        msgspec.structs.replace(announcement("t", 1), sequence=2, room=Resources(1, 1, 1))
    )
