"""Steps for callers and store calls while the store is unreachable, slow or silent."""

import json
from collections.abc import Callable
from contextlib import suppress

from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet.http import HttpResponse
from comfreyshelf.fleet.http_api import CallerApi
from comfreyshelf.fleet.job_table import JobTable
from comfreyshelf.fleet.relay import Relay
from comfreyshelf.fleet.store import KeyedRecord, StoreBusyError, StoreSilentError
from comfreyshelf.fleet.web import Call
from comfreyshelf.metrics import Metrics
from comfreyshelf.platform.wire import PlatformCodec
from features.platform_standins import CONFIG, JOB


def make_relay(context: Context, peers: list[str]) -> None:
    """Create a relay; `context.answer_call` answers its direct calls and those through peers."""
    context.relay = Relay("127.0.0.1:1", lambda: peers, Metrics())
    context.asked_addresses = []

    def call(address: str) -> HttpResponse:
        context.asked_addresses.append(address)
        return context.answer_call(address)

    context.relay.call_store = lambda *args: call("store")
    context.relay._call_through_peer = lambda address, *args: call(address)


def call_store(context: Context) -> None:
    with suppress(StoreBusyError, StoreSilentError):
        context.relay.call("GET", "/v1/log-owners", 1.0, b"", "")


def fail_without_answer(address: str) -> HttpResponse:
    raise StoreSilentError(f"{address} gave no answer", "ask again")


@given("a relay whose store is down")
def create_relay_without_peers(context: Context) -> None:
    make_relay(context, [])


@given("a relay whose store is down, with two peers that do not answer")
def create_relay_with_lost_peers(context: Context) -> None:
    make_relay(context, ["peer-1", "peer-2"])
    context.answer_call = fail_without_answer


@when("a call that began in the outage fails after a later call has succeeded")
def fail_old_call(context: Context) -> None:
    def succeed_meanwhile(address: str) -> HttpResponse:
        context.answer_call = lambda address: HttpResponse(200, b"")
        call_store(context)
        return fail_without_answer(address)

    context.answer_call = succeed_meanwhile
    call_store(context)
    assert len(context.asked_addresses) == 2


@when("a call fails and no later one has been made")
def fail_newest_call(context: Context) -> None:
    context.answer_call = fail_without_answer
    call_store(context)


@when("a long poll gets no answer")
def fail_long_poll(context: Context) -> None:
    with suppress(StoreSilentError):
        context.relay.call("GET", "/v1/log-read", 2.0, b"", "", is_long_poll=True)


@then("no peer was asked")
def no_peer_asked(context: Context) -> None:
    assert context.asked_addresses == ["store"], context.asked_addresses


@then("the store counts as reachable")
def counts_reachable(context: Context) -> None:
    assert context.relay.is_store_reachable


@then("the store counts as unreachable")
def counts_out_of_reach(context: Context) -> None:
    assert not context.relay.is_store_reachable


@when("two calls fail, one right after the other")
def fail_two_calls(context: Context) -> None:
    call_store(context)
    context.asked_addresses.clear()
    call_store(context)


@then("the second one asked the store after the first peer")
def store_asked_second(context: Context) -> None:
    assert context.asked_addresses == ["peer-1", "store", "peer-2"], context.asked_addresses


class FakeStore:
    """Counts appends and raises `answers` in turn, the last one again and again; None succeeds."""

    def __init__(self, answers: list[Exception | None]) -> None:
        self.answers = answers
        self.appends = 0
        self.max_timeouts_s: list[float] = []
        self.delay: Callable[[], None] = lambda: None

    def append(self, record: KeyedRecord, max_timeout_s: float) -> None:
        self.appends += 1
        self.max_timeouts_s.append(max_timeout_s)
        self.delay()
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer is not None:
            raise answer


class FakeClock:
    """A clock that only `pause` advances."""

    def __init__(self) -> None:
        self.now = 100.0

    def read(self) -> float:
        return self.now

    def pause(self, seconds: float) -> None:
        self.now += seconds


def make_front(
    context: Context,
    reachable: bool,
    answers: list[Exception | None],
    has_stopped: bool = False,
) -> None:
    """Create a front; a store that `has_stopped` counts as reachable until it is asked."""
    codec = PlatformCodec()
    config = codec.decode_config(json.dumps(CONFIG).encode())
    context.store = FakeStore(answers)
    context.clock = FakeClock()
    context.reachable = reachable

    def ask_store() -> bool:
        context.reachable = reachable and not has_stopped
        return context.reachable

    context.front = CallerApi(
        codec,
        JobTable(),
        lambda: config,
        context.store.append,
        lambda: None,
        lambda: context.reachable,
        ask_store,
        Metrics(),
        context.clock.read,
        context.clock.pause,
    )


@given("a front whose store is unreachable")
def create_front_without_store(context: Context) -> None:
    make_front(context, False, [StoreBusyError("away", "wait")])


@given("a front whose store leaves one append unanswered and refuses the rest")
def create_front_with_silent_store(context: Context) -> None:
    silent = StoreSilentError("no answer", "ask")
    make_front(context, True, [silent, StoreBusyError("busy", "wait")])


@when("a job is submitted with a deadline of 1 second")
def submit_job(context: Context) -> None:
    headers = {"HTTP_HOST": "h.example", "HTTP_X_API_KEY": "key", "HTTP_DEADLINE_MS": "1000"}
    began = context.clock.now
    call = Call("POST", "/q/" + "1" * 16, headers, json.dumps(JOB).encode())
    context.reply = context.front.handle(call)
    context.elapsed_s = context.clock.now - began


@given("a front whose store has stopped answering, which no call has shown yet")
def create_front_with_stopped_store(context: Context) -> None:
    silent = StoreSilentError("no answer", "ask")
    make_front(context, True, [silent], has_stopped=True)


@then("it is refused within half a second as not run, and nothing was appended")
def refused_in_time_as_not_run(context: Context) -> None:
    assert context.reply.status == 503 and context.reply.retry_after_s > 0
    assert context.store.appends == 0
    assert 0.3 < context.elapsed_s < 0.5, context.elapsed_s


@then("no append may take longer than a quarter of the deadline")
def appends_are_short(context: Context) -> None:
    assert context.store.max_timeouts_s and max(context.store.max_timeouts_s) <= 0.25


@then("it is refused at once as not run")
def refused_at_once(context: Context) -> None:
    assert context.reply.status == 503 and context.reply.retry_after_s > 0
    assert context.elapsed_s == 0, context.elapsed_s


@given("a front whose store refuses one append and accepts the next")
def create_front_with_busy_store(context: Context) -> None:
    make_front(context, True, [StoreBusyError("busy", "wait"), None])


@then("it is accepted with the second append")
def accepted_with_second_append(context: Context) -> None:
    assert context.reply.status == 200, context.reply
    assert context.store.appends == 2


@then("the answer leaves open whether it has run")
def may_have_run(context: Context) -> None:
    assert context.reply.status == 504, context.reply
    assert context.store.appends > 1


@given("a front whose store is silent for 0.4 seconds at each append")
def create_front_with_slow_appends(context: Context) -> None:
    make_front(context, True, [StoreSilentError("no answer", "ask")])
    context.store.delay = lambda: context.clock.pause(0.4)


@then("the answer leaves open whether it has run, and comes within half a second")
def may_have_run_in_time(context: Context) -> None:
    assert context.reply.status == 504, context.reply
    assert context.elapsed_s < 0.5, context.elapsed_s
