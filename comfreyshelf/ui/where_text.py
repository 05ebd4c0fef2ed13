"""Text of the answer to the question where a job would go."""

from collections.abc import Iterator, Mapping

from comfreyshelf.fleet.dry_run_answer import (
    DryRunAnswer,
    EndingRun,
    Placement,
    PlacementKind,
    StepAnswer,
    StepCapacity,
)
from comfreyshelf.ids import TargetId

# Most targets and runs that one line or list names.
MAX_NAMES = 12


def describe_answer(answer: DryRunAnswer) -> Iterator[str]:
    """The lines that describe an answer."""
    organisation = answer.organisation or "none"
    yield (
        f"queue {answer.queue} of service {answer.service}, priority {answer.priority}, "
        f"organisation {organisation}"
    )
    yield f"expected to run {answer.expected_s:.1f} s, late after {answer.objective_s:.1f} s"
    yield f"guarantee: {_describe_guarantee(answer)}"
    yield f"order: after {_count(answer.jobs_before, 'other job')} with tasks that may start"
    if answer.evacuated_zones:
        yield f"evacuated zones: {', '.join(answer.evacuated_zones)}"
    if answer.first_due_in_s:
        yield f"first due in {answer.first_due_in_s:.1f} s"
    if answer.is_held:
        yield "nothing is placed now: the evacuated zones were not read lately"
    for step in answer.steps:
        yield from _describe_step(step, answer)


def _describe_guarantee(answer: DryRunAnswer) -> str:
    demand = (
        f"{answer.urgent_accelerators} accelerators are needed by unfinished urgent jobs with this "
        f"one, {answer.guaranteed_accelerators} are guaranteed"
    )
    if answer.is_covered:
        return f"covers the job; {demand}"
    if answer.priority > 0:
        return "does not cover the job, as its queue is not of priority 0"
    if answer.is_held:
        return "not checked while nothing is placed"
    return f"does not cover the job; {demand}"


def _describe_step(step: StepAnswer, answer: DryRunAnswer) -> Iterator[str]:
    kind = "a gang of " if step.is_gang else ""
    yield (
        f"step {step.number}: {kind}{_count(step.tasks, 'task')}, expected to take "
        f"{step.expected_s:.1f} s ({step.expected_high_s:.1f} s at a high quantile)"
    )
    if not step.capacity.ever_fits:
        yield f"  cannot start on the present targets: {_describe_capacity(step.capacity, answer)}"
    elif step.capacity.evacuated_targets or step.capacity.unusable_targets:
        yield f"  {_describe_capacity(step.capacity, answer)}"
    if step.after:
        yield f"  starts after step {', '.join(map(str, step.after))}"
    for placement in step.placements:
        yield from _describe_placement(placement)
    if step.waiting_tasks:
        yield f"  {_count(step.waiting_tasks, 'task')} would wait: {step.why}"
        if step.room is not None:
            yield (
                f"    room for the next in {step.room.after_s:.1f} s on "
                f"{_describe_targets(step.room.targets)}, if no other job takes it"
            )
            yield from _describe_ends(step.room.ends, step.room.ends_in_all)


def _describe_capacity(capacity: StepCapacity, answer: DryRunAnswer) -> str:
    if not capacity.targets:
        return f"none of {answer.targets} is of its service and label and large enough"
    parts = [
        f"{_count(capacity.targets, 'target')} of its service and label would hold "
        f"{_count(capacity.tasks, 'task')} if empty, {capacity.needed_tasks} must fit"
    ]
    if capacity.evacuated_targets:
        parts.append(f"{capacity.evacuated_targets} in evacuated zones")
    if capacity.unusable_targets:
        parts.append(f"{capacity.unusable_targets} drain, are silent or are not trusted")
    return "; ".join(parts)


def _describe_placement(placement: Placement) -> Iterator[str]:
    tasks, targets = _count(placement.tasks, "task"), _describe_targets(placement.targets)
    if placement.kind is PlacementKind.NOW:
        yield f"  {tasks} would start at once on {targets}"
    elif placement.kind is PlacementKind.AFTER_ENDS:
        yield f"  {tasks} would start when runs have ended on {targets}"
        yield from _describe_ends(placement.ends, len(placement.ends))
    else:
        yield (
            f"  {tasks} would start on {targets} after {_count(len(placement.stops), 'run')} "
            f"are stopped, at a cost of {placement.cost_core_s:.0f} core-s"
        )
        for stop in placement.stops[:MAX_NAMES]:
            saved = ", keeps a checkpoint" if stop.checkpoints else ""
            organisation = stop.organisation or "none"
            yield (
                f"    stops {stop.task} on {stop.target} (priority {stop.priority}, "
                f"organisation {organisation}{saved})"
            )


def _describe_ends(ends: list[EndingRun], ends_in_all: int) -> Iterator[str]:
    for end in ends[:MAX_NAMES]:
        state = ", is being stopped" if end.is_stopping else ""
        yield f"    waits for {end.task} on {end.target}, {end.after_s:.1f} s left{state}"
    if ends_in_all > MAX_NAMES:
        yield f"    and for {ends_in_all - min(len(ends), MAX_NAMES)} more"


def _describe_targets(targets: Mapping[TargetId, int]) -> str:
    names = [
        f"{target} ({tasks} tasks)" if tasks > 1 else str(target)
        for target, tasks in targets.items()
    ]
    more = f" and {len(names) - MAX_NAMES} more" if len(names) > MAX_NAMES else ""
    return ", ".join(names[:MAX_NAMES]) + more


def _count(number: int, noun: str) -> str:
    return f"{number} {noun}" if number == 1 else f"{number} {noun}s"
