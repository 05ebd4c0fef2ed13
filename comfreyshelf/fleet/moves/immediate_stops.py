"""Stops each run that cannot end on its target, wherever it may go on."""

from comfreyshelf.fleet.lost_work import StopCause
from comfreyshelf.fleet.moves.move_policy import FleetAccess, MovePass, MovePolicy
from comfreyshelf.fleet.moves.stalls import is_stalled
from comfreyshelf.fleet.prediction.model import Quantile
from comfreyshelf.fleet.tracked_job import TrackedJob


class ImmediateStops(MovePolicy):
    """Stops runs that cannot end before their target has drained, and stalled runs, at once."""

    def stop_runs(self, fleet: FleetAccess, now: float) -> None:
        for view in fleet.targets.values():
            for active in view.active_runs.values():
                if active.stopping_since is not None or not active.is_confirmed:
                    continue
                if view.drain_until:
                    # A stop costs little with checkpoints, so a run that may not end in time stops.
                    # Without them it loses all, so it goes on as long as it rather ends in time.
                    has_checkpoints = active.step.checkpoints
                    quantile = Quantile.HIGH if has_checkpoints else Quantile.MEDIAN
                    if active.remaining_s(now, quantile) > view.drain_until - now:
                        fleet.stop_run(active, now, StopCause.DRAINED)
                elif is_stalled(active):
                    fleet.record_stall(active, now)
                    fleet.stop_run(active, now, StopCause.STALLED)

    def begin_pass(self, moves: MovePass) -> None:
        pass

    def move_units(self, tracked: TrackedJob, moves: MovePass) -> None:
        pass

    def reclaim_reserved(self, moves: MovePass) -> None:
        pass
