"""What the scheduler core asks about order: one object around queue, limits and quarantine."""

import random
from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from itertools import islice

from comfreyshelf.backfill import Backfill, Place, preemptible
from comfreyshelf.config import EMPTY_CONFIG, Config
from comfreyshelf.gangs import AttemptPhase, Gang
from comfreyshelf.ids import DomainId, JobId, OrganisationId, RackId, TargetId
from comfreyshelf.limits import QueueLimits, Retries
from comfreyshelf.model import AttemptOutcome, Job, PartState, Shape, Urgency, WorkerInfo
from comfreyshelf.placement import BestFit, Placements, leaves_enough_blocks
from comfreyshelf.quarantine import Quarantine
from comfreyshelf.queueing import JobQueue
from comfreyshelf.reasons import RefusalReason
from comfreyshelf.topology import SearchScope, Topology

# The fleet counts as known when no rack has grown for this long.
FLEET_SETTLED_S = 600.0
# A lost worker counts as known capacity for this long, because VMs restart.
LOST_REMEMBERED_S = 86_400.0
# A job that fits only on workers where it failed is tried again after this time.
AVOIDING_DELAY_S = 15.0
# Order changes with time only, so holds and full shapes are looked at again this often.
REVIEW_S = 5.0
# A forecast copies the topology several times, so room for late jobs is looked for this often.
LATE_INTERVAL_S = 5.0
# Other organisations wait this long before work of a flood is preempted for them, one job at a
# time, so that what becomes free by itself is used first.
FLOOD_WAIT_S = 5.0
FLOOD_INTERVAL_S = 1.0

# Work that cannot be preempted leaves this share of the accelerators to work that can, in blocks of
# URGENT_BLOCK outside planned cells. Otherwise urgent work that may not borrow finds nothing to
# preempt and waits for the end of a job.
URGENT_SHARE = 0.1
URGENT_BLOCK = 4
# Work that cannot be preempted of a flood above its fair share stays below this part of that share.
FLOOD_FIRM_SHARE = 0.25
# Other places that are tried for work that would break these rules at the tightest one.
PLACES_TRIED = 16

# A search for work to preempt visits every gang, so for work that is not urgent this time per gang
# passes between two searches.
SEARCH_S_PER_GANG = 1e-4

_NORMAL_RANK = Urgency.NORMAL.rank


class Fleet:
    """Known capacity of a domain, including workers that are away."""

    def __init__(self) -> None:
        self._known: dict[TargetId, WorkerInfo] = {}
        self._lost_at: dict[TargetId, float] = {}
        self._rack_now: Counter[RackId] = Counter()
        self._rack_most: dict[RackId, int] = {}
        self._grown_at: float | None = None
        self._fits: dict[Shape, bool] = {}

    def seen(self, info: WorkerInfo, now: float) -> None:
        """A worker joined. A replacement for a lost one is no growth, a larger rack is."""
        self._known[info.target] = info
        self._lost_at.pop(info.target, None)
        self._rack_now[info.rack] += info.accelerators
        if self._rack_now[info.rack] > self._rack_most.get(info.rack, 0):
            self._rack_most[info.rack] = self._rack_now[info.rack]
            self._grown_at = now
            self._fits.clear()

    def lost(self, target: TargetId, now: float) -> None:
        """A worker left."""
        info = self._known.get(target)
        if info is None or target in self._lost_at:
            return
        self._lost_at[target] = now
        self._rack_now[info.rack] -= info.accelerators
        for old, at in list(self._lost_at.items()):
            if now - at > LOST_REMEMBERED_S:
                del self._lost_at[old], self._known[old]

    def never_fits(self, shape: Shape, now: float) -> bool:
        """Whether a shape does not fit an empty fleet, and the fleet is known well enough."""
        if self._grown_at is None or now - self._grown_at < FLEET_SETTLED_S:
            return False
        if shape not in self._fits:
            empty = Topology()
            for info in self._known.values():
                empty.add(info)
            self._fits[shape] = bool(BestFit().place(shape, empty, SearchScope.UNRESERVED))
        return not self._fits[shape]


