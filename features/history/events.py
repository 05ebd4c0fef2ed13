"""Events that a simulation run records for the checkers; times are virtual, in seconds."""

from enum import Enum

import msgspec

from comfreyshelf.errors import Execution
from comfreyshelf.ids import Attempt, JobId, RequestId, TargetId, Version
from comfreyshelf.model import Job, JobState, PartState, Placement, WorkerInfo
from comfreyshelf.records import AnyBody


class Promise(Enum):
    """The eight guarantees of the design that the checkers verify."""

    GUARANTEE = "guarantee"
    GANG = "gang"
    ANSWER = "answer"
    REFUSAL = "refusal"
    AT_MOST_ONCE = "at-most-once"
    DRAIN = "drain"
    GRACEFUL = "graceful"
    CONFIGURATION = "configuration"


class HistoryEvent(msgspec.Struct, frozen=True, tag=True):
    """Base of all events; `time` is when it happened."""

    time: float


class FaultActive(HistoryEvent, frozen=True):
    """A fault is active from `time` until `until`; time limits of promises count from its end."""

    until: float
    fault: str


class JobSubmitted(HistoryEvent, frozen=True):
    """A caller submitted a job; every submission, also a retry, has a new job id."""

    job: Job


class JobAnswered(HistoryEvent, frozen=True):
    """The answer to a submission.

    An acceptance sets `accepted_as`, the id of the job accepted under the caller's key, which may
    stem from an earlier submission. A refusal sets `execution`.
    """

    job: JobId
    accepted_as: JobId | None = None
    execution: Execution | None = None


class ResultRead(HistoryEvent, frozen=True):
    """A caller read the final state and the result of its job."""

    job: JobId
    state: JobState
    result: bytes
    digest: str


class JobLost(HistoryEvent, frozen=True):
    """A job had not reached a final state at the end of the run, long after the last fault."""

    job: JobId


class RequestSent(HistoryEvent, frozen=True):
    """A caller sent a short request to an entry; requests with the same `key` may run once only."""

    request: RequestId
    body: bytes
    idempotent: bool
    key: str = ""
    entry: str = ""


class RequestAnswered(HistoryEvent, frozen=True):
    """The answer to a request: a body, or whether a refused request may have run."""

    request: RequestId
    body: bytes | None = None
    execution: Execution | None = None


class EntryEnded(HistoryEvent, frozen=True):
    """An entry process ended, by a planned stop if `planned`, else by a kill."""

    entry: str
    planned: bool


class RunnerStarted(HistoryEvent, frozen=True):
    """A runner started a request."""

    target: TargetId
    request: RequestId


class RunnerEnded(HistoryEvent, frozen=True):
    """A runner ended a request."""

    target: TargetId
    request: RequestId


class WorkerUp(HistoryEvent, frozen=True):
    """A target process and its worker started."""

    worker: WorkerInfo


class WorkerDown(HistoryEvent, frozen=True):
    """A target process and its worker ended, by a planned stop if `planned`, else by a kill."""

    target: TargetId
    planned: bool


class PartsReserved(HistoryEvent, frozen=True):
    """A target reserved accelerators for parts of an attempt."""

    target: TargetId
    job: Job
    attempt: Attempt
    placements: tuple[Placement, ...]


class PartStarted(HistoryEvent, frozen=True):
    """A worker started a part; `run` is unique to this start."""

    target: TargetId
    job: Job
    attempt: Attempt
    placement: Placement
    run: int


class PartExited(HistoryEvent, frozen=True):
    """A part ended on its worker, possibly after it wrote a checkpoint."""

    target: TargetId
    run: int
    state: PartState
    checkpointed: bool


class PartsReleased(HistoryEvent, frozen=True):
    """A target released the reservation of an attempt."""

    target: TargetId
    job: JobId
    attempt: Attempt


class Recorded(HistoryEvent, frozen=True):
    """A record in the log, and whether a replay of the whole log without faults accepts it."""

    accepted: bool
    body: AnyBody


class Published(HistoryEvent, frozen=True):
    """A configuration was accepted; `scrapped` are the targets that it marks as scrap."""

    version: Version
    text: str
    scrapped: frozenset[TargetId]


class ConfigRead(HistoryEvent, frozen=True):
    """The configuration version in force in a process; `text` is empty for targets."""

    process: str
    version: Version
    text: str = ""


class Crashed(HistoryEvent, frozen=True):
    """A process raised an exception that nothing handled."""

    process: str
    error: str


class Violation(msgspec.Struct, frozen=True):
    """A broken promise with the events that prove it; no promise for an unhandled exception."""

    promise: Promise | None
    message: str
    events: tuple[HistoryEvent, ...] = ()
