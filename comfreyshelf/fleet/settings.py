"""Settings of the fleet's processes."""

import msgspec

from comfreyshelf.fleet.bounds import Bounds
from comfreyshelf.fleet.scheduling import Scheduling


class FleetSettings(msgspec.Struct, frozen=True):
    """Settings of one process; addresses are ``ip:port``.

    Metrics are served at `/metrics` of `metrics_address` if that is given.
    `front_address` and `ready_address` are empty on a target process, `runner_address` on an entry.
    `cores` is how many cores the process may use on average. `peers` are control addresses of
    entries; some may be out of date. The store takes records of `max_record_bytes`, and appends of
    `max_append_bytes` in all. `scheduling` holds the scheduling features that are in use.
    """

    name: str
    zone: str
    ip: str
    store_address: str
    control_address: str
    pipe_port: int
    peers: tuple[str, ...] = ()
    front_address: str = ""
    ready_address: str = ""
    runner_address: str = ""
    metrics_address: str = ""
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    cores: float = 1.0
    max_record_bytes: int = 262_144
    max_append_bytes: int = 2_097_152
    scheduling: Scheduling = msgspec.field(default_factory=Scheduling)

    @property
    def pipe_address(self) -> str:
        """Where an entry listens for target processes."""
        return f"{self.ip}:{self.pipe_port}"
