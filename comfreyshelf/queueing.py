"""Queues that order jobs by urgency, deadline slack, weighted dominant share and response ratio."""

import heapq
import math
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable, Iterator

import msgspec

from comfreyshelf.config import EMPTY_CONFIG, Config
from comfreyshelf.estimates import Estimates
from comfreyshelf.ids import CallerId, JobId, OrganisationId
from comfreyshelf.model import Job, Shape, Urgency

# Scores count in doublings of a job's response ratio, which is one plus its waiting time divided by
# its expected run time. One level of urgency weighs as much as this many doublings.
URGENCY_STEP = 3.0
# Weight of each doubling of one plus the share of an organisation or caller, where a share of 1 is
# its fair share.
ORGANISATION_STEP = 1.0
CALLER_STEP = 1.0
# A job's score improves by one doubling for each AGEING_S of waiting, so that no job starves.
AGEING_S = 1800.0
# A job whose deadline leaves less slack than its run time moves up one level of urgency.
DEADLINE_STEP = URGENCY_STEP
# Shorter expected run times are scored as this long.
MIN_SCORED_RUN_S = 5.0
# An organisation floods the queue when its queued jobs need more accelerators than this multiple of
# its fair share. Steady load exceeds that only in bursts. At other times the order is not strictly
# by share, because that would slow down short jobs.
FLOOD_BACKLOG_FACTOR = 4.0
# The same multiple for urgent jobs alone; steady load keeps hardly any of them queued.
URGENT_FLOOD_BACKLOG_FACTOR = 0.5
# A scheduling pass ends after it could not place this many groups. These are blocked then, so the
# pass of the next event continues with the other groups.
MAX_MISSES_PER_PASS = 32
# With more groups than this, the ranking is cached for RANKING_TTL_S, because scoring 5,000 groups
# takes 25 ms. New groups are ranked at once, and a cached score that has risen since is corrected
# when the group is offered.
RANKING_CACHE_THRESHOLD = 64
RANKING_TTL_S = 2.0
# If an organisation's running urgent jobs use more than this multiple of its fair share, its other
# urgent jobs are ordered as high urgency, so that a flood of them starves no other organisation.
MAX_URGENT_SHARE_RATIO = 1.0


class Resources(msgspec.Struct):
    """Amounts of the three resources of which the dominant share is the largest."""

    accelerators: float = 0.0
    cores: float = 0.0
    memory_gb: float = 0.0

    def add(self, shape: Shape, sign: int) -> None:
        """Add (`sign` 1) or subtract (`sign` -1) what all parts of a shape use."""
        self.accelerators += sign * shape.total_accelerators
        self.cores += sign * shape.parts * shape.cores
        self.memory_gb += sign * shape.parts * shape.memory_gb

    def dominant_share(self, capacity: "Resources") -> float:
        """The largest of the three shares of `capacity`, from 0 to 1."""
        return max(
            self.accelerators / max(1.0, capacity.accelerators),
            self.cores / max(1.0, capacity.cores),
            self.memory_gb / max(1.0, capacity.memory_gb),
        )


