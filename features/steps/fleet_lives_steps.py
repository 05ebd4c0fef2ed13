"""Steps for the lives of a target: what heartbeats claim, and what the runner on the VM answers."""

import msgspec
from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet.jobs import (
    Announcement,
    EndedRow,
    EndKind,
    Incarnation,
    Resources,
    RunListing,
    RunningRow,
    Token,
)
from comfreyshelf.fleet.messages import Orders, Rejection, StartOrder, StopOrder, TokenRequest
from comfreyshelf.fleet.order_executor import OrderExecutor
from comfreyshelf.fleet.runner_poller import LISTING_WAIT_MS, RunnerPoller
from comfreyshelf.fleet.store import NotListeningError, StoreSilentError
from comfreyshelf.fleet.target_runner import (
    FencedRunnerError,
    OtherTargetError,
    RefusedError,
)
from comfreyshelf.ids import JobId, ServiceId, TargetId
from comfreyshelf.metrics import Metrics
from features.owner_task_world import OwnerTaskWorld
from features.owner_world import World, step
from features.target_world import (
    START_S,
    FakeRunner,
    announcement,
    confirm_life,
    simulated_target_process,
)

BORN = 1000
RUN = RunningRow("job.0.0.0", 1, "", 50)
ROOM = Resources(64000, 262144, 8)
OWNER_TOKEN = Token(5)
ODDITIES = {
    "another id and an unknown service": {"id": "other", "incarnation": BORN + 9, "service": "?"},
    "another id and a later start": {"id": "other", "incarnation": BORN + 9},
    "another id and the same start": {"id": "other"},
    "another id and an earlier start": {"id": "other", "incarnation": BORN - 9},
    "its id and a later start": {"incarnation": BORN + 9},
    "its id and an earlier start": {"incarnation": BORN - 9},
    "its id and no start": {"incarnation": 0},
}


