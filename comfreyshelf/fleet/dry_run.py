"""Where a job would go now: one planning pass on a copy of the owner's state."""

from collections import Counter

import msgspec

from comfreyshelf.errors import UserError
from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.dry_run_answer import (
    DryRunAnswer,
    EndingRun,
    Placement,
    PlacementKind,
    StepAnswer,
    StepCapacity,
    StoppedRun,
    WaitForRoom,
)
from comfreyshelf.fleet.job_table import StoredJob
from comfreyshelf.fleet.jobs import Job
from comfreyshelf.fleet.lost_work import StopCause
from comfreyshelf.fleet.owner import OwnerCore
from comfreyshelf.fleet.placement.by_end import MAX_HOLD_S
from comfreyshelf.fleet.placement.candidate_target import CandidateTarget
from comfreyshelf.fleet.placement.placing import Assignment, PlacementLimits, max_tasks_that_fit
from comfreyshelf.fleet.placement.room_forecast import MIN_END_S, ExpectedRoom, forecast_room
from comfreyshelf.fleet.prediction.model import Quantile
from comfreyshelf.fleet.state_copy import copy_attributes
from comfreyshelf.fleet.tracked_job import TrackedJob, Unit
from comfreyshelf.fleet.unit_placing import PlanningPass
from comfreyshelf.ids import JobId, OrganisationId, RackId, TargetId

# Most runs that are listed for one wait; the answer has the number of all.
MAX_LISTED_RUNS = 20


class DryRunError(UserError):
    """The owner cannot tell where a job would go."""


def dry_run(core: OwnerCore, job: Job, now: float, unix_now: float) -> DryRunAnswer:
    """Tell where a job would go if it were accepted now; changes nothing of `core`.

    `now` is on the owner's clock, `unix_now` in seconds since the Unix epoch. Raises
    JobTooLargeError for a job with too many tasks that are due, and DryRunError if the job's queue
    is unknown, its id is in use, or it cannot be planned.
    """
    if core.config.queue_by_name(job.queue) is None:
        raise DryRunError(f"there is no queue '{job.queue}'", "name a queue of the configuration")
    if job.id in core.jobs:
        raise DryRunError(f"a job {job.id} exists already", "use an id that no job has")
    rehearsal = _Rehearsal(core, job.id)
    rehearsal.load_job(StoredJob(job), now, unix_now)
    rehearsal.plan(now, unix_now)
    if job.id in rehearsal._failed_jobs:
        raise DryRunError(
            "the job cannot be planned, and would wait for the next owner",
            "report the job's body to the maintainers",
        )
    return rehearsal.answer(now)


class _StepRecord(msgspec.Struct):
    """What the pass decided for the units of one step."""

    placements: dict[PlacementKind, Placement] = {}
    why: str = ""
    room: WaitForRoom | None = None


