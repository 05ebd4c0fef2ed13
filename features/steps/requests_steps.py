"""Steps for routing, retries, limits and the router, without sockets."""

import hashlib
import random
import threading
import time

import msgspec
from behave import given, then, when
from behave.runner import Context

from comfreyshelf.agent import Agent, CallRunner, Reply
from comfreyshelf.config import Caller, Organisation
from comfreyshelf.config_text import parse_config
from comfreyshelf.entry_limits import QueueLimits, RateLimits
from comfreyshelf.errors import Execution, may_have_run, not_run
from comfreyshelf.ids import CallerId, OrganisationId, RequestId, ServiceId, Version, ZoneId
from comfreyshelf.membership import Roster, TargetView
from comfreyshelf.messages import (
    DisproveStart,
    RequestAnswer,
    RunnerLoad,
    RunRequest,
    StartDisproved,
    Status,
)
from comfreyshelf.metrics import Metrics
from comfreyshelf.model import WorkerInfo
from comfreyshelf.reasons import RefusalReason, RetryReason
from comfreyshelf.retries import MAX_ATTEMPTS, FailedAttempt, RetryPolicy, parse_deadline_s
from comfreyshelf.router import Call, Router
from comfreyshelf.routing import RunnerSelector

PERMIT = ServiceId("permit")
ORGANISATION = OrganisationId("hidrovia")
NOW = 1000.0
TEXT = """\
[deployment]
name = test
[region litoral]
[region platense]
[zone salto]
region = litoral
[zone colonia]
region = platense
[service survey]
[service permit]
depends = survey
[organisation hidrovia]
retry_ratio = 0.1
[operator one]
key_sha256 = """
TEXT += "0" * 64 + "\n"


def parse_text(text: str = TEXT):
    parsed = parse_config(text, Version(1))
    assert parsed.is_ok(), parsed.error
    return parsed.ok


def make_worker(name: str, zone: str, incarnation: int = 1) -> WorkerInfo:
    return WorkerInfo(name, zone, "rack", 8, 64, 256, incarnation)


def make_view(name: str, zone: str, services: tuple[str, ...] = ("permit",), running: int = 0):
    loads = tuple(RunnerLoad(service, running) for service in services)
    return TargetView(make_worker(name, zone), Version(1), (), loads, False, NOW)


@given("runners in both regions")
def create_runners(context: Context) -> None:
    context.cfg = parse_text()
    context.survey_view = make_view("s-0", "salto", ("survey",))
    zones = ("salto", "salto", "colonia", "colonia")
    context.views = [make_view(f"t-{index}", zone) for index, zone in enumerate(zones)]
    context.routing = RunnerSelector(ZoneId("salto"), random.Random(7))


def choose(context: Context, config=None, views=None, now: float = NOW):
    views = [context.survey_view, *context.views] if views is None else views
    return context.routing.choose(config or context.cfg, PERMIT, views, now)


@when("this entry sends {count:d} requests without an answer")
def send_unanswered_requests(context: Context, count: int) -> None:
    for _ in range(count):
        context.routing.record_sent(choose(context).ok, PERMIT)


@then("each runner of its own region has 8 of them")
def check_own_region_filled_first(context: Context) -> None:
    assert [context.routing.outstanding(f"t-{i}", PERMIT) for i in range(4)] == [8, 8, 0, 0]


@then("the next request crosses regions")
def check_next_request_crosses_regions(context: Context) -> None:
    assert choose(context).ok in ("t-2", "t-3")
    busy = [make_view("t-0", "salto", running=64), make_view("t-2", "colonia", running=64)]
    refused = choose(context, views=[context.survey_view, *busy])
    assert refused.error.reason is RefusalReason.NO_RUNNER, "64 connections are the bound"
    send_unanswered_requests(context, 16)
    assert choose(context).is_error(), "a runner was given more than its 8 slots"
    context.routing = RunnerSelector(ZoneId("salto"), random.Random(7))
    shared = [context.survey_view, make_view("t-0", "salto", running=6), context.views[2]]
    chosen = []
    for _ in range(4):
        chosen.append(choose(context, views=shared).ok)
        context.routing.record_sent(chosen[-1], PERMIT)
    assert chosen == ["t-0", "t-0", "t-2", "t-2"], "6 slots are taken by other entries"


@when("every runner fails 5 times")
def fail_every_runner(context: Context) -> None:
    for one in context.views:
        for _ in range(5):
            context.routing.record_failure(one.worker.target, PERMIT, NOW)


