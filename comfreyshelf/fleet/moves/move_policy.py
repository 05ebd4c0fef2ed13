"""Interface of the policies that decide which running units move to other targets."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping

import msgspec

from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.lost_work import StopCause
from comfreyshelf.fleet.placement.placing import PlanningCapacity
from comfreyshelf.fleet.speed.target_speeds import TargetSpeeds
from comfreyshelf.fleet.targets import TargetView
from comfreyshelf.fleet.tracked_job import TrackedJob, Unit
from comfreyshelf.ids import JobId, TargetId


class FleetAccess(msgspec.Struct, frozen=True):
    """What a policy may read of the owner's state, and do to it.

    `stop_run` orders a run to stop. `record_stall` keeps the job away from the run's target and
    counts the stall against the target's health. `count_tasks` tells how many tasks of the unit's
    step a target has already.
    """

    targets: Mapping[TargetId, TargetView]
    jobs: Mapping[JobId, TrackedJob]
    bounds: Bounds
    speeds: TargetSpeeds
    stop_run: Callable[[ActiveRun, float, StopCause], None]
    record_stall: Callable[[ActiveRun, float], None]
    count_tasks: Callable[[TrackedJob, Unit], Callable[[TargetId], int]]
    log_event: Callable[..., None]
    count: Callable[[str], None]


class MovePass(msgspec.Struct):
    """One planning pass as the policy sees it.

    `unclaimed_accelerators` are free and not expected to be claimed by guarantees; the policy
    subtracts what it reserves. While `is_store_behind`, starts of an earlier pass are not stored
    yet, so that a unit that is stopped now could not start again.
    """

    now: float
    unix_now: float
    fleet: FleetAccess
    capacity: PlanningCapacity
    covered_ids: set[JobId]
    is_store_behind: bool = False
    unclaimed_accelerators: int = 0


class TargetsToAvoid(msgspec.Struct, frozen=True):
    """Targets on which a unit should not start; on those in `excluded`, it must not."""

    avoided: frozenset[TargetId] = frozenset()
    excluded: frozenset[TargetId] = frozenset()


NOTHING_TO_AVOID = TargetsToAvoid()


class MovePolicy(ABC):
    """Decides which running units stop, where they go on, and what room is kept for them.

    The owner calls the methods of a planning pass in the order in which they are defined here.
    """

    @abstractmethod
    def stop_runs(self, fleet: FleetAccess, now: float) -> None:
        """Stop the runs that have to stop whatever room is free, before room is worked out."""

    @abstractmethod
    def begin_pass(self, moves: MovePass) -> None:
        """Find the units that may have to move, and subtract the room reserved for moves."""

    @abstractmethod
    def move_units(self, tracked: TrackedJob, moves: MovePass) -> None:
        """Decide for the running units of a job, before its waiting units are placed."""

    def is_reserved(self, tracked: TrackedJob, unit: Unit) -> bool:
        """Whether room is reserved for a unit that was stopped in order to move."""
        return False

    def take_reserved(
        self, tracked: TrackedJob, unit: Unit, moves: MovePass
    ) -> list[TargetId] | None:
        """End the reservation of a unit and return its targets, in the order of its tasks.

        None if there is none, or if its room is not free.
        """
        return None

    def reserved_targets(self, tracked: TrackedJob, unit: Unit) -> list[TargetId]:
        """The target of each task of the unit's step that is reserved for another unit."""
        return []

    def targets_to_avoid(self, tracked: TrackedJob, unit: Unit, moves: MovePass) -> TargetsToAvoid:
        """Targets on which a waiting unit should not start, as they are likely to leave."""
        return NOTHING_TO_AVOID

    def lend_reserved(self, moves: MovePass) -> bool:
        """Give the room reserved for uncovered jobs back, for a covered one; False if none is."""
        return False

    @abstractmethod
    def reclaim_reserved(self, moves: MovePass) -> None:
        """Reserve again what was lent; a reservation whose room was used is given up."""
