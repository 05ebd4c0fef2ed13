"""Interface of the policies that keep work away from targets that fail it."""

from abc import ABC, abstractmethod

import msgspec

from comfreyshelf.fleet.jobs import Announcement, EndKind
from comfreyshelf.ids import JobId


class HealthEvent(msgspec.Struct, frozen=True):
    """The end of a run on a target; `machine` names the VM, which outlives the target."""

    announcement: Announcement
    machine: str
    job: JobId
    kind: EndKind


class TargetHealth(ABC):
    """Decides from the ends of runs which targets may be given work."""

    @abstractmethod
    def record_end(self, event: HealthEvent, now: float) -> None:
        """Record that a run has ended."""

    @abstractmethod
    def may_start(self, announcement: Announcement, machine: str, now: float) -> bool:
        """Whether new work may be placed on a target."""
