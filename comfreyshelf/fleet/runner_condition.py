"""How the runner on a VM is, as far as its target process can tell from its calls."""

from enum import Enum

from comfreyshelf.fleet.runner_lease import RunnerLease

# A runner whose machine refuses connections for this long gets no new work. The pause excludes a
# single refusal while it starts.
REFUSED_AFTER_S = 0.3


class Condition(Enum):
    """How a runner is."""

    UP = "up"
    # It refuses connections, and its runs may go on under their lease.
    UNREACHABLE = "unreachable"
    # Nothing of it is left: another target has answered, or the lease of all runs has lapsed.
    ENDED = "ended"


class RunnerCondition:
    """What the calls to a runner have shown, and the lease that they may have renewed.

    A refused connection does not prove that the runner's process has ended: the way to it may be
    cut. Not thread-safe; times are on the clock of the target process, which counts the time that
    the VM was suspended.
    """

    def __init__(self, lease: RunnerLease, now: float) -> None:
        self.lease = lease
        # When the runner last answered with a listing, or this process started.
        self.answered_at = now
        # When the first of the listings failed that have failed since the last answer.
        self.failing_since: float | None = None
        # Whether a call has got no answer in time since the last answer, before any other failure.
        self._was_silent = False
        # Since when each connection to the runner was refused; None if the last one was not.
        self._refused_since: float | None = None
        # Whether another target has answered in place of the present one.
        self._is_replaced = False
        self._noted = Condition.UP

    @property
    def is_crash_certain(self) -> bool:
        """Whether a runner that has ended did so with its process, not only with its lease."""
        return self._is_replaced or self._refused_since is not None

    @property
    def is_end_seen(self) -> bool:
        """Whether a runner that has ended was heard until then, as far as is known.

        One that had fallen silent before may have been cut off for some time.
        """
        return not self._was_silent

    @property
    def has_answered_last_call(self) -> bool:
        """Whether the present life of the target has answered the last call with its runs."""
        return self.failing_since is None and not self._is_replaced

    def record_answer(self, now: float) -> None:
        """Record that the present life of the target has listed its runs."""
        self.answered_at = now
        self.failing_since = self._refused_since = None
        self._was_silent = self._is_replaced = False

    def record_silence(self) -> None:
        """Record that a call has got no answer in time."""
        if self.failing_since is None:
            self._was_silent = True

    def record_failure(
        self, now: float, is_refused: bool, may_be_carried_out: bool, is_end_seen: bool
    ) -> None:
        """Record that a listing failed; see `TargetState.record_connection`."""
        self.lease.renewal_ended(may_be_carried_out)
        if not is_end_seen:
            self.record_silence()
        if self.failing_since is None:
            self.failing_since = now
        if not is_refused:
            self._refused_since = None
        elif self._refused_since is None:
            self._refused_since = now

    def record_other_target(self) -> None:
        """Record that another target has answered in place of the present one."""
        self._is_replaced = True

    def is_failing(self, now: float) -> bool:
        """Whether the runner has not answered for longer than a single call may fail."""
        return self.failing_since is not None and now - self.failing_since >= REFUSED_AFTER_S

    def at(self, now: float) -> Condition:
        """How the runner is."""
        if self._is_replaced or (self.is_failing(now) and self.lease.has_lapsed()):
            return Condition.ENDED
        if self._refused_since is not None and now - self._refused_since >= REFUSED_AFTER_S:
            return Condition.UNREACHABLE
        return Condition.UP

    def note_change(self, now: float) -> Condition | None:
        """Return how the runner is if that has changed since the last call, else None."""
        condition = self.at(now)
        if condition is self._noted:
            return None
        self._noted = condition
        return condition
