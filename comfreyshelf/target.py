"""The target process: connects the agent of one target to its entries, worker and runners."""

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
from comfreyshelf.metrics import LinkPeer, Metrics
from comfreyshelf.model import WorkerInfo
from comfreyshelf.reasons import RefusalReason
from comfreyshelf.runner import Runner, create_runners
from comfreyshelf.settings import TargetSettings
from comfreyshelf.tasks import Task
from comfreyshelf.tls import load_tls_files
from comfreyshelf.transport import Link
from comfreyshelf.web import WebServer
from comfreyshelf.worker import PartExit, StandinWorker, Worker, WorkerFault

# The shortest time limit of the agent is 2 s, so this resolution is sufficient.
TICK_S = 0.25
# Limits the reports to about 8 KB in each `usage_interval_s`.
MAX_USAGE_REPORTS = 64
METRICS_THREADS = 2
# On shutdown, the target process stays up for this long after it is drained, to refuse requests
# that entries sent before they learned that it is leaving. Otherwise they would get no answer.
LATE_REQUEST_GRACE_S = 0.5
# Longer than the default `shutdown_grace_s` of an entry, 30 s, during which the entry still waits
# for answers on the link.
UNWANTED_LINK_TIMEOUT_S = 60.0
REFUSAL_REASONS = frozenset(reason.value for reason in RefusalReason)


class EntryMessageReceived(msgspec.Struct, frozen=True):
    """A message from the entry at `address`."""

    address: str
    message: AnyMessage


class RequestEnded(msgspec.Struct, frozen=True):
    """A runner answered or failed; in case of failure `body` is the name of the exception."""

    request: RequestId
    ok: bool
    body: bytes


class BeginStop(msgspec.Struct, frozen=True):
    """The process was asked to stop; running work has `grace_s` seconds to end."""

    grace_s: float


TargetMessage = EntryMessageReceived | PartExit | RequestEnded | BeginStop


