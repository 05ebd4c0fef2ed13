"""Takes jobs and their runs from the store, after a takeover or when a job is accepted."""

from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.job_table import StoredJob
from comfreyshelf.fleet.jobs import (
    JobPhase,
    TaskName,
    check_size,
    parse_task_name,
)
from comfreyshelf.fleet.run_ends import RunEnds
from comfreyshelf.fleet.tracked_job import TrackedJob


class JobLoading(RunEnds):
    """Tracks the jobs that are stored, and adopts the runs that earlier owners ordered."""

    def load_job(self, stored: StoredJob, now: float, unix_now: float) -> None:
        """Load a job from the store, after a takeover or when it was accepted or cancelled.

        Raises JobTooLargeError or ProgressError for a job that cannot be planned.
        """
        job = stored.job
        if job is None:
            return
        check_size(job)
        self.needs_plan = True
        tracked = self.jobs.get(job.id)
        if tracked is None:
            is_takeover = now <= self._term_started_at
            # Clocks of entries differ, so a job that arrives during this term counts as accepted
            # now, whatever time its record states.
            accepted_at = min(unix_now, job.accepted_at) if is_takeover else unix_now
            is_final = stored.progress.phase.is_final
            queue = self.config.queue_by_name(job.queue)
            if queue is not None and queue.priority == 0 and (is_takeover or not is_final):
                self._claim_forecast.record(job, accepted_at)
            if is_final:
                return
            tracked = TrackedJob(job, stored.progress, queue, self.policies.durations)
            tracked.accepted_at = accepted_at
            tracked.check_progress()
            self.jobs[job.id] = tracked
            for name, task in tracked.tasks.items():
                if task.target and not task.done:
                    self._adopt_run(tracked, name, now)
        if stored.is_cancelled and not tracked.phase.is_final:
            self._finish_job(tracked, JobPhase.CANCELLED, unix_now, "cancelled by its caller")

    def _adopt_run(self, tracked: TrackedJob, name: TaskName, now: float) -> None:
        """Track the run that an earlier owner ordered for a task."""
        task = tracked.task_progress(name)
        _, step_number, _ = parse_task_name(name)
        active = ActiveRun(
            tracked,
            name,
            task.run,
            task.target,
            task.incarnation,
            tracked.job.steps[step_number].demand,
            task.machine,
            now,
            is_stored=True,
        )
        tracked.active_runs[name] = active
        view = self.targets.get(task.target)
        if view is None:
            self._unreported_runs.setdefault(task.target, []).append(active)
        else:
            view.active_runs[active.full_name] = active
        self._update_slowdown(active)