class Ordering:
    """Queue, estimates, limits, quarantine, retries and holds of one domain."""

    def __init__(self, domain: DomainId, queue: JobQueue, seed: int) -> None:
        rng = random.Random(seed)
        self.queue = queue
        self.quarantine = Quarantine(rng)
        self.fleet = Fleet()
        self._domain = domain
        self._config: Config = EMPTY_CONFIG
        self._limits = QueueLimits()
        self._retries = Retries(rng)
        self._backfill = Backfill(queue.estimates, self._overrides_holds)
        self._promised: Counter[OrganisationId] = Counter()
        self._fresh: dict[JobId, Job] = {}
        self._refused: set[JobId] = set()
        self._ran_before: set[JobId] = set()
        self._insisting: set[JobId] = set()
        self._reviewed_at = 0.0
        self._late_from = 0.0
        self._flood_from = 0.0
        self._search_from = 0.0
        self._workers = 0

    def _overrides_holds(self, job: Job) -> bool:
        """Urgent work takes held accelerators, but not in a flood: it would take all of them."""
        return self.queue.counts_as_urgent(job) and not self.queue.floods_urgent(job.organisation)

    # Configuration and workers

    def configure(self, config: Config) -> None:
        """A newer configuration is in force."""
        self._config = config
        self.queue.config = config
        self._promised = Counter()
        for guarantee in config.domain_guarantees(self._domain):
            self._promised[guarantee.organisation] += guarantee.shape.total_accelerators
        self.queue.room_changed()

    def worker_added(self, info: WorkerInfo, now: float) -> None:
        """A worker joined."""
        self.fleet.seen(info, now)
        self._count_capacity(info, 1)
        self.queue.room_changed()

    def worker_lost(self, info: WorkerInfo, now: float) -> None:
        """A worker left."""
        self.fleet.lost(info.target, now)
        self.quarantine.forget_worker(info.target)
        self._count_capacity(info, -1)

    def _count_capacity(self, info: WorkerInfo, sign: int) -> None:
        self._workers += sign
        capacity = self.queue.capacity
        capacity.accelerators += sign * info.accelerators
        capacity.cores += sign * info.cores
        capacity.memory_gb += sign * info.memory_gb

    # Jobs

    def knows(self, job: JobId) -> bool:
        """Whether a job is queued, or its refusal is on its way to the log."""
        return job in self.queue or job in self._refused

    def queued(self, job: Job, fresh: bool) -> Job | None:
        """Queue a job; returns the job to shed if this exceeds a limit.

        `fresh` jobs never had an attempt, so only they can be refused as "not run".
        """
        self.queue.push(job)
        self._limits.added(job)
        if fresh:
            self._fresh[job.id] = job
        if not self._limits.exceeded(job, self._config):
            return None
        return self._limits.choose_victim(job, self._fresh.values(), self._config)

    def refused(self, job: Job) -> None:
        """A refusal of a queued job was sent to the log."""
        self._left(job)
        self._refused.add(job.id)

    def closed(self, job: JobId) -> None:
        """The log shows that a job ended."""
        known = self.queue.remove(job)
        if known is not None:
            self._left(known)
        self._refused.discard(job)
        self._backfill.forget(job)
        self._ran_before.discard(job)
        self._insisting.discard(job)
        self._retries.forget(job)
        self.quarantine.forget_job(job)

    def started(self, job: Job) -> None:
        """An attempt took its accelerators."""
        self._left(job)
        self._retries.started(job, self._config)
        self.queue.started(job)

    def resumed(self, job: Job) -> None:
        """After a takeover: an attempt of an earlier owner holds its accelerators."""
        self._ran_before.add(job.id)
        self.queue.started(job)

    def _left(self, job: Job) -> None:
        self.queue.remove(job.id)
        self._limits.removed(job)
        self._fresh.pop(job.id, None)
        self._backfill.drop(job.id)

    # Attempts

    def ended(self, gang: Gang) -> None:
        """An attempt gave its accelerators back."""
        self.queue.ended(gang.job)
        self.queue.room_changed()

    def part_ended(self, gang: Gang, target: TargetId, state: PartState, now: float) -> bool:
        """Learn from a part; returns whether its worker enters quarantine."""
        if state is not PartState.FAILED:
            return False
        return self.quarantine.failed(gang.job.id, target, self._workers, now)

    def finished(self, gang: Gang, run_s: float) -> None:
        """Learn from a gang that finished whole; run times of resumed jobs are not whole."""
        self.quarantine.finished(gang.job.id, gang.targets)
        if gang.job.id not in self._ran_before and run_s > 0:
            self.queue.estimates.finished(gang.job, run_s)

    def usage_seen(self, gang: Gang, busy: float, now: float) -> None:
        """Learn from a running part that is still busy."""
        if gang.phase is AttemptPhase.RUNNING and busy > 0 and gang.job.id not in self._ran_before:
            self.queue.estimates.still_running(gang.job, now - gang.phase_started_at)

    def requeue(self, gang: Gang, outcome: AttemptOutcome, now: float) -> RefusalReason | None:
        """Queue a job again after an attempt, or return why it is refused instead."""
        job = gang.job
        if outcome is not AttemptOutcome.NEVER_STARTED:
            self._ran_before.add(job.id)
        self._insisting.discard(job.id)
        self._limits.added(job)
        if outcome is not AttemptOutcome.FAILED:
            self.queue.push(job)
            return None
        if self.quarantine.fails_everywhere(job.id, self._workers):
            return RefusalReason.FAILS_EVERYWHERE
        self.queue.push(job, now + self._retries.delay_s(job))
        return None

    # Placement

    def avoided(self, job: Job, now: float) -> frozenset[TargetId]:
        """Workers to keep a job off because it failed there.

        A job without room elsewhere waits AVOIDING_DELAY_S, and then may use them again.
        """
        if job.id in self._insisting:
            return frozenset()
        return self.quarantine.avoided(job.id, now)

    def may_start(self, job: Job, placements: Placements, topology: Topology) -> bool:
        """Whether work that cannot be preempted leaves enough that can be reclaimed.

        A flood above its fair share adds such work only to workers that run some already, so that
        wide gangs of others find whole workers to reclaim.
        """
        if job.may_borrow or not self.queue.reserves or self.queue.counts_as_urgent(job):
            return True
        organisation = job.organisation
        if self.queue.flooding(organisation) and self.queue.organisation_share(organisation) > 1.0:
            fair = self.queue.fair_accelerators(organisation)
            if (
                self.queue.firm[organisation] + job.shape.total_accelerators
                > FLOOD_FIRM_SHARE * fair
            ):
                return False
            if not all(topology.workers[place.target].protected for place in placements):
                return False
        least = int(URGENT_SHARE * self.queue.capacity.accelerators / URGENT_BLOCK)
        return leaves_enough_blocks(placements, topology, URGENT_BLOCK, least)

    def choose(self, job: Job, found: Iterable[Placements], topology: Topology) -> Placements:
        """The first of some places at which a job may start, or an empty tuple."""
        for placements in islice(found, PLACES_TRIED):
            if self.may_start(job, placements, topology):
                return placements
        return ()

    def tick(self, now: float) -> list[TargetId]:
        """Time passed; returns the workers to probe."""
        self.queue.release(now)
        self._backfill.expire(now)
        if now - self._reviewed_at >= REVIEW_S:
            self._reviewed_at = now
            self.queue.room_changed()
        return self.quarantine.due_probes(now)

    @contextmanager
    def holding(self, job: Job, topology: Topology, now: float) -> Iterator[None]:
        """Within the context, accelerators that are held against a job are not free."""
        with self._backfill.holding(job, topology, now):
            yield

    def blocked(
        self, job: Job, topology: Topology, gangs: Iterable[Gang], place: Place, now: float
    ) -> list[Gang]:
        """A job found no room; returns the gangs to preempt for it."""
        if self.avoided(job, now):
            self._insisting.add(job.id)
            self.queue.remove(job.id)
            self.queue.push(job, now + AVOIDING_DELAY_S)
            return []
        self.queue.no_room(job)
        if not self.queue.reserves:
            return []
        urgent = self.queue.counts_as_urgent(job)
        if self._backfill.is_making_room(job.id) or (now < self._search_from and not urgent):
            return []
        gangs = list(gangs)
        if not urgent:
            self._search_from = now + SEARCH_S_PER_GANG * len(gangs)
        if urgent:
            victims = self._below(job, gangs, job.urgency.rank + 1)
        else:
            victims = self._victims(job, topology, gangs, place, now)
        if not victims and not urgent:
            return []
        chosen = self._backfill.make_room(job, topology, victims, place, now)
        if not chosen and urgent and not self.queue.floods_urgent(job.organisation):
            victims = self._below(job, gangs, job.urgency.rank + 1, beyond_guarantees=False)
            chosen = self._backfill.make_room(job, topology, victims, place, now)
        return chosen

    def _victims(
        self, job: Job, topology: Topology, gangs: list[Gang], place: Place, now: float
    ) -> list[Gang]:
        """What a job that is not urgent may preempt: a flood's work or, if late, longer work."""
        fair = self.queue.organisation_share(job.organisation) <= 1.0
        if fair and not self.queue.flooding(job.organisation):
            floods = {
                name for name, used in self.queue.used.items() if used and self.queue.flooding(name)
            }
            flood = [gang for gang in gangs if gang.job.organisation in floods] if floods else []
            if flood:
                holder = self._backfill.reserved_for
                if holder is not None and self.queue.flooding(holder.organisation):
                    self._backfill.drop(holder.id)
                self._backfill.reserve(job, topology, gangs, place, now, patient=False)
                return self._flooded(job, flood, now)
        self._backfill.reserve(job, topology, gangs, place, now)
        if now < self._late_from or not self._backfill.late(job, now):
            return []
        self._late_from = now + LATE_INTERVAL_S
        candidates = self._below(job, gangs, min(job.urgency.rank, _NORMAL_RANK))
        return self._backfill.longer(job, candidates, now)

    def _below(
        self, job: Job, gangs: list[Gang], least_rank: int, beyond_guarantees: bool = True
    ) -> list[Gang]:
        """Preemptible work; a flood preempts only work of organisations above their share.

        A gang wider than what its organisation runs beyond its guarantees is taken only for urgent
        work that finds nothing else. It uses no cell, so the guarantee itself is kept.
        """
        share = self.queue.organisation_share
        urgent = job.urgency is Urgency.URGENT
        floods = self.queue.floods_urgent if urgent else self.queue.flooding
        if floods(job.organisation):
            gangs = [gang for gang in gangs if share(gang.job.organisation) > 1.0]
        used = self.queue.used
        promised = self._promised if beyond_guarantees else {}
        return preemptible(gangs, job.organisation, used, promised, share, least_rank)

    def _flooded(self, job: Job, flood: list[Gang], now: float) -> list[Gang]:
        """Work that an organisation above its fair share runs beyond its guarantees.

        In a flood of urgent work this includes urgent gangs. It may fall below its fair share for
        a moment: a wide gang needs whole workers, and what is stopped there starts again on the
        accelerators that the gang could not use.
        """
        if now < self._flood_from or now - job.accepted_at < FLOOD_WAIT_S:
            return []
        self._flood_from = now + FLOOD_INTERVAL_S
        share = self.queue.organisation_share
        over = [gang for gang in flood if share(gang.job.organisation) > 1.0]
        return preemptible(over, job.organisation, self.queue.used, self._promised, share, 0)
