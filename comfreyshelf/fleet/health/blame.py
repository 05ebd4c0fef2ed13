"""How the blame for failures is divided between a job and the places where it failed."""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

import msgspec

from comfreyshelf.fleet.health.score import FAILURE_CHARGE, Score
from comfreyshelf.ids import JobId

# Jobs that are remembered; the one that ended a run longest ago is forgotten first.
MAX_JOBS = 1024
# Further failures of a job at the same place count this much of the first one, and all together
# this many times, so that one job never condemns a place: two have to fail there.
REPEATED_FAILURE_SHARE = 0.25
MAX_FAILURES_OF_ONE_JOB = 1.4
# A failure of the job on another machine of the same rack or zone explains the failures there by
# the job this much, compared with a failure elsewhere. It may also be a fault of the whole zone.
SAME_GROUP_SHARE = 0.5


class Level(Enum):
    """The size of a place: one machine, its rack, or its zone."""

    MACHINE = 0
    RACK = 1
    ZONE = 2


class Place(NamedTuple):
    """A machine, rack or zone. The name of a rack contains that of its zone."""

    level: Level
    name: str


Places = tuple[Place, Place, Place]


class Charge(NamedTuple):
    """What a failure adds to the score of a place; it is below 0 if earlier blame is taken back."""

    place: Place
    amount: float
    blame: float


class _JobRecord(msgspec.Struct):
    """What a job has shown: its successes, where it failed, and what it charged to places.

    `failures` has the places of each machine on which it failed. `charged` is how many failures
    count against a place, decayed like the place's score, and `blames` which share of them.
    """

    successes: int = 0
    failures: dict[str, Places] = {}
    charged: dict[Place, Score] = {}
    blames: dict[Place, float] = {}


class JobBlame:
    """Divides the blame for each failure.

    A job that fails on several machines, and succeeds nowhere, explains its failures. Each failure
    elsewhere also takes back a part of what the job has charged before.
    `is_faulty` tells of a machine whether other failures explain those that happen there.
    """

    def __init__(self, is_faulty: Callable[[str], bool]) -> None:
        self._is_faulty = is_faulty
        self._jobs: dict[JobId, _JobRecord] = {}

    def record_success(self, job: JobId) -> None:
        """Record that a run of a job succeeded."""
        self._record(job).successes += 1

    def record_failure(self, job: JobId, places: Places, now: float) -> list[Charge]:
        """Record a failure; returns what it charges, and what it takes back elsewhere."""
        record = self._record(job)
        record.failures[places[0].name] = places
        charges = []
        for place in {**record.charged, **dict.fromkeys(places)}:
            blame = self._blame(record, place)
            counted = record.charged.setdefault(place, Score(0.0, now))
            before = counted.value(now)
            amount = before * (blame - record.blames.get(place, blame))
            if place in places:
                step = REPEATED_FAILURE_SHARE if place in record.blames else 1.0
                counted.add(step, now, MAX_FAILURES_OF_ONE_JOB)
                amount += (counted.value(now) - before) * blame
            elif amount >= 0:
                continue
            record.blames[place] = blame
            charges.append(Charge(place, amount * FAILURE_CHARGE, blame))
        return charges

    def _blame(self, record: _JobRecord, place: Place) -> float:
        """The share of a job's failures at a place that is put down to the place."""
        elsewhere = 0.0
        for machine, places in record.failures.items():
            if place in places:
                is_same_machine = place.level is Level.MACHINE
                elsewhere += 0.0 if is_same_machine else SAME_GROUP_SHARE
            elif not self._is_faulty(machine):
                elsewhere += 1.0
        if place.level is not Level.MACHINE and any(
            place in places for places in record.failures.values()
        ):
            # The first failure at the place is the one to be explained.
            elsewhere -= SAME_GROUP_SHARE
        return (record.successes + 1) / (record.successes + 1 + elsewhere)

    def _record(self, job: JobId) -> _JobRecord:
        record = self._jobs.pop(job, None) or _JobRecord()
        self._jobs[job] = record
        if len(self._jobs) > MAX_JOBS:
            del self._jobs[next(iter(self._jobs))]
        return record
