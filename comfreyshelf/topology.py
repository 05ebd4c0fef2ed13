"""Workers of one domain with their free accelerators as bit masks."""

from collections.abc import Iterator

from comfreyshelf.ids import RackId, TargetId, ZoneId
from comfreyshelf.model import WorkerInfo


def block_size(accelerators: int) -> int:
    """The smallest power of two that holds `accelerators`."""
    return 1 << (accelerators - 1).bit_length()


def find_block(free: int, accelerators: int, capacity: int) -> int:
    """Find aligned adjacent accelerators in a free mask.

    Returns a mask of `accelerators` bits at the lowest aligned position, or 0.

        find_block(0b11110001, 4, 8) == 0b11110000
    """
    want = (1 << accelerators) - 1
    for position in range(0, capacity - accelerators + 1, block_size(accelerators)):
        mask = want << position
        if free & mask == mask:
            return mask
    return 0


class Worker:
    """One worker: what it has and what is free."""

    __slots__ = ("cores_free", "free", "info", "memory_free_gb")

    def __init__(self, info: WorkerInfo) -> None:
        self.info = info
        self.free = (1 << info.accelerators) - 1
        self.cores_free = info.cores
        self.memory_free_gb = info.memory_gb

    @property
    def capacity(self) -> int:
        """Number of accelerators."""
        return self.info.accelerators


class Topology:
    """Workers by target, rack and zone."""

    def __init__(self) -> None:
        self.workers: dict[TargetId, Worker] = {}
        self.racks: dict[RackId, list[TargetId]] = {}
        self.zones: dict[ZoneId, list[RackId]] = {}

    def add(self, info: WorkerInfo) -> Worker:
        """Add a worker with all of its accelerators free."""
        worker = Worker(info)
        self.workers[info.target] = worker
        rack = self.racks.setdefault(info.rack, [])
        rack.append(info.target)
        racks = self.zones.setdefault(info.zone, [])
        if info.rack not in racks:
            racks.append(info.rack)
        return worker

    def remove(self, target: TargetId) -> None:
        """Remove a worker and everything on it."""
        worker = self.workers.pop(target)
        rack = self.racks[worker.info.rack]
        rack.remove(target)
        if not rack:
            del self.racks[worker.info.rack]
            self.zones[worker.info.zone].remove(worker.info.rack)

    def take(self, target: TargetId, mask: int, cores: int, memory_gb: int) -> None:
        """Mark accelerators, cores and memory as used."""
        worker = self.workers[target]
        worker.free &= ~mask
        worker.cores_free -= cores
        worker.memory_free_gb -= memory_gb

    def give_back(self, target: TargetId, mask: int, cores: int, memory_gb: int) -> None:
        """Mark accelerators, cores and memory as free again."""
        worker = self.workers.get(target)
        if worker is None:
            return
        worker.free |= mask
        worker.cores_free += cores
        worker.memory_free_gb += memory_gb

    def in_zone(self, zone: ZoneId) -> Iterator[Worker]:
        """Workers of a zone, rack by rack."""
        for rack in self.zones.get(zone, ()):
            for target in self.racks[rack]:
                yield self.workers[target]
