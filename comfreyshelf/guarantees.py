"""Planned cells for unused guaranteed shapes, reclaim of borrowed ones, and lost capacity."""

from collections import Counter
from collections.abc import Callable, Iterable
from itertools import islice

import msgspec

from comfreyshelf.config import Guarantee
from comfreyshelf.gangs import Gang, GangTable
from comfreyshelf.ids import JobId, OrganisationId, TargetId
from comfreyshelf.model import Adjacency, CellUse, Job, Placement, Shape
from comfreyshelf.placement import Placements, candidates, pack
from comfreyshelf.topology import Topology, View, count_blocks

# Bounds of the searches, so that one decision stays short whatever the fleet holds.
CELLS_COMPARED = 8
DISPLACEMENTS_TRIED = 4

CellKey = tuple[OrganisationId, int]
Place = Callable[[Job, View], Placements]

_WIDTHS = list(Adjacency)


class Cell(msgspec.Struct):
    """The accelerators kept for one guarantee.

    `job` uses the cell or, while `reclaiming`, waits for borrowed work in it to stop. `used` are
    the placements of a job that uses the cell.
    """

    guarantee: Guarantee
    placements: Placements
    job: JobId | None = None
    reclaiming: bool = False
    used: Placements = ()

    @property
    def key(self) -> CellKey:
        """Organisation and index of the guarantee."""
        return key_of(self.guarantee)


class Decision(msgspec.Struct, frozen=True):
    """Where a job starts, in which cell, or which jobs have to be preempted first."""

    placements: Placements = ()
    cell: CellKey | None = None
    victims: tuple[JobId, ...] = ()


def key_of(guarantee: Guarantee) -> CellKey:
    """Organisation and index of a guarantee."""
    return (guarantee.organisation, guarantee.index)


def fits(shape: Shape, guaranteed: Shape) -> bool:
    """Whether a job of `shape` can run inside a cell of a guaranteed shape.

    A cell that may be spread over a rack does not serve a job that needs a single worker.
    """
    block = guaranteed.accelerators
    slots = count_blocks((1 << block) - 1, shape.accelerators, block)
    if guaranteed.parts * slots < shape.parts:
        return False
    if guaranteed.parts == 1 or shape.parts <= slots:
        return True
    return _WIDTHS.index(shape.adjacency) >= _WIDTHS.index(guaranteed.adjacency)


def value(gang: Gang) -> tuple[int, bool, float, JobId]:
    """Order of preemption, least valuable first.

    Less urgent work is stopped first, then work that may run again, then the newest.
    """
    return (-gang.job.urgency.rank, not gang.job.idempotent, -gang.since, gang.job.id)


def _is_own(gang: Gang, job: Job) -> bool:
    """Whether a gang is work of the job's organisation and no less urgent."""
    same = gang.job.organisation == job.organisation
    return same and gang.job.urgency.rank <= job.urgency.rank


def _hardest_first(guarantee: Guarantee) -> tuple[int, int, int, CellKey]:
    shape = guarantee.shape
    width = _WIDTHS.index(shape.adjacency)
    return (-shape.accelerators, width, -shape.parts, key_of(guarantee))


def _has_shape(placements: Placements, shape: Shape) -> bool:
    sizes = [placement.mask.bit_count() for placement in placements]
    return sizes == [shape.accelerators] * shape.parts


