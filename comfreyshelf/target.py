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
    SendToOwner,
    StartPart,
    StopPart,
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
LATE_REQUEST_GRACE_S = 0.5
# Longer than an entry's default shutdown_grace_s of 30 s.
UNWANTED_LINK_TIMEOUT_S = 60.0
REFUSAL_REASONS = frozenset(reason.value for reason in RefusalReason)


class EntryMessageReceived(msgspec.Struct, frozen=True):
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


TargetMessage = EntryMessageReceived | PartExit | RequestEnded | BeginStop


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
        self._status_sender = StatusSender()
        self._wanted_addresses: frozenset[str] = frozenset()
        self._unwanted_since: dict[str, float] = {}
        self._owner_address = ""
        self._status_sent_at = 0.0
        self._usage_sent_at = 0.0
        self._published_counters: Counter[str] = Counter()
        self._drained = threading.Event()
        self._call_threads: set[threading.Thread] = set()
        worker.on_exit = self.send

    def start(self) -> None:
        """Dial the entries of the settings, then start the thread."""
        for address in self._cfg.entries:
            self._ensure_link(address)
        super().start()

    def drain(self, timeout_s: float) -> bool:
        """Refuse new work and wait until what runs has ended and is recorded."""
        self._drained.clear()
        self.send(BeginStop(timeout_s))
        return self._drained.wait(timeout_s)

    def handle(self, message: TargetMessage) -> None:
        """Handle one message."""
        now = time.monotonic()
        match message:
            case EntryMessageReceived():
                self._on_entry_message(message, now)
            case PartExit():
                actions = self.agent.on_part_ended(
                    message.job,
                    message.attempt,
                    message.part,
                    message.state,
                    now,
                    message.result,
                    message.run_s,
                    message.checkpointed,
                )
                self._execute(actions, self._owner_address)
            case RequestEnded():
                actions = self.agent.on_request_ended(
                    message.request, message.ok, message.body, now
                )
                self._execute(actions, self._owner_address)
            case BeginStop():
                self._execute(self.agent.begin_stop(now, message.grace_s), self._owner_address)
                self._send_status(now)
        self._check_drained()

    def tick(self) -> None:
        """Send the status when due, and let the core expire what is overdue."""
        now = time.monotonic()
        # The core comes first: after a pause the status must show that the parts were stopped.
        self._execute(self.agent.tick(now), self._owner_address)
        if now - self._status_sent_at >= self._cfg.status_interval_s:
            self._send_status(now)
        if now - self._usage_sent_at >= self._cfg.usage_interval_s:
            self._report_usage(now)
        self._check_drained()

    def close(self) -> None:
        """Close the worker and the runners, and the links last."""
        for thread in list(self._call_threads):
            thread.join()
        self._worker.close()
        for runner in self._runners.values():
            runner.close()
        for link in self._links.values():
            link.stop()

    def _check_drained(self) -> None:
        if self.agent.is_stopping and self.agent.is_idle:
            self._drained.set()

    def _on_entry_message(self, message: EntryMessageReceived, now: float) -> None:
        address, content = message.address, message.message
        if isinstance(content, Welcome):
            self._status_sender.welcomed(address, content)
        elif isinstance(content, Renewal):
            welcome = self._status_sender.renewed(address, content)
            if welcome is None:
                self._resend_status(address, now)
                return
            content = welcome
        elif isinstance(content, StatusWanted):
            self._resend_status(address, now)
            return
        before = self._status_trigger()
        actions = self.agent.handle(content, now, address)
        if isinstance(message.message, Welcome):
            actions += self._on_welcome(address, message.message, now)
        self._execute(actions, address)
        if before != self._status_trigger():
            self._send_status(now)

    def _status_trigger(self) -> tuple[object, ...]:
        """What a status is sent for as soon as it changes."""
        agent = self.agent
        return (agent.domain, agent.epoch, agent.version, agent.is_leaving, self._owner_address)

    def _on_welcome(self, address: str, message: Welcome, now: float) -> list[Action]:
        is_current = (message.domain, message.epoch) == (self.agent.domain, self.agent.epoch)
        actions: list[Action] = []
        if message.owner and is_current and self._owner_address != address:
            logs.change("owner changed", domain=message.domain, entry=message.entry)
            self._owner_address = address
            actions = self.agent.on_owner_changed(now)
        self._links[address].end = FarEnd(message.zone, message.cross_region)
        if message.entries and message.version == self.agent.version:
            self._wanted_addresses = frozenset(message.entries)
        self._reconcile_links(now)
        return actions

    def _reconcile_links(self, now: float) -> None:
        """Dial the wanted entries, and close links to others once a wanted one is connected.

        A connected link stays for a while: an entry that is stopping waits on it for answers under
        way. Without any wanted entry the target starts again from those of its settings.
        """
        for address in sorted(self._wanted_addresses):
            self._ensure_link(address)
        if not any(self._links[address].connected for address in self._wanted_addresses):
            for address in self._cfg.entries:
                self._ensure_link(address)
            self._unwanted_since.clear()
            return
        for address in self._links.keys() - self._wanted_addresses - {self._owner_address}:
            since = self._unwanted_since.setdefault(address, now)
            if not self._links[address].connected or now - since > UNWANTED_LINK_TIMEOUT_S:
                self._links.pop(address).stop()
                self._status_sender.forget(address)
        for address in self._unwanted_since.keys() - (self._links.keys() - self._wanted_addresses):
            del self._unwanted_since[address]

    def _ensure_link(self, address: str) -> None:
        if address in self._links:
            return
        link = Link(
            address,
            self._metrics,
            lambda name, msg: self.send(EntryMessageReceived(name, msg)),
            self._tls,
        )
        self._links[address] = link
        link.start()

    def _send_status(self, now: float) -> None:
        self._status_sent_at = now
        status = self._status_sender.number(self.agent.status(now))
        self._reconcile_links(now)
        for address, link in self._links.items():
            if address not in self._unwanted_since:
                link.send(self._status_sender.message(address, status))
        self._publish_counters()

    def _resend_status(self, address: str, now: float) -> None:
        """Send a full status to an entry that lacks the one of a heartbeat."""
        self._status_sender.forget(address)
        link = self._links.get(address)
        if link is not None:
            link.send(self._status_sender.number(self.agent.status(now)))

    def _publish_counters(self) -> None:
        """Add what the core counted since the last time to the metrics."""
        for name, count in (self.agent.counters - self._published_counters).items():
            reason = name.removeprefix("refused_")
            is_refusal = name != reason and reason in REFUSAL_REASONS
            metric = f'refusals{{reason="{reason}"}}' if is_refusal else f"agent_{name}"
            self._metrics.count(metric, count)
        self._published_counters = self.agent.counters.copy()

    def _report_usage(self, now: float) -> None:
        self._usage_sent_at = now
        target = self.agent.worker.target
        for usage in self._worker.usage()[:MAX_USAGE_REPORTS]:
            report = UsageReport(target, usage.job, usage.part, usage.busy, usage.memory_gb)
            self._send(self._owner_address, report)

    def _execute(self, actions: list[Action], address: str) -> None:
        for action in actions:
            match action:
                case Reply():
                    self._send(action.link or address, action.message)
                case SendToOwner():
                    self._send(self._owner_address, action.message)
                case StartPart():
                    self._worker.start_part(action.job, action.attempt, action.placement)
                case StopPart():
                    self._worker.stop_part(
                        action.job, action.attempt, action.part, action.checkpoint
                    )
                case RunProbe():
                    self._run_in_thread(self._probe, address)
                case CallRunner():
                    self._start_runner_call(action)

    def _send(self, address: str, message: AnyMessage) -> None:
        link = self._links.get(address)
        if link is None or not link.send(message):
            self._metrics.count("message_undelivered")

    def _run_in_thread(self, function: Callable[..., None], *args: object) -> None:
        """Run a call in a thread of its own; the admission core bounds them by the slots.

        The slots of all services may be more than any fixed pool has threads, and a request that
        waits for a thread would look like a running one.
        """
        self._call_threads = {thread for thread in self._call_threads if thread.is_alive()}
        thread = threading.Thread(target=function, args=args, name="runner", daemon=True)
        self._call_threads.add(thread)
        thread.start()

    def _start_runner_call(self, action: CallRunner) -> None:
        try:
            self._run_in_thread(self._call_runner, action)
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
        self.worker = worker or create_standin_worker(cfg)
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
        time.sleep(LATE_REQUEST_GRACE_S)
        self.kernel.stop()
        logs.change("target stopped")


def create_standin_worker(cfg: TargetSettings) -> StandinWorker:
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
