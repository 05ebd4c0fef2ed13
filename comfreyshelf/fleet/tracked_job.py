"""The owner's in-memory state of a job: its runs, estimates, deadline and startable tasks."""

from collections.abc import Iterator, Mapping
from enum import Enum

import msgspec

from comfreyshelf.errors import UserError
from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.jobs import (
    Job,
    JobPhase,
    Progress,
    Queue,
    Step,
    TaskName,
    TaskProgress,
    parse_task_name,
    task_name,
)
from comfreyshelf.fleet.prediction.model import DurationModel, Quantile, RunSample
from comfreyshelf.ids import ServiceId, TargetId

# A job that takes longer than this many times its objective counts as too late: its result is worth
# nothing to its caller.
TOO_LATE_OBJECTIVE_RATIO = 3.0
_NOT_STARTED = TaskProgress()


class ProgressError(UserError):
    """The stored progress of a job does not fit the job."""


class Outlook(Enum):
    """Expected end of a job: within its objective, late but of use, or too late to be of use."""

    IN_TIME = "in time"
    LATE = "late"
    TOO_LATE = "too late"


class Unit(msgspec.Struct, frozen=True):
    """Tasks that are placed together: all members of a gang, or a single task.

    Only targets of `service` may run them.
    """

    service: ServiceId
    step: Step
    occurrence: int
    step_number: int
    tasks: tuple[TaskName, ...]


