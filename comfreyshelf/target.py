"""The target process: the shell around the agent core on one target VM."""

import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import cherrypy
import msgspec
from absl import logging

from comfreyshelf import logs
from comfreyshelf.agent import (
    Action,
    Agent,
    CallRunner,
    Reply,
    RunProbe,
    StartPart,
    StopPart,
    TellOwner,
)
from comfreyshelf.errors import SettingsError
from comfreyshelf.heartbeats import StatusSender
from comfreyshelf.ids import RackId, RequestId, TargetId, ZoneId
from comfreyshelf.kernel import Kernel, Service
from comfreyshelf.messages import (
    AnyMessage,
    ProbeAnswer,
    Renewal,
    StatusWanted,
    UsageReport,
    Welcome,
)
from comfreyshelf.metrics import FarEnd, Metrics
from comfreyshelf.model import WorkerInfo
from comfreyshelf.reasons import RefusalReason
from comfreyshelf.runner import Runner, runners_of
from comfreyshelf.settings import TargetSettings
from comfreyshelf.tasks import Task
from comfreyshelf.tls import tls_files
from comfreyshelf.transport import Link
from comfreyshelf.web import WebServer
from comfreyshelf.worker import PartExit, StandinWorker, Worker, WorkerFault

# The core's shortest time limit is 2 s, so a tick each quarter of a second is exact enough.
TICK_S = 0.25
# Limits usage reports to 64 a round, about 8 KB each `usage_interval_s`.
MAX_USAGE_REPORTS = 64
METRICS_THREADS = 2
STOP_LINGER_S = 0.5
# Longer than an entry's default shutdown_grace_s of 30 s.
CLOSE_LINK_AFTER_S = 60.0
REFUSALS = frozenset(reason.value for reason in RefusalReason)


class FromEntry(msgspec.Struct, frozen=True):
    """A message arrived from the entry at `address`."""

    address: str
    message: AnyMessage


class RequestEnded(msgspec.Struct, frozen=True):
    """The runner answered or failed."""

    request: RequestId
    ok: bool
    body: bytes


class BeginStop(msgspec.Struct, frozen=True):
    """The process was asked to stop; what runs may take `grace_s` seconds."""

    grace_s: float


TargetMessage = FromEntry | PartExit | RequestEnded | BeginStop


