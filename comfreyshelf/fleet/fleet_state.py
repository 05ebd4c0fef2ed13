"""What an owner knows of jobs, targets and runs, from reports and the store, and its orders."""

from collections.abc import Callable

from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.evacuation.evacuations import OperatorTopicState
from comfreyshelf.fleet.evacuation.zone_gate import ZoneGate
from comfreyshelf.fleet.guarantee import ClaimForecast
from comfreyshelf.fleet.jobs import (
    FleetConfig,
    Progress,
    Token,
)
from comfreyshelf.fleet.messages import Orders, StartOrder, StopOrder
from comfreyshelf.fleet.placement.freed_room import FreedRoom
from comfreyshelf.fleet.policies import Policies, make_policies
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

    # Changes and orders

    def changes(self) -> list[tuple[JobId, Progress]]:
        """Progress that has to be stored, of all jobs that changed since the last `mark_stored`."""
        return [(job, self.jobs[job].progress) for job in self._dirty_jobs]

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
