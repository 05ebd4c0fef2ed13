"""Virtual time, the log model, the network and the processes that run the real cores."""

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

START = 1_000_000.0
TICK_S = 0.2
# A trap that no append or send springs in this time springs by itself.
TRAP_S = 6.0
# An example takes about 10,000 steps and an hour without the log about 100,000.
MOST_STEPS = 400_000
# An entry appends a snapshot each 10 s, so that every history contains some.
RETENTION_S = 40.0


class World:
    """An event loop in virtual time; also stands in for the modules `time` and `uuid`."""

    def __init__(self, seed: int) -> None:
        self.now = START
        self.rng = random.Random(seed)
        self.history: list[HistoryEvent] = []
        self.processes: dict[str, Process] = {}
        self.log = LogModel(self)
        self.tick_s = TICK_S
        self.cut: set[str] = set()
        self.lost = 0.0
        self.doubled = 0.0
        self.delayed = 0.0
        self.bad_workers: set[str] = set()
        self.fibers: list[Fiber] = []
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._runs = 0
        self._steps = 0
        self._arrivals: dict[tuple[str, str], float] = {}
        self._stack = ExitStack()

    def __enter__(self) -> "World":
        clock = mock.Mock(
            monotonic=lambda: self.now,
            time=lambda: self.now,
            perf_counter=lambda: self.now,
            time_ns=self.serial,
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
        # A call is named after the submission that caused it, so that runners can be traced to it.
        ids = mock.Mock(uuid4=lambda: SimpleNamespace(hex=Fiber.current.name))  # type: ignore[union-attr]
        self._stack.enter_context(mock.patch.object(requests_api, "uuid", ids))
        return self

    def __exit__(self, *_: object) -> None:
        for fiber in self.fibers:
            if not fiber.done:
                fiber.cancel()
        self._stack.close()

    def serial(self) -> int:
        """A new number."""
        self._runs += 1
        return self._runs

    def note(self, event: HistoryEvent) -> None:
        """Add an event to the history."""
        self.history.append(event)

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Run `action` after `delay` seconds."""
        self._order += 1
        heapq.heappush(self._heap, (self.now + delay, self._order, action))

    def run_until(self, end: float) -> None:
        """Run everything that is due before `end`."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self._heap)
            self._steps += 1
            if self._steps > MOST_STEPS:
                self.note(Crashed(self.now, "world", f"more than {MOST_STEPS} steps"))
                self._heap.clear()
                break
            action()
        self.now = end

    def transmit(self, sender: str, receiver: str, message: AnyMessage) -> None:
        """Carry a message between an entry and a target, with the faults of the moment."""
        if f"{sender}-{receiver}" in self.cut or f"{receiver}-{sender}" in self.cut:
            return
        if self.rng.random() < self.lost:
            return
        data = encode_message(message)
        for _ in range(2 if self.rng.random() < self.doubled else 1):
            delay = self.rng.uniform(0.001, 0.004)
            if self.rng.random() < self.delayed:
                delay += self.rng.uniform(0.0, 6.0)
            else:
                # A link keeps the order of its messages unless one is delayed by a fault.
                arrival = max(self.now + delay, self._arrivals.get((sender, receiver), 0.0))
                self._arrivals[sender, receiver] = arrival
                delay = arrival - self.now
            self.after(delay, lambda: self._deliver(sender, receiver, data))

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        process = self.processes.get(receiver)
        if process is not None and sender in self.processes:
            process.step(lambda: process.receive(sender, decode_message(data)))

    def finish(self) -> None:
        """Add the records of the log as a fold without faults judges them."""
        ledger = Ledger()
        for offset, (time, data) in enumerate(self.log.records):
            record = decode_record(data)
            verdict = ledger.apply(Offset(offset), record)
            if verdict.reason != "repeated":
                self.note(Recorded(time, verdict.accepted, record.body))
        self.history.sort(key=lambda event: event.time)


class LogModel:
    """The records with the times from which readers see them, and the faults of the log."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.records: list[tuple[float, bytes]] = []
        self.oldest = 0
        self.retention_s = RETENTION_S
        self.down = False
        self.lag = 0.0
        self.lose_answers = 0.0
        self.late = 0.0

    def append(self, batch: Sequence[bytes]) -> None:
        """Append; a lost answer raises after the effect, or before it when the batch was lost."""
        world = self.world
        if self.down:
            raise LogUnavailableError("the log is down", "wait")
        lost = world.rng.random() < self.lose_answers
        if lost and world.rng.random() < 0.3:
            raise LogUnavailableError("the batch was lost", "wait")
        self._add(batch)
        if world.rng.random() < self.late:
            copy = list(batch)
            world.after(world.rng.uniform(0.5, 6.0), lambda: self._add(copy))
        if lost:
            raise LogUnavailableError("the answer was lost", "wait")

    def _add(self, batch: Sequence[bytes]) -> None:
        self.records += [(self.world.now + self.lag, data) for data in batch]

    def expire(self) -> None:
        """Drop the records that the newest snapshot covers, long before their retention ends."""
        covers = [
            record.body.covers
            for _, data in self.records
            if isinstance((record := decode_record(data)).body, SnapshotChunk)
            and record.body.index == record.body.count - 1
        ]
        self.oldest = max(self.oldest, *covers, 0)

    def read(self, offset: int) -> Page:
        """Read what is visible now."""
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
    """A process that can be killed or frozen, also between two of its effects."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.alive = True
        self.frozen_until = 0.0
        self.trap: tuple[When, int, float] | None = None
        self.label = f"{name}/{world.serial()}"
        self._config_read = (-1, 0.0)
        world.processes[name] = self

    def step(self, action: Callable[[], None]) -> None:
        """Run one step unless the process is dead; a frozen process runs it when it resumes."""
        if not self.alive:
            return
        if self.world.now < self.frozen_until:
            self.world.after(self.frozen_until - self.world.now, lambda: self.step(action))
            return
        try:
            action()
        except Killed:
            self.end(planned=False)
        except Exception as exc:  # Any other exception is a finding.
            self.world.note(Crashed(self.world.now, self.name, f"{type(exc).__name__}: {exc}"))

    def set_trap(self, when: When, count: int, freeze_s: float) -> None:
        """Kill, or freeze for `freeze_s`, at the `count`-th append or send within TRAP_S."""
        if when is When.AT_ONCE:
            self.spring(freeze_s)
            return
        self.trap = (when, count, freeze_s)
        self.world.after(TRAP_S, lambda: self._expire_trap(freeze_s))

    def _expire_trap(self, freeze_s: float) -> None:
        if self.alive and self.trap is not None:
            self.trap = None
            self.spring(freeze_s)

    def spring(self, freeze_s: float) -> None:
        """Freeze for `freeze_s` seconds, or be killed if that is 0."""
        if freeze_s > 0:
            self.frozen_until = self.world.now + freeze_s
        else:
            self.end(planned=False)

    def passes(self, when: When) -> None:
        """Note an append or a send; springs the trap when its count is reached."""
        if self.trap is None or self.trap[0] is not when:
            return
        _, count, freeze_s = self.trap
        if count > 1:
            self.trap = (when, count - 1, freeze_s)
            return
        self.trap = None
        if freeze_s <= 0:
            raise Killed
        self.spring(freeze_s)

    def transmit(self, receiver: str, message: AnyMessage) -> bool:
        """Send a message; one that a freeze caught leaves when the process resumes."""
        self.passes(When.SEND)
        if not self.alive:
            return False
        delay = max(0.0, self.frozen_until - self.world.now)
        if delay:
            name = self.name
            self.world.after(delay, lambda: self.world.transmit(name, receiver, message))
        else:
            self.world.transmit(self.name, receiver, message)
        return True

    def every_tick(self, action: Callable[[], None]) -> None:
        """Run `action` in each tick."""

        def run() -> None:
            action()
            self.world.after(self.world.tick_s, lambda: self.step(run))

        self.world.after(self.world.rng.uniform(0, self.world.tick_s), lambda: self.step(run))

    def note_config(self, version: int, text: str) -> None:
        """Note the version in force, on change and every second."""
        known, at = self._config_read
        if version != known or self.world.now - at >= 1.0:
            self._config_read = (version, self.world.now)
            self.world.note(ConfigRead(self.world.now, self.label, Version(version), text))

    def end(self, planned: bool) -> None:
        """End the process."""
        self.alive = False
        if self.world.processes.get(self.name) is self:
            del self.world.processes[self.name]

    def receive(self, sender: str, message: AnyMessage) -> None:
        """Take a message."""


class ProcessLog(LogClient):
    """The log as one process reaches it."""

    def __init__(self, process: Process) -> None:
        self._process = process

    def _check_reachable(self) -> None:
        if f"{self._process.name}-log" in self._process.world.cut:
            raise LogUnavailableError("the log is out of reach", "wait")

    def append(self, batch: Sequence[bytes]) -> list[Offset]:
        self._check_reachable()
        try:
            self._process.world.log.append(batch)
        finally:
            self._process.passes(When.APPEND)
        return []

    def read(self, offset: Offset, wait_s: float = 0.0) -> Page:
        self._check_reachable()
        return self._process.world.log.read(offset)


class SimAppender(Appender):
    """Handles each record at once, in place of its thread."""

    def send(self, message: PendingAppend) -> None:
        self.handle(message)


class SimHub:
    """The pipes of an entry; a target has one from its first status until its process ends."""

    def __init__(self, process: Process) -> None:
        self._process = process
        self._pipes: dict[TargetId, Process] = {}

    def connected(self, target: str) -> None:
        """Note a status; a new process of a target replaces the pipe of the old one."""
        process = self._process.world.processes.get(target)
        if process is not None:
            self._pipes[TargetId(target)] = process

    def targets(self) -> list[TargetId]:
        return [target for target, process in self._pipes.items() if process.alive]

    @property
    def revision(self) -> int:
        """A number that differs whenever the set of pipes may have changed."""
        return self._process.world.serial()

    def is_connected(self, target: TargetId) -> bool:
        return target in self.targets()

    def send(self, target: TargetId, message: AnyMessage) -> bool:
        return target in self.targets() and self._process.transmit(target, message)


class EntrySim(Process):
    """An entry: its real parts without threads, and its blocking calls in fibers."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        super().__init__(world, name)
        cfg = EntrySettings(name, zone, name, name, "", log_retention_s=world.log.retention_s)
        metrics = Metrics()
        log = ProcessLog(self)
        writer = self.label
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
        # What `Entry.stop` needs.
        self.web = SimpleNamespace(drain=self._drain)
        self.kernel = SimpleNamespace(stop=lambda: self.end(planned=True))
        self._cfg = cfg
        self._log = SimpleNamespace(close=lambda: None)
        self.forwarder = SimpleNamespace(close=lambda: None)
        self._is_stopped = False
        self.calls_under_way = 0
        self.every_tick(self._tick)
        Fiber(self, self._take_snapshots)

    @property
    def core(self) -> Ownership:
        """The core that decides about domains."""
        return self.owner._core

    @property
    def accepts_calls(self) -> bool:
        """Whether the balancer still sends calls; it notices a stop within the notice."""
        return not self.front.stopping

    def receive(self, sender: str, message: AnyMessage) -> None:
        """Take a message from a target."""
        if isinstance(message, Status | Heartbeat):
            self.hub.connected(sender)
        Entry._on_message(self, TargetId(sender), message)  # type: ignore[arg-type]
        self._run_owner()

    def stop(self) -> None:
        """Stop as on SIGTERM."""
        Fiber(self, lambda: Entry.stop(self))  # type: ignore[arg-type]

    def end(self, planned: bool) -> None:
        """End the process."""
        if self.alive:
            self.world.note(EntryEnded(self.world.now, self.label, planned))
        super().end(planned)

    def _drain(self, notice_s: float, grace_s: float) -> bool:
        sleep(notice_s)
        until = self.world.now + grace_s
        while self.calls_under_way and self.world.now < until:
            sleep(0.1)
        return not self.calls_under_way

    def _take_snapshots(self) -> None:
        while True:
            self.snapshots.poll()

    def _tick(self) -> None:
        self.reader.poll()
        self._note_config()
        self._run_owner()
        self.owner.tick()
        self.appender.tick()

    def _run_owner(self) -> None:
        """Handle the owner's inbox, unless its thread lags behind."""
        if self.world.rng.random() < 0.2:
            return
        while not self.owner._inbox.empty():
            message = self.owner._inbox.get_nowait()
            assert message is not None
            self.owner.handle(message)

    def _note_config(self) -> None:
        ledger = self.reader.ledger
        text = ledger.state.config.text if ledger.state.config else ""
        if self.reader.caught_up.is_set():
            self.note_config(ledger.config.version, text)


class SimLink:
    """A target's link to the entry at one address, which is the entry's name here."""

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
    """The real task of the target process on simulated links."""

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
        self._parts: dict[tuple[JobId, Attempt, int], int] = {}
        self._held: dict[tuple[JobId, Attempt], HeldAttempt] = {}
        self.task = SimAgentTask(cfg, self, {}, Metrics())
        self.task.process = self
        self.place = (zone, rack, entries)
        for address in entries:
            self.task._ensure_link(address)
        world.note(WorkerUp(world.now, self.task.agent.worker))
        self.every_tick(self._tick)

    def _tick(self) -> None:
        self.task.tick()
        self._observe()

    def receive(self, sender: str, message: AnyMessage) -> None:
        """Take a message from an entry."""
        self.task.handle(EntryMessageReceived(sender, message))
        self._observe()

    def _observe(self) -> None:
        """Note what the core holds and which version it has."""
        now = self.world.now
        held = {
            key: item for key, item in self.task.agent._held_attempts.items() if not item.has_ended
        }
        for key, item in held.items():
            if item is not self._held.get(key):
                event = PartsReserved(
                    now, TargetId(self.name), item.job, item.attempt, item.placements
                )
                self.world.note(event)
        for key in self._held.keys() - held.keys():
            self.world.note(PartsReleased(now, TargetId(self.name), *key))
        self._held = held
        self.note_config(self.task.agent.version, "")

    # The worker

    def start_part(self, job: Job, attempt: Attempt, placement: Placement) -> None:
        """Start a part that ends after the run time in its payload."""
        run = self.world.serial()
        key = (job.id, attempt, placement.part)
        self._parts[key] = run
        self.world.note(
            PartStarted(self.world.now, TargetId(self.name), job, attempt, placement, run)
        )
        bad = self.name in self.world.bad_workers
        state = PartState.FAILED if bad else PartState.FINISHED
        result = b"" if bad else standin_part_result(job, placement.part)
        run_s = 0.2 if bad else float(job.payload.partition(b" ")[0])
        exit_ = PartExit(*key, state, result, run_s)
        self.world.after(run_s, lambda: self._exit(run, exit_))

    def stop_part(self, job: JobId, attempt: Attempt, part: int, checkpoint: bool) -> None:
        """Stop a part after 0.3 s, or with a checkpoint that may take longer."""
        run = self._parts.get((job, attempt, part))
        if run is not None:
            exit_ = PartExit(job, attempt, part, PartState.STOPPED, checkpointed=checkpoint)
            stop_s = self.world.rng.choice((0.3, 0.3, 6.0)) if checkpoint else 0.3
            self.world.after(stop_s, lambda: self._exit(run, exit_))

    def _exit(self, run: int, exit_: PartExit) -> None:
        key = (exit_.job, exit_.attempt, exit_.part)
        if not self.alive or self._parts.get(key) != run:
            return
        del self._parts[key]
        event = PartExited(
            self.world.now, TargetId(self.name), run, exit_.state, exit_.checkpointed
        )
        self.world.note(event)
        self.step(lambda: self.task.handle(exit_))

    def checkpoint_part(self, job: JobId, attempt: Attempt, part: int) -> None:
        """Not modelled."""

    def throttle_part(self, job: JobId, attempt: Attempt, part: int, share: float) -> None:
        """Not modelled."""

    def usage(self) -> list[PartUsage]:
        """Report nothing."""
        return []

    def probe(self) -> bool:
        """Pass unless the worker fails everything."""
        return self.name not in self.world.bad_workers

    def close(self) -> None:
        """Nothing to close."""

    # The runner

    def submit(self, call: Callable[[Any], None], argument: Any) -> None:
        """Run what the task gives to its pool of threads; a runner answers after a while."""
        if not isinstance(argument, CallRunner):
            call(argument)
            return
        request = argument.request.request
        name = RequestId(request.rpartition(".")[0])
        self.world.note(RunnerStarted(self.world.now, TargetId(self.name), name))
        delay = self.world.rng.choice((0.05, 0.5, 2.5))
        ok = delay <= argument.timeout_s and self.name not in self.world.bad_workers
        body = argument.request.body[::-1] if ok else b"failed"
        ended = RequestEnded(request, ok, body)
        self.world.after(min(delay, argument.timeout_s), lambda: self._answer(name, ended))

    def _answer(self, name: RequestId, ended: RequestEnded) -> None:
        if not self.alive:
            return
        self.world.note(RunnerEnded(self.world.now, TargetId(self.name), name))
        self.step(lambda: self.task.handle(ended))

    # Planned stops

    def stop(self, grace_s: float = 30.0) -> None:
        """Stop as on SIGTERM: `Target.stop` without its threads."""
        until = self.world.now + grace_s

        def poll() -> None:
            if self.task._drained.is_set() or self.world.now > until:
                self.world.after(
                    LATE_REQUEST_GRACE_S, lambda: self.step(lambda: self.end(planned=True))
                )
            else:
                self.world.after(0.2, lambda: self.step(poll))

        self.task._drained.clear()
        self.step(lambda: self.task.handle(BeginStop(grace_s)))
        self.step(poll)

    def end(self, planned: bool) -> None:
        """End the process and everything on its worker."""
        if self.alive:
            self.world.note(WorkerDown(self.world.now, TargetId(self.name), planned))
        super().end(planned)
