"""How large a gang the free accelerators could hold."""

from collections import Counter
from collections.abc import Iterable

from comfreyshelf.fleet.targets import TargetView
from comfreyshelf.ids import RackId

# Accelerators of one task for which the largest gang is shown.
TASK_ACCELERATORS = (8, 4, 2, 1)


def largest_gangs(targets: Iterable[TargetView], now: float) -> dict[int, int]:
    """The number of tasks of the largest gang in one rack that could start now.

    The keys are the accelerators of one task. Only accelerators are considered.
    """
    fits: dict[int, Counter[RackId]] = {size: Counter() for size in TASK_ACCELERATORS}
    for view in targets:
        if not view.can_accept_work(now):
            continue
        used = sum(active.demand.accelerators for active in view.active_runs.values())
        free = max(0, view.announcement.room.accelerators - used)
        for size, counts in fits.items():
            counts[view.announcement.rack] += free // size
    return {size: max(counts.values(), default=0) for size, counts in fits.items()}
