"""Simulates time, network, log and processes around the real cores of entries and targets."""

import heapq
import random
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from types import SimpleNamespace
from typing import Any
from unittest import mock

from comfreyshelf import (
    entry,
    journal,
    membership,
    owner,
    requests_api,
    router,
    snapshotter,
    target,
)
from comfreyshelf.agent import CallRunner, HeldAttempt
from comfreyshelf.entry import Entry
from comfreyshelf.errors import LogUnavailableError
from comfreyshelf.front import FrontEnd
from comfreyshelf.ids import Attempt, JobId, Offset, RequestId, TargetId, Version, ZoneId
from comfreyshelf.journal import Appender, LedgerReader, PendingAppend
from comfreyshelf.ledger import Ledger
from comfreyshelf.log import MAX_READ_RECORDS, LogClient, Page
from comfreyshelf.membership import Roster
from comfreyshelf.messages import (
    AnyMessage,
    Heartbeat,
    Status,
    decode_message,
    encode_message,
)
from comfreyshelf.metrics import Metrics
from comfreyshelf.model import Job, PartState, Placement
from comfreyshelf.owner import Owner
from comfreyshelf.ownership import Ownership
from comfreyshelf.records import SnapshotChunk, decode_record
from comfreyshelf.requests_api import Services
from comfreyshelf.router import Router
from comfreyshelf.settings import EntrySettings, TargetSettings
from comfreyshelf.snapshotter import Snapshotter
from comfreyshelf.target import (
    LATE_REQUEST_GRACE_S,
    AgentTask,
    BeginStop,
    EntryMessageReceived,
    RequestEnded,
)
from comfreyshelf.worker import PartExit, PartUsage, Worker, standin_part_result
from features.history.events import (
    ConfigRead,
    Crashed,
    EntryEnded,
    HistoryEvent,
    PartExited,
    PartsReleased,
    PartsReserved,
    PartStarted,
    Recorded,
    RunnerEnded,
    RunnerStarted,
    WorkerDown,
    WorkerUp,
)
from features.history.fibers import Fiber, Killed, SimFuture, sleep
from features.history.plan import When

START_TIME_S = 1_000_000.0
TICK_S = 0.2
# An armed fault that no append or send triggers within this time takes effect by itself.
ARMED_FAULT_TIMEOUT_S = 6.0
# A run takes about 10,000 steps, and one with the log down for an hour about 100,000.
MAX_STEPS = 400_000
# Short, so that entries append a snapshot every 10 s and each history contains some.
RETENTION_S = 40.0


