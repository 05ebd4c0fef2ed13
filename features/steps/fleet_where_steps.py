"""Steps for the question where a job would go."""

import contextlib
import io
import json
import os
import threading
import time
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

import msgspec
from behave import given, then, when
from behave.runner import Context

from comfreyshelf.errors import UserError
from comfreyshelf.fleet import dry_run_question
from comfreyshelf.fleet.bounds import Bounds, monotonic
from comfreyshelf.fleet.dry_run_answer import PlacementKind
from comfreyshelf.fleet.dry_run_question import DryRunQuestion, OwnerBusyError, QuestionDesk
from comfreyshelf.fleet.jobs import EndKind, Resources, RunningRow
from comfreyshelf.fleet.web import Call
from comfreyshelf.fleet.where_api import WhereApi
from comfreyshelf.fleet.where_protocol import QuestionRefusal
from comfreyshelf.metrics import Metrics
from comfreyshelf.platform.wire import PlatformCodec
from comfreyshelf.ui import main
from features.evacuation_world import EvacuationWorld
from features.owner_world import World, step
from features.platform_standins import CONFIG, JOB
from features.where_world import ALL_FEATURES, ASKED, HALF, BusyWorld, ask, describe, make_job

RACKS = ({"t0", "t1"}, {"t2", "t3"})
WAIT_S = 30.0


def fill(world: World, name: str, count: int, percent: int = 1, **options: object) -> None:
    """Start a job of `count` tasks that need a target each, and report their progress."""
    world.accept(name, (step(count),), **options)
    world.settle()
    for target in world.targets:
        for task, row in target.running.items():
            target.running[task] = RunningRow(task, row.run, row.checkpoint, percent)
    world.settle(1)


@given("an idle fleet of 4 targets in 2 racks")
def start_idle_fleet(context: Context) -> None:
    context.world = World()


@given("a fleet that is full of usual runs with 15 s left")
def start_full_fleet(context: Context) -> None:
    context.world = World()
    context.world.accept("full", (step(4),))
    context.world.settle()
    context.world.now += 5.0
    context.world.settle(1)


@given("a fleet with one free target in each rack")
def start_fragmented_fleet(context: Context) -> None:
    context.world = World()
    fill(context.world, "full", 4)
    for target in context.world.targets:
        if target.number in (0, 2):
            target.end(next(iter(target.running)), EndKind.DONE)
    context.world.settle()


@given("a fleet of two zones, of which one is evacuated")
def start_evacuated_fleet(context: Context) -> None:
    context.world = EvacuationWorld()
    context.world.evacuate("z1")
    context.world.settle()


@given("a fleet whose owner has not read the operators' topic lately")
def start_held_fleet(context: Context) -> None:
    context.world = World(bounds=Bounds(evacuate_s=5.0))


@given("a fleet that is full of least urgent runs")
def start_least_urgent_fleet(context: Context) -> None:
    context.world = World()
    fill(context.world, "full", 4, queue="least")


@given("a full fleet with a run that ends within a second")
def start_ending_fleet(context: Context) -> None:
    context.world = World()
    world = context.world
    world.accept("full", (step(4),), queue="urgent")
    world.settle()
    ending = next(iter(world.targets[2].running))
    for percent in (10, 50, 97):
        world.now += 8.0
        for target in world.targets:
            for task, row in target.running.items():
                done = percent if task == ending else percent // 3
                target.running[task] = RunningRow(task, row.run, row.checkpoint, done)
        world.run_round()
    context.ending = ending


@given("a full fleet with 3 more urgent jobs that wait")
def start_waiting_fleet(context: Context) -> None:
    context.world = World()
    fill(context.world, "full", 4, queue="urgent")
    for number in range(3):
        context.world.accept(f"waits{number}", (step(1),), queue="usual")
    context.world.settle()


@when("the owner is asked about a gang of 2 tasks in one rack")
@when("the owner is asked about a usual gang of 2 tasks in one rack")
def ask_rack_gang(context: Context) -> None:
    context.answer = ask(context.world, (step(2, gang=True, same_rack=True),))


