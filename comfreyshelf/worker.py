"""Interface of a target process to its platform's worker, and a stand-in for tests and demos."""

import hashlib
import threading
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum
from pathlib import Path

import msgspec

from comfreyshelf.ids import Attempt, JobId
from comfreyshelf.model import Job, PartState, Placement


class PartExit(msgspec.Struct, frozen=True):
    """A part ended on the worker; `run_s` is its run time in seconds."""

    job: JobId
    attempt: Attempt
    part: int
    state: PartState
    result: bytes = b""
    run_s: float = 0.0
    checkpointed: bool = False


class PartUsage(msgspec.Struct, frozen=True):
    """Usage of a part; `busy` is the share of time that its accelerators were busy, 0 to 1."""

    job: JobId
    part: int
    busy: float
    memory_gb: float


class Worker(ABC):
    """Runs parts on the local accelerators.

    `on_exit` is called for each part that ends, from any thread. All methods but `probe` return
    without waiting. A call about an unknown part is ignored, because the part may just have ended.
    """

    on_exit: Callable[[PartExit], None]

    @abstractmethod
    def start_part(self, job: Job, attempt: Attempt, placement: Placement) -> None:
        """Start a part, from its newest checkpoint if there is one."""

    @abstractmethod
    def stop_part(self, job: JobId, attempt: Attempt, part: int, checkpoint: bool) -> None:
        """Stop a part, after a checkpoint if `checkpoint`."""

    @abstractmethod
    def checkpoint_part(self, job: JobId, attempt: Attempt, part: int) -> None:
        """Write a checkpoint of a part, which continues to run."""

    @abstractmethod
    def throttle_part(self, job: JobId, attempt: Attempt, part: int, share: float) -> None:
        """Limit a part to `share` (above 0, at most 1) of its accelerators' time."""

    @abstractmethod
    def usage(self) -> list[PartUsage]:
        """Usage of the running parts; the platform reports it with a lag of some seconds."""

    @abstractmethod
    def probe(self) -> bool:
        """Run a short test of the accelerators; returns whether it passed."""

    @abstractmethod
    def close(self) -> None:
        """Stop everything."""


class StandinPayload(msgspec.Struct, frozen=True):
    """JSON payload of a job for the stand-in worker: run time in seconds, and whether it fails."""

    run_s: float = 0.1
    fail: bool = False


class WorkerFault(Enum):
    """Fault that a stand-in worker simulates."""

    NONE = ""
    SLOW = "slow"
    FAILS_EVERYTHING = "fails_everything"
    IGNORES_STOPS = "ignores_stops"


def standin_job_result(job: Job) -> bytes:
    """The result of a whole job on stand-in workers: the results of its parts in order."""
    return b"".join(standin_part_result(job, part) for part in range(job.shape.parts))


def standin_part_result(job: Job, part: int) -> bytes:
    """The result of one part on a stand-in worker.

    It has less than 128 bytes, so that the results of MAX_PARTS = 512 parts together stay within
    the 64 KiB of a job's result.
    """
    digest = hashlib.sha256(job.payload + str(part).encode()).hexdigest()[:16]
    return f"{part}:{digest};".encode()


PartKey = tuple[JobId, Attempt, int]


class RunningPart(msgspec.Struct):
    """A part on the stand-in worker.

    The part needs `required_s` seconds of work, of which `done_s` were done at `updated_at`. It
    does `speed` seconds of work per second.
    """

    job: Job
    required_s: float
    done_s: float
    updated_at: float
    started_at: float
    outcome: PartState
    result: bytes
    speed: float = 1.0
    timer: threading.Timer | None = None
    is_stopping: bool = False

    def progress_s(self, now: float) -> float:
        """Seconds of work done by `now`."""
        return min(self.required_s, self.done_s + (now - self.updated_at) * self.speed)


