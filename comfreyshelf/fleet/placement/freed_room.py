"""Targets on which runs were stopped so that a waiting unit may start there."""

import msgspec

from comfreyshelf.fleet.jobs import TaskName
from comfreyshelf.ids import JobId, TargetId

# The job of a unit and the unit's first task.
UnitKey = tuple[JobId, TaskName]


class _Claim(msgspec.Struct, frozen=True):
    """The unit that a target is kept for, and until when on the owner's clock."""

    key: UnitKey
    until: float


class FreedRoom:
    """Keeps the targets of stopped runs from being reserved for units that fit nowhere yet.

    Such a reservation would take a part of the room, so that the unit for which it was freed no
    longer fits and stops further runs, while the stopped ones start again in the rest.
    """

    def __init__(self) -> None:
        self._claims: dict[TargetId, _Claim] = {}

    def keep(self, targets: set[TargetId], key: UnitKey, until: float) -> None:
        """Keep the targets for a unit."""
        for target in targets:
            self._claims[target] = _Claim(key, until)

    def release(self, key: UnitKey) -> None:
        """End what is kept for a unit, as it has started."""
        self._claims = {t: claim for t, claim in self._claims.items() if claim.key != key}

    def kept_for_others(self, key: UnitKey, now: float) -> set[TargetId]:
        """The targets that are kept for other units than this one."""
        self._claims = {t: claim for t, claim in self._claims.items() if claim.until > now}
        return {target for target, claim in self._claims.items() if claim.key != key}
