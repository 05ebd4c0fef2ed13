"""Free and used accelerators of one domain's workers, with indexes to find free blocks."""

from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from functools import lru_cache
from typing import TypeVar

from comfreyshelf.ids import RackId, TargetId, ZoneId
from comfreyshelf.model import WorkerInfo

T = TypeVar("T")

RackKey = tuple[ZoneId, RackId]


def block_size(accelerators: int) -> int:
    """Alignment of a block: the smallest power of two that is at least `accelerators`."""
    return 1 << (accelerators - 1).bit_length()


@lru_cache(maxsize=65_536)
def count_blocks(free: int, accelerators: int, capacity: int) -> int:
    """Count the parts of `accelerators` that fit into a free mask, each on an aligned block."""
    want = (1 << accelerators) - 1
    positions = range(0, capacity - accelerators + 1, block_size(accelerators))
    return sum(1 for position in positions if free >> position & want == want)


@lru_cache(maxsize=65_536)
def find_block(free: int, accelerators: int, capacity: int) -> int:
    """Find aligned adjacent accelerators in a free mask.

    Returns a mask of `accelerators` bits, or 0 if none fit. Of several positions it chooses the one
    that keeps the most large blocks free.

        find_block(0b11110011, 2, 8) == 0b00000011
    """
    want = (1 << accelerators) - 1
    best = 0
    best_left: tuple[int, ...] = ()
    for position in range(0, capacity - accelerators + 1, block_size(accelerators)):
        mask = want << position
        if free & mask != mask:
            continue
        left = _count_blocks_by_size(free & ~mask, capacity)
        if not best or left > best_left:
            best = mask
            best_left = left
    return best


def _count_blocks_by_size(free: int, capacity: int) -> tuple[int, ...]:
    """Count the free blocks of each power of two, the largest size first."""
    sizes = [1 << level for level in reversed(range(capacity.bit_length()))]
    return tuple(count_blocks(free, size, capacity) for size in sizes)


class SearchScope(Enum):
    """Which accelerators a search may use.

    UNRESERVED: free and outside every planned cell. FREE: free, inside or outside planned cells.
    RECLAIMABLE: free or used by preemptible work, outside every planned cell. Only RECLAIMABLE
    includes accelerators that are held for a job that is about to start.
    """

    UNRESERVED = 0
    FREE = 1
    RECLAIMABLE = 2


class Worker:
    """One worker, with its accelerators as bit masks.

    Accelerators in `free_mask` are not in use, those in `protected_mask` are used by work that is
    never reclaimed, those in `cell_mask` belong to planned cells of guarantees, and those in
    `held_mask` are held for a job that is about to start. An `excluded` worker takes no new work.
    """

    __slots__ = (
        "cell_mask",
        "cores_free",
        "excluded",
        "free_mask",
        "held_mask",
        "info",
        "memory_free_gb",
        "protected_cores",
        "protected_mask",
        "protected_memory_gb",
    )

    def __init__(self, info: WorkerInfo) -> None:
        self.info = info
        self.free_mask = (1 << info.accelerators) - 1
        self.protected_mask = 0
        self.cell_mask = 0
        self.held_mask = 0
        self.cores_free = info.cores
        self.memory_free_gb = info.memory_gb
        self.protected_cores = 0
        self.protected_memory_gb = 0
        self.excluded = False

    @property
    def capacity(self) -> int:
        """Number of accelerators, free or not."""
        return self.info.accelerators

    @property
    def rack(self) -> RackKey:
        """Zone and rack, since two zones may use the same rack name."""
        return (self.info.zone, self.info.rack)

    def proportional_resources(self, accelerators: int) -> tuple[int, int]:
        """The cores and memory (GB) that a number of accelerators is entitled to."""
        cores = self.info.cores * accelerators // self.info.accelerators
        memory_gb = self.info.memory_gb * accelerators // self.info.accelerators
        return cores, memory_gb

    def available_mask(self, scope: SearchScope) -> int:
        """Mask of the accelerators that a search in `scope` may use."""
        if self.excluded:
            return 0
        if scope is SearchScope.UNRESERVED:
            return self.free_mask & ~self.cell_mask & ~self.held_mask
        if scope is SearchScope.FREE:
            return self.free_mask & ~self.held_mask
        # Held accelerators outside cells are included: they are held for a gang that moves there
        # from a drained target, and such a gang is preemptible.
        return ((1 << self.capacity) - 1) & ~self.protected_mask & ~self.cell_mask

    def available_resources(self, scope: SearchScope) -> tuple[int, int]:
        """Cores and memory (GB) that a search in `scope` may use.

        Planned cells keep their proportional cores and memory, because a guaranteed job needs them
        as well as the accelerators.
        """
        held_cores, held_memory_gb = (
            self.proportional_resources(self.held_mask.bit_count()) if self.held_mask else (0, 0)
        )
        cores_free = self.cores_free - held_cores
        memory_free_gb = self.memory_free_gb - held_memory_gb
        if scope is SearchScope.FREE:
            return cores_free, memory_free_gb
        cores, memory_gb = self.proportional_resources(
            (self.cell_mask & ~self.protected_mask).bit_count()
        )
        cores = self.info.cores - self.protected_cores - cores
        memory_gb = self.info.memory_gb - self.protected_memory_gb - memory_gb
        if scope is SearchScope.UNRESERVED:
            return min(cores, cores_free), min(memory_gb, memory_free_gb)
        return cores, memory_gb


