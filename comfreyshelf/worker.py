"""The platform's worker and the service's runner as a target process sees them, with stand-ins."""

import hashlib
import threading
import time
from abc import ABC, abstractmethod
from collections.abc import Callable

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


class Worker(ABC):
    """Runs parts on the local accelerators; `on_exit` is called from any thread."""

    on_exit: Callable[[PartExit], None]

    @abstractmethod
    def start_part(self, job: Job, attempt: Attempt, placement: Placement) -> None:
        """Start a part; returns at once."""

    @abstractmethod
    def stop_part(self, job: JobId, attempt: Attempt, part: int, checkpoint: bool) -> None:
        """Stop a part, after a checkpoint if `checkpoint`; returns at once."""

    @abstractmethod
    def probe(self) -> bool:
        """Run a short probe and tell whether it passed."""

    @abstractmethod
    def close(self) -> None:
        """Stop everything."""


class Runner(ABC):
    """A back end that answers short requests of one service."""

    @abstractmethod
    def call(self, body: bytes, timeout_s: float) -> bytes:
        """Answer a request; raises OSError or TimeoutError on failure."""


class StandinPayload(msgspec.Struct, frozen=True):
    """What a stand-in worker reads from a job's payload (JSON)."""

    run_s: float = 0.1
    fail: bool = False


def expected_result(job: Job) -> bytes:
    """The whole result that stand-in workers produce for a job."""
    return b"".join(part_result(job, part) for part in range(job.shape.parts))


def part_result(job: Job, part: int) -> bytes:
    """The result of one part on a stand-in worker, at most 64 KiB / 512 long."""
    digest = hashlib.sha256(job.payload + str(part).encode()).hexdigest()[:16]
    return f"{part}:{digest};".encode()


class StandinWorker(Worker):
    """Runs each part as a timer; it can be told to fail everything that it starts."""

    def __init__(self, checkpoint_s: float = 0.05) -> None:
        self.on_exit = lambda exit_: None
        self.fails_everything = False
        self.started: list[tuple[JobId, Attempt, int]] = []
        self._checkpoint_s = checkpoint_s
        self._lock = threading.Lock()
        self._timers: dict[tuple[JobId, Attempt, int], tuple[threading.Timer, float]] = {}

    def start_part(self, job: Job, attempt: Attempt, placement: Placement) -> None:
        """Start a timer for the run time in the payload."""
        try:
            payload = msgspec.json.decode(job.payload or b"{}", type=StandinPayload)
        except msgspec.DecodeError:
            payload = StandinPayload(fail=True)
        state = PartState.FAILED if payload.fail or self.fails_everything else PartState.FINISHED
        result = part_result(job, placement.part) if state is PartState.FINISHED else b""
        key = (job.id, attempt, placement.part)
        self._start_timer(key, payload.run_s, state, result)
        self.started.append(key)

    def stop_part(self, job: JobId, attempt: Attempt, part: int, checkpoint: bool) -> None:
        """Replace the run timer by a short checkpoint timer."""
        key = (job, attempt, part)
        with self._lock:
            timer = self._timers.pop(key, None)
        if timer is None:
            return
        timer[0].cancel()
        delay = self._checkpoint_s if checkpoint else 0.0
        self._start_timer(key, delay, PartState.STOPPED, b"", checkpoint)

    def probe(self) -> bool:
        """Pass unless the worker fails everything."""
        return not self.fails_everything

    def close(self) -> None:
        """Cancel all timers."""
        with self._lock:
            for timer, _ in self._timers.values():
                timer.cancel()
            self._timers.clear()

    def _start_timer(
        self,
        key: tuple[JobId, Attempt, int],
        delay_s: float,
        state: PartState,
        result: bytes,
        checkpointed: bool = False,
    ) -> None:
        timer = threading.Timer(delay_s, self._expire, (key, state, result, checkpointed))
        timer.daemon = True
        with self._lock:
            self._timers[key] = (timer, time.monotonic())
        timer.start()

    def _expire(
        self, key: tuple[JobId, Attempt, int], state: PartState, result: bytes, checkpointed: bool
    ) -> None:
        with self._lock:
            entry = self._timers.pop(key, None)
        if entry is None:
            return
        run_s = time.monotonic() - entry[1]
        self.on_exit(PartExit(*key, state, result, run_s, checkpointed))


class StandinRunner(Runner):
    """Answers a request with its body reversed after `delay_s` seconds."""

    def __init__(self, delay_s: float = 0.0) -> None:
        self.delay_s = delay_s
        self.calls = 0

    def call(self, body: bytes, timeout_s: float) -> bytes:
        """Answer after the delay, or raise TimeoutError."""
        self.calls += 1
        if self.delay_s > timeout_s:
            time.sleep(timeout_s)
            raise TimeoutError("the runner did not answer in time")
        time.sleep(self.delay_s)
        return body[::-1]
