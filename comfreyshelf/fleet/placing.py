"""Choice of targets for a unit: tight fits first, one rack where it matters, victims if allowed."""

from collections.abc import Callable, Hashable, Iterable

import msgspec

from comfreyshelf.fleet.jobs import Announcement, Room
from comfreyshelf.fleet.work import Active, Unit
from comfreyshelf.ids import RackId, TargetId

# Added to the cost of a place that is not free yet, in core-seconds.
WAIT_COST = 1.0


class Victim(msgspec.Struct, frozen=True):
    """A run that may be stopped: what that throws away, and what its job loses by being late."""

    active: Active
    work_loss: float
    late_loss: float = 0.0

    @property
    def loss(self) -> float:
        """All that is lost if no other run of the job is stopped."""
        return self.work_loss + self.late_loss


class Slot(msgspec.Struct):
    """A target that may be given work, with what is free there and what could be freed.

    `free` counts what is really free; `leaving` is held by runs that are being stopped. `victims`
    are sorted by their loss, the least first.
    """

    announcement: Announcement
    free: Room
    leaving: Room = Room()
    victims: list[Victim] = []

    def could_hold(self, demand: Room, above: int) -> bool:
        """Whether a task could fit if all runs that it may stop were stopped."""
        room = self.free + self.leaving
        for victim in self.victims:
            if room.holds(demand):
                return True
            if victim.active.work.priority > above:
                room += victim.active.demand
        return room.holds(demand)

    def suits(self, unit: Unit) -> bool:
        """Whether the target could run a task of the unit if nothing else ran there."""
        announcement, step = self.announcement, unit.step
        return (
            announcement.service == unit.service
            and (not step.label or step.label in announcement.labels)
            and announcement.room.holds(step.demand)
        )


class Choice(msgspec.Struct):
    """A target for each task of a unit; `victims` have to stop first."""

    targets: list[TargetId]
    victims: list[Active]
    ready: bool
    cost: float


