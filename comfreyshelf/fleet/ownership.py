"""The task that runs the owner's decisions while its entry leads."""

import time
from collections.abc import Callable

import msgspec

from comfreyshelf.errors import UserError
from comfreyshelf.fleet.bounds import monotonic
from comfreyshelf.fleet.followers import JOBS_TOPIC, RETRY_S, Keeper
from comfreyshelf.fleet.hub import Hub
from comfreyshelf.fleet.job_table import JobTable, progress_record, removal_records
from comfreyshelf.fleet.jobs import FleetConfig, Token
from comfreyshelf.fleet.messages import Orders, Report
from comfreyshelf.fleet.owner import OwnerCore
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
from comfreyshelf.ids import JobId, TargetId
from comfreyshelf.logs import log_event
from comfreyshelf.metrics import Metrics
from comfreyshelf.tasks import Task

WRITER = "owner"
# An owner whose membership is not confirmed for this long stops giving orders.
UNCONFIRMED_S = 10.0
TICK_S = 0.25
REMOVAL_INTERVAL_S = 10.0
NOT_OWNER = Orders(Token(0), 0, 0.0, 0, (), ())


class ReportIn(msgspec.Struct, frozen=True):
    """A target's report, and when it arrived."""

    report: Report
    at: float


class JobChanged(msgspec.Struct, frozen=True):
    """A job was accepted, cancelled or stored anew."""

    job: JobId


