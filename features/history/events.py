"""Typed events of a history; `time` is virtual time in seconds."""

from enum import Enum

import msgspec

from comfreyshelf.errors import Execution
from comfreyshelf.ids import Attempt, JobId, RequestId, TargetId, Version
from comfreyshelf.model import Job, JobState, PartState, Placement, WorkerInfo
from comfreyshelf.records import AnyBody


class Promise(Enum):
    """The eight promises of the design."""

    GUARANTEE = "guarantee"
    GANG = "gang"
    ANSWER = "answer"
    REFUSAL = "refusal"
    AT_MOST_ONCE = "at-most-once"
    DRAIN = "drain"
    GRACEFUL = "graceful"
    CONFIGURATION = "configuration"


class HistoryEvent(msgspec.Struct, frozen=True, tag=True):
    """Base of all events."""

    time: float


class FaultActive(HistoryEvent, frozen=True):
    """A fault acts from `time` until `until`; limits in seconds count from its end."""

    until: float
    fault: str


class JobSubmitted(HistoryEvent, frozen=True):
    """A caller submitted a job under a job id of its own."""

    job: Job


class JobAnswered(HistoryEvent, frozen=True):
    """The answer to a submission; `known` is the job that it names, `execution` of a refusal."""

    job: JobId
    accepted_as: JobId | None = None
    execution: Execution | None = None


class ResultRead(HistoryEvent, frozen=True):
    """A caller read the final state of its job."""

    job: JobId
    state: JobState
    result: bytes
    digest: str


class JobLost(HistoryEvent, frozen=True):
    """A job had no final state at the end of the run, long after the last fault."""

    job: JobId


class RequestSent(HistoryEvent, frozen=True):
    """A caller sent a short request to an entry process; submissions of one `key` run once."""

    request: RequestId
    body: bytes
    idempotent: bool
    key: str = ""
    entry: str = ""


class RequestAnswered(HistoryEvent, frozen=True):
    """The answer to a request: a body, or what is known about the execution of a refusal."""

    request: RequestId
    body: bytes | None = None
    execution: Execution | None = None


class EntryEnded(HistoryEvent, frozen=True):
    """An entry process ended; `planned` marks a planned stop."""

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
    """A target process started."""

    worker: WorkerInfo


class WorkerDown(HistoryEvent, frozen=True):
    """A target process ended with everything on it; `planned` marks a planned stop."""

    target: TargetId
    planned: bool


class PartsReserved(HistoryEvent, frozen=True):
    """A target reserved parts of an attempt."""

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
    """A worker ended a part."""

    target: TargetId
    run: int
    state: PartState
    checkpointed: bool


class PartsReleased(HistoryEvent, frozen=True):
    """A target no longer holds an attempt."""

    target: TargetId
    job: JobId
    attempt: Attempt


class Recorded(HistoryEvent, frozen=True):
    """A record in the log, as a fold of the whole log without faults judges it."""

    accepted: bool
    body: AnyBody


class Published(HistoryEvent, frozen=True):
    """An operator's publication was accepted; `scrapped` are the targets that it marks."""

    version: Version
    text: str
    scrapped: frozenset[TargetId]


class ConfigRead(HistoryEvent, frozen=True):
    """The version in force in one process; `text` is empty where a process knows only numbers."""

    process: str
    version: Version
    text: str = ""


class Crashed(HistoryEvent, frozen=True):
    """A process raised an exception that is no part of its interface."""

    process: str
    error: str


class Violation(msgspec.Struct, frozen=True):
    """A broken promise with the events that show it."""

    promise: Promise | None
    message: str
    events: tuple[HistoryEvent, ...] = ()
