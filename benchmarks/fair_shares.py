"""Compares orders of contested capacity on the two deployments of docs/design/hard-load.md.

Run it with `python -m benchmarks.fair_shares SITE LOAD FIRST_SEED END_SEED [ORDER...]`. SITE is
unequal or equal, LOAD multiplies the rates of the page. Each row is one order: the worth of the
whole, that of the least-served tenth of the organisations, and that of the largest tenth of jobs.
"""

import sys
from abc import abstractmethod
from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import replace

from benchmarks.fleet_policy import Kind, Result, Simulation, Site
from comfreyshelf.fleet.ranking import (
    LATE_RANKS,
    DeadlineRanking,
    PassView,
    Ranking,
    rank,
)
from comfreyshelf.fleet.shares.ranking import Claim, FairShareRanking, dominant_share
from comfreyshelf.fleet.shares.settings import ShareSettings
from comfreyshelf.fleet.shares.usage import OrganisationUsage
from comfreyshelf.fleet.tracked_job import TrackedJob
from comfreyshelf.ids import JobId, OrganisationId

ACCELERATORS = (1, 2, 4, 8)
# The first organisation submits a third of the jobs and half of the tasks.
UNEQUAL = Site(
    60,
    5,
    64,
    10,
    24,
    (
        Kind("urgent", 0, 0.64, 5, 5.0, 7.5, ACCELERATORS, 0.8, 4, 0.8, 1.5, 0.4, 1.0, 0.0, 0.2),
        Kind("usual", 1, 0.25, 6, 22.0, 26.0, ACCELERATORS, 1.0, 3, 0.6, 3, 1.2, 0.6, 0.45, 0.9),
        Kind("least", 2, 0.15, 39, 15.2, 5.6, (1,), 0.0, 1, 0.3, 3, 3.0, 0.0, 0.45, 0.5),
    ),
    2.3,
    40.0,
    128_000,
    (0.33, 0.18, 0.13, 0.1, 0.08, 0.06, 0.05, 0.03, 0.02, 0.02),
    2.0,
    (0.8, 1.0, 1.25),
    3,
    0.001,
)
EQUAL = Site(
    55,
    4,
    64,
    10,
    24,
    (
        Kind("urgent", 0, 0.61, 5, 4.2, 7.5, ACCELERATORS, 0.8, 4, 0.8, 1.5, 0.4, 1.0, 0.0, 0.5),
        Kind("usual", 1, 0.26, 6, 18.8, 26.0, ACCELERATORS, 1.0, 3, 0.6, 3, 1.2, 0.6, 0.45, 0.2),
        Kind("least", 2, 0.18, 39, 10.4, 5.6, (1,), 0.0, 1, 0.3, 3, 3.0, 0.0, 0.45, 0.2, 0.03),
    ),
    2.3,
    40.0,
    256_000,
    (1.0,) * 10,
    1.0,
    (1.0,),
    3,
    0.001,
)
SITES = {"unequal": UNEQUAL, "equal": EQUAL}


class DominantResourceRanking(FairShareRanking):
    """DRF: only what an organisation holds now counts, not what it has used."""

    def level(self, organisation: OrganisationId) -> float:
        return self._usage.current(organisation)


class EqualRecentRanking(FairShareRanking):
    """What an organisation has used lately counts as much as what it holds."""

    def level(self, organisation: OrganisationId) -> float:
        return self._usage.current(organisation) + self._usage.recent(organisation)


class RecentRanking(FairShareRanking):
    """Only the decayed usage counts."""

    def level(self, organisation: OrganisationId) -> float:
        return self._usage.recent(organisation)


class BySizeRanking(FairShareRanking):
    """Late jobs by their size alone."""

    def key(self, tracked: TrackedJob, unix_now: float) -> tuple[int, float]:
        return rank(tracked, unix_now)


class NoGatheringRanking(FairShareRanking):
    """Gangs in time by their deadline alone."""

    def key(self, tracked: TrackedJob, unix_now: float) -> tuple[int, float]:
        number, order = super().key(tracked, unix_now)
        return (number, order) if number in LATE_RANKS else rank(tracked, unix_now)


