"""Settings of fair shares, from the section `fair_shares` of the scheduling settings."""

import math

import msgspec

from comfreyshelf.fleet.scheduling import Feature, Scheduling
from comfreyshelf.ids import OrganisationId

_SECTION = Feature.FAIR_SHARES.value
_WEIGHT_PREFIX = "weight."
DEFAULT_HALF_LIFE_S = 60.0
# With a shorter half-life, usage would be forgotten between two reports of a target.
MIN_HALF_LIFE_S = 1.0
DEFAULT_WEIGHT = 1.0


class ShareSettings(msgspec.Struct, frozen=True):
    """Half-life of usage in seconds, and the weights of organisations.

    An organisation without a weight has DEFAULT_WEIGHT. `invalid_weights` are the settings that are
    no positive number, by organisation; DEFAULT_WEIGHT is used in place of them.
    """

    half_life_s: float = DEFAULT_HALF_LIFE_S
    weights: dict[OrganisationId, float] = {}
    invalid_weights: dict[OrganisationId, str] = {}


def read_share_settings(scheduling: Scheduling) -> ShareSettings:
    """Read the settings of fair shares; raises SettingsError if the half-life is invalid."""
    half_life_s = scheduling.number(_SECTION, "half_life_s", DEFAULT_HALF_LIFE_S, MIN_HALF_LIFE_S)
    weights: dict[OrganisationId, float] = {}
    invalid: dict[OrganisationId, str] = {}
    for option, text in scheduling.options.get(_SECTION, {}).items():
        if not option.startswith(_WEIGHT_PREFIX):
            continue
        organisation = OrganisationId(option.removeprefix(_WEIGHT_PREFIX))
        weight = _positive_number(text)
        if weight is None:
            invalid[organisation] = text
        else:
            weights[organisation] = weight
    return ShareSettings(half_life_s, weights, invalid)


def _positive_number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and value > 0 else None
