"""Steps for heartbeats, choice of pipes, forwarding between entries, and runner slots."""

import hashlib
import queue
import socket
import threading
import time

import msgspec
from behave import given, then
from behave.runner import Context

from comfreyshelf.agent import Agent, CallRunner
from comfreyshelf.client import RefusedError
from comfreyshelf.config_text import parse_config
from comfreyshelf.demo import CALLER_KEY, DEMO_CONFIG_TEXT, OPERATOR_KEY, free_address
from comfreyshelf.errors import Execution, not_run
from comfreyshelf.forwarding import Forwarded, Forwarder
from comfreyshelf.heartbeats import StatusSender
from comfreyshelf.ids import (
    DomainId,
    EntryId,
    Epoch,
    Offset,
    OperatorId,
    RequestId,
    Version,
    ZoneId,
)
from comfreyshelf.ledger import EntryInfo, Ledger
from comfreyshelf.links import entry_addresses_for
from comfreyshelf.messages import (
    Heartbeat,
    Renewal,
    RunRequest,
    ServiceSlots,
    Status,
    StatusWanted,
    Welcome,
)
from comfreyshelf.metrics import Metrics
from comfreyshelf.ownership import (
    IncrementCounter,
    MessageReceived,
    Ownership,
    RecordApplied,
    SendMessage,
    TimePassed,
)
from comfreyshelf.reasons import RefusalReason
from comfreyshelf.records import ConfigPublished, DomainClaimed, Record, make_record_id
from comfreyshelf.runner import Runner
from comfreyshelf.settings import EntrySettings, TargetSettings
from comfreyshelf.target import AgentTask
from comfreyshelf.transport import Hub, Link
from comfreyshelf.worker import StandinWorker
from features.processes import separate_processes
from features.steps.agent_steps import TARGET
from features.steps.requests_steps import make_worker

ENTRY = "entry-link"
# A guarantee has to name its domain if there are two.
TEXT = DEMO_CONFIG_TEXT.replace("@ worker", "@ worker in litoral") + (
    "\n[region platense]\n[zone colonia]\nregion = platense\n"
)


def apply_record(context: Context, body: object, now: float) -> list[object]:
    offset = context.ledger.next_offset
    record = Record(make_record_id("w", offset + 1), "w", 1.0, body)
    return context.ownership.handle(
        RecordApplied(record, context.ledger.apply(Offset(offset), record)), now
    )


def handle_message(context: Context, message: object, now: float) -> list[object]:
    """Return what the owner sends back to the target for a message."""
    outputs = context.ownership.handle(MessageReceived(TARGET, message), now)
    return [output.message for output in outputs if isinstance(output, SendMessage)]


def next_message(context: Context, now: float) -> object:
    return context.sender.message_for(
        ENTRY, context.sender.with_sequence(context.agent.status(now))
    )


@given("an owner entry and a target that exchanged a status")
def given_exchanged_status(context: Context) -> None:
    context.ledger = Ledger()
    cfg = EntrySettings("e", "paysandu", "127.0.0.1:1", "127.0.0.1:2", "")
    context.ownership = Ownership(cfg, "w", context.ledger)
    apply_record(context, ConfigPublished(Version(1), Version(0), TEXT, OperatorId("o")), 1.0)
    apply_record(context, DomainClaimed(DomainId("litoral"), Epoch(1), Epoch(0), EntryId("e")), 1.0)
    context.agent = Agent(make_worker(TARGET, "paysandu", 1), ("permit",))
    context.sender = StatusSender()
    first = next_message(context, 10.0)
    assert isinstance(first, Status)
    [answer] = handle_message(context, first, 10.0)
    assert isinstance(answer, Welcome) and answer.known == first.sequence
    context.sender.on_welcome(ENTRY, answer)
    context.agent.handle(answer, 10.1)
    assert context.agent.lease_expires_at == 16.0


