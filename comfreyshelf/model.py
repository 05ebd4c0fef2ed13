"""Value types of jobs, workers and requests."""

from enum import Enum
from typing import Annotated

import msgspec

from comfreyshelf.ids import (
    Attempt,
    CallerId,
    JobId,
    OrganisationId,
    RackId,
    ServiceId,
    TargetId,
    ZoneId,
)

MAX_PARTS = 512
MAX_ACCELERATORS_PER_WORKER = 64
MAX_RESULT_BYTES = 64 * 1024
MAX_PAYLOAD_BYTES = 64 * 1024


class Urgency(Enum):
    """How soon a job or request is wanted."""

    URGENT = "urgent"
    HIGH = "high"
    NORMAL = "normal"
    LOW = "low"

    @property
    def rank(self) -> int:
        """Position in the order of urgency; 0 is the most urgent."""
        return _URGENCY_RANK[self]


_URGENCY_RANK = {urgency: rank for rank, urgency in enumerate(Urgency)}


class Adjacency(Enum):
    """The widest unit that the parts of a gang may be spread over."""

    WORKER = "worker"
    RACK = "rack"
    ZONE = "zone"


class JobState(Enum):
    """State of a job in the log."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    MAY_HAVE_RUN = "may_have_run"

    @property
    def is_final(self) -> bool:
        """Whether the job can no longer change state."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class PartState(Enum):
    """State of one part of a gang on its target."""

    RESERVED = "reserved"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"

    @property
    def has_ended(self) -> bool:
        """Whether the part no longer occupies accelerators."""
        return self in (PartState.FINISHED, PartState.FAILED, PartState.STOPPED)


class AttemptOutcome(Enum):
    """How an attempt ended without a result."""

    PREEMPTED = "preempted"
    DRAINED = "drained"
    FAILED = "failed"
    TARGET_LOST = "target_lost"
    NEVER_STARTED = "never_started"
    MAY_HAVE_RUN = "may_have_run"


class Shape(msgspec.Struct, frozen=True):
    """What a gang needs: `parts` equal parts, each with its accelerators on one worker.

    `cores` and `memory_gb` are per part. `Shape(4, 8, Adjacency.RACK)` is four whole workers of
    eight accelerators in one rack.
    """

    parts: int
    accelerators: int
    adjacency: Adjacency = Adjacency.ZONE
    cores: int = 1
    memory_gb: int = 1

    @property
    def total_accelerators(self) -> int:
        """Accelerators of all parts together."""
        return self.parts * self.accelerators


class Job(msgspec.Struct, frozen=True):
    """One accepted gang job.

    `declared_s` is the run time in seconds that the caller expects. `deadline` and `accepted_at`
    are Unix times in seconds; a `deadline` of 0 means none. A `preemptible` job can be checkpointed
    and moved to other workers.
    """

    id: JobId
    organisation: OrganisationId
    caller: CallerId
    key: str
    service: ServiceId
    kind: str
    shape: Shape
    declared_s: float
    urgency: Urgency = Urgency.NORMAL
    deadline: float = 0.0
    idempotent: bool = True
    preemptible: bool = True
    payload: bytes = b""
    accepted_at: float = 0.0

    @property
    def may_borrow(self) -> bool:
        """Whether the job may run on accelerators that are guaranteed to other organisations.

        When they are reclaimed, a checkpoint that takes too long is aborted, so the job has to be
        safe to run again.
        """
        return self.preemptible and self.idempotent


class WorkerInfo(msgspec.Struct, frozen=True):
    """A worker as its target process announces it.

    `accelerators` is a count of at most 64, checked on decoding. `incarnation` increases each time
    the target process starts; parts of an earlier incarnation are known to be gone.
    """

    target: TargetId
    zone: ZoneId
    rack: RackId
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=MAX_ACCELERATORS_PER_WORKER)]
    cores: int
    memory_gb: int
    incarnation: int


class Placement(msgspec.Struct, frozen=True):
    """One part on one target; bit i of `mask` stands for accelerator i."""

    part: int
    target: TargetId
    mask: int


class CellUse(msgspec.Struct, frozen=True):
    """The cell that an attempt uses, planned for guarantee `index` of its organisation.

    The cell is larger than the attempt's placements if the job is smaller than the guaranteed
    shape. Its placements are recorded so that a new owner keeps exactly the same accelerators.
    """

    index: int
    placements: tuple[Placement, ...]


class HeldPart(msgspec.Struct, frozen=True):
    """A part that a target process holds, as its status reports it."""

    job: JobId
    attempt: Attempt
    part: int
    mask: int
    state: PartState


class DomainSummary(msgspec.Struct, frozen=True):
    """Capacity and load of a domain, as other regions see them.

    `free` and `total` give, by accelerators per part, the most parts that fit on one worker, in one
    rack and in one availability zone, now and if the domain were empty. `wait_s` is how many
    seconds the whole domain would need to run its queued jobs.
    """

    free: dict[int, tuple[int, int, int]]
    total: dict[int, tuple[int, int, int]]
    wait_s: float = 0.0
