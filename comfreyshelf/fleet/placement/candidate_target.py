"""A target that may be given work, with what its runs hold and may release."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.health.target_health import Standing
from comfreyshelf.fleet.jobs import Announcement, Resources
from comfreyshelf.fleet.tracked_job import Unit
from comfreyshelf.ids import JobId

if TYPE_CHECKING:
    from comfreyshelf.fleet.placement.placing import PlacementLimits

# Added to the cost of a task that may have crashed a runner beside a run that was just started, and
# the other way round, so that the next crash shows which of them causes it.
SHARED_TRIAL_COST_CORE_S = 100.0


class RunEnd(msgspec.Struct, frozen=True):
    """A run that is expected to release `demand` after some seconds."""

    after_s: float
    demand: Resources


class Victim(msgspec.Struct, frozen=True):
    """A run that may be preempted, with the cost of doing so in core-seconds.

    `lost_work` is the work that is thrown away, `lateness_loss` what the job loses if the
    preemption makes it miss its objective. A run that `ends_soon` is worth waiting for.
    """

    active: ActiveRun
    lost_work: float
    lateness_loss: float = 0.0
    ends_soon: bool = False

    @property
    def total_loss(self) -> float:
        """Cost of the preemption if no other run of the job or its gang is preempted."""
        return self.lost_work + self.lateness_loss


class CandidateTarget(msgspec.Struct):
    """A target that may be given work, with its free resources and those that could be freed.

    `free` excludes the resources in `releasing`, which runs hold that are being stopped. `victims`
    are sorted by their total loss in ascending order; `ending` is what those hold that end soon.
    Both are worked out by `list_victims` when they are first needed, as most tasks need none.
    `young_jobs` has the job of each run that was just started there, `trial_jobs` those that may
    crash the runner. A crash would cost `work_at_risk` core-seconds. `speed` is that of its
    machine, `rack_room_cost` is added to the cost of a task for the free room in its rack. A task
    placed there costs `failure_risk` core-seconds, as it may fail; `is_occupied` is whether any run
    is there.
    """

    announcement: Announcement
    free: Resources
    releasing: Resources = Resources()
    list_victims: Callable[[], list[Victim]] = list
    young_jobs: list[JobId] = []
    trial_jobs: set[JobId] = set()
    work_at_risk: Callable[[], float] = lambda: 0.0
    speed: float = 1.0
    rack_room_cost: float = 0.0
    standing: Standing = Standing.TRUSTED
    failure_risk: float = 0.0
    is_occupied: bool = False
    list_ends: Callable[[], list[RunEnd]] = list
    _ends: list[RunEnd] | None = None
    _victims: list[Victim] | None = None
    _ending: Resources = Resources()

    @property
    def victims(self) -> list[Victim]:
        """The runs that may be preempted, by their total loss in ascending order."""
        if self._victims is None:
            self._victims = self.list_victims()
            for victim in self._victims:
                if victim.ends_soon:
                    self._ending += victim.active.demand
        return self._victims

    @property
    def ends(self) -> list[RunEnd]:
        """The expected ends of its runs, worked out when they are first needed."""
        if self._ends is None:
            self._ends = self.list_ends()
        return self._ends

    def add_young_run(self, job: JobId, is_trial: bool) -> None:
        """Count a run that was just started here."""
        self.is_occupied = True
        self.young_jobs.append(job)
        if is_trial:
            self.trial_jobs.add(job)

    def allows_trial(self, job: JobId | None) -> bool:
        """Whether a crash here would still tell that this job, if it is a suspect, causes it."""
        return job is None or self.trial_jobs <= {job}

    def admits(self, limits: "PlacementLimits") -> bool:
        """Whether the target's standing allows a unit with these limits."""
        if self.standing is Standing.TRUSTED or limits.reach is Standing.AVOIDED:
            return True
        if self.standing is Standing.AVOIDED:
            return False
        is_free_for_probe = limits.is_probe and not self.is_occupied
        return limits.reach is Standing.PROBATION or is_free_for_probe

    def crash_risk(self, trial_job: JobId | None) -> float:
        """Cost in core-seconds of placing a task here, where a crash may lose work."""
        if trial_job is None:
            return SHARED_TRIAL_COST_CORE_S * len(self.trial_jobs)
        others = sum(job != trial_job for job in self.young_jobs)
        return SHARED_TRIAL_COST_CORE_S * others + self.work_at_risk()

    def release(self, active: ActiveRun) -> None:
        """Count the resources of a preempted run as being released."""
        self.releasing += active.demand
        self._victims = [other for other in self.victims if other.active is not active]

    def room_after_ends(self, free: Resources, limits: "PlacementLimits") -> Resources:
        """The room once the runs have ended that are being stopped, or that end soon."""
        room = free + self.releasing
        if limits.wait_for_ends and self.victims:
            room += self._ending
        return room

    def can_hold_with_preemption(self, demand: Resources, limits: "PlacementLimits") -> bool:
        """Whether a task would fit if all runs that it may preempt were stopped."""
        room = self.room_after_ends(self.free, limits)
        for victim in self.victims:
            if room.can_hold(demand):
                return True
            if limits.may_preempt(victim):
                room += victim.active.demand
        return room.can_hold(demand)

    def can_run(self, unit: Unit) -> bool:
        """Whether the target could run a task of the unit if it were empty."""
        announcement, step = self.announcement, unit.step
        return (
            announcement.service == unit.service
            and (not step.label or step.label in announcement.labels)
            and announcement.room.can_hold(step.demand)
        )
