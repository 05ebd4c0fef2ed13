"""Interface to the runner on a target process's VM."""

from abc import ABC, abstractmethod

from comfreyshelf.errors import UserError
from comfreyshelf.fleet.jobs import RunListing, Token
from comfreyshelf.fleet.messages import StartOrder, StopOrder
from comfreyshelf.ids import TargetId


class RefusedError(UserError):
    """The runner refused a call; `reason` is the runner's own reason code."""

    def __init__(self, message: str, reason: str) -> None:
        super().__init__(message, f"resolve the reason that the runner gave: '{reason}'")
        self.reason = reason


class OtherTargetError(RefusedError):
    """The runner on this VM is another target than the one that the call named."""


class FencedRunnerError(RefusedError):
    """The runner has seen a newer token than that of the call."""


class Runner(ABC):
    """The runner on this VM; calls raise StoreBusyError, StoreSilentError or RefusedError.

    Each call names the target that it is meant for, as another one may follow on the same VM while
    it is on its way; that one refuses it with OtherTargetError. Calls with an outdated token raise
    FencedRunnerError.
    """

    @abstractmethod
    def renew_lease(
        self,
        token: Token,
        target: TargetId,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> RunListing:
        """Renew the lease up to a time on the runner's clock, and list its runs.

        The lease is not renewed if `deadline_ms` is None. Ended runs with numbers up to
        `acknowledged` are in the store. The runner may take up to `wait_ms` to answer.
        """

    @abstractmethod
    def start(self, token: Token, target: TargetId, order: StartOrder, deadline_ms: int) -> None:
        """Start a run under a lease up to a time on the runner's clock."""

    @abstractmethod
    def stop(self, token: Token, target: TargetId, order: StopOrder) -> None:
        """Stop a run."""

    @abstractmethod
    def close(self) -> None:
        """Close all connections."""