class SizeIndex:
    """Workers, racks and zones by their slots: the parts of one size that fit in one scope."""

    def __init__(self) -> None:
        self.workers: dict[int, dict[TargetId, None]] = {}
        self.racks: dict[ZoneId, dict[int, dict[RackKey, None]]] = {}
        self.rack_slots: dict[RackKey, int] = {}
        self.zone_slots: dict[ZoneId, int] = {}

    def update(self, worker: Worker, old_slots: int, new_slots: int) -> None:
        """Change the number of parts that fit on a worker from `old` to `new`."""
        if old_slots == new_slots:
            return
        _move_between_buckets(self.workers, worker.info.target, old_slots, new_slots)
        zone = worker.info.zone
        rack_old = self.rack_slots.get(worker.rack, 0)
        rack_new = rack_old + new_slots - old_slots
        self.rack_slots[worker.rack] = rack_new
        _move_between_buckets(self.racks.setdefault(zone, {}), worker.rack, rack_old, rack_new)
        self.zone_slots[zone] = self.zone_slots.get(zone, 0) + new_slots - old_slots


def _move_between_buckets(buckets: dict[int, dict[T, None]], item: T, old: int, new: int) -> None:
    if old:
        bucket = buckets[old]
        del bucket[item]
        if not bucket:
            del buckets[old]
    if new:
        buckets.setdefault(new, {})[item] = None