@then("an unchanged status is a heartbeat whose renewal gives the lease of a welcome")
def check_lease_renewed(context: Context) -> None:
    beat = next_message(context, 12.0)
    assert isinstance(beat, Heartbeat)
    [answer] = handle_message(context, beat, 12.1)
    assert isinstance(answer, Renewal)
    context.agent.handle(context.sender.expand_renewal(ENTRY, answer), 13.0)
    assert (
        context.agent.lease_expires_at == 18.0
    ), "the lease counts from when the target sent the heartbeat"


@then("a renewal for an unknown welcome and a heartbeat for an unknown status renew no lease")
def check_unknown_renews_no_lease(context: Context) -> None:
    assert context.sender.expand_renewal(ENTRY, Renewal(b"other", 13.0, 6.0)) is None
    assert context.sender.expand_renewal("another entry", Renewal(b"", 13.0, 6.0)) is None
    beat = next_message(context, 13.0)
    [answer] = handle_message(context, msgspec.structs.replace(beat, sequence=99), 13.0)
    assert answer == StatusWanted()
    context.sender.forget(ENTRY)
    assert isinstance(next_message(context, 13.0), Status)


@then("a changed configuration is sent as a full welcome, also after one was lost")
def check_config_sent_in_full(context: Context) -> None:
    outputs = apply_record(
        context, ConfigPublished(Version(2), Version(1), TEXT, OperatorId("o")), 14.0
    )
    told = [out.message for out in outputs if isinstance(out, SendMessage)]
    assert [(one.version, one.lease_s) for one in told] == [(2, 0.0)], told
    # If the target did not get it, for example because its pipe was full, its next heartbeat names
    # the old version and is answered by another full welcome.
    beat = Heartbeat(TARGET, 14.5, told[0].known, Epoch(1), Version(1))
    [answer] = handle_message(context, beat, 14.5)
    assert isinstance(answer, Welcome) and answer.version == 2 and answer.lease_s == 6.0


@then("the target is lost once, 7 s after its last heartbeat")
def check_target_lost_once(context: Context) -> None:
    handle_message(context, next_message(context, 12.0), 12.0)
    counted = []
    for tenth in range(121, 800):
        for output in context.ownership.handle(TimePassed(), tenth / 10):
            if isinstance(output, IncrementCounter) and output.counter == "targets_lost":
                counted.append(tenth)
    assert counted == [191], counted


@then("a heartbeat on a new pipe is answered by a request for the status")
def check_status_requested(context: Context) -> None:
    address = free_address()
    context.received = queue.Queue()
    context.received_answers = queue.Queue()
    hub = Hub(address, Metrics(), lambda _, message: context.received.put(message))
    context.links = [
        Link(address, Metrics(), lambda _, message: context.received_answers.put(message))
        for _ in range(2)
    ]
    for service in (hub, *context.links):
        service.start()
        context.stack.callback(service.stop)
    context.hub = hub
    context.beat = Heartbeat(TARGET, 1.0, 1, Epoch(1), Version(1))
    send_when_connected(context.links[0], context.beat)
    assert context.received_answers.get(timeout=10.0) == StatusWanted()


def send_when_connected(link: Link, message: object) -> None:
    until = time.monotonic() + 10.0
    while not link.send(message):
        assert time.monotonic() < until
        time.sleep(0.02)


@then("a heartbeat on the pipe of an old incarnation is dropped")
def check_old_incarnation_dropped(context: Context) -> None:
    for index, link in enumerate(context.links):
        status = Agent(make_worker(TARGET, "paysandu", index + 1)).status(1.0)
        send_when_connected(link, status)
        assert context.received.get(timeout=10.0) == status
    send_when_connected(context.links[0], context.beat)
    time.sleep(0.3)
    newer = msgspec.structs.replace(context.beat, sent_at=2.0)
    send_when_connected(context.links[1], newer)
    assert context.received.get(timeout=10.0) == newer


