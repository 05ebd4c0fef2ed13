"""Scheduling policy: which queued jobs may start, wait, be refused, or preempt other work."""

import random
from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from itertools import islice

from comfreyshelf.backfill import Backfill, PlaceFunction, preemptible_gangs
from comfreyshelf.config import EMPTY_CONFIG, Config
from comfreyshelf.gangs import AttemptPhase, Gang
from comfreyshelf.ids import DomainId, JobId, OrganisationId, RackId, TargetId
from comfreyshelf.limits import QueueLimits, RetryBackoff
from comfreyshelf.model import AttemptOutcome, Job, PartState, Shape, Urgency, WorkerInfo
from comfreyshelf.placement import BestFit, Placements, leaves_enough_blocks
from comfreyshelf.quarantine import Quarantine
from comfreyshelf.queueing import JobQueue
from comfreyshelf.reasons import RefusalReason
from comfreyshelf.topology import SearchScope, Topology

# A job may be refused because it never fits only when no rack has grown for this long. Before that,
# workers may still be joining.
CAPACITY_SETTLED_S = 600.0
# A lost worker still counts as capacity for this long, because its VM may restart.
LOST_WORKER_RETENTION_S = 86_400.0
# A job that fits only on workers where it failed recently may use them again after this time.
AVOIDED_RETRY_DELAY_S = 15.0
# A worker that is lost this soon after a gang has started there may have been crashed by it.
YOUNG_ATTEMPT_S = 2.0
# Blocked jobs are offered again this often even if no accelerators became free, because the order
# of the queue also changes with time.
UNBLOCK_INTERVAL_S = 5.0
# The search for work to preempt for a late job changes and restores the topology several times, so
# it runs at most this often.
LATE_SEARCH_INTERVAL_S = 5.0
# A job of another organisation waits this long before jobs of a flooding organisation are preempted
# for it, one waiting job per interval, so that accelerators that become free anyway are used first.
FLOOD_PREEMPT_AFTER_S = 5.0
FLOOD_PREEMPT_INTERVAL_S = 1.0

# Jobs that cannot be preempted leave this share of the accelerators to jobs that can, in blocks of
# RECLAIMABLE_BLOCK accelerators outside planned cells. Otherwise an urgent job that may not borrow
# would find nothing to preempt and would wait for a running job to end.
RECLAIMABLE_SHARE = 0.1
RECLAIMABLE_BLOCK = 4
# An organisation that floods the queue while above its fair share may use at most this fraction of
# the fair share for jobs that cannot be preempted.
FLOOD_NON_PREEMPTIBLE_SHARE = 0.25
# Further placements tried for a job whose tightest placement breaks one of the two rules above.
MAX_ALTERNATIVES = 16

# A search for gangs to preempt visits every running gang. Searches for jobs that are not urgent are
# therefore apart by at least this time, multiplied by the number of gangs.
PREEMPTION_SEARCH_INTERVAL_PER_GANG_S = 1e-4

_NORMAL_RANK = Urgency.NORMAL.rank


