"""Moves gangs off targets that are drained, and tells what keeps such a target in service."""

from collections import Counter
from collections.abc import Iterable, Mapping

from comfreyshelf.config import Config
from comfreyshelf.gangs import AttemptPhase, Gang, GangTable
from comfreyshelf.guarantees import CellPlan
from comfreyshelf.holders import (
    AnyHolder,
    DrainView,
    HeldByGuarantee,
    HeldByJob,
    HeldByRequests,
    HeldByResult,
    HeldByService,
)
from comfreyshelf.ids import JobId, ServiceId, TargetId
from comfreyshelf.messages import RunnerLoad
from comfreyshelf.model import HeldPart, Job, PartState
from comfreyshelf.placement import Placements, Placer
from comfreyshelf.topology import SearchScope, Topology

# Gangs that one pass considers, so that scrapping many targets does not delay other decisions.
MAX_GANGS_PER_PASS = 64


class Drain:
    """Moves preemptible gangs off leaving targets, each once it can be placed elsewhere.

    The accelerators chosen for a moving gang are held until the gang starts there. A gang that uses
    a guarantee first gets a new cell, so the guarantees of an organisation leave a target one at a
    time and never without a replacement. A gang that cannot be placed elsewhere finishes where it
    is.
    """

    def __init__(self, topology: Topology, plan: CellPlan, gangs: GangTable) -> None:
        self._topology = topology
        self._plan = plan
        self._gangs = gangs
        self._held_placements: dict[JobId, Placements] = {}
        self._next_index = 0

    def select_gangs_to_move(self, leaving: Iterable[TargetId], placer: Placer) -> list[Gang]:
        """Choose gangs to checkpoint and stop now; the topology must exclude the `leaving` targets.

        Accelerators elsewhere are held for each chosen gang.
        """
        movable = {
            gang.job.id: gang
            for target in sorted(leaving)
            for gang in self._gangs.on_target(target)
            if gang.phase is AttemptPhase.RUNNING and gang.job.preemptible
        }
        jobs = list(movable)
        first = self._next_index % max(1, len(jobs))
        self._next_index = first + MAX_GANGS_PER_PASS
        batch = (jobs[first:] + jobs[:first])[:MAX_GANGS_PER_PASS]
        return [movable[job] for job in batch if self._prepare_move(movable[job], placer)]

    def take_held_placements(self, job: Job) -> Placements:
        """Release the placements held for a job and return them.

        Returns an empty tuple if none were held or if the job can no longer start there.
        """
        placements = self._held_placements.get(job.id, ())
        self.release_hold(job.id)
        parts = Counter(placement.target for placement in placements)
        for placement in placements:
            worker = self._topology.workers.get(placement.target)
            if worker is None or worker.excluded or placement.mask & ~worker.free_mask:
                return ()
            count = parts[placement.target]
            cores, memory_gb = worker.available_resources(SearchScope.FREE)
            if cores < count * job.shape.cores or memory_gb < count * job.shape.memory_gb:
                return ()
        return placements

    def release_hold(self, job: JobId) -> None:
        """Release the accelerators held for a job, except those that a reclaimed cell holds too."""
        for placement in self._held_placements.pop(job, ()):
            self._topology.set_held(placement.target, placement.mask, False)
            self._plan.restore_cell_holds(placement.target)

    def _prepare_move(self, gang: Gang, placer: Placer) -> bool:
        if any(part.state is not None for part in gang.parts):
            return False
        if self._plan.uses_cell(gang.job.id):
            return self._plan.relocate_cell(gang.job, self._gangs)
        placements = placer.place(gang.job.shape, self._topology, SearchScope.UNRESERVED)
        if not placements:
            return False
        self._held_placements[gang.job.id] = placements
        for placement in placements:
            self._topology.set_held(placement.target, placement.mask, True)
        return True


def explain_drain(
    target: TargetId,
    config: Config,
    parts: Iterable[HeldPart],
    runners: Mapping[TargetId, Iterable[RunnerLoad]],
    gangs: GangTable,
    plan: CellPlan,
) -> DrainView:
    """List what keeps a target in service.

    `parts` are those of the target's newest status; `runners` are the loads of all targets.
    """
    holders: list[AnyHolder] = []
    holders += _job_holders(target, gangs)
    holders += _result_holders(parts)
    holders += _request_holders(runners.get(target, ()))
    holders += [
        HeldByGuarantee(item.organisation, item.shape) for item in plan.guarantees_needing(target)
    ]
    holders += _service_holders(target, config, runners)
    return DrainView(target, target in config.scrapped, tuple(holders))


def _job_holders(target: TargetId, gangs: GangTable) -> list[HeldByJob]:
    holders = []
    for gang in gangs.on_target(target):
        active = sum(1 for part in gang.parts_on(target) if part.state is None)
        if active:
            stopping = gang.phase is AttemptPhase.STOPPING
            job = gang.job
            holders.append(HeldByJob(job.id, job.organisation, active, job.preemptible, stopping))
    return holders


def _result_holders(parts: Iterable[HeldPart]) -> list[HeldByResult]:
    counts: dict[JobId, int] = {}
    for part in parts:
        if part.state is PartState.FINISHED:
            counts[part.job] = counts.get(part.job, 0) + 1
    return [HeldByResult(job, count) for job, count in counts.items()]


def _request_holders(loads: Iterable[RunnerLoad]) -> list[HeldByRequests]:
    return [
        HeldByRequests(ServiceId(load.service), load.running, load.waiting)
        for load in loads
        if load.running or load.waiting
    ]


def _service_holders(
    target: TargetId, config: Config, runners: Mapping[TargetId, Iterable[RunnerLoad]]
) -> list[HeldByService]:
    services_elsewhere = {
        load.service
        for other, loads in runners.items()
        if other != target and other not in config.scrapped
        for load in loads
        if load.healthy
    }
    holders = []
    for load in runners.get(target, ()):
        dependents = tuple(
            service.id for service in config.services.values() if load.service in service.depends
        )
        if dependents and load.healthy and load.service not in services_elsewhere:
            holders.append(HeldByService(ServiceId(load.service), dependents))
    return holders