class JobOrderRanking(FairShareRanking):
    """The order of jobs alone, without shares."""

    def order(self, ranked: list[TrackedJob], claims: Mapping[JobId, Claim]) -> list[TrackedJob]:
        return ranked


class BandRanking(FairShareRanking):
    """Organisations above their share come last; the order of the deadlines is kept otherwise."""

    def order(self, ranked: list[TrackedJob], claims: Mapping[JobId, Claim]) -> list[TrackedJob]:
        return sorted(ranked, key=lambda t: self.loss_factor(t.job.organisation) < 1)


class _TrackingRanking(FairShareRanking):
    """Knows which runs were started since the last pass."""

    def __init__(self, settings: ShareSettings, usage: OrganisationUsage) -> None:
        super().__init__(settings, usage)
        self._seen: set[tuple[str, int]] = set()

    def begin_pass(self, view: PassView) -> None:
        super().begin_pass(view)
        runs = {
            (active.full_name, active.run): active
            for target in view.targets
            for active in target.active_runs.values()
        }
        for key in runs.keys() - self._seen:
            active = runs[key]
            cost = dominant_share(active.demand, self._room) * active.expected_s()
            self.charge(active.tracked.job.organisation, cost)
        self._seen = set(runs)

    @abstractmethod
    def charge(self, organisation: OrganisationId, cost: float) -> None:
        """Charge a started run, in shares of the fleet times seconds."""


class DeficitRoundRobinRanking(_TrackingRanking):
    """Deficit round robin: organisations in turn, each until its credit is spent."""

    quantum = 0.2

    def __init__(self, settings: ShareSettings, usage: OrganisationUsage) -> None:
        super().__init__(settings, usage)
        self._credit: dict[OrganisationId, float] = defaultdict(float)
        self._ring: list[OrganisationId] = []

    def charge(self, organisation: OrganisationId, cost: float) -> None:
        self._credit[organisation] -= cost

    def order(self, ranked: list[TrackedJob], claims: Mapping[JobId, Claim]) -> list[TrackedJob]:
        waiting: dict[OrganisationId, list[TrackedJob]] = defaultdict(list)
        for tracked in ranked:
            waiting[tracked.job.organisation].append(tracked)
        self._ring += sorted(name for name in waiting if name not in self._ring)
        active = [name for name in self._ring if name in waiting]
        if all(self._credit[name] <= 0 for name in active):
            needed = -max(self._credit[name] for name in active) + self.quantum
            for name in active:
                self._credit[name] += needed
        while self._credit[self._ring[0]] <= 0 or self._ring[0] not in waiting:
            self._ring.append(self._ring.pop(0))
        credit = defaultdict(float, self._credit)
        turns = [name for name in self._ring if name in waiting]
        order: list[TrackedJob] = []
        while turns:
            for name in list(turns):
                while waiting[name] and credit[name] > 0:
                    tracked = waiting[name].pop(0)
                    order.append(tracked)
                    if tracked.job.id in claims:
                        demand = claims[tracked.job.id].demand
                        credit[name] -= dominant_share(
                            demand, self._room
                        ) * tracked.task_duration_s(0)
                credit[name] += self.quantum
                if not waiting[name]:
                    turns.remove(name)
        return order


