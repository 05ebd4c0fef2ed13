"""Status report of a domain, which operators can read through any entry."""

from collections.abc import Mapping

import msgspec

from comfreyshelf.drain import explain_drain
from comfreyshelf.holders import DrainView, HeldByVersion, LostGuarantee
from comfreyshelf.ids import TargetId, Version
from comfreyshelf.messages import Status
from comfreyshelf.records import DomainReported
from comfreyshelf.scheduler import Scheduler

# At most this many targets with an old configuration version are listed; most of them catch up
# within seconds.
MAX_BEHIND_TARGETS = 100


def build_domain_report(
    scheduler: Scheduler, statuses: Mapping[TargetId, Status]
) -> DomainReported:
    """Build the report of a domain from its scheduler and the newest statuses of its targets."""
    config = scheduler.config
    runners = {target: status.runners for target, status in statuses.items()}
    leaving = tuple(
        _add_version_holder(
            explain_drain(
                target,
                config,
                statuses[target].parts,
                runners,
                scheduler.gangs,
                scheduler.cell_plan,
            ),
            statuses[target],
            config.version,
        )
        for target in sorted(config.scrapped & statuses.keys())
    )
    lost = tuple(
        LostGuarantee(guarantee.organisation, guarantee.shape)
        for guarantee in scheduler.cell_plan.lost_guarantees()
    )
    behind = sorted(
        target for target, status in statuses.items() if status.version < config.version
    )
    return DomainReported(
        scheduler.domain,
        scheduler.epoch,
        config.version,
        len(statuses),
        leaving,
        lost,
        tuple(behind[:MAX_BEHIND_TARGETS]),
    )


def _add_version_holder(view: DrainView, status: Status, version: Version) -> DrainView:
    """Add the target's version as a holder until the target has confirmed that it is leaving."""
    if status.draining and status.version >= version:
        return view
    holders = (*view.holders, HeldByVersion(status.version))
    return msgspec.structs.replace(view, holders=holders)
