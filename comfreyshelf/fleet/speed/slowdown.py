"""How many times as long tasks take where they run."""

from collections.abc import Callable, Sequence

from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.jobs import Step
from comfreyshelf.ids import RackId, TargetId


def remote_factors(step: Step, racks: Sequence[RackId | None], factor: float) -> list[float]:
    """The factor for each of the tasks that are placed together, by the rack of each.

    A rack that is not known yet counts as near the data, and as that of the other tasks.
    """
    known = {rack for rack in racks if rack is not None}
    if step.gang and step.same_rack and len(known) > 1:
        return [factor] * len(racks)
    return [
        factor if step.rack and rack is not None and rack != step.rack else 1.0 for rack in racks
    ]


def set_slowdowns(
    runs: Sequence[ActiveRun],
    rack_of: Callable[[TargetId], RackId | None],
    speed_of: Callable[[str], float],
    factor: float,
) -> None:
    """Set the slowdown of all runs of a gang, or of a single run: that of the slowest one."""
    if not runs:
        return
    factors = remote_factors(runs[0].step, [rack_of(run.target) for run in runs], factor)
    own = [remote / speed_of(run.machine) for run, remote in zip(runs, factors, strict=True)]
    slowest = max(own)
    for run, remote, slowdown in zip(runs, factors, own, strict=True):
        run.remote_factor = remote
        run.slowdown = slowest
        run.is_slowest_member = slowdown == slowest