class World:
    """An event loop in virtual time; replaces the modules `time` and `uuid` in the cores."""

    def __init__(self, seed: int) -> None:
        self.now = START_TIME_S
        self.rng = random.Random(seed)
        self.history: list[HistoryEvent] = []
        self.processes: dict[str, Process] = {}
        self.log = LogModel(self)
        self.tick_s = TICK_S
        self.cut_links: set[str] = set()
        # Probabilities that a message is lost, sent twice or delayed.
        self.lost = 0.0
        self.doubled = 0.0
        self.delayed = 0.0
        self.bad_workers: set[str] = set()
        self.fibers: list[Fiber] = []
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._last_serial = 0
        self._steps = 0
        self._last_arrivals: dict[tuple[str, str], float] = {}
        self._stack = ExitStack()

    def __enter__(self) -> "World":
        clock = mock.Mock(
            monotonic=lambda: self.now,
            time=lambda: self.now,
            perf_counter=lambda: self.now,
            time_ns=self.next_serial,
            sleep=sleep,
        )
        for module in (
            entry,
            journal,
            membership,
            owner,
            requests_api,
            router,
            snapshotter,
            target,
        ):
            if hasattr(module, "time"):
                self._stack.enter_context(mock.patch.object(module, "time", clock))
            if hasattr(module, "Future"):
                self._stack.enter_context(mock.patch.object(module, "Future", SimFuture))
        # Use the fiber's name, which is the submission's id, as the id of the request to a runner,
        # so that the events of runners can be matched with submissions.
        ids = mock.Mock(uuid4=lambda: SimpleNamespace(hex=Fiber.current.name))  # type: ignore[union-attr]
        self._stack.enter_context(mock.patch.object(requests_api, "uuid", ids))
        return self

    def __exit__(self, *_: object) -> None:
        for fiber in self.fibers:
            if not fiber.done:
                fiber.cancel()
        self._stack.close()

    def next_serial(self) -> int:
        """Return a number that was not returned before."""
        self._last_serial += 1
        return self._last_serial

    def record(self, event: HistoryEvent) -> None:
        """Append an event to the history."""
        self.history.append(event)

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        """Run `action` after `delay` seconds."""
        self._sequence += 1
        heapq.heappush(self._scheduled, (self.now + delay, self._sequence, action))

    def run_until(self, end: float) -> None:
        """Run every action that is due by `end`, then set the time to `end`."""
        while self._scheduled and self._scheduled[0][0] <= end:
            self.now, _, action = heapq.heappop(self._scheduled)
            self._steps += 1
            if self._steps > MAX_STEPS:
                self.record(Crashed(self.now, "world", f"more than {MAX_STEPS} steps"))
                self._scheduled.clear()
                break
            action()
        self.now = end

    def transmit(self, sender: str, receiver: str, message: AnyMessage) -> None:
        """Deliver a message between an entry and a target, subject to the active network faults."""
        if f"{sender}-{receiver}" in self.cut_links or f"{receiver}-{sender}" in self.cut_links:
            return
        if self.rng.random() < self.lost:
            return
        data = encode_message(message)
        for _ in range(2 if self.rng.random() < self.doubled else 1):
            delay = self.rng.uniform(0.001, 0.004)
            if self.rng.random() < self.delayed:
                delay += self.rng.uniform(0.0, 6.0)
            else:
                # Messages on a link arrive in order, except those that a fault delays.
                arrival = max(self.now + delay, self._last_arrivals.get((sender, receiver), 0.0))
                self._last_arrivals[sender, receiver] = arrival
                delay = arrival - self.now
            self.call_later(delay, lambda: self._deliver(sender, receiver, data))

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        process = self.processes.get(receiver)
        if process is not None and sender in self.processes:
            process.step(lambda: process.receive(sender, decode_message(data)))

    def record_log(self) -> None:
        """Add the log's records to the history, with the verdicts of a replay without faults."""
        ledger = Ledger()
        for offset, (time, data) in enumerate(self.log.records):
            record = decode_record(data)
            verdict = ledger.apply(Offset(offset), record)
            if verdict.reason != "repeated":
                self.record(Recorded(time, verdict.accepted, record.body))
        self.history.sort(key=lambda event: event.time)