class LivingRunner(FakeRunner):
    """A runner that answers calls for its present id, and lists what was started on it.

    With `failure` set it answers none. It refuses the starts of the tasks in `refused`.
    """

    def __init__(self) -> None:
        self.begin_life("t", BORN)
        self.failure: Exception | None = None
        self.refused: set[str] = set()
        # Ids for which listings are answered with an error.
        self.erroneous: set[str] = set()
        # The id that each listing named, and whether it renewed the lease.
        self.calls: list[tuple[TargetId, bool]] = []
        # Up to which number the last listing acknowledged ends, and how long it was to wait.
        self.acknowledged = self.wait_ms = 0

    def begin_life(self, target: str, born: int) -> None:
        """Become another life without runs."""
        self.id, self.born = TargetId(target), Incarnation(born)
        self.token = Token(0)
        self.running: dict[str, RunningRow] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[EndedRow] = []
        self.end_count = 0

    def _check(self, token: Token, target: TargetId) -> None:
        if self.failure is not None:
            raise self.failure
        if target != self.id:
            raise OtherTargetError("another instance", "421")
        if token < self.token:
            raise FencedRunnerError("outdated", "fence")
        self.token = token

    def renew_lease(
        self,
        token: Token,
        target: TargetId,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> RunListing:
        self.calls.append((target, deadline_ms is not None))
        self.acknowledged, self.wait_ms = acknowledged, wait_ms
        if target in self.erroneous:
            raise RefusedError("no such instance", "400")
        self._check(token, target)
        self.ended = [row for row in self.ended if row.number > acknowledged]
        return RunListing(0, self.born, tuple(self.running.values()), tuple(self.ended))

    def end(self, task: str) -> None:
        """End the first run of a task, which may not have been listed before."""
        self.running.pop(task, None)
        self.end_count += 1
        self.ended.append(EndedRow(self.end_count, task, 1, EndKind.DONE, ""))

    def start(self, token: Token, target: TargetId, order: StartOrder, deadline_ms: int) -> None:
        self._check(token, target)
        if order.task in self.refused:
            raise RefusedError("no room", "room")
        if order.run > self.highest.get(order.task, 0):
            self.running[order.task] = RunningRow(order.task, order.run, "", 0)

    def stop(self, token: Token, target: TargetId, order: StopOrder) -> None:
        self._check(token, target)
        self.highest[order.task] = order.run
        self.running.pop(order.task, None)


def heartbeat(target: str = "t", born: int = BORN, **fields: object) -> Announcement:
    """What a runner states about itself."""
    return msgspec.structs.replace(announcement(target, born), **({"room": ROOM} | fields))


def start_process(context: Context) -> None:
    runner = LivingRunner()
    context.stack.enter_context(simulated_target_process(context, runner, None))
    context.metrics = Metrics()
    context.poller = RunnerPoller(context.state, runner, context.metrics)
    # Its pauses end at once.
    context.poller.stop()
    context.executor = OrderExecutor(context.state, runner, context.metrics)


def send_orders(context: Context, *starts: StartOrder, stops: tuple[StopOrder, ...] = ()) -> None:
    """Let the target process carry out the owner's orders for the life that it has reported."""
    incarnation = context.state.life.incarnation
    orders = Orders(OWNER_TOKEN, incarnation, context.clock, 0, starts, stops)
    context.executor.execute(orders)
    # Unlike close(), this lets the orders finish.
    context.executor._pool.shutdown(wait=True)
    context.executor = OrderExecutor(context.state, context.runner, context.metrics)


@given("a target process whose runner has listed one run")
def start_with_run(context: Context) -> None:
    start_process(context)
    confirm_life(context.state, heartbeat(), context.clock)
    context.runner.running[RUN.task] = RUN
    send_orders(context)
    ask_runner(context)
    assert context.state.report().running == (RUN,)


def store_ends(context: Context, count: int) -> None:
    """Let the owner tell that it has stored the present life's ends up to this number."""
    incarnation = context.state.life.incarnation
    context.executor.execute(Orders(OWNER_TOKEN, incarnation, context.clock, count, (), ()))


@given("a target process whose runner has had its first end acknowledged")
def acknowledge_first_end(context: Context) -> None:
    start_with_run(context)
    end_and_store(context)
    ask_runner(context)
    assert not context.runner.ended


@when("its run ends and the owner has stored the end")
def end_and_store(context: Context) -> None:
    context.runner.end(RUN.task)
    ask_runner(context)
    store_ends(context, 1)


@then("the call acknowledged 1 end without waiting")
def check_quick_acknowledgement(context: Context) -> None:
    assert (context.runner.acknowledged, context.runner.wait_ms) == (1, 0)


@then("the call waited for ends, and acknowledged none")
def check_waiting_call(context: Context) -> None:
    assert (context.runner.acknowledged, context.runner.wait_ms) == (0, LISTING_WAIT_MS)


FAILURES = {
    "no answer": StoreSilentError("silent", "retry"),
    "a refused connection": NotListeningError("refused", "retry"),
    "an error": RefusedError("overloaded", "500"),
}


@when(
    "the listing call gets {failure}, as its runner starts again under its id and ends another run"
)
def restart_during_call(context: Context, failure: str) -> None:
    context.runner.failure = FAILURES[failure]
    ask_runner(context)
    context.runner.failure = None
    restart_under_same_id(context)
    context.runner.end("other.0.0.0")


@when("another run ends, and the answer to the listing call is lost")
def lose_answer(context: Context) -> None:
    context.runner.failure = FAILURES["no answer"]
    context.runner.end("other.0.0.0")
    ask_runner(context)
    context.runner.failure = None


@then("it reports the end of that run")
def check_end_reported(context: Context) -> None:
    assert [row.task for row in context.state.report().ended] == ["other.0.0.0"]


@when("the owner has stored the first end")
def store_first_end(context: Context) -> None:
    store_ends(context, 1)


@when("the owner has stored {count:d} ends")
def store_more_ends(context: Context, count: int) -> None:
    store_ends(context, count)


@then("its runner has no ends left")
def check_no_ends_left(context: Context) -> None:
    assert not context.runner.ended


@then("the call acknowledged no end")
def check_nothing_acknowledged(context: Context) -> None:
    assert context.runner.acknowledged == 0


@given("a target process that has restarted beside a runner with one run")
def restart_beside_run(context: Context) -> None:
    start_process(context)
    context.runner.running[RUN.task] = RUN


@given("a target process that has restarted beside a runner that has seen the owner's token")
def restart_beside_fence(context: Context) -> None:
    restart_beside_run(context)
    context.runner.token = OWNER_TOKEN


@when("a heartbeat arrives that has {oddity}")
def receive_odd_heartbeat(context: Context, oddity: str) -> None:
    context.state.announce(heartbeat(sequence=100, **ODDITIES[oddity]))


@when("a late heartbeat of the runner before arrives")
def receive_late_heartbeat(context: Context) -> None:
    context.state.announce(heartbeat("before", BORN - 5000, sequence=7))


@when("{count:d} heartbeats of other ids arrive, and then one of its runner")
def receive_many_heartbeats(context: Context, count: int) -> None:
    for number in range(count):
        context.state.announce(heartbeat(f"other{number}", BORN + number))
    context.state.announce(heartbeat())


@when("its runner sends a heartbeat")
@when("that runner sends a heartbeat")
def send_heartbeat(context: Context) -> None:
    context.sequence = context.sequence + 1 if "sequence" in context else 2
    beat = heartbeat(context.runner.id, context.runner.born, sequence=context.sequence)
    context.state.announce(beat)


@when("another runner follows on the VM")
def follow_on_machine(context: Context) -> None:
    context.runner.begin_life("next", BORN + 5000)


@when("another runner follows on the VM and sends a heartbeat")
def follow_and_announce(context: Context) -> None:
    follow_on_machine(context)
    send_heartbeat(context)


@when("the target process asks its runner")
def ask_runner(context: Context) -> None:
    context.clock += 0.1
    context.poller.poll()


@then("it still reports the runner's life with its run")
def check_life_reported(context: Context) -> None:
    report = context.state.report()
    assert (report.announcement.id, report.incarnation) == ("t", BORN), report
    assert report.announcement.service == ServiceId("permit")
    assert report.lists_known and report.runner_up and report.running == (RUN,), report
    assert not context.state.claimed_ids()


@then("the start of another task is carried out on the runner")
def check_start_carried_out(context: Context) -> None:
    send_orders(context, StartOrder("later.0.0.0", 1, "", ""))
    assert "later.0.0.0" in context.runner.running


@then("it reports the next runner, without runs")
def check_next_reported(context: Context) -> None:
    report = context.state.report()
    assert (report.announcement.id, report.incarnation) == ("next", BORN + 5000), report
    assert report.lists_known and report.runner_up and not report.running, report


@when("a message arrives that its target leaves")
def receive_departure(context: Context) -> None:
    context.state.record_departure(TargetId("t"))


@when("its runner refuses connections for {seconds:g} seconds")
def refuse_connections(context: Context, seconds: float) -> None:
    context.runner.failure = NotListeningError("refused", "retry")
    ask_runner(context)
    context.clock += seconds - 0.1
    ask_runner(context)


@then("it reports no departure")
def check_no_departure(context: Context) -> None:
    assert not context.state.report().gone


@then("it reports its run as going on, and takes no work")
def check_run_goes_on(context: Context) -> None:
    report = context.state.report()
    assert report.runner_up and report.takes_no_work and report.running == (RUN,), report


@then("it reports the departure of its target")
def check_departure(context: Context) -> None:
    assert context.state.report().gone


@then("a start is refused, as its target may leave")
def check_start_refused(context: Context) -> None:
    send_orders(context, StartOrder("refused.0.0.0", 1, "", ""))
    assert "refused.0.0.0" not in context.runner.running


@when("another writer names its id and start, an unknown service and a high number")
def receive_high_number(context: Context) -> None:
    assert context.state.announce(heartbeat(service=ServiceId("?"), sequence=10**9))


@when("its runner sends {count:d} heartbeats {seconds:g} seconds apart")
def send_heartbeats(context: Context, count: int, seconds: float) -> None:
    for _ in range(count):
        context.clock += seconds
        send_heartbeat(context)


@when("two heartbeats with lower numbers and less room arrive")
def receive_late_heartbeats(context: Context) -> None:
    for sequence in (2, 3):
        assert not context.state.announce(heartbeat(sequence=sequence, room=Resources(1, 1, 1)))


@when("a start is refused {seconds:d} seconds after the process has started")
def refuse_start_early(context: Context, seconds: int) -> None:
    refuse_start(context, START_S + seconds - context.clock)


@when("a start is refused {seconds:g} seconds later")
def refuse_start(context: Context, seconds: float) -> None:
    context.clock += seconds
    context.order = StartOrder(f"refused{context.clock}.0.0.0", 1, "", "")
    context.runner.refused.add(context.order.task)
    send_orders(context)
    ask_runner(context)
    send_orders(context, context.order)


def is_rejected(context: Context) -> bool:
    return context.order.task in {row.task for row in context.state.report().rejected}


@then("the run is reported as rejected only after a later listing without it")
def check_rejected_later(context: Context) -> None:
    assert not is_rejected(context)
    context.clock += 0.5
    ask_runner(context)
    assert is_rejected(context)


@then("the run is reported as rejected at once")
def check_rejected(context: Context) -> None:
    assert is_rejected(context)


@when("{count:d} heartbeats of other ids arrive that the runner answers with errors")
def receive_erroneous_claims(context: Context, count: int) -> None:
    for number in range(count):
        context.state.announce(heartbeat(f"other{number}", BORN + number))
        context.runner.erroneous.add(f"other{number}")
    send_orders(context)
    context.runner.calls.clear()


@then("the lease of its runs was renewed after one such answer")
def check_lease_renewed(context: Context) -> None:
    assert context.runner.calls == [("other0", False), ("t", True)], context.runner.calls


@when("the target process asks its runner {count:d} times more")
def ask_runner_again(context: Context, count: int) -> None:
    for _ in range(count):
        ask_runner(context)


@when("its runner starts again under its id")
def restart_under_same_id(context: Context) -> None:
    context.former_life = context.state.life
    context.runner.begin_life("t", BORN + 5000)


@then("it reports the runner's next life, without runs and to take no work")
def check_next_life_reported(context: Context) -> None:
    report = context.state.report()
    assert (report.announcement.id, report.incarnation) == ("t", BORN + 5000), report
    assert report.lists_known and not report.running, report
    assert report.takes_no_work


@then("a start for the former life is not carried out")
def check_start_not_carried_out(context: Context) -> None:
    order = StartOrder("later.0.0.0", 1, "", "")
    orders = Orders(OWNER_TOKEN, context.former_life.incarnation, context.clock, 0, (order,), ())
    context.executor.execute(orders)
    context.executor.close()
    assert not context.runner.running


@then("it reports the room of its runner")
@then("it reports that the runner's next life takes work")
def check_room_reported(context: Context) -> None:
    report = context.state.report()
    assert report.announcement.room == ROOM and not report.takes_no_work
    assert context.state.report_due.is_set()


def restart_target(context: Context) -> None:
    """Let the job's target start again under its id, without its runs."""
    target = context.target
    target.born += 1
    target.running.clear()
    target.ended, target.acknowledged = [], 0


@given("its target has started again under its id without the run")
def restart_without_run(context: Context) -> None:
    restart_target(context)


@given("its target has started again under its id, and its next life has carried out the start")
def restart_with_run(context: Context) -> None:
    restart_target(context)
    context.target.running[context.row.task] = context.row


@given(
    "its target for a new owner has started again under its id, "
    "and its next life has carried out the start"
)
def restart_for_new_owner(context: Context) -> None:
    context.world.take_over()
    restart_with_run(context)


@given("an owner whose job runs on a target that has started again {how}")
def start_job_on_next_life(context: Context, how: str) -> None:
    world = context.world = World()
    target = context.target = world.targets[0]
    context.late_report = target.report(world.now)
    target.born += 1
    if how == "under another id":
        target.id = TargetId("next")
    world.settle()
    # The others are too small for the job.
    for other in world.targets[1:]:
        other.room = Resources()
    world.settle()
    world.accept("job", (step(1),))
    world.settle()
    context.row = target.running["job.0.0.0"]


@given("the owner knows the present life")
@given("the owner knows the present target")
def keep_owner(context: Context) -> None:
    assert context.world.core.targets[context.target.id].incarnation == context.target.born


@given("a new owner takes over that has no report yet")
@given("a new owner takes over that has had no report")
def replace_owner(context: Context) -> None:
    context.world.take_over()


@when("a report of the target's former life arrives late")
def receive_late_report(context: Context) -> None:
    world = context.world
    world.core.handle_report(context.late_report, world.now, world.unix_now)
    world.core.plan(world.now, world.unix_now)
    world.store()


@then("the job's task has not started again, and only the present target is known")
def check_late_report_ignored(context: Context) -> None:
    core = context.world.core
    check_not_started_again(context)
    assert not core.changes()
    assert all(
        view.incarnation != context.late_report.incarnation or view.id != "t0"
        for view in core.targets.values()
    )
    active = core.jobs[JobId("job")].active_runs
    assert [run.stopping_since for run in active.values()] == [None], active


@when("the owner has heard of the next life")
def hear_of_next_life(context: Context) -> None:
    context.world.settle(3, instant_stops=False)


@then("the job's task has not started again")
def check_not_started_again(context: Context) -> None:
    assert context.world.starts("job") == [(context.row.task, 1)]


@when("the next life has stopped the run")
def stop_at_next_life(context: Context) -> None:
    context.world.settle()


@then("the job's task starts again as run 2")
def check_started_again(context: Context) -> None:
    task = context.row.task
    assert context.world.starts("job") == [(task, 1), (task, 2)]
    assert [t.running[task].run for t in context.world.targets if task in t.running] == [2]


@when("the next life has refused the run")
def refuse_at_next_life(context: Context) -> None:
    world, target = context.world, context.target
    (stop,) = world.core.orders_for(world.core.targets[target.id]).stops
    assert stop == StopOrder(context.row.task, 1)
    target.rejected.append(Rejection(stop.task, stop.run, "stopped before its start"))
    world.report()
    target.rejected.clear()
    world.settle()


@then("it reports its target as down")
def check_reported_down(context: Context) -> None:
    report = context.state.report()
    assert report.announcement.id == "t" and not report.runner_up, report


@then("it reports nothing to the owner")
def check_nothing_reported(context: Context) -> None:
    assert context.state.message_to_owner() is None


@then("it asks the owner for its token, and names no target")
def check_token_asked(context: Context) -> None:
    assert context.state.message_to_owner() == TokenRequest("m")


@when("the owner answers")
def answer_token_request(context: Context) -> None:
    owner = OwnerTaskWorld(context.stack)
    owner.elect(OWNER_TOKEN)
    owner.task.handle(TokenRequest("m"))
    ((recipient, orders),) = owner.hub.sent
    assert recipient == "m"
    context.executor.execute(orders)


@then("the answer was no contact that keeps the runner's lease alive")
def check_no_contact(context: Context) -> None:
    assert context.state.lease_deadline_ms() is None


@when("a target process asks for its token")
def ask_owner(context: Context) -> None:
    context.owner.task.handle(TokenRequest("m"))


@when("a target process asks an entry for its token that was never elected")
def ask_other_entry(context: Context) -> None:
    ask_owner(context)


@then("that process gets token {token:d} without starts and stops, and no target has joined")
def check_token_sent(context: Context, token: int) -> None:
    recipient, orders = context.owner.hub.sent[-1]
    assert (recipient, orders.token) == ("m", token)
    assert not orders.starts and not orders.stops
    assert not context.owner.task._core.targets


@then("that process is told that the entry does not own the schedule")
def check_not_owner(context: Context) -> None:
    assert [(to, orders.token) for to, orders in context.owner.hub.sent] == [("m", 0)]
