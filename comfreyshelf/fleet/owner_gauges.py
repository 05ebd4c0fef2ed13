"""Gauges of what an owner knows of its targets, jobs and organisations."""

from collections import Counter
from collections.abc import Callable

import msgspec

from comfreyshelf.fleet.health.target_health import Standing
from comfreyshelf.fleet.owner import OwnerCore
from comfreyshelf.fleet.placement.fragmentation import largest_gangs


def set_fleet_gauges(core: OwnerCore, now: float, set_gauge: Callable[[str, float], None]) -> None:
    """Set the gauges; `now` is on the owner's clock."""
    report_ages_s = [now - view.seen_at for view in core.targets.values()]
    set_gauge('belief_age_seconds{of="targets"}', round(max(report_ages_s, default=0.0), 3))
    set_gauge("targets", len(report_ages_s))
    set_gauge("jobs_open", len(core.jobs))
    health = core.policies.health
    standings = Counter(health.standing(view.machine) for view in core.targets.values())
    for standing in Standing:
        set_gauge(f'targets_by_standing{{standing="{standing.value}"}}', standings[standing])
    set_gauge("targets_spared", health.spared)
    for organisation, share in core.policies.ranking.shares().items():
        # The strings of JSON are escaped as those of the metrics' text format.
        label = msgspec.json.encode(organisation).decode()
        set_gauge(f"organisation_share{{organisation={label}}}", round(share, 4))
    for size, tasks in largest_gangs(core.targets.values(), now).items():
        set_gauge(f'largest_gang_tasks{{accelerators="{size}"}}', tasks)
