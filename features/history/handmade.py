"""Hand-made histories that test the checkers: one valid, the others break one promise each."""

import hashlib

import msgspec

from comfreyshelf.errors import Execution
from comfreyshelf.ids import (
    Attempt,
    CallerId,
    DomainId,
    Epoch,
    JobId,
    OperatorId,
    OrganisationId,
    RackId,
    RequestId,
    ServiceId,
    TargetId,
    Version,
    ZoneId,
)
from comfreyshelf.model import Adjacency, Job, JobState, PartState, Placement, Shape, WorkerInfo
from comfreyshelf.records import ConfigPublished, JobAccepted, JobFinished
from comfreyshelf.worker import standin_job_result
from features.history.events import (
    ConfigRead,
    HistoryEvent,
    JobAnswered,
    JobLost,
    JobSubmitted,
    PartExited,
    PartsReleased,
    PartsReserved,
    PartStarted,
    Published,
    Recorded,
    RequestAnswered,
    RequestSent,
    ResultRead,
    RunnerEnded,
    RunnerStarted,
    WorkerDown,
    WorkerUp,
)
from features.history.scenario import CONFIG_TEXT

T0, T1, T2 = TargetId("t0"), TargetId("t1"), TargetId("t2")
REQUEST = RequestId("request")
ALL_ACCELERATORS = 0xFF


def _job(name: str, shape: Shape, organisation: str = "gamma", preemptible: bool = False) -> Job:
    return Job(
        JobId(name),
        OrganisationId(organisation),
        CallerId("caller"),
        name,
        ServiceId("permit"),
        "kind",
        shape,
        1.0,
        idempotent=False,
        preemptible=preemptible,
        payload=name.encode(),
    )


def _worker(target: TargetId, rack: str, zone: str = "paysandu") -> WorkerUp:
    return WorkerUp(0.0, WorkerInfo(target, ZoneId(zone), RackId(rack), 8, 64, 256, 1))


def _placement(part: int, target: TargetId, mask: int) -> Placement:
    return Placement(part, target, mask)


def _part_started(time: float, job: Job, part: int, target: TargetId, run: int) -> PartStarted:
    return PartStarted(time, target, job, Attempt(1), _placement(part, target, 0xF), run)


def _part_exited(time: float, target: TargetId, run: int, state=PartState.FINISHED) -> PartExited:
    return PartExited(time, target, run, state, False)


def _job_finished(time: float, job: Job) -> Recorded:
    result = standin_job_result(job)
    digest = hashlib.sha256(result).hexdigest()
    domain = DomainId("litoral")
    return Recorded(time, True, JobFinished(job.id, Attempt(1), domain, Epoch(1), result, digest))


def _result_read(time: float, job: Job, result: bytes) -> ResultRead:
    return ResultRead(time, job.id, JobState.FINISHED, result, hashlib.sha256(result).hexdigest())


PAIR = _job("pair", Shape(2, 4, Adjacency.RACK), preemptible=True)
LARGE = _job("large", Shape(1, 8))
FLEET_EVENTS: list[HistoryEvent] = [
    _worker(T0, "p1"),
    _worker(T1, "p1"),
    _worker(T2, "p2"),
    Recorded(
        0.0, True, ConfigPublished(Version(1), Version(0), CONFIG_TEXT, OperatorId("operations"))
    ),
]
CONFIG_EVENTS: list[HistoryEvent] = [
    Published(1.0, Version(1), CONFIG_TEXT, frozenset()),
    ConfigRead(2.0, "e0", Version(1), CONFIG_TEXT),
    Published(10.0, Version(2), "scrap t0", frozenset({T0})),
    ConfigRead(11.0, "e0", Version(2), "scrap t0"),
]
REQUEST_SENT = RequestSent(1.0, REQUEST, b"abc", False)
REQUEST_STARTED = RunnerStarted(1.1, T0, REQUEST)
PAIR_SUBMITTED = JobSubmitted(1.0, PAIR)

