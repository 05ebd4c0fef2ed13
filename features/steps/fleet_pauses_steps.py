"""Steps for processes that are paused, silent or restarted, with simulated clocks."""

import threading
from collections.abc import Callable
from unittest import mock

import msgspec
from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet import leader_election
from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.job_table import job_record, progress_record
from comfreyshelf.fleet.jobs import (
    EndKind,
    Incarnation,
    Job,
    JobPhase,
    Progress,
    QueueName,
    Resources,
    RunListing,
    RunningRow,
    RunNumber,
    TaskName,
    TaskProgress,
    Token,
)
from comfreyshelf.fleet.leader_election import LeaderElection
from comfreyshelf.fleet.messages import Orders, StartOrder, StopOrder
from comfreyshelf.fleet.order_executor import OrderExecutor
from comfreyshelf.fleet.owner import OwnerCore
from comfreyshelf.fleet.runner_poller import LISTING_PAUSE_S
from comfreyshelf.fleet.store import Membership
from comfreyshelf.ids import JobId, OrganisationId, TargetId
from comfreyshelf.metrics import Metrics
from features.owner_task_world import FakeStore, OwnerTaskWorld
from features.owner_world import FakeTarget, World, step
from features.target_world import FakeRunner, confirm_life, simulated_target_process

ORDER_THREADS = 4
TARGET = TargetId("t")


@given("an owner whose job runs on one of 4 targets")
def start_job(context: Context) -> None:
    context.world = World()
    context.world.accept("job", (step(1, demand=Resources(1000, 1000, 1)),))
    context.world.settle()
    context.target, context.row = context.world.run_of("job")


@when("the owner is paused for {seconds:d} seconds, and the next report shows the same progress")
def pause_owner(context: Context, seconds: int) -> None:
    context.world.now += seconds
    context.world.settle(1)


@when("reports of {seconds:d} seconds repeat one listing of the run")
def repeat_listing(context: Context, seconds: int) -> None:
    world, target = context.world, context.target
    listed_at, make_report = world.now, target.report
    target.report = lambda now: msgspec.structs.replace(make_report(now), listed_at=listed_at)
    world.wait(seconds, progress=False)


@then("no run was stopped")
def check_nothing_stopped(context: Context) -> None:
    assert context.row.task in context.target.running
    assert context.world.starts("job") == [(context.row.task, 1)]


@when("four jobs of 7 accelerators are accepted")
def accept_more_jobs(context: Context) -> None:
    for number in range(4):
        # One fits beside the first job, two do not fit on one target.
        context.world.accept(f"more{number}", (step(1, demand=Resources(1000, 1000, 7)),))
    context.world.settle()


@then("none of them runs on that target")
def check_target_avoided(context: Context) -> None:
    assert len(context.world.starts("more")) == 3
    assert [task for task, _ in context.target.started] == [context.row.task]


@when("the target process reports that its runner is down")
def report_runner_down(context: Context) -> None:
    make_report = context.target.report
    context.target.report = lambda now: msgspec.structs.replace(make_report(now), runner_up=False)
    context.world.settle()


@when("the target process reports that its runner cannot be reached")
def report_unreachable(context: Context) -> None:
    make_report = context.target.report
    context.target.report = lambda now: msgspec.structs.replace(
        make_report(now), takes_no_work=True
    )
    context.world.settle()


@then("the job's task starts on another target as run 2")
def check_started_elsewhere(context: Context) -> None:
    assert context.world.starts("job")[-1] == (context.row.task, 2), context.world.starts("job")
    assert len(context.target.started) == 1


@given("the target is cut off from the owner that takes over")
def take_over_without_target(context: Context) -> None:
    context.world.silent.add(context.target.id)
    context.world.take_over()


@when("{seconds:d} seconds pass")
def pass_time(context: Context, seconds: int) -> None:
    context.world.wait(seconds)


@then("the job's task is not ordered again")
def check_not_ordered_again(context: Context) -> None:
    assert len(context.world.starts("job")) == 1


@given("an owner whose job raises an error whenever it is planned")
def accept_bad_job(context: Context) -> None:
    context.world = World()
    context.events = []
    context.world.core.log_event = lambda event, **fields: context.events.append((event, fields))
    context.world.accept("bad", (step(1),))
    bad = context.world.core.jobs[JobId("bad")]
    bad.startable_units = mock.Mock(side_effect=IndexError("no such step"))


@then("these jobs run, and one line tells which job cannot be planned")
def check_others_planned(context: Context) -> None:
    context.world.wait(3)
    assert len(context.world.starts("more")) == 4
    lines = [fields for event, fields in context.events if event == "job cannot be planned"]
    assert [fields["job"] for fields in lines] == ["bad"], lines


