"""Events that the scheduler core handles."""

import msgspec

from comfreyshelf.config import Config
from comfreyshelf.ids import Attempt, JobId, TargetId
from comfreyshelf.model import CellUse, HeldPart, Job, PartState, Placement, WorkerInfo
from comfreyshelf.reasons import RefusalReason


class Event(msgspec.Struct, frozen=True):
    """Base of all events."""


class ConfigInForce(Event, frozen=True):
    """A newer configuration took effect."""

    config: Config


class WorkerReported(Event, frozen=True):
    """A worker reported its status and the parts that it holds; its first report adds it."""

    worker: WorkerInfo
    parts: tuple[HeldPart, ...] = ()


class WorkerLost(Event, frozen=True):
    """The lease of a target expired; all parts on it are lost."""

    target: TargetId


class JobQueued(Event, frozen=True):
    """A job entered the domain's queue; `attempt` is the number of its latest attempt, or 0."""

    job: Job
    attempt: Attempt = Attempt(0)


class JobResumed(Event, frozen=True):
    """A new owner found an open attempt of a job in the log; `cell` is the cell it uses, if any."""

    job: Job
    attempt: Attempt
    placements: tuple[Placement, ...]
    cell: CellUse | None = None


class JobClosed(Event, frozen=True):
    """The log shows that a job is finished, cancelled, refused or routed elsewhere."""

    job: JobId


class PartsReserved(Event, frozen=True):
    """A target reserved all of its parts of an attempt."""

    job: JobId
    attempt: Attempt
    target: TargetId


class ReservationRefused(Event, frozen=True):
    """A target refused a reservation and will never start these parts."""

    job: JobId
    attempt: Attempt
    target: TargetId
    reason: RefusalReason


class StartRecorded(Event, frozen=True):
    """The ledger accepted or rejected an `AttemptStarted` record."""

    job: JobId
    attempt: Attempt
    accepted: bool


class PartEnded(Event, frozen=True):
    """A part finished, failed or stopped; `run_s` is how long it ran in seconds.

    `started` is False only if the target is certain that the part never started.
    """

    job: JobId
    attempt: Attempt
    part: int
    target: TargetId
    state: PartState
    result: bytes = b""
    run_s: float = 0.0
    started: bool = True
    checkpointed: bool = False


class UsageReported(Event, frozen=True):
    """Usage of a part as the platform reports it, with a delay.

    `busy` is the utilisation of the accelerators, from 0 to 1.
    """

    job: JobId
    part: int
    target: TargetId
    busy: float
    memory_gb: float


class ProbeEnded(Event, frozen=True):
    """A probe of a quarantined worker passed or failed."""

    target: TargetId
    passed: bool


class LogAvailability(Event, frozen=True):
    """The log became reachable or unreachable."""

    up: bool


class Tick(Event, frozen=True):
    """Periodic event that drives time-outs and other work that is due."""
