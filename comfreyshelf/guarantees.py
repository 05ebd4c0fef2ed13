"""Plans cells for guaranteed shapes and decides which borrowed work to preempt for them."""

from collections import Counter
from collections.abc import Callable, Iterable
from itertools import islice

import msgspec

from comfreyshelf.config import Guarantee
from comfreyshelf.gangs import Gang, GangTable
from comfreyshelf.ids import JobId, OrganisationId, TargetId
from comfreyshelf.model import Adjacency, CellUse, Job, Placement, Shape
from comfreyshelf.placement import Placements, iter_placements, place_in_cell
from comfreyshelf.topology import SearchScope, Topology, count_blocks

# Limits of the placements that a search tries, so that the time of one decision does not grow with
# the fleet.
MAX_COMPARED_CELLS = 8
MAX_DISPLACEMENT_ATTEMPTS = 4

CellKey = tuple[OrganisationId, int]
FindPlacements = Callable[[Job, SearchScope], Placements]

# From the narrowest adjacency to the widest.
_ADJACENCIES_BY_WIDTH = list(Adjacency)


class Cell(msgspec.Struct):
    """The accelerators planned for one guarantee.

    `job` is the job that uses the cell or, while `reclaiming`, the job that will use it once the
    borrowed work in it has stopped. `job_placements` are the placements of the job that uses it.
    """

    guarantee: Guarantee
    placements: Placements
    job: JobId | None = None
    reclaiming: bool = False
    job_placements: Placements = ()

    @property
    def key(self) -> CellKey:
        """Identifies the guarantee by its organisation and index."""
        return cell_key(self.guarantee)


class Decision(msgspec.Struct, frozen=True):
    """Where a job starts and in which cell, or which jobs to preempt first.

    Without placements the job stays queued.
    """

    placements: Placements = ()
    cell: CellKey | None = None
    victims: tuple[JobId, ...] = ()


def cell_key(guarantee: Guarantee) -> CellKey:
    """Key of the cell of a guarantee: its organisation and index."""
    return (guarantee.organisation, guarantee.index)


def fits_guarantee(shape: Shape, guaranteed: Shape) -> bool:
    """Whether a job of `shape` can run inside a cell of a guaranteed shape.

    A cell whose parts may be spread over a rack does not suit a job that needs a single worker.
    """
    block = guaranteed.accelerators
    slots = count_blocks((1 << block) - 1, shape.accelerators, block)
    if guaranteed.parts * slots < shape.parts:
        return False
    if guaranteed.parts == 1 or shape.parts <= slots:
        return True
    return _ADJACENCIES_BY_WIDTH.index(shape.adjacency) >= _ADJACENCIES_BY_WIDTH.index(
        guaranteed.adjacency
    )


def preemption_order(gang: Gang) -> tuple[int, bool, float, JobId]:
    """Sort key for preemption; gangs with smaller keys are preempted first.

    Less urgent work comes first, then idempotent work, which may run again, then the gangs that
    entered their phase last.
    """
    return (-gang.job.urgency.rank, not gang.job.idempotent, -gang.phase_started_at, gang.job.id)


def _is_own_work(gang: Gang, job: Job) -> bool:
    """Whether a gang belongs to the job's organisation and is at least as urgent as the job."""
    same = gang.job.organisation == job.organisation
    return same and gang.job.urgency.rank <= job.urgency.rank


def _planning_order(guarantee: Guarantee) -> tuple[int, int, int, CellKey]:
    """Sort key for planning; the shapes that are hardest to place come first."""
    shape = guarantee.shape
    width = _ADJACENCIES_BY_WIDTH.index(shape.adjacency)
    return (-shape.accelerators, width, -shape.parts, cell_key(guarantee))


def _has_shape(placements: Placements, shape: Shape) -> bool:
    sizes = [placement.mask.bit_count() for placement in placements]
    return sizes == [shape.accelerators] * shape.parts


