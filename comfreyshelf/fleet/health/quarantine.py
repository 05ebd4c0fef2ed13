"""Keeps work away from a target for a fixed time after failures of several jobs."""

import msgspec

from comfreyshelf.fleet.health.target_health import HealthEvent, TargetHealth
from comfreyshelf.fleet.jobs import Announcement, EndKind, Incarnation
from comfreyshelf.ids import JobId, TargetId

# A target is quarantined after failures of this many different jobs without a success in between.
QUARANTINE_AFTER_JOBS = 2
QUARANTINE_S = 8.0


class _Record(msgspec.Struct):
    """The jobs that have failed on one incarnation of a target since its last success."""

    incarnation: Incarnation
    failed_jobs: set[JobId]
    quarantined_until: float = 0.0


class Quarantine(TargetHealth):
    """Failures of QUARANTINE_AFTER_JOBS jobs quarantine a target until it starts again."""

    def __init__(self) -> None:
        self._records: dict[TargetId, _Record] = {}

    def record_end(self, event: HealthEvent, now: float) -> None:
        record = self._record(event.announcement)
        if event.kind is EndKind.DONE:
            record.failed_jobs.clear()
        elif event.kind is EndKind.FAILED:
            record.failed_jobs.add(event.job)
            if len(record.failed_jobs) >= QUARANTINE_AFTER_JOBS:
                record.quarantined_until = now + QUARANTINE_S
                record.failed_jobs.clear()

    def may_start(self, announcement: Announcement, machine: str, now: float) -> bool:
        record = self._records.get(announcement.id)
        return (
            record is None
            or record.incarnation != announcement.incarnation
            or now >= record.quarantined_until
        )

    def _record(self, announcement: Announcement) -> _Record:
        record = self._records.get(announcement.id)
        if record is None or record.incarnation != announcement.incarnation:
            record = _Record(announcement.incarnation, set())
            self._records[announcement.id] = record
        return record
