"""What an owner learns from the reports of target processes."""

from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.attempts import YOUNG_RUN_S, blames, record_crash, record_failure
from comfreyshelf.fleet.bounds import SUSPECT_AFTER_S
from comfreyshelf.fleet.health.target_health import Signal
from comfreyshelf.fleet.job_loading import JobLoading
from comfreyshelf.fleet.jobs import (
    Announcement,
    EndKind,
    Incarnation,
    RunNumber,
    TaskName,
    parse_task_name,
    split_full_name,
)
from comfreyshelf.fleet.lost_work import StopCause
from comfreyshelf.fleet.messages import Report
from comfreyshelf.fleet.scheduling import Feature
from comfreyshelf.fleet.speed.machine_speed import DISTURBED_SPEED
from comfreyshelf.fleet.targets import TargetView, new_target_view
from comfreyshelf.fleet.tracked_job import TrackedJob
from comfreyshelf.ids import TargetId

# Smaller relative changes of a machine's speed leave the slowdowns of its runs as they are.
MIN_SPEED_CHANGE = 0.05


class ReportHandling(JobLoading):
    """Applies reports to the state: targets, running and ended runs, refusals and crashes."""

    def handle_report(self, report: Report, now: float, unix_now: float) -> None:
        """Process the report of a target process."""
        target = report.announcement.id
        self._count_crashes(report, unix_now)
        if report.incarnation < self._newest_incarnation(report):
            # It was sent before the present life of the machine's target began.
            self.count("reports_outdated")
            return
        self._drop_replaced_target(report, now, unix_now)
        view = self.targets.get(target)
        if view is None or view.incarnation != report.incarnation:
            view = self._join_target(report, view, now, unix_now)
        self._record_report_signals(view, report, now)
        self._apply_announcement(view, report.announcement, now)
        view.seen_at = now
        view.report_sent_at = report.sent_at
        view.listed_at = report.listed_at or report.sent_at
        view.operator_offset = report.operator_offset
        if view.takes_no_work != report.takes_no_work:
            view.takes_no_work = report.takes_no_work
            self.needs_plan = True
        self._update_cold(view, now)
        if report.gone:
            self._drop_runs(view, unix_now, "its target left")
            del self.targets[target]
            return
        if not report.runner_up:
            view.lists_known = False
            self._drop_runs(view, unix_now, "its runner is down")
            return
        if report.lists_known:
            self.needs_plan = self.needs_plan or not view.lists_known
            view.lists_known = True
            self._process_run_lists(view, report, now, unix_now)

    def _record_report_signals(self, view: TargetView, report: Report, now: float) -> None:
        """Record that a target was silent before a report, or that its runner went down."""
        if now - view.seen_at > SUSPECT_AFTER_S:
            self._record_signal(view, Signal.SILENT, now)
        if view.lists_known and report.takes_no_work and not view.takes_no_work:
            self._record_signal(view, Signal.RUNNER_DOWN, now)

    def _join_target(
        self, report: Report, old: TargetView | None, now: float, unix_now: float
    ) -> TargetView:
        """Create the view of a target that is new or has started again since `old`."""
        target = report.announcement.id
        view = new_target_view(report, now)
        self.targets[target] = view
        self.needs_plan = True
        if old is not None:
            self._record_signal(old, Signal.RESTARTED, now)
            view.active_runs.update(old.active_runs)
        for active in self._unreported_runs.pop(target, []):
            view.active_runs[active.full_name] = active
        for active in view.active_runs.values():
            if active.incarnation != report.incarnation:
                self._stop_under_same_id(view, active, now)
            self._update_slowdown(active)
        self.log_event("target joined", target=target, incarnation=report.incarnation)
        return view

    def _stop_under_same_id(self, view: TargetView, active: ActiveRun, now: float) -> None:
        """Order the next life under a target's id to stop a run that has ended with the one before.

        A start that was on its way is carried out by the life that answers to the id when it
        arrives. The task may start again once this life has listed the run as ended, or refuses it.
        """
        self._log_lost_run(active, "its target started again")
        active.incarnation = view.incarnation
        if active.stopping_since is None:
            active.stopping_since = now
            active.stop_cause = StopCause.TARGET_RESTARTED.value

    def _apply_announcement(self, view: TargetView, announcement: Announcement, now: float) -> None:
        if announcement.draining and not view.drain_until:
            view.drain_until = now + announcement.drain_left_ms / 1000
            view.orders_changed = self.needs_plan = True
            self.log_event("target drains", target=view.id, left_ms=announcement.drain_left_ms)
        elif not announcement.draining:
            view.drain_until = 0.0
        view.announcement = announcement
        if view.record_notice(now):
            self.needs_plan = True

    def _update_cold(self, view: TargetView, now: float) -> None:
        """Record for how long a target will be slow after an evacuation of its zone."""
        cold_left_s = view.announcement.cold_left_ms / 1000
        if cold_left_s and view.cold_until <= now:
            self.count("targets_cold")
            self.log_event("target cold", target=view.id, left_s=cold_left_s)
        view.cold_until = now + cold_left_s if cold_left_s else 0.0

    def _count_crashes(self, report: Report, unix_now: float) -> None:
        """Count crashes against the tasks that may have caused them."""
        for crash in report.crashes:
            for crashed, blame in blames(crash):
                job, name = split_full_name(crashed.task)
                tracked, run = self.jobs.get(job), RunNumber(crashed.run)
                if tracked is None or name not in tracked.tasks or tracked.phase.is_final:
                    continue
                if not record_crash(tracked, name, run, blame):
                    continue
                task = tracked.task_progress(name)
                self._dirty_jobs.add(job)
                self.count("crashes_suspected")
                self.log_event(
                    "task suspected",
                    task=crashed.task,
                    run=run,
                    target=task.target,
                    age_s=crashed.age_s,
                    blame=blame.value,
                    suspicion=task.suspicion,
                    unexplained=task.unexplained_crashes,
                )
                self._give_up_if_spent(tracked, name, unix_now)

    def _clear_suspicion(self, active: ActiveRun, listed_at: float) -> None:
        """Drop the suspicion of a task whose run has outlived its first seconds."""
        task = active.tracked.task_progress(active.task)
        if task.suspicion and listed_at - active.first_reported_at > YOUNG_RUN_S:
            active.tracked.update_task(active.task, suspicion=0)
            self._dirty_jobs.add(active.tracked.job.id)
            self.log_event("task cleared", task=active.full_name, run=active.run)

    def _newest_incarnation(self, report: Report) -> int:
        """The newest incarnation of a target, or of one that runs were ordered on, of a machine."""
        target = report.announcement.id
        newest = self._target_by_machine.get(report.machine, target)
        views = (self.targets.get(newest), self.targets.get(target))
        known = [view.incarnation for view in views if view is not None]
        for runs in self._unreported_runs.values():
            known += [run.incarnation for run in runs if run.machine == report.machine]
        return max(known, default=Incarnation(0))

    def _drop_replaced_target(self, report: Report, now: float, unix_now: float) -> None:
        """Drop the targets whose machine now reports another target; it runs one at a time."""
        target = report.announcement.id
        previous = self._target_by_machine.get(report.machine, target)
        if previous != target:
            view = self.targets.get(previous)
            if view is not None:
                self._record_signal(view, Signal.RESTARTED, now)
                self._drop_runs(view, unix_now, "its machine runs another target")
                del self.targets[previous]
        self._target_by_machine[report.machine] = target
        for other, runs in list(self._unreported_runs.items()):
            if other != target and runs[0].machine == report.machine:
                self._drop_unreported_runs(other, "its machine runs another target")

    def _drop_unreported_runs(self, target: TargetId, why: str) -> None:
        self.needs_plan = True
        for active in self._unreported_runs.pop(target):
            active.tracked.update_task(active.task, target=TargetId(""))
            active.tracked.active_runs.pop(active.task, None)
            self._dirty_jobs.add(active.tracked.job.id)
            self._log_lost_run(active, why)

    def _process_run_lists(
        self, view: TargetView, report: Report, now: float, unix_now: float
    ) -> None:
        for end in sorted(report.ended, key=lambda row: row.number):
            if end.number > view.processed_ends:
                view.processed_ends = end.number
                view.orders_changed = self.needs_plan = True
                self._targets_with_new_ends.add(view.id)
                self._handle_ended_row(
                    view, end.task, end.run, end.kind, end.checkpoint, now, unix_now
                )
        for rejection in report.rejected:
            active = view.active_runs.get(rejection.task)
            if active is not None and active.run == rejection.run:
                self.log_event(
                    "start rejected",
                    task=rejection.task,
                    run=rejection.run,
                    reason=rejection.reason,
                )
                self.count("starts_rejected")
                if active.stopping_since is None:
                    view.record_refusal(now)
                was_lost = active.stop_cause == StopCause.TARGET_RESTARTED.value
                kind = EndKind.LOST if was_lost else EndKind.REJECTED
                self._end_run(view, active, kind, "", now, unix_now)
        listed = set()
        for row in report.running:
            listed.add(row.task)
            active = view.active_runs.get(row.task)
            if active is None or active.run != row.run:
                view.stop_unwanted(row)
                continue
            had_regressed = active.has_regressed
            sent_at = report.sent_at if self.scheduling.uses(Feature.PREDICTION) else 0.0
            active.update_progress(row.percent, now, view.listed_at, sent_at)
            if active.has_regressed and not had_regressed:
                self._record_regression(active)
            self.policies.speeds.observe(active, now)
            self._clear_suspicion(active, view.listed_at)
            if row.checkpoint:
                active.tracked.record_checkpoint(active.task, row.checkpoint)
        self._apply_speed(view)
        for name in [name for name in view.unwanted_runs if name not in listed]:
            del view.unwanted_runs[name]
            self.needs_plan = True

    def _record_regression(self, active: ActiveRun) -> None:
        """Count and log, once for each run, that its progress went backwards."""
        self.count("progress_regressions")
        self.log_event(
            "progress went backwards",
            task=active.full_name,
            run=active.run,
            target=active.target,
            percent=active.percent,
        )

    def _apply_speed(self, view: TargetView) -> None:
        """Correct the slowdowns of a target's runs if the speed of its machine has changed."""
        speed = self.policies.speeds.speed(view.machine)
        if abs(speed - view.speed) < MIN_SPEED_CHANGE * view.speed:
            return
        if (speed < DISTURBED_SPEED) != (view.speed < DISTURBED_SPEED):
            self.count("machines_slowed" if speed < DISTURBED_SPEED else "machines_recovered")
            self.log_event(
                "target speed changed",
                target=view.id,
                machine=view.machine,
                speed=round(speed, 2),
                before=round(view.speed, 2),
            )
        view.speed = speed
        for active in view.active_runs.values():
            self._update_slowdown(active)

    def _handle_ended_row(
        self,
        view: TargetView,
        name: str,
        run: int,
        kind: EndKind,
        checkpoint: str,
        now: float,
        unix_now: float,
    ) -> None:
        active = view.active_runs.get(name)
        if active is not None and active.run == run:
            self._end_run(view, active, kind, checkpoint, now, unix_now)
            return
        # The run was considered lost.
        job, task = split_full_name(name)
        tracked = self.jobs.get(job)
        if tracked is None or tracked.phase.is_final or task not in tracked.tasks:
            return
        if kind is EndKind.DONE:
            # The run that replaced it is stopped.
            self.log_event("late completion accepted", task=name, run=run, target=view.id)
            self._complete_task(tracked, task, run, unix_now)
        elif kind is EndKind.FAILED:
            self._handle_late_failure(view, tracked, task, RunNumber(run), now, unix_now)

    def _handle_late_failure(
        self,
        view: TargetView,
        tracked: TrackedJob,
        name: TaskName,
        run: RunNumber,
        now: float,
        unix_now: float,
    ) -> None:
        """Count the failure of a run that was considered lost, unless it has counted before."""
        _, step_number, _ = parse_task_name(name)
        if tracked.job.steps[step_number].lasting or not record_failure(tracked, name, run):
            return
        self.log_event("late failure counted", task=name, run=run, target=view.id)
        self._dirty_jobs.add(tracked.job.id)
        self._record_health(view, tracked.job.id, EndKind.FAILED, now)
        tracked.avoided_targets.add(view.id)
        self._give_up_if_spent(tracked, name, unix_now)
