"""The platform's settings file, decoded into the product's settings."""

from pathlib import Path

import msgspec

from comfreyshelf.errors import SettingsError
from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.settings import FleetSettings

# As in deploy/system.toml.
METRICS_PORT = 9464
SETTINGS_VARIABLE = "COMFREYSHELF_CONFIG"


class _StoreSettings(msgspec.Struct):
    address: str


class _BoundsSettings(msgspec.Struct):
    hold_max_ms: float = msgspec.field(default=6000, name="hold-max-ms")
    stop_grace_ms: float = msgspec.field(default=200, name="stop-grace-ms")
    gang_wait_ms: float = msgspec.field(default=3000, name="gang-wait-ms")
    status_s: float = 120
    early_ms: float = 250
    checkpoint_s: float = msgspec.field(default=0.5, name="checkpoint-s")
    grace_s: float = msgspec.field(default=6, name="grace-s")


class _NodeSettings(msgspec.Struct, rename="kebab"):
    node_name: str
    zone: str
    ip: str
    platform: _StoreSettings
    listen: dict[str, str]
    # First and last port that are free for the system's own traffic.
    port_range: tuple[int, int]
    # Addresses of entries, which may be stale or down.
    seed_nodes: list[str] = []
    # The runner's address, on target processes only.
    app: str = ""
    bounds: _BoundsSettings = msgspec.field(default_factory=_BoundsSettings)


def read_settings(path: Path) -> FleetSettings:
    """Read the settings file; raises SettingsError."""
    try:
        node = msgspec.json.decode(path.read_bytes(), type=_NodeSettings)
    except (OSError, msgspec.DecodeError) as exc:
        raise SettingsError(f"cannot read {path}: {exc}", "give the platform's file") from exc
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
        ),
    )