class LogModel:
    """The log: records with the times from which they are visible, and its active faults."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.records: list[tuple[float, bytes]] = []
        self.oldest = 0
        self.retention_s = RETENTION_S
        self.down = False
        # Seconds until an appended record is visible.
        self.lag = 0.0
        # Probabilities that an append's answer is lost, and that its batch is added twice.
        self.lose_answers = 0.0
        self.late = 0.0

    def append(self, batch: Sequence[bytes]) -> None:
        """Append a batch; raises LogUnavailableError if the batch or only its answer is lost."""
        world = self.world
        if self.down:
            raise LogUnavailableError("the log is down", "wait")
        lost = world.rng.random() < self.lose_answers
        if lost and world.rng.random() < 0.3:
            raise LogUnavailableError("the batch was lost", "wait")
        self._add(batch)
        if world.rng.random() < self.late:
            copy = list(batch)
            world.call_later(world.rng.uniform(0.5, 6.0), lambda: self._add(copy))
        if lost:
            raise LogUnavailableError("the answer was lost", "wait")

    def _add(self, batch: Sequence[bytes]) -> None:
        self.records += [(self.world.now + self.lag, data) for data in batch]

    def expire(self) -> None:
        """Drop the records that the newest snapshot covers, before their retention has ended."""
        covers = [
            record.body.covers
            for _, data in self.records
            if isinstance((record := decode_record(data)).body, SnapshotChunk)
            and record.body.index == record.body.count - 1
        ]
        self.oldest = max(self.oldest, *covers, 0)

    def read(self, offset: int) -> Page:
        """Read the records from `offset` that are visible now."""
        if self.down:
            raise LogUnavailableError("the log is down", "wait")
        while self.records and self.records[self.oldest][0] < self.world.now - self.retention_s:
            self.oldest += 1
            if self.oldest == len(self.records):
                break
        first = max(offset, self.oldest)
        items = []
        for index in range(first, min(len(self.records), first + MAX_READ_RECORDS)):
            time, data = self.records[index]
            if time > self.world.now:
                break
            items.append((index, data))
        return Page(items, first + len(items), self.oldest)


class Process:
    """A process that a fault can kill or freeze, also between an append and a send of one step."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.alive = True
        self.frozen_until = 0.0
        self.armed_fault: tuple[When, int, float] | None = None
        self.instance = f"{name}/{world.next_serial()}"
        self._config_read = (-1, 0.0)
        world.processes[name] = self

    def step(self, action: Callable[[], None]) -> None:
        """Run `action` unless the process has ended; a frozen process runs it after the freeze."""
        if not self.alive:
            return
        if self.world.now < self.frozen_until:
            self.world.call_later(self.frozen_until - self.world.now, lambda: self.step(action))
            return
        try:
            action()
        except Killed:
            self.end(planned=False)
        except Exception as exc:  # check_crashes reports it.
            self.world.record(Crashed(self.world.now, self.name, f"{type(exc).__name__}: {exc}"))

    def arm_fault(self, when: When, count: int, freeze_s: float) -> None:
        """Kill or freeze the process at its `count`-th append or send from now on.

        It is killed if `freeze_s` is 0. Without enough appends or sends, the fault takes effect
        after ARMED_FAULT_TIMEOUT_S.
        """
        if when is When.AT_ONCE:
            self.trigger_fault(freeze_s)
            return
        self.armed_fault = (when, count, freeze_s)
        self.world.call_later(ARMED_FAULT_TIMEOUT_S, lambda: self._trigger_overdue_fault(freeze_s))

    def _trigger_overdue_fault(self, freeze_s: float) -> None:
        if self.alive and self.armed_fault is not None:
            self.armed_fault = None
            self.trigger_fault(freeze_s)

    def trigger_fault(self, freeze_s: float) -> None:
        """Freeze the process for `freeze_s` seconds, or kill it if that is 0."""
        if freeze_s > 0:
            self.frozen_until = self.world.now + freeze_s
        else:
            self.end(planned=False)

    def on_effect(self, when: When) -> None:
        """Count an append or a send, and trigger the armed fault at its `count`-th one."""
        if self.armed_fault is None or self.armed_fault[0] is not when:
            return
        _, count, freeze_s = self.armed_fault
        if count > 1:
            self.armed_fault = (when, count - 1, freeze_s)
            return
        self.armed_fault = None
        if freeze_s <= 0:
            raise Killed
        self.trigger_fault(freeze_s)

    def transmit(self, receiver: str, message: AnyMessage) -> bool:
        """Send a message; a frozen process sends it when the freeze ends."""
        self.on_effect(When.SEND)
        if not self.alive:
            return False
        delay = max(0.0, self.frozen_until - self.world.now)
        if delay:
            name = self.name
            self.world.call_later(delay, lambda: self.world.transmit(name, receiver, message))
        else:
            self.world.transmit(self.name, receiver, message)
        return True

    def every_tick(self, action: Callable[[], None]) -> None:
        """Run `action` every `tick_s` seconds, from a random offset on."""

        def run() -> None:
            action()
            self.world.call_later(self.world.tick_s, lambda: self.step(run))

        self.world.call_later(self.world.rng.uniform(0, self.world.tick_s), lambda: self.step(run))

    def record_config(self, version: int, text: str) -> None:
        """Record the version in force when it changes, and at least once a second."""
        known, at = self._config_read
        if version != known or self.world.now - at >= 1.0:
            self._config_read = (version, self.world.now)
            self.world.record(ConfigRead(self.world.now, self.instance, Version(version), text))

    def end(self, planned: bool) -> None:
        """End the process."""
        self.alive = False
        if self.world.processes.get(self.name) is self:
            del self.world.processes[self.name]

    def receive(self, sender: str, message: AnyMessage) -> None:
        """Handle a message."""


