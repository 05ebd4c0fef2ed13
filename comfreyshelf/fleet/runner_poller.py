"""Poller of a target process that renews its runner's lease and reads which runs it has."""

import msgspec

from comfreyshelf.fleet.bounds import monotonic
from comfreyshelf.fleet.store import (
    ConnectionLostError,
    NotListeningError,
    StoreBusyError,
    StoreSilentError,
)
from comfreyshelf.fleet.target_runner import (
    FencedRunnerError,
    OtherTargetError,
    RefusedError,
    Runner,
)
from comfreyshelf.fleet.target_state import ListingRequest, TargetState
from comfreyshelf.ids import TargetId
from comfreyshelf.logs import log_event
from comfreyshelf.metrics import Metrics
from comfreyshelf.tasks import Poller

# How long the runner may hold a listing call until a run ends.
LISTING_WAIT_MS = 1200
# The same while confirmed stops have not shown in a listing yet.
STOPPING_LISTING_WAIT_MS = 150
# Pause between calls while ended runs are not yet acknowledged.
LISTING_PAUSE_S = 0.15
# Pause after a call that failed.
RETRY_S = 0.2
# Pause while no heartbeat has come.
IDLE_S = 0.05


class RunnerPoller(Poller):
    """Renews the runner's lease and applies its listing of runs to the state."""

    def __init__(self, state: TargetState, runner: Runner, metrics: Metrics) -> None:
        super().__init__("looker")
        self._state = state
        self._metrics = metrics
        self._runner = runner
        self._is_runner_up = True

    def poll(self) -> None:
        state = self._state
        claimed_ids = state.claimed_ids()
        # With a present life one at a time, so that many claims do not delay its lease.
        for target in claimed_ids[:1] if state.target else claimed_ids:
            self._ask(target)
        if not state.target:
            self.wait(RETRY_S if state.claimed_ids() else IDLE_S)
            return
        requested_at = monotonic()
        state.new_acknowledgement.clear()
        request = state.listing_request()
        try:
            listing = self._runner.renew_lease(*request, self._wait_ms(request))
        except OtherTargetError:
            state.record_other_target(request.target, requested_at)
            self.wait(RETRY_S)
            return
        except (StoreBusyError, StoreSilentError, RefusedError, msgspec.DecodeError) as exc:
            state.record_connection(
                is_refused=isinstance(exc, NotListeningError),
                may_be_carried_out=not isinstance(exc, StoreBusyError),
                is_end_seen=isinstance(exc, (NotListeningError, ConnectionLostError)),
            )
            if self._is_runner_up:
                log_event("runner lost", target=state.target, why=str(exc))
            self._is_runner_up = False
            self.wait(RETRY_S)
            return
        if not self._is_runner_up:
            log_event("runner regained", target=state.target)
        self._is_runner_up = True
        state.apply_listing(request.target, listing, requested_at)
        self._stop_overdue_runs()
        if listing.ended or request.deadline_ms is None:
            state.new_acknowledgement.wait(LISTING_PAUSE_S)

    def _stop_overdue_runs(self) -> None:
        """Stop runs that go on although their owner is about to start their tasks elsewhere."""
        for stop in self._state.overdue_runs():
            outcome = "stopped"
            try:
                self._runner.stop(self._state.token, self._state.target, stop)
            except (StoreBusyError, StoreSilentError, RefusedError) as exc:
                outcome = str(exc)
            self._metrics.count("overdue_runs_stopped")
            log_event("overdue run stopped", task=stop.task, run=stop.run, outcome=outcome)

    def _ask(self, target: TargetId) -> None:
        """Ask the runner whether it is a target that a heartbeat claims.

        The call renews no lease and acknowledges no end. The claim stays open without an answer,
        and while the owner's token is missing.
        """
        asked_at, token = monotonic(), self._state.token
        try:
            listing = self._runner.renew_lease(token, target, 0, None, 0)
        except OtherTargetError:
            log_event("claimed life refuted", target=target)
            self._metrics.count("lives_refuted")
            self._state.record_other_target(target, asked_at)
        except FencedRunnerError:
            self._state.record_fenced()
        except (RefusedError, msgspec.DecodeError) as exc:
            log_event("claimed life refuted", target=target, why=str(exc))
            self._metrics.count("lives_refuted")
            self._state.refute_claims(target, asked_at)
        except (StoreBusyError, StoreSilentError) as exc:
            log_event("claimed life not settled", target=target, why=str(exc))
        else:
            self._state.apply_listing(target, listing, asked_at)

    def _wait_ms(self, request: ListingRequest) -> int:
        """Return how long the runner may hold the call, in milliseconds.

        It is 0 without a lease deadline, and short while stops wait for a listing to confirm them.
        A call that acknowledges ends does not wait either: if it reaches another life than the one
        that it is for, the ends that come meanwhile could be forgotten with those before.
        """
        if request.deadline_ms is None or request.acknowledged:
            return 0
        return STOPPING_LISTING_WAIT_MS if self._state.has_unsettled_stops else LISTING_WAIT_MS
