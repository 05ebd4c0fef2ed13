"""Steps for the platform adapter, store faults and whole jobs, against the stand-ins."""

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
from comfreyshelf.fleet.entry_sync import JobSync
from comfreyshelf.fleet.hub import Hub
from comfreyshelf.fleet.job_table import JobTable, progress_record
from comfreyshelf.fleet.jobs import (
    Incarnation,
    JobPhase,
    Progress,
    QueueName,
    RunListing,
    Token,
)
from comfreyshelf.fleet.leader_election import LeaderElection
from comfreyshelf.fleet.messages import Orders, StartOrder, StopOrder, encode
from comfreyshelf.fleet.ownership import OwnerTask
from comfreyshelf.fleet.relay import RELAY_PATH, Relay, relay_for_peer
from comfreyshelf.fleet.scheduling import Scheduling
from comfreyshelf.fleet.settings import FleetSettings
from comfreyshelf.fleet.store import (
    KeyedRecord,
    Membership,
)
from comfreyshelf.fleet.target_process import TargetProcess
from comfreyshelf.fleet.target_state import TargetState
from comfreyshelf.fleet.web import Call, Reply, WebServer
from comfreyshelf.ids import JobId, OrganisationId, TargetId
from comfreyshelf.metrics import Metrics
from comfreyshelf.platform.runner import HttpRunner
from comfreyshelf.platform.settings import read_settings
from comfreyshelf.platform.store import LogStore, decode_batch, encode_records
from comfreyshelf.platform.wire import PlatformCodec, decode_announcement
from features.platform_standins import CONFIG, JOB, RunnerStandin, StoreStandin

HEARTBEAT = {
    "service": "permit",
    "zone": "z",
    "state": "ready",
    "sequence": 1,
    "capacity": {"cpu": 64000, "mem-mb": 262144, "gpu": 8},
    "labels": ["a", "r1"],
    "born": 10,
}
BATCH_HEADER_BYTES = 16


def free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


@when("hypothesis writes records in the store's format and reads them back")
def write_and_read_records(context: Context) -> None:
    record = strategies.tuples(strategies.text(max_size=40), strategies.binary(max_size=60))

    @settings(max_examples=200, derandomize=True, deadline=None, database=None)
    @cases(strategies.lists(record, max_size=6), strategies.integers(0, 400))
    def check(pairs: list[tuple[str, bytes]], cut: int) -> None:
        written = [KeyedRecord(key, value) for key, value in pairs]
        body = len(pairs).to_bytes(8, "big") + bytes(8) + encode_records(written)
        read = decode_batch(body, 0)
        assert [(r.key, r.value) for r in read.records] == pairs
        assert read.next_offset == len(pairs)
        partial = decode_batch(body[: max(BATCH_HEADER_BYTES, len(body) - cut)], 0)
        assert [(r.key, r.value) for r in partial.records] == pairs[: len(partial.records)]

    context.check = check


@then("they are the same, and cut bytes give no record that was not written")
@then("each is decoded or refused by its typed error")
def run_check(context: Context) -> None:
    context.check()


@when("hypothesis sends {count:d} bodies of {kind} to the adapter")
def send_generated_bodies(context: Context, count: int, kind: str) -> None:
    codec = PlatformCodec()
    sample = {"job": JOB, "heartbeat": HEARTBEAT, "config": CONFIG}[kind]
    junk = strategies.one_of(
        strategies.none(),
        strategies.integers(),
        strategies.text(),
        strategies.lists(strategies.integers(), max_size=2),
    )

    def decode(body: bytes) -> object:
        if kind == "job":
            return codec.decode_job(body, JobId("0" * 16), OrganisationId("a"), QueueName("q"), 0.0)
        if kind == "heartbeat":
            return codec.decode_announcement("i-1", body)
        return codec.decode_config(body)

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
                decoded = decode(body)
            except UserError:
                continue
            # Heartbeats go into messages and jobs into records. Configurations stay where they are.
            if kind != "config":
                encode(decoded)

    context.check = check


