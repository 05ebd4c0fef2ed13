"""Selects the entries that a target connects to and those that a request may be forwarded to."""

import hashlib
from collections.abc import Iterable

from comfreyshelf.config import Config
from comfreyshelf.ids import EntryId, ZoneId
from comfreyshelf.ledger import EntryInfo

# If a zone has fewer entries than this, its targets also connect to entries of other zones of the
# region, up to this many in total.
MIN_ENTRIES_PER_TARGET = 2
# Each candidate that is tried costs a round trip, over a slow link if it is in another region.
MAX_FORWARD_CANDIDATES = 3


def entry_addresses_for(
    zone: ZoneId, config: Config, entries: Iterable[EntryInfo], owner: EntryId | None
) -> tuple[str, ...]:
    """Pipe addresses of the entries that a target of `zone` connects to.

    These are all entries of its zone and the owner of its domain if that is in its region. If the
    zone has fewer than MIN_ENTRIES_PER_TARGET, entries of other zones of the region are added.
    """
    region = config.zones[zone].region
    in_region = [info for info in entries if _region(config, info) == region]
    in_region.sort(
        key=lambda info: (info.zone != zone, info.entry != owner, _rendezvous_hash(zone, info))
    )
    in_zone_count = sum(1 for info in in_region if info.zone == zone)
    chosen = in_region[: max(in_zone_count, MIN_ENTRIES_PER_TARGET)]
    chosen += [info for info in in_region if info.entry == owner and info not in chosen]
    return tuple(info.pipe_address for info in chosen)


def forward_candidates(
    name: EntryId, zone: ZoneId, config: Config, entries: Iterable[EntryInfo]
) -> list[EntryInfo]:
    """Entries that entry `name` in `zone` may forward a request to when it reaches no runner.

    There is one entry of each other zone, up to MAX_FORWARD_CANDIDATES; those of the same region
    come first.
    """
    zone_info = config.zones.get(zone)
    by_zone: dict[str, EntryInfo] = {}
    for info in sorted(entries, key=lambda info: _rendezvous_hash(name, info)):
        if info.entry != name and info.zone != zone:
            by_zone.setdefault(info.zone, info)
    region = zone_info.region if zone_info is not None else None
    candidates = sorted(by_zone.values(), key=lambda info: _region(config, info) != region)
    return candidates[:MAX_FORWARD_CANDIDATES]


def is_cross_region(config: Config, zone: ZoneId, other: ZoneId) -> bool:
    """Whether two zones are known to lie in different regions."""
    regions = [config.zones[name].region for name in (zone, other) if name in config.zones]
    return len(regions) == 2 and regions[0] != regions[1]


def _region(config: Config, info: EntryInfo) -> str | None:
    zone = config.zones.get(ZoneId(info.zone))
    return zone.region if zone is not None else None


def _rendezvous_hash(key: str, info: EntryInfo) -> bytes:
    """Sort key of an entry; each `key` gives another order, which spreads the load."""
    return hashlib.blake2b(f"{key} {info.entry}".encode(), digest_size=8).digest()
