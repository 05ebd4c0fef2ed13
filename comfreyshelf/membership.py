"""What an entry knows of the targets that announced themselves."""

import threading
import time

import msgspec

from comfreyshelf.ids import TargetId, Version, ZoneId
from comfreyshelf.messages import RunnerLoad, Status
from comfreyshelf.model import HeldPart, WorkerInfo

FORGET_AFTER_S = 60.0


class TargetView(msgspec.Struct, frozen=True):
    """The newest status of a target; `seen_at` is in monotonic seconds."""

    worker: WorkerInfo
    version: Version
    parts: tuple[HeldPart, ...]
    runners: tuple[RunnerLoad, ...]
    draining: bool
    seen_at: float

    @property
    def idle(self) -> bool:
        """Whether nothing holds the target."""
        return not self.parts and not any(load.running or load.waiting for load in self.runners)


class Roster:
    """Thread-safe table of targets by id."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._views: dict[TargetId, TargetView] = {}

    def update(self, status: Status) -> None:
        """Take in a status and forget targets that have been silent for long."""
        now = time.monotonic()
        view = TargetView(
            status.worker, status.version, status.parts, status.runners, status.draining, now
        )
        with self._lock:
            self._views[status.worker.target] = view

    def forget_silent(self) -> None:
        """Drop the targets that have been silent for FORGET_AFTER_S."""
        horizon = time.monotonic() - FORGET_AFTER_S
        with self._lock:
            silent = [name for name, view in self._views.items() if view.seen_at < horizon]
            for target in silent:
                del self._views[target]

    def views(self) -> list[TargetView]:
        """All known targets in order of id."""
        with self._lock:
            return [self._views[target] for target in sorted(self._views)]

    def view(self, target: TargetId) -> TargetView | None:
        """One target, or None."""
        with self._lock:
            return self._views.get(target)

    def in_zone(self, zone: ZoneId) -> list[TargetView]:
        """Targets of one availability zone."""
        return [view for view in self.views() if view.worker.zone == zone]
