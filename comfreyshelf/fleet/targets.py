"""What the owner of the schedule believes about each target."""

import msgspec

from comfreyshelf.fleet.bounds import SUSPECT_AFTER_S
from comfreyshelf.fleet.jobs import Announcement, Incarnation, RunningRow
from comfreyshelf.fleet.messages import Report, StopOrder
from comfreyshelf.fleet.work import ActiveRun
from comfreyshelf.ids import JobId, TargetId

# Failures of this many different jobs in a row, without a success between, quarantine a target.
QUARANTINE_AFTER_JOBS = 2
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
    active_runs: dict[str, ActiveRun] = {}
    unwanted_runs: dict[str, StopOrder] = {}
    processed_ends: int = 0
    acknowledged_ends: int = 0
    drain_until: float = 0.0
    failed_jobs: set[JobId] = set()
    quarantined_until: float = 0.0
    orders_changed: bool = True

    @property
    def id(self) -> TargetId:
        """The target's id."""
        return self.announcement.id

    def can_accept_work(self, now: float) -> bool:
        """Whether new work may be placed here."""
        return (
            self.lists_known
            and not self.announcement.draining
            and now - self.seen_at < SUSPECT_AFTER_S
            and now >= self.quarantined_until
            and not self.unwanted_runs
        )

    def record_failure(self, job: JobId, now: float) -> None:
        """Note a failure; several jobs in a row quarantine the target."""
        self.failed_jobs.add(job)
        if len(self.failed_jobs) >= QUARANTINE_AFTER_JOBS:
            self.quarantined_until = now + QUARANTINE_S
            self.failed_jobs.clear()

    def record_success(self) -> None:
        """Note a success."""
        self.failed_jobs.clear()

    def stop_unwanted(self, row: RunningRow) -> None:
        """A run that nobody wants is stopped."""
        if row.task not in self.unwanted_runs:
            self.orders_changed = True
        self.unwanted_runs[row.task] = StopOrder(row.task, row.run)


def new_target_view(report: Report, now: float) -> TargetView:
    """A view that begins with a target's first report."""
    return TargetView(report.announcement, Incarnation(report.incarnation), now, report.machine)
