"""Choice of a runner for a short request: region, outstanding requests, ejection, dependencies."""

import random
from collections import Counter
from collections.abc import Collection, Sequence

import msgspec
from expression import Error, Ok, Result

from comfreyshelf.config import Config, Service
from comfreyshelf.errors import Refusal, not_run
from comfreyshelf.ids import RegionId, ServiceId, TargetId, ZoneId
from comfreyshelf.membership import TargetView
from comfreyshelf.messages import RunnerLoad
from comfreyshelf.reasons import RefusalReason

# A lease lasts 6 s, so a target that has been silent for longer has stopped its work.
TARGET_SILENCE_TIMEOUT_S = 7.0
EJECT_AFTER_FAILURES = 3
EJECT_BASE_S = 1.0
EJECT_MAX_S = 60.0
# Ejecting more would move the load of the failing runners onto too few healthy ones.
MAX_EJECTED_FRACTION = 0.3

# Filtering all views takes 65 ms at 31,000 targets, so the pools are cached between requests.
POOL_MAX_AGE_S = 0.25
# Runners compared for one request; of more runners a random sample of this size is taken.
SAMPLE_SIZE = 32

RunnerKey = tuple[TargetId, ServiceId]


class RunnerHealth(msgspec.Struct):
    """Failures and ejections of one runner; `ejected_until` is in monotonic seconds."""

    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class StatusBaseline(msgspec.Struct):
    """How many requests of this entry a runner had outstanding when its status arrived.

    `seen_at` is the time of arrival in monotonic seconds.
    """

    seen_at: float
    own_outstanding: int


class RunnerPool(msgspec.Struct, frozen=True):
    """Available runners of a service, separated by whether they are in this entry's region.

    A pool is built from one list of views; `refusal` is set if a dependency has no runner.
    """

    views: Sequence[TargetView]
    config: Config
    built_at: float
    same_region: list[TargetView]
    other_regions: list[TargetView]
    target_ids: frozenset[TargetId]
    refusal: Refusal | None


class Candidate(msgspec.Struct, frozen=True):
    """An available runner with its outstanding requests.

    `load` counts the requests of all entries, `own_outstanding` those of this entry.
    """

    target: TargetId
    load: int
    own_outstanding: int


def transitive_dependencies(config: Config, service: ServiceId) -> list[ServiceId]:
    """All services that `service` depends on directly or indirectly, nearest first."""
    found: list[ServiceId] = []
    pending = list(config.services[service].depends)
    while pending:
        name = pending.pop(0)
        if name in found or name not in config.services:
            continue
        found.append(name)
        pending += config.services[name].depends
    return found


def find_runner_load(view: TargetView, service: ServiceId) -> RunnerLoad | None:
    """The load of a target's runner for `service`, or None if it has no such runner."""
    return next((load for load in view.runners if load.service == service), None)


def is_available(view: TargetView, service: ServiceId, config: Config, now: float) -> bool:
    """Whether a target has a healthy runner, has reported recently, and is not leaving."""
    load = find_runner_load(view, service)
    return (
        load is not None
        and load.healthy
        and not view.draining
        and view.worker.target not in config.scrapped
        and now - view.seen_at <= TARGET_SILENCE_TIMEOUT_S
    )