class AgentTask(Task[TargetMessage]):
    """Runs the agent and its actions, and keeps the links to the entries, all in one thread."""

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
        self._tls = load_tls_files(cfg.tls_certificate, cfg.tls_key, cfg.tls_authority)
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
        """Dial the entries that the settings name, then start the thread."""
        for address in self._cfg.entries:
            self._ensure_link(address)
        super().start()

    def drain(self, timeout_s: float) -> bool:
        """Refuse new work; wait until running work has ended and its results are recorded.

        Returns False if that takes longer than `timeout_s`.
        """
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
        self._signal_if_drained()

    def tick(self) -> None:
        """Run the agent's periodic work, and send the status and the usage reports when due."""
        now = time.monotonic()
        # The agent runs before the status is sent: if the lease lapsed while the process was
        # paused, the status must show that the parts were stopped.
        self._execute(self.agent.tick(now), self._owner_address)
        if now - self._status_sent_at >= self._cfg.status_interval_s:
            self._send_status(now)
        if now - self._usage_sent_at >= self._cfg.usage_interval_s:
            self._report_usage(now)
        self._signal_if_drained()

    def close(self) -> None:
        """Close the worker, the runners and, last, the links."""
        for thread in list(self._call_threads):
            thread.join()
        self._worker.close()
        for runner in self._runners.values():
            runner.close()
        for link in self._links.values():
            link.stop()

    def _signal_if_drained(self) -> None:
        if self.agent.is_stopping and self.agent.is_idle:
            self._drained.set()

    def _on_entry_message(self, message: EntryMessageReceived, now: float) -> None:
        address, content = message.address, message.message
        if isinstance(content, Welcome):
            self._status_sender.on_welcome(address, content)
        elif isinstance(content, Renewal):
            welcome = self._status_sender.expand_renewal(address, content)
            if welcome is None:
                self._resend_status(address, now)
                return
            content = welcome
        elif isinstance(content, StatusWanted):
            self._resend_status(address, now)
            return
        before = self._status_trigger_values()
        actions = self.agent.handle(content, now, address)
        if isinstance(message.message, Welcome):
            actions += self._on_welcome(address, message.message, now)
        self._execute(actions, address)
        if before != self._status_trigger_values():
            self._send_status(now)

    def _status_trigger_values(self) -> tuple[object, ...]:
        """The values whose change makes the target send a status at once."""
        agent = self.agent
        return (agent.domain, agent.epoch, agent.version, agent.is_leaving, self._owner_address)

    def _on_welcome(self, address: str, message: Welcome, now: float) -> list[Action]:
        is_current = (message.domain, message.epoch) == (self.agent.domain, self.agent.epoch)
        actions: list[Action] = []
        if message.owner and is_current and self._owner_address != address:
            logs.log_event("owner changed", domain=message.domain, entry=message.entry)
            self._owner_address = address
            actions = self.agent.on_owner_changed(now)
        self._links[address].peer = LinkPeer(message.zone, message.cross_region)
        if message.entries and message.version == self.agent.version:
            self._wanted_addresses = frozenset(message.entries)
        self._reconcile_links(now)
        return actions

    def _reconcile_links(self, now: float) -> None:
        """Dial the entries of the newest welcome, and close the links to others.

        No link is closed before one of the wanted entries is connected. A link that is still
        connected stays open for UNWANTED_LINK_TIMEOUT_S, because an entry that is stopping may
        wait for answers on it. While no wanted entry is connected, the target also dials those of
        its settings.
        """
        for address in sorted(self._wanted_addresses):
            self._ensure_link(address)
        if not any(self._links[address].is_connected for address in self._wanted_addresses):
            for address in self._cfg.entries:
                self._ensure_link(address)
            self._unwanted_since.clear()
            return
        for address in self._links.keys() - self._wanted_addresses - {self._owner_address}:
            since = self._unwanted_since.setdefault(address, now)
            if not self._links[address].is_connected or now - since > UNWANTED_LINK_TIMEOUT_S:
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
        status = self._status_sender.with_sequence(self.agent.status(now))
        self._reconcile_links(now)
        for address, link in self._links.items():
            if address not in self._unwanted_since:
                link.send(self._status_sender.message_for(address, status))
        self._publish_counters()

    def _resend_status(self, address: str, now: float) -> None:
        """Send a full status, because one end refers to a message that the other end lacks."""
        self._status_sender.forget(address)
        link = self._links.get(address)
        if link is not None:
            link.send(self._status_sender.with_sequence(self.agent.status(now)))

    def _publish_counters(self) -> None:
        """Add the increase of the agent's counters since the last call to the metrics."""
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
        """Run a function in a new thread.

        Admission limits the number of requests by the slots. A thread pool could have fewer threads
        than all services together have slots, and a request that waits for a thread would count as
        running.
        """
        self._call_threads = {thread for thread in self._call_threads if thread.is_alive()}
        thread = threading.Thread(target=function, args=args, name="runner", daemon=True)
        self._call_threads.add(thread)
        thread.start()

    def _start_runner_call(self, action: CallRunner) -> None:
        try:
            self._run_in_thread(self._call_runner, action)
        except RuntimeError as exc:
            # The operating system cannot start a thread; the slot has to be freed all the same.
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
                raise TypeError("the runner did not return bytes")
        except BaseException as exc:
            # Whatever the runner raised, the slot has to be freed and the caller answered. Only the
            # name of the exception is sent, because its text may not be encodable.
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
    """A target process; `worker` and `runners` default to those that the settings name."""

    def __init__(
        self,
        cfg: TargetSettings,
        worker: Worker | None = None,
        runners: dict[str, Runner] | None = None,
    ) -> None:
        self.kernel = Kernel()
        self.metrics = self.kernel.register("metrics", Metrics())
        self.worker = worker or create_standin_worker(cfg)
        self.runners = runners or create_runners(cfg.services, cfg.runner_urls)
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
        logs.log_event("target started", zone=self._cfg.zone, rack=self._cfg.rack)

    def stop(self) -> None:
        """Drain within the grace time, then stop all services."""
        if not self.task.drain(self._cfg.shutdown_grace_s):
            logging.warning(
                "target %s stops: its work did not end within shutdown_grace_s", self._cfg.name
            )
        time.sleep(LATE_REQUEST_GRACE_S)
        self.kernel.stop()
        logs.log_event("target stopped")


def create_standin_worker(cfg: TargetSettings) -> StandinWorker:
    """Create the stand-in worker that the settings describe; raises SettingsError."""
    try:
        fault = WorkerFault(cfg.worker_fault)
    except ValueError as exc:
        names = ", ".join(fault.value for fault in WorkerFault if fault.value)
        raise SettingsError(
            f"[target] worker_fault = {cfg.worker_fault} is unknown", f"use one of: {names}"
        ) from exc
    folder = Path(cfg.worker_folder) if cfg.worker_folder else None
    return StandinWorker(folder=folder, fault=fault, usage_lag_s=cfg.worker_usage_lag_s)
