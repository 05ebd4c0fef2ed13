"""Measures the costs behind docs/CAPACITY.md by number of workers, jobs and organisations.

Example: python -m benchmarks.capacity
"""

import gc
import hashlib
import queue
import threading
import time
import tracemalloc
from collections.abc import Callable, Sequence

import msgspec
import typer

from benchmarks import target_cost
from comfreyshelf.commands import ReserveParts
from comfreyshelf.config_text import parse_config
from comfreyshelf.demo import DEMO_CONFIG_TEXT, free_address
from comfreyshelf.events import JobQueued, PartsReserved, StartRecorded
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
    Heartbeat,
    PartReport,
    Renewal,
    Reserve,
    RunnerLoad,
    ServiceSlots,
    Status,
    Welcome,
    decode_message,
    encode_message,
)
from comfreyshelf.metrics import Metrics
from comfreyshelf.model import HeldPart, Job, PartState, Placement, Shape, WorkerInfo
from comfreyshelf.ownership import (
    SUMMARY_INTERVAL_S,
    LogAvailabilityChanged,
    MessageReceived,
    Ownership,
    RecordApplied,
    SendMessage,
    TimePassed,
)
from comfreyshelf.records import (
    AnyBody,
    AttemptStarted,
    ConfigPublished,
    DomainClaimed,
    JobAccepted,
    JobFinished,
    Record,
    decode_record,
    encode_record,
    make_record_id,
)
from comfreyshelf.settings import EntrySettings
from comfreyshelf.snapshots import encode_snapshot
from comfreyshelf.transport import Hub, Link

# Follows from 260,000 tasks on 31,000 workers.
PARTS_PER_WORKER = 8
ACCELERATORS = 8
WORKERS_PER_RACK = 3
# Follows from 31,000 workers in 15 zones, each zone a domain.
DOMAIN_WORKERS = 2067
STATUS_INTERVAL_S = 2.0
TICKS_PER_S = 10
# An owner of 2,067 workers receives about a thousand heartbeats a second.
HEARTBEATS_IN_FLIGHT = 32
DOMAIN = DomainId("litoral")


class CostSeries(msgspec.Struct):
    """A cost at several sizes; `values` maps each size to its cost in `unit`."""

    name: str
    unit: str
    values: dict[int, float]


def make_worker_info(index: int) -> WorkerInfo:
    """Make the worker with this index; three workers share a rack."""
    rack = RackId(f"rack-{index // WORKERS_PER_RACK}")
    target = TargetId(f"target-{index:05d}")
    return WorkerInfo(target, ZoneId("paysandu"), rack, ACCELERATORS, 64, 256, 1)


def make_job(index: int, parts: int = 1) -> Job:
    """Make a job whose parts take one accelerator each."""
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
    """Make the status of a target that holds `parts`."""
    runners = (RunnerLoad("permit", 3),)
    return Status(make_worker_info(index), sent_at, Epoch(1), Version(1), parts, runners)


class OwnerFixture:
    """An entry's ownership core with `workers` full workers.

    With `owns` the entry owns the domain of the workers, otherwise another entry does.
    """

    def __init__(self, workers: int, owns: bool = True) -> None:
        self.ledger = Ledger()
        cfg = EntrySettings("e", "paysandu", "127.0.0.1:1", "127.0.0.1:2", "")
        self.core = Ownership(cfg, "w", self.ledger)
        self._apply(ConfigPublished(Version(1), Version(0), DEMO_CONFIG_TEXT, OperatorId("o")))
        self._apply(DomainClaimed(DOMAIN, Epoch(1), Epoch(0), EntryId("e")), "w" if owns else "v")
        self.held: dict[int, tuple[HeldPart, ...]] = {}
        for index in range(workers):
            self.core.handle(
                MessageReceived(make_worker_info(index).target, make_status(index, (), 1.0)), 1
            )
        self.core.handle(TimePassed(), 5.0)
        if owns:
            self._start_jobs(workers)
        else:
            self.held = {index: make_held_parts(index) for index in range(workers)}

    def _apply(self, body: ConfigPublished | DomainClaimed, writer: str = "w") -> None:
        offset = self.ledger.next_offset
        record = Record(make_record_id(writer, offset + 1), writer, 1.0, body)
        verdict: Verdict = self.ledger.apply(Offset(offset), record)
        self.core.handle(RecordApplied(record, verdict), 1.0)

    def _start_jobs(self, workers: int) -> None:
        scheduler = self.core.domains[DOMAIN].scheduler
        indexes = {make_worker_info(index).target: index for index in range(workers)}
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
                        scheduler.handle(
                            PartsReserved(job.id, command.attempt, placement.target), 5.0
                        )
                    scheduler.handle(StartRecorded(job.id, command.attempt, True), 5.0)
        self.held = {index: tuple(parts) for index, parts in held.items()}


