"""Bounds the share of a fleet that is kept out of service."""

from collections.abc import Mapping

from comfreyshelf.fleet.health.score import Score
from comfreyshelf.fleet.health.steps import Machine
from comfreyshelf.fleet.health.target_health import Standing
from comfreyshelf.ids import ServiceId

# Largest shares of a service's targets that are avoided, and that are avoided or on probation. A
# fifth that flaps, a tenth that hangs and half a zone that fails fit into the second.
MAX_AVOIDED_SHARE = 1 / 3
MAX_RESTRICTED_SHARE = 1 / 2
# Above the error of a product with such a share.
ROUNDING = 1e-6


def restrict(
    machines: Mapping[str, Machine], fleet: Mapping[str, ServiceId], now: float
) -> tuple[dict[str, Standing], int]:
    """The standing of each machine of the fleet that is not trusted, within the bounds.

    The worst machines come first: those to be avoided, with most strikes, with the highest score.
    Also returns how many have a better standing than their own because of the bounds.
    """
    by_service: dict[ServiceId, list[tuple[str, Machine]]] = {}
    sizes: dict[ServiceId, int] = {}
    for name, service in fleet.items():
        sizes[service] = sizes.get(service, 0) + 1
        machine = machines.get(name)
        if machine is not None and machine.standing is not Standing.TRUSTED:
            by_service.setdefault(service, []).append((name, machine))
    standings: dict[str, Standing] = {}
    spared = 0
    for service, restricted in by_service.items():
        restricted.sort(key=lambda item: _badness(item[1], item[1].score, now), reverse=True)
        max_avoided = int(sizes[service] * MAX_AVOIDED_SHARE + ROUNDING)
        max_restricted = int(sizes[service] * MAX_RESTRICTED_SHARE + ROUNDING)
        for rank, (name, machine) in enumerate(restricted):
            if rank >= max_restricted:
                spared += 1
            elif machine.standing is Standing.AVOIDED and rank >= max_avoided:
                spared += 1
                standings[name] = Standing.PROBATION
            else:
                standings[name] = machine.standing
    return standings, spared


def _badness(machine: Machine, score: Score, now: float) -> tuple[bool, int, float]:
    return machine.standing is Standing.AVOIDED, machine.strikes, score.value(now)