@then("{count:d} messages sent at once to a target arrive undamaged and in order")
def check_burst_arrives(context: Context, count: int) -> None:
    send_when_connected(context.links[0], Agent(make_worker(TARGET, "paysandu", 1)).status(1.0))
    context.received.get(timeout=10.0)
    sent = [Renewal(bytes(index % 900), float(index), 6.0) for index in range(count)]
    assert all(context.hub.send(TARGET, message) for message in sent)
    assert [context.received_answers.get(timeout=10.0) for _ in sent] == sent


def entry_info(name: str, zone: str, address: str = "") -> EntryInfo:
    return EntryInfo(EntryId(name), ZoneId(zone), address or name, f"{name}:1", 0.0, Version(1))


@then("a target connects to the entries of its zone, the owner and a few others, all in its region")
def check_pipe_choice(context: Context) -> None:
    config = parse_config(TEXT, Version(1)).ok
    zones = {"p0": "paysandu", "p1": "paysandu", "p2": "paysandu", "s0": "salto", "c0": "colonia"}
    known = [entry_info(name, zone) for name, zone in zones.items()]

    def pipes(zone: str, owner: str) -> set[str]:
        found = entry_addresses_for(ZoneId(zone), config, known, EntryId(owner))
        return {address.partition(":")[0] for address in found}

    assert pipes("paysandu", "p0") == {"p0", "p1", "p2"}
    assert pipes("paysandu", "s0") == {"p0", "p1", "p2", "s0"}
    assert pipes("salto", "p1") == {"s0", "p1"}
    assert pipes("salto", "s0") > {"s0"} and len(pipes("salto", "s0")) == 2
    assert pipes("colonia", "c0") == {"c0"}


@given("an entry without runners, and an entry of another region with a runner")
def given_two_regions(context: Context) -> None:
    processes = context.processes = context.stack.enter_context(separate_processes())
    processes.start_log()
    processes.start_entry("near", "paysandu")
    processes.start_entry("far", "colonia")
    processes.start_target("target-0", "colonia", "rack", entries=["far"])
    processes.client("near", OPERATOR_KEY).publish(TEXT, 0)
    far = processes.client("far", OPERATOR_KEY)
    until = time.monotonic() + 30.0
    while not any(one["version"] == 1 for one in far.targets()):
        assert time.monotonic() < until
        time.sleep(0.1)


@then("a request through the first entry is answered by the runner, once")
def check_forwarded_answer(context: Context) -> None:
    near = context.processes.client("near", CALLER_KEY)
    assert near.request("permit", b"abc", idempotent=False) == b"cba"
    assert near.request("permit", b"abcd", idempotent=False, key="k-1") == b"dcba"
    assert "comfreyshelf_request_forwarded 2" in near.metrics()
    assert (
        context.processes.client("near", OPERATOR_KEY).targets() == []
    ), "a status crossed regions"


@then("a request for which no entry has a runner is refused as not_run")
def check_refused_without_runner(context: Context) -> None:
    context.processes.stop("target-0")
    near = context.processes.client("near", CALLER_KEY)
    try:
        near.request("permit", b"abc", idempotent=False)
    except RefusedError as exc:
        assert exc.refusal.execution is Execution.NOT_RUN, exc
        return
    raise AssertionError("answered without a runner")


@then("bytes are counted by zone, and separately if they cross regions")
def check_bytes_by_zone(context: Context) -> None:
    texts = [context.processes.client(name, CALLER_KEY).metrics() for name in ("near", "far")]
    assert 'control_bytes{link="colonia",cross_region="yes",direction="out"}' in texts[0]
    assert 'control_bytes{link="colonia",cross_region="no",direction="in"}' in texts[1]


class FakeEntry:
    """Answers each request with `body`, or closes the connection unanswered if it is None."""

    def __init__(self, context: Context, body: bytes | None) -> None:
        self.calls = 0
        self._body = body
        self._socket = socket.create_server(("127.0.0.1", 0))
        context.stack.callback(self._socket.close)
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                conn, _ = self._socket.accept()
            except OSError:
                return
            with conn:
                conn.recv(65536)
                self.calls += 1
                if self._body is not None:
                    digest = hashlib.sha256(self._body).hexdigest()
                    head = f"HTTP/1.1 200 OK\r\nDigest: sha-256={digest}\r\nContent-Length: "
                    conn.sendall(f"{head}{len(self._body)}\r\n\r\n".encode() + self._body)