class KnownWorkers:
    """Known capacity of a domain, including workers that were lost recently."""

    def __init__(self) -> None:
        self._known: dict[TargetId, WorkerInfo] = {}
        self._lost_at: dict[TargetId, float] = {}
        self._rack_accelerators: Counter[RackId] = Counter()
        self._rack_peak: dict[RackId, int] = {}
        self._grown_at: float | None = None
        self._fits_when_empty: dict[Shape, bool] = {}

    def add_worker(self, info: WorkerInfo, now: float) -> None:
        """Add a worker; its rack has grown only if it exceeds its largest size so far."""
        self._known[info.target] = info
        self._lost_at.pop(info.target, None)
        self._rack_accelerators[info.rack] += info.accelerators
        if self._rack_accelerators[info.rack] > self._rack_peak.get(info.rack, 0):
            self._rack_peak[info.rack] = self._rack_accelerators[info.rack]
            self._grown_at = now
            self._fits_when_empty.clear()

    def remove_worker(self, target: TargetId, now: float) -> None:
        """Mark a worker as lost, and forget those that were lost too long ago."""
        info = self._known.get(target)
        if info is None or target in self._lost_at:
            return
        self._lost_at[target] = now
        self._rack_accelerators[info.rack] -= info.accelerators
        for old_target, lost_at in list(self._lost_at.items()):
            if now - lost_at > LOST_WORKER_RETENTION_S:
                del self._lost_at[old_target], self._known[old_target]

    def never_fits(self, shape: Shape, now: float) -> bool:
        """Whether a shape would not fit even if all known workers were free.

        Returns False while the capacity may still grow.
        """
        if self._grown_at is None or now - self._grown_at < CAPACITY_SETTLED_S:
            return False
        if shape not in self._fits_when_empty:
            empty_topology = Topology()
            for info in self._known.values():
                empty_topology.add(info)
            self._fits_when_empty[shape] = bool(
                BestFit().place(shape, empty_topology, SearchScope.UNRESERVED)
            )
        return not self._fits_when_empty[shape]


