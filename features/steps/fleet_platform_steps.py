"""Steps for the adapter, the store's troubles and the whole path, against the stand-ins."""

import json
import socket
import time
from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory

import urllib3
from behave import given, then, when
from behave.runner import Context
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as cases

from comfreyshelf.errors import UserError
from comfreyshelf.fleet import entry as entry_module
from comfreyshelf.fleet.__main__ import reload
from comfreyshelf.fleet.bounds import Bounds, monotonic
from comfreyshelf.fleet.entry import EntryProcess
from comfreyshelf.fleet.followers import Keeper
from comfreyshelf.fleet.hub import Hub
from comfreyshelf.fleet.job_table import JobTable, progress_record
from comfreyshelf.fleet.jobs import Incarnation, JobPhase, Progress, RunListing, Token
from comfreyshelf.fleet.member import Member
from comfreyshelf.fleet.messages import Orders, StartOrder, StopOrder
from comfreyshelf.fleet.ownership import Owner
from comfreyshelf.fleet.relay import RELAY_PATH, Relay, relay_for_peer
from comfreyshelf.fleet.settings import FleetSettings
from comfreyshelf.fleet.store import (
    KeyedRecord,
    Membership,
)
from comfreyshelf.fleet.target import TargetState
from comfreyshelf.fleet.target_process import TargetProcess
from comfreyshelf.fleet.web import Call, Reply, WebServer
from comfreyshelf.ids import JobId, OrganisationId
from comfreyshelf.metrics import Metrics
from comfreyshelf.platform.runner import HttpRunner
from comfreyshelf.platform.settings import read_settings
from comfreyshelf.platform.store import LogStore, decode_batch, encode_records
from comfreyshelf.platform.wire import PlatformCodec, decode_announcement
from features.platform_standins import CONFIG, JOB, RunnerStandin, StoreStandin

BEAT = {
    "service": "permit",
    "zone": "z",
    "state": "ready",
    "sequence": 1,
    "capacity": {"cpu": 64000, "mem-mb": 262144, "gpu": 8},
    "labels": ["a", "r1"],
    "born": 10,
}
HEAD = 16


def free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


@when("hypothesis writes records in the store's format and reads them back")
def records(context: Context) -> None:
    record = strategies.tuples(strategies.text(max_size=40), strategies.binary(max_size=60))

    @settings(max_examples=200, derandomize=True, deadline=None, database=None)
    @cases(strategies.lists(record, max_size=6), strategies.integers(0, 400))
    def check(pairs: list[tuple[str, bytes]], cut: int) -> None:
        written = [KeyedRecord(key, value) for key, value in pairs]
        body = len(pairs).to_bytes(8, "big") + bytes(8) + encode_records(written)
        read = decode_batch(body, 0)
        assert [(r.key, r.value) for r in read.records] == pairs
        assert read.next_offset == len(pairs)
        partial = decode_batch(body[: max(HEAD, len(body) - cut)], 0)
        assert [(r.key, r.value) for r in partial.records] == pairs[: len(partial.records)]

    context.check = check


@then("they are the same, and cut bytes give no record that was not written")
@then("each is decoded or refused by its typed error")
def run_check(context: Context) -> None:
    context.check()


@when("hypothesis sends {count:d} bodies of {kind} to the adapter")
def bodies(context: Context, count: int, kind: str) -> None:
    codec = PlatformCodec()
    sample = {"job": JOB, "heartbeat": BEAT, "config": CONFIG}[kind]
    junk = strategies.one_of(
        strategies.none(),
        strategies.integers(),
        strategies.text(),
        strategies.lists(strategies.integers(), max_size=2),
    )

    def decode(body: bytes) -> None:
        if kind == "job":
            codec.job(body, JobId("0" * 16), OrganisationId("a"), "q", 0.0)  # type: ignore
        elif kind == "heartbeat":
            codec.announcement("i-1", body)
        else:
            codec.config(body)

    @settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @cases(strategies.binary(max_size=40), strategies.sampled_from(sorted(sample)), junk)
    def check(raw: bytes, field: str, value: object) -> None:
        for body in (raw, json.dumps(sample | {field: value}).encode()):
            try:
                decode(body)
            except UserError:
                continue

    context.check = check


