"""How much of the fleet each organisation has used lately."""

import math
from collections.abc import Mapping
from typing import Annotated, Literal

import msgspec

from comfreyshelf.fleet.learned.state import LearnedState
from comfreyshelf.ids import OrganisationId

# Usage below this share of the fleet is forgotten.
MIN_USAGE = 1e-4
# The record holds the organisations with the highest usage, up to these limits.
MAX_ORGANISATIONS = 512
MAX_RECORD_BYTES = 16_384
# Bytes of a number and of the lengths that the encoding adds to an organisation's name.
_ROW_BYTES = 14

_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


class _UsageRecord(msgspec.Struct):
    """Stored usage as of `at`, in seconds since the Unix epoch."""

    version: Literal[1]
    at: Annotated[float, msgspec.Meta(ge=0)]
    usage: dict[str, _Share]


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(_UsageRecord).decode


class OrganisationUsage(LearnedState):
    """Shares of the fleet that organisations hold now, and their averages over the recent past.

    A share is between 0 and 1. The average weights the past with a half-life, so that it approaches
    a share that is held for long. Merging takes the higher average of two owners: it may be
    repeated, and a record of an owner that has been replaced adds nothing that was not used.
    """

    name = "fair_shares"

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._current: Mapping[OrganisationId, float] = {}
        # Replaced as a whole, so that a reader on another thread sees one consistent state.
        self._recent: Mapping[OrganisationId, float] = {}
        self._updated_at: float | None = None

    def update(self, current: Mapping[OrganisationId, float], now: float) -> None:
        """Set the shares that organisations hold from `now` on, on the owner's clock."""
        elapsed_s = 0.0 if self._updated_at is None else max(0.0, now - self._updated_at)
        kept = self._kept_share(elapsed_s)
        averages = {
            name: kept * self._recent.get(name, 0.0) + (1 - kept) * self._current.get(name, 0.0)
            for name in {**self._recent, **self._current}
        }
        self._recent = {name: usage for name, usage in averages.items() if usage >= MIN_USAGE}
        self._current, self._updated_at = current, now

    def current(self, organisation: OrganisationId) -> float:
        """The share that an organisation holds now."""
        return self._current.get(organisation, 0.0)

    def recent(self, organisation: OrganisationId) -> float:
        """The average share that an organisation has held lately."""
        return self._recent.get(organisation, 0.0)

    def encode(self, unix_now: float) -> bytes:
        rows: dict[str, float] = {}
        size = 0
        for name, usage in sorted(self._recent.items(), key=lambda row: (-row[1], row[0])):
            size += len(name.encode()) + _ROW_BYTES
            if len(rows) < MAX_ORGANISATIONS and size <= MAX_RECORD_BYTES:
                rows[name] = round(min(1.0, usage), 5)
        return _encode(_UsageRecord(1, unix_now, rows))

    def merge(self, value: bytes, unix_now: float) -> None:
        record = _decode(value)
        if not math.isfinite(record.at):
            raise msgspec.ValidationError("the time of the record is not a number")
        # Clocks of entries differ, so a record may be from the near future.
        kept = self._kept_share(max(0.0, unix_now - record.at))
        merged = dict(self._recent)
        for text, usage in sorted(record.usage.items(), key=lambda row: -row[1]):
            name, aged = OrganisationId(text), kept * usage
            if aged >= MIN_USAGE and (name in merged or len(merged) < MAX_ORGANISATIONS):
                merged[name] = max(aged, merged.get(name, 0.0))
        self._recent = merged

    def _kept_share(self, elapsed_s: float) -> float:
        return float(0.5 ** (elapsed_s / self._half_life_s))
