"""Slopes behind docs/CAPACITY.md: `python -m benchmarks.capacity`."""

import gc
import time
import tracemalloc
from collections.abc import Callable

import msgspec
import typer

from comfreyshelf.commands import ReserveParts
from comfreyshelf.config import parse_config
from comfreyshelf.demo import DEMO_TEXT, free_address
from comfreyshelf.events import JobQueued
from comfreyshelf.ids import (
    Attempt,
    CallerId,
    DomainId,
    EntryId,
    Epoch,
    JobId,
    Offset,
    OperatorId,
    OrganisationId,
    RackId,
    ServiceId,
    TargetId,
    Version,
    ZoneId,
)
from comfreyshelf.ledger import Ledger, Verdict
from comfreyshelf.membership import Roster
from comfreyshelf.messages import (
    AnyMessage,
    PartReport,
    Reserve,
    RunnerLoad,
    Status,
    Welcome,
    decode_message,
    encode_message,
)
from comfreyshelf.metrics import Metrics
from comfreyshelf.model import HeldPart, Job, PartState, Placement, Shape, WorkerInfo
from comfreyshelf.ownership import Folded, FromTarget, Ownership, SendMessage, TimePassed
from comfreyshelf.records import ConfigPublished, DomainClaimed, Record, make_record_id
from comfreyshelf.settings import EntrySettings
from comfreyshelf.transport import Hub, Link

# 260,000 tasks on 31,000 workers.
PARTS_PER_WORKER = 8
ACCELERATORS = 8
WORKERS_PER_RACK = 3
DOMAIN = DomainId("litoral")


class Slope(msgspec.Struct):
    """Cost at several sizes; `unit` says what one `value` is."""

    name: str
    unit: str
    values: dict[int, float]


def worker_info(index: int) -> WorkerInfo:
    """A worker of a rack of three."""
    rack = RackId(f"rack-{index // WORKERS_PER_RACK}")
    target = TargetId(f"target-{index:05d}")
    return WorkerInfo(target, ZoneId("paysandu"), rack, ACCELERATORS, 64, 256, 1)


def make_job(index: int, parts: int = 1) -> Job:
    """A job whose parts take one accelerator each."""
    return Job(
        JobId(f"{index:032x}"),
        OrganisationId("hidrovia-dragados"),
        CallerId("hidrovia-office"),
        f"key-{index}",
        ServiceId("permit"),
        "kind",
        Shape(parts, 1),
        3600.0,
    )


def make_status(index: int, parts: tuple[HeldPart, ...], sent_at: float) -> Status:
    """A status with the parts that the target holds."""
    runners = (RunnerLoad("permit", 3),)
    return Status(worker_info(index), sent_at, Epoch(1), Version(1), parts, runners)


class Owner:
    """An ownership core with `workers` full workers."""

    def __init__(self, workers: int) -> None:
        self.ledger = Ledger()
        cfg = EntrySettings("e", "paysandu", "127.0.0.1:1", "127.0.0.1:2", "")
        self.core = Ownership(cfg, "w", self.ledger)
        self._fold(ConfigPublished(Version(1), Version(0), DEMO_TEXT, OperatorId("o")))
        self._fold(DomainClaimed(DOMAIN, Epoch(1), Epoch(0), EntryId("e")))
        self.held: dict[int, tuple[HeldPart, ...]] = {}
        for index in range(workers):
            self.core.handle(FromTarget(worker_info(index).target, make_status(index, (), 1.0)), 1)
        self.core.handle(TimePassed(), 5.0)
        self._fill(workers)

    def _fold(self, body: ConfigPublished | DomainClaimed) -> None:
        offset = self.ledger.next_offset
        record = Record(make_record_id("w", offset + 1), "w", 1.0, body)
        verdict: Verdict = self.ledger.apply(Offset(offset), record)
        self.core.handle(Folded(record, verdict), 1.0)

    def _fill(self, workers: int) -> None:
        scheduler = self.core.domains[DOMAIN].scheduler
        indexes = {worker_info(index).target: index for index in range(workers)}
        held: dict[int, list[HeldPart]] = {}
        for number in range(workers * PARTS_PER_WORKER):
            job = make_job(number)
            for command in scheduler.handle(JobQueued(job), 5.0):
                if isinstance(command, ReserveParts):
                    for placement in command.placements:
                        part = HeldPart(
                            job.id, command.attempt, 0, placement.mask, PartState.RUNNING
                        )
                        held.setdefault(indexes[placement.target], []).append(part)
        self.held = {index: tuple(parts) for index, parts in held.items()}


def microseconds(work: Callable[[int], object], count: int) -> float:
    """Mean processor time of `work(index)` in microseconds."""
    gc.collect()
    started = time.process_time()
    for index in range(count):
        work(index)
    return (time.process_time() - started) / count * 1e6


