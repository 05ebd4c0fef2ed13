"""Decodes bodies of callers, runners and operators into the fleet's types; encodes answers."""

import re
from typing import Annotated

import msgspec

from comfreyshelf.errors import UserError
from comfreyshelf.fleet.codec import Codec
from comfreyshelf.fleet.jobs import (
    Announcement,
    FleetConfig,
    Incarnation,
    Job,
    JobPhase,
    Organisation,
    Queue,
    QueueName,
    Resources,
    Step,
)
from comfreyshelf.ids import (
    JobId,
    OrganisationId,
    RackId,
    ServiceId,
    TargetId,
    Version,
    ZoneId,
)

MAX_PAYLOAD_BYTES = 4000
CONFIG_KEY = "config"
OPERATOR_TOPIC = "op"
# Prefix of the keys of evacuations, followed by the zone.
_EVACUATION_PREFIX = "evacuate/"
_INSTANCES_PATH = "/v1/instances/"

_STATE_BY_PHASE = {
    JobPhase.QUEUED: "queued",
    JobPhase.RUNNING: "running",
    JobPhase.COMPLETED: "completed",
    JobPhase.FAILED: "failed",
    JobPhase.CANCELLED: "canceled",
}
_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}


# A number that each message and record can hold; a JSON number may be of any size.
_Integer = Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]
# What may stand in a header that names a target.
_TARGET_ID = re.compile(r"[!-~]{1,200}")


class WireError(UserError):
    """A body cannot be decoded, or violates a limit."""


class _Step(msgspec.Struct, rename="kebab"):
    # Number of tasks.
    count: _Integer = 1
    # Thousandths of a core for each task.
    cpu: _Integer = 0
    mem_mb: _Integer = 0
    # Number of accelerators for each task.
    gpu: _Integer = 0
    est_runtime_ms: _Integer = 0
    # Indexes of steps that have to be done first.
    depends_on: list[_Integer] = []
    checkpointing: bool = False
    gang_scheduled: bool = False
    same_rack: bool = False
    # Despite the plural, the one label that the target must have; empty if there is none.
    requirements: str = ""
    # Despite its name, only a preference: the rack that holds the step's data.
    affinity: str = ""
    # Despite its name, a limit: the most tasks of the step on one runner; 0 means no limit.
    anti_affinity: _Integer = 0
    # A service: the end of a run neither completes its task nor counts as a failure.
    long_running: bool = False


class _Job(msgspec.Struct, rename="kebab"):
    # Not interpreted here; it is passed on to the runner.
    task_spec: str
    steps: list[_Step]
    # How many times the steps run. Despite its name, the first time counts; 0 if not periodic.
    repeat_count: _Integer = 0
    # In Unix milliseconds.
    first_run_ms: _Integer = 0
    interval_ms: _Integer = 0


class _Capacity(msgspec.Struct, rename="kebab"):
    # Thousandths of a core.
    cpu: _Integer = 0
    mem_mb: _Integer = 0
    # Number of accelerators.
    gpu: _Integer = 0


class _Heartbeat(msgspec.Struct, rename="kebab"):
    service: str
    zone: str
    # A key of _IS_DRAINING_BY_STATE.
    state: str
    sequence: _Integer
    # Total capacity, whatever is in use.
    capacity: _Capacity
    # The first label is the runner's kind, the second its rack.
    labels: list[str] = []
    drain_left_ms: _Integer = 0
    clock_ms: _Integer = 0
    # When the runner started, in Unix milliseconds; it identifies the target's incarnation.
    born: _Integer = 0
    # For how long the target will be slow, after an evacuation of its zone.
    cold_left_ms: _Integer = 0


class _Evacuation(msgspec.Struct):
    """The value of an evacuation's record, which has no fields yet."""


class _Route(msgspec.Struct, rename="kebab"):
    """Despite its name, a queue of jobs, chosen by host and path prefix."""

    name: str
    host: str
    path_prefix: str
    service: str
    # 0 is the most urgent.
    priority: int = 0
    # A job fails once one of its tasks has failed this many times.
    max_attempts: int = 1
    # The time allowed for a job, as a multiple of its longest chain of dependent steps.
    stretch: float = 1.0
    # Despite its name, not a latency percentile: the fixed time added to that multiple.
    target_latency_ms: int = 0
    # Whether requests need no API key.
    auth_exempt: bool = False


class _Tenant(msgspec.Struct, rename="kebab"):
    """An organisation."""

    name: str
    api_keys: list[str] = []
    # Amounts by resource, of which only the number of accelerators (`gpu`) is used.
    guaranteed: dict[str, int] = {}


class _Limits(msgspec.Struct, rename="kebab"):
    max_body_bytes: int = 262_144


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


def _decode(body: bytes, body_type: type) -> object:
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise WireError(
            f"a body cannot be decoded: {exc}", "correct the format of the body"
        ) from exc


