"""Placement of a gang on adjacent accelerators."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator

from comfreyshelf.ids import TargetId
from comfreyshelf.model import Adjacency, Placement, Shape
from comfreyshelf.topology import Topology, Worker, find_block


class Placer(ABC):
    """A placement policy; plugins register more of them by name."""

    @abstractmethod
    def place(
        self, shape: Shape, topology: Topology, excluded: frozenset[TargetId]
    ) -> tuple[Placement, ...]:
        """Choose accelerators for all parts, or return an empty tuple."""


class FirstFit(Placer):
    """Takes the first worker, rack or zone in which every part fits."""

    def place(
        self, shape: Shape, topology: Topology, excluded: frozenset[TargetId]
    ) -> tuple[Placement, ...]:
        """Choose accelerators for all parts, or return an empty tuple."""
        for group in _groups(shape.adjacency, topology):
            usable = (worker for worker in group if worker.info.target not in excluded)
            placements = _fill(shape, usable)
            if len(placements) == shape.parts:
                return placements
        return ()


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


def _fill(shape: Shape, workers: Iterable[Worker]) -> tuple[Placement, ...]:
    placements: list[Placement] = []
    for worker in workers:
        free = worker.free
        cores = worker.cores_free
        memory_gb = worker.memory_free_gb
        while len(placements) < shape.parts:
            mask = find_block(free, shape.accelerators, worker.capacity)
            if not mask or cores < shape.cores or memory_gb < shape.memory_gb:
                break
            placements.append(Placement(len(placements), worker.info.target, mask))
            free &= ~mask
            cores -= shape.cores
            memory_gb -= shape.memory_gb
    return tuple(placements)
