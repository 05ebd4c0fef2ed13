"""Jobs, their steps, and how far each task has come."""

from enum import Enum
from typing import NewType

import msgspec

from comfreyshelf.ids import JobId, OrganisationId, RackId, ServiceId, TargetId, Version, ZoneId

QueueName = NewType("QueueName", str)
TaskName = NewType("TaskName", str)
RunNumber = NewType("RunNumber", int)
Incarnation = NewType("Incarnation", int)
Token = NewType("Token", int)


# An accelerator counts as this many cores.
CORES_PER_ACCELERATOR = 8


class JobPhase(Enum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job can no longer change state."""
        return self not in (JobPhase.QUEUED, JobPhase.RUNNING)


class EndKind(Enum):
    """How a run ended on its target."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REJECTED = "rejected"
    LOST = "lost"


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Processor in thousandths of a core, memory in MB, and a number of accelerators."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    @property
    def core_equivalents(self) -> float:
        """Cores that this room counts for, with its accelerators."""
        return self.cpu_millicores / 1000 + CORES_PER_ACCELERATOR * self.accelerators

    def can_hold(self, demand: "Resources") -> bool:
        """Whether `demand` fits into this room."""
        return (
            demand.cpu_millicores <= self.cpu_millicores
            and demand.memory_mb <= self.memory_mb
            and demand.accelerators <= self.accelerators
        )


class Step(msgspec.Struct, frozen=True):
    """Equal tasks of a job that may start once the steps in `after` are done.

    `estimate_ms` is the caller's rough run time. `label` is required of the target, `rack` is only
    preferred. At most `per_target` tasks of one occurrence run on one target; 0 means any number.
    """

    count: int
    demand: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    per_target: int = 0
    lasting: bool = False


class Job(msgspec.Struct, frozen=True):
    """One accepted job.

    `accepted_at` is in seconds since the epoch. A job with `times` greater than 0 runs its steps
    that many times, first at `first_ms` since the epoch and then every `every_ms`.
    """

    id: JobId
    organisation: OrganisationId
    queue: QueueName
    payload: str
    steps: tuple[Step, ...]
    accepted_at: float
    times: int = 0
    first_ms: int = 0
    every_ms: int = 0


class TaskProgress(msgspec.Struct, array_like=True):
    """How far one task has come; `target` is empty while no run of it is ordered.

    `checkpoint` is the newest that is known, `resumed_from` the one that the run was ordered with.
    `machine` is where the target runs.
    """

    run: RunNumber = RunNumber(0)
    target: TargetId = TargetId("")
    incarnation: Incarnation = Incarnation(0)
    failures: int = 0
    done: bool = False
    checkpoint: str = ""
    resumed_from: str = ""
    machine: str = ""


class Progress(msgspec.Struct):
    """How far a job has come; tasks that were never ordered are missing.

    `ended_at` is in seconds since the epoch, 0 while the job has not ended.
    """

    phase: JobPhase = JobPhase.QUEUED
    tasks: dict[TaskName, TaskProgress] = {}
    ended_at: float = 0.0


class Queue(msgspec.Struct, frozen=True):
    """A queue of jobs; priority 0 is the most urgent.

    `latency_s` and `stretch` give the objective: `stretch` times the longest chain of work, and
    `latency_s` more.
    """

    name: QueueName
    host: str
    prefix: str
    service: ServiceId
    priority: int
    attempts: int
    stretch: float
    latency_s: float
    open: bool


class Organisation(msgspec.Struct, frozen=True):
    """An organisation with its callers' keys and its guaranteed number of accelerators."""

    id: OrganisationId
    keys: tuple[str, ...]
    guaranteed: int


class FleetConfig(msgspec.Struct, frozen=True):
    """The operators' configuration in force."""

    version: Version
    queues: tuple[Queue, ...]
    organisations: tuple[Organisation, ...]
    max_body_bytes: int

    def queue_for_path(self, host: str, path: str) -> Queue | None:
        """The queue of the longest prefix of `path` on `host`."""
        matches = [q for q in self.queues if q.host == host and path.startswith(q.prefix)]
        return max(matches, key=lambda queue: len(queue.prefix), default=None)

    def organisation_by_key(self, key: str) -> Organisation | None:
        """The organisation that holds a key."""
        return next((o for o in self.organisations if key in o.keys), None)

    def queue_by_name(self, name: QueueName) -> Queue | None:
        """The queue of that name."""
        return next((q for q in self.queues if q.name == name), None)

    def guaranteed_accelerators(self, organisation: OrganisationId) -> int:
        """The guaranteed accelerators of an organisation, 0 if it is unknown."""
        return next((o.guaranteed for o in self.organisations if o.id == organisation), 0)


class Announcement(msgspec.Struct, frozen=True):
    """What a target says of itself in a heartbeat.

    `drain_left_ms` is the least time that is left while it drains. `incarnation` is the Unix
    millisecond of its start. `clock_ms` is its own clock.
    """

    id: TargetId
    service: ServiceId
    zone: ZoneId
    rack: RackId
    labels: tuple[str, ...]
    room: Resources
    draining: bool
    drain_left_ms: int
    incarnation: Incarnation
    sequence: int
    clock_ms: int


class RunningRow(msgspec.Struct, frozen=True, array_like=True):
    """A run that a target lists as running; `percent` is how far or how fast it works."""

    task: str
    run: int
    checkpoint: str
    percent: int


class EndedRow(msgspec.Struct, frozen=True, array_like=True):
    """An end that a target lists until it is acknowledged; `number` counts from 1."""

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str


class RunListing(msgspec.Struct, frozen=True):
    """Both lists of a target, with its clock in milliseconds and its incarnation."""

    clock_ms: int
    incarnation: Incarnation
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]


def full_task_name(job: JobId, task: TaskName) -> str:
    """The name of a task across jobs: job, occurrence, step and index, joined by dots."""
    return f"{job}.{task}"


def split_full_name(full: str) -> tuple[JobId, TaskName]:
    """The job and the task of a full name."""
    job, _, task = full.partition(".")
    return JobId(job), TaskName(task)


def task_name(occurrence: int, step: int, index: int) -> TaskName:
    """The name of a task within its job."""
    return TaskName(f"{occurrence}.{step}.{index}")


def parse_task_name(task: TaskName) -> tuple[int, int, int]:
    """Occurrence, step and index of a task."""
    occurrence, step, index = task.split(".")
    return int(occurrence), int(step), int(index)
