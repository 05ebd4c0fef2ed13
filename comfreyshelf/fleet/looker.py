"""The task of a target process that renews its runner's lease and lists its runs."""

import msgspec

from comfreyshelf.fleet.bounds import monotonic
from comfreyshelf.fleet.store import StoreBusyError, StoreSilentError
from comfreyshelf.fleet.target import TargetState
from comfreyshelf.fleet.target_runner import RefusedError, Runner
from comfreyshelf.logs import log_event
from comfreyshelf.tasks import Poller

# How long the runner may hold a listing call until a run ends.
POLL_WAIT_MS = 1200
STOPPING_POLL_WAIT_MS = 150
# Pause between calls while ended runs are not yet acknowledged.
POLL_PAUSE_S = 0.15


class RunnerPoller(Poller):
    """Renews the lease and lists the runs of the runner."""

    def __init__(self, state: TargetState, runner: Runner) -> None:
        super().__init__("looker")
        self._state = state
        self._runner = runner
        self._is_runner_up = True

    def poll(self) -> None:
        state = self._state
        if not state.target:
            self.wait(0.05)
            return
        deadline = state.deadline_ms()
        asked_at = monotonic()
        state.acknowledgement.clear()
        try:
            holdings = self._runner.renew_lease(
                state.token, state.acknowledged, deadline, self._wait_ms(deadline)
            )
        except (StoreBusyError, StoreSilentError, RefusedError, msgspec.DecodeError) as exc:
            if self._is_runner_up:
                log_event("runner lost", target=state.target, why=str(exc))
            self._is_runner_up = False
            self.wait(0.2)
            return
        if not self._is_runner_up:
            log_event("runner regained", target=state.target)
        self._is_runner_up = True
        state.update_holdings(holdings, asked_at)
        if holdings.ended or deadline is None:
            state.acknowledgement.wait(POLL_PAUSE_S)

    def _wait_ms(self, deadline: int | None) -> int:
        """Return how long the runner may hold the call; unsettled stops need a listing soon."""
        if deadline is None:
            return 0
        return STOPPING_POLL_WAIT_MS if self._state.has_unsettled_stops else POLL_WAIT_MS
