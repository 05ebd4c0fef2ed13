"""Task of an entry that plans jobs and sends orders while the entry leads the owner group."""

import time
from collections.abc import Callable

import msgspec

from comfreyshelf.errors import UserError
from comfreyshelf.fleet.bounds import MEMBERSHIP_TIMEOUT_S, monotonic
from comfreyshelf.fleet.dry_run_question import DryRunQuestion, QuestionDesk
from comfreyshelf.fleet.entry_sync import JOBS_TOPIC, RETRY_S, JobSync
from comfreyshelf.fleet.evacuation.evacuations import Evacuations
from comfreyshelf.fleet.evacuation.operator_topic import OperatorTopic
from comfreyshelf.fleet.hub import Hub
from comfreyshelf.fleet.job_table import (
    JobTable,
    StoredJob,
    progress_record,
    split_records,
)
from comfreyshelf.fleet.jobs import NO_INCARNATION, FleetConfig, Token
from comfreyshelf.fleet.learned.exchange import LearnedExchange
from comfreyshelf.fleet.learned.messages import KeeperMessage, LearnedRead
from comfreyshelf.fleet.messages import Orders, Report, TokenRequest
from comfreyshelf.fleet.owner import OwnerCore
from comfreyshelf.fleet.owner_gauges import set_fleet_gauges
from comfreyshelf.fleet.settings import FleetSettings
from comfreyshelf.fleet.store import (
    ExpiredError,
    FencedError,
    KeyedRecord,
    Membership,
    Store,
    StoreBusyError,
    StoreSilentError,
    Writer,
)
from comfreyshelf.ids import JobId, Offset, TargetId
from comfreyshelf.logs import log_event
from comfreyshelf.metrics import Metrics
from comfreyshelf.tasks import Task

# Name under which the store fences the owner's writes.
WRITER_NAME = "owner"
# The lead is certain for this long after the store was asked to confirm it, or after an append
# under its epoch was sent that succeeded. It is shorter than MEMBER_TTL_MS, and leaves time for the
# orders to arrive.
LEAD_CERTAIN_S = 1.0
TICK_S = 0.25
# Room for the key of a record and the lengths that the store adds to it.
RECORD_MARGIN_BYTES = 256
# How often records that are no longer needed are removed from the store.
REMOVAL_INTERVAL_S = 10.0
# Token 0 tells a target process that this entry does not own the schedule.
NO_TOKEN = Token(0)


class ReportReceived(msgspec.Struct, frozen=True):
    """A target's report and its arrival time on the monotonic clock."""

    report: Report
    received_at: float


class JobChanged(msgspec.Struct, frozen=True):
    """A job was accepted or cancelled, or its stored progress changed."""

    job: JobId


StateMessage = ReportReceived | JobChanged | Membership | FleetConfig | Evacuations | LearnedRead
OwnerMessage = StateMessage | DryRunQuestion | TokenRequest


