"""Table of the targets that are connected to an entry, with their newest status."""

import threading
import time

import msgspec

from comfreyshelf.ids import TargetId, Version, ZoneId
from comfreyshelf.messages import Heartbeat, RunnerLoad, Status
from comfreyshelf.model import HeldPart, WorkerInfo

SILENT_TARGET_TIMEOUT_S = 60.0


class TargetView(msgspec.Struct):
    """What an entry knows of a target from its newest status and heartbeat.

    `seen_at` is when the last status or heartbeat arrived, in monotonic seconds. The roster updates
    a view in place, so that a list of views stays valid until `Roster.revision` changes.
    """

    worker: WorkerInfo
    version: Version
    parts: tuple[HeldPart, ...]
    runners: tuple[RunnerLoad, ...]
    draining: bool
    seen_at: float
    sequence: int = 0


class Roster:
    """Thread-safe table of targets by id.

    `revision` grows when a target is added or removed, or when its worker, its draining flag, or
    the health of its runners changes, but not when only loads, parts or times change.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._lock = threading.Lock()
        self._views: dict[TargetId, TargetView] = {}

    def update(self, status: Status) -> None:
        """Add or update the target of a status."""
        now = time.monotonic()
        with self._lock:
            view = self._views.get(status.worker.target)
            if view is None or _routing_state(view) != _routing_state(status):
                self.revision += 1
            if view is None or view.worker != status.worker:
                view = self._views[status.worker.target] = TargetView(
                    status.worker, status.version, (), (), status.draining, now
                )
            view.version = status.version
            view.parts = status.parts
            view.runners = status.runners
            view.draining = status.draining
            view.sequence = status.sequence
            view.seen_at = now

    def renew(self, heartbeat: Heartbeat) -> None:
        """Update a target from a heartbeat, unless it refers to another than its newest status."""
        now = time.monotonic()
        with self._lock:
            view = self._views.get(heartbeat.target)
            if view is not None and view.sequence == heartbeat.sequence:
                view.version = heartbeat.version
                view.seen_at = now

    def remove_silent(self) -> None:
        """Remove the targets that have sent nothing for SILENT_TARGET_TIMEOUT_S."""
        silent_before = time.monotonic() - SILENT_TARGET_TIMEOUT_S
        with self._lock:
            silent = [name for name, view in self._views.items() if view.seen_at < silent_before]
            for target in silent:
                del self._views[target]
            self.revision += len(silent)

    def views(self) -> list[TargetView]:
        """The views of all targets, in order of id."""
        with self._lock:
            return [self._views[target] for target in sorted(self._views)]

    def view(self, target: TargetId) -> TargetView | None:
        """The view of one target, or None if it is unknown."""
        with self._lock:
            return self._views.get(target)

    def in_zone(self, zone: ZoneId) -> list[TargetView]:
        """The views of the targets in one availability zone."""
        return [view for view in self.views() if view.worker.zone == zone]


def _routing_state(item: TargetView | Status) -> tuple[object, ...]:
    """The parts of a status that decide whether requests may be sent to the target at all."""
    return (item.worker, item.draining, [(load.service, load.healthy) for load in item.runners])