@when("the owner is asked about a usual job of {count:d} task")
@when("the owner is asked about a usual job of {count:d} tasks")
def ask_usual(context: Context, count: int) -> None:
    context.answer = ask(context.world, (step(count),))


@when("the owner is asked about a gang of 4 tasks")
def ask_large_gang(context: Context) -> None:
    context.answer = ask(context.world, (step(4, gang=True),))


@when("the owner is asked about a covered urgent gang of 2 tasks")
def ask_covered(context: Context) -> None:
    steps = (step(2, gang=True),)
    context.answer = ask(context.world, steps, queue="urgent", organisation="sure")


@when("the owner is asked about an uncovered urgent job of 1 task")
def ask_urgent(context: Context) -> None:
    context.answer = ask(context.world, (step(1),), queue="urgent")


@when("the owner is asked about a least urgent job of 1 task")
def ask_least(context: Context) -> None:
    context.answer = ask(context.world, (step(1),), queue="least")


@when("the owner is asked about a job whose second step depends on the first")
def ask_chain(context: Context) -> None:
    context.answer = ask(context.world, (step(2), step(1, after=(0,))))


@when("the owner is asked about a job that needs {what}")
def ask_impossible(context: Context, what: str) -> None:
    steps = {
        "9 accelerators for a task": step(1, demand=Resources(1000, 1000, 9)),
        "a label that no target has": step(1, label="none"),
        "a gang of 5 tasks": step(5, gang=True),
    }
    context.answer = ask(context.world, (steps[what],))


@when("the owner is asked about a job of an unknown queue")
def ask_unknown_queue(context: Context) -> None:
    context.refuse = lambda: ask(context.world, (step(1),), queue="nowhere")


@when("the owner is asked about a job of 2001 tasks")
def ask_too_large(context: Context) -> None:
    context.refuse = lambda: ask(context.world, (step(2001),))


@when("the owner is asked about a job due since long ago")
def ask_long_due(context: Context) -> None:
    periodic = {"times": 2_001, "first_ms": 0, "every_ms": 1}
    context.refuse = lambda: ask(context.world, (step(1),), **periodic)


@when("the owner is asked about a job that exists already")
def ask_existing(context: Context) -> None:
    context.world.accept(ASKED, (step(1),))
    context.refuse = lambda: ask(context.world, (step(1),))


@then('the question is refused with "{message}"')
def question_refused(context: Context, message: str) -> None:
    try:
        context.refuse()
    except UserError as exc:
        assert message in exc.message and exc.remedy, exc
    else:
        raise AssertionError("the question was answered")


@then("all its tasks would start at once on both targets of one rack")
def starts_in_one_rack(context: Context) -> None:
    (placement,) = context.answer.steps[0].placements
    assert placement.kind is PlacementKind.NOW and placement.tasks == 2
    assert set(placement.targets) in RACKS, placement.targets


@then("no job comes before it, and no guarantee covers it")
def first_and_uncovered(context: Context) -> None:
    answer = context.answer
    assert answer.jobs_before == 0 and not answer.is_covered
    assert (answer.queue, answer.organisation, answer.priority) == ("usual", "other", 1)
    # 20 s by the caller's estimate; the objective is 3 times as long, and 1 s more.
    assert (answer.expected_s, answer.objective_s) == (20.0, 61.0)


@then("both tasks would wait, and the run that ends next is named with 15 s left")
def waits_for_named_run(context: Context) -> None:
    (asked,) = context.answer.steps
    assert not asked.placements and asked.waiting_tasks == 2 and asked.why
    assert asked.room is not None
    (end,) = asked.room.ends
    assert end.task.startswith("full.") and end.target in asked.room.targets
    assert abs(end.after_s - 15.0) < 0.1 and asked.room.after_s == end.after_s, asked.room