def store_job(context: Context, name: str, progress: Progress | None = None) -> None:
    job = Job(JobId(name), OrganisationId("other"), QueueName("usual"), "", (step(1),), 0.0)
    records = [job_record(job)]
    if progress is not None:
        records.append(progress_record(job.id, progress))
    context.owner.store.append("jobs", records)


@given("stored jobs, one of which has progress of a step that it does not have")
def store_bad_job(context: Context) -> None:
    context.owner = OwnerTaskWorld(context.stack)
    task = TaskProgress(target=TargetId("t0"))
    store_job(context, "bad", Progress(tasks={TaskName("0.7.0"): task}))
    store_job(context, "good")


@given("stored jobs of one task each")
def store_jobs(context: Context) -> None:
    context.owner = OwnerTaskWorld(context.stack)
    for name in ("one", "two"):
        store_job(context, name)


@when("an entry is elected as owner")
def elect_owner(context: Context) -> None:
    elect_in_generation(context, 3)


@given("an entry is elected as owner in generation {generation:d}")
@when("an entry is elected as owner in generation {generation:d}")
def elect_in_generation(context: Context, generation: int) -> None:
    if "owner" not in context:
        context.owner = OwnerTaskWorld(context.stack)
    context.owner.elect(generation)


@then("it has loaded the other jobs, and counts the one that it has not")
def check_other_jobs_loaded(context: Context) -> None:
    report_to_owner(context)
    assert [job.id for job in started_jobs(context)] == ["good"]
    assert "jobs_not_loaded 1" in context.owner.metrics.render().replace("comfreyshelf_", "")


def report_to_owner(context: Context, *running: RunningRow) -> None:
    target = FakeTarget(0)
    target.running = {row.task: row for row in running}
    context.owner.report(target.report(context.owner.now))


def started_jobs(context: Context) -> list[Job]:
    ids = [order.task.partition(".")[0] for _, o in context.owner.hub.sent for order in o.starts]
    core: OwnerCore = context.owner.task._core
    return [core.jobs[JobId(job)].job for job in dict.fromkeys(ids)]


@then("all its appends carry epoch {epoch:d}")
def check_epoch(context: Context, epoch: int) -> None:
    report_to_owner(context)
    assert started_jobs(context)
    assert {writer.epoch for writer in context.owner.store.writers} == {epoch}


@when("the store refuses its appends, as a newer owner was elected")
def fence_owner(context: Context) -> None:
    context.owner.store.fence = 8


@when("a target reports to it")
def target_reports(context: Context) -> None:
    report_to_owner(context)


@then("the target gets no start, and is told that the entry does not own the schedule")
def check_owner_resigned(context: Context) -> None:
    orders = [orders for _, orders in context.owner.hub.sent]
    assert not any(o.starts for o in orders)
    assert orders[-1].token == 0


@given("their tasks run on two targets")
def run_on_two_targets(context: Context) -> None:
    context.targets = [FakeTarget(0), FakeTarget(1)]
    report_running_tasks(context)
    starts = {target: orders.starts for target, orders in context.owner.hub.sent}
    for target in context.targets:
        for start in starts[target.id]:
            target.running[start.task] = RunningRow(start.task, start.run, "", 10)
    assert all(len(target.running) == 1 for target in context.targets)
    report_running_tasks(context)


def report_running_tasks(context: Context) -> None:
    for target in context.targets:
        context.owner.report(target.report(context.owner.now))


@given("the entry loses the lead, and is elected as owner in generation {generation:d}")
def elect_again(context: Context, generation: int) -> None:
    context.owner.task.handle(Membership(0, False, context.owner.now))
    context.owner.elect(generation)
    report_running_tasks(context)


@when("it is cut off for {seconds:d} seconds and resigns, {times:d} times in a row")
def cut_owner_off(context: Context, seconds: int, times: int) -> None:
    for number in range(times):
        if number:
            context.owner.elect(7 + number)
            report_running_tasks(context)
        context.owner.store.is_silent = True
        for _ in range(seconds):
            context.owner.now += 1
            context.owner.task.tick()
        context.owner.store.is_silent = False
        assert context.owner.terms_ended == number + 1


@when("{change} on the targets, and it is elected as owner in generation {generation:d}")
def elect_after_cut(context: Context, change: str, generation: int) -> None:
    if change == "the tasks end":
        for target in context.targets:
            for task in list(target.running):
                target.end(task, EndKind.DONE)
    context.owner.hub.sent.clear()
    context.owner.elect(generation)