class Owner(Task[ReportIn | JobChanged | Membership | FleetConfig]):
    """Runs the owner's decisions while this entry leads."""

    def __init__(self, settings: FleetSettings, book: JobTable, metrics: Metrics) -> None:
        super().__init__("owner", TICK_S)
        self._settings = settings
        self._book = book
        self._metrics = metrics
        self._keeper: Keeper | None = None
        self._store: Store | None = None
        self._hub: Hub | None = None
        self._end_term: Callable[[], None] = lambda: None
        self._config: FleetConfig | None = None
        self._core: OwnerCore | None = None
        self._generation = 0
        self._sequence = 0
        self._date_offset = 0.0
        # An append that got no answer; it is repeated as it was, under its own sequence number.
        self._unsettled: list[KeyedRecord] | None = None
        self._write_after = float("-inf")
        self._writes = True
        self._confirmed_at = float("-inf")
        self._removed_at = 0.0

    def connect(self, keeper: Keeper, store: Store, hub: Hub, end_term: Callable[[], None]) -> None:
        """Set what the owner works with; called once, before start."""
        self._keeper, self._store, self._hub = keeper, store, hub
        self._end_term = end_term

    def handle(self, message: ReportIn | JobChanged | Membership | FleetConfig) -> None:
        """Take in one event; decisions follow once the inbox is empty."""
        match message:
            case Membership():
                self._member(message)
            case FleetConfig():
                self._config = message
                if self._core is not None:
                    self._core.configure(message)
            case ReportIn(report, at):
                if self._core is None:
                    self._send_away(report.announcement.id)
                else:
                    self._core.handle_report(report, at, self._date())
                    view = self._core.targets.get(report.announcement.id)
                    if view is not None:
                        view.orders_changed = True
            case JobChanged(job):
                entry = self._book.get(job)
                if self._core is not None and entry is not None:
                    self._core.load_job(entry, monotonic(), self._date())
        if self._inbox.empty():
            self._decide()

    def tick(self) -> None:
        """Give up, move and place what has become due."""
        self._decide()
        self._measure()

    def _measure(self) -> None:
        now, gauge = monotonic(), self._metrics.set_gauge
        gauge("owns_schedule", int(self._core is not None))
        gauge('belief_age_seconds{of="ownership"}', round(now - self._confirmed_at, 3))
        if self._keeper is not None:
            gauge('belief_age_seconds{of="jobs"}', round(now - self._keeper.read_at, 3))
        if self._config is not None:
            gauge("configuration_version", self._config.version)
        if self._core is not None:
            ages = [now - view.seen_at for view in self._core.targets.values()]
            gauge('belief_age_seconds{of="targets"}', round(max(ages, default=0.0), 3))
            gauge("targets", len(ages))
            gauge("jobs_open", len(self._core.jobs))

    def _date(self) -> float:
        """Seconds since the epoch, without the steps that the clock makes during a term."""
        return monotonic() + self._date_offset

    def _member(self, membership: Membership) -> None:
        self._confirmed_at = monotonic()
        self._generation = membership.generation
        if not membership.leads and self._core is not None:
            self._resign("another member leads", still_leads=False)
        elif membership.leads and self._core is None and self._config is not None:
            self._take_over()

    def _take_over(self) -> None:
        assert self._keeper is not None and self._store is not None and self._config is not None
        epoch = self._generation
        try:
            self._store.append(JOBS_TOPIC, [], Writer(WRITER, epoch, 0))
            self._keeper.catch_up()
        except FencedError as exc:
            log_event("takeover fenced", epoch=epoch, why=str(exc))
            self._end_term()
            return
        except (StoreBusyError, StoreSilentError, ExpiredError) as exc:
            log_event("takeover failed", epoch=epoch, why=str(exc))
            return
        self._sequence = 1
        now = monotonic()
        self._date_offset = time.time() - now
        self._core = OwnerCore(self._config, self._settings.bounds, Token(epoch), now)
        self._core.log_event = log_event
        for entry in self._book.accepted_jobs():
            self._core.load_job(entry, now, self._date())
        log_event("owner elected", epoch=epoch, jobs=len(self._core.jobs))

    def _resign(self, why: str, still_leads: bool = True) -> None:
        log_event("owner resigned", why=why)
        core, self._core = self._core, None
        self._unsettled = None
        if still_leads:
            # Leading again in the same generation would use its epoch twice.
            self._end_term()
        for target in core.targets if core is not None else ():
            self._send_away(target)

    def _send_away(self, target: TargetId) -> None:
        """Tell a target process that this entry does not own the schedule."""
        if self._hub is not None:
            self._hub.send(target, NOT_OWNER)

    def _decide(self) -> None:
        core = self._core
        if core is None or self._hub is None:
            return
        if monotonic() - self._confirmed_at > UNCONFIRMED_S:
            self._resign("membership is not confirmed")
            return
        core.plan(monotonic(), self._date())
        if self._write(core):
            self._send(core)

    def _write(self, core: OwnerCore) -> bool:
        """Store all changes; False if ownership was lost."""
        if monotonic() < self._write_after:
            return True
        if self._unsettled is not None and not self._append(core, self._unsettled):
            return self._core is core
        records = [progress_record(job, progress) for job, progress in core.changes()]
        now = monotonic()
        if now - self._removed_at > REMOVAL_INTERVAL_S:
            self._removed_at = now
            records += self._removals()
        if not records or self._append(core, records):
            core.mark_stored()
        return self._core is core

    def _append(self, core: OwnerCore, records: list[KeyedRecord]) -> bool:
        """Append records under the next sequence number; False if they may not be stored."""
        assert self._keeper is not None
        try:
            self._keeper.append(records, Writer(WRITER, core.token, self._sequence))
        except FencedError as exc:
            self._resign(str(exc))
            return False
        except StoreBusyError as exc:
            self._write_failed("refused", exc, len(records))
            return False
        except StoreSilentError as exc:
            self._unsettled = records
            self._write_failed("unanswered", exc, len(records))
            return False
        if not self._writes:
            log_event("progress is stored again", records=len(records))
        self._writes = True
        self._unsettled = None
        self._sequence += 1
        return True

    def _write_failed(self, how: str, exc: UserError, records: int) -> None:
        self._write_after = monotonic() + RETRY_S
        self._metrics.count(f'retries{{reason="owner_write_{how}"}}')
        if self._writes:
            log_event("progress not stored", how=how, why=str(exc), records=records)
        self._writes = False

    def _removals(self) -> list[KeyedRecord]:
        horizon = time.time() - 2 * self._settings.bounds.status_retention_s
        removals: list[KeyedRecord] = []
        for entry in self._book.accepted_jobs():
            if entry.job is not None and 0 < entry.progress.ended_at < horizon:
                removals += removal_records(entry.job.id)
        return removals

    def _send(self, core: OwnerCore) -> None:
        assert self._hub is not None
        for view in core.targets.values():
            if view.orders_changed:
                self._hub.send(view.id, core.orders_for(view))