@when("heartbeats with damaged fields are decoded")
def decode_damaged_heartbeats(context: Context) -> None:
    changes = ({"state": "asleep"}, {"capacity": 3}, {"sequence": "x"}, {"labels": None})
    context.refused = 0
    bodies_sent = [json.dumps(HEARTBEAT | change).encode() for change in changes]
    bodies_sent += [json.dumps({"state": "ready"}).encode(), b"\xff\x00", b""]
    numbers = ("sequence", "born", "drain-left-ms", "cold-left-ms", "clock-ms")
    bodies_sent += [json.dumps(HEARTBEAT | {name: 2**70}).encode() for name in numbers]
    bodies_sent += [json.dumps(HEARTBEAT | {"capacity": {"cpu": 2**70}}).encode()]
    nested = b"[" * 100_000 + b"]" * 100_000
    bodies_sent += [json.dumps(HEARTBEAT).encode()[:-1] + b',"x":' + nested + b"}"]
    for body in bodies_sent:
        try:
            decode_announcement("i-1", body)
        except UserError:
            context.refused += 1
    context.sent = len(bodies_sent)


@when("heartbeats come under ids that no header can hold")
def name_damaged_ids(context: Context) -> None:
    ids = ("", "a b", "a\r\nX: y", "\xff", "\u4e00", "a" * 300)
    codec = PlatformCodec()
    context.sent = len(ids)
    context.refused = sum(not codec.target_from_path(f"/v1/instances/{name}") for name in ids)
    assert codec.target_from_path("/v1/instances/i-7f3a91c2") == "i-7f3a91c2"


@then("each is refused")
def all_damaged_refused(context: Context) -> None:
    assert context.refused == context.sent


@when("a target process gets a heartbeat, one of a new incarnation, and then a late one of the old")
def receive_late_heartbeat(context: Context) -> None:
    state = context.state = TargetState(Bounds(), "m", Metrics())
    # The runner that follows under the same id is asked after each heartbeat.
    for sequence, born, answers in ((5, 10, 10), (1, 20, 20), (6, 10, 20)):
        body = json.dumps(HEARTBEAT | {"sequence": sequence, "born": born}).encode()
        announcement = decode_announcement("i-1", body)
        state.announce(announcement)
        listing = RunListing(0, Incarnation(answers), (), ())
        state.apply_listing(announcement.id, listing, monotonic())


@then("the new incarnation stays in force")
def new_incarnation_in_force(context: Context) -> None:
    assert context.state.report().incarnation == 20
    assert not context.state.claimed_ids()


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
    """An owner whose steps the test calls, on a real client of the store stand-in."""

    def __init__(self, store: StoreStandin) -> None:
        self.relay = Relay(address_of(store.server), list, Metrics())
        self.store = LogStore(self.relay)
        self.job_table = JobTable()
        self.job_sync = JobSync(self.store, self.job_table, lambda job: None)
        fleet_settings = FleetSettings("e", "z", "127.0.0.1", "", "", 0)
        self.owner = OwnerTask(fleet_settings, self.job_table, Metrics())
        self.memberships: list[Membership] = []
        self.member = LeaderElection(self.store, "e@x", 1.0, self.memberships.append)
        hub = Hub("127.0.0.1:0", lambda report: None)
        self.owner.connect(self.job_sync, self.store, hub, self.member.end_term)
        self.owner.handle(PlatformCodec().decode_config(json.dumps(CONFIG).encode()))

    def join(self) -> None:
        for _ in range(8):
            self.member.poll()
            if self.memberships:
                self.owner.handle(self.memberships[-1])
            if self.owner._core is not None:
                return


@given("a store, and an elected owner")
def start_owner(context: Context) -> None:
    context.store = start_store(context)
    context.ownership = Ownership(context.store)
    context.ownership.join()
    assert context.ownership.owner._core is not None


@when("the store loses the answer of an append of the owner, and more changes come")
def lose_append_answer(context: Context) -> None:
    ownership = context.ownership
    core = ownership.owner._core
    context.store.appends.clear()
    context.store.fault_mode = "lost"
    first = [progress_record(JobId("a" * 16), Progress(JobPhase.RUNNING))]
    assert not ownership.owner._append(core, first)
    second = [progress_record(JobId("b" * 16), Progress(JobPhase.RUNNING))]
    deadline = time.monotonic() + 10
    while ownership.owner._unanswered_append is not None and time.monotonic() < deadline:
        ownership.owner._append(core, ownership.owner._unanswered_append)
    assert ownership.owner._append(core, second)


