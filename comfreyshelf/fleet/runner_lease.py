"""Until when the runs of a runner may be under a lease."""

from collections.abc import Callable

from comfreyshelf.fleet.bounds import ANSWER_MARGIN_S, CLOCK_DRIFT_FACTOR, Bounds


class RunnerLease:
    """The end of the last lease that a target process has sent to its runner.

    A lease ends at a time on the runner's clock that is fixed when it is sent, so it is no longer
    for a call that is carried out late. That clock stands still while the VM is suspended, and so
    does `clock`, in seconds. For example, a lease of 6 s that was sent at 10.0 has lapsed for
    certain at 16.52. Not thread-safe.
    """

    def __init__(self, bounds: Bounds, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._duration_s = bounds.lease_s * CLOCK_DRIFT_FACTOR
        # An earlier process may have renewed the lease until this one started.
        self._inherited_until = self._held_until = clock() + self._duration_s
        # End of the renewal whose outcome is open.
        self._open_until: float | None = None

    def renewal_sent(self) -> None:
        """Record that a renewal is sent; its outcome follows."""
        self._open_until = self._clock() + self._duration_s

    def renewal_ended(self, may_be_carried_out: bool) -> None:
        """Record the outcome of the renewal that was sent last, if one was."""
        if self._open_until is not None and may_be_carried_out:
            self._held_until = max(self._held_until, self._open_until)
        self._open_until = None

    def start_sent(self) -> None:
        """Record that a start is sent, which renews the lease of all runs."""
        self._held_until = max(self._held_until, self._clock() + self._duration_s)

    def is_inherited(self) -> bool:
        """Whether a start that an earlier process sent may still be carried out."""
        return self._clock() < self._inherited_until + ANSWER_MARGIN_S

    def has_lapsed(self) -> bool:
        """Whether no run can be under a lease any more."""
        until = max(self._held_until, self._open_until or self._held_until)
        return self._clock() >= until + ANSWER_MARGIN_S
