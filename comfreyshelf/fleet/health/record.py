"""The record in which what was learned of targets' health outlives its owner."""

import math
from typing import Annotated, Literal

import msgspec

from comfreyshelf.fleet.health.blame import Level, Place
from comfreyshelf.fleet.health.learned_health import LearnedHealth
from comfreyshelf.fleet.health.score import HALF_LIFE_S, MAX_SCORE, MIN_SCORE, Score
from comfreyshelf.fleet.health.steps import (
    MAX_PAUSE_S,
    MAX_PROBATION_S,
    MAX_STRIKES,
    STRIKE_LIFE_S,
    Machine,
)
from comfreyshelf.fleet.health.target_health import Standing
from comfreyshelf.fleet.learned.state import LearnedState

# The record holds the worst machines and groups, up to these limits.
MAX_ROWS = 512
MAX_RECORD_BYTES = 24_576
# Bytes of the numbers of a row and of the lengths that the encoding adds to its names.
_ROW_BYTES = 60
_STEPS = (Standing.TRUSTED, Standing.PROBATION, Standing.AVOIDED)

_ScoreValue = Annotated[float, msgspec.Meta(ge=0, le=MAX_SCORE)]
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class _MachineRow(msgspec.Struct, frozen=True, array_like=True):
    """One machine; `since_s` and `struck_s` are how long ago, `pause_s` is what is left."""

    name: str
    rack: str
    zone: str
    score: _ScoreValue
    step: Annotated[int, msgspec.Meta(ge=0, le=2)]
    strikes: Annotated[int, msgspec.Meta(ge=0, le=MAX_STRIKES)]
    struck_s: _Seconds
    since_s: _Seconds
    pause_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_PAUSE_S)]
    is_cleared: bool
    evidence: str


class _GroupRow(msgspec.Struct, frozen=True, array_like=True):
    """One rack (level 1) or zone (level 2)."""

    level: Annotated[int, msgspec.Meta(ge=1, le=2)]
    name: str
    score: _ScoreValue
    is_failing: bool


class _HealthRecord(msgspec.Struct, frozen=True):
    """All rows as of `at`, in seconds since the Unix epoch."""

    version: Literal[1]
    at: Annotated[float, msgspec.Meta(ge=0)]
    machines: list[_MachineRow]
    groups: list[_GroupRow]


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(_HealthRecord).decode


class HealthRecord(LearnedState):
    """The scores and steps of a LearnedHealth as a record.

    Merging keeps what this owner has seen itself, with the higher score and strikes of both. It may
    be repeated, and a record of an owner that has been replaced can at worst keep a machine on a
    step until its pause is over, so writes need no fencing.
    """

    name = "target_health"

    def __init__(self, health: LearnedHealth) -> None:
        self._health = health

    @property
    def revision(self) -> int:
        return self._health.revision

    def encode(self, unix_now: float) -> bytes:
        now = self._health.now or 0.0
        machines: list[_MachineRow] = []
        size = 0
        # The worst first, as the limits cut the end.
        by_badness = sorted(
            self._health.machines.items(),
            key=lambda item: (-_STEPS.index(item[1].standing), -item[1].score.value(now), item[0]),
        )
        for name, machine in by_badness:
            row = _machine_row(name, machine, now)
            size += _ROW_BYTES + sum(len(text.encode()) for text in (name, row.rack, row.zone))
            if len(machines) < MAX_ROWS and size <= MAX_RECORD_BYTES // 2:
                machines.append(row)
        groups: list[_GroupRow] = []
        size = 0
        for place, group in sorted(
            self._health.groups.items(), key=lambda item: -item[1].score.value(now)
        ):
            size += _ROW_BYTES + len(place.name.encode())
            if len(groups) < MAX_ROWS and size <= MAX_RECORD_BYTES // 2:
                score = round(group.score.value(now), 2)
                groups.append(_GroupRow(place.level.value, place.name, score, group.is_failing))
        return _encode(_HealthRecord(1, unix_now, machines, groups))

    def merge(self, value: bytes, unix_now: float) -> None:
        record = _decode(value)
        if not math.isfinite(record.at):
            raise msgspec.ValidationError("the time of the record is not a number")
        # Clocks of entries differ, so a record may be from the near future.
        age_s = max(0.0, unix_now - record.at)
        now = self._health.now or 0.0
        kept = 0.5 ** (age_s / HALF_LIFE_S)
        for row in record.machines[:MAX_ROWS]:
            self._merge_machine(row, row.score * kept, age_s, now)
        for group in record.groups[:MAX_ROWS]:
            if group.score * kept >= MIN_SCORE:
                place = Place(Level(group.level), group.name)
                self._health.groups.merge(place, group.score * kept, group.is_failing, now)
        self._health.require_update()

    def _merge_machine(self, row: _MachineRow, score: float, age_s: float, now: float) -> None:
        known = self._health.machines.get(row.name)
        struck_at = now - row.struck_s - age_s
        if known is not None:
            if not known.is_cleared:
                known.score = Score(max(score, known.score.value(now)), now)
            if row.strikes > known.strikes:
                known.strikes, known.struck_at = row.strikes, max(struck_at, known.struck_at)
            return
        has_strikes = row.strikes and row.struck_s + age_s < STRIKE_LIFE_S * row.strikes
        standing = _STEPS[row.step]
        if age_s > row.pause_s + MAX_PROBATION_S:
            # Both the pause and the probation after it would be over.
            standing = Standing.TRUSTED
        if score < MIN_SCORE and not has_strikes and standing is Standing.TRUSTED:
            return
        places = (
            Place(Level.MACHINE, row.name),
            Place(Level.RACK, row.rack),
            Place(Level.ZONE, row.zone),
        )
        self._health.machines[row.name] = Machine(
            places,
            Score(score, now),
            standing,
            reason="an earlier owner's record",
            evidence=row.evidence,
            strikes=row.strikes,
            struck_at=struck_at,
            since=now - row.since_s - age_s,
            paused_until=now + row.pause_s - age_s,
            is_cleared=row.is_cleared,
        )


def _machine_row(name: str, machine: Machine, now: float) -> _MachineRow:
    _, rack, zone = machine.places
    return _MachineRow(
        name,
        rack.name,
        zone.name,
        round(machine.score.value(now), 2),
        _STEPS.index(machine.standing),
        machine.strikes,
        round(_bounded(now - machine.struck_at), 1),
        round(_bounded(now - machine.since), 1),
        round(min(MAX_PAUSE_S, max(0.0, machine.paused_until - now)), 1),
        machine.is_cleared,
        machine.evidence,
    )


def _bounded(seconds: float) -> float:
    return min(1e9, max(0.0, seconds))