@then("it would wait for a run in one of the racks")
def waits_in_rack(context: Context) -> None:
    (asked,) = context.answer.steps
    assert not asked.placements and asked.waiting_tasks == 2 and asked.why == "no room"
    assert asked.room is not None and set(asked.room.targets) in RACKS
    assert {end.target for end in asked.room.ends} <= {"t1", "t3"}
    assert len(asked.room.ends) == 1


@then("a gang that may span racks would start at once on the free targets")
def spanning_gang_starts(context: Context) -> None:
    (placement,) = ask(context.world, (step(2, gang=True),)).steps[0].placements
    assert placement.kind is PlacementKind.NOW and set(placement.targets) == {"t0", "t2"}


@then("it would wait as its targets are in evacuated zones, which are named with 2 targets")
def waits_for_zone(context: Context) -> None:
    (asked,) = context.answer.steps
    assert context.answer.evacuated_zones == ["z1"]
    assert asked.why == "its targets are in evacuated zones" and not asked.placements
    assert asked.capacity.evacuated_targets == 2 and asked.capacity.ever_fits


@then("the answer says that nothing is placed now")
def answer_is_held(context: Context) -> None:
    assert context.answer.is_held and not context.answer.steps[0].placements


@then("it would start after 2 named runs are stopped, at a cost")
def starts_after_stops(context: Context) -> None:
    (placement,) = context.answer.steps[0].placements
    assert placement.kind is PlacementKind.AFTER_STOPS and placement.tasks == 2
    assert {stop.target for stop in placement.stops} == set(placement.targets)
    assert all(stop.task.startswith("full.") and stop.priority == 2 for stop in placement.stops)
    # Two runs of 65 core equivalents lose at least half a second each.
    assert len(placement.stops) == 2 and placement.cost_core_s >= 65.0


@then("the answer states that its guarantee of 24 accelerators covers 16")
def states_guarantee(context: Context) -> None:
    answer = context.answer
    assert answer.is_covered
    assert (answer.guaranteed_accelerators, answer.urgent_accelerators) == (24, 16)


@then("it would start when the named run has ended, and stop none")
def starts_after_end(context: Context) -> None:
    (placement,) = context.answer.steps[0].placements
    assert placement.kind is PlacementKind.AFTER_ENDS and not placement.stops
    assert [end.task for end in placement.ends] == [context.ending]


@then("{count:d} jobs come before it")
def jobs_come_before(context: Context, count: int) -> None:
    assert context.answer.jobs_before == count, context.answer.jobs_before


@then("the first step would start at once, and the second one after it")
def second_step_later(context: Context) -> None:
    first, second = context.answer.steps
    assert first.placements[0].kind is PlacementKind.NOW and first.waiting_tasks == 0
    assert second.after == (0,) and not second.placements and second.waiting_tasks == 0


@then("the answer says that the step cannot start on the present targets")
def step_never_fits(context: Context) -> None:
    (asked,) = context.answer.steps
    assert not asked.capacity.ever_fits and not asked.placements and asked.room is None


# The answer and what happens


@given("a fleet with all features under {load}")
def start_loaded_fleet(context: Context, load: str) -> None:
    tasks = {"some load": 4, "heavy load": 30}.get(load, 0)

    def make_world() -> World:
        world = World(scheduling=ALL_FEATURES, targets=8)
        for number in range(tasks):
            queue = ("least", "usual", "least")[number % 3]
            steps = (step(1, demand=HALF if number % 2 else Resources(8000, 1000, 8)),)
            world.accept(f"load{number}", steps, queue=queue)
        world.settle()
        world.wait(2)
        if load == "jobs that were not yet seen":
            # The next pass places these first.
            world.accept("ahead", (step(3, gang=True, same_rack=True), step(2)), queue="urgent")
        return world

    context.make_world = make_world