class JobQueue(ABC):
    """Queued jobs in the order in which they should start; policies differ in `ordered`.

    `supports_reservations` tells whether blocked large gangs get a reservation and whether urgent
    work may preempt.
    """

    supports_reservations = False

    def __init__(self, estimates: Estimates | None = None) -> None:
        self.estimates = Estimates() if estimates is None else estimates
        self.config: Config = EMPTY_CONFIG
        self.capacity = Resources()
        self.used_accelerators: Counter[OrganisationId] = Counter()
        self.non_preemptible_accelerators: Counter[OrganisationId] = Counter()
        self._jobs: dict[JobId, Job] = {}
        self._delayed: dict[JobId, Job] = {}
        self._delay_heap: list[tuple[float, JobId]] = []

    def __contains__(self, job: JobId) -> bool:
        return job in self._jobs or job in self._delayed

    def __len__(self) -> int:
        return len(self._jobs) + len(self._delayed)

    def jobs(self) -> Iterable[Job]:
        """Queued jobs that may start, in no particular order."""
        return self._jobs.values()

    def push(self, job: Job, not_before: float = 0.0) -> None:
        """Add a job that may start from `not_before` on, in seconds."""
        if not_before:
            self._delayed[job.id] = job
            heapq.heappush(self._delay_heap, (not_before, job.id))
        else:
            self._add(job)

    def release_delayed(self, now: float) -> None:
        """Make delayed jobs eligible whose `not_before` has passed."""
        while self._delay_heap and self._delay_heap[0][0] <= now:
            job = self._delayed.pop(heapq.heappop(self._delay_heap)[1], None)
            if job is not None:
                self._add(job)

    def remove(self, job: JobId) -> Job | None:
        """Remove a job, or return None if it is not queued."""
        return self._jobs.pop(job, None) or self._delayed.pop(job, None)

    def _add(self, job: Job) -> None:
        self._jobs[job.id] = job

    def is_flooding(self, organisation: OrganisationId) -> bool:
        """Whether an organisation floods the queue; False if the policy has no shares."""
        return False

    def is_flooding_urgent(self, organisation: OrganisationId) -> bool:
        """Whether an organisation floods the queue with urgent work."""
        return False

    def fair_accelerators(self, organisation: OrganisationId) -> float:
        """Fair share of an organisation in accelerators; 0 if the policy has no shares."""
        return 0.0

    def counts_as_urgent(self, job: Job) -> bool:
        """Whether a job is ordered as urgent and may preempt."""
        return job.urgency is Urgency.URGENT

    def fair_share_ratio(self, organisation: OrganisationId) -> float:
        """Dominant share divided by the fair share; 0 if the policy has no shares."""
        return 0.0

    def add_usage(self, job: Job) -> None:
        """Count the resources of a job whose attempt begins as used by its organisation."""
        self.used_accelerators[job.organisation] += job.shape.total_accelerators
        if not job.may_borrow:
            self.non_preemptible_accelerators[job.organisation] += job.shape.total_accelerators

    def remove_usage(self, job: Job) -> None:
        """Stop counting the resources of a job whose attempt ended."""
        self.used_accelerators[job.organisation] -= job.shape.total_accelerators
        if not job.may_borrow:
            self.non_preemptible_accelerators[job.organisation] -= job.shape.total_accelerators

    @abstractmethod
    def mark_blocked(self, job: Job) -> None:
        """Skip jobs like this one until `clear_blocked`, because it found no accelerators."""

    @abstractmethod
    def clear_blocked(self) -> None:
        """Offer blocked jobs again, because accelerators or the rules for using them changed."""

    @abstractmethod
    def ordered(self, now: float) -> Iterator[Job]:
        """Yield jobs in the order in which they should start, at time `now` in seconds.

        Before it takes the next job, the caller removes the job if it started it, or calls
        `mark_blocked`.
        """


class _PlacementClass:
    """Groups whose jobs have the same placement rules: if one cannot be placed, no other can."""

    __slots__ = ("group_count", "key")

    def __init__(self, key: "_PlacementKey") -> None:
        self.key = key
        self.group_count = 0


class _Group:
    """Queued jobs that differ only in age: same caller, kind, urgency, shape, run time class."""

    __slots__ = ("heap", "number", "placement_class")

    def __init__(self, number: int, placement_class: _PlacementClass) -> None:
        self.heap: list[tuple[float, JobId]] = []
        self.number = number
        self.placement_class = placement_class


_GroupKey = tuple[Urgency, CallerId, OrganisationId, str, Shape, bool, int, bool]
_PlacementKey = tuple[OrganisationId, Shape, bool, bool, int]
_RankedGroup = tuple[tuple[int, float], int, _Group]


