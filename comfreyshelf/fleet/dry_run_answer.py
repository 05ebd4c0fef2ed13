"""The answer to the question where a job would go."""

from enum import Enum

import msgspec

from comfreyshelf.fleet.jobs import QueueName
from comfreyshelf.ids import OrganisationId, ServiceId, TargetId, ZoneId


class PlacementKind(Enum):
    """When tasks would start on the targets that they get."""

    NOW = "now"
    AFTER_ENDS = "after_ends"
    AFTER_STOPS = "after_stops"


class EndingRun(msgspec.Struct, frozen=True):
    """A run that is expected to end after some seconds; one that `is_stopping` was told to."""

    task: str
    target: TargetId
    after_s: float
    is_stopping: bool


class StoppedRun(msgspec.Struct, frozen=True):
    """A run that would be stopped; with `checkpoints`, it goes on elsewhere from where it was."""

    task: str
    target: TargetId
    organisation: OrganisationId
    priority: int
    checkpoints: bool


class Placement(msgspec.Struct):
    """Tasks that get targets; `targets` has the number of tasks on each.

    They start at once, or after the runs in `ends` or `stops`. Stopping costs `cost_core_s`
    core-seconds of work and lateness.
    """

    kind: PlacementKind
    tasks: int = 0
    targets: dict[TargetId, int] = {}
    ends: list[EndingRun] = []
    stops: list[StoppedRun] = []
    cost_core_s: float = 0.0


class WaitForRoom(msgspec.Struct, frozen=True):
    """When the next waiting tasks would have room if no other job took it.

    `ends` are the first of the `ends_in_all` runs that end until then on those targets.
    """

    after_s: float
    targets: dict[TargetId, int]
    ends: list[EndingRun]
    ends_in_all: int


class StepCapacity(msgspec.Struct):
    """What the fleet could hold of a step if it were empty.

    `targets` are of the right service, label and size, and hold `tasks` tasks in all;
    `needed_tasks` have to fit together. `evacuated_targets` are in evacuated zones, and
    `unusable_targets` drain, are silent or are kept free after failures.
    """

    needed_tasks: int
    tasks: int = 0
    targets: int = 0
    evacuated_targets: int = 0
    unusable_targets: int = 0

    @property
    def ever_fits(self) -> bool:
        """Whether the step could start on the present targets if these were empty."""
        return self.tasks >= self.needed_tasks


class StepAnswer(msgspec.Struct, frozen=True):
    """What becomes of one step.

    It may start once the steps in `after` are done. One task is expected to take `expected_s`, and
    `expected_high_s` at a high quantile, on a target of speed 1 near its data. `waiting_tasks` get
    no target now, for the reason `why`.
    """

    number: int
    tasks: int
    is_gang: bool
    after: tuple[int, ...]
    expected_s: float
    expected_high_s: float
    placements: list[Placement]
    waiting_tasks: int
    why: str
    room: WaitForRoom | None
    capacity: StepCapacity


class DryRunAnswer(msgspec.Struct, frozen=True):
    """Where a job would go if it were accepted now.

    It is expected to take `expected_s` seconds, and is late after `objective_s`. All unfinished
    urgent jobs of its organisation, this one included, need `urgent_accelerators`. `jobs_before`
    have tasks that may start, and are placed first. While placement `is_held`, nothing is placed,
    as the evacuated zones are not known well enough. A periodic job is due in `first_due_in_s`.
    """

    queue: QueueName
    service: ServiceId
    organisation: OrganisationId
    priority: int
    expected_s: float
    objective_s: float
    is_covered: bool
    guaranteed_accelerators: int
    urgent_accelerators: int
    jobs_before: int
    is_held: bool
    first_due_in_s: float
    evacuated_zones: list[ZoneId]
    targets: int
    steps: list[StepAnswer]