@when("the owner is asked about several jobs, and each is submitted in an equal world")
def ask_and_submit(context: Context) -> None:
    context.pairs = []
    for steps, options in (
        ((step(1),), {}),
        ((step(3, demand=HALF),), {"queue": "least"}),
        ((step(2, gang=True, same_rack=True),), {"queue": "urgent"}),
        ((step(3, gang=True),), {"queue": "urgent", "organisation": "sure"}),
        ((step(5, checkpoints=True),), {"queue": "usual"}),
    ):
        world = context.make_world()
        stopped: list[str] = []
        answer = ask(world, steps, **options)
        world.core.log_event = lambda event, _into=stopped, **fields: (
            _into.append(fields["task"])
            if event == "run stopped" and fields["why"].endswith(f"for {ASKED}")
            else None
        )
        world.accept(ASKED, steps, **options)
        world.core.plan(world.now, world.unix_now)
        progress = world.core.jobs[ASKED].tasks
        context.pairs.append((answer, progress, stopped))


@then("each is placed where the answer said, and stops the runs that the answer named")
def placed_as_answered(context: Context) -> None:
    for answer, progress, stopped in context.pairs:
        placements = answer.steps[0].placements
        promised = [
            target
            for placement in placements
            if placement.kind is PlacementKind.NOW
            for target, count in placement.targets.items()
            for _ in range(count)
        ]
        actual = [task.target for task in progress.values() if task.target]
        assert sorted(promised) == sorted(actual), (promised, actual)
        named = [stop.task for placement in placements for stop in placement.stops]
        assert named == stopped, (named, stopped)


# Traces


@given("two equal fleets with all features")
def start_twin_fleets(context: Context) -> None:
    context.asked, context.other = BusyWorld(True), BusyWorld(False)


@when("both live for 40 s with jobs, drains and failures, and one is asked in each round")
def live_and_ask(context: Context) -> None:
    context.asked.live(40)
    context.other.live(40)
    kinds = {
        placement.kind
        for answer in context.asked.answers
        for asked in answer.steps
        for placement in asked.placements
    }
    # The questions and the fleet covered what an owner may decide, or equality would say little.
    assert {PlacementKind.NOW, PlacementKind.AFTER_STOPS} <= kinds, kinds
    events = {event for event, _ in context.other.events}
    assert {"unit placed", "unit waits", "run stopped", "unit not moved"} <= events, events


@when("both live for 20 s, and then one is asked once")
def live_then_ask(context: Context) -> None:
    context.asked.is_asked = False
    context.asked.live(20)
    context.other.live(20)
    context.asked.is_asked = True
    context.asked.ask_all()
    assert len(context.asked.answers) > 4


@then("both have sent the same orders, stored the same progress, and logged and counted the same")
def same_outcome(context: Context) -> None:
    asked, other = context.asked, context.other
    assert len(other.orders) > 60 and asked.orders == other.orders
    encode = msgspec.json.encode
    assert encode(asked.log) == encode(other.log)
    assert asked.events == other.events
    assert asked.counts == other.counts and other.counts, (asked.counts, other.counts)


@then("all that both owners know is equal")
def same_knowledge(context: Context) -> None:
    cores = context.asked.core, context.other.core
    assert describe(cores[0]) == describe(cores[1])
    learned = [
        [state.encode(context.other.unix_now) for state in core.policies.learned] for core in cores
    ]
    assert learned[0] == learned[1] and learned[0]


# Limits


@given("a desk for questions beside an idle fleet")
def open_desk(context: Context) -> None:
    context.world = World()
    context.desk = QuestionDesk()
    context.core = context.world.core


def put_question(context: Context) -> DryRunQuestion:
    question = DryRunQuestion(make_job(context.world, (step(1),)))
    context.desk.answer(question, context.core, context.world.unix_now)
    return question


@when("a question takes 0.02 s and others follow at once")
def ask_often(context: Context) -> None:
    # Each question reads the clock when it begins, and once more at its end if it is answered.
    times = iter((100.0, 100.02, 100.021, 100.199, 100.201, 100.202))
    with mock.patch.object(dry_run_question, "monotonic", lambda: next(times)):
        context.questions = [put_question(context) for _ in range(4)]


@then("they are refused until 9 times as long has passed")
def refused_for_a_while(context: Context) -> None:
    errors = [type(question.answer.exception()) for question in context.questions]
    assert errors == [type(None), OwnerBusyError, OwnerBusyError, type(None)], errors