class AgentTask(Task[TargetMessage]):
    """Owns the agent core and the links to the entries."""

    def __init__(
        self,
        cfg: TargetSettings,
        worker: Worker,
        runners: dict[str, Runner],
        metrics: Metrics,
    ) -> None:
        super().__init__("agent", tick_s=TICK_S)
        info = WorkerInfo(
            TargetId(cfg.name),
            ZoneId(cfg.zone),
            RackId(cfg.rack),
            cfg.accelerators,
            cfg.cores,
            cfg.memory_gb,
            time.time_ns(),
        )
        self.agent = Agent(info, cfg.services)
        self._cfg = cfg
        self._worker = worker
        self._runners = runners
        self._metrics = metrics
        self._links: dict[str, Link] = {}
        self._tls = tls_files(cfg.tls_certificate, cfg.tls_key, cfg.tls_authority)
        self._sender = StatusSender()
        self._wanted: frozenset[str] = frozenset()
        self._unwanted_since: dict[str, float] = {}
        self._owner = ""
        self._status_at = 0.0
        self._usage_at = 0.0
        self._published: Counter[str] = Counter()
        self._empty = threading.Event()
        self._calls: set[threading.Thread] = set()
        worker.on_exit = self.send

    def start(self) -> None:
        """Dial the entries of the settings, then start the thread."""
        for address in self._cfg.entries:
            self._link(address)
        super().start()

    def drain(self, timeout_s: float) -> bool:
        """Refuse new work and wait until what runs has ended and is recorded."""
        self._empty.clear()
        self.send(BeginStop(timeout_s))
        return self._empty.wait(timeout_s)

    def handle(self, message: TargetMessage) -> None:
        """Handle one message."""
        now = time.monotonic()
        match message:
            case FromEntry():
                self._on_entry(message, now)
            case PartExit():
                actions = self.agent.part_ended(
                    message.job,
                    message.attempt,
                    message.part,
                    message.state,
                    now,
                    message.result,
                    message.run_s,
                    message.checkpointed,
                )
                self._carry_out(actions, self._owner)
            case RequestEnded():
                actions = self.agent.request_ended(message.request, message.ok, message.body, now)
                self._carry_out(actions, self._owner)
            case BeginStop():
                self._carry_out(self.agent.begin_stop(now, message.grace_s), self._owner)
                self._send_status(now)
        self._note_empty()

    def tick(self) -> None:
        """Send the status when due, and let the core expire what is overdue."""
        now = time.monotonic()
        # The core comes first: after a pause the status must show that the parts were stopped.
        self._carry_out(self.agent.tick(now), self._owner)
        if now - self._status_at >= self._cfg.status_interval_s:
            self._send_status(now)
        if now - self._usage_at >= self._cfg.usage_interval_s:
            self._report_usage(now)
        self._note_empty()

    def close(self) -> None:
        """Close the worker and the runners, and the links last."""
        for thread in list(self._calls):
            thread.join()
        self._worker.close()
        for runner in self._runners.values():
            runner.close()
        for link in self._links.values():
            link.stop()

    def _note_empty(self) -> None:
        if self.agent.stopping and self.agent.idle:
            self._empty.set()

    def _on_entry(self, message: FromEntry, now: float) -> None:
        address, content = message.address, message.message
        if isinstance(content, Welcome):
            self._sender.welcomed(address, content)
        elif isinstance(content, Renewal):
            welcome = self._sender.renewed(address, content)
            if welcome is None:
                self._resend_status(address, now)
                return
            content = welcome
        elif isinstance(content, StatusWanted):
            self._resend_status(address, now)
            return
        before = self._shown()
        actions = self.agent.handle(content, now, address)
        if isinstance(message.message, Welcome):
            actions += self._on_welcome(address, message.message, now)
        self._carry_out(actions, address)
        if before != self._shown():
            self._send_status(now)

    def _shown(self) -> tuple[object, ...]:
        """What a status is sent for as soon as it changes."""
        agent = self.agent
        return (agent.domain, agent.epoch, agent.version, agent.leaving, self._owner)

    def _on_welcome(self, address: str, message: Welcome, now: float) -> list[Action]:
        current = (message.domain, message.epoch) == (self.agent.domain, self.agent.epoch)
        actions: list[Action] = []
        if message.owner and current and self._owner != address:
            logs.change("owner changed", domain=message.domain, entry=message.entry)
            self._owner = address
            actions = self.agent.owner_changed(now)
        self._links[address].end = FarEnd(message.zone, message.cross_region)
        if message.entries and message.version == self.agent.version:
            self._wanted = frozenset(message.entries)
        self._review_links(now)
        return actions

    def _review_links(self, now: float) -> None:
        """Dial the wanted entries, and close links to others once a wanted one is connected.

        A connected link stays for a while: an entry that is stopping waits on it for answers under
        way. Without any wanted entry the target starts again from those of its settings.
        """
        for address in sorted(self._wanted):
            self._link(address)
        if not any(self._links[address].connected for address in self._wanted):
            for address in self._cfg.entries:
                self._link(address)
            self._unwanted_since.clear()
            return
        for address in self._links.keys() - self._wanted - {self._owner}:
            since = self._unwanted_since.setdefault(address, now)
            if not self._links[address].connected or now - since > CLOSE_LINK_AFTER_S:
                self._links.pop(address).stop()
                self._sender.forget(address)
        for address in self._unwanted_since.keys() - (self._links.keys() - self._wanted):
            del self._unwanted_since[address]

    def _link(self, address: str) -> None:
        if address in self._links:
            return
        link = Link(
            address, self._metrics, lambda name, msg: self.send(FromEntry(name, msg)), self._tls
        )
        self._links[address] = link
        link.start()

    def _send_status(self, now: float) -> None:
        self._status_at = now
        status = self._sender.number(self.agent.status(now))
        self._review_links(now)
        for address, link in self._links.items():
            if address not in self._unwanted_since:
                link.send(self._sender.message(address, status))
        self._publish_counters()

    def _resend_status(self, address: str, now: float) -> None:
        """Send a full status to an entry that lacks the one of a heartbeat."""
        self._sender.forget(address)
        link = self._links.get(address)
        if link is not None:
            link.send(self._sender.number(self.agent.status(now)))

    def _publish_counters(self) -> None:
        """Add what the core counted since the last time to the metrics."""
        for name, count in (self.agent.counters - self._published).items():
            reason = name.removeprefix("refused_")
            refusal = name != reason and reason in REFUSALS
            shown = f'refusals{{reason="{reason}"}}' if refusal else f"agent_{name}"
            self._metrics.count(shown, count)
        self._published = self.agent.counters.copy()

    def _report_usage(self, now: float) -> None:
        self._usage_at = now
        target = self.agent.worker.target
        for usage in self._worker.usage()[:MAX_USAGE_REPORTS]:
            report = UsageReport(target, usage.job, usage.part, usage.busy, usage.memory_gb)
            self._send(self._owner, report)

    def _carry_out(self, actions: list[Action], address: str) -> None:
        for action in actions:
            match action:
                case Reply():
                    self._send(action.link or address, action.message)
                case TellOwner():
                    self._send(self._owner, action.message)
                case StartPart():
                    self._worker.start_part(action.job, action.attempt, action.placement)
                case StopPart():
                    self._worker.stop_part(
                        action.job, action.attempt, action.part, action.checkpoint
                    )
                case RunProbe():
                    self._start_call(self._probe, address)
                case CallRunner():
                    self._start_runner(action)

    def _send(self, address: str, message: AnyMessage) -> None:
        link = self._links.get(address)
        if link is None or not link.send(message):
            self._metrics.count("message_undelivered")

    def _start_call(self, work: Callable[..., None], *args: object) -> None:
        """Run a call in a thread of its own; the admission core bounds them by the slots.

        The slots of all services may be more than any fixed pool has threads, and a request that
        waits for a thread would look like a running one.
        """
        self._calls = {thread for thread in self._calls if thread.is_alive()}
        thread = threading.Thread(target=work, args=args, name="runner", daemon=True)
        self._calls.add(thread)
        thread.start()

    def _start_runner(self, action: CallRunner) -> None:
        try:
            self._start_call(self._call_runner, action)
        except RuntimeError as exc:
            # The operating system gave no thread; the slot has to become free.
            self._metrics.count("runner_failed")
            self.send(RequestEnded(action.request.request, False, type(exc).__name__.encode()))

    def _probe(self, address: str) -> None:
        answer = ProbeAnswer(self.agent.worker.target, self._worker.probe())
        self._send(address, answer)

    def _call_runner(self, action: CallRunner) -> None:
        request = action.request
        try:
            body = self._runners[request.service].call(request.body, action.timeout_s)
            if not isinstance(body, bytes):
                raise TypeError("the runner's answer is not bytes")
        except BaseException as exc:
            # Whatever the runner raised, the slot has to become free and the caller answered. The
            # exception's own text may not be encodable.
            self._metrics.count("runner_failed")
            self.send(RequestEnded(request.request, False, type(exc).__name__.encode()))
            return
        self.send(RequestEnded(request.request, True, body))


