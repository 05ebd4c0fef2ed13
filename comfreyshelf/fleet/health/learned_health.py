"""Learns from the ends of runs which machines, racks and zones fail their work."""

from collections.abc import Collection

from comfreyshelf.fleet.health.blame import JobBlame, Level, Place, Places
from comfreyshelf.fleet.health.groups import Groups
from comfreyshelf.fleet.health.restriction import restrict
from comfreyshelf.fleet.health.score import DONE_CREDIT, MIN_SCORE, Score
from comfreyshelf.fleet.health.steps import Machine
from comfreyshelf.fleet.health.target_health import (
    HealthEvent,
    Signal,
    Standing,
    StandingChange,
    TargetHealth,
)
from comfreyshelf.fleet.jobs import Announcement, EndKind
from comfreyshelf.fleet.targets import TargetView

# A signal is no proof: five of them within seconds lead to probation.
SIGNAL_CHARGE = 1.0
REJECTION_CHARGE = 0.5
# All runs that a machine loses within this time were lost to one crash.
ONE_CRASH_S = 0.5
# While a machine, rack or zone is not trusted, all are judged this often also without events.
UPDATE_INTERVAL_S = 1.0
# Otherwise they are this often, to forget what no longer counts.
FORGET_INTERVAL_S = 60.0
# For how long signals do not count against a machine that has proved itself, if it fails no run.
CLEARED_LIFE_S = 600.0
# Machines that are remembered, also those that have left.
MAX_MACHINES = 1024
# Cost in core-seconds of placing a task on a target, above that of any unused room. On trusted
# targets it is for each unit of the score, and decides only between targets of nearly equal room.
RISK_BY_STANDING = {Standing.TRUSTED: 0.0, Standing.PROBATION: 50.0, Standing.AVOIDED: 500.0}
RISK_PER_SCORE = 0.05