def mean_cpu_us(call: Callable[[int], object], count: int) -> float:
    """Return the mean processor time of `call(index)` in microseconds."""
    gc.collect()
    started = time.process_time()
    for index in range(count):
        call(index)
    return (time.process_time() - started) / count * 1e6


def status_cost(workers: int, owns: bool = True) -> float:
    """Return the microseconds to decode a status, update the roster, decide and answer."""
    owner = OwnerFixture(workers, owns)
    return message_cost(owner, [make_full_status(owner, index) for index in range(workers)])


def heartbeat_cost(workers: int, owns: bool = True) -> float:
    """Return the microseconds to decode a heartbeat, update the roster, decide and answer.

    At the owner, this includes the reconciliation of the worker's parts.
    """
    owner = OwnerFixture(workers, owns)
    roster = Roster()
    for index in range(workers):
        status = make_full_status(owner, index)
        roster.update(status)
        owner.core.handle(MessageReceived(status.worker.target, status), 6.0)
    return message_cost(owner, [make_heartbeat(index) for index in range(workers)], roster)


def make_full_status(owner: OwnerFixture, index: int) -> Status:
    """Make the status of a worker with all its parts, with a sequence number."""
    status = make_status(index, owner.held.get(index, ()), 5.0)
    return msgspec.structs.replace(status, sequence=1)


def make_heartbeat(index: int) -> Heartbeat:
    """Make a heartbeat that refers to the status of `make_full_status`."""
    return Heartbeat(make_worker_info(index).target, 6.0, 1, Epoch(1), Version(1))


def message_cost(
    owner: OwnerFixture, messages: Sequence[Status | Heartbeat], roster: Roster | None = None
) -> float:
    """Return the mean microseconds that an entry takes for a message, without its pipe."""
    roster_to_update = roster or Roster()
    data = [encode_message(message) for message in messages]

    def work(index: int) -> None:
        message = decode_message(data[index % len(data)])
        if isinstance(message, Status):
            roster_to_update.update(message)
            target = message.worker.target
        else:
            assert isinstance(message, Heartbeat)
            roster_to_update.renew(message)
            target = message.target
        for output in owner.core.handle(MessageReceived(target, message), 12.0):
            if isinstance(output, SendMessage):
                encode_message(output.message)

    return mean_cpu_us(work, max(len(data), 2000))


def tick_cost(workers: int) -> float:
    """Return the microseconds of a tick of the core when nothing is due."""
    owner = OwnerFixture(workers)
    owner.core.handle(TimePassed(), 9.0)
    return mean_cpu_us(lambda _: owner.core.handle(TimePassed(), 9.0), 200)


def summary_cost(workers: int) -> float:
    """Return the microseconds to renew the domain with its summary, which is due every 5 s."""
    owner = OwnerFixture(workers)
    owner.core.handle(LogAvailabilityChanged(True), 6.0)
    for index in range(workers):
        status = make_full_status(owner, index)
        owner.core.handle(MessageReceived(status.worker.target, status), 1000.0)
    owner.core.handle(TimePassed(), 1000.0)

    def renew(index: int) -> None:
        for domain in owner.core.domains.values():
            domain.renewed_at = domain.summarised_at = 0.0
        owner.core.handle(TimePassed(), 1000.5 + index * 0.5)

    return mean_cpu_us(renew, 10)


def memory_per_worker(build: Callable[[], object], workers: int) -> float:
    """Return the bytes of what `build` returns, divided by the number of workers."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return (after - before) / workers


def owner_memory(workers: int) -> float:
    """Return the bytes that the owner's core keeps for a worker with 8 parts."""
    return memory_per_worker(lambda: OwnerFixture(workers), workers)


def roster_memory(workers: int) -> float:
    """Return the bytes that an entry's roster keeps for a worker with 8 parts."""
    data = [encode_message(make_status(n, make_held_parts(n), 1.0)) for n in range(workers)]

    def build() -> Roster:
        roster = Roster()
        for item in data:
            message = decode_message(item)
            assert isinstance(message, Status)
            roster.update(message)
        return roster

    return memory_per_worker(build, workers)


def make_held_parts(index: int) -> tuple[HeldPart, ...]:
    """Make 8 parts of a worker, each of a job of its own."""
    return tuple(
        HeldPart(
            JobId(f"{index * PARTS_PER_WORKER + part:032x}"),
            Attempt(1),
            0,
            1 << part,
            PartState.RUNNING,
        )
        for part in range(PARTS_PER_WORKER)
    )


