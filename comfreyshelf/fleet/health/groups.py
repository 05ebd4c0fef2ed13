"""Racks and zones of which most machines fail, so that they are judged as one."""

import msgspec

from comfreyshelf.fleet.health.blame import Level, Place
from comfreyshelf.fleet.health.score import FAILURE_CHARGE, MIN_SCORE, Score

# A rack or zone fails from this score on, until it has fallen to the second.
FAILING_SCORE = 2.2 * FAILURE_CHARGE
RECOVERED_SCORE = 1.1 * FAILURE_CHARGE
# This many of its machines have to fail, and at least this share of all that it has.
MIN_FAILING_MACHINES = 3
MIN_FAILING_SHARE = 0.2
# A machine counts as failing for this long after a failure.
FAILURE_MEMORY_S = 60.0
# Losses in one rack or zone within this time have one cause, such as a broken link.
ONE_INCIDENT_S = 2.0


class Group(msgspec.Struct):
    """What is known of one rack or zone; `failed_at` has the last failure on each machine."""

    score: Score
    failed_at: dict[str, float] = {}
    lost_at: float = float("-inf")
    is_failing: bool = False


class Groups:
    """All racks and zones in which something failed lately."""

    def __init__(self) -> None:
        self._groups: dict[Place, Group] = {}

    def record_success(self, place: Place, credit: float, now: float) -> None:
        """Record that a run on one of its machines succeeded."""
        group = self._groups.get(place)
        if group is not None:
            group.score.add(-credit, now)

    def record_failure(self, place: Place, machine: str, now: float, is_lost: bool) -> bool:
        """Record a failure on a machine; returns whether it counts against the group."""
        group = self._group(place)
        group.failed_at[machine] = now
        if not is_lost:
            return True
        is_same_incident = now - group.lost_at < ONE_INCIDENT_S
        group.lost_at = now
        return not is_same_incident

    def charge(self, place: Place, amount: float, now: float) -> None:
        """Add to the score of a group; the amount is below 0 if blame is taken back."""
        self._group(place).score.add(amount, now)

    def failing(self, place: Place) -> bool:
        """Whether a group is failing as of the last update."""
        group = self._groups.get(place)
        return group is not None and group.is_failing

    def update(self, sizes: dict[Place, int], now: float) -> list[tuple[Place, bool]]:
        """Judge all groups, given how many machines each has; returns those that changed.

        If more than half of all racks or of all zones seem to fail, none of them is the cause.
        """
        changes = []
        for place in [p for p, g in self._groups.items() if _is_forgotten(g, now)]:
            del self._groups[place]
        for level in (Level.RACK, Level.ZONE):
            groups = {p: g for p, g in self._groups.items() if p.level is level}
            total = sum(place.level is level for place in sizes)
            failing = {p for p, g in groups.items() if _seems_failing(g, sizes.get(p, 0), now)}
            if 2 * len(failing) > total:
                failing = set()
            for place, group in groups.items():
                if group.is_failing != (place in failing):
                    group.is_failing = place in failing
                    changes.append((place, group.is_failing))
        return changes

    def items(self) -> list[tuple[Place, Group]]:
        """All groups."""
        return list(self._groups.items())

    def merge(self, place: Place, score: float, is_failing: bool, now: float) -> None:
        """Add what an earlier owner has stored; the higher of both scores is kept."""
        group = self._group(place)
        group.score = Score(max(score, group.score.value(now)), now)
        group.is_failing = group.is_failing or is_failing

    def _group(self, place: Place) -> Group:
        return self._groups.setdefault(place, Group(Score()))


def _is_forgotten(group: Group, now: float) -> bool:
    return not group.is_failing and group.score.value(now) < MIN_SCORE


def _seems_failing(group: Group, size: int, now: float) -> bool:
    limit = RECOVERED_SCORE if group.is_failing else FAILING_SCORE
    if size < MIN_FAILING_MACHINES or group.score.value(now) < limit:
        return False
    if group.is_failing:
        return True
    recent = [at for at in group.failed_at.values() if now - at < FAILURE_MEMORY_S]
    return len(recent) >= max(MIN_FAILING_MACHINES, MIN_FAILING_SHARE * size)
