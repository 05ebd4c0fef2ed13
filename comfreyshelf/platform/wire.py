"""Decodes bodies of callers, runners and operators into the fleet's types."""

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
_INSTANCES = "/v1/instances/"

_PHASES = {
    JobPhase.QUEUED: "queued",
    JobPhase.RUNNING: "running",
    JobPhase.COMPLETED: "completed",
    JobPhase.FAILED: "failed",
    JobPhase.CANCELLED: "canceled",
}
_STATES = {"ready": False, "draining": True}


class WireError(UserError):
    """A body cannot be decoded."""


class _Step(msgspec.Struct, rename="kebab"):
    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    est_runtime_ms: int = 0
    depends_on: list[int] = []
    checkpointing: bool = False
    gang_scheduled: bool = False
    same_rack: bool = False
    requirements: str = ""
    # Despite its name, only a preference: the rack that holds the step's data.
    affinity: str = ""
    # Despite its name, a limit: the most tasks of the step on one runner.
    anti_affinity: int = 0
    long_running: bool = False


class _Job(msgspec.Struct, rename="kebab"):
    task_spec: str
    steps: list[_Step]
    repeat_count: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0


class _Capacity(msgspec.Struct, rename="kebab"):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Beat(msgspec.Struct, rename="kebab"):
    service: str
    zone: str
    state: str
    sequence: int
    capacity: _Capacity
    # The first label is the runner's kind, the second its rack.
    labels: list[str] = []
    drain_left_ms: int = 0
    clock_ms: int = 0
    born: int = 0


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    # Despite its name, not a latency percentile: the time allowed beyond the job's chain of steps.
    target_latency_ms: int = 0
    auth_exempt: bool = False


class _Tenant(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: list[str] = []
    guaranteed: dict[str, int] = {}


class _Limits(msgspec.Struct, rename="kebab"):
    max_body_bytes: int = 262_144


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


def _decode(body: bytes, kind: type) -> object:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise WireError(f"a body cannot be decoded: {exc}", "correct the sender") from exc


def decode_job(
    body: bytes, job: JobId, organisation: OrganisationId, queue: QueueName, now: float
) -> Job:
    """A caller's job; raises WireError."""
    wire = _decode(body, _Job)
    assert isinstance(wire, _Job)
    if len(wire.task_spec.encode()) > MAX_PAYLOAD_BYTES or not wire.steps:
        raise WireError("a job has no steps or too long a payload", "correct the job")
    for number, step in enumerate(wire.steps):
        if step.count < 1 or any(not 0 <= after < number for after in step.depends_on):
            raise WireError(f"step {number} has no tasks or waits for a later step", "correct it")
    return Job(
        job,
        organisation,
        queue,
        wire.task_spec,
        tuple(_step(step) for step in wire.steps),
        now,
        wire.repeat_count,
        wire.first_run_ms,
        wire.interval_ms,
    )


def _step(step: _Step) -> Step:
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
    """A runner's heartbeat; raises WireError, also for a state that has no meaning here."""
    beat = _decode(body, _Beat)
    assert isinstance(beat, _Beat)
    if beat.state not in _STATES:
        raise WireError(f"runner {target} reports the state '{beat.state}'", "ignore it")
    # A runner that names no rack counts as a rack of its own.
    rack = next((label for label in beat.labels[1:] if label.startswith("r")), target)
    return Announcement(
        TargetId(target),
        ServiceId(beat.service),
        ZoneId(beat.zone),
        RackId(rack),
        tuple(beat.labels),
        Resources(beat.capacity.cpu, beat.capacity.mem_mb, beat.capacity.gpu),
        _STATES[beat.state],
        beat.drain_left_ms,
        Incarnation(beat.born),
        beat.sequence,
        beat.clock_ms,
    )


def decode_config(value: bytes) -> FleetConfig:
    """The operators' configuration; raises WireError."""
    wire = _decode(value, _Config)
    assert isinstance(wire, _Config)
    return FleetConfig(
        Version(wire.version),
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
            for route in wire.routes
        ),
        tuple(
            Organisation(
                OrganisationId(tenant.name),
                tuple(tenant.api_keys),
                tenant.guaranteed.get("gpu", 0),
            )
            for tenant in wire.tenants
        ),
        wire.limits.max_body_bytes,
    )


def encode_phase(phase: JobPhase) -> bytes:
    """The body that tells a job's state."""
    return msgspec.json.encode({"state": _PHASES[phase]})


def encode_waiting(count: int) -> bytes:
    """The body that tells how many jobs of a queue wait."""
    return msgspec.json.encode({"waiting": count})


class PlatformCodec(Codec):
    """The platform's formats."""

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

    def encode_phase(self, phase: JobPhase) -> bytes:
        return encode_phase(phase)

    def encode_waiting(self, count: int) -> bytes:
        return encode_waiting(count)

    def encode_refusal(self, retry_after_s: int) -> bytes:
        return msgspec.json.encode({"retry-after-ms": retry_after_s * 1000})

    def target_from_path(self, path: str) -> str:
        return path.removeprefix(_INSTANCES) if path.startswith(_INSTANCES) else ""