class FairQueue(JobQueue):
    """The default queue: weighted dominant-resource fairness with urgency and ageing.

    Jobs are kept in groups, so the cost of an event grows with the number of groups that may start
    and not with the number of queued jobs. Weights of organisations and callers come from the
    configuration.
    """

    supports_reservations = True

    def __init__(self, estimates: Estimates | None = None) -> None:
        super().__init__(estimates)
        self._groups: dict[_GroupKey, _Group] = {}
        self._placement_classes: dict[_PlacementKey, _PlacementClass] = {}
        self._blocked_classes: set[_PlacementClass] = set()
        self._groups_created = 0
        self._ranking: list[_RankedGroup] = []
        self._unranked: list[_Group] = []
        self._ranked_at = -RANKING_TTL_S
        self._offered: _Group | None = None
        self._usage_by_organisation: dict[OrganisationId, Resources] = {}
        self._usage_by_caller: dict[CallerId, Resources] = {}
        self._urgent_usage: dict[OrganisationId, Resources] = {}
        self._queued_jobs: Counter[OrganisationId] = Counter()
        self._backlog: Counter[OrganisationId] = Counter()
        self._urgent_backlog: Counter[OrganisationId] = Counter()
        self._total_weight = 1.0

    def _add(self, job: Job) -> None:
        if job.id in self._jobs:
            return
        super()._add(job)
        self._queued_jobs[job.organisation] += 1
        self._backlog[job.organisation] += job.shape.total_accelerators
        if job.urgency is Urgency.URGENT:
            self._urgent_backlog[job.organisation] += job.shape.total_accelerators
        key = self._group_key(job)
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = self._make_group(job)
        heapq.heappush(group.heap, (job.accepted_at, job.id))

    def remove(self, job: JobId) -> Job | None:
        """Remove a job, or return None if it is not queued."""
        found = self._jobs.get(job)
        if found is not None:
            self._queued_jobs[found.organisation] -= 1
            self._backlog[found.organisation] -= found.shape.total_accelerators
            if found.urgency is Urgency.URGENT:
                self._urgent_backlog[found.organisation] -= found.shape.total_accelerators
        return super().remove(job)

    def add_usage(self, job: Job) -> None:
        """Count the resources of a job whose attempt begins as used."""
        super().add_usage(job)
        self._usage_by_organisation.setdefault(job.organisation, Resources()).add(job.shape, 1)
        self._usage_by_caller.setdefault(job.caller, Resources()).add(job.shape, 1)
        if job.urgency is Urgency.URGENT:
            self._urgent_usage.setdefault(job.organisation, Resources()).add(job.shape, 1)

    def remove_usage(self, job: Job) -> None:
        """Stop counting the resources of a job whose attempt ended."""
        super().remove_usage(job)
        self._usage_by_organisation[job.organisation].add(job.shape, -1)
        if job.urgency is Urgency.URGENT:
            self._urgent_usage[job.organisation].add(job.shape, -1)
        caller = self._usage_by_caller[job.caller]
        caller.add(job.shape, -1)
        if caller.accelerators <= 0:
            del self._usage_by_caller[job.caller]

    def mark_blocked(self, job: Job) -> None:
        """Skip jobs like this one until `clear_blocked`, because it found no accelerators."""
        if self._offered is not None:
            self._blocked_classes.add(self._offered.placement_class)

    def clear_blocked(self) -> None:
        """Offer blocked jobs again, because accelerators or the rules for using them changed."""
        for placement_class in self._blocked_classes:
            if not placement_class.group_count:
                del self._placement_classes[placement_class.key]
        self._blocked_classes.clear()

    def ordered(self, now: float) -> Iterator[Job]:
        """Yield jobs in the order in which they should start.

        Scores are computed again when a group is offered, so they include the jobs that have
        started since.
        """
        self._update_total_weight()
        heap = self._rank(now)
        blocked_before = len(self._blocked_classes)
        while heap and len(self._blocked_classes) - blocked_before < MAX_MISSES_PER_PASS:
            ranked_score, number, group = heapq.heappop(heap)
            head = self._first_job(group)
            if (
                head is None
                or group.placement_class in self._blocked_classes
                or not self._is_within_limit(head)
            ):
                continue
            score = self.score(head, now)
            if score > ranked_score and heap and score > heap[0][0]:
                heapq.heappush(heap, (score, number, group))
                continue
            self._offered = group
            yield head
            self._offered = None
            if head.id not in self._jobs:
                heapq.heappush(heap, (score, number, group))

    def _rank(self, now: float) -> list[_RankedGroup]:
        """Groups that are not blocked, as a heap with the lowest score first."""
        if len(self._groups) <= RANKING_CACHE_THRESHOLD:
            self._ranked_at = -RANKING_TTL_S
            ranking = self._score_groups(self._live_groups(), now)
            heapq.heapify(ranking)
            return ranking
        if now - self._ranked_at >= RANKING_TTL_S:
            self._ranked_at = now
            self._unranked = []
            groups = self._live_groups(include_blocked=True)
            self._ranking = sorted(self._score_groups(groups, now))
        elif self._unranked:
            self._ranking += self._score_groups(self._unranked, now)
            self._ranking.sort()
            self._unranked = []
        blocked = self._blocked_classes
        return [ranked for ranked in self._ranking if ranked[2].placement_class not in blocked]

    def _score_groups(self, groups: Iterable[_Group], now: float) -> list[_RankedGroup]:
        heads = ((group, self._first_job(group)) for group in groups)
        return [(self.score(head, now), group.number, group) for group, head in heads if head]

    def _live_groups(self, include_blocked: bool = False) -> list[_Group]:
        """Groups that hold jobs; empty groups are removed."""
        live = []
        for key, group in list(self._groups.items()):
            if self._first_job(group) is None:
                del self._groups[key]
                group.placement_class.group_count -= 1
                if (
                    not group.placement_class.group_count
                    and group.placement_class not in self._blocked_classes
                ):
                    del self._placement_classes[group.placement_class.key]
            elif include_blocked or group.placement_class not in self._blocked_classes:
                live.append(group)
        return live

    def _make_group(self, job: Job) -> _Group:
        urgent = job.urgency is Urgency.URGENT
        key = (job.organisation, job.shape, job.may_borrow, urgent, self._run_time_class(job))
        placement_class = self._placement_classes.setdefault(key, _PlacementClass(key))
        placement_class.group_count += 1
        self._groups_created += 1
        group = _Group(self._groups_created, placement_class)
        self._unranked.append(group)
        return group

    def score(self, job: Job, now: float) -> tuple[int, float]:
        """Sort key of a job: its tier and its score; the lowest key starts first.

        Tier 0 holds urgent jobs within their organisation's fair share, tier 2 holds the jobs of an
        organisation that floods the queue while above its fair share, and tier 1 holds all others.
        """
        share = self.fair_share_ratio(job.organisation)
        run_s = max(MIN_SCORED_RUN_S, self.estimates.expected_s(job))
        wait_s = max(0.0, now - job.accepted_at)
        if self.counts_as_urgent(job):
            return 0, -wait_s
        rank = max(job.urgency.rank, Urgency.HIGH.rank)
        value = URGENCY_STEP * rank
        value -= math.log2(1.0 + wait_s / run_s) + wait_s / AGEING_S
        value += ORGANISATION_STEP * math.log2(1.0 + share)
        value += CALLER_STEP * math.log2(1.0 + self._caller_share_ratio(job.caller))
        if job.deadline and job.deadline - now - run_s < run_s:
            value -= DEADLINE_STEP
        return (2 if share > 1.0 and self.is_flooding(job.organisation) else 1), value

    def is_flooding(self, organisation: OrganisationId) -> bool:
        """Whether an organisation queues far more work than its fair share can run at once."""
        fair = self.fair_accelerators(organisation)
        return self.is_flooding_urgent(organisation) or self._backlog[organisation] > (
            FLOOD_BACKLOG_FACTOR * fair
        )

    def is_flooding_urgent(self, organisation: OrganisationId) -> bool:
        """Whether an organisation queues far more urgent work than steady load would."""
        fair = self.fair_accelerators(organisation)
        return self._urgent_backlog[organisation] > URGENT_FLOOD_BACKLOG_FACTOR * fair

    def fair_accelerators(self, organisation: OrganisationId) -> float:
        """Fair share of an organisation in accelerators."""
        return self._weight(organisation) / self._total_weight * self.capacity.accelerators

    def fair_share_ratio(self, organisation: OrganisationId) -> float:
        """Dominant share divided by the weighted fair share; 1 is exactly the fair share."""
        return self._ratio_to_fair_share(self._usage_by_organisation, organisation)

    def counts_as_urgent(self, job: Job) -> bool:
        """Whether a job is ordered as urgent and may preempt.

        An organisation's running urgent jobs are limited to MAX_URGENT_SHARE_RATIO. Its less urgent
        jobs count only while it floods the queue with urgent jobs, so an organisation that borrows
        heavily for less urgent jobs can still start urgent ones at once.
        """
        if job.urgency is not Urgency.URGENT:
            return False
        share = self.fair_share_ratio(job.organisation)
        if share > 1.0 and self.is_flooding_urgent(job.organisation):
            return False
        return (
            self._ratio_to_fair_share(self._urgent_usage, job.organisation)
            <= MAX_URGENT_SHARE_RATIO
        )

    def _ratio_to_fair_share(
        self, used: dict[OrganisationId, Resources], organisation: OrganisationId
    ) -> float:
        resources = used.get(organisation)
        if resources is None:
            return 0.0
        share = resources.dominant_share(self.capacity)
        return share * self._total_weight / self._weight(organisation)

    def _caller_share_ratio(self, caller: CallerId) -> float:
        resources = self._usage_by_caller.get(caller)
        if resources is None:
            return 0.0
        known = self.config.callers.get(caller)
        weight = known.weight if known is not None else 1.0
        # Callers are compared only with each other, so the share of the domain is multiplied by the
        # number of active callers.
        return resources.dominant_share(self.capacity) * max(1, len(self._usage_by_caller)) / weight

    def _update_total_weight(self) -> None:
        """Sum the weights of the organisations that have running or queued jobs."""
        active = {name for name, count in self._queued_jobs.items() if count > 0}
        active.update(name for name, used in self.used_accelerators.items() if used > 0)
        self._total_weight = sum(self._weight(name) for name in active) or 1.0

    def _weight(self, organisation: OrganisationId) -> float:
        organisation_config = self.config.organisations.get(organisation)
        return organisation_config.weight if organisation_config is not None else 1.0

    def _is_within_limit(self, job: Job) -> bool:
        known = self.config.organisations.get(job.organisation)
        if known is None or not known.max_accelerators:
            return True
        return (
            self.used_accelerators[job.organisation] + job.shape.total_accelerators
            <= known.max_accelerators
        )

    def _first_job(self, group: _Group) -> Job | None:
        while group.heap:
            job = self._jobs.get(group.heap[0][1])
            if job is not None:
                return job
            heapq.heappop(group.heap)
        return None

    def _group_key(self, job: Job) -> _GroupKey:
        return (
            job.urgency,
            job.caller,
            job.organisation,
            job.kind,
            job.shape,
            job.may_borrow,
            self._run_time_class(job),
            bool(job.deadline),
        )

    def _run_time_class(self, job: Job) -> int:
        """Power of two of the expected run time; jobs of a class differ by less than double."""
        return int(math.log2(max(MIN_SCORED_RUN_S, self.estimates.expected_s(job))))