class ProcessLog(LogClient):
    """The log client of one process, whose link to the log can be cut."""

    def __init__(self, process: Process) -> None:
        self._process = process

    def _check_reachable(self) -> None:
        if f"{self._process.name}-log" in self._process.world.cut_links:
            raise LogUnavailableError("the link to the log is cut", "wait")

    def append(self, batch: Sequence[bytes]) -> list[Offset]:
        self._check_reachable()
        try:
            self._process.world.log.append(batch)
        finally:
            self._process.on_effect(When.APPEND)
        return []

    def read(self, offset: Offset, wait_s: float = 0.0) -> Page:
        self._check_reachable()
        return self._process.world.log.read(offset)


class SimAppender(Appender):
    """Handles each append at once instead of in a thread."""

    def send(self, message: PendingAppend) -> None:
        self.handle(message)


class SimHub:
    """The pipes of an entry; a target has one from its first message until its process ends."""

    def __init__(self, process: Process) -> None:
        self._process = process
        self._pipes: dict[TargetId, Process] = {}

    def connected(self, target: str) -> None:
        """Open a pipe to the process that now runs under the target's name."""
        process = self._process.world.processes.get(target)
        if process is not None:
            self._pipes[TargetId(target)] = process

    def targets(self) -> list[TargetId]:
        return [target for target, process in self._pipes.items() if process.alive]

    @property
    def revision(self) -> int:
        """A number that differs whenever the set of pipes may have changed."""
        return self._process.world.next_serial()

    def is_connected(self, target: TargetId) -> bool:
        return target in self.targets()

    def send(self, target: TargetId, message: AnyMessage) -> bool:
        return target in self.targets() and self._process.transmit(target, message)