@when("heartbeats with damaged fields are decoded")
def damaged(context: Context) -> None:
    changes = ({"state": "asleep"}, {"capacity": 3}, {"sequence": "x"}, {"labels": None})
    context.refused = 0
    bodies_sent = [json.dumps(BEAT | change).encode() for change in changes]
    bodies_sent += [json.dumps({"state": "ready"}).encode(), b"\xff\x00", b""]
    for body in bodies_sent:
        try:
            decode_announcement("i-1", body)
        except UserError:
            context.refused += 1
    context.sent = len(bodies_sent)


@then("each is refused and names no target")
def all_refused(context: Context) -> None:
    assert context.refused == context.sent


@when("a target process gets a heartbeat, one of a new incarnation, and then a late one")
def late_beat(context: Context) -> None:
    context.state = TargetState(Bounds(), "m")
    for sequence, born in ((5, 10), (1, 20), (6, 10)):
        body = json.dumps(BEAT | {"sequence": sequence, "born": born}).encode()
        context.accepted = context.state.announce(decode_announcement("i-1", body))


@then("the new incarnation stays in force")
def new_in_force(context: Context) -> None:
    assert not context.accepted
    assert context.state.report().incarnation == 20


def start_store(context: Context) -> StoreStandin:
    store = StoreStandin(free_address())
    store.server.start()
    context.stack.callback(store.server.stop)
    store.put("keyed.op", "config", json.dumps(CONFIG).encode())
    return store


def address_of(server: WebServer) -> str:
    host, port = server._server.bind_addr
    return f"{host}:{port}"


class Ownership:
    """An owner driven by hand, on a real client of the store stand-in."""

    def __init__(self, store: StoreStandin) -> None:
        self.relay = Relay(address_of(store.server), list, Metrics())
        self.store = LogStore(self.relay)
        self.book = JobTable()
        self.keeper = Keeper(self.store, self.book, lambda job: None)
        made = FleetSettings("e", "z", "127.0.0.1", "", "", 0)
        self.owner = Owner(made, self.book, Metrics())
        self.memberships: list[Membership] = []
        self.member = Member(self.store, "e@x", self.memberships.append)
        hub = Hub("127.0.0.1:0", lambda report: None)
        self.owner.connect(self.keeper, self.store, hub, self.member.end_term)
        self.owner.handle(PlatformCodec().config(json.dumps(CONFIG).encode()))

    def join(self) -> None:
        for _ in range(8):
            self.member.poll()
            if self.memberships:
                self.owner.handle(self.memberships[-1])
            if self.owner._core is not None:
                return


@given("a store, and an owner that leads")
def leads(context: Context) -> None:
    context.store = start_store(context)
    context.own = Ownership(context.store)
    context.own.join()
    assert context.own.owner._core is not None


@when("the store loses the answer of an append of the owner, and more changes come")
def lost_answer(context: Context) -> None:
    own = context.own
    core = own.owner._core
    context.store.appends.clear()
    context.store.fault_mode = "lost"
    first = [progress_record(JobId("a" * 16), Progress(JobPhase.RUNNING))]
    assert not own.owner._append(core, first)
    second = [progress_record(JobId("b" * 16), Progress(JobPhase.RUNNING))]
    deadline = time.monotonic() + 10
    while own.owner._unsettled is not None and time.monotonic() < deadline:
        own.owner._append(core, own.owner._unsettled)
    assert own.owner._append(core, second)


@then("the owner repeats the same bytes under the same number, and everything is stored once")
def repeated(context: Context) -> None:
    sent = [body for _, body in context.store.appends]
    assert len(sent) >= 3 and sent[0] == sent[1] != sent[-1]
    stored = [record[1:19].decode() for record in context.store.topics["keyed.jobs"]]
    assert stored == ["p/" + "a" * 16, "p/" + "b" * 16], stored


@when("the entry's process starts again within its time to live and leads again")
def restarted(context: Context) -> None:
    context.first_epoch = context.own.owner._core.token
    context.own = Ownership(context.store)
    deadline = time.monotonic() + 10
    while context.own.owner._core is None and time.monotonic() < deadline:
        context.own.join()


@then("its second epoch is higher than its first")
def higher(context: Context) -> None:
    core = context.own.owner._core
    assert core is not None and core.token > context.first_epoch