class CellPlan:
    """Plans a cell for every guarantee of the domain, used or not.

    Cells never overlap each other or protected work outside them. The plan therefore proves that
    all unused guaranteed shapes fit into free and preemptible accelerators at the same time. A cell
    used by a smaller job keeps its spare accelerators, because the whole guarantee is unused again
    when the job ends. They go to the cell of another guarantee only after a loss of capacity.

    `jobs_without_cell` lists running jobs that lost their cell; other work may preempt them again.
    """

    def __init__(self, topology: Topology, counters: Counter[str]) -> None:
        self.cells: dict[CellKey, Cell] = {}
        self.jobs_without_cell: list[JobId] = []
        self._topology = topology
        self._counters = counters
        self._guarantees: dict[CellKey, Guarantee] = {}
        self._by_organisation: dict[OrganisationId, list[Guarantee]] = {}
        self._missing: set[CellKey] = set()
        self._counted_as_lost: set[CellKey] = set()
        self._by_target: dict[TargetId, set[CellKey]] = {}
        self._by_job: dict[JobId, CellKey] = {}
        self._withdrawn: frozenset[TargetId] = frozenset()
        self._needs_refresh = False
        self._replan_unused = False

    # Changes of guarantees and capacity

    def set_guarantees(self, guarantees: Iterable[Guarantee]) -> None:
        """Replace all guarantees; the cells of unchanged guarantees are kept."""
        wanted = {cell_key(guarantee): guarantee for guarantee in guarantees}
        if wanted == self._guarantees:
            return
        for key, guarantee in self._guarantees.items():
            if wanted.get(key) != guarantee:
                self._missing.discard(key)
                if key in self.cells:
                    self._drop_cell(key)
        self._guarantees = wanted
        self._by_organisation = {}
        for guarantee in sorted(
            wanted.values(), key=lambda item: (item.shape.total_accelerators, item.index)
        ):
            self._by_organisation.setdefault(guarantee.organisation, []).append(guarantee)
        self._missing = wanted.keys() - self.cells.keys()
        self._counted_as_lost &= wanted.keys()
        self._request_replan()

    def set_withdrawn_targets(self, targets: frozenset[TargetId]) -> None:
        """Plan no unused cell on these targets; a cell in use stays until its job ends."""
        if targets == self._withdrawn:
            return
        added = targets - self._withdrawn
        self._withdrawn = targets
        self._request_replan()
        for target in added:
            for key in list(self._by_target.get(target, ())):
                cell = self.cells[key]
                if cell.job is None or cell.reclaiming:
                    self._drop_and_replan(key)

    def on_worker_lost(self, target: TargetId) -> None:
        """Replan every cell that has accelerators on a lost worker."""
        for key in list(self._by_target.get(target, ())):
            self._drop_and_replan(key)

    def on_capacity_gained(self) -> None:
        """Plan the missing cells again at the next decision or tick.

        Unused cells may be moved to make space for them.
        """
        if self._missing:
            self._request_replan()

    def evict_unused_cells(self, target: TargetId, mask: int) -> None:
        """Replan the unused cells that overlap protected work of an earlier owner."""
        for key in list(self._by_target.get(target, ())):
            cell = self.cells[key]
            overlaps = any(place.mask & mask for place in cell.placements if place.target == target)
            if overlaps and (cell.job is None or cell.reclaiming):
                self._drop_and_replan(key)

    def restore_cell_holds(self, target: TargetId) -> None:
        """Restore the holds of the cells on a target that are being reclaimed.

        To be called after another hold on the target was released, because it may have overlapped
        such a cell.
        """
        for cell in self.cells_on_target(target):
            if cell.reclaiming:
                self._set_held(cell, True)

    # Reports

    def lost_guarantees(self) -> list[Guarantee]:
        """Guarantees without a cell, those that are hardest to place first."""
        self.refresh()
        return self._missing_guarantees()

    def cells_on_target(self, target: TargetId) -> list[Cell]:
        """Cells that have accelerators on a target."""
        return [self.cells[key] for key in sorted(self._by_target.get(target, ()))]

    def guarantees_needing(self, target: TargetId) -> list[Guarantee]:
        """Guarantees that do not fit into the domain without a target.

        For a target in service, these are the guarantees that would be lost if it left. For a
        withdrawn target, these are the lost guarantees that would fit again with it.
        """
        if target not in self._withdrawn:
            return self.guarantees_lost_without(target)
        missing = self.lost_guarantees()
        excluded = self._topology.excluded
        self._topology.set_excluded(excluded - {target})
        lost = self._find_unplannable(missing)
        self._topology.set_excluded(excluded)
        return [guarantee for guarantee in missing if guarantee not in lost]

    def guarantees_lost_without(self, target: TargetId) -> list[Guarantee]:
        """Guarantees that would lose their cell if a target left; the plan is not changed."""
        self.refresh()
        excluded = self._topology.excluded
        leaving = self.cells_on_target(target)
        if not leaving:
            return []
        self._topology.set_excluded(excluded | {target})
        lost = self._find_unplannable([cell.guarantee for cell in leaving])
        if lost:
            others = [
                cell for cell in self.cells.values() if cell.job is None and cell not in leaving
            ]
            self._set_planned(others, False)
            lost = self._find_unplannable([cell.guarantee for cell in (*leaving, *others)])
            self._set_planned(others, True)
        self._topology.set_excluded(excluded)
        return lost

    # Decisions

    def decide(self, job: Job, place: FindPlacements, gangs: GangTable) -> Decision:
        """Decide where a queued job starts.

        A job that fits an unused guarantee of its organisation gets that guarantee's cell, and the
        decision lists the borrowed work to preempt. Other jobs start outside the cells. If there is
        no space, a preemptible job may borrow planned cells; another job may start in them only if
        the cells that it displaces can be planned elsewhere.
        """
        self.refresh()
        cell = self._find_cell_for(job)
        if cell is not None:
            return self._decide_in_cell(job, cell, place, gangs)
        placements = self._find_outside_cells(job, place)
        if not placements and not job.may_borrow:
            placements = self._place_by_displacing_cells(job)
        return Decision(placements)

    def _find_outside_cells(self, job: Job, place: FindPlacements) -> Placements:
        """Place a job outside the cells or, if it may borrow, inside unused ones."""
        placements = place(job, SearchScope.UNRESERVED)
        if not placements and job.may_borrow:
            placements = place(job, SearchScope.FREE)
        return placements

    def has_cell_for(self, job: Job) -> bool:
        """Whether a job can start in an unused cell of its organisation or has claimed one."""
        return self._find_cell_for(job) is not None

    def start_use(self, job: JobId, key: CellKey, placements: Placements) -> None:
        """Mark the cell as used by a job that starts at `placements` inside it."""
        cell = self.cells[key]
        if cell.reclaiming:
            self._set_held(cell, False)
            cell.reclaiming = False
        cell.job = job
        cell.job_placements = placements
        self._by_job[job] = key

    def release_cell(self, job: JobId) -> None:
        """End a job's use of its cell, or its claim to a cell that is being reclaimed for it."""
        key = self._by_job.pop(job, None)
        if key is None:
            return
        cell = self.cells[key]
        if cell.reclaiming:
            self._set_held(cell, False)
            cell.reclaiming = False
        cell.job = None
        cell.job_placements = ()
        self.on_capacity_gained()
        is_withdrawn = any(placement.target in self._withdrawn for placement in cell.placements)
        if is_withdrawn or not _has_shape(cell.placements, cell.guarantee.shape):
            self._drop_and_replan(key)

    def cell_use(self, job: JobId) -> CellUse | None:
        """The cell that a job uses, as recorded in the log for the next owner of the domain."""
        key = self._by_job.get(job)
        return None if key is None else CellUse(key[1], self.cells[key].placements)

    def uses_cell(self, job: JobId) -> bool:
        """Whether a job runs in a cell, as opposed to waiting for one or having none."""
        key = self._by_job.get(job)
        return key is not None and not self.cells[key].reclaiming

    def relocate_cell(self, job: Job, gangs: GangTable) -> bool:
        """Plan a new cell for a running job before the job is stopped on a withdrawn target.

        The job reclaims the new cell as soon as it is queued again. Returns False if the cell does
        not fit on other targets, or if it has given up its spare accelerators.
        """
        cell = self.cells[self._by_job[job.id]]
        if not _has_shape(cell.placements, cell.guarantee.shape):
            return False
        best = self._least_costly_placements(job, cell, gangs)
        if self._is_excluded(best):
            return False
        self._move_cell(cell, best)
        cell.job_placements = ()
        cell.reclaiming = True
        self._set_held(cell, True)
        return True

    def end_use(self, job: JobId) -> None:
        """End the use of a cell when an attempt ends and its job is queued again.

        A cell that the job has claimed but does not use yet stays claimed.
        """
        if self.uses_cell(job):
            self.release_cell(job)

    def restore_cell(self, job: Job, use: CellUse, placements: Placements) -> bool:
        """Restore the cell of a job that an earlier owner started.

        If other work has taken accelerators of the cell in the meantime, the cell keeps only those
        that the job uses. Returns False if the guarantee has changed or another job uses it.
        """
        key = (job.organisation, use.index)
        guarantee = self._guarantees.get(key)
        if guarantee is None or not _has_shape(use.placements, guarantee.shape):
            return False
        cell = self.cells.get(key)
        if cell is not None and cell.job is not None and not cell.reclaiming:
            return False
        if cell is not None:
            self._drop_and_replan(key)
        kept = (
            use.placements if self._can_keep_whole_cell(use.placements, placements) else placements
        )
        for placement in kept:
            self.evict_unused_cells(placement.target, placement.mask)
        for other in self._overlapping_cells(kept):
            self._move_cell(other, other.job_placements)
        self._add_cell(Cell(guarantee, kept, job.id, job_placements=placements))
        self._by_job[job.id] = key
        return True

    def refresh(self) -> None:
        """Plan missing cells after a change; where that fails, also move other unused cells."""
        if not self._needs_refresh:
            return
        self._needs_refresh = False
        for guarantee in self._missing_guarantees():
            self._plan_cell(guarantee)
        if self._missing and self._replan_unused:
            self._replan_unused_cells()
            self._plan_on_spare_accelerators()
        self._replan_unused = False
        for key in self._missing - self._counted_as_lost:
            self._counters["guarantee_lost"] += 1
            self._counted_as_lost.add(key)
        self._counted_as_lost &= self._missing

    # Cells

    def _find_cell_for(self, job: Job) -> Cell | None:
        key = self._by_job.get(job.id)
        if key is not None:
            return self.cells[key]
        for guarantee in self._by_organisation.get(job.organisation, ()):
            cell = self.cells.get(cell_key(guarantee))
            if (
                cell is None
                or cell.job is not None
                or not fits_guarantee(job.shape, guarantee.shape)
            ):
                continue
            if place_in_cell(job.shape, cell.placements, self._topology):
                return cell
        return None

    def _decide_in_cell(
        self, job: Job, cell: Cell, place: FindPlacements, gangs: GangTable
    ) -> Decision:
        placements = self._place_on_free_accelerators(job, cell.placements)
        if placements:
            return Decision(placements, cell.key)
        best = cell.placements
        if not cell.reclaiming:
            best = self._least_costly_placements(job, cell, gangs)
            self._move_cell(cell, best)
            placements = self._place_on_free_accelerators(job, best)
            if placements:
                return Decision(placements, cell.key)
        victims = self._find_victims(job, best, gangs)
        # Preempting work of the same organisation gains nothing if the job can start elsewhere.
        if not cell.reclaiming and any(_is_own_work(gang, job) for gang in victims):
            placements = self._find_outside_cells(job, place)
            if placements:
                return Decision(placements)
        if self._is_excluded(best):
            return Decision()
        if not cell.reclaiming:
            cell.job = job.id
            cell.reclaiming = True
            self._by_job[job.id] = cell.key
            self._set_held(cell, True)
        return Decision((), cell.key, tuple(gang.job.id for gang in victims))

    def _place_on_free_accelerators(self, job: Job, cell: Placements) -> Placements:
        """Place a job on free accelerators of a cell, or return an empty tuple."""
        if self._is_excluded(cell):
            return ()
        workers = self._topology.workers
        free = tuple(
            Placement(place.part, place.target, place.mask & workers[place.target].free_mask)
            for place in cell
        )
        placements = place_in_cell(job.shape, free, self._topology)
        return placements if not self._targets_short_of_resources(job, placements) else ()

    def _targets_short_of_resources(self, job: Job, placements: Placements) -> list[TargetId]:
        """Targets of `placements` whose free cores or memory do not suffice for the job."""
        parts = Counter(placement.target for placement in placements)
        workers = self._topology.workers
        return [
            target
            for target, count in parts.items()
            if workers[target].cores_free < count * job.shape.cores
            or workers[target].memory_free_gb < count * job.shape.memory_gb
        ]

    def _least_costly_placements(self, job: Job, cell: Cell, gangs: GangTable) -> Placements:
        """The placements for the cell at which the least valuable work has to be preempted."""
        shape = cell.guarantee.shape
        choices = [cell.placements]
        choices += islice(
            iter_placements(shape, self._topology, SearchScope.UNRESERVED), MAX_COMPARED_CELLS
        )
        choices += islice(
            iter_placements(shape, self._topology, SearchScope.RECLAIMABLE), MAX_COMPARED_CELLS
        )
        costs = []
        for position, choice in enumerate(choices):
            usable = choice is cell.placements or self._has_proportional_resources(choice)
            if self._is_excluded(choice) or not usable:
                continue
            if not place_in_cell(job.shape, choice, self._topology):
                continue
            victims = self._find_victims(job, choice, gangs)
            preempted_keys = sorted((preemption_order(gang) for gang in victims), reverse=True)
            costs.append((preempted_keys, position))
        return choices[min(costs)[1]] if costs else cell.placements

    def _find_victims(self, job: Job, cell: Placements, gangs: GangTable) -> list[Gang]:
        """Borrowed work to preempt before a job can start in a cell, least valuable first."""
        if self._place_on_free_accelerators(job, cell):
            return []
        placements = place_in_cell(job.shape, cell, self._topology)
        victims: dict[JobId, Gang] = {}
        for placement in placements:
            for gang in gangs.on_target(placement.target):
                if not gang.protected and gang.mask_in_use(placement.target) & placement.mask:
                    victims[gang.job.id] = gang
        self._add_victims_for_resources(job, placements, victims, gangs)
        return sorted(victims.values(), key=preemption_order)

    def _add_victims_for_resources(
        self, job: Job, placements: Placements, victims: dict[JobId, Gang], gangs: GangTable
    ) -> None:
        """Add gangs to `victims` until the job's cores and memory fit on each of its targets.

        What the gangs in `victims` already free on a target is counted first.
        """
        parts = Counter(placement.target for placement in placements)
        for target in self._targets_short_of_resources(job, placements):
            worker = self._topology.workers[target]
            others = [gang for gang in gangs.on_target(target) if not gang.protected]
            others.sort(key=lambda gang: (gang.job.id not in victims, preemption_order(gang)))
            cores = parts[target] * job.shape.cores - worker.cores_free
            memory_gb = parts[target] * job.shape.memory_gb - worker.memory_free_gb
            for gang in others:
                if cores <= 0 and memory_gb <= 0:
                    break
                active = sum(1 for part in gang.parts_on(target) if part.state is None)
                cores -= active * gang.job.shape.cores
                memory_gb -= active * gang.job.shape.memory_gb
                victims[gang.job.id] = gang

    def _place_by_displacing_cells(self, job: Job) -> Placements:
        """Place a job that may not borrow by moving the unused cells that it overlaps."""
        found = iter_placements(job.shape, self._topology, SearchScope.FREE)
        for placements in list(islice(found, MAX_DISPLACEMENT_ATTEMPTS)):
            if self._try_displace_cells(job.shape, placements):
                return placements
        return ()

    def _try_displace_cells(self, shape: Shape, placements: Placements) -> bool:
        cells = self._overlapping_cells(placements)
        if any(cell.job is not None for cell in cells):
            return False
        saved = [(cell, cell.placements) for cell in cells]
        for cell in cells:
            self._remove_cell(cell)
        usage = (shape.cores, shape.memory_gb, True)
        for placement in placements:
            self._topology.allocate(placement.target, placement.mask, *usage)
        planned = self._replan_cells(cells) and self._has_headroom(placements)
        for placement in placements:
            self._topology.release(placement.target, placement.mask, *usage)
        if not planned:
            for cell, old in saved:
                if cell.key in self.cells:
                    self._remove_cell(cell)
                cell.placements = old
            for cell in cells:
                self._add_cell(cell)
        return planned

    def _replan_cells(self, cells: list[Cell]) -> bool:
        for cell in sorted(cells, key=lambda cell: _planning_order(cell.guarantee)):
            placements = next(
                iter_placements(cell.guarantee.shape, self._topology, SearchScope.RECLAIMABLE), ()
            )
            if not placements:
                return False
            cell.placements = placements
            self._add_cell(cell)
        return True

    def _overlapping_cells(self, placements: Placements) -> list[Cell]:
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
        return all(
            min(workers[place.target].available_resources(SearchScope.RECLAIMABLE)) >= 0
            for place in placements
        )

    def _has_proportional_resources(self, placements: Placements) -> bool:
        """Whether the workers have cores and memory in proportion to the placed accelerators."""
        accelerators: Counter[TargetId] = Counter()
        for placement in placements:
            accelerators[placement.target] += placement.mask.bit_count()
        for target, count in accelerators.items():
            worker = self._topology.workers[target]
            cores, memory_gb = worker.available_resources(SearchScope.RECLAIMABLE)
            need_cores, need_memory_gb = worker.proportional_resources(count)
            if cores < need_cores or memory_gb < need_memory_gb:
                return False
        return True

    def _can_keep_whole_cell(self, cell: Placements, used: Placements) -> bool:
        """Whether a restored cell overlaps no other protected work and no other used cell."""
        if any(other.job_placements for other in self._overlapping_cells(cell)):
            return False
        for placement in cell:
            own = 0
            for part in used:
                own |= part.mask if part.target == placement.target else 0
            if self._topology.workers[placement.target].protected_mask & placement.mask & ~own:
                return False
        return True

    def _is_excluded(self, placements: Placements) -> bool:
        return any(placement.target in self._topology.excluded for placement in placements)

    # Planning

    def _missing_guarantees(self) -> list[Guarantee]:
        return sorted((self._guarantees[key] for key in self._missing), key=_planning_order)

    def _plan_cell(self, guarantee: Guarantee) -> bool:
        placements = next(
            iter_placements(guarantee.shape, self._topology, SearchScope.RECLAIMABLE), ()
        )
        if placements:
            self._add_cell(Cell(guarantee, placements))
        return bool(placements)

    def _replan_unused_cells(self) -> None:
        """Replan all unused cells, the hardest to place first.

        The old plan is restored unless the new one leaves fewer guarantees without a cell.
        """
        unused = [cell for cell in self.cells.values() if cell.job is None]
        missing = len(self._missing)
        for cell in unused:
            self._remove_cell(cell)
            self._missing.add(cell.key)
        for guarantee in self._missing_guarantees():
            self._plan_cell(guarantee)
        if len(self._missing) < missing:
            return
        for cell in [cell for cell in self.cells.values() if cell.job is None]:
            self._remove_cell(cell)
            self._missing.add(cell.key)
        for cell in unused:
            self._add_cell(cell)

    def _plan_on_spare_accelerators(self) -> None:
        """Plan missing cells on accelerators of used cells that their jobs do not use."""
        if not self._missing:
            return
        whole_cells = [
            (cell, cell.placements)
            for cell in self.cells.values()
            if cell.job_placements and cell.job_placements != cell.placements
        ]
        for cell, _ in whole_cells:
            self._move_cell(cell, cell.job_placements)
        for guarantee in self._missing_guarantees():
            self._plan_cell(guarantee)
        for cell, placements in whole_cells:
            if self._overlapping_cells(placements) == [cell]:
                self._move_cell(cell, placements)

    def _find_unplannable(self, guarantees: list[Guarantee]) -> list[Guarantee]:
        """Return the guarantees that do not fit beside the present cells; changes nothing."""
        planned: list[Placement] = []
        lost = []
        for guarantee in sorted(guarantees, key=_planning_order):
            placements = next(
                iter_placements(guarantee.shape, self._topology, SearchScope.RECLAIMABLE), ()
            )
            if not placements:
                lost.append(guarantee)
            for placement in placements:
                self._topology.set_cell(placement.target, placement.mask, True)
                planned.append(placement)
        for placement in planned:
            self._topology.set_cell(placement.target, placement.mask, False)
        return lost

    def _request_replan(self) -> None:
        self._needs_refresh = True
        self._replan_unused = True

    def _drop_and_replan(self, key: CellKey) -> None:
        self._drop_cell(key)
        self._missing.add(key)
        self._request_replan()

    def _drop_cell(self, key: CellKey) -> None:
        cell = self.cells[key]
        if cell.reclaiming:
            self._set_held(cell, False)
        if cell.job is not None:
            self._by_job.pop(cell.job, None)
            if not cell.reclaiming:
                self.jobs_without_cell.append(cell.job)
        self._remove_cell(cell)

    def _move_cell(self, cell: Cell, placements: Placements) -> None:
        if placements != cell.placements:
            self._remove_cell(cell)
            cell.placements = placements
            self._add_cell(cell)

    def _add_cell(self, cell: Cell) -> None:
        self.cells[cell.key] = cell
        self._missing.discard(cell.key)
        self._set_planned([cell], True)
        for placement in cell.placements:
            self._by_target.setdefault(placement.target, set()).add(cell.key)

    def _remove_cell(self, cell: Cell) -> None:
        del self.cells[cell.key]
        self._set_planned([cell], False)
        for target in {placement.target for placement in cell.placements}:
            keys = self._by_target[target]
            keys.discard(cell.key)
            if not keys:
                del self._by_target[target]

    def _set_planned(self, cells: Iterable[Cell], planned: bool) -> None:
        for cell in cells:
            for placement in cell.placements:
                self._topology.set_cell(placement.target, placement.mask, planned)

    def _set_held(self, cell: Cell, held: bool) -> None:
        for placement in cell.placements:
            self._topology.set_held(placement.target, placement.mask, held)
