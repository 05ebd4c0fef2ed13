"""Interface of the models that tell how fast targets work."""

from abc import ABC, abstractmethod

from comfreyshelf.fleet.active_run import ActiveRun


class TargetSpeeds(ABC):
    """Relative speed of each machine; 1 is the usual one, and 0.5 takes twice as long."""

    @abstractmethod
    def speed(self, machine: str) -> float:
        """The speed to expect of a machine."""

    @abstractmethod
    def observe(self, active: ActiveRun, now: float) -> None:
        """Learn from a run after a listing has updated its progress."""


class UniformSpeeds(TargetSpeeds):
    """Takes all machines for equally fast."""

    def speed(self, machine: str) -> float:
        return 1.0

    def observe(self, active: ActiveRun, now: float) -> None:
        pass