def apply_cost(jobs: int) -> dict[str, float]:
    """Return costs of the ledger by name.

    These are the microseconds to decode a record of each type and apply it to the ledger, and the
    microseconds and bytes that a job takes in a snapshot.
    """
    ledger = Ledger()
    writes: list[tuple[str, list[AnyBody]]] = [
        (
            "ConfigPublished",
            [ConfigPublished(Version(1), Version(0), DEMO_CONFIG_TEXT, OperatorId("o"))],
        ),
        ("DomainClaimed", [DomainClaimed(DOMAIN, Epoch(1), Epoch(0), EntryId("e"))]),
        ("JobAccepted", [JobAccepted(make_job(n), DOMAIN) for n in range(jobs)]),
        ("AttemptStarted", [_make_start(n) for n in range(jobs)]),
        ("JobFinished", [_make_finish(n) for n in range(jobs)]),
    ]
    costs: dict[str, float] = {}
    sequence = 0
    for name, bodies in writes:
        data = []
        for body in bodies:
            sequence += 1
            data.append(encode_record(Record(make_record_id("w", sequence), "w", 1.0, body)))

        def apply(index: int, data: list[bytes] = data) -> None:
            ledger.apply(Offset(ledger.next_offset), decode_record(data[index]))

        costs[f"apply of {name}, us"] = mean_cpu_us(apply, len(data))
        if name == "AttemptStarted":
            costs |= _snapshot_cost(ledger, jobs, "running")
    return costs | _snapshot_cost(ledger, jobs, "finished")


def _snapshot_cost(ledger: Ledger, jobs: int, state: str) -> dict[str, float]:
    size = sum(len(chunk.data) for chunk in encode_snapshot(ledger))
    cost = mean_cpu_us(lambda _: encode_snapshot(ledger), 3)
    return {
        f"snapshot a {state} job, bytes": size / jobs,
        f"snapshot a {state} job, us": cost / jobs,
    }


def _make_start(number: int) -> AttemptStarted:
    job = make_job(number)
    placement = Placement(0, make_worker_info(number).target, 1)
    return AttemptStarted(job.id, Attempt(1), DOMAIN, Epoch(1), (placement,))


def _make_finish(number: int) -> JobFinished:
    result = f"result {number}".encode() * 8
    digest = hashlib.sha256(result).hexdigest()
    return JobFinished(make_job(number).id, Attempt(1), DOMAIN, Epoch(1), result, digest)


def pipe_cost(messages: int, is_heartbeat: bool = False) -> float:
    """Return the microseconds of processor time to send and receive a message over a pipe."""
    received: list[TargetId] = []
    address = free_address()
    metrics = Metrics()
    hub = Hub(address, metrics, lambda target, _: received.append(target))
    link = Link(address, metrics, lambda *_: None)
    hub.start()
    link.start()
    status = make_status(0, make_held_parts(0), 1.0)
    message: AnyMessage = make_heartbeat(0) if is_heartbeat else status
    while not link.send(status):
        time.sleep(0.01)
    started = time.process_time()
    sent = 1
    while sent < messages:
        sent += link.send(message)
    until = time.monotonic() + 10.0
    while len(received) < messages and time.monotonic() < until:
        time.sleep(0.001)
    cost = (time.process_time() - started) / messages * 1e6
    link.stop()
    hub.stop()
    return cost


def round_trip_cost(workers: int) -> float:
    """Return the microseconds of processor time of a heartbeat and its renewal over a pipe.

    This covers the target's end and the entry with its inbox, owner's core and histogram of
    decisions, so that the entry alone takes less.
    """
    owner = OwnerFixture(workers)
    for index in range(workers):
        status = make_full_status(owner, index)
        owner.core.handle(MessageReceived(status.worker.target, status), 6.0)
    inbox: queue.SimpleQueue[MessageReceived | None] = queue.SimpleQueue()
    answers: queue.SimpleQueue[AnyMessage] = queue.SimpleQueue()
    address = free_address()
    metrics = Metrics()
    roster = Roster()
    hub = Hub(address, metrics, lambda target, message: inbox.put(MessageReceived(target, message)))
    link = Link(address, metrics, lambda _, message: answers.put(message))

    def decide() -> None:
        while (event := inbox.get()) is not None:
            if isinstance(event.message, Heartbeat):
                roster.renew(event.message)
            started = time.perf_counter()
            outputs = owner.core.handle(event, 12.0)
            metrics.record_latency("decision", time.perf_counter() - started)
            for output in outputs:
                if isinstance(output, SendMessage):
                    hub.send(output.target, output.message)

    thread = threading.Thread(target=decide, daemon=True)
    thread.start()
    hub.start()
    link.start()
    while not link.send(make_full_status(owner, 0)):
        time.sleep(0.01)
    answers.get(timeout=10.0)

    def work(_: int) -> None:
        sent = 0
        while sent < HEARTBEATS_IN_FLIGHT:
            sent += link.send(make_heartbeat(0))
        for _ in range(HEARTBEATS_IN_FLIGHT):
            answers.get(timeout=10.0)

    cost = mean_cpu_us(work, 64) / HEARTBEATS_IN_FLIGHT
    inbox.put(None)
    thread.join()
    link.stop()
    hub.stop()
    return cost


