"""When targets will have room, from the expected ends of the runs that they hold."""

from collections.abc import Sequence

import msgspec

from comfreyshelf.fleet.placement.candidate_target import CandidateTarget, RunEnd
from comfreyshelf.fleet.placement.placing import max_tasks_that_fit
from comfreyshelf.fleet.targets import TargetView
from comfreyshelf.fleet.tracked_job import Unit
from comfreyshelf.ids import TargetId

# A run whose expected end has passed, and one that was told to stop, takes this much longer.
MIN_END_S = 0.5


class ExpectedRoom(msgspec.Struct, frozen=True):
    """The targets, one for each task, that will have room for a unit after some seconds."""

    after_s: float
    targets: list[TargetId]


def list_ends(view: TargetView) -> list[RunEnd]:
    """The expected ends of a target's runs as of this planning pass; a gang ends as a whole."""
    ends = []
    for active in view.active_runs.values():
        if active.step.lasting:
            continue
        after_s = MIN_END_S
        if active.stopping_since is None:
            remaining = active.tracked.remaining_s_by_task
            members = active.tracked.gang_members(active.task)
            after_s = max(MIN_END_S, *(remaining.get(name, 0.0) for name in members))
        ends.append(RunEnd(after_s, active.demand))
    return ends


def forecast_room(unit: Unit, group: Sequence[CandidateTarget]) -> ExpectedRoom | None:
    """When the targets of a group have room for a unit if nothing else starts there."""
    demand = unit.step.demand
    free = [candidate.free for candidate in group]
    fits = [max_tasks_that_fit(room, demand) for room in free]
    events = [
        (end.after_s, index, end.demand)
        for index, candidate in enumerate(group)
        for end in candidate.ends
    ]
    events.sort(key=lambda event: event[:2])
    ready_after_s = 0.0
    for after_s, index, released in events:
        if sum(fits) >= len(unit.tasks):
            break
        free[index] += released
        fits[index] = max_tasks_that_fit(free[index], demand)
        ready_after_s = after_s
    if sum(fits) < len(unit.tasks):
        return None
    targets = [
        candidate.announcement.id
        for candidate, count in zip(group, fits, strict=True)
        for _ in range(count)
    ]
    return ExpectedRoom(ready_after_s, targets[: len(unit.tasks)])