@given("it loses the lead, and the next owner stores that the tasks are done")
def end_under_next_owner(context: Context) -> None:
    context.owner.task.handle(Membership(0, False, context.owner.now))
    done = {TaskName("0.0.0"): TaskProgress(RunNumber(1), done=True)}
    for name in ("one", "two"):
        progress = Progress(JobPhase.RUNNING, done)
        context.owner.store.append("jobs", [progress_record(JobId(name), progress)])
    for target in context.targets:
        target.running.clear()


@when(
    "the store returns one record at a time, and the entry is elected in generation {generation:d}"
)
def elect_with_small_pages(context: Context, generation: int) -> None:
    context.owner.store.page_records = 1
    context.owner.hub.sent.clear()
    context.owner.elect(generation)


@when("the store returns no records, and the entry is elected in generation {generation:d}")
def elect_without_reads(context: Context, generation: int) -> None:
    context.owner.store.page_records = 0
    context.owner.hub.sent.clear()
    context.owner.elect(generation)


@then("no task starts again")
def check_nothing_starts(context: Context) -> None:
    report_running_tasks(context)
    report_running_tasks(context)
    orders = [orders for _, orders in context.owner.hub.sent]
    assert orders
    assert not any(o.starts or o.stops for o in orders), orders


@when("it is told that it does not lead, and then that it leads in generation {generation:d}")
def resign_and_confirm(context: Context, generation: int) -> None:
    context.owner.task.handle(Membership(0, False, context.owner.now))
    context.owner.confirm(generation)


@then("the entry leaves the group")
def check_group_left(context: Context) -> None:
    assert context.owner.terms_ended == 1


@when("it is paused for 3 seconds, and a target reports a run that it does not know")
def report_after_pause(context: Context) -> None:
    context.owner.now += 3
    report_unknown_run(context)


@when("a target reports a run that it does not know")
def report_unknown_run(context: Context) -> None:
    report_to_owner(context, RunningRow("unknown.0.0.0", 1, "", 50))


@when("a confirmation of its lead that was asked for 3 seconds ago arrives")
def confirm_late(context: Context) -> None:
    context.owner.now += 3
    context.owner.confirm(7, asked_ago_s=3.0)


@then("the target gets no stop")
def check_no_stop(context: Context) -> None:
    assert not any(orders.stops for _, orders in context.owner.hub.sent)


@when("the store confirms its lead")
def confirm_lead(context: Context) -> None:
    context.owner.confirm(7)


@then("the target is told to stop that run")
def check_stop_sent(context: Context) -> None:
    assert context.owner.hub.sent[-1][1].stops == (StopOrder("unknown.0.0.0", 1),)


class GroupStore(FakeStore):
    """A store whose group is led by `leader`; it counts the calls that join the group."""

    def __init__(self) -> None:
        super().__init__()
        self.leader = ""
        self.joins = self.leaves = 0

    def find_leader(self, group: str) -> str:
        return self.leader

    def join(self, group: str, member: str, topic: str, ttl_ms: int, generation: int) -> Membership:
        self.joins += 1
        return Membership(1, not self.leader)

    def leave(self, group: str, member: str) -> None:
        self.leaves += 1


@given("an entry that finds the group without a leader")
def find_no_leader(context: Context) -> None:
    context.group = GroupStore()
    context.election = LeaderElection(context.group, "e@x", 1.0, lambda membership: None)
    context.election.poll()


@when("another entry joins the group before the first one does")
def join_other_entry(context: Context) -> None:
    context.group.leader = "other@y/1"


@given("an entry that was elected as leader")
def elect_leader(context: Context) -> None:
    context.now = 50.0
    context.stack.enter_context(
        mock.patch.object(leader_election, "monotonic", lambda: context.now)
    )
    context.group = GroupStore()
    context.memberships = []
    context.election = LeaderElection(context.group, "e@x", 1.0, context.memberships.append)
    for _ in range(3):
        context.election.poll()
    assert context.memberships[-1].is_leader


@when("it is paused for 3 seconds while another entry joins the group")
def pause_leader(context: Context) -> None:
    context.joins_before = context.group.joins
    context.now += 3
    join_other_entry(context)
    context.election.poll()


@when("the store gives the lead to another member")
def give_lead_away(context: Context) -> None:
    join_other_entry(context)


@then("the entry leaves the group and does not join again")
def check_left_group(context: Context) -> None:
    for _ in range(3):
        context.election.poll()
    assert context.group.leaves == 1
    context.joins_before = context.group.joins
    context.election.poll()
    check_not_joined_again(context)


