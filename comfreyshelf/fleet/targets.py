"""What the owner of the schedule believes about each target."""

import msgspec

from comfreyshelf.fleet.bounds import SUSPECT_AFTER_S
from comfreyshelf.fleet.jobs import Announcement, Incarnation, RunningRow
from comfreyshelf.fleet.messages import Report, StopOrder
from comfreyshelf.fleet.work import Active
from comfreyshelf.ids import JobId, TargetId

# Failures of this many different jobs in a row, without a success between, quarantine a target.
FAILING_JOBS = 2
QUARANTINE_S = 8.0


class TargetView(msgspec.Struct):
    """A target, when it last reported, and what runs there.

    `seen_at` is on the owner's clock. Ends up to `processed` have been handled, and those up to
    `acknowledged` are in the store.
    """

    announcement: Announcement
    incarnation: Incarnation
    seen_at: float
    machine: str
    report_sent_at: float = 0.0
    lists_known: bool = False
    active: dict[str, Active] = {}
    unasked: dict[str, StopOrder] = {}
    processed: int = 0
    acknowledged: int = 0
    drain_until: float = 0.0
    failing_jobs: set[JobId] = set()
    quarantined_until: float = 0.0
    changed: bool = True

    @property
    def id(self) -> TargetId:
        """The target's id."""
        return self.announcement.id

    def placeable(self, now: float) -> bool:
        """Whether new work may be placed here."""
        return (
            self.lists_known
            and not self.announcement.draining
            and now - self.seen_at < SUSPECT_AFTER_S
            and now >= self.quarantined_until
            and not self.unasked
        )

    def failed(self, job: JobId, now: float) -> None:
        """Note a failure; several jobs in a row quarantine the target."""
        self.failing_jobs.add(job)
        if len(self.failing_jobs) >= FAILING_JOBS:
            self.quarantined_until = now + QUARANTINE_S
            self.failing_jobs.clear()

    def succeeded(self) -> None:
        """Note a success."""
        self.failing_jobs.clear()

    def note_unasked(self, row: RunningRow) -> None:
        """A run that nobody wants is stopped."""
        if row.task not in self.unasked:
            self.changed = True
        self.unasked[row.task] = StopOrder(row.task, row.run)


def view_of(report: Report, now: float) -> TargetView:
    """A view that begins with a target's first report."""
    return TargetView(report.announcement, Incarnation(report.incarnation), now, report.machine)
