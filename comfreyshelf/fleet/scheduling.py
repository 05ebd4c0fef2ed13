"""Settings of the scheduling features, from an INI file.

Each line of the section `features` names a feature and when it is used: `always`, `never`, or with
the contract of the deployment that it needs. Further sections hold the features' own settings.

    [features]
    prediction = health
    fair_shares = never
"""

from configparser import ConfigParser
from configparser import Error as ConfigParserError
from enum import Enum
from pathlib import Path

import msgspec

from comfreyshelf.errors import SettingsError

_FEATURES_SECTION = "features"
_ALWAYS, _NEVER = "always", "never"


class Feature(Enum):
    """A part of the scheduling that a deployment may use."""

    PREDICTION = "prediction"
    TARGET_SPEED = "target_speed"
    MOVES = "moves"
    FAIR_SHARES = "fair_shares"
    TARGET_HEALTH = "target_health"


class Scheduling(msgspec.Struct, frozen=True):
    """The features in use, and their own settings by section and option."""

    features: frozenset[Feature] = frozenset()
    options: dict[str, dict[str, str]] = {}

    def uses(self, feature: Feature) -> bool:
        """Whether a feature is in use."""
        return feature in self.features

    def number(self, section: str, option: str, default: float, minimum: float) -> float:
        """A feature's numeric setting; raises SettingsError if it is no number or too low."""
        text = self.options.get(section, {}).get(option)
        if text is None:
            return default
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        # The comparison is false for a value that is not a number.
        if not minimum <= value < float("inf"):
            raise SettingsError(
                f"[{section}] {option} = {text} is not a number of at least {minimum}",
                "correct the file of scheduling settings",
            )
        return value


def read_scheduling(path: Path, contracts: frozenset[str]) -> Scheduling:
    """Read the scheduling settings of a deployment that has these contracts.

    Raises SettingsError if the file cannot be read or names an unknown feature.
    """
    parser = ConfigParser(interpolation=None)
    # Options may contain the id of an organisation, so their case matters.
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError, ConfigParserError) as exc:
        raise SettingsError(f"cannot read {path}: {exc}", "correct the file") from exc
    options = {name: dict(parser[name]) for name in parser.sections()}
    features = set()
    for name, condition in options.pop(_FEATURES_SECTION, {}).items():
        if name not in {feature.value for feature in Feature}:
            known = ", ".join(feature.value for feature in Feature)
            raise SettingsError(f"{path} names the unknown feature {name}", f"use one of {known}")
        if condition == _ALWAYS or (condition != _NEVER and condition in contracts):
            features.add(Feature(name))
    return Scheduling(frozenset(features), options)