@then("the owner repeats the same bytes under the same number, and everything is stored once")
def append_repeated_unchanged(context: Context) -> None:
    sent = [body for _, body in context.store.appends]
    assert len(sent) >= 3 and sent[0] == sent[1] != sent[-1]
    stored = [record[1:19].decode() for record in context.store.topics["keyed.jobs"]]
    assert stored == ["p/" + "a" * 16, "p/" + "b" * 16], stored


@when("the entry's process restarts within its time to live and is elected again")
def restart_entry(context: Context) -> None:
    context.first_epoch = context.ownership.owner._core.token
    context.ownership = Ownership(context.store)
    deadline = time.monotonic() + 10
    while context.ownership.owner._core is None and time.monotonic() < deadline:
        context.ownership.join()


@then("its second epoch is higher than its first")
def second_epoch_is_higher(context: Context) -> None:
    core = context.ownership.owner._core
    assert core is not None and core.token > context.first_epoch


@given("a store that one entry cannot reach, and a peer that can")
def start_unreachable_store(context: Context) -> None:
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
def append_through_relay(context: Context) -> None:
    LogStore(context.relay).append("jobs", [KeyedRecord("j/1", b"x")])


@then("the record is stored once")
def stored_once(context: Context) -> None:
    assert len(context.store.topics["keyed.jobs"]) == 1
    assert context.relay.is_store_reachable


ORDER = StartOrder("a" * 16 + ".0.0.0", 1, "x", "")


def announce_state(state: TargetState, sequence: int, phase: str) -> None:
    body = json.dumps(HEARTBEAT | {"sequence": sequence, "state": phase}).encode()
    assert state.announce(decode_announcement("i-1", body))


def list_no_runs(state: TargetState, requested_at: float) -> None:
    state.apply_listing(TargetId("i-1"), RunListing(0, Incarnation(10), (), ()), requested_at)


def start_orders(state: TargetState) -> Orders:
    return Orders(Token(1), 10, monotonic(), 0, (ORDER,), ())


@given("a target process that carries out a start")
def start_under_way(context: Context) -> None:
    context.state = TargetState(Bounds(), "m", Metrics())
    announce_state(context.state, 1, "ready")
    list_no_runs(context.state, monotonic())
    assert context.state.apply_orders(start_orders(context.state)).starts == [ORDER]


@when("its target begins to drain and the order is repeated")
def begin_drain(context: Context) -> None:
    announce_state(context.state, 2, "draining")
    context.outcome = context.state.apply_orders(start_orders(context.state))


@then("the run is not reported as rejected, before or after the runner confirms it")
def not_rejected(context: Context) -> None:
    state = context.state
    assert not (context.outcome.starts or context.outcome.refused_starts)
    assert not state.report().rejected
    state.record_started(state.life, ORDER)
    state.close_order(ORDER.task)
    later = state.apply_orders(start_orders(state))
    assert not later.refused_starts and not state.report().rejected


@given("a target process whose target drains")
def start_draining_target(context: Context) -> None:
    context.state = TargetState(Bounds(), "m", Metrics())
    announce_state(context.state, 1, "draining")
    list_no_runs(context.state, monotonic())


@when("a start is ordered")
def order_start(context: Context) -> None:
    context.outcome = context.state.apply_orders(start_orders(context.state))


@then("the run is stopped first, and reported as rejected only after a later listing without it")
def rejection_follows_listing(context: Context) -> None:
    state = context.state
    assert context.outcome.refused_starts == [ORDER] and not context.outcome.starts
    state.record_stopped(state.life, StopOrder(ORDER.task, ORDER.run))
    state.close_order(ORDER.task)
    assert not state.report().rejected
    list_no_runs(state, monotonic())
    assert not state.report().rejected
    list_no_runs(state, monotonic() + 1.0)
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
def start_with_settings_file(context: Context) -> None:
    folder = Path(context.stack.enter_context(TemporaryDirectory()))
    context.file = folder / "node.json"
    context.file.write_text(json.dumps(NODE), encoding="utf-8")
    cfg = read_settings(context.file)
    context.process = TargetProcess(cfg, PlatformCodec(), LogStore, HttpRunner)
    context.stack.callback(context.process.prepare_stop)