class CellPlan:
    """Keeps a cell for every guarantee of the domain, used or not.

    Cells never overlap each other or firm work outside them, so the plan shows that all unused
    guaranteed shapes fit into free and preemptible accelerators at the same time. A cell whose job
    is smaller keeps the rest of the shape, because the whole is unused again when the job ends.
    Only after a loss of capacity is such a rest given up for an unused guarantee.

    `detached` names running jobs that lost their cell; other work may preempt them again.
    """

    def __init__(self, topology: Topology, counters: Counter[str]) -> None:
        self.cells: dict[CellKey, Cell] = {}
        self.detached: list[JobId] = []
        self._topology = topology
        self._counters = counters
        self._guarantees: dict[CellKey, Guarantee] = {}
        self._by_organisation: dict[OrganisationId, list[Guarantee]] = {}
        self._missing: set[CellKey] = set()
        self._reported: set[CellKey] = set()
        self._by_target: dict[TargetId, set[CellKey]] = {}
        self._by_job: dict[JobId, CellKey] = {}
        self._withdrawn: frozenset[TargetId] = frozenset()
        self._stale = False
        self._replan_all = False

    # Changes of what is promised and of what there is

    def set_guarantees(self, guarantees: Iterable[Guarantee]) -> None:
        """Replace the guarantees; a cell survives if its guarantee is unchanged."""
        wanted = {key_of(guarantee): guarantee for guarantee in guarantees}
        if wanted == self._guarantees:
            return
        for key, guarantee in self._guarantees.items():
            if wanted.get(key) != guarantee:
                self._missing.discard(key)
                if key in self.cells:
                    self._drop(key)
        self._guarantees = wanted
        self._by_organisation = {}
        for guarantee in sorted(
            wanted.values(), key=lambda item: (item.shape.total_accelerators, item.index)
        ):
            self._by_organisation.setdefault(guarantee.organisation, []).append(guarantee)
        self._missing = wanted.keys() - self.cells.keys()
        self._reported &= wanted.keys()
        self._replan()

    def withdraw(self, targets: frozenset[TargetId]) -> None:
        """Plan no unused cell on these targets; used cells stay until their job ends."""
        if targets == self._withdrawn:
            return
        added = targets - self._withdrawn
        self._withdrawn = targets
        self._replan()
        for target in added:
            for key in list(self._by_target.get(target, ())):
                cell = self.cells[key]
                if cell.job is None or cell.reclaiming:
                    self._miss(key)

    def worker_lost(self, target: TargetId) -> None:
        """Plan anew every cell that stood on a lost worker."""
        for key in list(self._by_target.get(target, ())):
            self._miss(key)

    def capacity_gained(self) -> None:
        """Try missing cells again at the next decision or tick, and move others for them."""
        if self._missing:
            self._replan()

    def evict(self, target: TargetId, mask: int) -> None:
        """Plan anew the unused cells that firm work of an earlier owner stands on."""
        for key in list(self._by_target.get(target, ())):
            cell = self.cells[key]
            overlaps = any(place.mask & mask for place in cell.placements if place.target == target)
            if overlaps and (cell.job is None or cell.reclaiming):
                self._miss(key)

    def hold_reclaimed(self, target: TargetId) -> None:
        """Hold the cells on a target that are being reclaimed, after other room was given up."""
        for cell in self.on_target(target):
            if cell.reclaiming:
                self._hold(cell, True)

    # Reports

    def lost(self) -> list[Guarantee]:
        """Guarantees for which no cell exists, hardest first."""
        self.refresh()
        return self._missing_guarantees()

    def on_target(self, target: TargetId) -> list[Cell]:
        """Cells that stand at least partly on a target."""
        return [self.cells[key] for key in sorted(self._by_target.get(target, ()))]

    def lost_to(self, target: TargetId) -> list[Guarantee]:
        """Guarantees that do not fit without a target: those it would cost, or has cost."""
        if target not in self._withdrawn:
            return self.lost_without(target)
        missing = self.lost()
        excluded = self._topology.excluded
        self._topology.exclude(excluded - {target})
        lost = self._trial(missing)
        self._topology.exclude(excluded)
        return [guarantee for guarantee in missing if guarantee not in lost]

    def lost_without(self, target: TargetId) -> list[Guarantee]:
        """Guarantees that would have no cell any more if a target left; changes nothing."""
        self.refresh()
        excluded = self._topology.excluded
        leaving = self.on_target(target)
        if not leaving:
            return []
        self._topology.exclude(excluded | {target})
        lost = self._trial([cell.guarantee for cell in leaving])
        if lost:
            others = [
                cell for cell in self.cells.values() if cell.job is None and cell not in leaving
            ]
            self._mark(others, False)
            lost = self._trial([cell.guarantee for cell in (*leaving, *others)])
            self._mark(others, True)
        self._topology.exclude(excluded)
        return lost

    # Decisions

    def decide(self, job: Job, place: Place, gangs: GangTable) -> Decision:
        """Decide where a queued job starts.

        A job that fits an unused guarantee of its organisation uses that guarantee's cell and
        names the borrowed work to preempt. Other preemptible work may borrow planned cells; other
        work may not, unless the cells that it displaces can be planned elsewhere.
        """
        self.refresh()
        cell = self._cell_for(job)
        if cell is not None:
            return self._decide_in_cell(job, cell, place, gangs)
        placements = self._find_outside(job, place)
        if not placements and not job.may_borrow:
            placements = self._displace(job)
        return Decision(placements)

    def _find_outside(self, job: Job, place: Place) -> Placements:
        """Free room outside the cells, or for preemptible work also inside unused ones."""
        placements = place(job, View.OPEN)
        if not placements and job.may_borrow:
            placements = place(job, View.BORROW)
        return placements

    def covers(self, job: Job) -> bool:
        """Whether an unused guarantee of its organisation covers a job, or is reclaimed for it."""
        return self._cell_for(job) is not None

    def start(self, job: JobId, key: CellKey, placements: Placements) -> None:
        """The job starts at `placements` inside the cell."""
        cell = self.cells[key]
        if cell.reclaiming:
            self._hold(cell, False)
            cell.reclaiming = False
        cell.job = job
        cell.used = placements
        self._by_job[job] = key

    def release(self, job: JobId) -> None:
        """The job no longer uses or claims a cell."""
        key = self._by_job.pop(job, None)
        if key is None:
            return
        cell = self.cells[key]
        if cell.reclaiming:
            self._hold(cell, False)
            cell.reclaiming = False
        cell.job = None
        cell.used = ()
        self.capacity_gained()
        withdrawn = any(placement.target in self._withdrawn for placement in cell.placements)
        if withdrawn or not _has_shape(cell.placements, cell.guarantee.shape):
            self._miss(key)

    def use_of(self, job: JobId) -> CellUse | None:
        """The cell that a job uses, as it is recorded for a takeover."""
        key = self._by_job.get(job)
        return None if key is None else CellUse(key[1], self.cells[key].placements)

    def uses_cell(self, job: JobId) -> bool:
        """Whether a running job uses a cell."""
        key = self._by_job.get(job)
        return key is not None and not self.cells[key].reclaiming

    def relocate(self, job: Job, gangs: GangTable) -> bool:
        """Claim a new cell for a running job before it is stopped on a leaving target.

        The job reclaims the new cell as soon as it is queued again.
        """
        cell = self.cells[self._by_job[job.id]]
        if not _has_shape(cell.placements, cell.guarantee.shape):
            return False
        best = self._cheapest(job, cell, gangs)
        if self._is_excluded(best):
            return False
        self._move(cell, best)
        cell.used = ()
        cell.reclaiming = True
        self._hold(cell, True)
        return True

    def end_use(self, job: JobId) -> None:
        """The job's attempt ended and the job is queued again; it keeps a cell it claimed."""
        if self.uses_cell(job):
            self.release(job)

    def adopt(self, job: Job, use: CellUse, placements: Placements) -> bool:
        """Let a job that an earlier owner started occupy its cell again.

        Only the job's own accelerators stay in the cell if the rest was given up meanwhile.
        Returns False if the guarantee has changed since or is in use.
        """
        key = (job.organisation, use.index)
        guarantee = self._guarantees.get(key)
        if guarantee is None or not _has_shape(use.placements, guarantee.shape):
            return False
        cell = self.cells.get(key)
        if cell is not None and cell.job is not None and not cell.reclaiming:
            return False
        if cell is not None:
            self._miss(key)
        kept = use.placements if self._is_kept(use.placements, placements) else placements
        for placement in kept:
            self.evict(placement.target, placement.mask)
        for other in self._overlapped(kept):
            self._move(other, other.used)
        self._put(Cell(guarantee, kept, job.id, used=placements))
        self._by_job[job.id] = key
        return True

    def refresh(self) -> None:
        """Plan what is missing; where that fails, also move other unused cells."""
        if not self._stale:
            return
        self._stale = False
        for guarantee in self._missing_guarantees():
            self._plan(guarantee)
        if self._missing and self._replan_all:
            self._plan_all()
            self._give_up_rests()
        self._replan_all = False
        for key in self._missing - self._reported:
            self._counters["guarantee_lost"] += 1
            self._reported.add(key)
        self._reported &= self._missing

    # Cells

    def _cell_for(self, job: Job) -> Cell | None:
        key = self._by_job.get(job.id)
        if key is not None:
            return self.cells[key]
        for guarantee in self._by_organisation.get(job.organisation, ()):
            cell = self.cells.get(key_of(guarantee))
            if cell is None or cell.job is not None or not fits(job.shape, guarantee.shape):
                continue
            if pack(job.shape, cell.placements, self._topology):
                return cell
        return None

    def _decide_in_cell(self, job: Job, cell: Cell, place: Place, gangs: GangTable) -> Decision:
        placements = self._free_placements(job, cell.placements)
        if placements:
            return Decision(placements, cell.key)
        best = cell.placements
        if not cell.reclaiming:
            best = self._cheapest(job, cell, gangs)
            self._move(cell, best)
            placements = self._free_placements(job, best)
            if placements:
                return Decision(placements, cell.key)
        victims = self._victims(job, best, gangs)
        # Stopping the organisation's own work gains nothing while there is room elsewhere.
        if not cell.reclaiming and any(_is_own(gang, job) for gang in victims):
            placements = self._find_outside(job, place)
            if placements:
                return Decision(placements)
        if self._is_excluded(best):
            return Decision()
        if not cell.reclaiming:
            cell.job = job.id
            cell.reclaiming = True
            self._by_job[job.id] = cell.key
            self._hold(cell, True)
        return Decision((), cell.key, tuple(gang.job.id for gang in victims))

    def _free_placements(self, job: Job, cell: Placements) -> Placements:
        """Placements of the job on accelerators of the cell that nobody uses."""
        if self._is_excluded(cell):
            return ()
        workers = self._topology.workers
        free = tuple(
            Placement(place.part, place.target, place.mask & workers[place.target].free)
            for place in cell
        )
        placements = pack(job.shape, free, self._topology)
        return placements if not self._short(job, placements) else ()

    def _short(self, job: Job, placements: Placements) -> list[TargetId]:
        """Targets whose free cores or memory do not suffice."""
        parts = Counter(placement.target for placement in placements)
        workers = self._topology.workers
        return [
            target
            for target, count in parts.items()
            if workers[target].cores_free < count * job.shape.cores
            or workers[target].memory_free_gb < count * job.shape.memory_gb
        ]

    def _cheapest(self, job: Job, cell: Cell, gangs: GangTable) -> Placements:
        """The place for the cell whose borrowed work is the least valuable."""
        shape = cell.guarantee.shape
        choices = [cell.placements]
        choices += islice(candidates(shape, self._topology, View.OPEN), CELLS_COMPARED)
        choices += islice(candidates(shape, self._topology, View.PLAN), CELLS_COMPARED)
        costs = []
        for position, choice in enumerate(choices):
            usable = choice is cell.placements or self._has_share(choice)
            if self._is_excluded(choice) or not usable:
                continue
            if not pack(job.shape, choice, self._topology):
                continue
            victims = self._victims(job, choice, gangs)
            worth = sorted((value(gang) for gang in victims), reverse=True)
            costs.append((worth, position))
        return choices[min(costs)[1]] if costs else cell.placements

    def _victims(self, job: Job, cell: Placements, gangs: GangTable) -> list[Gang]:
        """Borrowed work to preempt before the job can start in the cell, least valuable first."""
        if self._free_placements(job, cell):
            return []
        placements = pack(job.shape, cell, self._topology)
        victims: dict[JobId, Gang] = {}
        for placement in placements:
            for gang in gangs.on_target(placement.target):
                if not gang.firm and gang.uses(placement.target) & placement.mask:
                    victims[gang.job.id] = gang
        self._add_for_cores(job, placements, victims, gangs)
        return sorted(victims.values(), key=value)

    def _add_for_cores(
        self, job: Job, placements: Placements, victims: dict[JobId, Gang], gangs: GangTable
    ) -> None:
        parts = Counter(placement.target for placement in placements)
        for target in self._short(job, placements):
            worker = self._topology.workers[target]
            others = [gang for gang in gangs.on_target(target) if not gang.firm]
            others.sort(key=lambda gang: (gang.job.id not in victims, value(gang)))
            cores = parts[target] * job.shape.cores - worker.cores_free
            memory_gb = parts[target] * job.shape.memory_gb - worker.memory_free_gb
            for gang in others:
                if cores <= 0 and memory_gb <= 0:
                    break
                active = sum(1 for part in gang.on(target) if part.state is None)
                cores -= active * gang.job.shape.cores
                memory_gb -= active * gang.job.shape.memory_gb
                victims[gang.job.id] = gang

    def _displace(self, job: Job) -> Placements:
        """Find room for firm work by planning the unused cells in its way elsewhere."""
        found = candidates(job.shape, self._topology, View.BORROW)
        for placements in list(islice(found, DISPLACEMENTS_TRIED)):
            if self._try_displace(job.shape, placements):
                return placements
        return ()

    def _try_displace(self, shape: Shape, placements: Placements) -> bool:
        cells = self._overlapped(placements)
        if any(cell.job is not None for cell in cells):
            return False
        saved = [(cell, cell.placements) for cell in cells]
        for cell in cells:
            self._remove(cell)
        take = (shape.cores, shape.memory_gb, True)
        for placement in placements:
            self._topology.take(placement.target, placement.mask, *take)
        planned = self._plan_each(cells) and self._has_headroom(placements)
        for placement in placements:
            self._topology.give_back(placement.target, placement.mask, *take)
        if not planned:
            for cell, old in saved:
                if cell.key in self.cells:
                    self._remove(cell)
                cell.placements = old
            for cell in cells:
                self._put(cell)
        return planned

    def _plan_each(self, cells: list[Cell]) -> bool:
        for cell in sorted(cells, key=lambda cell: _hardest_first(cell.guarantee)):
            placements = next(candidates(cell.guarantee.shape, self._topology, View.PLAN), ())
            if not placements:
                return False
            cell.placements = placements
            self._put(cell)
        return True

    def _overlapped(self, placements: Placements) -> list[Cell]:
        keys = {
            key
            for placement in placements
            for key in self._by_target.get(placement.target, ())
            for other in self.cells[key].placements
            if other.target == placement.target and other.mask & placement.mask
        }
        return [self.cells[key] for key in sorted(keys)]

    def _has_headroom(self, placements: Placements) -> bool:
        workers = self._topology.workers
        return all(min(workers[place.target].room(View.PLAN)) >= 0 for place in placements)

    def _has_share(self, placements: Placements) -> bool:
        """Whether cores and memory in proportion to the accelerators can be kept there."""
        accelerators: Counter[TargetId] = Counter()
        for placement in placements:
            accelerators[placement.target] += placement.mask.bit_count()
        for target, count in accelerators.items():
            worker = self._topology.workers[target]
            cores, memory_gb = worker.room(View.PLAN)
            need_cores, need_memory_gb = worker.share(count)
            if cores < need_cores or memory_gb < need_memory_gb:
                return False
        return True

    def _is_kept(self, cell: Placements, used: Placements) -> bool:
        """Whether no other firm work and no other used cell stands in a resumed cell."""
        if any(other.used for other in self._overlapped(cell)):
            return False
        for placement in cell:
            own = 0
            for part in used:
                own |= part.mask if part.target == placement.target else 0
            if self._topology.workers[placement.target].firm & placement.mask & ~own:
                return False
        return True

    def _is_excluded(self, placements: Placements) -> bool:
        return any(placement.target in self._topology.excluded for placement in placements)

    # Planning

    def _missing_guarantees(self) -> list[Guarantee]:
        return sorted((self._guarantees[key] for key in self._missing), key=_hardest_first)

    def _plan(self, guarantee: Guarantee) -> bool:
        placements = next(candidates(guarantee.shape, self._topology, View.PLAN), ())
        if placements:
            self._put(Cell(guarantee, placements))
        return bool(placements)

    def _plan_all(self) -> None:
        """Plan every unused cell anew, hardest first; keep the old plan if that is worse."""
        unused = [cell for cell in self.cells.values() if cell.job is None]
        missing = len(self._missing)
        for cell in unused:
            self._remove(cell)
            self._missing.add(cell.key)
        for guarantee in self._missing_guarantees():
            self._plan(guarantee)
        if len(self._missing) < missing:
            return
        for cell in [cell for cell in self.cells.values() if cell.job is None]:
            self._remove(cell)
            self._missing.add(cell.key)
        for cell in unused:
            self._put(cell)

    def _give_up_rests(self) -> None:
        """Plan missing cells on what used cells keep beyond their jobs."""
        if not self._missing:
            return
        whole = [
            (cell, cell.placements)
            for cell in self.cells.values()
            if cell.used and cell.used != cell.placements
        ]
        for cell, _ in whole:
            self._move(cell, cell.used)
        for guarantee in self._missing_guarantees():
            self._plan(guarantee)
        for cell, placements in whole:
            if self._overlapped(placements) == [cell]:
                self._move(cell, placements)

    def _trial(self, guarantees: list[Guarantee]) -> list[Guarantee]:
        """Plan guarantees on top of the present cells, undo it, and return what did not fit."""
        planned: list[Placement] = []
        lost = []
        for guarantee in sorted(guarantees, key=_hardest_first):
            placements = next(candidates(guarantee.shape, self._topology, View.PLAN), ())
            if not placements:
                lost.append(guarantee)
            for placement in placements:
                self._topology.set_cell(placement.target, placement.mask, True)
                planned.append(placement)
        for placement in planned:
            self._topology.set_cell(placement.target, placement.mask, False)
        return lost

    def _replan(self) -> None:
        self._stale = True
        self._replan_all = True

    def _miss(self, key: CellKey) -> None:
        self._drop(key)
        self._missing.add(key)
        self._replan()

    def _drop(self, key: CellKey) -> None:
        cell = self.cells[key]
        if cell.reclaiming:
            self._hold(cell, False)
        if cell.job is not None:
            self._by_job.pop(cell.job, None)
            if not cell.reclaiming:
                self.detached.append(cell.job)
        self._remove(cell)

    def _move(self, cell: Cell, placements: Placements) -> None:
        if placements != cell.placements:
            self._remove(cell)
            cell.placements = placements
            self._put(cell)

    def _put(self, cell: Cell) -> None:
        self.cells[cell.key] = cell
        self._missing.discard(cell.key)
        self._mark([cell], True)
        for placement in cell.placements:
            self._by_target.setdefault(placement.target, set()).add(cell.key)

    def _remove(self, cell: Cell) -> None:
        del self.cells[cell.key]
        self._mark([cell], False)
        for target in {placement.target for placement in cell.placements}:
            keys = self._by_target[target]
            keys.discard(cell.key)
            if not keys:
                del self._by_target[target]

    def _mark(self, cells: Iterable[Cell], planned: bool) -> None:
        for cell in cells:
            for placement in cell.placements:
                self._topology.set_cell(placement.target, placement.mask, planned)

    def _hold(self, cell: Cell, held: bool) -> None:
        for placement in cell.placements:
            self._topology.set_held(placement.target, placement.mask, held)
