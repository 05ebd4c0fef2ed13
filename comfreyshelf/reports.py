"""The report of a domain that operators read back through any entry."""

from collections.abc import Mapping

import msgspec

from comfreyshelf.drain import explain_drain
from comfreyshelf.holders import DrainView, HeldByVersion, LostGuarantee
from comfreyshelf.ids import TargetId, Version
from comfreyshelf.messages import Status
from comfreyshelf.records import DomainReported
from comfreyshelf.scheduler import Scheduler

# Names of targets that are behind are cut here; their number shrinks within seconds.
MAX_BEHIND = 100


def report_domain(scheduler: Scheduler, statuses: Mapping[TargetId, Status]) -> DomainReported:
    """Build the report of a domain from its core and the newest statuses of its targets."""
    config = scheduler.config
    runners = {target: status.runners for target, status in statuses.items()}
    leaving = tuple(
        _confirmed(
            explain_drain(
                target,
                config,
                statuses[target].parts,
                runners,
                scheduler.gangs,
                scheduler.plan,
            ),
            statuses[target],
            config.version,
        )
        for target in sorted(config.scrapped & statuses.keys())
    )
    lost = tuple(
        LostGuarantee(guarantee.organisation, guarantee.shape)
        for guarantee in scheduler.plan.lost_guarantees()
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
        tuple(behind[:MAX_BEHIND]),
    )


def _confirmed(view: DrainView, status: Status, version: Version) -> DrainView:
    """Add that a target holds itself until it has confirmed that it is leaving."""
    if status.draining and status.version >= version:
        return view
    holders = (*view.holders, HeldByVersion(status.version))
    return msgspec.structs.replace(view, holders=holders)