@when("a question is withdrawn before its turn")
def withdraw_question(context: Context) -> None:
    question = DryRunQuestion(make_job(context.world, (step(1),)))
    assert question.answer.cancel()
    with mock.patch.object(dry_run_question, "dry_run") as context.worked:
        context.desk.answer(question, context.core, context.world.unix_now)


@then("the owner does nothing for it")
def nothing_worked(context: Context) -> None:
    assert not context.worked.called


@when("answering raises an error that nobody expects")
def fail_to_answer(context: Context) -> None:
    with mock.patch.object(dry_run_question, "dry_run", side_effect=ZeroDivisionError):
        question = put_question(context)
    context.refuse = lambda: question.answer.result(0)


def make_call(**changes: str) -> Call:
    headers = {"HTTP_X_JOB_HOST": "h.example", "HTTP_X_JOB_PATH": "/q/", "HTTP_X_JOB_KEY": "key"}
    return Call("POST", "/where", headers | changes, json.dumps(JOB).encode())


def make_api(leader: str, timeout_s: float, sent: list[DryRunQuestion]) -> WhereApi:
    codec = PlatformCodec()
    config = codec.decode_config(json.dumps(CONFIG).encode())
    return WhereApi(
        codec, lambda: config, sent.append, lambda: leader, "127.0.0.1:9", Metrics(), timeout_s
    )


@given("a control address whose owner's task is held up")
def hold_up_owner(context: Context) -> None:
    context.sent = []
    context.api = make_api("", 0.5, context.sent)