class TrackedJob:
    """A job with its progress, run-time estimates, deadline and startable tasks."""

    def __init__(
        self, job: Job, progress: Progress, queue: Queue | None, durations: DurationModel
    ) -> None:
        self.job = job
        self.phase = progress.phase
        # When the job ended, in seconds since the Unix epoch; 0 while it has not.
        self.ended_at = progress.ended_at
        self._tasks = dict(progress.tasks)
        self.queue = queue
        # The active run of each task that has one.
        self.active_runs: dict[TaskName, ActiveRun] = {}
        # When the job was accepted by the owner's wall clock, in seconds since the Unix epoch.
        self.accepted_at = job.accepted_at
        self._durations = durations.for_job(job)
        # Targets on which a run of this job failed or stalled; later runs avoid them.
        self.avoided_targets: set[TargetId] = set()
        # Why a unit of this job last had to wait.
        self.wait_reason = ""
        # Expected seconds until each running task ends, as of the current planning pass.
        self.remaining_s_by_task: dict[TaskName, float] = {}
        # Cached for one planning pass.
        self._critical_path_s: float | None = None
        self._remaining_critical_path_s: float | None = None

    def check_progress(self) -> None:
        """Raise ProgressError if the stored progress names a task that the job does not have."""
        for name in self._tasks:
            _, step_number, index = parse_task_name(name)
            steps = self.job.steps
            if step_number >= len(steps) or index >= steps[step_number].count:
                raise ProgressError(
                    f"job {self.job.id} has no task {name}", "cancel the job and submit it again"
                )

    def begin_planning_pass(self) -> None:
        """Discard the values that were valid for the last planning pass only."""
        self.remaining_s_by_task.clear()
        self._critical_path_s = self._remaining_critical_path_s = None

    @property
    def priority(self) -> int:
        """Priority of the job's queue, 0 being the most urgent; 9 if the queue was removed."""
        return self.queue.priority if self.queue else 9

    @property
    def deadline(self) -> float:
        """When the job has to be complete to be in time, in seconds since the Unix epoch."""
        if self.queue is None:
            return self.accepted_at
        return self.accepted_at + self.queue.latency_s + self.queue.stretch * self.critical_path_s

    def task_duration_s(
        self, step_number: int, quantile: Quantile = Quantile.MEDIAN, at_least_s: float = 0.0
    ) -> float:
        """Expected seconds of one task of a step on a target of speed 1 near its data.

        `at_least_s` is how long the task is known to take at the least.
        """
        return self._durations.expected_s(step_number, quantile, at_least_s)

    def has_siblings(self, step_number: int) -> bool:
        """Whether another task of the step has shown its run time."""
        return self._durations.has_siblings(step_number)

    def progress_error_s(self, quantile: Quantile) -> float:
        """Seconds by which the progress of a run may be out of date."""
        return self._durations.progress_error_s(quantile)

    def record_duration(self, step_number: int, sample: RunSample) -> None:
        """Record what a run of one task of a step has shown of its run time."""
        self._durations.observe(step_number, sample)
        self._critical_path_s = self._remaining_critical_path_s = None

    @property
    def critical_path_s(self) -> float:
        """Expected seconds of the longest chain of dependent steps.

        This and what follows from it, such as the deadline, the outlook and the rank, uses medians:
        a high quantile of each step would add up to an end that hardly any job needs, so that jobs
        that will be in time would rank as late.
        """
        if self._critical_path_s is None:
            step_numbers = range(len(self.job.steps))
            self._critical_path_s = self._longest_path_s(
                [self.task_duration_s(n) for n in step_numbers]
            )
        return self._critical_path_s

    @property
    def remaining_critical_path_s(self) -> float:
        """Expected seconds until the job is complete if every task that waits starts at once."""
        if self._remaining_critical_path_s is None:
            step_numbers = range(len(self.job.steps))
            self._remaining_critical_path_s = self._longest_path_s(
                [self._remaining_step_s(n) for n in step_numbers]
            )
        return self._remaining_critical_path_s

    def _remaining_step_s(self, step_number: int) -> float:
        duration_s = self.task_duration_s(step_number)
        progress_by_task = self._tasks
        return max(
            (
                self.remaining_s_by_task.get(name, duration_s)
                for name in self.step_tasks(0, step_number)
                if name not in progress_by_task or not progress_by_task[name].done
            ),
            default=0.0,
        )

    def _longest_path_s(self, durations_s: list[float]) -> float:
        longest: list[float] = []
        for step, seconds in zip(self.job.steps, durations_s, strict=True):
            start_s = max((longest[i] for i in step.after), default=0.0)
            longest.append(start_s + seconds)
        return max(longest, default=0.0)

    def due_occurrences(self, unix_now: float, early_start_s: float) -> range:
        """Occurrences that are due at `unix_now`, in seconds since the Unix epoch.

        An occurrence may start `early_start_s` before its time.
        """
        if self.job.times <= 0:
            return range(1)
        if self.job.every_ms <= 0:
            return range(self.job.times)
        due_count = (
            unix_now + early_start_s - self.job.first_ms / 1000
        ) * 1000 // self.job.every_ms + 1
        return range(max(0, min(self.job.times, int(due_count))))

    @property
    def tasks(self) -> Mapping[TaskName, TaskProgress]:
        """The progress of all tasks that were ever ordered."""
        return self._tasks

    @property
    def progress(self) -> Progress:
        """The job's progress at this moment, as it is to be stored."""
        return Progress(self.phase, dict(self._tasks), self.ended_at)

    def task_progress(self, name: TaskName) -> TaskProgress:
        """The progress of a task, also of one that was never ordered."""
        return self._tasks.get(name, _NOT_STARTED)

    def update_task(self, name: TaskName, **changes: object) -> TaskProgress:
        """Give fields of a task's progress new values, and return the new progress.

        For example, `update_task(name, done=True, checkpoint="")`.
        """
        task = msgspec.structs.replace(self.task_progress(name), **changes)
        self._tasks[name] = task
        return task

    def record_checkpoint(self, name: TaskName, checkpoint: str) -> None:
        """Set the newest checkpoint of a task and its gang, which always share one."""
        if checkpoint == self.task_progress(name).checkpoint:
            return
        for member in self.gang_members(name):
            self.update_task(member, checkpoint=checkpoint)

    def step_tasks(self, occurrence: int, step_number: int) -> tuple[TaskName, ...]:
        """The names of all tasks of a step in one occurrence."""
        count = self.job.steps[step_number].count
        return tuple(task_name(occurrence, step_number, index) for index in range(count))

    def gang_members(self, task: TaskName) -> tuple[TaskName, ...]:
        """All tasks of the task's gang, or the task alone if its step is no gang."""
        occurrence, step_number, _ = parse_task_name(task)
        if self.job.steps[step_number].gang:
            return self.step_tasks(occurrence, step_number)
        return (task,)

    def is_step_done(self, occurrence: int, step_number: int) -> bool:
        """Whether all tasks of a step are done in one occurrence."""
        progress_by_task = self._tasks
        return all(
            name in progress_by_task and progress_by_task[name].done
            for name in self.step_tasks(occurrence, step_number)
        )

    def is_done(self) -> bool:
        """Whether every task of every occurrence is done."""
        return all(
            self.is_step_done(occurrence, step_number)
            for occurrence in range(max(1, self.job.times))
            for step_number in range(len(self.job.steps))
        )

    def startable_units(self, unix_now: float, early_start_s: float) -> Iterator[Unit]:
        """Units that are due, whose preceding steps are done, and that are not ordered yet."""
        if self.phase.is_final or self.queue is None:
            return
        service = self.queue.service
        for occurrence in self.due_occurrences(unix_now, early_start_s):
            for step_number, step in enumerate(self.job.steps):
                if not all(self.is_step_done(occurrence, preceding) for preceding in step.after):
                    continue
                task_names = self.step_tasks(occurrence, step_number)
                task_states = [self._tasks.get(name, _NOT_STARTED) for name in task_names]
                if step.gang:
                    if not any(task.done or task.target for task in task_states):
                        yield Unit(service, step, occurrence, step_number, task_names)
                    continue
                for name, task in zip(task_names, task_states, strict=True):
                    if not task.done and not task.target:
                        yield Unit(service, step, occurrence, step_number, (name,))

    def widest_step_accelerators(self) -> int:
        """Accelerators that the largest unfinished step needs, which count against a guarantee."""
        return max(
            (
                step.demand.accelerators * step.count
                for step_number, step in enumerate(self.job.steps)
                if not self.is_step_done(0, step_number)
            ),
            default=0,
        )

    def outlook(self, unix_now: float) -> Outlook:
        """The expected end if running tasks go on and waiting ones start at once."""
        if self.queue is None:
            return Outlook.TOO_LATE
        end = unix_now + self.remaining_critical_path_s
        if end <= self.deadline:
            return Outlook.IN_TIME
        objective = self.deadline - self.accepted_at
        is_useful = end <= self.accepted_at + TOO_LATE_OBJECTIVE_RATIO * objective
        return Outlook.LATE if is_useful else Outlook.TOO_LATE

    @property
    def core_seconds(self) -> float:
        """Expected work of the whole job in core-seconds, for one occurrence of its steps."""
        return sum(
            step.count * step.demand.core_equivalents * self.task_duration_s(step_number)
            for step_number, step in enumerate(self.job.steps)
        )

    def set_phase(self, phase: JobPhase, unix_now: float) -> None:
        """Set the phase; `unix_now` becomes the time of the end if the phase is final."""
        self.phase = phase
        if phase.is_final:
            self.ended_at = unix_now