def decode_job(
    body: bytes, job: JobId, organisation: OrganisationId, queue: QueueName, now: float
) -> Job:
    """Decode a caller's job; raises WireError if it is malformed or its payload is too large."""
    decoded = _decode(body, _Job)
    assert isinstance(decoded, _Job)
    if len(decoded.task_spec.encode()) > MAX_PAYLOAD_BYTES or not decoded.steps:
        raise WireError(
            f"the job has no steps or its payload exceeds {MAX_PAYLOAD_BYTES} bytes",
            "correct the job",
        )
    for number, step in enumerate(decoded.steps):
        if step.count < 1 or any(not 0 <= after < number for after in step.depends_on):
            raise WireError(
                f"step {number} has no tasks or depends on a step that is not listed before it",
                "correct the step",
            )
    return Job(
        job,
        organisation,
        queue,
        decoded.task_spec,
        tuple(_convert_step(step) for step in decoded.steps),
        now,
        decoded.repeat_count,
        decoded.first_run_ms,
        decoded.interval_ms,
    )


def _convert_step(step: _Step) -> Step:
    return Step(
        step.count,
        Resources(step.cpu, step.mem_mb, step.gpu),
        step.est_runtime_ms,
        tuple(step.depends_on),
        step.checkpointing,
        step.gang_scheduled,
        step.same_rack,
        step.requirements,
        step.affinity,
        step.anti_affinity,
        step.long_running,
    )


def decode_announcement(target: str, body: bytes) -> Announcement:
    """Decode a runner's heartbeat; raises WireError if it is malformed or its state is unknown."""
    heartbeat = _decode(body, _Heartbeat)
    assert isinstance(heartbeat, _Heartbeat)
    if heartbeat.state not in _IS_DRAINING_BY_STATE:
        raise WireError(
            f"runner {target} reports the unknown state '{heartbeat.state}'", "ignore the heartbeat"
        )
    # A runner that names no rack counts as a rack of its own.
    rack = next((label for label in heartbeat.labels[1:] if label.startswith("r")), target)
    return Announcement(
        TargetId(target),
        ServiceId(heartbeat.service),
        ZoneId(heartbeat.zone),
        RackId(rack),
        tuple(heartbeat.labels),
        Resources(heartbeat.capacity.cpu, heartbeat.capacity.mem_mb, heartbeat.capacity.gpu),
        _IS_DRAINING_BY_STATE[heartbeat.state],
        heartbeat.drain_left_ms,
        Incarnation(heartbeat.born),
        heartbeat.sequence,
        heartbeat.clock_ms,
        max(0, heartbeat.cold_left_ms),
    )


def decode_config(value: bytes) -> FleetConfig:
    """Decode the operators' configuration; raises WireError."""
    decoded = _decode(value, _Config)
    assert isinstance(decoded, _Config)
    return FleetConfig(
        Version(decoded.version),
        tuple(
            Queue(
                QueueName(route.name),
                route.host,
                route.path_prefix,
                ServiceId(route.service),
                route.priority,
                max(1, route.max_attempts),
                route.stretch,
                route.target_latency_ms / 1000,
                route.auth_exempt,
            )
            for route in decoded.routes
        ),
        tuple(
            Organisation(
                OrganisationId(tenant.name),
                tuple(tenant.api_keys),
                tenant.guaranteed.get("gpu", 0),
            )
            for tenant in decoded.tenants
        ),
        decoded.limits.max_body_bytes,
    )


def evacuated_zone(key: str) -> ZoneId | None:
    """The zone that a key of the operators' topic evacuates; None for keys of other records."""
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    return ZoneId(key.removeprefix(_EVACUATION_PREFIX))


def check_evacuation(value: bytes) -> None:
    """Raise WireError if the value of an evacuation's record is no object."""
    _decode(value, _Evacuation)


def encode_phase(phase: JobPhase) -> bytes:
    """Encode the answer to a query for a job's state."""
    return msgspec.json.encode({"state": _STATE_BY_PHASE[phase]})


def encode_waiting(count: int) -> bytes:
    """Encode the answer that states how many jobs of a queue wait."""
    return msgspec.json.encode({"waiting": count})


class PlatformCodec(Codec):
    """The platform's wire formats."""

    config_topic = OPERATOR_TOPIC
    config_key = CONFIG_KEY
    api_key_header = "HTTP_X_API_KEY"
    deadline_header = "HTTP_DEADLINE_MS"

    def decode_job(
        self, body: bytes, job: JobId, organisation: OrganisationId, queue: QueueName, now: float
    ) -> Job:
        return decode_job(body, job, organisation, queue, now)

    def decode_announcement(self, target: str, body: bytes) -> Announcement:
        return decode_announcement(target, body)

    def decode_config(self, value: bytes) -> FleetConfig:
        return decode_config(value)

    def evacuated_zone(self, key: str) -> ZoneId | None:
        return evacuated_zone(key)

    def check_evacuation(self, value: bytes) -> None:
        check_evacuation(value)

    def encode_phase(self, phase: JobPhase) -> bytes:
        return encode_phase(phase)

    def encode_waiting(self, count: int) -> bytes:
        return encode_waiting(count)

    def encode_refusal(self, retry_after_s: int) -> bytes:
        return msgspec.json.encode({"retry-after-ms": retry_after_s * 1000})

    def target_from_path(self, path: str) -> str:
        target = path.removeprefix(_INSTANCES_PATH)
        return target if target != path and _TARGET_ID.fullmatch(target) else ""