@then("it does not join, and knows that it does not lead")
def check_not_joined_again(context: Context) -> None:
    assert context.group.joins == context.joins_before
    assert not context.memberships[-1].is_leader


@then("the first entry does not join")
def check_not_joined(context: Context) -> None:
    for _ in range(3):
        context.election.poll()
    assert context.group.joins == 0


class HangingRunner(FakeRunner):
    """A runner that answers no stop until `answers` is set; `stopped` lists the calls."""

    def __init__(self) -> None:
        self.answers = threading.Event()
        self.stopped: list[tuple[Token, str]] = []
        self.started: list[tuple[Token, str]] = []
        self.named_targets: list[TargetId] = []
        self.before_start: Callable[[], None] = lambda: None

    def start(self, token: Token, target: TargetId, order: StartOrder, deadline_ms: int) -> None:
        self.before_start()
        self.named_targets.append(target)
        self.started.append((token, order.task))

    def stop(self, token: Token, target: TargetId, order: StopOrder) -> None:
        self.stopped.append((token, order.task))
        assert self.answers.wait(10)


def make_listing(*running: RunningRow) -> RunListing:
    return RunListing(0, Incarnation(1), running, ())


def start_target_process(context: Context) -> None:
    runner = HangingRunner()
    context.stack.enter_context(simulated_target_process(context, runner))
    context.executor = OrderExecutor(context.state, runner, Metrics())
    context.stack.callback(context.executor.close)
    context.stack.callback(runner.answers.set)
    context.state.apply_listing(TARGET, make_listing(), context.clock)


def send_orders(
    context: Context, token: int, starts: tuple[StartOrder, ...], stops: tuple[StopOrder, ...]
) -> None:
    context.executor.execute(Orders(Token(token), 1, context.clock, 0, starts, stops))


@given("a target process that has orders of an owner with token {token:d}")
def take_first_orders(context: Context, token: int) -> None:
    start_target_process(context)
    send_orders(context, token, (), ())


@when("an owner with token {token:d} orders a start and a stop")
def send_old_orders(context: Context, token: int) -> None:
    context.clock += 2.0
    send_orders(context, token, (StartOrder("a", 1, "", ""),), (StopOrder("b", 1),))


@then("nothing is carried out, and the contact with an owner is not renewed")
def check_orders_ignored(context: Context) -> None:
    context.runner.answers.set()
    context.executor.close()
    assert not context.runner.started and not context.runner.stopped
    assert context.state.last_contact_at == context.clock - 2.0


@when("the process stops, and an owner with token {token:d} orders a start and a stop")
def send_orders_while_stopping(context: Context, token: int) -> None:
    context.runner.answers.set()
    context.executor.close()
    send_old_orders(context, token)


@then("nothing is carried out")
def check_nothing_carried_out(context: Context) -> None:
    assert not context.runner.started and not context.runner.stopped


@given("a target process whose runner answers no call")
def start_hanging_runner(context: Context) -> None:
    start_target_process(context)


@given("an order of an owner with token {token:d} waits for a free thread")
def fill_order_threads(context: Context, token: int) -> None:
    stops = tuple(StopOrder(f"busy{number}", 1) for number in range(ORDER_THREADS))
    send_orders(context, token, (), (*stops, StopOrder("waiting", 1)))
    assert not any(task == "waiting" for _, task in context.runner.stopped)


@when("an owner with token {token:d} sends orders, and the runner answers again")
def send_newer_orders(context: Context, token: int) -> None:
    send_orders(context, token, (), ())
    context.runner.answers.set()


@when("the process is paused for {seconds:d} seconds, and the runner answers again")
def pause_target_process(context: Context, seconds: int) -> None:
    context.clock += seconds
    context.runner.answers.set()


def follow_runner(context: Context) -> None:
    """Let another target be announced on the same machine."""
    announcement = context.state._announcement
    confirm_life(
        context.state,
        msgspec.structs.replace(announcement, id=TargetId("next"), incarnation=Incarnation(2)),
        context.clock,
    )


@when("the runner is followed by another one, and that one answers")
def follow_and_answer(context: Context) -> None:
    follow_runner(context)
    context.runner.answers.set()


@when("a start for it is confirmed only after another runner has followed")
def confirm_start_late(context: Context) -> None:
    context.runner.before_start = lambda: follow_runner(context)
    send_orders(context, 5, (StartOrder("a", 1, "", ""),), ())
    context.runner.answers.set()
    context.executor._pool.shutdown(wait=True)
    assert context.runner.started


@then("the runner that follows is reported without runs")
def check_no_runs(context: Context) -> None:
    report = context.state.report()
    assert report.announcement.id == "next" and not report.running, report
    assert not any(crash.runs for crash in report.crashes if "next" in str(crash))