@then("at most 1 of 4 is ejected, for a time that doubles")
def check_ejection_bounds(context: Context) -> None:
    chosen = {choose(context).ok for _ in range(200)}
    # The own region comes first, so only its runners that are not ejected are chosen.
    assert len({"t-0", "t-1"} - chosen) <= 1, chosen
    health = RunnerSelector(ZoneId("salto"), random.Random(1))
    durations = []
    now = NOW
    for _ in range(3):
        while not health.record_failure("t-0", PERMIT, now):
            pass
        ejected_at = now
        views = [context.survey_view, context.views[0], context.views[1]]
        while {
            health.choose(context.cfg, PERMIT, refresh_views(views, now), now).ok for _ in range(30)
        } == {"t-1"}:
            now += 0.25
        durations.append(now - ejected_at)
    assert durations == [1.0, 2.0, 4.0], durations


def refresh_views(views: list[TargetView], now: float) -> list[TargetView]:
    return [msgspec.structs.replace(one, seen_at=now) for one in views]


@then("a request is refused with dependency_down when no runner of the dependency is left")
def check_refused_without_dependency(context: Context) -> None:
    refused = choose(context, views=context.views)
    assert refused.error.reason is RefusalReason.DEPENDENCY_DOWN
    assert refused.error.execution is Execution.NOT_RUN
    silent = choose(context, now=NOW + 7.5)
    assert silent.is_error(), "a silent target counts as available"


@then("a draining or scrapped target is never chosen")
def check_leaving_target_not_chosen(context: Context) -> None:
    config = parse_text(TEXT + "[target t-0]\nscrap = yes\n")
    draining = msgspec.structs.replace(context.views[1], draining=True)
    views = [context.survey_view, context.views[0], draining, *context.views[2:]]
    chosen = {choose(context, config, views).ok for _ in range(200)}
    assert chosen == {"t-2", "t-3"}, chosen
    only = choose(context, config, [context.survey_view, context.views[0], draining])
    assert only.is_error(), "a leaving target was chosen because no other was left"


LOST_ATTEMPT = FailedAttempt(
    RetryReason.TARGET_LOST, False, may_have_run(RefusalReason.MAY_HAVE_RUN, "lost", "check")
)
BUSY_ATTEMPT = FailedAttempt(
    RetryReason.RUNNER_BUSY, True, not_run(RefusalReason.OCCUPIED, "busy", "wait", 1)
)


def make_policy() -> RetryPolicy:
    result = RetryPolicy(random.Random(3))
    result.record_first_request(ORGANISATION, 0.1)
    return result


@then("a non-idempotent request is retried only with a proof that it has not started")
def check_retried_only_after_proof(context: Context) -> None:
    assert make_policy().decide(LOST_ATTEMPT, ORGANISATION, False, 1, 9.0).error.execution is (
        Execution.MAY_HAVE_RUN
    )
    assert make_policy().decide(BUSY_ATTEMPT, ORGANISATION, False, 1, 9.0).is_ok()
    assert make_policy().decide(LOST_ATTEMPT, ORGANISATION, True, 1, 9.0).is_ok()


@then("an organisation's retries end when its retry budget is used up")
def check_retry_budget(context: Context) -> None:
    policy = make_policy()
    results = [policy.decide(BUSY_ATTEMPT, ORGANISATION, True, 1, 9.0) for _ in range(12)]
    assert [result.is_ok() for result in results] == [True] * 10 + [False] * 2
    assert results[-1].error.reason is RefusalReason.RETRY_BUDGET
    for _ in range(10):
        policy.record_first_request(ORGANISATION, 0.1)
    assert policy.decide(
        BUSY_ATTEMPT, ORGANISATION, True, 1, 9.0
    ).is_ok(), "new requests add no retries"


@then("no retry starts beyond the deadline")
def check_no_retry_beyond_deadline(context: Context) -> None:
    policy = make_policy()
    assert policy.decide(BUSY_ATTEMPT, ORGANISATION, True, 1, 0.001).is_error()
    assert policy.decide(BUSY_ATTEMPT, ORGANISATION, True, MAX_ATTEMPTS, 9.0).is_error()
    for attempt in range(1, 10):
        ceiling = min(1.0, 0.01 * 2 ** (attempt - 1))
        assert ceiling / 2 <= policy.delay_s(attempt) <= ceiling
    assert parse_deadline_s("99999", 30.0).ok == 30.0
    assert parse_deadline_s("1500", 30.0).ok == 1.5
    for bad in ("", "x", "nan", "inf", "-1", "1e99"):
        assert parse_deadline_s(bad, 30.0).error.reason is RefusalReason.MALFORMED, bad