class MetricsResource:
    """`/metrics` of a target process."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    @cherrypy.expose
    def metrics(self) -> bytes:
        """All metrics as Prometheus text."""
        cherrypy.response.headers["Content-Type"] = "text/plain; charset=utf-8"
        return self._metrics.render().encode()


class Target(Service):
    """A target process; `worker` and `runners` default to what the settings name."""

    def __init__(
        self,
        cfg: TargetSettings,
        worker: Worker | None = None,
        runners: dict[str, Runner] | None = None,
    ) -> None:
        self.kernel = Kernel()
        self.metrics = self.kernel.register("metrics", Metrics())
        self.worker = worker or standin_worker(cfg)
        self.runners = runners or runners_of(cfg.services, cfg.runner_urls)
        self._cfg = cfg
        self.task = self.kernel.register(
            "agent", AgentTask(cfg, self.worker, self.runners, self.metrics)
        )
        if cfg.metrics_address:
            resource = MetricsResource(self.metrics)
            self.kernel.register("web", WebServer(cfg.metrics_address, resource, METRICS_THREADS))

    def start(self) -> None:
        """Start all services."""
        self.kernel.start()
        logs.change("target started", zone=self._cfg.zone, rack=self._cfg.rack)

    def stop(self) -> None:
        """Drain within the grace time, then stop all services."""
        if not self.task.drain(self._cfg.shutdown_grace_s):
            logging.warning("target %s stops with work that did not end", self._cfg.name)
        # Requests sent before the entries saw that the target leaves are still refused, not lost.
        time.sleep(STOP_LINGER_S)
        self.kernel.stop()
        logs.change("target stopped")


def standin_worker(cfg: TargetSettings) -> StandinWorker:
    """The stand-in worker that the settings describe; raises SettingsError."""
    try:
        fault = WorkerFault(cfg.worker_fault)
    except ValueError as exc:
        names = ", ".join(fault.value for fault in WorkerFault if fault.value)
        raise SettingsError(
            f"[target] worker_fault = {cfg.worker_fault} is unknown", f"use one of: {names}"
        ) from exc
    folder = Path(cfg.worker_folder) if cfg.worker_folder else None
    return StandinWorker(folder=folder, fault=fault, usage_lag_s=cfg.worker_usage_lag_s)