class EntrySim(Process):
    """An entry: the real components without their threads, with blocking calls in fibers."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        super().__init__(world, name)
        cfg = EntrySettings(name, zone, name, name, "", log_retention_s=world.log.retention_s)
        metrics = Metrics()
        log = ProcessLog(self)
        writer = self.instance
        self.reader = LedgerReader(log, metrics)
        self.reader.wait = lambda seconds: None  # type: ignore[method-assign]
        self.appender = SimAppender(writer, log, self.reader, metrics)
        self.roster = Roster()
        self.owner = Owner(cfg, writer, self.reader, self.appender, self.roster, metrics)
        self.router = Router(ZoneId(zone), self.roster, metrics, world.rng)
        self.hub = SimHub(self)
        self.owner.attach(self.hub)  # type: ignore[arg-type]
        self.router.attach(self.hub)  # type: ignore[arg-type]
        self.front = FrontEnd(
            name, ZoneId(zone), self.reader, self.appender, self.roster, self.router, metrics
        )
        self.services = Services(self.front)
        self.snapshots = Snapshotter(cfg, self.reader, self.appender, metrics)
        self.snapshots.wait = sleep  # type: ignore[method-assign, assignment]
        # Attributes that `Entry.stop` uses; this object is passed to it as `self`.
        self.web = SimpleNamespace(drain=self._drain)
        self.kernel = SimpleNamespace(stop=lambda: self.end(planned=True))
        self._cfg = cfg
        self._log = SimpleNamespace(close=lambda: None)
        self.forwarder = SimpleNamespace(close=lambda: None)
        self._is_stopped = False
        self.active_calls = 0
        self.every_tick(self._tick)
        Fiber(self, self._run_snapshotter)

    @property
    def core(self) -> Ownership:
        """The core that claims and renews domains."""
        return self.owner._core

    @property
    def accepts_calls(self) -> bool:
        """Whether the load balancer sends calls, which it does until the entry begins to stop."""
        return not self.front.stopping

    def receive(self, sender: str, message: AnyMessage) -> None:
        """Handle a message from a target."""
        if isinstance(message, Status | Heartbeat):
            self.hub.connected(sender)
        Entry._on_message(self, TargetId(sender), message)  # type: ignore[arg-type]
        self._run_owner()

    def stop(self) -> None:
        """Stop as on SIGTERM, without blocking."""
        Fiber(self, lambda: Entry.stop(self))  # type: ignore[arg-type]

    def end(self, planned: bool) -> None:
        """End the process."""
        if self.alive:
            self.world.record(EntryEnded(self.world.now, self.instance, planned))
        super().end(planned)

    def _drain(self, notice_s: float, grace_s: float) -> bool:
        sleep(notice_s)
        until = self.world.now + grace_s
        while self.active_calls and self.world.now < until:
            sleep(0.1)
        return not self.active_calls

    def _run_snapshotter(self) -> None:
        while True:
            self.snapshots.poll()

    def _tick(self) -> None:
        self.reader.poll()
        self._record_config()
        self._run_owner()
        self.owner.tick()
        self.appender.tick()

    def _run_owner(self) -> None:
        """Handle the owner's inbox; at random skip it, as if the owner's thread were late."""
        if self.world.rng.random() < 0.2:
            return
        while not self.owner._inbox.empty():
            message = self.owner._inbox.get_nowait()
            assert message is not None
            self.owner.handle(message)

    def _record_config(self) -> None:
        ledger = self.reader.ledger
        text = ledger.state.config.text if ledger.state.config else ""
        if self.reader.caught_up.is_set():
            self.record_config(ledger.config.version, text)


class SimLink:
    """A target's link to one entry, whose address is its name."""

    def __init__(self, process: Process, address: str) -> None:
        self._process = process
        self._address = address

    @property
    def is_connected(self) -> bool:
        return self._address in self._process.world.processes

    def send(self, message: AnyMessage) -> bool:
        return self._process.transmit(self._address, message)

    def stop(self) -> None:
        """Nothing to close."""


class SimAgentTask(AgentTask):
    """The real task of the target process, with simulated links and no threads."""

    process: "TargetSim"

    def _ensure_link(self, address: str) -> None:
        self._links.setdefault(address, SimLink(self.process, address))  # type: ignore[arg-type]

    def _run_in_thread(self, function: Callable[..., None], *args: object) -> None:
        self.process.submit(function, *args)