class StandinWorker(Worker):
    """Simulates each part by a timer; `fault` is the fault to simulate.

    `folder` takes the place of the platform's storage, which several workers share: checkpoints are
    files in it, and `started.txt` and `ended.txt` get one line `JOB ATTEMPT PART TEXT` for each
    part that starts or ends. Without a folder, checkpoints are kept in the memory of this worker.
    """

    SLOW_SPEED = 0.1

    def __init__(
        self,
        checkpoint_s: float = 0.05,
        folder: Path | None = None,
        fault: WorkerFault = WorkerFault.NONE,
        usage_lag_s: float = 5.0,
    ) -> None:
        self.on_exit = lambda exit_: None
        self.fault = fault
        self.started: list[PartKey] = []
        self._checkpoint_s = checkpoint_s
        self._folder = folder
        self._usage_lag_s = usage_lag_s
        self._lock = threading.Lock()
        self._parts: dict[PartKey, RunningPart] = {}
        self._checkpoints: dict[tuple[JobId, int], float] = {}

    def start_part(self, job: Job, attempt: Attempt, placement: Placement) -> None:
        """Start a timer for the run time of the payload, less the progress of the checkpoint."""
        try:
            payload = msgspec.json.decode(job.payload or b"{}", type=StandinPayload)
        except (msgspec.DecodeError, msgspec.ValidationError):
            payload = StandinPayload(fail=True)
        fails = payload.fail or self.fault is WorkerFault.FAILS_EVERYTHING
        key = (job.id, attempt, placement.part)
        now = time.monotonic()
        done_s = self._load_checkpoint(job.id, placement.part)
        part = RunningPart(
            job,
            payload.run_s,
            done_s,
            now,
            now,
            PartState.FAILED if fails else PartState.FINISHED,
            b"" if fails else standin_part_result(job, placement.part),
            self.SLOW_SPEED if self.fault is WorkerFault.SLOW else 1.0,
        )
        self.started.append(key)
        self._append_event("started", key, f"from {done_s:.2f}")
        with self._lock:
            self._parts[key] = part
            self._set_timer(key, part, now)

    def stop_part(self, job: JobId, attempt: Attempt, part: int, checkpoint: bool) -> None:
        """End a part, with `checkpoint` after the time that writing one takes."""
        if self.fault is WorkerFault.IGNORES_STOPS:
            return
        key = (job, attempt, part)
        with self._lock:
            running = self._parts.get(key)
            if running is None or (running.is_stopping and checkpoint):
                return
            running.is_stopping = True
            delay_s = self._checkpoint_s if checkpoint else 0.0
            self._restart_timer(running, delay_s, lambda: self._on_part_stopped(key, checkpoint))

    def checkpoint_part(self, job: JobId, attempt: Attempt, part: int) -> None:
        """Save the progress of a part as its checkpoint."""
        with self._lock:
            running = self._parts.get((job, attempt, part))
            done_s = running.progress_s(time.monotonic()) if running is not None else 0.0
        if running is not None:
            self._save_checkpoint(job, part, done_s)

    def throttle_part(self, job: JobId, attempt: Attempt, part: int, share: float) -> None:
        """Set the speed of a part to `share`, at least 0.01."""
        key = (job, attempt, part)
        now = time.monotonic()
        with self._lock:
            running = self._parts.get(key)
            if running is None or running.is_stopping:
                return
            running.done_s = running.progress_s(now)
            running.updated_at = now
            running.speed = max(0.01, min(1.0, share))
            self._set_timer(key, running, now)

    def usage(self) -> list[PartUsage]:
        """Usage of the parts that have run for longer than the simulated lag."""
        latest_start = time.monotonic() - self._usage_lag_s
        with self._lock:
            return [
                PartUsage(key[0], key[2], part.speed, float(part.job.shape.memory_gb))
                for key, part in self._parts.items()
                if part.started_at <= latest_start
            ]

    def probe(self) -> bool:
        """Pass unless the simulated fault fails everything."""
        return self.fault is not WorkerFault.FAILS_EVERYTHING

    def close(self) -> None:
        """Cancel the timers of all parts."""
        with self._lock:
            for part in self._parts.values():
                if part.timer is not None:
                    part.timer.cancel()
            self._parts.clear()

    def _set_timer(self, key: PartKey, part: RunningPart, now: float) -> None:
        remaining_s = (part.required_s - part.progress_s(now)) / part.speed
        self._restart_timer(part, remaining_s, lambda: self._on_part_ended(key))

    @staticmethod
    def _restart_timer(part: RunningPart, delay_s: float, callback: Callable[[], None]) -> None:
        if part.timer is not None:
            part.timer.cancel()
        part.timer = threading.Timer(delay_s, callback)
        part.timer.daemon = True
        part.timer.start()

    def _on_part_ended(self, key: PartKey) -> None:
        with self._lock:
            part = self._parts.get(key)
            if part is None or part.is_stopping:
                return
            del self._parts[key]
        self._report_exit(key, part, part.outcome, part.result, False)

    def _on_part_stopped(self, key: PartKey, checkpoint: bool) -> None:
        with self._lock:
            part = self._parts.pop(key, None)
        if part is None:
            return
        if checkpoint:
            self._save_checkpoint(key[0], key[2], part.progress_s(time.monotonic()))
        self._report_exit(key, part, PartState.STOPPED, b"", checkpoint)

    def _report_exit(
        self, key: PartKey, part: RunningPart, state: PartState, result: bytes, checkpointed: bool
    ) -> None:
        run_s = time.monotonic() - part.started_at
        self._append_event("ended", key, state.value)
        self.on_exit(PartExit(*key, state, result, run_s, checkpointed))

    def _append_event(self, event: str, key: PartKey, text: str) -> None:
        if self._folder is None:
            return
        # A single short write in append mode keeps lines of several processes apart.
        with (self._folder / f"{event}.txt").open("a", encoding="utf-8") as file:
            file.write(f"{key[0]} {key[1]} {key[2]} {text}\n")

    def _save_checkpoint(self, job: JobId, part: int, done_s: float) -> None:
        self._checkpoints[job, part] = done_s
        if self._folder is not None:
            (self._folder / f"checkpoint-{job}-{part}").write_text(str(done_s), encoding="utf-8")

    def _load_checkpoint(self, job: JobId, part: int) -> float:
        if self._folder is None:
            return self._checkpoints.get((job, part), 0.0)
        try:
            path = self._folder / f"checkpoint-{job}-{part}"
            return float(path.read_text(encoding="utf-8"))
        except (OSError, ValueError):
            return 0.0