class Topology:
    """Workers by target, rack and zone, with an index for each requested scope and part size."""

    def __init__(self) -> None:
        self.workers: dict[TargetId, Worker] = {}
        self.racks: dict[RackKey, list[TargetId]] = {}
        self.zones: dict[ZoneId, list[RackKey]] = {}
        self.excluded: frozenset[TargetId] = frozenset()
        self._indexes: dict[SearchScope, dict[int, SizeIndex]] = {
            scope: {} for scope in SearchScope
        }

    def add(self, info: WorkerInfo) -> Worker:
        """Add a worker with all of its accelerators free."""
        worker = Worker(info)
        worker.excluded = info.target in self.excluded
        self.workers[info.target] = worker
        if worker.rack not in self.racks:
            self.racks[worker.rack] = []
            self.zones.setdefault(info.zone, []).append(worker.rack)
        self.racks[worker.rack].append(info.target)
        self._reindex(worker, dict.fromkeys(SearchScope, 0))
        return worker

    def remove(self, target: TargetId) -> None:
        """Remove a worker and all work on it."""
        worker = self.workers[target]
        before = self._available_masks(worker)
        worker.excluded = True
        self._reindex(worker, before)
        del self.workers[target]
        rack = self.racks[worker.rack]
        rack.remove(target)
        if not rack:
            del self.racks[worker.rack]
            self.zones[worker.info.zone].remove(worker.rack)

    def set_excluded(self, targets: frozenset[TargetId]) -> None:
        """Replace the set of targets that are excluded from new work."""
        if targets == self.excluded:
            return
        changed = targets ^ self.excluded
        self.excluded = targets
        for target in changed:
            worker = self.workers.get(target)
            if worker is not None:
                before = self._available_masks(worker)
                worker.excluded = target in targets
                self._reindex(worker, before)

    @contextmanager
    def excluding(self, targets: frozenset[TargetId]) -> Iterator[None]:
        """Within the context, also exclude these targets from new work."""
        before = self.excluded
        self.set_excluded(before | targets)
        try:
            yield
        finally:
            self.set_excluded(before)

    def allocate(
        self, target: TargetId, mask: int, cores: int, memory_gb: int, protected: bool = False
    ) -> None:
        """Mark accelerators, cores and memory as used; `protected` work is never reclaimed."""
        worker = self.workers[target]
        before = self._available_masks(worker)
        worker.free_mask &= ~mask
        worker.cores_free -= cores
        worker.memory_free_gb -= memory_gb
        if protected:
            self._add_protected(worker, mask, cores, memory_gb)
        self._reindex(worker, before)

    def release(
        self, target: TargetId, mask: int, cores: int, memory_gb: int, protected: bool = False
    ) -> None:
        """Mark accelerators, cores and memory as free again.

        `protected` has to be as in their allocation. Does nothing if the worker has been removed.
        """
        worker = self.workers.get(target)
        if worker is None:
            return
        before = self._available_masks(worker)
        worker.free_mask |= mask
        worker.cores_free += cores
        worker.memory_free_gb += memory_gb
        if protected:
            self._remove_protected(worker, mask, cores, memory_gb)
        self._reindex(worker, before)

    def set_protected(
        self, target: TargetId, mask: int, cores: int, memory_gb: int, protect: bool
    ) -> None:
        """Mark used accelerators as protected from being reclaimed, or as reclaimable again."""
        worker = self.workers.get(target)
        if worker is not None:
            before = self._available_masks(worker)
            if protect:
                self._add_protected(worker, mask, cores, memory_gb)
            else:
                self._remove_protected(worker, mask, cores, memory_gb)
            self._reindex(worker, before)

    def set_cell(self, target: TargetId, mask: int, planned: bool) -> None:
        """Add accelerators to the planned cells of a worker or remove them."""
        worker = self.workers.get(target)
        if worker is not None:
            before = self._available_masks(worker)
            worker.cell_mask = worker.cell_mask | mask if planned else worker.cell_mask & ~mask
            self._reindex(worker, before)

    def set_held(self, target: TargetId, mask: int, held: bool) -> None:
        """Hold accelerators for a job that is about to start, or release them."""
        worker = self.workers.get(target)
        if worker is not None:
            before = self._available_masks(worker)
            worker.held_mask = worker.held_mask | mask if held else worker.held_mask & ~mask
            self._reindex(worker, before)

    def size_index(self, scope: SearchScope, accelerators: int) -> SizeIndex:
        """The index of one part size, built from all workers when that size is first requested."""
        indexes = self._indexes[scope]
        index = indexes.get(accelerators)
        if index is None:
            index = indexes[accelerators] = SizeIndex()
            for worker in self.workers.values():
                slots = count_blocks(worker.available_mask(scope), accelerators, worker.capacity)
                index.update(worker, 0, slots)
        return index

    def workers_in_zone(self, zone: ZoneId) -> Iterator[Worker]:
        """Workers of a zone, rack by rack."""
        for rack in self.zones.get(zone, ()):
            for target in self.racks[rack]:
                yield self.workers[target]

    @staticmethod
    def _add_protected(worker: Worker, mask: int, cores: int, memory_gb: int) -> None:
        worker.protected_mask |= mask
        worker.protected_cores += cores
        worker.protected_memory_gb += memory_gb

    @staticmethod
    def _remove_protected(worker: Worker, mask: int, cores: int, memory_gb: int) -> None:
        worker.protected_mask &= ~mask
        worker.protected_cores -= cores
        worker.protected_memory_gb -= memory_gb

    @staticmethod
    def _available_masks(worker: Worker) -> dict[SearchScope, int]:
        return {scope: worker.available_mask(scope) for scope in SearchScope}

    def _reindex(self, worker: Worker, before: dict[SearchScope, int]) -> None:
        capacity = worker.capacity
        for scope, old in before.items():
            new = worker.available_mask(scope)
            if old == new:
                continue
            for size, index in self._indexes[scope].items():
                slots = count_blocks(new, size, capacity)
                index.update(worker, count_blocks(old, size, capacity), slots)
