"""What follows from the end of a run, and from the end of a job."""

from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.attempts import (
    give_up_reason,
    record_failure,
)
from comfreyshelf.fleet.fleet_state import FleetState
from comfreyshelf.fleet.health.target_health import HealthEvent, Signal
from comfreyshelf.fleet.jobs import (
    EndKind,
    JobPhase,
    Progress,
    TaskName,
    full_task_name,
)
from comfreyshelf.fleet.lost_work import STOP_CAUSE_BY_PHASE, StopCause, lost_core_s
from comfreyshelf.fleet.prediction.accuracy import ratio_counters, run_accuracy
from comfreyshelf.fleet.targets import TargetView
from comfreyshelf.fleet.tracked_job import TrackedJob
from comfreyshelf.ids import JobId, TargetId


class RunEnds(FleetState):
    """Ends runs and jobs: completes tasks, counts failures, stops what is left."""

    def _give_up_if_spent(self, tracked: TrackedJob, name: TaskName, unix_now: float) -> None:
        """End a job as failed if this task may not be started again.

        A run that still goes on may succeed, so it is left to end first.
        """
        why = give_up_reason(tracked, name)
        active = tracked.active_runs.get(name)
        if not why:
            return
        task = tracked.task_progress(name)
        if active is None or active.run in (*task.failed_runs, *task.crashed_runs):
            full_name = full_task_name(tracked.job.id, name)
            self._finish_job(tracked, JobPhase.FAILED, unix_now, f"{full_name} {why}")

    def _end_run(
        self,
        view: TargetView,
        active: ActiveRun,
        kind: EndKind,
        checkpoint: str,
        now: float,
        unix_now: float,
    ) -> None:
        view.active_runs.pop(active.full_name, None)
        active.tracked.active_runs.pop(active.task, None)
        view.orders_changed = self.needs_plan = True
        tracked = active.tracked
        task = tracked.update_task(active.task, target=TargetId(""))
        self._dirty_jobs.add(tracked.job.id)
        self.log_event(
            "run ended",
            task=active.full_name,
            run=active.run,
            target=view.id,
            how=kind.value,
            ran_s=round(now - active.started_at, 2),
            percent=active.percent,
            first_percent=active.first_percent,
            expected_s=round(active.expected_s(), 1),
            **self._measure_accuracy(active, kind, now),
            cause=active.stop_cause or kind.value,
            lost_core_s=round(
                lost_core_s(active, kind, bool(checkpoint or task.checkpoint), now), 1
            ),
        )
        if checkpoint:
            tracked.record_checkpoint(active.task, checkpoint)
        lasting = active.step.lasting
        is_expected = active.stopping_since is not None or not self.zone_gate.may_start_on(view)
        self._record_health(view, tracked.job.id, kind, now, is_expected)
        active.record_end(kind is EndKind.DONE and not task.resumed_from, now)
        if kind is EndKind.DONE:
            if not lasting:
                self._complete_task(tracked, active.task, active.run, unix_now)
        elif kind is EndKind.FAILED:
            tracked.avoided_targets.add(view.id)
            if not lasting:
                record_failure(tracked, active.task, active.run)
        if kind is not EndKind.DONE:
            self._give_up_if_spent(tracked, active.task, unix_now)
        if kind is not EndKind.DONE and not tracked.phase.is_final:
            self._break_gang(active)

    def _measure_accuracy(self, active: ActiveRun, kind: EndKind, now: float) -> dict[str, float]:
        """Count how a run's time compares with its first expectation; returns the log fields."""
        accuracy = run_accuracy(active, now) if kind is EndKind.DONE else None
        if accuracy is None:
            return {}
        for name in ratio_counters(accuracy, active.tracked.priority):
            self.count(name)
        return {
            "first_expected_s": round(accuracy.median_s, 1),
            "first_high_s": round(accuracy.high_s, 1),
            "ratio": round(accuracy.ratio, 2),
        }

    def _record_health(
        self, view: TargetView, job: JobId, kind: EndKind, now: float, is_expected: bool = False
    ) -> None:
        is_expected = is_expected or bool(view.drain_until)
        event = HealthEvent(view.announcement, view.machine, job, kind, is_expected)
        self.policies.health.record_end(event, now)

    def _record_signal(self, view: TargetView, signal: Signal, now: float) -> None:
        """Record an event of a target that has not announced that it leaves."""
        if not view.drain_until:
            self.count(f'target_signals{{signal="{signal.value}"}}')
            self.policies.health.record_signal(view.announcement, view.machine, signal, now)

    def _break_gang(self, active: ActiveRun) -> None:
        """Stop the other members of a gang after one of its runs ended without success."""
        for name in active.tracked.gang_members(active.task):
            if name != active.task:
                self._order_stop(active.tracked, name, None, StopCause.GANG_BROKEN)

    def _complete_task(
        self, tracked: TrackedJob, task: TaskName, run: int, unix_now: float
    ) -> None:
        self._dirty_jobs.add(tracked.job.id)
        for name in tracked.gang_members(task):
            task_progress = tracked.update_task(name, done=True, checkpoint="")
            # Gang members of the same run end by themselves; a later run has to be stopped.
            if task_progress.run != run:
                self._order_stop(tracked, name, None, StopCause.SUPERSEDED)
        if tracked.is_done():
            self._finish_job(tracked, JobPhase.COMPLETED, unix_now, "all tasks are done")

    def _finish_job(self, tracked: TrackedJob, phase: JobPhase, unix_now: float, why: str) -> None:
        if tracked.phase.is_final:
            return
        tracked.set_phase(phase, unix_now)
        self._dirty_jobs.add(tracked.job.id)
        self._ended_jobs.add(tracked.job.id)
        self.needs_plan = True
        self.log_event(
            "job ended",
            job=tracked.job.id,
            phase=phase.value,
            why=why,
            took_s=round(unix_now - tracked.accepted_at, 2),
        )
        for name in list(tracked.tasks):
            self._order_stop(tracked, name, None, STOP_CAUSE_BY_PHASE[phase])

    def _order_stop(
        self, tracked: TrackedJob, name: TaskName, now: float | None, cause: StopCause
    ) -> None:
        """Order the active run of a task, if there is one, to stop.

        If `now` is None, the stop counts from the target's last report, or from the start of the
        term for a target that has not reported yet.
        """
        active = tracked.active_runs.get(name)
        if active is None or active.stopping_since is not None:
            return
        active.stop_cause = cause.value
        view = self.targets.get(active.target)
        self.needs_plan = True
        if view is None or active.full_name not in view.active_runs:
            active.stopping_since = now if now is not None else self._term_started_at
            return
        active.stopping_since = now if now is not None else view.seen_at
        view.orders_changed = True

    def _drop_runs(self, view: TargetView, unix_now: float, why: str) -> None:
        """Mark all runs of a target as lost, as the target can no longer run them."""
        for active in list(view.active_runs.values()):
            self._log_lost_run(active, why)
            self._end_run(view, active, EndKind.LOST, "", view.seen_at, unix_now)

    def _log_lost_run(self, active: ActiveRun, why: str) -> None:
        """Log that a target can no longer run a run; `listed` is whether it had begun for sure."""
        self.count("runs_lost")
        self.log_event(
            "run lost",
            task=active.full_name,
            run=active.run,
            target=active.target,
            why=why,
            listed=active.is_confirmed,
        )

    def give_up_job(self, job: JobId, unix_now: float, why: str) -> Progress:
        """End a job as failed and return its progress, without that of its tasks."""
        tracked = self.jobs[job]
        self._finish_job(tracked, JobPhase.FAILED, unix_now, why)
        return Progress(tracked.phase, {}, tracked.ended_at)
