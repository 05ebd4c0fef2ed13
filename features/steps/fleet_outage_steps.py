"""Steps for callers and store calls while the store is unreachable, slow or silent."""

import json
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet.entry_sync import JOBS_TOPIC, JobSync
from comfreyshelf.fleet.http import HttpResponse
from comfreyshelf.fleet.http_api import CallerApi
from comfreyshelf.fleet.job_table import JobTable
from comfreyshelf.fleet.relay import Relay, relay_for_peer
from comfreyshelf.fleet.store import (
    Batch,
    KeyedRecord,
    StoreBusyError,
    StoreSilentError,
    Writer,
)
from comfreyshelf.fleet.topic_reachability import TopicReachability
from comfreyshelf.fleet.web import Call
from comfreyshelf.metrics import Metrics
from comfreyshelf.platform.wire import PlatformCodec
from features.owner_task_world import FakeStore as TopicStore
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

    def ask_store(max_wait_s: float) -> bool:
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


class SilentJobsStore(TopicStore):
    """Leaves all calls for the topic of the jobs unanswered until `back_at`, on a fake clock."""

    def __init__(self, clock: FakeClock, back_at: float) -> None:
        super().__init__()
        self.clock, self.back_at = clock, back_at
        self.appends = 0

    def append(
        self,
        topic: str,
        records: list[KeyedRecord],
        writer: Writer | None = None,
        max_timeout_s: float = float("inf"),
    ) -> int:
        self.appends += 1
        self._check(topic)
        return super().append(topic, records, writer, max_timeout_s)

    def read(
        self, topic: str, offset: int, wait_ms: int, max_timeout_s: float = float("inf")
    ) -> Batch:
        self._check(topic)
        return super().read(topic, offset, wait_ms, max_timeout_s)

    def _check(self, topic: str) -> None:
        if topic == JOBS_TOPIC and self.clock.now < self.back_at:
            raise StoreSilentError("no answer", "ask")


def make_entry(context: Context, silent_s: float) -> None:
    """Create an entry's API for callers whose last call to another topic has just succeeded."""
    codec = PlatformCodec()
    config = codec.decode_config(json.dumps(CONFIG).encode())
    context.clock = clock = FakeClock()
    context.store = SilentJobsStore(clock, clock.now + silent_s)
    table = JobTable()
    sync = JobSync(context.store, table, lambda job: None)
    sync.reachability = TopicReachability(lambda: sync.read(0), clock.read)
    context.front = CallerApi(
        codec,
        table,
        lambda: config,
        lambda record, limit_s: sync.append([record], max_timeout_s=limit_s),
        sync.catch_up,
        lambda: True,
        sync.reachability.is_answering,
        Metrics(),
        clock.read,
        clock.pause,
    )


@given("an entry whose store answers for each topic but that of the jobs")
def create_entry_with_silent_topic(context: Context) -> None:
    make_entry(context, float("inf"))


@given("an entry whose store answers for the topic of the jobs again after 0.2 seconds")
def create_entry_with_returning_topic(context: Context) -> None:
    make_entry(context, 0.2)


@then("it is accepted with the first append")
def accepted_with_first_append(context: Context) -> None:
    assert context.reply.status == 200, context.reply
    assert context.store.appends == 1


def make_topic(context: Context, hold: Callable[[], None] = lambda: None) -> None:
    context.probes = 0

    def probe() -> None:
        context.probes += 1
        hold()
        raise StoreSilentError("no answer", "ask")

    context.topic = TopicReachability(probe)


def _wait_for(event: threading.Event) -> None:
    assert event.wait(10)


@given("a topic that does not answer")
def create_silent_topic(context: Context) -> None:
    context.asked = threading.Barrier(9, timeout=10)
    released = threading.Event()
    context.released = released
    make_topic(context, lambda: _wait_for(released))


@when("8 requests ask at once whether it answers")
def ask_together(context: Context) -> None:
    def ask() -> bool:
        context.asked.wait()
        return context.topic.is_answering(10.0)

    with ThreadPoolExecutor(8) as pool:
        futures = [pool.submit(ask) for _ in range(8)]
        context.asked.wait()
        context.released.set()
        context.told = [fut.result() for fut in futures]


@then("one probe was sent, and each was told that it does not")
def one_probe_for_all(context: Context) -> None:
    assert (context.probes, context.told) == (1, [False] * 8), (context.probes, context.told)


@given("a topic whose probe gets no answer for seconds")
def create_topic_with_hanging_probe(context: Context) -> None:
    context.released = threading.Event()
    make_topic(context, lambda: _wait_for(context.released))


@when("a request asks whether it answers, and may wait for 0.1 seconds")
def ask_briefly(context: Context) -> None:
    context.told = context.topic.is_answering(0.1)


@then("it is told at once that the topic does not answer")
def told_before_probe_ended(context: Context) -> None:
    # The probe is still under way, so the request did not wait for it.
    assert not context.told and not context.released.is_set()
    context.released.set()


@given("a topic that answered and then left an append unanswered")
def create_topic_after_silence(context: Context) -> None:
    make_topic(context)
    context.topic.record_answer()
    context.topic.record_failure()


@when("a request asks whether it answers")
def ask_topic(context: Context) -> None:
    assert not context.topic.is_answering(10.0)


@then("one probe was sent")
def one_probe(context: Context) -> None:
    assert context.probes == 1


@given("a peer whose own calls to the store fail")
def create_cut_off_peer(context: Context) -> None:
    create_relay_without_peers(context)
    fail_newest_call(context)
    context.asked_addresses.clear()


@when("another entry sends it a call to the store")
def send_call_to_peer(context: Context) -> None:
    headers = {"x-method": "POST", "x-path": "/v1/log-append?topic=keyed.jobs"}
    context.status, _ = relay_for_peer(context.relay, headers, b"")


@then("it answers at once that nothing was carried out")
def refused_by_peer(context: Context) -> None:
    assert context.status == 503 and not context.asked_addresses
