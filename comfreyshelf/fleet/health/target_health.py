"""Interface of the policies that keep work away from targets that fail it."""

from abc import ABC, abstractmethod
from collections.abc import Collection
from enum import Enum

import msgspec

from comfreyshelf.fleet.jobs import Announcement, EndKind
from comfreyshelf.fleet.targets import TargetView
from comfreyshelf.ids import JobId


class Standing(Enum):
    """What may be started on a target, from the best to the worst.

    TRUSTED: anything. PROBATION: one cheap task at a time. AVOIDED: nothing. Work that cannot be
    placed otherwise, and has to be, may start on any of them.
    """

    TRUSTED = "trusted"
    PROBATION = "probation"
    AVOIDED = "avoided"


class Signal(Enum):
    """An event of a target that does not say whether work on it succeeds."""

    RESTARTED = "restarted"
    RUNNER_DOWN = "runner down"
    SILENT = "silent"


class HealthEvent(msgspec.Struct, frozen=True):
    """The end of a run on a target; `machine` names the VM, which outlives the target.

    An end `is_expected` if the run was ordered to stop, or its target had announced that it leaves.
    """

    announcement: Announcement
    machine: str
    job: JobId
    kind: EndKind
    is_expected: bool = False


class StandingChange(msgspec.Struct, frozen=True):
    """A change of a machine's standing, for the log; `pause_s` is for how long it is avoided."""

    machine: str
    before: Standing
    standing: Standing
    reason: str
    score: float
    strikes: int
    pause_s: float = 0.0


class TargetHealth(ABC):
    """Decides from the ends of runs which targets may be given work."""

    @abstractmethod
    def record_end(self, event: HealthEvent, now: float) -> None:
        """Record that a run has ended."""

    @abstractmethod
    def may_start(self, announcement: Announcement, machine: str, now: float) -> bool:
        """Whether new work may be placed on a target."""

    # The methods below need not be overridden, as the policies before this one know no signals and
    # no standing.
    def record_signal(
        self, announcement: Announcement, machine: str, signal: Signal, now: float
    ) -> None:
        """Record an unannounced event of a target."""
        return

    def begin_pass(self, views: Collection[TargetView], now: float) -> list[StandingChange]:
        """Update the standing of all targets before a planning pass; returns what changed."""
        return []

    def standing(self, machine: str) -> Standing:
        """The standing of a machine as of the last `begin_pass`."""
        return Standing.TRUSTED

    def risk(self, machine: str) -> float:
        """Cost in core-seconds of placing a task on a machine, as it may fail there."""
        return 0.0

    @property
    def spared(self) -> int:
        """Targets with a better standing than their own, as too many others are worse."""
        return 0

    @property
    def has_restricted(self) -> bool:
        """Whether any target is not trusted."""
        return False