VALID_HISTORY: list[HistoryEvent] = [
    *FLEET_EVENTS,
    REQUEST_SENT,
    REQUEST_STARTED,
    RunnerEnded(1.2, T0, REQUEST),
    RequestAnswered(1.3, REQUEST, b"cba"),
    *CONFIG_EVENTS,
    JobSubmitted(12.0, PAIR),
    JobAnswered(12.1, PAIR.id, PAIR.id),
    PartsReserved(12.2, T1, PAIR, Attempt(1), (_placement(0, T1, 0xF), _placement(1, T1, 0xF0))),
    _part_started(12.3, PAIR, 0, T1, 1),
    _part_started(12.3, PAIR, 1, T1, 2),
    _part_exited(13.0, T1, 1),
    _part_exited(13.0, T1, 2),
    PartsReleased(13.1, T1, PAIR.id, Attempt(1)),
    _job_finished(13.2, PAIR),
    _result_read(14.0, PAIR, standin_job_result(PAIR)),
    WorkerDown(15.0, T0, True),
]

# The guarantees in litoral need two of the three workers: a whole one for alpha, and two halves of
# one rack for beta.
INVALID_HISTORIES: dict[tuple[str, str], list[HistoryEvent]] = {
    ("guarantee", "a job takes the last whole worker"): [
        *FLEET_EVENTS,
        PartsReserved(2.0, T2, LARGE, Attempt(1), (_placement(0, T2, ALL_ACCELERATORS),)),
        PartsReserved(
            3.0,
            T1,
            msgspec.structs.replace(LARGE, id=JobId("second")),
            Attempt(1),
            (_placement(0, T1, ALL_ACCELERATORS),),
        ),
    ],
    ("gang", "a gang goes on after a part failed"): [
        *FLEET_EVENTS,
        _part_started(1.0, PAIR, 0, T0, 1),
        _part_started(1.0, PAIR, 1, T1, 2),
        _part_exited(2.0, T0, 1, PartState.FAILED),
        _part_exited(20.0, T1, 2),
    ],
    ("gang", "a gang is spread over two racks"): [
        *FLEET_EVENTS,
        _part_started(1.0, PAIR, 0, T0, 1),
        _part_started(1.0, PAIR, 1, T2, 2),
        _part_exited(2.0, T0, 1),
        _part_exited(2.0, T2, 2),
    ],
    ("answer", "a part is missing in the result"): [
        PAIR_SUBMITTED,
        _result_read(4.0, PAIR, standin_job_result(PAIR)[:-4]),
    ],
    ("answer", "a request gets the answer of another"): [
        REQUEST_SENT,
        RequestAnswered(2.0, REQUEST, b"other"),
    ],
    ("answer", "a job never ends"): [PAIR_SUBMITTED, JobLost(99.0, PAIR.id)],
    ("refusal", "a refused request starts later"): [
        REQUEST_SENT,
        RequestAnswered(1.05, REQUEST, execution=Execution.NOT_RUN),
        REQUEST_STARTED,
    ],
    ("refusal", "a refused job is accepted"): [
        PAIR_SUBMITTED,
        Recorded(1.5, True, JobAccepted(PAIR, DomainId("litoral"))),
        JobAnswered(6.0, PAIR.id, execution=Execution.NOT_RUN),
    ],
    ("at-most-once", "a non-idempotent part starts twice"): [
        *FLEET_EVENTS,
        _part_started(1.0, LARGE, 0, T0, 1),
        _part_exited(2.0, T0, 1),
        _part_started(3.0, LARGE, 0, T0, 2),
        _part_exited(4.0, T0, 2),
    ],
    ("at-most-once", "a non-idempotent request starts twice"): [
        REQUEST_SENT,
        REQUEST_STARTED,
        RunnerStarted(3.0, T1, REQUEST),
    ],
    ("at-most-once", "a job finishes twice"): [_job_finished(2.0, PAIR), _job_finished(3.0, PAIR)],
    ("drain", "a scrapped target takes work after 4 s"): [
        *FLEET_EVENTS,
        *CONFIG_EVENTS,
        PartsReserved(14.0, T0, PAIR, Attempt(1), (_placement(0, T0, 0xF),)),
    ],
    ("graceful", "a planned stop interrupts a request"): [
        REQUEST_SENT,
        REQUEST_STARTED,
        WorkerDown(1.2, T0, True),
    ],
    ("configuration", "a process reverts to an older version"): [
        *CONFIG_EVENTS,
        ConfigRead(12.0, "e0", Version(1), CONFIG_TEXT),
    ],
    ("configuration", "a version has two texts"): [
        *CONFIG_EVENTS,
        ConfigRead(12.0, "e1", Version(2), "another text"),
    ],
    ("configuration", "a process misses a version for 8 s"): [
        *CONFIG_EVENTS,
        ConfigRead(18.1, "e1", Version(1), CONFIG_TEXT),
    ],
}
