"""The owner's decisions: which runs have to stop, and which tasks start on which targets."""

from collections import Counter

import msgspec

from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.guarantee import covered_jobs
from comfreyshelf.fleet.health.target_health import Signal
from comfreyshelf.fleet.jobs import EndKind, FleetConfig, Token
from comfreyshelf.fleet.moves.move_policy import FleetAccess, MovePass
from comfreyshelf.fleet.placement.by_end import EndAwareCapacity
from comfreyshelf.fleet.placement.candidate_target import CandidateTarget
from comfreyshelf.fleet.placement.candidates import make_candidate
from comfreyshelf.fleet.placement.placing import PlanningCapacity
from comfreyshelf.fleet.prediction.model import Quantile
from comfreyshelf.fleet.ranking import PassView
from comfreyshelf.fleet.scheduling import Feature, Scheduling
from comfreyshelf.fleet.targets import TargetView
from comfreyshelf.fleet.tracked_job import TrackedJob
from comfreyshelf.fleet.unit_placing import PlanningPass, UnitPlacing
from comfreyshelf.ids import JobId, OrganisationId, TargetId


class OwnerCore(UnitPlacing):
    """Scheduling decisions during one term of an owner, taken in planning passes."""

    def __init__(
        self,
        config: FleetConfig,
        bounds: Bounds,
        token: Token,
        now: float,
        scheduling: Scheduling | None = None,
    ) -> None:
        super().__init__(config, bounds, token, now, scheduling)
        # Jobs whose planning raised an error; they wait until the next owner takes over.
        self._failed_jobs: set[JobId] = set()
        # Whether nothing is placed because the operators' topic was not read lately.
        self._is_placement_held = False

    def plan(self, now: float, unix_now: float) -> None:
        """Run one planning pass.

        It drops targets whose lease has lapsed, stops runs that have to move, and places units that
        may start.
        """
        self.needs_plan = False
        self._drop_silent_targets(now, unix_now)
        self._update_remaining_times(now)
        fleet = self._fleet_access()
        self.policies.moves.stop_runs(fleet, now)
        if not self._knows_evacuations(now):
            # Work is placed as soon as the topic has been read, without waiting for a tick.
            self.needs_plan = True
            self._move_without_room(fleet, now, unix_now)
            return
        jobs = [t for t in self.jobs.values() if t.job.id not in self._failed_jobs]
        covered_ids = covered_jobs(jobs, self.config, unix_now)
        self._update_health(now)
        capacity = self._make_capacity(self._list_candidates(now, unix_now, covered_ids))
        moves = MovePass(now, unix_now, fleet, capacity, covered_ids, bool(self._unstored_runs))
        self.policies.moves.begin_pass(moves)
        moves.unclaimed_accelerators = self._unclaimed_accelerators(capacity, unix_now)
        planning = PlanningPass(now, unix_now, covered_ids, capacity, moves)
        self.policies.ranking.begin_pass(self._pass_view(planning))
        for tracked in self.policies.ranking.sort(jobs, covered_ids, unix_now):
            try:
                self.policies.moves.move_units(tracked, moves)
                self._place_job(tracked, planning)
            except Exception as exc:  # One bad job must not keep all others from being planned.
                self._record_failed_job(tracked, exc)

    def _move_without_room(self, fleet: FleetAccess, now: float, unix_now: float) -> None:
        """Stop what has to leave its target while nothing may start anywhere."""
        capacity = self._make_capacity({})
        moves = MovePass(now, unix_now, fleet, capacity, set(), bool(self._unstored_runs))
        self.policies.moves.begin_pass(moves)
        for tracked in self.jobs.values():
            if tracked.job.id in self._failed_jobs:
                continue
            try:
                self.policies.moves.move_units(tracked, moves)
            except Exception as exc:
                self._record_failed_job(tracked, exc)

    def _record_failed_job(self, tracked: TrackedJob, exc: Exception) -> None:
        self._failed_jobs.add(tracked.job.id)
        self.log_event("job cannot be planned", job=tracked.job.id, why=repr(exc))

    def _knows_evacuations(self, now: float) -> bool:
        """Whether work may be placed, as far as evacuations are known; logs what is unusual."""
        for zone in self.zone_gate.unknown_zones(self.targets.values(), now):
            self.count("evacuations_of_unknown_zones")
            self.log_event("unknown zone evacuated", zone=zone)
        is_held = not self.zone_gate.is_current(now)
        if is_held != self._is_placement_held:
            self._is_placement_held = is_held
            if is_held:
                self.count('placement_held{reason="operator_topic_not_read"}')
            self.log_event(
                "placement held" if is_held else "placement continues",
                why="the operators' topic was not read lately" if is_held else "it was read",
                age_s=min(1e6, round(self.zone_gate.read_age_s(now), 2)),
            )
        return not is_held

    def _pass_view(self, planning: PlanningPass) -> PassView:
        return PassView(
            planning.now,
            planning.unix_now,
            self.bounds.early_start_s,
            self.config,
            planning.covered_ids,
            self.targets.values(),
            planning.capacity.trusted(),
            self.log_event,
            self.count,
        )

    def _make_capacity(self, candidates: dict[TargetId, CandidateTarget]) -> PlanningCapacity:
        if self.scheduling.uses(Feature.TARGET_SPEED):
            return EndAwareCapacity(candidates, self.bounds)
        return PlanningCapacity(candidates)

    def _fleet_access(self) -> FleetAccess:
        return FleetAccess(
            self.targets,
            self.jobs,
            self.bounds,
            self.policies.speeds,
            self._stop_run,
            self._record_stall,
            self._task_counter,
            self.log_event,
            self.count,
        )

    def _update_remaining_times(self, now: float) -> None:
        for tracked in self.jobs.values():
            tracked.begin_planning_pass()
            for active in tracked.active_runs.values():
                if active.stopping_since is None:
                    tracked.remaining_s_by_task[active.task] = active.remaining_s(
                        now, Quantile.MEDIAN
                    )

    def _unclaimed_accelerators(self, capacity: PlanningCapacity, unix_now: float) -> int:
        """Number of free accelerators beyond those that guarantees are expected to claim."""
        free = sum(candidate.free.accelerators for candidate in capacity.trusted())
        used: Counter[OrganisationId] = Counter()
        for view in self.targets.values():
            for active in view.active_runs.values():
                if active.tracked.priority == 0:
                    used[active.tracked.job.organisation] += active.demand.accelerators
        return free - self._claim_forecast.expected_accelerators(self.config, used, unix_now)

    def _drop_silent_targets(self, now: float, unix_now: float) -> None:
        for view in list(self.targets.values()):
            if now - view.seen_at > self.bounds.runs_lapsed_after_s:
                self._record_signal(view, Signal.SILENT, now)
                self._drop_runs(view, unix_now, f"no report for {now - view.seen_at:.1f} s")
                del self.targets[view.id]
        if now - self._term_started_at > self.bounds.unreported_runs_lapsed_after_s:
            for target in list(self._unreported_runs):
                self._drop_unreported_runs(target, "its target never reported")

    def _record_stall(self, active: ActiveRun, now: float) -> None:
        """Keep the job away from the target of a stalled run, and count it against the target."""
        active.tracked.avoided_targets.add(active.target)
        view = self.targets[active.target]
        self._record_health(view, active.tracked.job.id, EndKind.FAILED, now)

    def _list_candidates(
        self, now: float, unix_now: float, covered_ids: set[JobId]
    ) -> dict[TargetId, CandidateTarget]:
        return {
            view.id: make_candidate(view, self.policies, covered_ids, now, unix_now)
            for view in self.targets.values()
            if self._may_start_on(view, now)
        }

    def _may_start_on(self, view: TargetView, now: float) -> bool:
        return (
            view.can_accept_work(now)
            and self.zone_gate.may_start_on(view)
            and self.policies.health.may_start(view.announcement, view.machine, now)
        )

    def _update_health(self, now: float) -> None:
        for change in self.policies.health.begin_pass(self.targets.values(), now):
            labels = f'standing="{change.standing.value}",reason="{change.reason}"'
            self.count(f"target_standing_changes{{{labels}}}")
            self.log_event("target standing changed", **msgspec.to_builtins(change))