def status_cost(workers: int) -> float:
    """Decode a status, update the roster, decide, and encode the answer, in microseconds."""
    owner = Owner(workers)
    roster = Roster()
    data = [
        encode_message(make_status(index, owner.held.get(index, ()), 5.0))
        for index in range(workers)
    ]

    def work(index: int) -> None:
        message = decode_message(data[index % workers])
        assert isinstance(message, Status)
        roster.update(message)
        for output in owner.core.handle(FromTarget(message.worker.target, message), 6.0):
            if isinstance(output, SendMessage):
                encode_message(output.message)

    return microseconds(work, max(workers, 2000))


def tick_cost(workers: int) -> float:
    """One tick of the core without anything due, in microseconds."""
    owner = Owner(workers)
    owner.core.handle(TimePassed(), 6.0)
    return microseconds(lambda _: owner.core.handle(TimePassed(), 6.0), 200)


def memory_per_worker(workers: int) -> float:
    """Bytes that the owner's core and the roster keep for a worker with 8 parts."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    owner = Owner(workers)
    roster = Roster()
    for index in range(workers):
        roster.update(make_status(index, owner.held.get(index, ()), 1.0))
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / workers


def pipe_cost(messages: int) -> float:
    """Both ends of a pipe together: processor time to send and receive one status, microseconds."""
    received: list[TargetId] = []
    address = free_address()
    metrics = Metrics()
    hub = Hub(address, metrics, lambda target, _: received.append(target))
    link = Link(address, metrics, lambda *_: None)
    hub.start()
    link.start()
    parts = tuple(
        HeldPart(JobId(f"{part:032x}"), Attempt(1), 0, 1 << part, PartState.RUNNING)
        for part in range(PARTS_PER_WORKER)
    )
    status = make_status(0, parts, 1.0)
    while not link.send(status):
        time.sleep(0.01)
    started = time.process_time()
    sent = 1
    while sent < messages:
        sent += link.send(status)
    until = time.monotonic() + 10.0
    while len(received) < messages and time.monotonic() < until:
        time.sleep(0.001)
    cost = (time.process_time() - started) / messages * 1e6
    link.stop()
    hub.stop()
    return cost


def message_sizes() -> dict[str, int]:
    """Bytes of the common messages."""
    parts = tuple(
        HeldPart(JobId(f"{part:032x}"), Attempt(1), 0, 1 << part, PartState.RUNNING)
        for part in range(PARTS_PER_WORKER)
    )
    entries = ("10.0.0.1:7411", "10.0.0.2:7411")
    target = TargetId("target-00001")
    job = make_job(1)
    messages: dict[str, AnyMessage] = {
        "Status, idle": make_status(1, (), 1.0),
        "Status, 8 parts": make_status(1, parts, 1.0),
        "Welcome": Welcome(
            EntryId("entry-1"), DOMAIN, Epoch(1), Version(1), True, 1.0, 6.0, False, entries
        ),
        "Reserve, 1 part": Reserve(
            Epoch(1), Version(1), job, Attempt(1), (Placement(0, target, 1),)
        ),
        "PartReport": PartReport(target, job.id, Attempt(1), 0, PartState.FINISHED, b"x" * 64),
    }
    return {name: len(encode_message(message)) for name, message in messages.items()}


def config_cost(organisations: int) -> float:
    """Parse and validate a text with `organisations` organisations, in milliseconds."""
    text = DEMO_TEXT + "".join(
        f"\n[organisation o{index}]\nguarantee = 1 x 8 @ worker\n"
        f"[caller c{index}]\norganisation = o{index}\nkey_sha256 = {index:064x}\n"
        for index in range(organisations)
    )
    return microseconds(lambda _: parse_config(text, Version(1)), 5) / 1000


def main() -> None:
    """Print the slopes."""
    sizes = (250, 500, 1000, 2000)
    slopes = [
        Slope("status at the owner", "us", {size: status_cost(size) for size in sizes}),
        Slope("tick of the owner", "us", {size: tick_cost(size) for size in sizes}),
        Slope("memory a worker", "bytes", {size: memory_per_worker(size) for size in sizes}),
        Slope("pipe, both ends", "us", {size: pipe_cost(size) for size in (1000, 5000)}),
        Slope("configuration text", "ms", {size: config_cost(size) for size in (4, 41, 410)}),
    ]
    for slope in slopes:
        values = ", ".join(f"{size}: {value:.1f}" for size, value in slope.values.items())
        print(f"{slope.name} ({slope.unit}): {values}")
    for name, size in message_sizes().items():
        print(f"{name}: {size} bytes")


if __name__ == "__main__":
    typer.run(main)
