"""The task of a target process that renews its runner's lease and lists its runs."""

import msgspec

from comfreyshelf.fleet.bounds import monotonic
from comfreyshelf.fleet.store import StoreBusyError, StoreSilentError
from comfreyshelf.fleet.target import TargetState
from comfreyshelf.fleet.target_runner import RefusedError, Runner
from comfreyshelf.logs import log_event
from comfreyshelf.tasks import Poller

# How long a look at the runner waits for a run to end.
LOOK_WAIT_MS = 1200
STOP_LOOK_WAIT_MS = 150
# Pause between looks while ends wait to be acknowledged.
LOOK_PAUSE_S = 0.15


class Looker(Poller):
    """Renews the lease and lists the runs of the runner."""

    def __init__(self, state: TargetState, runner: Runner) -> None:
        super().__init__("looker")
        self._state = state
        self._runner = runner
        self._up = True

    def poll(self) -> None:
        state = self._state
        if not state.target:
            self.wait(0.05)
            return
        deadline = state.deadline_ms()
        asked_at = monotonic()
        state.acknowledgement.clear()
        try:
            holdings = self._runner.hold(
                state.token, state.acknowledged, deadline, self._wait_ms(deadline)
            )
        except (StoreBusyError, StoreSilentError, RefusedError, msgspec.DecodeError) as exc:
            if self._up:
                log_event("runner lost", target=state.target, why=str(exc))
            self._up = False
            self.wait(0.2)
            return
        if not self._up:
            log_event("runner regained", target=state.target)
        self._up = True
        state.listed(holdings, asked_at)
        if holdings.ended or deadline is None:
            state.acknowledgement.wait(LOOK_PAUSE_S)

    def _wait_ms(self, deadline: int | None) -> int:
        """How long the look may wait; a stop that has to be settled needs one soon."""
        if deadline is None:
            return 0
        return STOP_LOOK_WAIT_MS if self._state.settling else LOOK_WAIT_MS
