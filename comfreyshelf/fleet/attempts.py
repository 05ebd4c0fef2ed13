"""How often a task has failed or crashed its runners, and when it is not started again.

What counts is kept with the stored progress of the task, by run number, so that it survives
takeovers and counts once, however often and in whatever order it is reported.
"""

from collections.abc import Iterable
from enum import Enum

from comfreyshelf.fleet.jobs import RunNumber, TaskName, split_full_name
from comfreyshelf.fleet.messages import CrashedRun, RunnerCrash
from comfreyshelf.fleet.tracked_job import TrackedJob

# A run that was started this shortly before a crash is the likely cause of it.
YOUNG_RUN_S = 2.0
# A run this old is not blamed for a crash, as every machine crashes some day.
LONG_RUN_S = 86_400.0
# What a crash adds to the suspicion of a task if all young runs there were of its job, or else.
SOLE_SUSPICION = 2
SHARED_SUSPICION = 1
# A task is given up at this suspicion, unless a run between the crashes has outlived its first
# seconds. One crash that it alone explains is never enough, whatever crash it shared before.
GIVE_UP_SUSPICION = 4
# A task is given up after this many crashes that no other run explains, at whatever age of its own.
# It is more than machines that fail by chance are likely to do to one task.
GIVE_UP_UNEXPLAINED_CRASHES = 4


class Blame(Enum):
    """What a crash says of a run that was there."""

    NONE = "another run explains the crash, or this one went well for long"
    SHARED = "runs of several jobs may explain it"
    SOLE = "only runs of this job explain it"
    UNEXPLAINED = "no run had just been started, so any of them may have caused it"


_SUSPICION_BY_BLAME = {Blame.SOLE: SOLE_SUSPICION, Blame.SHARED: SHARED_SUSPICION}


def blames(crash: RunnerCrash) -> list[tuple[CrashedRun, Blame]]:
    """What a crash says of each run.

    A crash is put down to the runs that had just been started. For example, of runs of 0.1 and
    9 seconds only the first is blamed. All tasks of a job run the same payload, so a job is blamed
    as a whole. A run whose start was not confirmed may not have begun, so it shares the blame at
    most.
    """
    young = [run for run in crash.runs if run.age_s <= YOUNG_RUN_S]
    if not young:
        return [
            (run, Blame.UNEXPLAINED if run.age_s < LONG_RUN_S else Blame.NONE) for run in crash.runs
        ]
    is_one_job = len({split_full_name(run.task)[0] for run in young}) == 1
    return [
        (
            (run, Blame.SOLE if is_one_job and run.was_started else Blame.SHARED)
            if run in young
            else (run, Blame.NONE)
        )
        for run in crash.runs
    ]


def record_crash(tracked: TrackedJob, name: TaskName, run: RunNumber, blame: Blame) -> bool:
    """Count a crash against a task; returns False if it does not count, or has counted."""
    task = tracked.task_progress(name)
    if blame is Blame.NONE or run in task.crashed_runs:
        return False
    is_unexplained = blame in (Blame.SOLE, Blame.UNEXPLAINED)
    tracked.update_task(
        name,
        crashed_runs=(*task.crashed_runs, run),
        suspicion=task.suspicion + _SUSPICION_BY_BLAME.get(blame, 0),
        unexplained_crashes=task.unexplained_crashes + int(is_unexplained),
    )
    return True


def record_failure(tracked: TrackedJob, name: TaskName, run: RunNumber) -> bool:
    """Count a failed run against a task and its gang; returns False if the run has counted."""
    if run in tracked.task_progress(name).failed_runs:
        return False
    members = tracked.gang_members(name)
    failures = max(tracked.task_progress(member).failures for member in members) + 1
    for member in members:
        failed_runs = (*tracked.task_progress(member).failed_runs, run)
        tracked.update_task(member, failures=failures, failed_runs=failed_runs)
    return True


def is_suspect(tracked: TrackedJob, names: Iterable[TaskName]) -> bool:
    """Whether one of the tasks may have crashed a runner, so that its next start is a trial."""
    tasks = tracked.tasks
    return any(name in tasks and tasks[name].suspicion > 0 for name in names)


def give_up_reason(tracked: TrackedJob, name: TaskName) -> str:
    """Why a task is not started again; empty if it may be."""
    task = tracked.task_progress(name)
    if tracked.queue is not None and task.failures >= tracked.queue.attempts:
        return f"failed {task.failures} times"
    if (
        task.suspicion >= GIVE_UP_SUSPICION
        or task.unexplained_crashes >= GIVE_UP_UNEXPLAINED_CRASHES
    ):
        return f"crashed {len(task.crashed_runs)} runners"
    return ""