class TargetSim(Process, Worker):
    """A target process with its worker and its runner."""

    def __init__(
        self, world: World, name: str, zone: str, rack: str, entries: tuple[str, ...]
    ) -> None:
        super().__init__(world, name)
        cfg = TargetSettings(name, zone, rack, entries, services=("permit",))
        self._runs: dict[tuple[JobId, Attempt, int], int] = {}
        self._held: dict[tuple[JobId, Attempt], HeldAttempt] = {}
        self.task = SimAgentTask(cfg, self, {}, Metrics())
        self.task.process = self
        self.place = (zone, rack, entries)
        for address in entries:
            self.task._ensure_link(address)
        world.record(WorkerUp(world.now, self.task.agent.worker))
        self.every_tick(self._tick)

    def _tick(self) -> None:
        self.task.tick()
        self._record_changes()

    def receive(self, sender: str, message: AnyMessage) -> None:
        """Handle a message from an entry."""
        self.task.handle(EntryMessageReceived(sender, message))
        self._record_changes()

    def _record_changes(self) -> None:
        """Record changes of the reservations and of the configuration version."""
        now = self.world.now
        held = {
            key: item for key, item in self.task.agent._held_attempts.items() if not item.has_ended
        }
        for key, item in held.items():
            if item is not self._held.get(key):
                event = PartsReserved(
                    now, TargetId(self.name), item.job, item.attempt, item.placements
                )
                self.world.record(event)
        for key in self._held.keys() - held.keys():
            self.world.record(PartsReleased(now, TargetId(self.name), *key))
        self._held = held
        self.record_config(self.task.agent.version, "")

    # Worker interface

    def start_part(self, job: Job, attempt: Attempt, placement: Placement) -> None:
        """Start a part that ends after the run time given in the job's payload."""
        run = self.world.next_serial()
        key = (job.id, attempt, placement.part)
        self._runs[key] = run
        self.world.record(
            PartStarted(self.world.now, TargetId(self.name), job, attempt, placement, run)
        )
        bad = self.name in self.world.bad_workers
        state = PartState.FAILED if bad else PartState.FINISHED
        result = b"" if bad else standin_part_result(job, placement.part)
        run_s = 0.2 if bad else float(job.payload.partition(b" ")[0])
        part_exit = PartExit(*key, state, result, run_s)
        self.world.call_later(run_s, lambda: self._exit_part(run, part_exit))

    def stop_part(self, job: JobId, attempt: Attempt, part: int, checkpoint: bool) -> None:
        """Stop a part after 0.3 s; with a checkpoint it may take 6 s."""
        run = self._runs.get((job, attempt, part))
        if run is not None:
            part_exit = PartExit(job, attempt, part, PartState.STOPPED, checkpointed=checkpoint)
            stop_s = self.world.rng.choice((0.3, 0.3, 6.0)) if checkpoint else 0.3
            self.world.call_later(stop_s, lambda: self._exit_part(run, part_exit))

    def _exit_part(self, run: int, part_exit: PartExit) -> None:
        key = (part_exit.job, part_exit.attempt, part_exit.part)
        if not self.alive or self._runs.get(key) != run:
            return
        del self._runs[key]
        event = PartExited(
            self.world.now, TargetId(self.name), run, part_exit.state, part_exit.checkpointed
        )
        self.world.record(event)
        self.step(lambda: self.task.handle(part_exit))

    def checkpoint_part(self, job: JobId, attempt: Attempt, part: int) -> None:
        """Not modelled."""

    def throttle_part(self, job: JobId, attempt: Attempt, part: int, share: float) -> None:
        """Not modelled."""

    def usage(self) -> list[PartUsage]:
        """Usage is not modelled."""
        return []

    def probe(self) -> bool:
        """Whether the worker is free of the fault that makes it fail every part."""
        return self.name not in self.world.bad_workers

    def close(self) -> None:
        """Nothing to close."""

    # Runner

    def submit(self, work: Callable[[Any], None], argument: Any) -> None:
        """Run work of the thread pool at once; a call to the runner is answered after a delay."""
        if not isinstance(argument, CallRunner):
            work(argument)
            return
        request = argument.request.request
        name = RequestId(request.rpartition(".")[0])
        self.world.record(RunnerStarted(self.world.now, TargetId(self.name), name))
        delay = self.world.rng.choice((0.05, 0.5, 2.5))
        ok = delay <= argument.timeout_s and self.name not in self.world.bad_workers
        body = argument.request.body[::-1] if ok else b"failed"
        ended = RequestEnded(request, ok, body)
        self.world.call_later(
            min(delay, argument.timeout_s), lambda: self._answer_request(name, ended)
        )

    def _answer_request(self, name: RequestId, ended: RequestEnded) -> None:
        if not self.alive:
            return
        self.world.record(RunnerEnded(self.world.now, TargetId(self.name), name))
        self.step(lambda: self.task.handle(ended))

    # Planned stops

    def stop(self, grace_s: float = 30.0) -> None:
        """Stop as on SIGTERM, like `Target.stop` without its threads."""
        until = self.world.now + grace_s

        def poll() -> None:
            if self.task._drained.is_set() or self.world.now > until:
                self.world.call_later(
                    LATE_REQUEST_GRACE_S, lambda: self.step(lambda: self.end(planned=True))
                )
            else:
                self.world.call_later(0.2, lambda: self.step(poll))

        self.task._drained.clear()
        self.step(lambda: self.task.handle(BeginStop(grace_s)))
        self.step(poll)

    def end(self, planned: bool) -> None:
        """End the process and all parts on its worker."""
        if self.alive:
            self.world.record(WorkerDown(self.world.now, TargetId(self.name), planned))
        super().end(planned)
