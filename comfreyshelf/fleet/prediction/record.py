"""The record in which what was learned of run times outlives its owner."""

import math
from itertools import pairwise

import msgspec

from comfreyshelf.fleet.jobs import QueueName
from comfreyshelf.fleet.learned.state import LearnedState
from comfreyshelf.fleet.prediction.distribution import POINTS, Points
from comfreyshelf.fleet.prediction.quantile_model import (
    MAX_KEYS,
    Key,
    Measure,
    QuantileModel,
)
from comfreyshelf.ids import OrganisationId

RECORD_VERSION = 1
# The weight of the samples in a record halves with this age, so that what a whole day has shown
# still counts a little on the next one.
HALF_LIFE_S = 4 * 3600.0
# Distributions with fewer samples are not kept.
MIN_WEIGHT = 1.0


class _Entry(msgspec.Struct, frozen=True, array_like=True):
    """One distribution; the values are in thousandths and ascending."""

    queue: QueueName
    organisation: OrganisationId
    is_gang: bool
    measure: Measure
    weight: float
    milli: tuple[int, ...]


class _Record(msgspec.Struct, frozen=True, array_like=True):
    """All distributions; `written_at` is in seconds since the Unix epoch."""

    version: int
    written_at: float
    entries: list[_Entry]


_decode = msgspec.msgpack.Decoder(_Record).decode
_decode_version = msgspec.msgpack.Decoder(list[msgspec.Raw]).decode


class DurationsRecord(LearnedState):
    """The distributions of a QuantileModel as a record.

    A distribution is kept as 20 quantiles and a weight, about 90 bytes. To merge is to add samples,
    so records may be merged in any order; one that is merged twice only counts for more.
    """

    name = "durations"

    def __init__(self, model: QuantileModel) -> None:
        self._model = model

    @property
    def revision(self) -> int:
        return self._model.revision

    def encode(self, unix_now: float) -> bytes:
        entries = []
        for key, distribution in self._model.items():
            points = distribution.points
            if points is not None and distribution.weight >= MIN_WEIGHT:
                entries.append(
                    _Entry(
                        key.queue,
                        key.organisation,
                        key.is_gang,
                        key.measure,
                        round(distribution.weight, 1),
                        tuple(max(1, round(value * 1000)) for value in points.values),
                    )
                )
        return msgspec.msgpack.encode(_Record(RECORD_VERSION, unix_now, entries))

    def merge(self, value: bytes, unix_now: float) -> None:
        header = _decode_version(value)
        if not header or msgspec.msgpack.decode(header[0]) != RECORD_VERSION:
            raise msgspec.DecodeError("the record has another version")
        record = _decode(value)
        if not all(_is_valid(entry) for entry in record.entries):
            raise msgspec.DecodeError("the record has a distribution that is none")
        # The clocks of entries differ, so a record may be from the future.
        age_s = max(0.0, unix_now - record.written_at)
        share = 0.5 ** (age_s / HALF_LIFE_S)
        for entry in record.entries[-MAX_KEYS:]:
            if entry.weight * share < MIN_WEIGHT:
                continue
            key = Key(entry.queue, entry.organisation, entry.is_gang, entry.measure)
            points = Points(tuple(milli / 1000 for milli in entry.milli))
            self._model.distribution(key).add_points(points, entry.weight * share)


def _is_valid(entry: _Entry) -> bool:
    return (
        0.0 <= entry.weight < math.inf
        and len(entry.milli) == POINTS
        and entry.milli[0] > 0
        and all(lower <= upper for lower, upper in pairwise(entry.milli))
    )
