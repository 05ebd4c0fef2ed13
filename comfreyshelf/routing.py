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

# The lease lasts 6 s; a target that has been silent for longer has stopped its work.
SILENT_AFTER_S = 7.0
EJECT_AFTER_FAILURES = 3
EJECT_BASE_S = 1.0
EJECT_MAX_S = 60.0
# Ejecting more would move the load of the failing runners onto too few healthy ones.
MAX_EJECTED_SHARE = 0.3

RunnerKey = tuple[TargetId, ServiceId]


class Health(msgspec.Struct):
    """Failures of one runner in a row, and its ejection; `until` is in monotonic seconds."""

    failures: int = 0
    ejections: int = 0
    until: float = 0.0


class Observed(msgspec.Struct):
    """How many of this entry's requests were outstanding when a status arrived."""

    seen_at: float
    own: int


class Candidate(msgspec.Struct, frozen=True):
    """An available runner; `load` is requests of all entries, `own` those of this entry."""

    target: TargetId
    region: RegionId
    load: int
    own: int


def dependencies(config: Config, service: ServiceId) -> list[ServiceId]:
    """All services that `service` depends on, directly or not, nearest first."""
    found: list[ServiceId] = []
    pending = list(config.services[service].depends)
    while pending:
        name = pending.pop(0)
        if name in found or name not in config.services:
            continue
        found.append(name)
        pending += config.services[name].depends
    return found


def runner_of(view: TargetView, service: ServiceId) -> RunnerLoad | None:
    """The load of a target's runner for `service`, or None if it has no such runner."""
    return next((load for load in view.runners if load.service == service), None)


def is_available(view: TargetView, service: ServiceId, config: Config, now: float) -> bool:
    """Whether a target has a healthy runner, is heard from, and is not leaving."""
    load = runner_of(view, service)
    return (
        load is not None
        and load.healthy
        and not view.draining
        and view.worker.target not in config.scrapped
        and now - view.seen_at <= SILENT_AFTER_S
    )


class Routing:
    """Chooses runners for one entry; times are monotonic seconds given by the caller.

    Tell it of each request with `sent` and `ended`, so that it knows what is outstanding.
    """

    def __init__(self, zone: ZoneId, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._own: Counter[RunnerKey] = Counter()
        self._observed: dict[RunnerKey, Observed] = {}
        self._health: dict[RunnerKey, Health] = {}

    def choose(
        self,
        config: Config,
        service: ServiceId,
        views: Sequence[TargetView],
        now: float,
        excluded: Collection[TargetId] = (),
    ) -> Result[TargetId, Refusal]:
        """The target to send a request to; a refusal means that no runner was used.

        `excluded` targets are used only if there is no other.
        """
        for name in dependencies(config, service):
            if not any(is_available(view, name, config, now) for view in views):
                return Error(_dependency_down(service, name))
        available = [view for view in views if is_available(view, service, config, now)]
        usable = self._without_ejected(service, available, now)
        known = config.services[service]
        candidates = [self._candidate(view, known, config) for view in usable]
        candidates = [one for one in candidates if self._has_room(one, known)]
        fresh = [one for one in candidates if one.target not in excluded]
        chosen = self._pick(fresh or candidates, known, config)
        return Ok(chosen) if chosen is not None else Error(_no_runner(service))

    def sent(self, target: TargetId, service: ServiceId) -> None:
        """Note that a request is outstanding."""
        self._own[(target, service)] += 1

    def ended(self, target: TargetId, service: ServiceId) -> None:
        """Note that a request is no longer outstanding."""
        key = (target, service)
        self._own[key] -= 1
        if self._own[key] <= 0:
            del self._own[key]

    def outstanding(self, target: TargetId, service: ServiceId) -> int:
        """Requests of this entry that the runner has not answered."""
        return self._own[(target, service)]

    def succeeded(self, target: TargetId, service: ServiceId) -> None:
        """Note a good answer; each one shortens the next ejection."""
        health = self._health.get((target, service))
        if health is None:
            return
        health.failures = 0
        health.ejections = max(0, health.ejections - 1)
        if not health.ejections:
            del self._health[(target, service)]

    def failed(self, target: TargetId, service: ServiceId, now: float) -> bool:
        """Note a failure; True if it ejects the runner.

        A runner that fails once more after an earlier ejection is ejected at once.
        """
        health = self._health.setdefault((target, service), Health())
        health.failures += 1
        if health.until > now:
            return False
        if health.failures < EJECT_AFTER_FAILURES and not health.ejections:
            return False
        health.until = now + min(EJECT_MAX_S, EJECT_BASE_S * 2**health.ejections)
        # The exponent is bounded, so that a runner that fails for days does not overflow it.
        health.ejections = min(health.ejections + 1, 10)
        health.failures = 0
        return True

    def _without_ejected(
        self, service: ServiceId, views: list[TargetView], now: float
    ) -> list[TargetView]:
        """Drop ejected runners, the longest ejections first, up to the bound on their share."""
        allowed = min(len(views) - 1, max(1, int(len(views) * MAX_EJECTED_SHARE)))
        ejected = [
            (health.until, view.worker.target)
            for view in views
            if (health := self._health.get((view.worker.target, service))) and health.until > now
        ]
        ejected.sort(reverse=True)
        dropped = {target for _, target in ejected[: max(0, allowed)]}
        return [view for view in views if view.worker.target not in dropped]

    def _candidate(self, view: TargetView, service: Service, config: Config) -> Candidate:
        key = (view.worker.target, service.id)
        own = self._own[key]
        observed = self._observed.get(key)
        if observed is None or observed.seen_at != view.seen_at:
            observed = Observed(view.seen_at, own)
            self._observed[key] = observed
        load = runner_of(view, service.id)
        assert load is not None
        # What the status counts beyond this entry's requests belongs to other entries.
        others = max(0, load.running + load.waiting - observed.own)
        zone = config.zones.get(view.worker.zone)
        region = zone.region if zone is not None else RegionId("")
        return Candidate(view.worker.target, region, others + own, own)

    @staticmethod
    def _has_room(one: Candidate, service: Service) -> bool:
        return one.own < service.slots and one.load < service.connections

    def _pick(
        self, candidates: list[Candidate], service: Service, config: Config
    ) -> TargetId | None:
        """Prefer free slots, then the own region; a full runner may have a free slot by now."""
        own_zone = config.zones.get(self._zone)
        region = own_zone.region if own_zone is not None else None
        free = [one for one in candidates if one.load < service.slots]
        for group in (
            [one for one in free if one.region == region],
            free,
            [one for one in candidates if one.region == region],
            candidates,
        ):
            if group:
                return self._less_loaded(group)
        return None

    def _less_loaded(self, group: list[Candidate]) -> TargetId:
        """Power of two choices: avoids that all entries choose the same least loaded runner."""
        pair = self._rng.sample(group, min(2, len(group)))
        return min(pair, key=lambda one: one.load).target


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
