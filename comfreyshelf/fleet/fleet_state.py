"""What an owner knows of jobs, targets and runs, from reports and the store, and its orders."""

from collections.abc import Callable

from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.attempts import (
    give_up_reason,
    record_failure,
)
from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.evacuation.evacuations import OperatorTopicState
from comfreyshelf.fleet.evacuation.zone_gate import ZoneGate
from comfreyshelf.fleet.guarantee import ClaimForecast
from comfreyshelf.fleet.health.target_health import HealthEvent, Signal
from comfreyshelf.fleet.job_table import StoredJob
from comfreyshelf.fleet.jobs import (
    EndKind,
    FleetConfig,
    JobPhase,
    Progress,
    TaskName,
    Token,
    check_size,
    full_task_name,
    parse_task_name,
)
from comfreyshelf.fleet.lost_work import STOP_CAUSE_BY_PHASE, StopCause, lost_core_s
from comfreyshelf.fleet.messages import Orders, StartOrder, StopOrder
from comfreyshelf.fleet.placement.freed_room import FreedRoom
from comfreyshelf.fleet.policies import Policies, make_policies
from comfreyshelf.fleet.prediction.accuracy import ratio_counters, run_accuracy
from comfreyshelf.fleet.scheduling import Feature, Scheduling
from comfreyshelf.fleet.speed.slowdown import set_slowdowns
from comfreyshelf.fleet.targets import TargetView
from comfreyshelf.fleet.tracked_job import TrackedJob
from comfreyshelf.ids import JobId, RackId, TargetId

EventLogger = Callable[..., None]


def _discard_event(event: str, **fields: object) -> None:
    """Default event logger, which logs nothing."""