class FakeLedgerReader:
    def __init__(self, addresses: list[str]) -> None:
        self.lock = threading.Lock()
        self.ledger = Ledger()
        for index, address in enumerate(addresses):
            zone = ("salto", "colonia")[index]
            self.ledger.state.entries[EntryId(zone)] = entry_info(zone, zone, address)


def forward(addresses: list[str], idempotent: bool):
    forwarder = Forwarder(
        EntryId("e"), ZoneId("paysandu"), FakeLedgerReader(addresses), Metrics(), ""
    )
    request = Forwarded("permit", b"abc", time.monotonic() + 5.0, idempotent, "Bearer k")
    refusal = not_run(RefusalReason.NO_RUNNER, "none", "wait")
    return forwarder.forward(parse_config(TEXT, Version(1)).ok, request, refusal)


@then("a lost answer of a non-idempotent request is may_have_run and is not sent again")
def check_lost_answer(context: Context) -> None:
    context.silent_entry, context.answering_entry = FakeEntry(context, None), FakeEntry(
        context, b"ok"
    )
    answer = forward([context.silent_entry.address, context.answering_entry.address], False)
    assert answer.error.execution is Execution.MAY_HAVE_RUN
    assert (context.silent_entry.calls, context.answering_entry.calls) == (1, 0)


@then("an idempotent request is sent to the next entry")
def check_next_entry_tried(context: Context) -> None:
    assert (
        forward([context.silent_entry.address, context.answering_entry.address], True).ok == b"ok"
    )


@then("a refused connection is not_run and the next entry is tried")
def check_refused_connection(context: Context) -> None:
    assert forward([free_address()], False).error.execution is Execution.NOT_RUN
    assert forward([free_address(), context.answering_entry.address], False).ok == b"ok"


class FaultyRunner(Runner):
    """Raises SystemExit, returns None, or waits until `count` calls run at once."""

    def __init__(self, count: int) -> None:
        self.all_calls_running = threading.Barrier(count)

    def call(self, body: bytes, timeout_s: float) -> bytes:
        if body == b"exit":
            raise SystemExit("\udc80")
        if body == b"none":
            return None
        self.all_calls_running.wait(10.0)
        return body


def run_requests(context: Context, slots: int, bodies: list[bytes]) -> AgentTask:
    cfg = TargetSettings("t", "paysandu", "r", (), services=("permit",))
    metrics = context.runner_metrics = Metrics()
    task = AgentTask(cfg, StandinWorker(), {"permit": FaultyRunner(slots)}, metrics)
    task.start()
    context.stack.callback(task.stop)
    limits = ServiceSlots("permit", slots, slots)
    task.agent.admission.set_limits((limits,), time.monotonic())
    for index, body in enumerate(bodies):
        digest = hashlib.sha256(body).hexdigest()
        request = RunRequest(
            RequestId(f"r{index}"), "permit", Version(0), 10.0, body, False, digest
        )
        actions = task.agent.admission.offer(request, time.monotonic(), "", False)
        task._execute([CallRunner(one.request, 10.0) for one in actions], "")
    until = time.monotonic() + 15.0
    while not task.agent.admission.is_idle:
        assert time.monotonic() < until, task.agent.admission.loads()
        time.sleep(0.02)
    return task


@then("a runner that raises SystemExit or answers with no bytes has all slots free again")
def check_slots_freed(context: Context) -> None:
    run_requests(context, 2, [b"exit", b"none"])
    assert context.runner_metrics.value("runner_failed") == 2


@then("80 requests of a runner with 80 slots run at once")
def check_slots_run_at_once(context: Context) -> None:
    run_requests(context, 80, [b"x"] * 80)
    assert context.runner_metrics.value("runner_failed") == 0