@given("a store that one entry cannot reach, and a peer that can")
def unreachable(context: Context) -> None:
    context.store = start_store(context)
    peer_relay = Relay(address_of(context.store.server), list, Metrics())

    def control(call: Call) -> Reply:
        assert call.path == RELAY_PATH
        headers = {
            key.removeprefix("HTTP_").replace("_", "-").lower(): value
            for key, value in call.headers.items()
        }
        status, body = relay_for_peer(peer_relay, headers, call.body)
        return Reply(status, body)

    peer = WebServer(free_address(), 2, control, lambda: 1 << 20)
    peer.start()
    context.stack.callback(peer.stop)
    context.relay = Relay(free_address(), lambda: [address_of(peer)], Metrics())


@when("the entry appends through its relay")
def relayed(context: Context) -> None:
    LogStore(context.relay).append("jobs", [KeyedRecord("j/1", b"x")])


@then("the record is stored once")
def stored_once(context: Context) -> None:
    assert len(context.store.topics["keyed.jobs"]) == 1
    assert context.relay.reachable


ORDER = StartOrder("a" * 16 + ".0.0.0", 1, "x", "")


def beat(state: TargetState, sequence: int, phase: str) -> None:
    body = json.dumps(BEAT | {"sequence": sequence, "state": phase}).encode()
    assert state.announce(decode_announcement("i-1", body))


def start_orders(state: TargetState) -> Orders:
    return Orders(Token(1), 10, monotonic(), 0, (ORDER,), ())


@given("a target process that carries out a start")
def start_under_way(context: Context) -> None:
    context.state = TargetState(Bounds(), "m")
    beat(context.state, 1, "ready")
    assert context.state.accept(start_orders(context.state)).starts == [ORDER]


@when("its target begins to drain and the order is repeated")
def drain_begins(context: Context) -> None:
    beat(context.state, 2, "draining")
    context.again = context.state.accept(start_orders(context.state))


@then("the run is not reported as rejected, before or after the runner confirms it")
def not_rejected(context: Context) -> None:
    state = context.state
    assert not (context.again.starts or context.again.refusals)
    assert not state.report().rejected
    state.started(ORDER)
    state.finished(ORDER.task)
    later = state.accept(start_orders(state))
    assert not later.refusals and not state.report().rejected


@given("a target process whose target drains")
def draining(context: Context) -> None:
    context.state = TargetState(Bounds(), "m")
    beat(context.state, 1, "draining")


@when("a start is ordered")
def ordered(context: Context) -> None:
    context.again = context.state.accept(start_orders(context.state))


@then("the run is stopped first, and reported as rejected only after a later listing without it")
def final_first(context: Context) -> None:
    state = context.state
    assert context.again.refusals == [ORDER] and not context.again.starts
    state.stopped(StopOrder(ORDER.task, ORDER.run))
    state.finished(ORDER.task)
    assert not state.report().rejected
    nothing = RunListing(0, Incarnation(10), (), ())
    state.listed(nothing, monotonic())
    assert not state.report().rejected
    state.listed(nothing, monotonic() + 1.0)
    assert [row.task for row in state.report().rejected] == [ORDER.task]


NODE = {
    "node-name": "s1",
    "zone": "z",
    "ip": "127.0.0.1",
    "platform": {"address": "127.0.0.1:1"},
    "listen": {"control": "127.0.0.1:0"},
    "port-range": [7000, 7015],
    "seed-nodes": ["127.0.0.1:2"],
    "app": "127.0.0.1:3",
}


@given("a target process with a settings file")
def with_file(context: Context) -> None:
    folder = Path(context.stack.enter_context(TemporaryDirectory()))
    context.file = folder / "node.json"
    context.file.write_text(json.dumps(NODE), encoding="utf-8")
    made = read_settings(context.file)
    context.process = TargetProcess(made, PlatformCodec(), LogStore, HttpRunner)
    context.stack.callback(context.process.prepare_stop)


@when("the file names other peers, and then is damaged, with a SIGHUP after each change")
def changed_file(context: Context) -> None:
    for text in (json.dumps(NODE | {"seed-nodes": ["127.0.0.1:4"]}), "{damaged"):
        context.file.write_text(text, encoding="utf-8")
        reload(context.process, context.file)


