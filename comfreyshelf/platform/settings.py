"""Decodes the platform's settings file into the settings of a fleet process."""

from pathlib import Path

import msgspec

from comfreyshelf.errors import SettingsError
from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.scheduling import Scheduling, read_scheduling
from comfreyshelf.fleet.settings import FleetSettings

# The same port is set in deploy/system.toml.
METRICS_PORT = 9464
# Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "COMFREYSHELF_CONFIG"
# Environment variable that holds the path of the scheduling settings; none are in use without it.
SCHEDULING_VARIABLE = "COMFREYSHELF_SCHEDULING"


class _StoreSettings(msgspec.Struct, rename="kebab"):
    address: str
    # The largest record.
    record_bytes: int = 262_144
    # The largest sum of the records of one append.
    call_bytes: int = 2_097_152


class _BoundsSettings(msgspec.Struct):
    # The longest time for which a runner keeps its runs without a renewal of its lease.
    hold_max_ms: float = msgspec.field(default=6000, name="hold-max-ms")
    stop_grace_ms: float = msgspec.field(default=200, name="stop-grace-ms")
    gang_wait_ms: float = msgspec.field(default=3000, name="gang-wait-ms")
    # For how long the state of an ended job can be queried.
    status_s: float = 120
    # How long before its time an occurrence of a periodic job may start.
    early_ms: float = 250
    checkpoint_s: float = msgspec.field(default=0.5, name="checkpoint-s")
    grace_s: float = msgspec.field(default=6, name="grace-s")
    # How soon after its acceptance a job that a guarantee covers has to run.
    reclaim_ms: float = msgspec.field(default=2700, name="reclaim-ms")
    # How many times as long a task takes on another rack than that of its data or its gang.
    remote_factor: float = msgspec.field(default=3, name="remote-factor")
    # How long a run needs to resume from a checkpoint.
    restore_ms: float = msgspec.field(default=250, name="restore-ms")
    # How soon starts in an evacuated zone have to cease; 0 if zones are not evacuated here.
    evacuate_ms: float = msgspec.field(default=0, name="evacuate-ms")


class _LimitsSettings(msgspec.Struct, rename="kebab"):
    # The share of one core that the process may use.
    cpu_share: float = 1.0
    # Despite its name, how many times as fast as usual that core is.
    cores: float = 1.0


class _NodeSettings(msgspec.Struct, rename="kebab"):
    node_name: str
    zone: str
    ip: str
    # Despite its name, only the platform's store.
    platform: _StoreSettings
    # Addresses to listen on: `control`, and on entries `front` and `ready`.
    listen: dict[str, str]
    # First and last port that are free for the traffic between entries and target processes.
    port_range: tuple[int, int]
    # Despite its name, addresses of entries only, which may be stale or down.
    seed_nodes: list[str] = []
    # The parts of the platform's rules that are in force.
    contracts: list[str] = []
    # Despite its name, the address of the runner; on target processes only.
    app: str = ""
    bounds: _BoundsSettings = msgspec.field(default_factory=_BoundsSettings)
    limits: _LimitsSettings = msgspec.field(default_factory=_LimitsSettings)


def read_settings(path: Path, scheduling_path: Path | None = None) -> FleetSettings:
    """Read the settings file, and that of the scheduling features; raises SettingsError."""
    try:
        node = msgspec.json.decode(path.read_bytes(), type=_NodeSettings)
    except (OSError, msgspec.DecodeError) as exc:
        raise SettingsError(
            f"cannot read {path}: {exc}", "give the path of the platform's settings file"
        ) from exc
    bounds = node.bounds
    return FleetSettings(
        node.node_name,
        node.zone,
        node.ip,
        node.platform.address,
        node.listen.get("control", ""),
        node.port_range[0],
        tuple(node.seed_nodes),
        node.listen.get("front", ""),
        node.listen.get("ready", ""),
        node.app,
        f"{node.ip}:{METRICS_PORT}",
        Bounds(
            bounds.hold_max_ms / 1000,
            bounds.stop_grace_ms / 1000,
            bounds.gang_wait_ms / 1000,
            bounds.status_s,
            bounds.early_ms / 1000,
            bounds.checkpoint_s,
            bounds.grace_s,
            bounds.reclaim_ms / 1000,
            bounds.remote_factor,
            bounds.restore_ms / 1000,
            bounds.evacuate_ms / 1000,
        ),
        max(0.01, node.limits.cpu_share * node.limits.cores),
        node.platform.record_bytes,
        node.platform.call_bytes,
        (
            read_scheduling(scheduling_path, frozenset(node.contracts))
            if scheduling_path is not None
            else Scheduling()
        ),
    )