class FakeHub:
    """Records sent messages and passes each to `on_send`, which may answer it."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, object]] = []
        self.on_send = lambda target, message: None
        self.open = {"t-0", "t-1"}
        self.revision = 0

    def targets(self) -> set[str]:
        return self.open

    def is_connected(self, target: str) -> bool:
        return target in self.open

    def send(self, target: str, message: object) -> bool:
        self.sent.append((target, message))
        self.on_send(target, message)
        return True


@given("a router with a fake hub of 2 targets")
def create_router(context: Context) -> None:
    context.cfg = parse_text(TEXT.replace("depends = survey", ""))
    context.roster = Roster()
    for name in ("t-0", "t-1"):
        loads = (RunnerLoad("permit"),)
        context.roster.update(Status(make_worker(name, "salto", 77), 0.0, 1, 1, (), loads))
    context.hub = FakeHub()
    context.metrics = Metrics()
    context.router = Router(ZoneId("salto"), context.roster, context.metrics, random.Random(5))
    context.router.attach(context.hub)


def call_router(context: Context, name: str, idempotent: bool = True, within_s: float = 2.0):
    until = time.monotonic() + within_s
    body = name.encode()
    return context.router.call(
        context.cfg, Call(RequestId(name), ORGANISATION, PERMIT, body, until, idempotent)
    )


def make_answer(target: str, request: str, body: bytes) -> RequestAnswer:
    return RequestAnswer(target, request, True, True, body, hashlib.sha256(body).hexdigest())


@when("answers arrive twice, late, from the wrong target and out of order")
def receive_disordered_answers(context: Context) -> None:
    context.results = {}

    def send_request(name: str) -> None:
        context.results[name] = call_router(context, name)

    threads = [threading.Thread(target=send_request, args=(f"r{index}",)) for index in range(6)]
    for thread in threads:
        thread.start()
    until = time.monotonic() + 2.0
    while len(context.hub.sent) < 6 and time.monotonic() < until:
        time.sleep(0.01)
    for target, message in reversed(list(context.hub.sent)):
        other = "t-1" if target == "t-0" else "t-0"
        context.router.receive(make_answer(other, message.request, b"foreign"))
        context.router.receive(make_answer(target, message.request, message.body * 2))
        context.router.receive(make_answer(target, message.request, b"repeated"))
        context.router.receive(make_answer(target, "gone.1", b"late"))
    for thread in threads:
        thread.join()


@then("each caller has the answer to its own request")
def check_each_caller_has_own_answer(context: Context) -> None:
    answers = {name: result.ok for name, result in context.results.items()}
    assert answers == {f"r{index}": f"r{index}r{index}".encode() for index in range(6)}, answers
    assert context.metrics.value("answer_late") == 18


@then("a refused start moves to the other target")
def check_refused_start_moves(context: Context) -> None:
    def answer(target: str, message: RunRequest) -> None:
        is_first = message.request.endswith(".1")
        refused = RequestAnswer(target, message.request, False, reason=RefusalReason.OCCUPIED)
        context.router.receive(refused if is_first else make_answer(target, message.request, b"ok"))

    context.hub.on_send = answer
    assert call_router(context, "move", idempotent=False).ok == b"ok"
    assert len({target for target, _ in context.hub.sent}) == 2


@then("an unanswered start is reported as may_have_run")
def check_unanswered_start_may_have_run(context: Context) -> None:
    context.hub.sent.clear()
    context.hub.on_send = lambda target, message: None
    refused = call_router(context, "lost", idempotent=False, within_s=2.6).error
    assert refused.execution is Execution.MAY_HAVE_RUN
    runs = [message for _, message in context.hub.sent if isinstance(message, RunRequest)]
    assert len(runs) == 1, "a start that may have run was sent again"


@then("the proof request names the incarnation that the run request was sent to")
def check_proof_request_names_incarnation(context: Context) -> None:
    asked = [message for _, message in context.hub.sent if isinstance(message, DisproveStart)]
    assert asked and all(message.incarnation == 77 for message in asked), asked


@then("a restarted target process cannot disprove a start")
def check_restarted_target_disproves_nothing(context: Context) -> None:
    agent = Agent(make_worker("t-0", "salto", 78), ("permit",))
    replies = [
        action.message
        for incarnation in (77, 78)
        for action in agent.handle(DisproveStart(RequestId("x"), incarnation), NOW)
        if isinstance(action, Reply)
    ]
    assert [reply.disproved for reply in replies] == [False, True]
    context.hub.on_send = lambda target, message: context.router.receive(
        StartDisproved(target, message.request, False)
        if message.request.endswith(".1")
        else make_answer(target, message.request, b"twice")
    )
    assert call_router(context, "again", idempotent=False, within_s=0.5).is_error()


@then("a damaged answer is refused as may_have_run and an answer of 64 KiB + 1 with too_large")
def check_bad_answers_refused(context: Context) -> None:
    for body, digest, reason in (
        (b"part", "0" * 64, RefusalReason.RUNNER_FAILED),
        (b"x" * 65537, hashlib.sha256(b"x" * 65537).hexdigest(), RefusalReason.TOO_LARGE),
    ):
        context.hub.on_send = lambda target, message, body=body, digest=digest: (
            context.router.receive(RequestAnswer(target, message.request, True, True, body, digest))
        )
        refused = call_router(context, f"bad-{reason.value}", idempotent=False).error
        assert (refused.reason, refused.execution) == (reason, Execution.MAY_HAVE_RUN)


@then("the target process refuses a damaged request and does not send an answer that is too long")
def check_target_validates_bodies(context: Context) -> None:
    agent = Agent(make_worker("t-0", "salto"), ("permit",))

    def run(name: str, digest: str) -> object:
        return agent.handle(RunRequest(name, "permit", 1, 1.0, b"x", False, digest), NOW)[0]

    damaged = run("damaged", "0" * 64).message
    assert (damaged.started, damaged.reason) == (False, RefusalReason.MALFORMED)
    assert isinstance(run("long", hashlib.sha256(b"x").hexdigest()), CallRunner)
    answer = agent.on_request_ended("long", True, b"x" * 65537, NOW)[0].message
    assert (answer.started, answer.ok, answer.body) == (True, False, b"")
    assert answer.reason is RefusalReason.TOO_LARGE


@then("a caller above its burst is refused until its bucket has a token again")
def check_rate_limit(context: Context) -> None:
    organisation = Organisation(ORGANISATION, rate=100.0, burst=7)
    caller = Caller(CallerId("desk"), ORGANISATION, "", rate=2.0, burst=3)
    limits = RateLimits()
    verdicts = [limits.take_token(organisation, caller, 1, NOW) for _ in range(5)]
    assert [verdict is None for verdict in verdicts] == [True] * 3 + [False] * 2
    assert verdicts[-1].reason is RefusalReason.RATE_LIMIT and verdicts[-1].retry_after_s == 1
    assert limits.take_token(organisation, caller, 1, NOW + 0.5) is None
    others = [Caller(CallerId(f"o{i}"), ORGANISATION, "") for i in range(9)]
    taken = [limits.take_token(organisation, other, 1, NOW + 0.5) for other in others]
    assert sum(verdict is None for verdict in taken) == 6, "the organisation's burst is 7"


@then("queued jobs above max_queued are refused per caller and per organisation")
def check_queue_limit(context: Context) -> None:
    organisation = Organisation(ORGANISATION, max_queued=5)
    first = Caller(CallerId("a"), ORGANISATION, "", max_queued=3)
    second = Caller(CallerId("b"), ORGANISATION, "", max_queued=9)
    limits = QueueLimits()
    limits.recount([(ORGANISATION, first.id)], NOW)
    verdicts = [limits.admit(organisation, first) for _ in range(3)]
    verdicts += [limits.admit(organisation, second) for _ in range(3)]
    assert [one is None for one in verdicts] == [True, True, False, True, True, False]
    assert verdicts[2].reason is RefusalReason.QUEUE_FULL and verdicts[2].retry_after_s > 0


@then("a broken pipe moves an idempotent request, and a short deadline ejects no runner")
def check_broken_pipe_moves_request(context: Context) -> None:
    def answer(target: str, message: RunRequest) -> None:
        if message.request.endswith(".1"):
            context.hub.open = {"t-0", "t-1"} - {target}
        else:
            context.router.receive(make_answer(target, message.request, b"ok"))

    context.hub.on_send = answer
    assert call_router(context, "broken", within_s=5.0).ok == b"ok"
    context.hub.open = {"t-0", "t-1"}
    context.hub.on_send = lambda target, message: None
    for _ in range(8):
        short = Call(RequestId("h"), ORGANISATION, PERMIT, b"", time.monotonic() + 0.01, True, True)
        context.router.call(context.cfg, short)
    assert context.metrics.value("runner_ejected") == 0
