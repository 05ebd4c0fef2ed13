"""The owner's decision on where evacuations permit starts."""

from collections.abc import Iterable

from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.evacuation.evacuations import (
    OFFSET_UNSUPPORTED,
    Evacuations,
    OperatorTopicState,
    max_read_age_s,
)
from comfreyshelf.fleet.jobs import Announcement
from comfreyshelf.fleet.placement.placing import CandidateTarget, max_tasks_that_fit
from comfreyshelf.fleet.targets import TargetView
from comfreyshelf.fleet.tracked_job import Unit
from comfreyshelf.ids import ZoneId

# Targets report each second, and find a new owner within 2 s; a zone that none of them has named
# after this long probably does not exist.
UNKNOWN_ZONE_AFTER_S = 10.0


class ZoneGate:
    """What an owner knows of evacuations, and the starts that follow from it.

    Only what was read since the term began counts as known, as the previous owner may have read
    more than this entry. Without evacuations in the deployment, nothing has to be known.
    """

    def __init__(self, bounds: Bounds, term_started_at: float) -> None:
        self._bounds = bounds
        self._read_after = term_started_at
        self._term_started_at = term_started_at
        self._state = OperatorTopicState()
        self._reported_unknown: set[ZoneId] = set()

    @property
    def evacuations(self) -> Evacuations:
        """The evacuations as far as they are known."""
        return self._state.evacuations

    def accept_reads_since(self, time: float) -> None:
        """Let the topic count as read in this term if it was read since then."""
        self._read_after = time

    def update(self, state: OperatorTopicState) -> bool:
        """Apply what the entry has read by now; returns whether the evacuated zones changed."""
        before, self._state = self._state, state
        return before.evacuations.zones != state.evacuations.zones

    def is_current(self, now: float) -> bool:
        """Whether the evacuations are known well enough for starts to cease in time."""
        if not self._bounds.evacuate_s:
            return True
        state = self._state
        limit_s = max_read_age_s(self._bounds, state.failing)
        return state.current_at >= self._read_after and now - state.current_at <= limit_s

    def read_age_s(self, now: float) -> float:
        """How old the knowledge of the operators' topic is."""
        return now - self._state.current_at

    def is_evacuated(self, announcement: Announcement) -> bool:
        """Whether a target's zone is evacuated."""
        return announcement.zone in self._state.evacuations.zones

    def may_start_on(self, view: TargetView) -> bool:
        """Whether new work may be placed on a target.

        In deployments with evacuations, a target process that knows newer records than this owner
        gets nothing until the owner has read them.
        """
        is_behind = view.operator_offset > self._state.evacuations.offset
        must_wait = is_behind and self._bounds.evacuate_s > 0
        return not must_wait and not self.is_evacuated(view.announcement)

    def must_stop_start(self, view: TargetView) -> bool:
        """Whether a start that is not confirmed yet has to be withdrawn by a stop.

        A target process of this version refuses the start itself, and keeps a run that began.
        """
        return view.operator_offset == OFFSET_UNSUPPORTED and self.is_evacuated(view.announcement)

    def unknown_zones(self, views: Iterable[TargetView], now: float) -> set[ZoneId]:
        """The evacuated zones that no target has named; each is returned once."""
        zones = self._state.evacuations.zones
        self._reported_unknown &= zones
        if not zones or now - self._term_started_at < UNKNOWN_ZONE_AFTER_S:
            return set()
        unknown = zones - {view.announcement.zone for view in views} - self._reported_unknown
        self._reported_unknown |= unknown
        return set(unknown)

    def blocks(
        self,
        unit: Unit,
        candidates: Iterable[CandidateTarget],
        views: Iterable[TargetView],
    ) -> bool:
        """Whether a unit waits for an evacuated zone: it fits only together with targets there."""
        if not self._state.evacuations.zones:
            return False
        tasks = len(unit.tasks)
        usable = _count_tasks(unit, candidates, tasks)
        if usable >= tasks:
            return False
        evacuated = (
            CandidateTarget(view.announcement, view.announcement.room)
            for view in views
            if self.is_evacuated(view.announcement)
        )
        return _count_tasks(unit, evacuated, tasks - usable) >= tasks - usable


def _count_tasks(unit: Unit, candidates: Iterable[CandidateTarget], enough: int) -> int:
    """How many tasks of a unit the targets could hold if they were empty; counts to `enough`."""
    count = 0
    for candidate in candidates:
        if count >= enough:
            break
        if candidate.can_run(unit):
            count += max_tasks_that_fit(candidate.announcement.room, unit.step.demand)
    return count
