"""What runners and callers saw during a soak, in order."""

import threading
import time
from enum import Enum

import msgspec


class RunEnd(Enum):
    """How a run ended on its runner."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    CRASHED = "crashed"


class SeenRun(msgspec.Struct):
    """A run as its runner saw it; times are monotonic seconds.

    `room_used` is what the runner had in use with this run, `room` what it had then or shortly
    before. `draining_for_s` is since when it had been told that its heartbeat as draining arrived.
    `is_lease_lapsed` is whether the runner's lease lapsed between the end and its acknowledgement.
    """

    task: str
    run: int
    runner: str
    payload: str
    began_at: float
    room_used: int
    room: int
    draining_for_s: float = 0.0
    ended_at: float = 0.0
    end: RunEnd | None = None
    is_acknowledged: bool = False
    is_lease_lapsed: bool = False

    @property
    def is_noted(self) -> bool:
        """Whether the end counts as taken note of."""
        return self.is_acknowledged and not self.is_lease_lapsed

    @property
    def job(self) -> str:
        """The id of the job that the run belongs to."""
        return self.task.partition(".")[0]


class JobFate(Enum):
    """What a caller knows of its submission."""

    OPEN = "no try was answered for good"
    ACCEPTED = "accepted"
    REFUSED = "every try was refused"


class SeenJob(msgspec.Struct):
    """A job as its caller sees it."""

    id: str
    payload: str
    tasks: int
    is_gang: bool = False
    fate: JobFate = JobFate.REFUSED
    cancel_sent_at: float = 0.0
    cancelled_at: float = 0.0
    state: str = ""


class History:
    """All runs and jobs of one soak, and what was seen to break a promise; thread-safe."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.began_at = time.monotonic()
        self.runs: list[SeenRun] = []
        self.jobs: dict[str, SeenJob] = {}
        self.violations: list[str] = []
        # Jobs that were given up although they crash no runner and do not fail often enough.
        self.given_up: list[str] = []
        self.lines: list[str] = []

    def note(self, line: str) -> None:
        """Keep a line for the report of a failure."""
        with self.lock:
            self.lines.append(f"{time.monotonic() - self.began_at:7.3f} {line}")

    def violate(self, promise: str) -> None:
        """Record a broken promise."""
        self.note(f"VIOLATION {promise}")
        with self.lock:
            self.violations.append(promise)