@when("two questions are asked at the same time")
def ask_two(context: Context) -> None:
    context.replies = []
    started_at = monotonic()

    def ask_one() -> None:
        reply = context.api.handle(make_call())
        context.replies.append((reply.status, monotonic() - started_at))

    threads = [threading.Thread(target=ask_one) for _ in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(10)


@then("one is answered 429 at once, the other one 504 after the time limit, and it is withdrawn")
def bounded_answers(context: Context) -> None:
    (busy, busy_s), (timeout, timeout_s) = context.replies
    assert (busy, timeout) == (429, 504), context.replies
    assert busy_s < 0.4 and 0.4 < timeout_s < 5.0, context.replies
    (question,) = context.sent
    assert question.answer.cancelled()
    assert context.api.handle(make_call(HTTP_X_JOB_KEY="wrong")).status == 401


@given("an entry beside a leader whose name has no control address")
def start_beside_old_leader(context: Context) -> None:
    context.sent = []
    context.api = make_api("old@10.0.0.1:7000/1", 2.0, context.sent)


@when("it is asked where a job would go")
def ask_old(context: Context) -> None:
    def answer() -> None:
        deadline = time.monotonic() + 10
        while not context.sent and time.monotonic() < deadline:
            time.sleep(0.01)
        QuestionDesk().answer(context.sent[0], None, 0.0)

    owner_task = threading.Thread(target=answer)
    owner_task.start()
    context.reply = context.api.handle(make_call())
    owner_task.join(10)


@then("it answers 503 and names that leader")
def names_leader(context: Context) -> None:
    refusal = msgspec.json.decode(context.reply.body, type=QuestionRefusal)
    assert context.reply.status == 503 and refusal.message.startswith("old@10.0.0.1:7000/1 owns")


# The command


def run_where(context: Context, control: str, **changes: object) -> None:
    """Run the command in this process; stores its output and exit code in `context`."""
    folder = Path(context.stack.enter_context(TemporaryDirectory()))
    body = folder / "job.json"
    body.write_bytes(changes.get("body", json.dumps(JOB).encode()))
    path = str(changes.get("path", "/q/"))
    argv = ["comfreyshelf", "where", str(body), "--host", "h.example", "--path", path]
    argv += ["--control", control] if control else []
    argv += ["--json"] if changes.get("as_json") else []
    output = io.StringIO()
    context.exit_code = 0
    with (
        mock.patch.dict(os.environ, {"COMFREYSHELF_KEY": str(changes.get("key", "key"))}),
        mock.patch("sys.argv", argv),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(output),
    ):
        try:
            main()
        except SystemExit as exc:
            context.exit_code = int(exc.code or 0)
    context.output = output.getvalue()


def control_addresses(context: Context) -> list[str]:
    return [entry._settings.control_address for entry in context.fleet.entries]


def wait_for(condition, what: str) -> None:
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, what
        time.sleep(0.05)


def has_owner(context: Context) -> bool:
    """Whether an entry owns the schedule, has all targets, and is known to the other entry."""
    cores = [entry._owner._core for entry in context.fleet.entries]
    owned = [core for core in cores if core is not None]
    return (
        len(owned) == 1
        and sum(view.lists_known for view in list(owned[0].targets.values())) == 3
        and all(entry._election.leader for entry in context.fleet.entries)
    )


MAX_QUESTIONS = 10


def ask_until_answered(context: Context, address: str, as_json: bool) -> None:
    """Ask, and again after a second as the remedy says while questions follow too closely.

    The owner spends a tenth of its time on answers, so a busy machine makes the pause longer.
    """
    for _ in range(MAX_QUESTIONS):
        run_where(context, address, as_json=as_json)
        if "rate_limit" not in context.output:
            return
        time.sleep(1.0)


@when('the command "where" asks each entry about a job of 5 tasks')
def ask_each_entry(context: Context) -> None:
    wait_for(lambda: has_owner(context), "no entry owns the schedule with all targets")
    context.texts, context.documents = [], []
    for address in control_addresses(context):
        for into, as_json in ((context.texts, False), (context.documents, True)):
            ask_until_answered(context, address, as_json)
            assert context.exit_code == 0, context.output
            into.append(context.output)


@then("both times the owner answers that 5 tasks would start at once")
def both_answer(context: Context) -> None:
    (owner,) = (
        entry._settings.control_address
        for entry in context.fleet.entries
        if entry._owner._core is not None
    )
    for text in context.texts:
        assert f"answer of the owner at {owner}" in text, text
        assert "5 tasks would start at once on i-" in text, text
    for document in context.documents:
        decoded = json.loads(document)
        assert decoded["owner"] == owner
        assert decoded["answer"]["steps"][0]["placements"][0]["tasks"] == 5, document


@then("nothing is in the topic of jobs, and no runner has started anything")
def nothing_submitted(context: Context) -> None:
    assert not context.fleet.store.topics.get("keyed.jobs")
    assert not any(runner.starts for runner in context.fleet.runners)


@when('the command "where" asks with {what}')
def ask_with(context: Context, what: str) -> None:
    control = control_addresses(context)[0]
    wait_for(
        lambda: context.fleet.entries[0]._operator_topic.config is not None, "no configuration"
    )
    changes: dict[str, dict[str, object]] = {
        "an unknown key": {"key": "wrong"},
        "a key in Greek": {"key": "κλειδί"},
        "an unknown path": {"path": "/nowhere/"},
        "a malformed body": {"body": b"{"},
        "a body too large": {"body": b" " * 100_001},
        "a closed address": {},
        "no control address": {},
    }
    if what == "a closed address":
        control = "127.0.0.1:1"
    elif what == "no control address":
        control = ""
    run_where(context, control, **changes[what])


@when('the store is away until no entry owns the schedule, and the command "where" asks')
def ask_without_owner(context: Context) -> None:
    wait_for(lambda: has_owner(context), "no entry owns the schedule with all targets")
    entries = context.fleet.entries
    context.fleet.store.fault_mode = "busy"
    wait_for(
        lambda: not any(entry._owner._core or entry._election.leader for entry in entries),
        "an entry owns the schedule without a store",
    )
    run_where(context, control_addresses(context)[0])


@then('it exits with {code:d} and prints "{message}" and a remedy')
def exits_and_prints(context: Context, code: int, message: str) -> None:
    assert context.exit_code == code, (context.exit_code, context.output)
    assert message in context.output, context.output
    assert code == 2 or "remedy: " in context.output, context.output