class _Rehearsal(OwnerCore):
    """A copy of an owner that records what one planning pass decides for the asked job."""

    def __init__(self, core: OwnerCore, asked: JobId) -> None:
        copy_attributes(core, self, {id(core): self})
        # The pass of the copy must not reach the log and the metrics of the original.
        self.log_event = lambda event, **fields: None
        self.count = lambda name: None
        self._asked = asked
        self._is_planned = False
        self._is_covered = False
        self._jobs_before = 0
        self._steps: dict[int, _StepRecord] = {}
        self._started: set[Unit] = set()
        self._assignment: Assignment | None = None
        self._stopped: list[ActiveRun] = []

    def _drop_silent_targets(self, now: float, unix_now: float) -> None:
        """Drop nothing, as that would teach the shared models; the last real pass has done it."""

    def _place_job(self, tracked: TrackedJob, planning: PlanningPass) -> None:
        if self._is_planned:
            # Jobs that come later do not change what the asked one gets.
            return
        if tracked.job.id == self._asked:
            self._is_covered = self._asked in planning.covered_ids
            super()._place_job(tracked, planning)
            self._is_planned = True
            return
        units = tracked.startable_units(planning.unix_now, self.bounds.early_start_s)
        self._jobs_before += next(units, None) is not None
        super()._place_job(tracked, planning)

    def _place_unit(
        self, tracked: TrackedJob, unit: Unit, is_covered: bool, planning: PlanningPass
    ) -> str:
        if tracked.job.id != self._asked:
            return super()._place_unit(tracked, unit, is_covered, planning)
        self._assignment, self._stopped = None, []
        why = super()._place_unit(tracked, unit, is_covered, planning)
        record = self._record(unit)
        if not why and self._assignment is not None:
            self._record_placement(record, unit, self._assignment)
        elif record.room is None:
            record.room = self._expected_room(unit, planning)
        return why

    def _find_room(
        self, tracked: TrackedJob, unit: Unit, limits: PlacementLimits, planning: PlanningPass
    ) -> tuple[Assignment | None, str]:
        found = super()._find_room(tracked, unit, limits, planning)
        self._assignment = found[0]
        return found

    def _order_start(
        self, tracked: TrackedJob, unit: Unit, assignment: Assignment, now: float, unix_now: float
    ) -> None:
        if tracked.job.id == self._asked:
            self._started.add(unit)
        super()._order_start(tracked, unit, assignment, now, unix_now)

    def _stop_run(
        self, active: ActiveRun, now: float, cause: StopCause, for_job: JobId | None = None
    ) -> None:
        if for_job == self._asked:
            self._stopped.append(active)
        super()._stop_run(active, now, cause, for_job)

    def _log_wait(self, tracked: TrackedJob, unit: Unit, why: str, unix_now: float) -> None:
        if why and tracked.job.id == self._asked:
            self._record(unit).why = why

    def _record(self, unit: Unit) -> _StepRecord:
        return self._steps.setdefault(unit.step_number, _StepRecord())

    def _record_placement(self, record: _StepRecord, unit: Unit, found: Assignment) -> None:
        kind = PlacementKind.NOW
        if unit not in self._started:
            kind = PlacementKind.AFTER_STOPS if found.victims else PlacementKind.AFTER_ENDS
        placement = record.placements.setdefault(kind, Placement(kind))
        placement.tasks += len(unit.tasks)
        for target in found.targets:
            placement.targets[target] = placement.targets.get(target, 0) + 1
        if kind is PlacementKind.AFTER_STOPS:
            placement.cost_core_s += found.cost
            placement.stops += [_stopped_run(active) for active in self._stopped]
        if kind is PlacementKind.AFTER_ENDS:
            placement.ends = self._ends_on(placement.targets, MAX_HOLD_S)[:MAX_LISTED_RUNS]

    def _expected_room(self, unit: Unit, planning: PlanningPass) -> WaitForRoom | None:
        """When a unit that got nothing would have room, if no other job took it."""
        eligible = [one for one in planning.capacity.candidates.values() if one.can_run(unit)]
        rooms = [forecast_room(unit, group) for group in _preferred_groups(unit, eligible)]
        known: list[ExpectedRoom] = [room for room in rooms if room is not None]
        if not known:
            return None
        soonest = min(known, key=lambda room: room.after_s)
        ends = self._ends_on(dict.fromkeys(soonest.targets, 1), soonest.after_s)
        targets = Counter(soonest.targets)
        return WaitForRoom(
            round(soonest.after_s, 2), dict(targets), ends[:MAX_LISTED_RUNS], len(ends)
        )

    def _ends_on(self, targets: dict[TargetId, int], within_s: float) -> list[EndingRun]:
        """The runs that end on the targets within some seconds, the next one first."""
        ends = []
        for target in targets:
            for active in self.targets[target].active_runs.values():
                if active.step.lasting or active.tracked.job.id == self._asked:
                    continue
                after_s = MIN_END_S
                if active.stopping_since is None:
                    after_s = max(MIN_END_S, self._gang_remaining_s(active))
                if after_s <= within_s:
                    is_stopping = active.stopping_since is not None
                    ends.append(EndingRun(active.full_name, target, round(after_s, 2), is_stopping))
        ends.sort(key=lambda end: (end.after_s, end.task))
        return ends

    @staticmethod
    def _gang_remaining_s(active: ActiveRun) -> float:
        remaining_s = active.tracked.remaining_s_by_task
        members = active.tracked.gang_members(active.task)
        return max(remaining_s.get(name, 0.0) for name in members)

    def answer(self, now: float) -> DryRunAnswer:
        """What the pass has decided for the asked job."""
        tracked = self.jobs[self._asked]
        job = tracked.job
        assert tracked.queue is not None
        empty = [
            CandidateTarget(view.announcement, view.announcement.room)
            for view in self.targets.values()
        ]
        return DryRunAnswer(
            queue=tracked.queue.name,
            service=tracked.queue.service,
            organisation=job.organisation,
            priority=tracked.priority,
            expected_s=round(tracked.critical_path_s, 2),
            objective_s=round(tracked.deadline - tracked.accepted_at, 2),
            is_covered=self._is_covered,
            guaranteed_accelerators=self.config.guaranteed_accelerators(job.organisation),
            urgent_accelerators=self._urgent_accelerators(job.organisation),
            jobs_before=self._jobs_before,
            is_held=not self._is_planned,
            first_due_in_s=self._first_due_in_s(tracked),
            evacuated_zones=sorted(self.zone_gate.evacuations.zones),
            targets=len(self.targets),
            steps=[
                self._step_answer(tracked, number, self._step_capacity(tracked, number, empty, now))
                for number in range(len(job.steps))
            ],
        )

    def _first_due_in_s(self, tracked: TrackedJob) -> float:
        if tracked.job.times <= 0:
            return 0.0
        return max(0.0, round(tracked.job.first_ms / 1000 - tracked.accepted_at, 2))

    def _urgent_accelerators(self, organisation: OrganisationId) -> int:
        """What the unfinished urgent jobs of an organisation need, with the asked one if urgent."""
        return sum(
            tracked.widest_step_accelerators()
            for tracked in self.jobs.values()
            if tracked.priority == 0
            and tracked.job.organisation == organisation
            and not tracked.phase.is_final
        )

    def _step_answer(self, tracked: TrackedJob, number: int, capacity: StepCapacity) -> StepAnswer:
        step, record = tracked.job.steps[number], self._steps.get(number, _StepRecord())
        placements = [
            record.placements[kind] for kind in PlacementKind if kind in record.placements
        ]
        placed = sum(placement.tasks for placement in placements)
        waiting = max(0, step.count - placed) if number in self._steps else 0
        return StepAnswer(
            number=number,
            tasks=step.count,
            is_gang=step.gang,
            after=step.after,
            expected_s=round(tracked.task_duration_s(number), 2),
            expected_high_s=round(tracked.task_duration_s(number, Quantile.HIGH), 2),
            placements=placements,
            waiting_tasks=waiting,
            why=record.why if waiting else "",
            room=record.room if waiting else None,
            capacity=capacity,
        )

    def _step_capacity(
        self, tracked: TrackedJob, number: int, empty: list[CandidateTarget], now: float
    ) -> StepCapacity:
        """How much of a step the fleet could hold if it were empty."""
        step = tracked.job.steps[number]
        assert tracked.queue is not None
        unit = Unit(tracked.queue.service, step, 0, number, tracked.step_tasks(0, number))
        capacity = StepCapacity(needed_tasks=step.count if step.gang else 1)
        for candidate in empty:
            if not candidate.can_run(unit):
                continue
            capacity.targets += 1
            fitting = max_tasks_that_fit(candidate.free, step.demand)
            capacity.tasks += min(fitting, step.per_target or fitting)
            if self.zone_gate.is_evacuated(candidate.announcement):
                capacity.evacuated_targets += 1
            elif not self._may_start_on(self.targets[candidate.announcement.id], now):
                capacity.unusable_targets += 1
        return capacity


def _stopped_run(active: ActiveRun) -> StoppedRun:
    return StoppedRun(
        active.full_name,
        active.target,
        active.tracked.job.organisation,
        active.tracked.priority,
        active.step.checkpoints,
    )


def _preferred_groups(unit: Unit, eligible: list[CandidateTarget]) -> list[list[CandidateTarget]]:
    """The groups of targets that a unit would rather wait for: racks that can hold it, or all."""
    step = unit.step
    racks: dict[RackId, list[CandidateTarget]] = {}
    for candidate in eligible:
        racks.setdefault(candidate.announcement.rack, []).append(candidate)
    groups = [eligible]
    if step.rack:
        groups = [racks.get(RackId(step.rack), [])]
    elif step.same_rack and len(unit.tasks) > 1:
        groups = list(racks.values())
    return [
        group
        for group in groups
        if sum(max_tasks_that_fit(one.announcement.room, step.demand) for one in group)
        >= len(unit.tasks)
    ] or [eligible]
