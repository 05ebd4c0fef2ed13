"""When targets leave: what their announcements say, and what a rollout makes likely."""

from collections.abc import Mapping

import msgspec

from comfreyshelf.fleet.jobs import Incarnation
from comfreyshelf.fleet.targets import TargetView
from comfreyshelf.ids import ServiceId, TargetId

# A rollout takes targets one after another: at least this many, over at least this time. Targets
# that all leave at once were evicted, which says nothing of the others.
ROLLOUT_MIN_TARGETS = 3
ROLLOUT_MIN_SPAN_S = 0.9
# Least number of targets that a rollout replaces each second. Drains at half this pace were taken
# for a rollout in simulated days, and urgent work that waited for other targets was late.
ROLLOUT_MIN_PACE = 0.75
# Departures this close together are one batch of a rollout, which the first report of each shows.
SAME_BATCH_S = 0.5
# A rollout is over if no further target has left for this long.
ROLLOUT_QUIET_S = 4.0


def certain_s(view: TargetView, now: float) -> float | None:
    """Seconds for which a target certainly stays; None if it has not announced its departure."""
    if not view.certain_until:
        return None
    return max(0.0, view.certain_until - now)


class _Machine(msgspec.Struct):
    """The target of a machine as last seen; `since` is when this incarnation was first seen."""

    incarnation: Incarnation
    since: float
    is_leaving: bool


class _Rollout(msgspec.Struct):
    """Machines of a service whose targets have left or were replaced, and when first.

    `replacements` counts them by machine. A machine whose target is replaced again flaps, and does
    not count as a part of the rollout.
    """

    first_at: float
    last_at: float
    changed_at: dict[str, float] = {}
    replacements: dict[str, int] = {}

    def record(self, machine: str, now: float, is_replaced: bool) -> None:
        """Count the departure or replacement of a machine's target."""
        if machine not in self.changed_at:
            self.changed_at[machine] = self.last_at = now
        if is_replaced:
            self.replacements[machine] = self.replacements.get(machine, 0) + 1

    def pace(self) -> float:
        """Targets that leave each second; 0 while this does not look like a rollout."""
        times = [
            at for machine, at in self.changed_at.items() if self.replacements.get(machine, 0) <= 1
        ]
        if len(times) < ROLLOUT_MIN_TARGETS or max(times) - min(times) < ROLLOUT_MIN_SPAN_S:
            return 0.0
        first_at, last_at = min(times), max(times)
        later = sum(at > first_at + SAME_BATCH_S for at in times)
        pace = later / (last_at - first_at)
        return pace if pace >= ROLLOUT_MIN_PACE else 0.0


class ExpectedDepartures(msgspec.Struct, frozen=True):
    """Targets still to be replaced, and the chance that one of a unit's leaves too soon."""

    targets: frozenset[TargetId] = frozenset()
    chance: float = 0.0


NO_DEPARTURES = ExpectedDepartures()


class _Forecast(msgspec.Struct, frozen=True):
    """The targets of a service that are still to be replaced, and how many are each second."""

    remaining: frozenset[TargetId]
    pace: float


class RolloutForecast:
    """Learns from departures and replacements which targets of a service are to be replaced next.

    It knows nothing when its owner takes over, and a few seconds of a rollout teach it.
    """

    def __init__(self) -> None:
        self._machines: dict[str, _Machine] = {}
        self._rollouts: dict[ServiceId, _Rollout] = {}
        self._forecasts: dict[ServiceId, _Forecast] = {}

    def observe(self, targets: Mapping[TargetId, TargetView], now: float) -> None:
        """Compare the targets with those of the last planning pass."""
        for view in targets.values():
            known = self._machines.get(view.machine)
            is_leaving = view.certain_until > 0
            if known is None or known.incarnation != view.incarnation:
                if known is not None:
                    self._record(view, now, is_replaced=True)
                self._machines[view.machine] = _Machine(view.incarnation, now, False)
                known = self._machines[view.machine]
            if is_leaving and not known.is_leaving:
                self._record(view, now, is_replaced=False)
            known.is_leaving = is_leaving
        for service, rollout in list(self._rollouts.items()):
            if now - rollout.last_at > ROLLOUT_QUIET_S:
                del self._rollouts[service]
        self._forecasts = {
            service: _Forecast(self._remaining(targets, service, rollout), pace)
            for service, rollout in self._rollouts.items()
            if (pace := rollout.pace()) > 0
        }

    def expected_departures(
        self, service: ServiceId, duration_s: float, tasks: int
    ) -> ExpectedDepartures:
        """What to expect while a unit of `tasks` tasks runs on targets still to be replaced."""
        forecast = self._forecasts.get(service)
        if forecast is None or not forecast.remaining:
            return NO_DEPARTURES
        chance = min(1.0, forecast.pace * duration_s / len(forecast.remaining))
        return ExpectedDepartures(forecast.remaining, 1 - (1 - chance) ** tasks)

    def _record(self, view: TargetView, now: float, is_replaced: bool) -> None:
        rollout = self._rollouts.setdefault(view.announcement.service, _Rollout(now, now))
        rollout.record(view.machine, now, is_replaced)

    def _remaining(
        self, targets: Mapping[TargetId, TargetView], service: ServiceId, rollout: _Rollout
    ) -> frozenset[TargetId]:
        return frozenset(
            view.id
            for view in targets.values()
            if view.announcement.service == service
            and view.machine not in rollout.changed_at
            and self._machines[view.machine].since < rollout.first_at
        )
