"""The target process: the shell around the agent core on one target VM."""

import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
from absl import logging

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
from comfreyshelf.ids import RackId, RequestId, TargetId, ZoneId
from comfreyshelf.kernel import Kernel, Service
from comfreyshelf.messages import AnyMessage, ProbeAnswer, RunRequest, Welcome
from comfreyshelf.metrics import Metrics
from comfreyshelf.model import WorkerInfo
from comfreyshelf.settings import TargetSettings
from comfreyshelf.tasks import Task
from comfreyshelf.transport import Link
from comfreyshelf.worker import PartExit, Runner, StandinRunner, StandinWorker, Worker

RUNNER_THREADS = 8


class FromEntry(msgspec.Struct, frozen=True):
    """A message arrived from the entry at `address`."""

    address: str
    message: AnyMessage


class RequestEnded(msgspec.Struct, frozen=True):
    """The runner answered or failed."""

    address: str
    request: RequestId
    ok: bool
    body: bytes


TargetMessage = FromEntry | PartExit | RequestEnded


class AgentTask(Task[TargetMessage]):
    """Owns the agent core and the links to the entries."""

    def __init__(
        self,
        cfg: TargetSettings,
        worker: Worker,
        runners: dict[str, Runner],
        metrics: Metrics,
    ) -> None:
        super().__init__("agent", tick_s=0.1)
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
        self._owner = ""
        self._status_at = 0.0
        self._pool = ThreadPoolExecutor(RUNNER_THREADS, "runner")
        worker.on_exit = self.send

    def start(self) -> None:
        """Dial the entries of the settings, then start the thread."""
        for address in self._cfg.entries:
            self._link(address)
        super().start()

    def drain(self, timeout_s: float) -> bool:
        """Refuse new work and wait until what runs has ended and is recorded."""
        self.agent.stopping = True
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if self.agent.idle:
                return True
            time.sleep(0.05)
        return self.agent.idle

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
                self._carry_out(actions, message.address)

    def tick(self) -> None:
        """Send the status when due, and let the core expire what is overdue."""
        now = time.monotonic()
        if now - self._status_at >= self._cfg.status_interval_s:
            self._send_status(now)
        self._carry_out(self.agent.tick(now), self._owner)

    def close(self) -> None:
        """Close the links and the worker."""
        for link in self._links.values():
            link.stop()
        self._pool.shutdown(wait=True)
        self._worker.close()

    def _on_entry(self, message: FromEntry, now: float) -> None:
        before = (self.agent.epoch, self.agent.version, self.agent.draining, self._owner)
        actions = self.agent.handle(message.message, now)
        if isinstance(message.message, Welcome):
            self._on_welcome(message.address, message.message)
        self._carry_out(actions, message.address)
        if before != (self.agent.epoch, self.agent.version, self.agent.draining, self._owner):
            self._send_status(now)

    def _on_welcome(self, address: str, message: Welcome) -> None:
        if message.owner and message.epoch == self.agent.epoch and self._owner != address:
            logging.info("entry %s owns domain %s", message.entry, message.domain)
            self._owner = address
        for entry in message.entries:
            self._link(entry)
        for address_ in set(self._links) - set(message.entries) - set(self._cfg.entries):
            if message.version == self.agent.version and message.entries:
                self._links.pop(address_).stop()

    def _link(self, address: str) -> None:
        if address in self._links:
            return
        link = Link(address, self._metrics, lambda name, msg: self.send(FromEntry(name, msg)))
        self._links[address] = link
        link.start()

    def _send_status(self, now: float) -> None:
        self._status_at = now
        status = self.agent.status(now)
        for link in self._links.values():
            link.send(status)

    def _carry_out(self, actions: list[Action], address: str) -> None:
        for action in actions:
            match action:
                case Reply():
                    self._send(address, action.message)
                case TellOwner():
                    self._send(self._owner, action.message)
                case StartPart():
                    self._worker.start_part(action.job, action.attempt, action.placement)
                case StopPart():
                    self._worker.stop_part(
                        action.job, action.attempt, action.part, action.checkpoint
                    )
                case RunProbe():
                    answer = ProbeAnswer(self.agent.worker.target, self._worker.probe())
                    self._send(self._owner, answer)
                case CallRunner():
                    self._pool.submit(self._call_runner, action.request, address)

    def _send(self, address: str, message: AnyMessage) -> None:
        link = self._links.get(address)
        if link is None or not link.send(message):
            self._metrics.count("message_undelivered")

    def _call_runner(self, request: RunRequest, address: str) -> None:
        runner = self._runners[request.service]
        try:
            body = runner.call(request.body, request.timeout_s)
        except (OSError, TimeoutError) as exc:
            self._metrics.count("runner_failed")
            self.send(RequestEnded(address, request.request, False, str(exc).encode()))
            return
        self.send(RequestEnded(address, request.request, True, body))


class Target(Service):
    """A target process; `worker` and `runners` default to stand-ins."""

    def __init__(
        self,
        cfg: TargetSettings,
        worker: Worker | None = None,
        runners: dict[str, Runner] | None = None,
    ) -> None:
        self.kernel = Kernel()
        self.metrics = self.kernel.register("metrics", Metrics())
        self.worker = worker or StandinWorker()
        self.runners = runners or {name: StandinRunner() for name in cfg.services}
        self._cfg = cfg
        self.task = self.kernel.register(
            "agent", AgentTask(cfg, self.worker, self.runners, self.metrics)
        )

    def start(self) -> None:
        """Start all services."""
        self.kernel.start()
        logging.info("target %s started in zone %s", self._cfg.name, self._cfg.zone)

    def stop(self) -> None:
        """Drain within the grace time, then stop all services."""
        if not self.task.drain(self._cfg.shutdown_grace_s):
            logging.warning("target %s stops with work that did not end", self._cfg.name)
        self.kernel.stop()
        logging.info("target %s stopped", self._cfg.name)
