"""Measures how long the ledger takes to apply records, to make a snapshot and to recover from it.

Example: python -m benchmarks.recovery --jobs 1000
"""

import gc
import resource
import time
import tracemalloc
from typing import Annotated

import msgspec
import typer

from comfreyshelf.ids import (
    Attempt,
    CallerId,
    DomainId,
    EntryId,
    Epoch,
    JobId,
    Offset,
    OrganisationId,
    ServiceId,
    TargetId,
)
from comfreyshelf.ledger import Ledger
from comfreyshelf.model import Job, Placement, Shape
from comfreyshelf.records import (
    AnyBody,
    AttemptStarted,
    DomainClaimed,
    JobAccepted,
    JobFinished,
    Record,
    decode_record,
    encode_record,
    make_record_id,
)
from comfreyshelf.snapshots import Recovery, encode_snapshot

DOMAIN = DomainId("domain")
RESULT_BYTES = 1024


def ledger_memory(jobs: int, parts: int) -> float:
    """Return the ledger's bytes for each job; every second job has a result of RESULT_BYTES."""
    data = [
        encode_record(Record(make_record_id("w", index + 1), "w", 1e9, body))
        for index, body in enumerate(make_record_bodies(jobs, parts))
    ]
    gc.collect()
    tracemalloc.start()
    ledger = Ledger()
    for offset, item in enumerate(data):
        ledger.apply(Offset(offset), decode_record(item))
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used / jobs


class Row(msgspec.Struct):
    """Figures for one number of jobs; `apply_us` and `decode_us` are for one record."""

    jobs: int
    parts: int
    records: int
    apply_us: float
    decode_us: float
    snapshot_bytes: int
    encode_s: float
    recover_s: float
    rss_mb: float


def make_record_bodies(jobs: int, parts: int) -> list[AnyBody]:
    """Make the records of jobs that were accepted and started, every second of them finished."""
    bodies: list[AnyBody] = [DomainClaimed(DOMAIN, Epoch(1), Epoch(0), EntryId("e"))]
    for index in range(jobs):
        job_id = JobId(f"{index:032x}")
        job = Job(
            job_id,
            OrganisationId(f"organisation-{index % 410}"),
            CallerId(f"caller-{index % 1000}"),
            f"key-{index}",
            ServiceId("service"),
            "kind",
            Shape(parts, 8),
            3600.0,
            payload=b"x" * 256,
        )
        placements = tuple(
            Placement(part, TargetId(f"target-{(index * parts + part) % 31000:05d}"), 255)
            for part in range(parts)
        )
        bodies.append(JobAccepted(job, DOMAIN))
        bodies.append(AttemptStarted(job_id, Attempt(1), DOMAIN, Epoch(1), placements))
        if index % 2:
            result = b"r" * RESULT_BYTES
            bodies.append(JobFinished(job_id, Attempt(1), DOMAIN, Epoch(1), result, "d" * 64))
    return bodies


def measure(jobs: int, parts: int) -> Row:
    """Apply the records of `jobs` jobs, take a snapshot, and recover from it.

    Raises AssertionError if jobs are missing after the recovery.
    """
    bodies = make_record_bodies(jobs, parts)
    data = [
        encode_record(Record(make_record_id("w", index + 1), "w", 1e9, body))
        for index, body in enumerate(bodies)
    ]
    started = time.perf_counter()
    records = [decode_record(item) for item in data]
    decoded = time.perf_counter()
    ledger = Ledger()
    for offset, record in enumerate(records):
        ledger.apply(Offset(offset), record)
    applied = time.perf_counter()
    chunks = encode_snapshot(ledger)
    encoded = time.perf_counter()
    recovery = Recovery(ledger.next_offset)
    for index, chunk in enumerate(chunks):
        record = Record(make_record_id("s", index + 1), "s", 1e9, chunk)
        recovery.add(Offset(ledger.next_offset + index), record)
    recovered_ledger = Ledger()
    recovery.rebuild(recovered_ledger)
    recovered = time.perf_counter()
    if len(recovered_ledger.state.jobs) != jobs:
        raise AssertionError(f"recovered {len(recovered_ledger.state.jobs)} of {jobs} jobs")
    return Row(
        jobs,
        parts,
        len(records),
        (applied - decoded) / len(records) * 1e6,
        (decoded - started) / len(records) * 1e6,
        sum(len(chunk.data) for chunk in chunks),
        encoded - applied,
        recovered - encoded,
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    )


def main(
    jobs: Annotated[list[int] | None, typer.Option(help="numbers of jobs")] = None,
    parts: Annotated[int, typer.Option(help="parts of each job")] = 13,
) -> None:
    """Print the costs of applying records, snapshots and recovery by number of jobs."""
    header = ("jobs", "records", "apply us", "decode us", "snapshot KB", "encode s", "recover s")
    print("  ".join(f"{name:>11}" for name in (*header, "max RSS MB")))
    for count in jobs or [1_000, 5_000, 10_000, 20_000]:
        row = measure(count, parts)
        figures = (
            f"{row.jobs}",
            f"{row.records}",
            f"{row.apply_us:.1f}",
            f"{row.decode_us:.1f}",
            f"{row.snapshot_bytes / 1024:.0f}",
            f"{row.encode_s:.3f}",
            f"{row.recover_s:.3f}",
            f"{row.rss_mb:.0f}",
        )
        print("  ".join(f"{figure:>11}" for figure in figures))
    count = (jobs or [1_000])[0]
    print(f"ledger memory a job, half of them finished: {ledger_memory(count, parts):.0f} bytes")


if __name__ == "__main__":
    typer.run(main)