@when("the file names other peers, and then is damaged, with a SIGHUP after each change")
def change_settings_file(context: Context) -> None:
    for text in (json.dumps(NODE | {"seed-nodes": ["127.0.0.1:4"]}), "{damaged"):
        context.file.write_text(text, encoding="utf-8")
        reload(context.process, context.file)


@then("the other peers are in force")
def other_peers_in_force(context: Context) -> None:
    assert context.process._settings.peers == ("127.0.0.1:4",)


_NO_FEATURES = Scheduling()


class Deployment:
    """Entries and target processes on loopback, each with its own services."""

    def __init__(
        self,
        context: Context,
        bounds: Bounds | None = None,
        scheduling: Scheduling = _NO_FEATURES,
    ) -> None:
        self.store = start_store(context)
        self.bounds = bounds or Bounds()
        self.scheduling = scheduling
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
            bounds=self.bounds,
            scheduling=self.scheduling,
            **more,  # type: ignore[arg-type]
        )

    def _entry(self, number: int) -> EntryProcess:
        cfg = self._settings(
            f"e{number}", front_address=free_address(), ready_address=free_address()
        )
        process = EntryProcess(cfg, PlatformCodec(), LogStore)
        process.kernel.start()
        self.stack.callback(process.kernel.stop)
        return process

    def _target(self, number: int) -> RunnerStandin:
        runner = RunnerStandin(free_address(), 0.4)
        runner.server.start()
        self.stack.callback(runner.server.stop)
        cfg = self._settings(f"s{number}", runner_address=address_of(runner.server))
        process = TargetProcess(cfg, PlatformCodec(), LogStore, HttpRunner)
        process.kernel.start()
        self.stack.callback(process.kernel.stop)
        heartbeat = json.dumps(HEARTBEAT | {"born": runner.born}).encode()
        # A VM is known by its IP address, which all targets share here, so each gets its own name.
        process._state._machine = f"m{number}"
        url = f"http://{cfg.control_address}/v1/instances/i-{number}"
        assert urllib3.request("PUT", url, body=heartbeat).status == 200
        return runner

    def ask(self, number: int, method: str, path: str, body: bytes = b"", key: str = "key"):
        address = self.entries[number]._settings.front_address
        headers = {"Host": "h.example", "X-Api-Key": key}
        return self.http.request(method, f"http://{address}{path}", body=body, headers=headers)


@given("a store, two entries, and three target processes with runners")
def start_deployment(
    context: Context, bounds: Bounds | None = None, scheduling: Scheduling = _NO_FEATURES
) -> None:
    context.stack.callback(
        setattr, entry_module, "SHUTDOWN_NOTICE_S", entry_module.SHUTDOWN_NOTICE_S
    )
    entry_module.SHUTDOWN_NOTICE_S = 0.1
    context.fleet = Deployment(context, bounds, scheduling)


@given("a deployment of two entries and three target processes, whose zones may be evacuated")
def start_evacuable_deployment(context: Context) -> None:
    start_deployment(context, Bounds(evacuate_s=5.0))


@when("a job of 5 tasks is submitted at one entry")
def submit_job(context: Context) -> None:
    deadline = time.monotonic() + 30
    status = 0
    while status != 200 and time.monotonic() < deadline:
        reply = context.fleet.ask(0, "POST", "/q/" + "a" * 16, json.dumps(JOB).encode())
        status = reply.status
        time.sleep(0.05)
    assert status == 200, status


@when("the entry that owns the schedule stops")
def stop_owner(context: Context) -> None:
    for number, process in enumerate(context.fleet.entries):
        if process._owner._core is not None:
            process.prepare_stop()
            context.fleet.stopped.add(number)


@then("it is completed at the other entry, each task having started once")
def job_completed_once(context: Context) -> None:
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


@then("both entries answer an unknown job with 410 and a wrong key with 401")
def unknown_job_and_wrong_key(context: Context) -> None:
    for number in (0, 1):
        assert context.fleet.ask(number, "GET", "/q/" + "9" * 16).status == 410
        assert context.fleet.ask(number, "GET", "/q/", key="wrong").status == 401
        assert context.fleet.ask(number, "GET", "/nowhere/").status == 404
        waiting = context.fleet.ask(number, "GET", "/q/")
        assert json.loads(waiting.data) == {"waiting": 0}