def message_sizes() -> dict[str, int]:
    """Return the encoded sizes of the common messages in bytes."""
    entries = ("10.0.0.1:7411", "10.0.0.2:7411")
    target = TargetId("target-00001")
    job = make_job(1)
    messages: dict[str, AnyMessage] = {
        "Status, idle": make_status(1, (), 1.0),
        "Status, 8 parts": make_status(1, make_held_parts(1), 1.0),
        "Welcome": Welcome(
            EntryId("entry-1"),
            DOMAIN,
            Epoch(1),
            Version(1),
            True,
            1.0,
            6.0,
            False,
            entries,
            (ServiceSlots("permit", 8, 64),),
            1,
            b"8 bytes.",
            ZoneId("paysandu"),
        ),
        "Heartbeat": make_heartbeat(1),
        "Renewal": Renewal(b"8 bytes.", 1.0, 6.0),
        "Reserve, 1 part": Reserve(
            Epoch(1), Version(1), job, Attempt(1), (Placement(0, target, 1),)
        ),
        "PartReport": PartReport(target, job.id, Attempt(1), 0, PartState.FINISHED, b"x" * 64),
    }
    return {name: len(encode_message(message)) for name, message in messages.items()}


def config_cost(organisations: int) -> float:
    """Return the milliseconds to parse and validate a text with this many more organisations."""
    text = DEMO_CONFIG_TEXT + "".join(
        f"\n[organisation o{index}]\nguarantee = 1 x 8 @ worker\n"
        f"[caller c{index}]\norganisation = o{index}\nkey_sha256 = {index:064x}\n"
        for index in range(organisations)
    )
    return mean_cpu_us(lambda _: parse_config(text, Version(1)), 5) / 1000


def main(with_target: bool = True) -> None:
    """Print all costs by size; `with_target` also measures a target process, for 35 s."""
    sizes = (500, 1000, DOMAIN_WORKERS)
    pipes = (1000, 5000)
    series = [
        CostSeries("status at the owner", "us", {n: status_cost(n) for n in sizes}),
        CostSeries("heartbeat at the owner", "us", {n: heartbeat_cost(n) for n in sizes}),
        CostSeries("status at another entry", "us", {n: status_cost(n, False) for n in sizes}),
        CostSeries(
            "heartbeat at another entry", "us", {n: heartbeat_cost(n, False) for n in sizes}
        ),
        CostSeries("tick of the owner", "us", {n: tick_cost(n) for n in sizes}),
        CostSeries("renewal with summary", "us", {n: summary_cost(n) for n in sizes}),
        CostSeries("owner's memory a worker", "bytes", {n: owner_memory(n) for n in sizes}),
        CostSeries("roster's memory a worker", "bytes", {n: roster_memory(n) for n in sizes}),
        CostSeries("pipe, status, both ends", "us", {n: pipe_cost(n) for n in pipes}),
        CostSeries("pipe, heartbeat, both ends", "us", {n: pipe_cost(n, True) for n in pipes}),
        CostSeries(
            "heartbeat and renewal, both ends", "us", {n: round_trip_cost(n) for n in sizes}
        ),
        CostSeries("configuration text", "ms", {n: config_cost(n) for n in (4, 41, 410)}),
    ]
    for each in series:
        values = ", ".join(f"{size}: {value:.1f}" for size, value in each.values.items())
        print(f"{each.name} ({each.unit}): {values}")
    small, large = series[-1].values[41], series[-1].values[410]
    print(f"configuration an organisation: {(large - small) / 369 * 1000:.1f} us")
    for name, cost in apply_cost(20_000).items():
        print(f"{name}: {cost:.1f}")
    for name, size in message_sizes().items():
        print(f"{name}: {size} bytes")
    heartbeats_per_s = DOMAIN_WORKERS / STATUS_INTERVAL_S
    total_us = series[-2].values[DOMAIN_WORKERS] * heartbeats_per_s
    total_us += series[4].values[DOMAIN_WORKERS] * TICKS_PER_S
    total_us += series[5].values[DOMAIN_WORKERS] / SUMMARY_INTERVAL_S
    print(f"owner of {DOMAIN_WORKERS} workers, both ends of the pipes: {total_us / 1e6:.3f} cores")
    if with_target:
        target_cost.run()


if __name__ == "__main__":
    typer.run(main)
