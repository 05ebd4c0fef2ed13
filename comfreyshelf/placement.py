"""Placement of a gang on adjacent accelerators."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator
from itertools import islice

from comfreyshelf.ids import TargetId, ZoneId
from comfreyshelf.model import Adjacency, Placement, Shape
from comfreyshelf.topology import (
    RackKey,
    SizeIndex,
    Topology,
    View,
    Worker,
    count_blocks,
    find_block,
)

Placements = tuple[Placement, ...]

# Equally good workers that are compared by how full their rack is.
COMPARED_WORKERS = 16


class Placer(ABC):
    """A placement policy; plugins register more of them by name.

    A policy with `keeps_guarantees` False ignores planned cells and reclaims nothing.
    """

    keeps_guarantees = True

    @abstractmethod
    def place(self, shape: Shape, topology: Topology, view: View) -> Placements:
        """Choose accelerators for all parts, or return an empty tuple."""


class FirstFit(Placer):
    """Takes the first worker, rack or zone in which every part fits."""

    keeps_guarantees = False

    def place(self, shape: Shape, topology: Topology, view: View) -> Placements:
        """Choose accelerators for all parts, or return an empty tuple."""
        for group in _groups(shape.adjacency, topology):
            placements = _fill(shape, group, view)
            if len(placements) == shape.parts:
                return placements
        return ()


class Cells(Placer):
    """Takes the tightest worker, then rack, then zone, so that whole ones stay free."""

    def place(self, shape: Shape, topology: Topology, view: View) -> Placements:
        """Choose accelerators for all parts, or return an empty tuple."""
        return next(candidates(shape, topology, view), ())


def candidates(shape: Shape, topology: Topology, view: View) -> Iterator[Placements]:
    """Yield placements of all parts, the tightest fit first, from the index of the view."""
    index = topology.index(view, shape.accelerators)
    yield from _in_workers(shape, topology, view, index)
    if shape.parts == 1 or shape.adjacency is Adjacency.WORKER:
        return
    yield from _in_racks(shape, topology, view, index)
    if shape.adjacency is Adjacency.ZONE:
        yield from _in_zones(shape, topology, view, index)


def keeps_blocks(placements: Placements, topology: Topology, size: int, least: int) -> bool:
    """Whether firm work at `placements` leaves `least` reclaimable blocks of `size` accelerators.

    Blocks in planned cells do not count. Work that takes no such block is always allowed.
    """
    taken: dict[TargetId, int] = {}
    for place in placements:
        taken[place.target] = taken.get(place.target, 0) | place.mask
    lost = 0
    for target, mask in taken.items():
        worker = topology.workers[target]
        left = worker.mask(View.PLAN)
        lost += count_blocks(left, size, worker.capacity)
        lost -= count_blocks(left & ~mask, size, worker.capacity)
    return not lost or sum(topology.index(View.PLAN, size).zone_slots.values()) - lost >= least


def spread(placements: Placements, topology: Topology) -> Adjacency | None:
    """The narrowest unit that holds all the placements, or None if they leave a zone."""
    workers = [topology.workers[placement.target] for placement in placements]
    if len({worker.info.target for worker in workers}) == 1:
        return Adjacency.WORKER
    if len({worker.rack for worker in workers}) == 1:
        return Adjacency.RACK
    return Adjacency.ZONE if len({worker.info.zone for worker in workers}) == 1 else None


def _in_workers(
    shape: Shape, topology: Topology, view: View, index: SizeIndex
) -> Iterator[Placements]:
    for slots in sorted(slots for slots in index.workers if slots >= shape.parts):
        found = (
            placements
            for target in index.workers[slots]
            if len(placements := _fill(shape, (topology.workers[target],), view)) == shape.parts
        )
        compared = list(islice(found, COMPARED_WORKERS))
        compared.sort(
            key=lambda placements: index.rack_slots[topology.workers[placements[0].target].rack]
        )
        yield from compared
        yield from found


def _in_racks(
    shape: Shape, topology: Topology, view: View, index: SizeIndex
) -> Iterator[Placements]:
    fitting = [
        (slots, zone)
        for zone, buckets in index.racks.items()
        for slots in buckets
        if slots >= shape.parts
    ]
    for slots, zone in sorted(fitting):
        for rack in index.racks[zone][slots]:
            placements = _fill(shape, _in_rack(rack, topology, view), view)
            if len(placements) == shape.parts:
                yield placements


def _in_zones(
    shape: Shape, topology: Topology, view: View, index: SizeIndex
) -> Iterator[Placements]:
    fitting = sorted(
        (slots, zone) for zone, slots in index.zone_slots.items() if slots >= shape.parts
    )
    for _, zone in fitting:
        workers = (
            worker
            for rack in _racks_to_fill(zone, shape.parts, index)
            for worker in _in_rack(rack, topology, view)
        )
        placements = _fill(shape, workers, view)
        if len(placements) == shape.parts:
            yield placements


def _racks_to_fill(zone: ZoneId, parts: int, index: SizeIndex) -> Iterator[RackKey]:
    """Racks of a zone: the emptiest first, and the tightest one for the remainder."""
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


def _in_rack(rack: RackKey, topology: Topology, view: View) -> list[Worker]:
    workers = [topology.workers[target] for target in topology.racks[rack]]
    workers.sort(key=lambda worker: worker.mask(view).bit_count())
    return workers


def _groups(adjacency: Adjacency, topology: Topology) -> Iterator[list[Worker]]:
    for worker in topology.workers.values():
        yield [worker]
    if adjacency is Adjacency.WORKER:
        return
    for rack in topology.racks.values():
        yield [topology.workers[target] for target in rack]
    if adjacency is Adjacency.RACK:
        return
    for zone in topology.zones:
        yield list(topology.in_zone(zone))


def _fill(shape: Shape, workers: Iterable[Worker], view: View) -> Placements:
    placements: list[Placement] = []
    for worker in workers:
        free = worker.mask(view)
        if not free:
            continue
        cores, memory_gb = worker.room(view)
        need_cores, need_memory_gb = _needs(shape, worker, view)
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


def _needs(shape: Shape, worker: Worker, view: View) -> tuple[int, int]:
    if view is not View.PLAN:
        return shape.cores, shape.memory_gb
    cores, memory_gb = worker.share(shape.accelerators)
    return max(cores, shape.cores), max(memory_gb, shape.memory_gb)


def pack(shape: Shape, cell: Placements, topology: Topology) -> Placements:
    """Place the parts of a job inside the masks of a cell, or return an empty tuple.

    Cores and memory are limited to the share of the cell's accelerators on each worker.
    """
    masks: dict[TargetId, int] = {}
    for placement in cell:
        masks[placement.target] = masks.get(placement.target, 0) | placement.mask
    placements: list[Placement] = []
    for target, mask in masks.items():
        worker = topology.workers[target]
        cores, memory_gb = worker.share(mask.bit_count())
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
    return tuple(placements) if _is_adjacent(shape, tuple(placements), topology) else ()


def _is_adjacent(shape: Shape, placements: Placements, topology: Topology) -> bool:
    width = spread(placements, topology)
    widths = list(Adjacency)
    return width is not None and widths.index(width) <= widths.index(shape.adjacency)