class LearnedHealth(TargetHealth):
    """Scores machines, racks and zones, and steps machines between trusted and avoided.

    Only `begin_pass` changes what `standing` and `may_start` return, so that these are look-ups.
    """

    def __init__(self) -> None:
        self.machines: dict[str, Machine] = {}
        self.groups = Groups()
        # Changes with what is worth keeping; 0 while nothing was learned.
        self.revision = 0
        # The newest time on the owner's clock, None before the first event or pass.
        self.now: float | None = None
        self._blame = JobBlame(lambda name: self.standing(name) is not Standing.TRUSTED)
        self._lost_at: dict[str, float] = {}
        self._standings: dict[str, Standing] = {}
        self._risks: dict[str, float] = {}
        self._is_changed = False
        self._next_update_at = float("inf")
        self._fleet_size = 0
        self._spared = 0

    def record_end(self, event: HealthEvent, now: float) -> None:
        now = self._advance(now)
        if event.kind is EndKind.DONE:
            self._record_success(event, now)
        elif event.is_expected:
            return
        elif event.kind is EndKind.FAILED:
            self._record_failure(event, now)
        elif event.kind is EndKind.LOST:
            previous = self._lost_at.pop(event.machine, float("-inf"))
            self._lost_at[event.machine] = now
            if len(self._lost_at) > MAX_MACHINES:
                del self._lost_at[next(iter(self._lost_at))]
            if now - previous >= ONE_CRASH_S:
                self._record_failure(event, now)
        elif event.kind is EndKind.REJECTED:
            self._charge_signal(event.announcement, event.machine, REJECTION_CHARGE, now)

    def record_signal(
        self, announcement: Announcement, machine: str, signal: Signal, now: float
    ) -> None:
        self._charge_signal(announcement, machine, SIGNAL_CHARGE, self._advance(now))

    def may_start(self, announcement: Announcement, machine: str, now: float) -> bool:
        """True also where nothing is placed usually, as guaranteed work may have no other room."""
        return True

    def standing(self, machine: str) -> Standing:
        return self._standings.get(machine, Standing.TRUSTED)

    def risk(self, machine: str) -> float:
        return self._risks.get(machine, 0.0)

    @property
    def spared(self) -> int:
        return self._spared

    @property
    def has_restricted(self) -> bool:
        return bool(self._standings)

    def begin_pass(self, views: Collection[TargetView], now: float) -> list[StandingChange]:
        now = self._advance(now)
        is_due = self._is_changed or now >= self._next_update_at
        if not is_due and len(views) == self._fleet_size:
            return []
        self._is_changed, self._fleet_size = False, len(views)
        places = {view.machine: make_places(view.announcement, view.machine) for view in views}
        sizes: dict[Place, int] = {}
        for _, rack, zone in places.values():
            sizes[rack] = sizes.get(rack, 0) + 1
            sizes[zone] = sizes.get(zone, 0) + 1
        if self.groups.update(sizes, now):
            self.revision += 1
        changes = self._update_machines(places, now)
        fleet = {view.machine: view.announcement.service for view in views}
        self._standings, self._spared = restrict(self.machines, fleet, now)
        self._update_risks(now)
        self._forget(now)
        is_any_failing = any(group.is_failing for _, group in self.groups.items())
        self._next_update_at = min(
            (machine.next_change_at for machine in self.machines.values()), default=float("inf")
        )
        if self.machines:
            self._next_update_at = min(self._next_update_at, now + FORGET_INTERVAL_S)
        if self._standings or is_any_failing:
            self._next_update_at = min(self._next_update_at, now + UPDATE_INTERVAL_S)
        return changes

    def require_update(self) -> None:
        """Judge all machines in the next pass, after something was merged."""
        self.revision += 1
        self._is_changed = True

    def _update_machines(self, places: dict[str, Places], now: float) -> list[StandingChange]:
        for name, own in places.items():
            if name not in self.machines and self._failing_group(own):
                self.machines[name] = Machine(own, Score(0.0, now))
        changes = []
        for name, machine in self.machines.items():
            before = machine.announced_standing
            machine.places = places.get(name, machine.places)
            machine.update(self._failing_group(machine.places), now)
            if machine.standing is not before:
                self.revision += 1
                changes.append(
                    StandingChange(
                        name,
                        before,
                        machine.standing,
                        machine.reason,
                        round(machine.score.value(now), 2),
                        machine.strikes,
                        round(max(0.0, machine.paused_until - now), 1),
                    )
                )
            machine.announced_standing = machine.standing
        return changes

    def _failing_group(self, places: Places) -> str:
        _, rack, zone = places
        if self.groups.failing(zone):
            return Level.ZONE.name.lower()
        return Level.RACK.name.lower() if self.groups.failing(rack) else ""

    def _update_risks(self, now: float) -> None:
        self._risks = {
            name: RISK_PER_SCORE * machine.score.value(now) + RISK_BY_STANDING[self.standing(name)]
            for name, machine in self.machines.items()
        }

    def _forget(self, now: float) -> None:
        """Drop the machines of which nothing is worth keeping, and the oldest ones beyond a limit.

        Machines that proved themselves are kept while their rack or zone is failing, and for
        CLEARED_LIFE_S.
        """
        for name, machine in list(self.machines.items()):
            is_needed = machine.is_cleared and (
                now - machine.since < CLEARED_LIFE_S or self._failing_group(machine.places)
            )
            if (
                machine.standing is Standing.TRUSTED
                and machine.score.value(now) < MIN_SCORE
                and not machine.recent_strikes(now)
                and not is_needed
            ):
                del self.machines[name]
        for name in list(self.machines)[: max(0, len(self.machines) - MAX_MACHINES)]:
            del self.machines[name]

    def _record_success(self, event: HealthEvent, now: float) -> None:
        self._blame.record_success(event.job)
        places = make_places(event.announcement, event.machine)
        for place in places[1:]:
            self.groups.record_success(place, DONE_CREDIT, now)
        machine = self.machines.get(event.machine)
        if machine is not None:
            machine.score.add(-DONE_CREDIT, now)
            machine.record_success()
            self._is_changed = self._is_changed or machine.standing is Standing.PROBATION

    def _record_failure(self, event: HealthEvent, now: float) -> None:
        places = make_places(event.announcement, event.machine)
        is_lost = event.kind is EndKind.LOST
        counted = {places[0]}
        for place in places[1:]:
            if self.groups.record_failure(place, event.machine, now, is_lost):
                counted.add(place)
        machine = self._machine(places, now)
        for charge in self._blame.record_failure(event.job, places, now):
            if charge.place.level is not Level.MACHINE:
                if charge.amount < 0 or charge.place in counted:
                    self.groups.charge(charge.place, charge.amount, now)
            elif charge.place == places[0]:
                machine.score.add(charge.amount, now)
                machine.record_failure(event.job, charge.blame, event.kind.value, now)
            elif (other := self.machines.get(charge.place.name)) is not None:
                other.score.add(charge.amount, now)
                other.take_back(event.job, charge.blame, now)
        self.require_update()

    def _charge_signal(
        self, announcement: Announcement, name: str, charge: float, now: float
    ) -> None:
        self._machine(make_places(announcement, name), now).record_signal(charge, now)
        self.require_update()

    def _machine(self, places: Places, now: float) -> Machine:
        """The record of a machine, which becomes the newest one."""
        name = places[0].name
        machine = self.machines.pop(name, None) or Machine(places, Score(0.0, now))
        machine.places = places
        self.machines[name] = machine
        return machine

    def _advance(self, now: float) -> float:
        """The newest time; runs that are lost with a silent target end when it was last seen."""
        self.now = now if self.now is None else max(self.now, now)
        return self.now


def make_places(announcement: Announcement, machine: str) -> Places:
    """The machine of a target, its rack and its zone."""
    zone = announcement.zone
    return (
        Place(Level.MACHINE, machine),
        Place(Level.RACK, f"{zone}/{announcement.rack}"),
        Place(Level.ZONE, zone),
    )
