"""State of a target process: its target's last heartbeat, its runs and the open orders."""

import threading
from collections.abc import Collection
from typing import NamedTuple

import msgspec

from comfreyshelf.fleet.bounds import CONTACT_GRACE_S, Bounds, monotonic, steady
from comfreyshelf.fleet.crash_log import CrashLog, RunKey
from comfreyshelf.fleet.evacuation.zone_guard import ZONE_EVACUATED, ZoneGuard
from comfreyshelf.fleet.heartbeat_claims import (
    HeartbeatClaims,
    HeartbeatSeries,
    TargetLife,
)
from comfreyshelf.fleet.jobs import (
    Announcement,
    Incarnation,
    RunListing,
    RunningRow,
    Token,
)
from comfreyshelf.fleet.messages import (
    Orders,
    Report,
    StartOrder,
    StopOrder,
    TargetMessage,
    TokenRequest,
)
from comfreyshelf.fleet.open_orders import OpenOrders
from comfreyshelf.fleet.runner_condition import Condition, RunnerCondition
from comfreyshelf.fleet.runner_lease import RunnerLease
from comfreyshelf.ids import TargetId, ZoneId
from comfreyshelf.logs import log_event
from comfreyshelf.metrics import Metrics

# Number of what stands in for the first heartbeat of a life, lower than any real one.
NO_SEQUENCE = -1


class PendingOrders(NamedTuple):
    """Orders to carry out now on one life of a target, under `token`.

    The runs in `refused_starts` must never start, because of `refusal_reason`.
    """

    token: Token
    life: TargetLife
    starts: list[StartOrder]
    stops: list[StopOrder]
    refused_starts: list[StartOrder]
    refusal_reason: str = ""


class ListingRequest(NamedTuple):
    """What to tell the runner when its runs are listed; see `Runner.renew_lease`."""

    token: Token
    target: TargetId
    acknowledged: int
    deadline_ms: int | None


