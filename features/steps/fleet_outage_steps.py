"""Steps for callers and store calls while the store is away, slow or silent."""

import json
from collections.abc import Callable
from contextlib import suppress

from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet.caller_api import CallerApi
from comfreyshelf.fleet.http import HttpResponse
from comfreyshelf.fleet.job_table import JobTable
from comfreyshelf.fleet.relay import Relay
from comfreyshelf.fleet.store import KeyedRecord, StoreBusyError, StoreSilentError
from comfreyshelf.fleet.web import Call
from comfreyshelf.metrics import Metrics
from comfreyshelf.platform.wire import PlatformCodec
from features.platform_standins import CONFIG, JOB


def make_relay(context: Context, peers: list[str]) -> None:
    """A relay with a direct way and a way through peers that `context.answer` decides."""
    context.relay = Relay("127.0.0.1:1", lambda: peers, Metrics())
    context.asked = []

    def ask(way: str) -> HttpResponse:
        context.asked.append(way)
        return context.answer(way)

    context.relay.call_store = lambda *call: ask("store")
    context.relay._call_through_peer = lambda address, *call: ask(address)


def ask_store(context: Context) -> None:
    with suppress(StoreBusyError, StoreSilentError):
        context.relay.call("GET", "/v1/log-owners", 1.0, b"", "")


def answer_nothing(way: str) -> HttpResponse:
    raise StoreSilentError(f"{way} gave no answer", "ask again")


@given("a relay whose store is down")
def relay_down(context: Context) -> None:
    make_relay(context, [])


@given("a relay whose store is down, with two peers that are gone")
def relay_no_peers(context: Context) -> None:
    make_relay(context, ["peer-1", "peer-2"])
    context.answer = answer_nothing


@when("a call that began in the outage fails after a newer one has worked")
def old_call_fails(context: Context) -> None:
    def meanwhile(way: str) -> HttpResponse:
        context.answer = lambda way: HttpResponse(200, b"")
        ask_store(context)
        return answer_nothing(way)

    context.answer = meanwhile
    ask_store(context)
    assert len(context.asked) == 2


@when("a call fails that no newer one has followed")
def newest_fails(context: Context) -> None:
    context.answer = answer_nothing
    ask_store(context)


@then("the store counts as reachable")
def counts_reachable(context: Context) -> None:
    assert context.relay.is_store_reachable


@then("the store counts as out of reach")
def counts_out_of_reach(context: Context) -> None:
    assert not context.relay.is_store_reachable


@when("two calls fail, one right after the other")
def two_calls(context: Context) -> None:
    ask_store(context)
    context.asked.clear()
    ask_store(context)


@then("the second one asked the store after the first peer")
def store_second(context: Context) -> None:
    assert context.asked == ["peer-1", "store", "peer-2"], context.asked


class FakeStore:
    """Counts appends; `answers` gives what each of them raises, None for success."""

    def __init__(self, answers: list[Exception | None]) -> None:
        self.answers = answers
        self.appends = 0
        self.delay: Callable[[], None] = lambda: None

    def append(self, records_given: list[KeyedRecord]) -> None:
        self.appends += 1
        self.delay()
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer is not None:
            raise answer


class FakeClock:
    """A clock that only pauses move."""

    def __init__(self) -> None:
        self.now = 100.0

    def read(self) -> float:
        return self.now

    def pause(self, seconds: float) -> None:
        self.now += seconds


def make_front(context: Context, reachable: bool, answers: list[Exception | None]) -> None:
    codec = PlatformCodec()
    config = codec.decode_config(json.dumps(CONFIG).encode())
    context.fake = FakeStore(answers)
    context.clock = FakeClock()
    context.front = CallerApi(
        codec,
        JobTable(),
        lambda: config,
        context.fake.append,
        lambda: None,
        lambda: reachable,
        Metrics(),
        context.clock.read,
        context.clock.pause,
    )


@given("a front whose store is away")
def store_away(context: Context) -> None:
    make_front(context, False, [StoreBusyError("away", "wait")])


@given("a front whose store answers nothing and then refuses")
def store_silent(context: Context) -> None:
    silent = StoreSilentError("no answer", "ask")
    make_front(context, True, [silent, StoreBusyError("busy", "wait")])


@when("a job is submitted with a deadline of 1 second")
def submitted(context: Context) -> None:
    headers = {"HTTP_HOST": "h.example", "HTTP_X_API_KEY": "key", "HTTP_DEADLINE_MS": "1000"}
    began = context.clock.now
    call = Call("POST", "/q/" + "1" * 16, headers, json.dumps(JOB).encode())
    context.reply = context.front.handle(call)
    context.took = context.clock.now - began


@then("it is refused within half a second as not run, and nothing was appended")
def true_refusal(context: Context) -> None:
    assert context.reply.status == 503 and context.reply.retry_after_s > 0
    assert context.fake.appends == 0
    assert 0.3 < context.took < 0.5, context.took


@then("it is refused at once as not run")
def refused_at_once(context: Context) -> None:
    assert context.reply.status == 503 and context.reply.retry_after_s > 0
    assert context.took == 0, context.took


@given("a front whose store refuses one append and takes the next")
def store_busy_once(context: Context) -> None:
    make_front(context, True, [StoreBusyError("busy", "wait"), None])


@then("it is accepted with the second append")
def accepted_second(context: Context) -> None:
    assert context.reply.status == 200, context.reply
    assert context.fake.appends == 2


@then("the answer does not claim that it has not run")
def no_claim(context: Context) -> None:
    assert context.reply.status == 504, context.reply
    assert context.fake.appends > 1


@given("a front whose store is silent for 0.4 seconds at each append")
def store_silent_long(context: Context) -> None:
    make_front(context, True, [StoreSilentError("no answer", "ask")])
    context.fake.delay = lambda: context.clock.pause(0.4)


@then("the answer does not claim that it has not run, and comes within half a second")
def in_time(context: Context) -> None:
    assert context.reply.status == 504, context.reply
    assert context.took < 0.5, context.took
