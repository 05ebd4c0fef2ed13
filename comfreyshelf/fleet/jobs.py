"""Data types of jobs, steps, task progress, targets and the operators' configuration."""

from collections.abc import Mapping
from enum import Enum
from typing import NewType

import msgspec

from comfreyshelf.errors import UserError
from comfreyshelf.ids import JobId, OrganisationId, RackId, ServiceId, TargetId, Version, ZoneId

QueueName = NewType("QueueName", str)
TaskName = NewType("TaskName", str)
RunNumber = NewType("RunNumber", int)
Incarnation = NewType("Incarnation", int)
Token = NewType("Token", int)


# Not the incarnation of any target.
NO_INCARNATION = Incarnation(-1)
# Tasks of a job that may be due together; the progress of so many fits into one stored record.
MAX_TASKS_DUE = 2000
# Weight of an accelerator where work is measured in cores.
CORES_PER_ACCELERATOR = 8


class JobTooLargeError(UserError):
    """A job has more tasks than its progress record can hold."""


class JobPhase(Enum):
    """State of a job that callers are shown."""

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
    """How a run ended.

    The owner itself sets REJECTED (the target will never start the run) and LOST (the target can
    no longer run it); the runner reports the others. LAPSED means that the target's lease ran out,
    BROKEN that another member of the run's gang ended without success.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REJECTED = "rejected"
    LOST = "lost"


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of CPU in thousandths of a core, memory in MB, and accelerators."""

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
        """The CPU cores, plus CORES_PER_ACCELERATOR for each accelerator."""
        return self.cpu_millicores / 1000 + CORES_PER_ACCELERATOR * self.accelerators

    def can_hold(self, demand: "Resources") -> bool:
        """Whether `demand` fits into these resources."""
        return (
            demand.cpu_millicores <= self.cpu_millicores
            and demand.memory_mb <= self.memory_mb
            and demand.accelerators <= self.accelerators
        )