class RunnerSelector:
    """Chooses runners for one entry; `now` is in monotonic seconds.

    The user of this class reports each request with `record_sent` and `record_ended`, so that
    outstanding requests are counted.
    """

    def __init__(self, zone: ZoneId, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._outstanding: Counter[RunnerKey] = Counter()
        self._status_baselines: dict[RunnerKey, StatusBaseline] = {}
        self._health: dict[RunnerKey, RunnerHealth] = {}
        self._pools: dict[ServiceId, RunnerPool] = {}

    def choose(
        self,
        config: Config,
        service: ServiceId,
        views: Sequence[TargetView],
        now: float,
        excluded: Collection[TargetId] = (),
    ) -> Result[TargetId, Refusal]:
        """Choose the target of a request, or return why no runner can take it.

        `excluded` targets are used only if there is no other.
        """
        pool = self._get_pool(config, service, views, now)
        if pool.refusal is not None:
            return Error(pool.refusal)
        service_config = config.services[service]
        ejected = self._ejected_targets(service, pool, now)
        same_region = self._candidates(pool.same_region, service_config, ejected)
        other_regions = self._candidates(pool.other_regions, service_config, ejected)
        chosen = self._pick(same_region, other_regions, service_config, excluded)
        return Ok(chosen) if chosen is not None else Error(_no_runner(service))

    def record_sent(self, target: TargetId, service: ServiceId) -> None:
        """Count a request as outstanding."""
        self._outstanding[(target, service)] += 1

    def record_ended(self, target: TargetId, service: ServiceId) -> None:
        """Count a request as no longer outstanding."""
        key = (target, service)
        self._outstanding[key] -= 1
        if self._outstanding[key] <= 0:
            del self._outstanding[key]

    def outstanding(self, target: TargetId, service: ServiceId) -> int:
        """Requests of this entry that the runner has not answered."""
        return self._outstanding[(target, service)]

    def record_success(self, target: TargetId, service: ServiceId) -> None:
        """Record a successful answer; each one shortens the next ejection."""
        health = self._health.get((target, service))
        if health is None:
            return
        health.consecutive_failures = 0
        health.ejections = max(0, health.ejections - 1)
        if not health.ejections:
            del self._health[(target, service)]

    def record_failure(self, target: TargetId, service: ServiceId, now: float) -> bool:
        """Record a failure; returns whether it ejects the runner.

        A runner that was ejected before is ejected again by a single failure.
        """
        health = self._health.setdefault((target, service), RunnerHealth())
        health.consecutive_failures += 1
        if health.ejected_until > now:
            return False
        if health.consecutive_failures < EJECT_AFTER_FAILURES and not health.ejections:
            return False
        health.ejected_until = now + min(EJECT_MAX_S, EJECT_BASE_S * 2**health.ejections)
        # Bounds the exponent, which would overflow for a runner that fails for days.
        health.ejections = min(health.ejections + 1, 10)
        health.consecutive_failures = 0
        return True

    def _get_pool(
        self, config: Config, service: ServiceId, views: Sequence[TargetView], now: float
    ) -> RunnerPool:
        """The pool for these views, rebuilt for a new list or config and when it is too old."""
        pool = self._pools.get(service)
        is_current = pool is not None and pool.views is views and pool.config is config
        if pool is not None and is_current and now - pool.built_at <= POOL_MAX_AGE_S:
            return pool
        same_region: list[TargetView] = []
        other_regions: list[TargetView] = []
        region = _region_of(config, self._zone)
        for view in views:
            if is_available(view, service, config, now):
                is_same_region = _region_of(config, view.worker.zone) == region
                (same_region if is_same_region else other_regions).append(view)
        refusal = None
        for name in transitive_dependencies(config, service):
            if not any(is_available(view, name, config, now) for view in views):
                refusal = _dependency_down(service, name)
                break
        target_ids = frozenset(view.worker.target for view in (*same_region, *other_regions))
        pool = self._pools[service] = RunnerPool(
            views, config, now, same_region, other_regions, target_ids, refusal
        )
        return pool

    def _ejected_targets(self, service: ServiceId, pool: RunnerPool, now: float) -> set[TargetId]:
        """Ejected runners, latest end of ejection first, up to MAX_EJECTED_FRACTION of the pool."""
        count = len(pool.target_ids)
        allowed = max(0, min(count - 1, max(1, int(count * MAX_EJECTED_FRACTION))))
        ejected = [
            (health.ejected_until, target)
            for (target, name), health in self._health.items()
            if name == service and health.ejected_until > now and target in pool.target_ids
        ]
        ejected.sort(reverse=True)
        return {target for _, target in ejected[:allowed]}

    def _candidates(
        self,
        views: list[TargetView],
        service: Service,
        ejected: set[TargetId],
    ) -> list[Candidate]:
        """Runners that are not ejected and that this entry may send a further request to."""
        if len(views) > SAMPLE_SIZE:
            views = self._rng.sample(views, SAMPLE_SIZE)
        found = [
            self._build_candidate(view, service)
            for view in views
            if view.worker.target not in ejected
        ]
        return [candidate for candidate in found if self._has_room(candidate, service)]

    def _build_candidate(self, view: TargetView, service: Service) -> Candidate:
        key = (view.worker.target, service.id)
        own_outstanding = self._outstanding[key]
        baseline = self._status_baselines.get(key)
        if baseline is None or baseline.seen_at != view.seen_at:
            baseline = StatusBaseline(view.seen_at, own_outstanding)
            self._status_baselines[key] = baseline
        load = find_runner_load(view, service.id)
        assert load is not None
        # Requests that the status counts beyond this entry's own come from other entries.
        other_outstanding = max(0, load.running + load.waiting - baseline.own_outstanding)
        return Candidate(view.worker.target, other_outstanding + own_outstanding, own_outstanding)

    @staticmethod
    def _has_room(candidate: Candidate, service: Service) -> bool:
        return candidate.own_outstanding < service.slots and candidate.load < service.connections

    def _pick(
        self,
        same_region: list[Candidate],
        other_regions: list[Candidate],
        service: Service,
        excluded: Collection[TargetId],
    ) -> TargetId | None:
        """Prefer untried runners, then free slots, then the entry's own region.

        Runners without a free slot in their last status come last; a slot may be free by now.
        """
        untried = [
            [candidate for candidate in group if candidate.target not in excluded]
            for group in (same_region, other_regions)
        ]
        groups = untried if any(untried) else [same_region, other_regions]
        free = [
            [candidate for candidate in group if candidate.load < service.slots] for group in groups
        ]
        for group in (*free, *groups):
            if group:
                return self._pick_less_loaded(group)
        return None

    def _pick_less_loaded(self, group: list[Candidate]) -> TargetId:
        """Choose the less loaded of two random runners.

        If every entry chose the least loaded runner of all, they would all choose the same one.
        """
        pair = self._rng.sample(group, min(2, len(group)))
        return min(pair, key=lambda candidate: candidate.load).target


def _region_of(config: Config, zone: ZoneId) -> RegionId | None:
    known = config.zones.get(zone)
    return known.region if known is not None else None


def _dependency_down(service: ServiceId, name: ServiceId) -> Refusal:
    return not_run(
        RefusalReason.DEPENDENCY_DOWN,
        f"service '{service}' depends on '{name}', which has no available runner",
        "try again later",
        2,
    )


def _no_runner(service: ServiceId) -> Refusal:
    return not_run(
        RefusalReason.NO_RUNNER,
        f"service '{service}' has no runner with a free slot",
        "try again later",
        1,
    )