class FleetState:
    """Jobs, targets and runs as one owner knows them, and the orders that follow.

    It does no I/O and reads no clock, so that tests can drive it with a simulated clock. Times
    called `now` are on the owner's monotonic clock, `unix_now` is in seconds since the Unix epoch.
    After each batch of events the caller stores `changes()`, calls `mark_stored()`, and only then
    sends `orders_for()` each target.
    """

    def __init__(
        self,
        config: FleetConfig,
        bounds: Bounds,
        token: Token,
        now: float,
        scheduling: Scheduling | None = None,
    ) -> None:
        self.scheduling = scheduling or Scheduling()
        self.policies: Policies = make_policies(self.scheduling)
        # Records of earlier owners, which may be read before the first planning pass, are relative
        # to this time.
        self.policies.health.begin_pass((), now)
        self.config = config
        self.bounds = bounds
        self.token = token
        self.targets: dict[TargetId, TargetView] = {}
        self.jobs: dict[JobId, TrackedJob] = {}
        # The newest target that each machine has reported.
        self._target_by_machine: dict[str, TargetId] = {}
        self.log_event: EventLogger = _discard_event
        # Counts an event in the metrics, by the name of its counter.
        self.count: Callable[[str], None] = lambda name: None
        self._term_started_at = now
        # Runs that earlier owners ordered on targets which have not reported to this owner yet.
        self._unreported_runs: dict[TargetId, list[ActiveRun]] = {}
        self._dirty_jobs: set[JobId] = set()
        # Runs and targets with changes that the next `mark_stored` confirms, and ended jobs.
        self._unstored_runs: list[ActiveRun] = []
        self._targets_with_new_ends: set[TargetId] = set()
        self._ended_jobs: set[JobId] = set()
        # Whether something happened since the last planning pass that may change its result.
        self.needs_plan = True
        self._claim_forecast = ClaimForecast()
        self._freed_room = FreedRoom()
        self.zone_gate = ZoneGate(bounds, now)

    # Jobs

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
            progress = Progress(
                stored.progress.phase, dict(stored.progress.tasks), stored.progress.ended_at
            )
            tracked = TrackedJob(job, progress, queue, self.policies.durations)
            tracked.accepted_at = accepted_at
            tracked.check_progress()
            self.jobs[job.id] = tracked
            for name, task in progress.tasks.items():
                if task.target and not task.done:
                    self._adopt_run(tracked, name, now)
        if stored.cancelled and not tracked.progress.phase.is_final:
            self._finish_job(tracked, JobPhase.CANCELLED, unix_now, "cancelled by its caller")

    def _adopt_run(self, tracked: TrackedJob, name: TaskName, now: float) -> None:
        """Track the run that an earlier owner ordered for a task."""
        task = tracked.progress.tasks[name]
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

    def _update_slowdown(self, active: ActiveRun) -> None:
        """Work out the slowdown of a run and its gang from what is known of their targets."""
        if self.scheduling.uses(Feature.TARGET_SPEED):
            runs = active.tracked.active_runs
            members = active.tracked.gang_members(active.task)
            set_slowdowns(
                [runs[name] for name in members if name in runs],
                self._rack_of,
                self.policies.speeds.speed,
                self.bounds.remote_factor,
            )

    def _rack_of(self, target: TargetId) -> RackId | None:
        view = self.targets.get(target)
        return view.announcement.rack if view is not None else None

    def configure(self, config: FleetConfig) -> None:
        """Apply a newer configuration."""
        self.config = config
        self.needs_plan = True
        for tracked in self.jobs.values():
            tracked.queue = config.queue_by_name(tracked.job.queue) or tracked.queue

    def update_evacuations(self, state: OperatorTopicState) -> None:
        """Apply what this entry has read of the operators' topic."""
        if self.zone_gate.update(state):
            self.needs_plan = True
            # Each target process has to learn of the change before its next report.
            for view in self.targets.values():
                view.orders_changed = True

    # Ends of runs and jobs

    def _give_up_if_spent(self, tracked: TrackedJob, name: TaskName, unix_now: float) -> None:
        """End a job as failed if this task may not be started again.

        A run that still goes on may succeed, so it is left to end first.
        """
        why = give_up_reason(tracked, name)
        active = tracked.active_runs.get(name)
        if not why:
            return
        task = tracked.progress.tasks[name]
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
        tracked, task = active.tracked, active.tracked.task_progress(active.task)
        task.target = TargetId("")
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
            for member in tracked.gang_members(active.task):
                tracked.task_progress(member).checkpoint = checkpoint
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
        if kind is not EndKind.DONE and not tracked.progress.phase.is_final:
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
            progress = tracked.task_progress(name)
            progress.done = True
            progress.checkpoint = ""
            # Gang members of the same run end by themselves; a later run has to be stopped.
            if progress.run != run:
                self._order_stop(tracked, name, None, StopCause.SUPERSEDED)
        if tracked.is_done():
            self._finish_job(tracked, JobPhase.COMPLETED, unix_now, "all tasks are done")

    def _finish_job(self, tracked: TrackedJob, phase: JobPhase, unix_now: float, why: str) -> None:
        if tracked.progress.phase.is_final:
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
        for name in list(tracked.progress.tasks):
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

    # Changes and orders

    def changes(self) -> list[tuple[JobId, Progress]]:
        """Progress that has to be stored, of all jobs that changed since the last `mark_stored`."""
        return [(job, self.jobs[job].progress) for job in self._dirty_jobs]

    def give_up_job(self, job: JobId, unix_now: float, why: str) -> Progress:
        """End a job as failed and return its progress, without that of its tasks."""
        tracked = self.jobs[job]
        self._finish_job(tracked, JobPhase.FAILED, unix_now, why)
        return Progress(tracked.progress.phase, {}, tracked.progress.ended_at)

    def mark_stored(self) -> None:
        """Record that all changes are stored, so that starts are ordered and ends acknowledged."""
        self._dirty_jobs.clear()
        for target in self._targets_with_new_ends:
            if (view := self.targets.get(target)) is not None:
                view.acknowledged_ends = view.processed_ends
                view.orders_changed = True
        self._targets_with_new_ends.clear()
        for active in self._unstored_runs:
            active.is_stored = True
        self._unstored_runs.clear()
        for job in list(self._ended_jobs):
            if not self.jobs[job].active_runs:
                self._ended_jobs.discard(job)
                del self.jobs[job]

    def orders_for(
        self, view: TargetView, with_stops: bool = True, with_starts: bool = True
    ) -> Orders:
        """All open orders for a target.

        A start is repeated until the target lists the run or rejects it, a stop until the run has
        ended. Stops are left for a later message unless `with_stops`: unlike starts, they are not
        proven by an append under the owner's epoch. Starts are left for a later one unless
        `with_starts`: a zone may have been evacuated since they were placed.
        """
        view.orders_changed = False
        starts: list[StartOrder] = []
        stops = list(view.unwanted_runs.values())
        for active in view.active_runs.values():
            if active.stopping_since is not None:
                stops.append(StopOrder(active.full_name, active.run))
            elif not active.is_stored or active.is_confirmed or not view.lists_known:
                continue
            elif self.zone_gate.must_stop_start(view):
                stops.append(StopOrder(active.full_name, active.run))
            else:
                task = active.tracked.task_progress(active.task)
                starts.append(
                    StartOrder(
                        active.full_name, active.run, active.tracked.job.payload, task.resumed_from
                    )
                )
        if stops and not with_stops:
            stops.clear()
            view.orders_changed = True
        if not with_starts:
            starts.clear()
        evacuations = self.zone_gate.evacuations
        return Orders(
            self.token,
            view.incarnation,
            view.report_sent_at,
            view.acknowledged_ends,
            tuple(starts),
            tuple(stops),
            tuple(sorted(evacuations.zones)),
            evacuations.offset,
        )