class Fleet:
    """The slots of one planning pass; what is chosen is taken from them."""

    def __init__(self, slots: dict[TargetId, Slot]) -> None:
        self.slots = slots
        # Answers that hold until a slot changes: many jobs wait for equal places.
        self._known: dict[Hashable, Choice | None] = {}

    def place(
        self,
        unit: Unit,
        avoid: set[TargetId],
        used: Callable[[TargetId], int],
        above: int,
        spread: bool,
    ) -> Choice | None:
        """The cheapest choice for a unit, or None; nothing is taken yet.

        Room that runs of a priority number higher than `above` hold counts too. With `spread`, a
        unit that belongs together may be spread over racks when no rack has room.
        """
        step = unit.step
        key = (unit.service, step, len(unit.tasks), frozenset(avoid), above, spread)
        if not step.per_target and key in self._known:
            return self._known[key]
        choice = self._best(unit, self._usable(unit, avoid, used), used, above, spread)
        if choice is None and avoid:
            choice = self._best(unit, self._usable(unit, set(), used), used, above, spread)
        self._known[key] = choice
        return choice

    def take(self, unit: Unit, targets: Iterable[TargetId]) -> None:
        """Take the room of one task on each target, so that no later unit gets it."""
        for target in targets:
            self.slots[target].free -= unit.step.demand
        self._known.clear()

    def stop(self, victim: Active) -> None:
        """Count the room of a run as leaving."""
        slot = self.slots[victim.target]
        slot.leaving += victim.demand
        slot.victims = [other for other in slot.victims if other.active is not victim]
        self._known.clear()

    def _usable(
        self, unit: Unit, avoid: set[TargetId], used: Callable[[TargetId], int]
    ) -> list[Slot]:
        step = unit.step
        return [
            slot
            for slot in self.slots.values()
            if slot.announcement.id not in avoid
            and slot.suits(unit)
            and (not step.per_target or used(slot.announcement.id) < step.per_target)
        ]

    def _best(
        self,
        unit: Unit,
        usable: list[Slot],
        used: Callable[[TargetId], int],
        above: int,
        spread: bool,
    ) -> Choice | None:
        step = unit.step
        groups: list[list[Slot]] = []
        if step.rack:
            groups.append([s for s in usable if s.announcement.rack == step.rack])
        elif step.same_rack and len(unit.tasks) > 1:
            racks: dict[RackId, list[Slot]] = {}
            for slot in usable:
                racks.setdefault(slot.announcement.rack, []).append(slot)
            groups += list(racks.values())
        near = [c for c in (self._fill(unit, g, used, above) for g in groups) if c is not None]
        if near:
            return min(near, key=lambda choice: (not choice.ready, choice.cost))
        if not spread and any(self._capacity(unit, group) >= len(unit.tasks) for group in groups):
            return None
        return self._fill(unit, usable, used, above)

    @staticmethod
    def _capacity(unit: Unit, group: list[Slot]) -> int:
        """How many tasks of the unit the empty targets of a group would hold."""
        demand = unit.step.demand
        return sum(_copies(slot.announcement.room, demand) for slot in group)

    def _fill(
        self, unit: Unit, group: list[Slot], used: Callable[[TargetId], int], above: int
    ) -> Choice | None:
        demand, most = unit.step.demand, unit.step.per_target
        group = [slot for slot in group if slot.could_hold(demand, above)]
        free = {slot.announcement.id: slot.free for slot in group}
        count = {slot.announcement.id: used(slot.announcement.id) for slot in group}
        # By identity, as each run is one object.
        stopped: dict[int, Active] = {}
        choice = Choice([], [], True, 0.0)
        for _ in unit.tasks:
            best: tuple[float, Slot, list[Active], bool] | None = None
            for slot in group:
                target = slot.announcement.id
                if most and count[target] >= most:
                    continue
                option = _option(slot, free[target], demand, stopped, above)
                if option is not None and (best is None or option[0] < best[0]):
                    best = (option[0], slot, option[1], option[2])
            if best is None:
                return None
            cost, slot, victims, ready = best
            target = slot.announcement.id
            for victim in victims:
                stopped[id(victim)] = victim
                free[target] += victim.demand
            free[target] -= demand
            count[target] += 1
            choice.targets.append(target)
            choice.cost += cost
            choice.ready = choice.ready and ready
        choice.victims = list(stopped.values())
        return choice


def _copies(room: Room, demand: Room) -> int:
    counts = [
        have // want
        for have, want in (
            (room.cpu, demand.cpu),
            (room.memory_mb, demand.memory_mb),
            (room.accelerators, demand.accelerators),
        )
        if want > 0
    ]
    return min(counts, default=1000)


def _option(
    slot: Slot, free: Room, demand: Room, stopped: dict[int, Active], above: int
) -> tuple[float, list[Active], bool] | None:
    """Cost, victims and readiness of one more task on a slot; None if it cannot fit."""
    if free.holds(demand):
        # The tightest fit keeps wide gaps for wide tasks.
        return ((free - demand).accelerators * 0.01 + (free - demand).cpu * 1e-7, [], True)
    room = free + slot.leaving
    victims: list[Active] = []
    cost = WAIT_COST
    late = {active.work.job.id for active in stopped.values()}
    gangs = {active.gang for active in stopped.values()}
    for victim in slot.victims:
        if room.holds(demand):
            break
        active = victim.active
        if active.work.priority > above and id(active) not in stopped:
            room += active.demand
            victims.append(active)
            # A gang ends with any of its members, and a job is late with any of its runs.
            cost += 0.0 if active.gang in gangs else victim.work_loss
            cost += 0.0 if active.work.job.id in late else victim.late_loss
            gangs.add(active.gang)
            late.add(active.work.job.id)
    return (cost, victims, False) if room.holds(demand) else None