class SchedulingPolicy:
    """Combines the queue, estimates, limits, quarantine, retries and holds of one domain.

    The scheduler reports what happens to jobs and workers, and asks which jobs may start where.
    """

    def __init__(self, domain: DomainId, queue: JobQueue, seed: int) -> None:
        rng = random.Random(seed)
        self.queue = queue
        self.quarantine = Quarantine(rng)
        self.known_workers = KnownWorkers()
        self._domain = domain
        self._config: Config = EMPTY_CONFIG
        self._limits = QueueLimits()
        self._retries = RetryBackoff(rng)
        self._backfill = Backfill(queue.estimates, self._overrides_holds)
        self._guaranteed: Counter[OrganisationId] = Counter()
        self._never_started: dict[JobId, Job] = {}
        self._pending_refusals: set[JobId] = set()
        self._ran_before: set[JobId] = set()
        self._ignoring_avoidance: set[JobId] = set()
        self._unblocked_at = 0.0
        self._next_late_search_at = 0.0
        self._next_flood_preemption_at = 0.0
        self._next_preemption_search_at = 0.0
        self._worker_count = 0

    def _overrides_holds(self, job: Job) -> bool:
        """Whether an urgent job may use accelerators that are held for jobs that are not urgent.

        Jobs of an organisation that floods the queue with urgent work may not, since they would use
        all held accelerators.
        """
        return self.queue.counts_as_urgent(job) and not self.queue.is_flooding_urgent(
            job.organisation
        )

    # Configuration and workers

    def configure(self, config: Config) -> None:
        """Apply a newer configuration."""
        self._config = config
        self.queue.config = config
        self._guaranteed = Counter()
        for guarantee in config.domain_guarantees(self._domain):
            self._guaranteed[guarantee.organisation] += guarantee.shape.total_accelerators
        self.queue.clear_blocked()

    def add_worker(self, info: WorkerInfo, now: float) -> None:
        """Count the capacity of a new worker."""
        self.known_workers.add_worker(info, now)
        self._adjust_capacity(info, 1)
        self.queue.clear_blocked()

    def remove_worker(self, info: WorkerInfo, now: float) -> None:
        """Stop counting the capacity of a lost worker."""
        self.known_workers.remove_worker(info.target, now)
        self.quarantine.forget_worker(info.target)
        self._adjust_capacity(info, -1)

    def _adjust_capacity(self, info: WorkerInfo, sign: int) -> None:
        self._worker_count += sign
        capacity = self.queue.capacity
        capacity.accelerators += sign * info.accelerators
        capacity.cores += sign * info.cores
        capacity.memory_gb += sign * info.memory_gb

    # Jobs

    def has_job(self, job: JobId) -> bool:
        """Whether a job is queued, or its refusal was sent to the log but not confirmed."""
        return job in self.queue or job in self._pending_refusals

    def enqueue(self, job: Job, never_started: bool) -> Job | None:
        """Queue a job; returns a queued job to shed if this exceeds a limit.

        `never_started` tells that the job has had no attempt; only such jobs can be refused as
        "not run".
        """
        self.queue.push(job)
        self._limits.add(job)
        if never_started:
            self._never_started[job.id] = job
        if not self._limits.is_exceeded(job, self._config):
            return None
        return self._limits.choose_job_to_shed(job, self._never_started.values(), self._config)

    def mark_refused(self, job: Job) -> None:
        """Remove a queued job whose refusal was sent to the log but is not yet confirmed."""
        self._remove_queued(job)
        self._pending_refusals.add(job.id)

    def close_job(self, job: JobId) -> None:
        """Forget a job that has ended according to the log."""
        known = self.queue.remove(job)
        if known is not None:
            self._remove_queued(known)
        self._pending_refusals.discard(job)
        self._backfill.forget_job(job)
        self._ran_before.discard(job)
        self._ignoring_avoidance.discard(job)
        self._retries.forget(job)
        self.quarantine.forget_job(job)

    def record_start(self, job: Job) -> None:
        """Remove a job from the queue and count the accelerators of its new attempt as used."""
        self._remove_queued(job)
        self._retries.add_retry_tokens(job, self._config)
        self.queue.add_usage(job)

    def record_resume(self, job: Job) -> None:
        """Count the accelerators of an attempt that an earlier owner started as used."""
        self._ran_before.add(job.id)
        self.queue.add_usage(job)

    def _remove_queued(self, job: Job) -> None:
        self.queue.remove(job.id)
        self._limits.remove(job)
        self._never_started.pop(job.id, None)
        self._backfill.drop_hold(job.id)

    # Attempts

    def record_end(self, gang: Gang) -> None:
        """Stop counting the accelerators of an ended attempt as used."""
        self.queue.remove_usage(gang.job)
        self.queue.clear_blocked()

    def record_part_end(self, gang: Gang, target: TargetId, state: PartState, now: float) -> bool:
        """Record a failure of a part; returns whether its worker enters quarantine.

        Parts that did not fail change nothing.
        """
        if state is not PartState.FAILED:
            return False
        return self.quarantine.record_failure(gang.job.id, target, self._worker_count, now)

    def record_lost_worker(self, gang: Gang, target: TargetId, now: float) -> None:
        """Count a worker that was lost right after a gang started there as a failure of the job."""
        is_young = now - gang.phase_started_at <= YOUNG_ATTEMPT_S
        if gang.phase is AttemptPhase.RUNNING and is_young:
            self.quarantine.record_failure(gang.job.id, target, self._worker_count, now)

    def record_finish(self, gang: Gang, run_s: float) -> None:
        """Record the success of a finished gang, and its run time if it had no earlier attempt."""
        self.quarantine.record_success(gang.job.id, gang.targets)
        if gang.job.id not in self._ran_before and run_s > 0:
            self.queue.estimates.record_run(gang.job, run_s)

    def record_usage(self, gang: Gang, busy: float, now: float) -> None:
        """Update the run time estimate of a gang of which a part is still busy."""
        if gang.phase is AttemptPhase.RUNNING and busy > 0 and gang.job.id not in self._ran_before:
            self.queue.estimates.record_elapsed(gang.job, now - gang.phase_started_at)

    def requeue(self, gang: Gang, outcome: AttemptOutcome, now: float) -> RefusalReason | None:
        """Queue a job again after an attempt, or return why it is refused instead."""
        job = gang.job
        if outcome is not AttemptOutcome.NEVER_STARTED:
            self._ran_before.add(job.id)
        self._ignoring_avoidance.discard(job.id)
        self._limits.add(job)
        may_be_at_fault = outcome in (AttemptOutcome.FAILED, AttemptOutcome.TARGET_LOST)
        if may_be_at_fault and self.quarantine.fails_everywhere(job.id, self._worker_count):
            return RefusalReason.FAILS_EVERYWHERE
        if outcome is not AttemptOutcome.FAILED:
            self.queue.push(job)
            return None
        self.queue.push(job, now + self._retries.next_delay_s(job))
        return None

    # Placement

    def avoided_targets(self, job: Job, now: float) -> frozenset[TargetId]:
        """Workers that must not run a job because it failed there recently.

        A job that fits on no other worker waits AVOIDED_RETRY_DELAY_S and may then use them again.
        """
        if job.id in self._ignoring_avoidance:
            return frozenset()
        return self.quarantine.avoided_targets(job.id, now)

    def may_start(self, job: Job, placements: Placements, topology: Topology) -> bool:
        """Whether starting a job that cannot be preempted leaves enough reclaimable accelerators.

        An organisation that floods the queue while above its fair share may start such jobs only on
        workers that already run some, so that wide gangs of others find whole workers to reclaim.
        """
        if (
            job.may_borrow
            or not self.queue.supports_reservations
            or self.queue.counts_as_urgent(job)
        ):
            return True
        organisation = job.organisation
        if self.queue.is_flooding(organisation) and self.queue.fair_share_ratio(organisation) > 1.0:
            fair = self.queue.fair_accelerators(organisation)
            if (
                self.queue.non_preemptible_accelerators[organisation] + job.shape.total_accelerators
                > FLOOD_NON_PREEMPTIBLE_SHARE * fair
            ):
                return False
            if not all(topology.workers[place.target].protected_mask for place in placements):
                return False
        min_blocks = int(RECLAIMABLE_SHARE * self.queue.capacity.accelerators / RECLAIMABLE_BLOCK)
        return leaves_enough_blocks(placements, topology, RECLAIMABLE_BLOCK, min_blocks)

    def first_allowed(
        self, job: Job, found: Iterable[Placements], topology: Topology
    ) -> Placements:
        """The first of up to MAX_ALTERNATIVES placements that `may_start` allows, or ()."""
        for placements in islice(found, MAX_ALTERNATIVES):
            if self.may_start(job, placements, topology):
                return placements
        return ()

    def tick(self, now: float) -> list[TargetId]:
        """Release delayed jobs and expired holds; returns the quarantined workers to probe."""
        self.queue.release_delayed(now)
        self._backfill.expire(now)
        if now - self._unblocked_at >= UNBLOCK_INTERVAL_S:
            self._unblocked_at = now
            self.queue.clear_blocked()
        return self.quarantine.due_probes(now)

    @contextmanager
    def excluding_holds(self, job: Job, topology: Topology, now: float) -> Iterator[None]:
        """Within the context, accelerators that are held and that `job` must not use count as used.

        See `Backfill.excluding_holds`.
        """
        with self._backfill.excluding_holds(job, topology, now):
            yield

    def handle_blocked(
        self, job: Job, topology: Topology, gangs: Iterable[Gang], place: PlaceFunction, now: float
    ) -> list[Gang]:
        """Block or delay a job that could not be placed; returns the gangs to preempt for it."""
        if self.avoided_targets(job, now):
            self._ignoring_avoidance.add(job.id)
            self.queue.remove(job.id)
            self.queue.push(job, now + AVOIDED_RETRY_DELAY_S)
            return []
        self.queue.mark_blocked(job)
        if not self.queue.supports_reservations:
            return []
        urgent = self.queue.counts_as_urgent(job)
        if self._backfill.is_preempting_for(job.id) or (
            now < self._next_preemption_search_at and not urgent
        ):
            return []
        gangs = list(gangs)
        if not urgent:
            self._next_preemption_search_at = now + PREEMPTION_SEARCH_INTERVAL_PER_GANG_S * len(
                gangs
            )
        if urgent:
            victims = self._preemptible_gangs(job, gangs, job.urgency.rank + 1)
        else:
            victims = self._preemption_candidates(job, topology, gangs, place, now)
        if not victims and not urgent:
            return []
        chosen = self._backfill.plan_preemption(job, topology, victims, place, now)
        if not chosen and urgent and not self.queue.is_flooding_urgent(job.organisation):
            victims = self._preemptible_gangs(
                job, gangs, job.urgency.rank + 1, spare_guarantees=False
            )
            chosen = self._backfill.plan_preemption(job, topology, victims, place, now)
        return chosen

    def _preemption_candidates(
        self, job: Job, topology: Topology, gangs: list[Gang], place: PlaceFunction, now: float
    ) -> list[Gang]:
        """Reserve accelerators for a job that is not urgent, and list the gangs it may preempt.

        While other organisations flood the queue, these are gangs of those organisations. Otherwise
        a job that is late may preempt gangs that are expected to run much longer than the job.
        """
        is_within_share = self.queue.fair_share_ratio(job.organisation) <= 1.0
        if is_within_share and not self.queue.is_flooding(job.organisation):
            floods = {
                name
                for name, used in self.queue.used_accelerators.items()
                if used and self.queue.is_flooding(name)
            }
            flood = [gang for gang in gangs if gang.job.organisation in floods] if floods else []
            if flood:
                reserved_job = self._backfill.reserved_for
                if reserved_job is not None and self.queue.is_flooding(reserved_job.organisation):
                    self._backfill.drop_hold(reserved_job.id)
                self._backfill.reserve(job, topology, gangs, place, now, require_wait=False)
                return self._flood_candidates(job, flood, now)
        self._backfill.reserve(job, topology, gangs, place, now)
        if now < self._next_late_search_at or not self._backfill.is_late(job, now):
            return []
        self._next_late_search_at = now + LATE_SEARCH_INTERVAL_S
        candidates = self._preemptible_gangs(job, gangs, min(job.urgency.rank, _NORMAL_RANK))
        return self._backfill.longer_gangs(job, candidates, now)

    def _preemptible_gangs(
        self, job: Job, gangs: list[Gang], min_rank: int, spare_guarantees: bool = True
    ) -> list[Gang]:
        """Gangs of at least `min_rank` that a job may preempt.

        A flooding organisation may preempt only gangs of organisations above their fair share. With
        `spare_guarantees`, an organisation keeps as many accelerators as it is guaranteed. It is
        False only for an urgent job that finds nothing else to preempt. No guarantee is broken even
        then, because gangs that use a cell are never preempted.
        """
        share = self.queue.fair_share_ratio
        urgent = job.urgency is Urgency.URGENT
        is_flooding = self.queue.is_flooding_urgent if urgent else self.queue.is_flooding
        if is_flooding(job.organisation):
            gangs = [gang for gang in gangs if share(gang.job.organisation) > 1.0]
        used = self.queue.used_accelerators
        guaranteed = self._guaranteed if spare_guarantees else {}
        return preemptible_gangs(gangs, job.organisation, used, guaranteed, share, min_rank)

    def _flood_candidates(self, job: Job, flood: list[Gang], now: float) -> list[Gang]:
        """Gangs that flooding organisations above their fair share run beyond their guarantees.

        This includes urgent gangs. The preemption may take a flooding organisation below its fair
        share for a moment: a wide gang needs whole workers, and the jobs that are stopped there
        start again on accelerators that the wide gang cannot use.
        """
        if now < self._next_flood_preemption_at or now - job.accepted_at < FLOOD_PREEMPT_AFTER_S:
            return []
        self._next_flood_preemption_at = now + FLOOD_PREEMPT_INTERVAL_S
        share = self.queue.fair_share_ratio
        over_share = [gang for gang in flood if share(gang.job.organisation) > 1.0]
        return preemptible_gangs(
            over_share, job.organisation, self.queue.used_accelerators, self._guaranteed, share, 0
        )