@then("the other peers are in force")
def other_peers(context: Context) -> None:
    assert context.process._settings.peers == ("127.0.0.1:4",)


class Deployment:
    """Entries and target processes on loopback, each with its own services."""

    def __init__(self, context: Context) -> None:
        self.store = start_store(context)
        self.stack = context.stack
        self.entries = [self._entry(number) for number in range(2)]
        self.runners = [self._target(number) for number in range(3)]
        self.http = urllib3.PoolManager(retries=False, timeout=5)
        self.stopped: set[int] = set()

    def _settings(self, name: str, **more: str) -> FleetSettings:
        pipe_port = int(free_address().rpartition(":")[2])
        return FleetSettings(
            name,
            "z",
            "127.0.0.1",
            address_of(self.store.server),
            free_address(),
            pipe_port,
            (),
            **more,  # type: ignore[arg-type]
        )

    def _entry(self, number: int) -> EntryProcess:
        made = self._settings(
            f"e{number}", front_address=free_address(), ready_address=free_address()
        )
        process = EntryProcess(made, PlatformCodec(), LogStore)
        process.kernel.start()
        self.stack.callback(process.kernel.stop)
        return process

    def _target(self, number: int) -> RunnerStandin:
        runner = RunnerStandin(free_address(), 0.4)
        runner.server.start()
        self.stack.callback(runner.server.stop)
        made = self._settings(f"s{number}", runner_address=address_of(runner.server))
        process = TargetProcess(made, PlatformCodec(), LogStore, HttpRunner)
        process.kernel.start()
        self.stack.callback(process.kernel.stop)
        beat = json.dumps(BEAT | {"born": runner.born}).encode()
        # Each stand-in runs at an address of its own, so it counts as a machine of its own.
        process._state._machine = f"m{number}"
        url = f"http://{made.control_address}/v1/instances/i-{number}"
        assert urllib3.request("PUT", url, body=beat).status == 200
        return runner

    def ask(self, number: int, method: str, path: str, body: bytes = b"", key: str = "key"):
        address = self.entries[number]._settings.front_address
        headers = {"Host": "h.example", "X-Api-Key": key}
        return self.http.request(method, f"http://{address}{path}", body=body, headers=headers)


@given("a store, two entries, and three target processes with runners")
def deployment(context: Context) -> None:
    context.stack.callback(setattr, entry_module, "NOTICE_S", entry_module.NOTICE_S)
    entry_module.NOTICE_S = 0.1
    context.fleet = Deployment(context)


@when("a job of 5 tasks is submitted at one entry")
def submit(context: Context) -> None:
    deadline = time.monotonic() + 30
    status = 0
    while status != 200 and time.monotonic() < deadline:
        reply = context.fleet.ask(0, "POST", "/q/" + "a" * 16, json.dumps(JOB).encode())
        status = reply.status
        time.sleep(0.05)
    assert status == 200, status


@when("the entry that owns the schedule stops")
def owner_stops(context: Context) -> None:
    for number, process in enumerate(context.fleet.entries):
        if process._owner._core is not None:
            process.prepare_stop()
            context.fleet.stopped.add(number)


@then("it is completed at the other entry, each task having started once")
def completed(context: Context) -> None:
    fleet = context.fleet
    number = 0 if 1 in fleet.stopped else 1
    state, deadline = "", time.monotonic() + 60
    while state != "completed" and time.monotonic() < deadline:
        reply = fleet.ask(number, "GET", "/q/" + "a" * 16)
        state = json.loads(reply.data).get("state", "") if reply.status == 200 else ""
        time.sleep(0.1)
    assert state == "completed", state
    starts = Counter(start for runner in fleet.runners for start in runner.starts)
    assert len(starts) == 5 and set(starts.values()) == {1}, starts


@then("both entries know an unknown job as gone and a wrong key as unauthorised")
def unknown(context: Context) -> None:
    for number in (0, 1):
        assert context.fleet.ask(number, "GET", "/q/" + "9" * 16).status == 410
        assert context.fleet.ask(number, "GET", "/q/", key="wrong").status == 401
        assert context.fleet.ask(number, "GET", "/nowhere/").status == 404
        waiting = context.fleet.ask(number, "GET", "/q/")
        assert json.loads(waiting.data) == {"waiting": 0}
