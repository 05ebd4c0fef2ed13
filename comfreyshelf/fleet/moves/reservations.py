"""Room that is kept for units that were stopped in order to start elsewhere."""

from collections.abc import Iterator

import msgspec

from comfreyshelf.fleet.jobs import Incarnation, Resources, TaskName
from comfreyshelf.fleet.moves.move_policy import MovePass
from comfreyshelf.fleet.tracked_job import TrackedJob, Unit
from comfreyshelf.ids import JobId, TargetId

# The job of a unit and the unit's first task, as `ActiveRun.gang_key`.
UnitKey = tuple[JobId, TaskName]


class Reservation(msgspec.Struct):
    """The targets kept for a unit, in the order of its tasks, with their incarnations.

    It lapses at `until`. While it `is_held`, its room is subtracted from the capacity of the
    present planning pass.
    """

    tracked: TrackedJob
    unit: Unit
    targets: list[TargetId]
    incarnations: dict[TargetId, Incarnation]
    until: float
    is_held: bool = True
    is_lent: bool = False


def unit_key(tracked: TrackedJob, unit: Unit) -> UnitKey:
    """The key of a unit, equal to the `gang_key` of its runs."""
    return (tracked.job.id, unit.tasks[0])


class Reservations:
    """All reservations of one owner; the next owner has none, and stopped units wait like others.

    Nothing is reserved for a unit once it has started, as its runs then hold the room.
    """

    def __init__(self, reserve_s: float) -> None:
        self._reserve_s = reserve_s
        self._by_unit: dict[UnitKey, Reservation] = {}

    def __len__(self) -> int:
        return len(self._by_unit)

    def __contains__(self, key: UnitKey) -> bool:
        return key in self._by_unit

    def __iter__(self) -> Iterator[Reservation]:
        return iter(list(self._by_unit.values()))

    def targets_of_step(self, tracked: TrackedJob, unit: Unit) -> list[TargetId]:
        """The targets reserved for the other units of a unit's step, in one occurrence."""
        step = (unit.occurrence, unit.step_number)
        return [
            target
            for key, reservation in self._by_unit.items()
            if key[0] == tracked.job.id
            and key != unit_key(tracked, unit)
            and (reservation.unit.occurrence, reservation.unit.step_number) == step
            for target in reservation.targets
        ]

    def add(
        self, tracked: TrackedJob, unit: Unit, targets: list[TargetId], moves: MovePass
    ) -> None:
        """Reserve room for a unit from this planning pass on."""
        incarnations = {target: moves.fleet.targets[target].incarnation for target in targets}
        reservation = Reservation(tracked, unit, targets, incarnations, moves.now + self._reserve_s)
        self._by_unit[unit_key(tracked, unit)] = reservation
        moves.capacity.reserve(unit, targets)

    def hold(self, moves: MovePass) -> None:
        """Subtract the reserved room from the capacity of a pass, and give up what is void."""
        for reservation in self:
            reservation.is_held = reservation.is_lent = False
            if why := _why_void(reservation, moves):
                self._give_up(reservation, why, moves)
                continue
            self._subtract(reservation, moves)

    def take(self, key: UnitKey, moves: MovePass) -> list[TargetId] | None:
        """End a reservation and return its targets; None if there is none or its room is not free.

        The room is given back to the capacity of this pass.
        """
        reservation = self._by_unit.get(key)
        if reservation is None:
            return None
        self._give_back(reservation, moves)
        if not _fits_now(reservation, moves):
            self._give_up(reservation, "no_room", moves)
            return None
        del self._by_unit[key]
        moves.fleet.count("moves_completed")
        return reservation.targets

    def lend(self, moves: MovePass) -> bool:
        """Give back the room reserved for jobs that are not covered; False if there is none."""
        for reservation in self:
            if reservation.is_held and reservation.tracked.job.id not in moves.covered_ids:
                self._give_back(reservation, moves)
                reservation.is_lent = True
        return any(reservation.is_lent for reservation in self)

    def reclaim(self, moves: MovePass) -> None:
        """Subtract lent room again; a reservation whose room was used is given up."""
        for reservation in self:
            if not reservation.is_lent:
                continue
            reservation.is_lent = False
            self._subtract(reservation, moves)
            candidates = moves.capacity.candidates
            for target in reservation.targets:
                candidate = candidates.get(target)
                if candidate is not None and not (candidate.free + candidate.releasing).can_hold(
                    Resources()
                ):
                    self._give_up(reservation, "guarantee", moves)
                    break

    def _subtract(self, reservation: Reservation, moves: MovePass) -> None:
        moves.capacity.reserve(reservation.unit, _present(reservation, moves))
        reservation.is_held = True

    def _give_back(self, reservation: Reservation, moves: MovePass) -> None:
        if reservation.is_held:
            moves.capacity.give_back(reservation.unit, _present(reservation, moves))
        reservation.is_held = False

    def _give_up(self, reservation: Reservation, why: str, moves: MovePass) -> None:
        self._give_back(reservation, moves)
        del self._by_unit[unit_key(reservation.tracked, reservation.unit)]
        moves.fleet.count(f'reservations_given_up{{reason="{why}"}}')
        moves.fleet.log_event(
            "reserved room given up",
            job=reservation.tracked.job.id,
            step=reservation.unit.step_number,
            targets=sorted(set(reservation.targets)),
            why=why,
        )


def _present(reservation: Reservation, moves: MovePass) -> list[TargetId]:
    """The reserved targets that may be given work in this pass."""
    return [target for target in reservation.targets if target in moves.capacity.candidates]


def _why_void(reservation: Reservation, moves: MovePass) -> str:
    """Why a reservation no longer holds; empty if it does."""
    tracked = reservation.tracked
    if moves.fleet.jobs.get(tracked.job.id) is not tracked or tracked.phase.is_final:
        return "job_ended"
    if any(tracked.task_progress(name).done for name in reservation.unit.tasks):
        return "done"
    for target, incarnation in reservation.incarnations.items():
        view = moves.fleet.targets.get(target)
        if view is None or view.incarnation != incarnation or view.certain_until:
            return "target_left"
        if not view.lists_known:
            return "target_down"
    return "late" if moves.now > reservation.until else ""


def _fits_now(reservation: Reservation, moves: MovePass) -> bool:
    """Whether every task of a unit fits beside the runs of its reserved target.

    The room of the pass does not tell, as it lacks what is kept for units that fit nowhere yet.
    """
    unit, candidates = reservation.unit, moves.capacity.candidates
    needed: dict[TargetId, Resources] = {}
    for target in reservation.targets:
        needed[target] = needed.get(target, Resources()) + unit.step.demand
    return all(
        target in candidates
        and candidates[target].can_run(unit)
        and moves.fleet.targets[target].free_room().can_hold(demand)
        for target, demand in needed.items()
    )