class OwnerTask(Task[OwnerMessage]):
    """Runs an OwnerCore while this entry owns the schedule: stores its changes, sends its orders.

    A run is ordered to start only after its start is stored.
    """

    def __init__(self, settings: FleetSettings, job_table: JobTable, metrics: Metrics) -> None:
        super().__init__("owner", TICK_S)
        self._settings = settings
        self._job_table = job_table
        self._metrics = metrics
        self._job_sync: JobSync | None = None
        self._store: Store | None = None
        self._hub: Hub | None = None
        self._end_term: Callable[[], None] = lambda: None
        self._operator_topic: OperatorTopic | None = None
        self._read_operators_up_to: Callable[[Offset], None] = lambda offset: None
        self._config: FleetConfig | None = None
        self._core: OwnerCore | None = None
        self._generation = 0
        # The epoch of this entry's last term.
        self._last_epoch = 0
        self._next_sequence = 0
        self._wall_clock_offset_s = 0.0
        # An append that got no answer. It is retried unchanged under the same sequence number.
        self._unanswered_append: list[KeyedRecord] | None = None
        self._retry_write_at = float("-inf")
        self._last_write_succeeded = True
        self._membership_confirmed_at = float("-inf")
        # When the last append was sent that the store carried out under this owner's epoch.
        self._append_confirmed_at = float("-inf")
        self._last_removal_at = 0.0
        # Whether the last orders had no starts, as the operators' topic had not been read lately.
        self._starts_left_out = False
        self._question_desk = QuestionDesk()
        self._learned = LearnedExchange(metrics, settings.max_record_bytes - RECORD_MARGIN_BYTES)

    def connect(
        self,
        job_sync: JobSync,
        store: Store,
        hub: Hub,
        end_term: Callable[[], None],
        send_to_keeper: Callable[[KeeperMessage], None] = lambda message: None,
    ) -> None:
        """Set the objects that the owner works with; called once, before start.

        `end_term` makes this entry leave the owner group. `send_to_keeper` passes on what has to
        outlive this owner.
        """
        self._learned.send = send_to_keeper
        self._job_sync, self._store, self._hub = job_sync, store, hub
        self._end_term = end_term

    def connect_operators(self, topic: OperatorTopic, read_up_to: Callable[[Offset], None]) -> None:
        """Set the operators' topic; called once, before start.

        `read_up_to` makes this entry read the topic up to an offset that a target process knows.
        """
        self._operator_topic, self._read_operators_up_to = topic, read_up_to

    def handle(self, message: OwnerMessage) -> None:
        """Process one event; planning runs once the inbox is empty."""
        match message:
            case Membership():
                self._apply_membership(message)
            case FleetConfig():
                self._config = message
                if self._core is not None:
                    self._core.configure(message)
            case Evacuations():
                # Each plan and each message of orders uses what the topic's reader knows by then.
                pass
            case ReportReceived():
                self._handle_report(message.report, message.received_at)
            case JobChanged(job):
                stored = self._job_table.get(job)
                if self._core is not None and stored is not None:
                    self._load_job(self._core, stored, monotonic())
            case LearnedRead():
                if self._core is not None:
                    self._learned.merge(message, self._unix_now())
                    self._core.needs_plan = True
            case TokenRequest(machine):
                self._send_token(machine)
            case DryRunQuestion():
                self._question_desk.answer(message, self._core, self._unix_now())
        if self._inbox.empty():
            self._plan_and_send(is_tick=False)

    def _handle_report(self, report: Report, received_at: float) -> None:
        if self._core is None:
            self._send_token(report.announcement.id)
            return
        self._core.handle_report(report, received_at, self._unix_now())
        self._read_operators_up_to(report.operator_offset)
        view = self._core.targets.get(report.announcement.id)
        if view is not None:
            view.orders_changed = True

    def tick(self) -> None:
        """Plan for deadlines and timeouts that have passed, and update the metrics."""
        self._plan_and_send(is_tick=True)
        if self._core is not None:
            self._learned.send_changes(monotonic(), self._unix_now())
        self._update_metrics()

    def _update_metrics(self) -> None:
        now, set_gauge = monotonic(), self._metrics.set_gauge
        set_gauge("owns_schedule", int(self._core is not None))
        set_gauge(
            'belief_age_seconds{of="ownership"}', round(now - self._membership_confirmed_at, 3)
        )
        if self._job_sync is not None:
            set_gauge('belief_age_seconds{of="jobs"}', round(now - self._job_sync.last_read_at, 3))
        if self._config is not None:
            set_gauge("configuration_version", self._config.version)
        if self._operator_topic is not None:
            topic = self._operator_topic.state
            set_gauge('belief_age_seconds{of="operators"}', round(now - topic.current_at, 3))
            set_gauge("evacuated_zones", len(topic.evacuations.zones))
        if self._core is not None:
            set_fleet_gauges(self._core, now, set_gauge)

    def _unix_now(self) -> float:
        """Return Unix time in seconds, unaffected by steps of the system clock during a term."""
        return monotonic() + self._wall_clock_offset_s

    def _apply_membership(self, membership: Membership) -> None:
        self._membership_confirmed_at = membership.requested_at
        self._generation = membership.generation
        if not membership.is_leader and self._core is not None:
            self._resign("another member leads", is_still_leader=False)
        elif membership.is_leader and self._core is None and self._config is not None:
            if membership.generation <= self._last_epoch:
                # A second term would share the epoch of the first one. The store would take its
                # appends for repeats and keep nothing.
                log_event("takeover refused", epoch=membership.generation)
                self._end_term()
            else:
                self._take_over()

    def _take_over(self) -> None:
        assert self._job_sync is not None and self._store is not None and self._config is not None
        epoch, elected_at = self._generation, monotonic()
        try:
            self._store.append(JOBS_TOPIC, [], Writer(WRITER_NAME, epoch, 0))
            self._job_sync.catch_up()
        except FencedError as exc:
            log_event("takeover fenced", epoch=epoch, why=str(exc))
            self._end_term()
            return
        except (StoreBusyError, StoreSilentError, ExpiredError) as exc:
            log_event("takeover failed", epoch=epoch, why=str(exc))
            return
        self._last_epoch = epoch
        self._next_sequence = 1
        now = monotonic()
        self._wall_clock_offset_s = time.time() - now
        self._core = OwnerCore(
            self._config, self._settings.bounds, Token(epoch), now, self._settings.scheduling
        )
        self._core.log_event = log_event
        self._core.count = self._metrics.count
        self._read_operators(self._core, elected_at)
        for stored in self._job_table.accepted_jobs():
            self._load_job(self._core, stored, now)
        self._learned.begin_term(epoch, self._core.policies.learned)
        log_event(
            "owner elected",
            epoch=epoch,
            jobs=len(self._core.jobs),
            runs=sum(len(tracked.active_runs) for tracked in self._core.jobs.values()),
        )

    def _read_operators(self, core: OwnerCore, elected_at: float) -> None:
        """Read the operators' topic once, as the previous owner may have known more of it.

        If that fails, the core places nothing until the topic's reader has succeeded.
        """
        if self._operator_topic is None:
            return
        core.zone_gate.accept_reads_since(elected_at)
        if self._settings.bounds.evacuate_s:
            try:
                self._operator_topic.catch_up()
            except (StoreBusyError, StoreSilentError, msgspec.DecodeError) as exc:
                self._metrics.count('retries{reason="operator_topic_read"}')
                log_event("operator topic not read", epoch=core.token, why=str(exc))
        core.update_evacuations(self._operator_topic.state)

    def _load_job(self, core: OwnerCore, stored: StoredJob, now: float) -> None:
        """Load a job; one whose records make no sense must not keep all others from loading."""
        try:
            core.load_job(stored, now, self._unix_now())
        except Exception as exc:
            self._metrics.count("jobs_not_loaded")
            log_event("job not loaded", job=stored.job.id if stored.job else "", why=repr(exc))

    def _resign(self, why: str, is_still_leader: bool = True) -> None:
        log_event("owner resigned", why=why)
        core, self._core = self._core, None
        self._unanswered_append = None
        self._learned.end_term()
        if is_still_leader:
            # Regaining leadership in the same generation would reuse its epoch.
            self._end_term()
        for target in core.targets if core is not None else ():
            self._send_token(target)

    def _send_token(self, recipient: TargetId | str) -> None:
        """Tell a target process the token of this owner, or that this entry is not the owner.

        The message is no contact with an owner that would keep a lease alive.
        """
        if self._hub is not None:
            token = self._core.token if self._core is not None else NO_TOKEN
            self._hub.send(recipient, Orders(token, NO_INCARNATION, 0.0, 0, (), ()))

    def _plan_and_send(self, is_tick: bool) -> None:
        """Plan, at a tick or if something happened that may change the plan, and send orders."""
        core = self._core
        if core is None or self._hub is None:
            return
        if monotonic() - self._membership_confirmed_at > MEMBERSHIP_TIMEOUT_S:
            self._resign("membership is not confirmed")
            return
        if self._operator_topic is not None:
            core.update_evacuations(self._operator_topic.state)
        if is_tick or core.needs_plan:
            core.plan(monotonic(), self._unix_now())
        if self._store_changes(core):
            self._send_orders(core)

    def _store_changes(self, core: OwnerCore) -> bool:
        """Store all changed progress; returns False if ownership was lost.

        A failed write is retried after RETRY_S, and its changes stay pending until then.
        """
        if monotonic() < self._retry_write_at:
            return True
        if self._unanswered_append is not None and not self._append(core, self._unanswered_append):
            return self._core is core
        records = self._progress_records(core)
        now = monotonic()
        if now - self._last_removal_at > REMOVAL_INTERVAL_S:
            self._last_removal_at = now
            status_retention_s = self._settings.bounds.status_retention_s
            records += self._job_table.removal_records(time.time() - 2 * status_retention_s)
        for batch in split_records(records, self._settings.max_append_bytes):
            if not self._append(core, batch):
                return self._core is core
        core.mark_stored()
        return True

    def _progress_records(self, core: OwnerCore) -> list[KeyedRecord]:
        """The records of all changed jobs; a job whose record the store would refuse is given up.

        The store refuses an append as a whole, so one such record would keep all others out.
        """
        max_bytes = self._settings.max_record_bytes - RECORD_MARGIN_BYTES
        records = []
        for job, progress in core.changes():
            record = progress_record(job, progress)
            if len(record.value) > max_bytes:
                self._metrics.count("jobs_too_large")
                why = f"its progress has {len(record.value)} bytes, and {max_bytes} can be stored"
                record = progress_record(job, core.give_up_job(job, self._unix_now(), why))
            records.append(record)
        return records

    def _append(self, core: OwnerCore, records: list[KeyedRecord]) -> bool:
        """Append records under the next sequence number.

        Returns False if they were not stored, or if that is unknown.
        """
        assert self._job_sync is not None
        sent_at = monotonic()
        try:
            self._job_sync.append(records, Writer(WRITER_NAME, core.token, self._next_sequence))
        except FencedError as exc:
            self._resign(str(exc))
            return False
        except StoreBusyError as exc:
            self._record_write_failure("refused", exc, len(records))
            return False
        except StoreSilentError as exc:
            self._unanswered_append = records
            self._record_write_failure("unanswered", exc, len(records))
            return False
        if not self._last_write_succeeded:
            log_event("progress is stored again", records=len(records))
        self._last_write_succeeded = True
        self._append_confirmed_at = sent_at
        self._unanswered_append = None
        self._next_sequence += 1
        return True

    def _record_write_failure(self, how: str, exc: UserError, records: int) -> None:
        self._retry_write_at = monotonic() + RETRY_S
        self._metrics.count(f'retries{{reason="owner_write_{how}"}}')
        if self._last_write_succeeded:
            log_event("progress not stored", how=how, why=str(exc), records=records)
        self._last_write_succeeded = False

    def _send_orders(self, core: OwnerCore) -> None:
        assert self._hub is not None
        proven_at = max(self._membership_confirmed_at, self._append_confirmed_at)
        is_lead_certain = monotonic() - proven_at <= LEAD_CERTAIN_S
        if not is_lead_certain:
            self._metrics.count("orders_without_stops")
        if self._operator_topic is not None:
            # An append may have taken long since the plan.
            core.update_evacuations(self._operator_topic.state)
        may_start = core.zone_gate.is_current(monotonic())
        if not may_start:
            self._metrics.count("orders_without_starts")
        has_starts_left = may_start and self._starts_left_out
        self._starts_left_out = not may_start
        for view in core.targets.values():
            if view.orders_changed or has_starts_left:
                self._hub.send(view.id, core.orders_for(view, is_lead_certain, may_start))
