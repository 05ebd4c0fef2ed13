"""Checks of a soak's history: what runners and callers saw against what they were promised."""

from collections import defaultdict

import msgspec

from features.platform_standins import CONFIG
from features.soak.history import History, JobFate, RunEnd, SeenJob, SeenRun
from features.soak.runner import Payload

MAX_ATTEMPTS = CONFIG["routes"][0]["max-attempts"]  # type: ignore[index]
# A task is started at most this often in all, if three runners have crashed under it.
MAX_STARTS_OF_DEADLY = 5
# A task may still start this long after its job was cancelled.
CANCEL_S = 3.0
# A task may still start this long after a runner's heartbeat as draining was answered.
DRAIN_S = 2.5
# Runners' notes of two ends of one moment may differ by this.
CLOCK_TOLERANCE_S = 0.05


def check_history(history: History) -> None:
    """Record each promise that the history breaks."""
    runs_by_task: defaultdict[str, list[SeenRun]] = defaultdict(list)
    for run in history.runs:
        runs_by_task[run.task].append(run)
    for task, runs in runs_by_task.items():
        _check_runs_of_task(history, task, runs)
    for run in history.runs:
        _check_run(history, run)
    for job in history.jobs.values():
        _check_job(history, job, [run for run in history.runs if run.job == job.id])


def _check_runs_of_task(history: History, task: str, runs: list[SeenRun]) -> None:
    payload = msgspec.json.decode(runs[0].payload, type=Payload)
    failed: list[SeenRun] = []
    for index, run in enumerate(runs):
        for earlier in runs[:index]:
            if earlier.end is None or run.began_at < earlier.ended_at - CLOCK_TOLERANCE_S:
                history.violate(f"two runs of {task} at once: {earlier.run} and {run.run}")
            elif earlier.end is RunEnd.DONE and earlier.is_noted:
                history.violate(f"{task} was started again as run {run.run} after its end")
        if len([end for end in failed if end.is_noted]) >= MAX_ATTEMPTS:
            history.violate(f"{task} was started as run {run.run} after its attempts")
        if run.end is RunEnd.FAILED:
            failed.append(run)
    if payload.deadly and len(runs) > MAX_STARTS_OF_DEADLY:
        history.violate(f"{task} crashes its runners and was started {len(runs)} times")


def _check_run(history: History, run: SeenRun) -> None:
    if run.room_used > run.room:
        history.violate(f"{run.task} brought {run.runner} to {run.room_used} of {run.room}")
    if run.draining_for_s > DRAIN_S:
        history.violate(f"{run.task} was started on {run.runner}, which drains")
    if run.job not in history.jobs:
        history.violate(f"{run.task} was started, and nobody submitted it")
    elif run.payload != history.jobs[run.job].payload:
        history.violate(f"{run.task} was started with another payload")


def _check_job(history: History, job: SeenJob, runs: list[SeenRun]) -> None:
    if job.fate is JobFate.REFUSED and runs:
        history.violate(f"job {job.id} was refused and has run")
    for run in runs:
        if job.cancelled_at and run.began_at > job.cancelled_at + CANCEL_S:
            history.violate(f"{run.task} was started after job {job.id} was cancelled")
    done = {run.task for run in runs if run.end is RunEnd.DONE}
    # The end of one member stands for those of all members of a gang.
    if job.state == "completed" and len(done) < (1 if job.is_gang else job.tasks):
        history.violate(f"job {job.id} is completed, and {len(done)} of its tasks are done")
    if job.state == "failed":
        _check_failed(history, job, runs)


def _check_failed(history: History, job: SeenJob, runs: list[SeenRun]) -> None:
    failures: defaultdict[str, int] = defaultdict(int)
    crashes: defaultdict[str, int] = defaultdict(int)
    for run in runs:
        failures[run.task] += run.end is RunEnd.FAILED
        crashes[run.task] += run.end is RunEnd.CRASHED
    # A gang shares its attempts, so any of its members may have failed in each of them.
    if sum(failures.values()) < MAX_ATTEMPTS and max(crashes.values(), default=0) < 2:
        history.violate(f"job {job.id} is shown as failed without cause")