class TargetState:
    """State shared by the threads of a target process; public methods take the lock.

    The present life of the target is the one that answered the last call. A heartbeat of another
    life is a claim, which the runner's next answer settles.
    """

    def __init__(self, bounds: Bounds, machine: str, metrics: Metrics) -> None:
        self._bounds = bounds
        self._metrics = metrics
        self._machine = machine
        self._lock = threading.Lock()
        # The last heartbeat of the present life.
        self._announcement: Announcement | None = None
        self._series = HeartbeatSeries(NO_SEQUENCE, 0.0)
        self._claims = HeartbeatClaims()
        # Whether the runner has answered that it knows a newer token than this process does.
        self._needs_token = False
        self._is_leaving = False
        # Whether the runner has said that it leaves while it was well.
        self._is_end_announced = False
        self._crash_log = CrashLog()
        self._started_at = monotonic()
        self._condition = RunnerCondition(RunnerLease(bounds, steady), self._started_at)
        self._listing: RunListing | None = None
        self._listed_at = 0.0
        # The same on the clock that stands still while the VM is suspended.
        self._listed_at_steady = 0.0
        self._open_orders = OpenOrders(bounds.stop_grace_s)
        self._zone_guard = ZoneGuard()
        self.token = Token(0)
        self.last_contact_at = float("-inf")
        # The owner has stored the ended runs up to this number.
        self.acknowledged = 0
        self.new_acknowledgement = threading.Event()
        self.report_due = threading.Event()

    @property
    def target(self) -> TargetId:
        """The target's id, empty until a runner has confirmed its first heartbeat."""
        return self.life.id

    @property
    def life(self) -> TargetLife:
        """The present life of the target."""
        announcement = self._announcement
        if announcement is None:
            return TargetLife(TargetId(""), Incarnation(0))
        return TargetLife(announcement.id, announcement.incarnation)

    @property
    def has_unsettled_stops(self) -> bool:
        """Whether a confirmed stop has not shown in a listing yet."""
        return self._open_orders.has_unsettled_stops

    def claimed_ids(self) -> list[TargetId]:
        """The ids that heartbeats claim and the runner has not been asked for since."""
        with self._lock:
            return self._claims.ids()

    def announce(self, announcement: Announcement) -> bool:
        """Apply a heartbeat; returns False if it is not newer than the known one.

        One of another life counts only once the runner has answered as that life.
        """
        with self._lock:
            old = self._announcement
            if old is None or self.life != (announcement.id, announcement.incarnation):
                return self._claims.add(announcement, monotonic())
            if not self._series.accept(announcement.sequence, monotonic()):
                return False
            self._announcement = announcement
            self._is_leaving = self._is_end_announced = False
            is_first = old.sequence == NO_SEQUENCE
            is_changed = (old.draining, old.room) != (announcement.draining, announcement.room)
            if is_first or is_changed:
                self.report_due.set()
            return True

    def record_departure(self, target: TargetId) -> None:
        """Record the message that the target leaves for good.

        It counts as gone once its runner has ended for certain: the message may be late, or from
        another writer, and the runner may go on for seconds after it. The target's next heartbeat
        takes it back. A runner that had failed before has crashed all the same.
        """
        with self._lock:
            if self._announcement is not None and self._announcement.id == target:
                self._is_leaving = True
                self._is_end_announced |= not self._condition.is_failing(monotonic())
                self.report_due.set()

    def _begin_life(
        self, announcement: Announcement, listing: RunListing, requested_at: float
    ) -> None:
        """Replace the present life by one that has answered with its first listing."""
        next_runs = set()
        if announcement.id == self.target:
            next_runs = self._crash_log.runs_of_next_life(listing, requested_at)
        self._record_crash(next_runs)
        self._announcement = announcement
        self._series = HeartbeatSeries(announcement.sequence, monotonic())
        self._is_leaving = self._is_end_announced = False
        self._listing = None
        self._open_orders.begin_life()
        self.acknowledged = 0
        self.report_due.set()

    def _stand_in_heartbeat(
        self, target: TargetId, incarnation: Incarnation
    ) -> Announcement | None:
        """What is assumed of a life under the present id before its first heartbeat.

        It may be of another kind, so it takes no work until then. Returns None for another id.
        """
        if self._announcement is None or self._announcement.id != target:
            return None
        return msgspec.structs.replace(
            self._announcement,
            incarnation=incarnation,
            sequence=NO_SEQUENCE,
            draining=False,
            drain_left_ms=0,
        )

    def _record_crash(self, next_runs: Collection[RunKey] = ()) -> None:
        """Record the runs of a runner that has ended, unless it had announced its end.

        Those in `next_runs` are on the next life under its id.
        """
        now = monotonic()
        is_draining = self._announcement is not None and self._announcement.draining
        if is_draining or self._is_end_announced:
            self._crash_log.clear()
            return
        condition = self._condition
        crash = self._crash_log.record_crash(
            condition.failing_since or now, now, next_runs, condition.is_end_seen
        )
        if crash is not None:
            self._metrics.count("runner_crashes")
            log_event("runner crashed", target=self.target, runs=msgspec.to_builtins(crash.runs))

    def apply_listing(self, target: TargetId, listing: RunListing, requested_at: float) -> None:
        """Apply the runner's listing of its runs, its answer to a call that named `target`.

        `requested_at` is when the call was sent. A life that answers before any heartbeat of it has
        come is ignored, unless it has taken the id of the present one: that can no longer answer.
        """
        with self._lock:
            self._needs_token = False
            self._condition.lease.renewal_ended(may_be_carried_out=True)
            announcement = self._claims.settle(target, listing.incarnation, requested_at)
            if self.life != (target, listing.incarnation):
                if announcement is None:
                    announcement = self._stand_in_heartbeat(target, listing.incarnation)
                if announcement is None:
                    return
                self._begin_life(announcement, listing, requested_at)
            previous = self._listing
            self._listed_at, self._listed_at_steady = monotonic(), steady()
            self._condition.record_answer(self._listed_at)
            if self._condition.note_change(self._listed_at) is not None:
                self.report_due.set()
            self._listing = listing
            self._crash_log.apply_listing(listing, requested_at, self._listed_at)
            if self._open_orders.apply_listing(listing, requested_at):
                self.report_due.set()
            if previous is None or _listed_rows(previous) != _listed_rows(listing):
                self.report_due.set()

    def _running(self) -> tuple[RunningRow, ...]:
        listed = self._listing.running if self._listing else ()
        return (*listed, *self._open_orders.unlisted_starts)

    def refute_claims(self, target: TargetId, asked_at: float) -> None:
        """Record that the runner has answered as none of the lives that claim an id."""
        with self._lock:
            self._claims.settle(target, None, asked_at)

    def record_other_target(self, target: TargetId, asked_at: float) -> None:
        """Record the runner's answer that it is another target than the one that a call named."""
        with self._lock:
            self._claims.settle(target, None, asked_at)
            if target == self.target:
                self._condition.lease.renewal_ended(may_be_carried_out=False)
                self._condition.record_other_target()
                self._report_change()

    def record_fenced(self) -> None:
        """Record that the runner has refused the token of this process as outdated."""
        with self._lock:
            self._needs_token = True
            self.report_due.set()

    def listing_request(self) -> ListingRequest:
        """What to tell the present life of the target when its runs are listed."""
        with self._lock:
            deadline_ms = self._lease_deadline_ms()
            if deadline_ms is not None:
                self._condition.lease.renewal_sent()
            return ListingRequest(self.token, self.target, self._listed_ends_stored(), deadline_ms)

    def _listed_ends_stored(self) -> int:
        """Up to which number the present life may forget its ends; 0 for none.

        A life numbers its ends from 1, and a call names an id only. So only ends of the last
        listing are acknowledged, and none after a call that this life has not answered: another
        life may have followed, which would forget ends that nobody has read.
        """
        if self._listing is None or not self._condition.has_answered_last_call:
            return 0
        numbers = (row.number for row in self._listing.ended if row.number <= self.acknowledged)
        return max(numbers, default=0)

    def lease_deadline_ms(self) -> int | None:
        """Return when a lease that starts now ends, in milliseconds on the runner's clock.

        Returns None before the first listing, without recent contact to an owner, and if the runner
        has not listed its runs lately: it may have carried out calls that it did not answer, so
        only leases that are not renewed tell when its runs have lapsed.
        """
        with self._lock:
            return self._lease_deadline_ms()

    def _lease_deadline_ms(self) -> int | None:
        now = monotonic()
        last_contact_at = min(self.last_contact_at, self._condition.answered_at)
        if self._listing is None or now - last_contact_at > CONTACT_GRACE_S:
            return None
        elapsed_s = steady() - self._listed_at_steady
        return int(self._listing.clock_ms + (elapsed_s + self._bounds.lease_s) * 1000)

    def overdue_runs(self) -> list[StopOrder]:
        """Stops for the runs that the owner is about to take for lapsed, as it hears nothing.

        Their lease has lapsed by then, unless the VM was suspended under it.
        """
        with self._lock:
            last_contact_at = max(self.last_contact_at, self._started_at)
            if monotonic() - last_contact_at < self._bounds.runs_stopped_after_s:
                return []
            return [StopOrder(row.task, row.run) for row in self._running()]

    def record_connection(
        self, is_refused: bool, may_be_carried_out: bool = True, is_end_seen: bool = True
    ) -> None:
        """Record that a listing failed.

        `is_refused` is whether the runner's machine refused the connection; `may_be_carried_out`
        whether the runner may have renewed its lease all the same; `is_end_seen` whether the
        failure is one that the end of the runner's process causes.
        """
        with self._lock:
            self._condition.record_failure(monotonic(), is_refused, may_be_carried_out, is_end_seen)
            self._report_change()

    def _report_change(self) -> None:
        """Report at once if the runner is in another condition than before."""
        condition = self._condition.note_change(monotonic())
        if condition is None:
            return
        if condition is not Condition.UP:
            log_event("runner down", target=self.target, condition=condition.value)
        if condition is Condition.ENDED:
            if self._condition.is_crash_certain:
                self._record_crash()
            self._open_orders.drop_starts()
        self.report_due.set()

    def message_to_owner(self) -> TargetMessage | None:
        """Return what to send to the owner now; None if there is nothing to tell or ask."""
        report = self.report()
        if report is None and self._needs_token:
            return TokenRequest(self._machine)
        return report

    def report(self) -> Report | None:
        """Return the report to send now; None until a runner has confirmed its first heartbeat."""
        with self._lock:
            if self._announcement is None:
                return None
            is_listing_current = self._listing is not None
            condition = self._condition.at(monotonic())
            return Report(
                monotonic(),
                self._announcement,
                self._announcement.incarnation,
                is_listing_current,
                self._running() if is_listing_current else (),
                self._listing.ended if is_listing_current and self._listing else (),
                self._open_orders.rejections,
                self._machine,
                self._is_leaving and condition is Condition.ENDED,
                self._listed_at,
                condition is not Condition.ENDED,
                self._crash_log.recent_crashes(monotonic()),
                self._zone_guard.offset,
                condition is not Condition.UP or self._announcement.sequence == NO_SEQUENCE,
            )

    def apply_orders(self, orders: Orders) -> PendingOrders:
        """Apply the owner's orders and return those to carry out now.

        Orders with an older token are ignored. While the target drains, after it has left, and
        while its zone is evacuated, starts are returned as refused.
        """
        with self._lock:
            # The zone is that of the last heartbeat; it is the same for all targets of a VM.
            announcement = self._announcement
            self._zone_guard.apply(orders, announcement.zone if announcement else ZoneId(""))
            if orders.token < self.token:
                return PendingOrders(orders.token, self.life, [], [], [])
            if orders.token > self.token:
                log_event("owner changed", token=orders.token, before=self.token)
                self._needs_token = False
            self.token = orders.token
            self.last_contact_at = max(self.last_contact_at, orders.report_sent_at)
            if announcement is None or orders.incarnation != announcement.incarnation:
                return PendingOrders(orders.token, self.life, [], [], [])
            if orders.acknowledged > self.acknowledged:
                self.acknowledged = orders.acknowledged
                self.new_acknowledgement.set()
            starts, stops = self._open_orders.take(orders, self._running())
            reason = self._refusal_reason(announcement)
            if reason:
                return PendingOrders(orders.token, self.life, [], stops, starts, reason)
            return PendingOrders(orders.token, self.life, starts, stops, [])

    def _refusal_reason(self, announcement: Announcement) -> str:
        """Why no start may be carried out; empty if starts are permitted."""
        if announcement.draining or self._is_leaving:
            return "draining"
        return ZONE_EVACUATED if self._zone_guard.is_evacuated(announcement.zone) else ""

    def is_zone_evacuated(self) -> bool:
        """Whether the target's zone is evacuated, so that no start may be sent to its runner."""
        with self._lock:
            announcement = self._announcement
            return announcement is not None and self._zone_guard.is_evacuated(announcement.zone)

    def record_start_sent(self, life: TargetLife, order: StartOrder) -> bool:
        """Record that a start is sent; returns whether it is the first one sent for its run."""
        with self._lock:
            self._condition.lease.start_sent()
            return life == self.life and self._crash_log.start_sent(
                order.task, order.run, monotonic()
            )

    def may_have_unknown_starts(self) -> bool:
        """Whether the runner may still carry out a start that an earlier process sent."""
        with self._lock:
            return self._condition.lease.is_inherited()

    def record_start_not_done(self, order: StartOrder) -> None:
        """Record that the runner has not carried out the only start sent for a run."""
        with self._lock:
            self._crash_log.start_not_done(order.task, order.run)

    def record_start_silent(self, life: TargetLife) -> None:
        """Record that the runner has not answered a start in time."""
        with self._lock:
            if life == self.life:
                self._condition.record_silence()

    def record_started(self, life: TargetLife, order: StartOrder) -> None:
        """Record that the runner has confirmed a start."""
        with self._lock:
            if life != self.life:
                return
            self._crash_log.start_confirmed(order.task, order.run, monotonic())
            self._open_orders.record_started(order)
            self.report_due.set()

    def record_stopped(self, life: TargetLife, order: StopOrder) -> None:
        """Record that the runner has confirmed a stop."""
        with self._lock:
            if life != self.life:
                return
            self._open_orders.record_stopped(order, monotonic())

    def reject(self, life: TargetLife, task: str, run: int, reason: str) -> None:
        """Record that the runner will never start a run, and report it."""
        with self._lock:
            if life == self.life:
                self._open_orders.reject(task, run, reason)
                self.report_due.set()

    def close_order(self, task: str) -> None:
        """Record that the order for a task has been carried out or has failed."""
        with self._lock:
            self._open_orders.close(task)


def _listed_rows(listing: RunListing) -> tuple:
    """Return the running and ended runs of a listing; a change of them triggers an early report."""
    return (
        {(row.task, row.run) for row in listing.running},
        {row.number for row in listing.ended},
    )