class FairQueueingRanking(FairShareRanking):
    """Start-time fair queueing: jobs in the order of tags that they get when they arrive."""

    def __init__(self, settings: ShareSettings, usage: OrganisationUsage) -> None:
        super().__init__(settings, usage)
        self._tags: dict[JobId, float] = {}
        self._finish: Counter[OrganisationId] = Counter()
        self._virtual = 0.0

    def sort(
        self, jobs: list[TrackedJob], covered_ids: set[JobId], unix_now: float
    ) -> list[TrackedJob]:
        for tracked in jobs:
            if tracked.job.id not in self._tags:
                name = tracked.job.organisation
                start = max(self._virtual, self._finish[name])
                self._tags[tracked.job.id] = start
                self._finish[name] = start + tracked.core_seconds  # type: ignore[assignment]
        waiting = [self._tags[t.job.id] for t in jobs if not t.active_runs]
        self._virtual = max(self._virtual, min(waiting, default=0.0))
        return super().sort(jobs, covered_ids, unix_now)

    def order(self, ranked: list[TrackedJob], claims: Mapping[JobId, Claim]) -> list[TrackedJob]:
        return sorted(ranked, key=lambda t: self._tags[t.job.id])


ORDERS: dict[str, type[FairShareRanking] | None] = {
    "deadline": None,
    "drf": DominantResourceRanking,
    "deficit": DeficitRoundRobinRanking,
    "queueing": FairQueueingRanking,
    "equal_recent": EqualRecentRanking,
    "recent": RecentRanking,
    "band": BandRanking,
    "late_by_size": BySizeRanking,
    "no_gathering": NoGatheringRanking,
    "job_order": JobOrderRanking,
    "shares": FairShareRanking,
}


def make_ranking(order: str, half_life_s: float = 60.0) -> Ranking:
    """The ranking of one order, with equal weights."""
    ranking = ORDERS[order]
    if ranking is None:
        return DeadlineRanking()
    return ranking(ShareSettings(half_life_s), OrganisationUsage(half_life_s))


def scaled(site: Site, load: float) -> Site:
    """The site with `load` times as many jobs a second."""
    return replace(site, kinds=tuple(replace(k, rate=k.rate * load) for k in site.kinds))


def least_served(results: list[Result]) -> float:
    """Worth of the least-served tenth of the organisations of each day, as a mean over the days."""
    days = []
    for result in results:
        served = sorted(got / owed for got, owed in result.by_organisation.values())
        tenth = max(1, round(len(served) / 10))
        days.append(sum(served[:tenth]) / tenth)
    return sum(days) / len(days)


def pooled(results: list[Result]) -> dict[OrganisationId, float]:
    """Worth of each organisation over all days."""
    got: Counter[OrganisationId] = Counter()
    owed: Counter[OrganisationId] = Counter()
    for result in results:
        for name, (earned, full) in result.by_organisation.items():
            got[name] += earned  # type: ignore[assignment]
            owed[name] += full  # type: ignore[assignment]
    return {name: got[name] / owed[name] for name in sorted(owed)}


def main() -> None:
    """Play the same days with each order and print a row for each."""
    site, load = scaled(SITES[sys.argv[1]], float(sys.argv[2])), sys.argv[2]
    first, last = int(sys.argv[3]), int(sys.argv[4])
    print(f"{sys.argv[1]}, load {load}, {last - first} days of {site.day_s:.0f} s")
    print(
        f"{'order':14} {'whole':>7} {'in time':>8} {'least tenth':>12} {'least pooled':>13} "
        f"{'largest jobs':>13} {'waste':>6} {'stops':>6}  by organisation"
    )
    for text in sys.argv[5:] or list(ORDERS):
        order, _, half_life = text.partition(":")
        results = [
            Simulation(site, seed, ranking=make_ranking(order, float(half_life or 60))).play()
            for seed in range(first, last)
        ]
        count = len(results)
        large = [result.by_size["large"] for result in results]
        large_worth = sum(got for got, _ in large) / sum(owed for _, owed in large)
        print(
            f"{text:14} {sum(r.worth for r in results) / count:7.3f} "
            f"{sum(r.in_time for r in results) / count:8.3f} {least_served(results):12.3f} "
            f"{min(pooled(results).values()):13.3f} {large_worth:13.3f} "
            f"{sum(r.waste for r in results) / count:6.3f} "
            f"{sum(r.stops for r in results) / count:6.1f}  "
            + " ".join(f"{worth:.2f}" for worth in pooled(results).values()),
            flush=True,
        )


if __name__ == "__main__":
    main()
