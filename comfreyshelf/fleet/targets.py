"""The owner's view of each target: its last report, runs and drain."""

import msgspec

from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.bounds import LISTING_SUSPECT_S, SUSPECT_AFTER_S
from comfreyshelf.fleet.evacuation.evacuations import OFFSET_UNSUPPORTED
from comfreyshelf.fleet.jobs import Announcement, Incarnation, Resources, RunningRow
from comfreyshelf.fleet.messages import Report, StopOrder
from comfreyshelf.ids import Offset, TargetId

# A target that refused a start gets no other for this long; its next heartbeat tells what room it
# has.
REFUSAL_PAUSE_S = 1.5


class TargetView(msgspec.Struct):
    """A target as last reported, and the runs on it.

    `seen_at` is when the owner received the last report, on the owner's clock; `report_sent_at` and
    `listed_at`, when the runner last listed its runs, are on the target's clock. Ended runs are
    numbered: those up to `processed_ends` have been handled, and those up to `acknowledged_ends`
    are in the store as well. `unwanted_runs` are stop orders for listed runs that the owner does
    not know. `drain_until` is when the time for draining ends, 0 if the target does not drain.
    `certain_until` is until when the target certainly stays, by the shortest notice that it gave; 0
    if it has not announced its departure.
    A target whose runner refused a start gets none until `no_starts_until`; one that
    `takes_no_work` gets none either. `speed` is the one
    that the slowdowns of its runs are based on. `orders_changed` is set when new orders have to be
    sent. `operator_offset` is up to where the target process knows the operators' topic. The target
    is slow until `cold_until`, after an evacuation of its zone.
    """

    announcement: Announcement
    incarnation: Incarnation
    seen_at: float
    machine: str
    report_sent_at: float = 0.0
    listed_at: float = 0.0
    lists_known: bool = False
    active_runs: dict[str, ActiveRun] = {}
    unwanted_runs: dict[str, StopOrder] = {}
    processed_ends: int = 0
    acknowledged_ends: int = 0
    drain_until: float = 0.0
    certain_until: float = 0.0
    no_starts_until: float = 0.0
    speed: float = 1.0
    orders_changed: bool = True
    operator_offset: Offset = OFFSET_UNSUPPORTED
    cold_until: float = 0.0
    takes_no_work: bool = False

    @property
    def id(self) -> TargetId:
        """The target's id."""
        return self.announcement.id

    def can_accept_work(self, now: float) -> bool:
        """Whether new work may be placed on the target."""
        return (
            self.lists_known
            and not self.takes_no_work
            and not self.announcement.draining
            and now - self.seen_at < SUSPECT_AFTER_S
            and self.report_sent_at - self.listed_at < LISTING_SUSPECT_S
            and now >= self.no_starts_until
            and not self.unwanted_runs
        )

    def free_room(self) -> Resources:
        """The room that no run holds."""
        free = self.announcement.room
        for active in self.active_runs.values():
            free -= active.demand
        return free

    def record_notice(self, now: float) -> bool:
        """Apply the announced departure; returns whether the target may leave earlier than known.

        A heartbeat that is reported again repeats its time left, so only shorter times count.
        """
        before = self.certain_until
        left_ms = self.announcement.drain_left_ms
        if not self.announcement.draining and left_ms <= 0:
            self.certain_until = 0.0
            return False
        leaves_at = now + max(0, left_ms) / 1000
        self.certain_until = min(before, leaves_at) if before else leaves_at
        return self.certain_until != before

    def record_refusal(self, now: float) -> None:
        """Record that the runner refused a start that was meant to be carried out."""
        self.no_starts_until = now + REFUSAL_PAUSE_S

    def stop_unwanted(self, row: RunningRow) -> None:
        """Order a run to stop that the target lists but the owner does not want."""
        if row.task not in self.unwanted_runs:
            self.orders_changed = True
        self.unwanted_runs[row.task] = StopOrder(row.task, row.run)


def new_target_view(report: Report, now: float) -> TargetView:
    """Create the view of a target from its first report."""
    return TargetView(report.announcement, Incarnation(report.incarnation), now, report.machine)
