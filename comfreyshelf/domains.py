"""Chooses the scheduling domain of a job from the summaries of all domains."""

from collections.abc import Iterable, Mapping

import msgspec

from comfreyshelf.config import Config
from comfreyshelf.ids import DomainId, OrganisationId, RegionId
from comfreyshelf.model import Adjacency, DomainSummary, Job, Shape
from comfreyshelf.topology import SearchScope, Topology, Worker, block_size

# Time that a domain has to place a queued job before the job may move to another domain.
REROUTE_AFTER_S = 15.0
MAX_MOVES = 3
# A job moves only if the other domain's wait is shorter by at least this time; otherwise jobs would
# move back and forth.
MIN_WAIT_GAIN_S = 30.0

SUMMARY_SIZES = (1, 2, 4, 8)
_ADJACENCY_LEVEL = {Adjacency.WORKER: 0, Adjacency.RACK: 1, Adjacency.ZONE: 2}


def summarise_domain(topology: Topology, queued: Iterable[Job]) -> DomainSummary:
    """Summarise the capacity and queue of a domain.

    Cores and memory are left out, since accelerators are usually the limiting resource.
    """
    accelerators = sum(worker.capacity for worker in topology.workers.values())
    queued_s = sum(job.shape.total_accelerators * job.declared_s for job in queued)
    return DomainSummary(
        _max_parts_by_size(topology, free=True),
        _max_parts_by_size(topology, free=False),
        queued_s / accelerators if accelerators else 0.0,
    )


def _max_parts_by_size(topology: Topology, free: bool) -> dict[int, tuple[int, int, int]]:
    max_parts = dict.fromkeys(SUMMARY_SIZES, (0, 0, 0))
    for racks in topology.zones.values():
        zone_parts = dict.fromkeys(SUMMARY_SIZES, 0)
        for rack in racks:
            workers = [topology.workers[target] for target in topology.racks[rack]]
            for size in SUMMARY_SIZES:
                parts = [_count_parts(worker, size, free) for worker in workers]
                zone_parts[size] += sum(parts)
                best = max_parts[size]
                max_parts[size] = (max(best[0], *parts), max(best[1], sum(parts)), best[2])
        for size, parts_in_zone in zone_parts.items():
            best = max_parts[size]
            max_parts[size] = (best[0], best[1], max(best[2], parts_in_zone))
    return max_parts


def _count_parts(worker: Worker, size: int, free: bool) -> int:
    if not free:
        return worker.capacity // size
    # Capacity in planned cells or on leaving targets is of no use to a job that moves here.
    mask = (1 << size) - 1
    available_mask = worker.available_mask(SearchScope.UNRESERVED)
    positions = range(0, worker.capacity - size + 1, block_size(size))
    return sum(1 for position in positions if available_mask >> position & mask == mask)


class Candidate(msgspec.Struct, frozen=True):
    """A domain, its region, and its newest summary or None if its owner has published none yet."""

    domain: DomainId
    region: RegionId
    summary: DomainSummary | None


def list_candidates(
    config: Config, summaries: Mapping[DomainId, DomainSummary | None]
) -> list[Candidate]:
    """All domains of the configuration, sorted by name."""
    regions = {zone.domain: zone.region for zone in config.zones.values()}
    return [
        Candidate(domain, region, summaries.get(domain))
        for domain, region in sorted(regions.items())
    ]


def fits_now(shape: Shape, summary: DomainSummary | None) -> bool:
    """Whether all parts fitted when the summary was made.

    A part size between two summary sizes is rounded up to the larger one.
    """
    return summary is not None and shape.parts <= _max_parts(shape, summary.free)


def fits_empty(shape: Shape, summary: DomainSummary | None) -> bool:
    """Whether all parts would fit into an empty domain; True if there is no summary."""
    return summary is None or shape.parts <= _max_parts(shape, summary.total)


def _max_parts(shape: Shape, max_parts_by_size: Mapping[int, tuple[int, int, int]]) -> int:
    for size in sorted(max_parts_by_size):
        if size >= shape.accelerators:
            return max_parts_by_size[size][_ADJACENCY_LEVEL[shape.adjacency]]
    return 0


def guaranteed_domains(config: Config, organisation: OrganisationId, shape: Shape) -> set[DomainId]:
    """Domains in which an organisation has a guarantee that covers the shape."""
    known_organisation = config.organisations.get(organisation)
    if known_organisation is None:
        return set()
    return {
        guarantee.domain
        for guarantee in known_organisation.guarantees
        if _covers(guarantee.shape, shape)
    }


def _covers(guaranteed: Shape, shape: Shape) -> bool:
    return (
        shape.parts <= guaranteed.parts
        and shape.accelerators <= guaranteed.accelerators
        and _ADJACENCY_LEVEL[guaranteed.adjacency] <= _ADJACENCY_LEVEL[shape.adjacency]
    )


def choose_domain(
    shape: Shape, guaranteed: set[DomainId], home_region: RegionId, candidates: Iterable[Candidate]
) -> DomainId | None:
    """Choose the domain for a new job, or None if there is no domain.

    Preferences, most important first: the job can fit into the empty domain, a guarantee covers the
    shape there, there is capacity now, the queue is short, the domain is in the entry's own region.
    """

    def cost(candidate: Candidate) -> tuple[bool, bool, bool, int, bool, DomainId]:
        summary = candidate.summary
        return (
            not fits_empty(shape, summary),
            candidate.domain not in guaranteed,
            not fits_now(shape, summary),
            # Rounded, so that a small difference does not send a job over the slow link between
            # regions.
            int(summary.wait_s / MIN_WAIT_GAIN_S) if summary else 0,
            candidate.region != home_region,
            candidate.domain,
        )

    best = min(candidates, key=cost, default=None)
    return best.domain if best else None


def choose_move(
    shape: Shape,
    current: DomainId,
    waited_s: float,
    moves: int,
    guaranteed: set[DomainId],
    candidates: Iterable[Candidate],
) -> DomainId | None:
    """Choose a better domain for a job that waits in `current`, or None to leave it there.

    A job stays in a domain where a guarantee covers it. It moves MAX_MOVES times at most, and only
    to a domain that has capacity now and whose wait is shorter by MIN_WAIT_GAIN_S.
    """
    if waited_s < REROUTE_AFTER_S or moves >= MAX_MOVES or current in guaranteed:
        return None
    by_name = {candidate.domain: candidate for candidate in candidates}
    current_candidate = by_name.get(current)
    if current_candidate is None:
        return choose_domain(shape, guaranteed, RegionId(""), by_name.values())
    if current_candidate.summary is None or fits_now(shape, current_candidate.summary):
        return None
    current_wait_s = (
        current_candidate.summary.wait_s
        if fits_empty(shape, current_candidate.summary)
        else float("inf")
    )
    better = [
        other
        for other in by_name.values()
        if other.domain != current
        and other.summary is not None
        and fits_now(shape, other.summary)
        and current_wait_s - other.summary.wait_s >= MIN_WAIT_GAIN_S
    ]
    return choose_domain(shape, guaranteed, current_candidate.region, better)
