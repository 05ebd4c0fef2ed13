"""Placement policies, which choose adjacent accelerators for the parts of a gang."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator
from itertools import islice

from comfreyshelf.ids import TargetId, ZoneId
from comfreyshelf.model import Adjacency, Placement, Shape
from comfreyshelf.topology import (
    RackKey,
    SearchScope,
    SizeIndex,
    Topology,
    Worker,
    count_blocks,
    find_block,
)

Placements = tuple[Placement, ...]

# Of the workers with equally many free blocks, only this many are compared by how full their rack
# is, which bounds the time of one placement.
MAX_COMPARED_WORKERS = 16


class Placer(ABC):
    """A placement policy; plugins register further policies by name.

    A policy with `keeps_guarantees` False ignores planned cells and preempts no work for
    guaranteed jobs.
    """

    keeps_guarantees = True

    @abstractmethod
    def place(self, shape: Shape, topology: Topology, scope: SearchScope) -> Placements:
        """Choose accelerators for all parts, or return an empty tuple."""


class FirstFit(Placer):
    """Takes the first worker, rack or zone in which every part fits."""

    keeps_guarantees = False

    def place(self, shape: Shape, topology: Topology, scope: SearchScope) -> Placements:
        """Choose accelerators for all parts, or return an empty tuple."""
        for group in _worker_groups(shape.adjacency, topology):
            placements = _place_parts(shape, group, scope)
            if len(placements) == shape.parts:
                return placements
        return ()


class BestFit(Placer):
    """Takes the worker, rack or zone with the least spare capacity, to keep whole ones free."""

    def place(self, shape: Shape, topology: Topology, scope: SearchScope) -> Placements:
        """Choose accelerators for all parts, or return an empty tuple."""
        return next(iter_placements(shape, topology, scope), ())


def iter_placements(shape: Shape, topology: Topology, scope: SearchScope) -> Iterator[Placements]:
    """Yield placements of all parts in `scope`, those with the least spare capacity first.

    Placements on a single worker come before those in a rack, and these before those in a zone.
    """
    index = topology.size_index(scope, shape.accelerators)
    yield from _placements_in_workers(shape, topology, scope, index)
    if shape.parts == 1 or shape.adjacency is Adjacency.WORKER:
        return
    yield from _placements_in_racks(shape, topology, scope, index)
    if shape.adjacency is Adjacency.ZONE:
        yield from _placements_in_zones(shape, topology, scope, index)


def leaves_enough_blocks(
    placements: Placements, topology: Topology, size: int, min_blocks: int
) -> bool:
    """Whether protected work at `placements` leaves enough reclaimable blocks.

    At least `min_blocks` blocks of `size` accelerators have to remain. Blocks in planned cells do
    not count. Work that takes no such block is always allowed.
    """
    taken: dict[TargetId, int] = {}
    for place in placements:
        taken[place.target] = taken.get(place.target, 0) | place.mask
    lost = 0
    for target, mask in taken.items():
        worker = topology.workers[target]
        left = worker.available_mask(SearchScope.RECLAIMABLE)
        lost += count_blocks(left, size, worker.capacity)
        lost -= count_blocks(left & ~mask, size, worker.capacity)
    return (
        not lost
        or sum(topology.size_index(SearchScope.RECLAIMABLE, size).zone_slots.values()) - lost
        >= min_blocks
    )


def narrowest_adjacency(placements: Placements, topology: Topology) -> Adjacency | None:
    """The narrowest unit that contains all placements, or None if they span several zones."""
    workers = [topology.workers[placement.target] for placement in placements]
    if len({worker.info.target for worker in workers}) == 1:
        return Adjacency.WORKER
    if len({worker.rack for worker in workers}) == 1:
        return Adjacency.RACK
    return Adjacency.ZONE if len({worker.info.zone for worker in workers}) == 1 else None


def _placements_in_workers(
    shape: Shape, topology: Topology, scope: SearchScope, index: SizeIndex
) -> Iterator[Placements]:
    for slots in sorted(slots for slots in index.workers if slots >= shape.parts):
        found = (
            placements
            for target in index.workers[slots]
            if len(placements := _place_parts(shape, (topology.workers[target],), scope))
            == shape.parts
        )
        compared = list(islice(found, MAX_COMPARED_WORKERS))
        compared.sort(
            key=lambda placements: index.rack_slots[topology.workers[placements[0].target].rack]
        )
        yield from compared
        yield from found


def _placements_in_racks(
    shape: Shape, topology: Topology, scope: SearchScope, index: SizeIndex
) -> Iterator[Placements]:
    fitting = [
        (slots, zone)
        for zone, buckets in index.racks.items()
        for slots in buckets
        if slots >= shape.parts
    ]
    for slots, zone in sorted(fitting):
        for rack in index.racks[zone][slots]:
            placements = _place_parts(shape, _workers_in_rack(rack, topology, scope), scope)
            if len(placements) == shape.parts:
                yield placements


def _placements_in_zones(
    shape: Shape, topology: Topology, scope: SearchScope, index: SizeIndex
) -> Iterator[Placements]:
    fitting = sorted(
        (slots, zone) for zone, slots in index.zone_slots.items() if slots >= shape.parts
    )
    for _, zone in fitting:
        workers = (
            worker
            for rack in _racks_to_fill(zone, shape.parts, index)
            for worker in _workers_in_rack(rack, topology, scope)
        )
        placements = _place_parts(shape, workers, scope)
        if len(placements) == shape.parts:
            yield placements


def _racks_to_fill(zone: ZoneId, parts: int, index: SizeIndex) -> Iterator[RackKey]:
    """Racks of a zone in the order in which to fill them.

    The emptiest racks come first. The parts that are left when less than a whole rack is needed go
    to the fullest rack that can hold them.
    """
    buckets = index.racks[zone]
    order = [rack for slots in sorted(buckets, reverse=True) for rack in buckets[slots]]
    left = parts
    for position, rack in enumerate(order):
        slots = index.rack_slots[rack]
        if slots > left > 0:
            last = next(other for other in reversed(order) if index.rack_slots[other] >= left)
            yield last
            yield from (other for other in order[position:] if other != last)
            return
        left -= slots
        yield rack


def _workers_in_rack(rack: RackKey, topology: Topology, scope: SearchScope) -> list[Worker]:
    workers = [topology.workers[target] for target in topology.racks[rack]]
    workers.sort(key=lambda worker: worker.available_mask(scope).bit_count())
    return workers


def _worker_groups(adjacency: Adjacency, topology: Topology) -> Iterator[list[Worker]]:
    for worker in topology.workers.values():
        yield [worker]
    if adjacency is Adjacency.WORKER:
        return
    for rack in topology.racks.values():
        yield [topology.workers[target] for target in rack]
    if adjacency is Adjacency.RACK:
        return
    for zone in topology.zones:
        yield list(topology.workers_in_zone(zone))


def _place_parts(shape: Shape, workers: Iterable[Worker], scope: SearchScope) -> Placements:
    placements: list[Placement] = []
    for worker in workers:
        free = worker.available_mask(scope)
        if not free:
            continue
        cores, memory_gb = worker.available_resources(scope)
        need_cores, need_memory_gb = _required_resources(shape, worker, scope)
        while len(placements) < shape.parts:
            mask = find_block(free, shape.accelerators, worker.capacity)
            if not mask or cores < need_cores or memory_gb < need_memory_gb:
                break
            placements.append(Placement(len(placements), worker.info.target, mask))
            free &= ~mask
            cores -= need_cores
            memory_gb -= need_memory_gb
        if len(placements) == shape.parts:
            break
    return tuple(placements)


def _required_resources(shape: Shape, worker: Worker, scope: SearchScope) -> tuple[int, int]:
    if scope is not SearchScope.RECLAIMABLE:
        return shape.cores, shape.memory_gb
    cores, memory_gb = worker.proportional_resources(shape.accelerators)
    return max(cores, shape.cores), max(memory_gb, shape.memory_gb)


def place_in_cell(shape: Shape, cell: Placements, topology: Topology) -> Placements:
    """Place the parts of a job on accelerators of a cell, or return an empty tuple.

    On each worker, the job may use cores and memory in proportion to the cell's accelerators there.
    """
    masks: dict[TargetId, int] = {}
    for placement in cell:
        masks[placement.target] = masks.get(placement.target, 0) | placement.mask
    placements: list[Placement] = []
    for target, mask in masks.items():
        worker = topology.workers[target]
        cores, memory_gb = worker.proportional_resources(mask.bit_count())
        left = mask
        while len(placements) < shape.parts:
            block = find_block(left, shape.accelerators, worker.capacity)
            if not block or cores < shape.cores or memory_gb < shape.memory_gb:
                break
            placements.append(Placement(len(placements), target, block))
            left &= ~block
            cores -= shape.cores
            memory_gb -= shape.memory_gb
    if len(placements) < shape.parts:
        return ()
    return tuple(placements) if _meets_adjacency(shape, tuple(placements), topology) else ()


def _meets_adjacency(shape: Shape, placements: Placements, topology: Topology) -> bool:
    adjacency = narrowest_adjacency(placements, topology)
    narrowest_first = list(Adjacency)
    return adjacency is not None and narrowest_first.index(adjacency) <= narrowest_first.index(
        shape.adjacency
    )