@then("the call named the runner that the order was for")
def check_named_runner(context: Context) -> None:
    assert context.runner.named_targets == ["t"]


@then("the order that waited is not carried out")
def check_order_dropped(context: Context) -> None:
    context.executor.close()
    assert sorted(task for _, task in context.runner.stopped) == [
        f"busy{number}" for number in range(ORDER_THREADS)
    ]
    assert {token for token, _ in context.runner.stopped} == {5}


@given("a target process whose runner has listed a run")
def list_one_run(context: Context) -> None:
    start_target_process(context)
    send_orders(context, 5, (), ())
    list_runs(context)


@when("it lists its runs again")
def list_runs(context: Context) -> None:
    listing = make_listing(RunningRow("job.0.0.0", 1, "", 1))
    context.state.apply_listing(TARGET, listing, context.clock)


@when("the runner refuses one connection")
def refuse_connection(context: Context) -> None:
    context.state.record_connection(is_refused=True, may_be_carried_out=False)


@when("it refuses connections for half a second more")
def refuse_connections_shortly(context: Context) -> None:
    refuse_connections(context, 0.5)


@when("it refuses connections for {seconds:g} seconds more")
def refuse_connections(context: Context, seconds: float) -> None:
    refuse_connection(context)
    context.clock += seconds
    refuse_connection(context)


@when("1 second passes, and a renewal of the lease gets no answer")
def lose_renewal(context: Context) -> None:
    context.clock += 1.0
    assert context.state.listing_request().deadline_ms is not None
    context.state.record_connection(is_refused=False)


@then("its target process reports it as up")
def check_runner_up(context: Context) -> None:
    report = context.state.report()
    assert report.runner_up and not report.takes_no_work


@then("its target process reports it as unreachable, and its runs as going on")
def check_unreachable(context: Context) -> None:
    report = context.state.report()
    assert report.runner_up and report.takes_no_work
    assert [row.task for row in report.running] == ["job.0.0.0"]


@then("its target process reports it as down")
def check_runner_down(context: Context) -> None:
    assert not context.state.report().runner_up


@when("the runner answers no call for {seconds:d} seconds")
@when("the runner answers no call for {seconds:d} more seconds")
def stay_silent(context: Context, seconds: int) -> None:
    context.clock += seconds
    context.state.record_connection(is_refused=False)


@when("a listing that was requested 1.3 seconds ago is answered, and 1.3 more seconds pass")
def answer_slow_listing(context: Context) -> None:
    requested_at = context.clock
    context.clock += 1.3
    context.state.apply_listing(TARGET, make_listing(), requested_at)
    context.clock += 1.3
    send_orders(context, 5, (), ())


@then("its runs may start under a lease")
def check_lease_given(context: Context) -> None:
    assert context.state.lease_deadline_ms() is not None


@then("the lease is not renewed, and its target process reports it as up")
def check_lease_not_renewed(context: Context) -> None:
    send_orders(context, 5, (), ())
    assert context.state.lease_deadline_ms() is None
    check_runner_up(context)


@when("its VM is suspended for {seconds:g} seconds")
def suspend_machine(context: Context, seconds: float) -> None:
    context.clock += seconds
    context.suspended_s += seconds


@when("it asks its runner {seconds:g} seconds after its last contact to an owner")
def ask_without_contact(context: Context, seconds: float) -> None:
    context.clock = context.state.last_contact_at + seconds
    context.poller.poll()


@when("an owner answers its report")
def answer_report(context: Context) -> None:
    send_orders_of_owner(context)


@when("{seconds:g} seconds later an owner answers its report")
def answer_report_later(context: Context, seconds: float) -> None:
    context.clock += seconds
    send_orders_of_owner(context)


def send_orders_of_owner(context: Context) -> None:
    incarnation = context.state.life.incarnation
    context.executor.execute(Orders(Token(5), incarnation, context.clock, 0, (), ()))


@then("its run goes on")
def check_run_goes_on(context: Context) -> None:
    assert list(context.runner.running) == ["job.0.0.0"]


@then("its run has been stopped before the owner takes it for lapsed")
def check_stopped_in_time(context: Context) -> None:
    bounds = Bounds()
    assert not context.runner.running
    silent_s = context.clock - context.state.last_contact_at
    assert silent_s + bounds.stop_grace_s + LISTING_PAUSE_S < bounds.runs_lapsed_after_s


@then("a lease lasts until {seconds:g} seconds after the listing on the runner's clock")
def check_deadline(context: Context, seconds: float) -> None:
    assert context.state.lease_deadline_ms() == seconds * 1000