class Step(msgspec.Struct, frozen=True):
    """`count` equal tasks of a job.

    They may start once the steps with the indexes in `after` are done. `demand` is what one task
    needs, `estimate_ms` the caller's rough estimate of its run time. With `checkpoints`, a task
    that is stopped saves a checkpoint and resumes from it. The tasks of a `gang` start and end
    together. The target must have `label`, if given; `rack` is a preference only. At most
    `per_target` tasks of one occurrence run on one target; 0 means no limit. A `lasting` step is a
    long-running service: the end of a run neither completes its task nor counts as a failure.
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

    `accepted_at` is in seconds since the Unix epoch. If `times` is greater than 0, the job is
    periodic: its steps run `times` times, first at `first_ms` (milliseconds since the Unix epoch)
    and then every `every_ms`.
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


def check_size(job: Job) -> None:
    """Raise JobTooLargeError if more tasks of a job may be due together than can be tracked.

    The occurrences of a periodic job are due together if there is no time between them, and those
    whose time had passed when it was accepted are due at once.
    """
    tasks = _occurrences_due(job) * sum(step.count for step in job.steps)
    if tasks > MAX_TASKS_DUE:
        raise JobTooLargeError(
            f"{tasks} tasks of the job are due together, more than {MAX_TASKS_DUE}",
            "split the job",
        )


def _occurrences_due(job: Job) -> int:
    """Occurrences of a job that are due at its acceptance or at one time later."""
    occurrences = max(1, job.times)
    if job.every_ms <= 0:
        return occurrences
    overdue_ms = job.accepted_at * 1000 - job.first_ms
    return max(1, min(occurrences, int(overdue_ms // job.every_ms) + 1))


class TaskProgress(msgspec.Struct, frozen=True, array_like=True):
    """Stored progress of one task; `target` is empty while no run of the task is ordered.

    `run` is the number of the newest run, `incarnation` the start of its target.
    `checkpoint` is the newest known checkpoint, `resumed_from` the one that the newest run was
    ordered to resume from. `machine` is where the target runs. `failed_runs` are the runs that
    `failures` counts; all members of a gang have the same. `crashed_runs` are the runs under
    which a runner crashed and that may have caused it. `suspicion` says how likely the task crashes
    each runner that starts it, until a run outlives its first seconds; `unexplained_crashes` is
    for how many crashes there was no other explanation.
    """

    run: RunNumber = RunNumber(0)
    target: TargetId = TargetId("")
    incarnation: Incarnation = Incarnation(0)
    failures: int = 0
    done: bool = False
    checkpoint: str = ""
    resumed_from: str = ""
    machine: str = ""
    failed_runs: tuple[RunNumber, ...] = ()
    crashed_runs: tuple[RunNumber, ...] = ()
    suspicion: int = 0
    unexplained_crashes: int = 0


class Progress(msgspec.Struct, frozen=True):
    """Stored progress of a job; tasks that were never ordered are missing from `tasks`.

    `ended_at` is in seconds since the Unix epoch, 0 while the job has not ended. Nobody changes
    progress in place: what was read from the store stays as it was read, whatever an owner of it
    plans on. A TrackedJob has tasks of its own, with new values for those that change.
    """

    phase: JobPhase = JobPhase.QUEUED
    tasks: Mapping[TaskName, TaskProgress] = {}
    ended_at: float = 0.0


class Queue(msgspec.Struct, frozen=True):
    """A queue of jobs, chosen by the host and path prefix of a request.

    Priority 0 is the most urgent. A job fails once one of its tasks has failed `attempts` times.
    Its objective is to complete within `stretch` times its critical path (the longest chain of
    dependent steps) plus `latency_s`. An `open` queue accepts requests without a key.
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
    """An organisation, the API keys of its callers, and its guaranteed number of accelerators."""

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
        """The queue with the longest matching prefix of `path` on `host`, None if none matches."""
        matches = [q for q in self.queues if q.host == host and path.startswith(q.prefix)]
        return max(matches, key=lambda queue: len(queue.prefix), default=None)

    def organisation_by_key(self, key: str) -> Organisation | None:
        """The organisation that an API key belongs to, None if the key is unknown."""
        return next((o for o in self.organisations if key in o.keys), None)

    def queue_by_name(self, name: QueueName) -> Queue | None:
        """The queue of that name, None if there is none."""
        return next((q for q in self.queues if q.name == name), None)

    def guaranteed_accelerators(self, organisation: OrganisationId) -> int:
        """The number of accelerators guaranteed to an organisation, 0 if it is unknown."""
        return next((o.guaranteed for o in self.organisations if o.id == organisation), 0)


class Announcement(msgspec.Struct, frozen=True):
    """What a target states about itself in a heartbeat.

    `room` is its total capacity. While the target drains, at least `drain_left_ms` are left until
    it goes away. `incarnation` is the time of its start in Unix milliseconds, `clock_ms` the
    current reading of its clock. After an evacuation of its zone, it is slow for `cold_left_ms`.
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
    cold_left_ms: int = 0


class RunningRow(msgspec.Struct, frozen=True, array_like=True):
    """A run that a target lists as running; `percent` is its progress, or its speed of work."""

    task: str
    run: int
    checkpoint: str
    percent: int


class EndedRow(msgspec.Struct, frozen=True, array_like=True):
    """An ended run, listed by its target until the owner acknowledges it; `number` starts at 1."""

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str


class RunListing(msgspec.Struct, frozen=True):
    """The running and ended runs of a target, its clock in milliseconds and its incarnation."""

    clock_ms: int
    incarnation: Incarnation
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]


def full_task_name(job: JobId, task: TaskName) -> str:
    """The name of a task that is unique across jobs: `JOB.OCCURRENCE.STEP.INDEX`."""
    return f"{job}.{task}"


def split_full_name(full: str) -> tuple[JobId, TaskName]:
    """Split a full task name into the job id and the task's name within the job."""
    job, _, task = full.partition(".")
    return JobId(job), TaskName(task)


def task_name(occurrence: int, step: int, index: int) -> TaskName:
    """The name of a task within its job: `OCCURRENCE.STEP.INDEX`."""
    return TaskName(f"{occurrence}.{step}.{index}")


def parse_task_name(task: TaskName) -> tuple[int, int, int]:
    """The occurrence, step number and index that make up a task's name."""
    occurrence, step, index = task.split(".")
    return int(occurrence), int(step), int(index)
