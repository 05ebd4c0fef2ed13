"""The entry process: serves callers, keeps the book, and owns the schedule while it leads."""

import threading
import time
from collections.abc import Callable

import msgspec

from comfreyshelf.errors import UserError
from comfreyshelf.fleet.book import JobBook, progress_record, removal_records
from comfreyshelf.fleet.bounds import monotonic
from comfreyshelf.fleet.codec import Codec
from comfreyshelf.fleet.front import Front
from comfreyshelf.fleet.hub import Hub
from comfreyshelf.fleet.jobs import FleetConfig, Token
from comfreyshelf.fleet.messages import Orders, Report
from comfreyshelf.fleet.owner import OwnerCore
from comfreyshelf.fleet.relay import RELAY_PATH, Relay, relay_for_peer
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
from comfreyshelf.fleet.target import OWNER_GROUP
from comfreyshelf.fleet.web import Call, Reply, WebServer, metrics_server
from comfreyshelf.ids import JobId, TargetId
from comfreyshelf.kernel import Kernel
from comfreyshelf.logs import change
from comfreyshelf.metrics import Metrics
from comfreyshelf.tasks import Poller, Task

JOBS_TOPIC = "keyed.jobs"
OWNER_TOPIC = "owner"
WRITER = "owner"
READ_WAIT_MS = 1000
RETRY_S = 0.2
# A member that sends nothing for this long loses the schedule to another one.
MEMBER_TTL_MS = 1200
JOIN_INTERVAL_S = 0.3
MOVED_INTERVAL_S = 0.03
# An entry that does not lead looks this often whether anyone does.
WATCH_INTERVAL_S = 0.3
# A member that does not lead leaves the group after this long.
SPARE_S = 3.0
# A stopping entry lets others take the lead for this long.
STOPPING_WAIT_S = 1.0
# An owner whose membership is not confirmed for this long stops giving orders.
UNCONFIRMED_S = 10.0
TICK_S = 0.25
REMOVAL_INTERVAL_S = 10.0
# Knowledge of jobs older than this makes an entry report itself not ready.
STALE_S = 6.0
# A stopping entry serves on until the balancer has missed two of its probes, one a second.
NOTICE_S = 2.4
FRONT_THREADS = 8
CONTROL_THREADS = 4
READY_THREADS = 1
MAX_RELAYED_BYTES = 4 * 1024 * 1024
NOT_OWNER = Orders(Token(0), 0, 0.0, 0, (), ())


class Keeper:
    """Keeps the book in step with the store, for readers and writers in any thread."""

    def __init__(self, store: Store, book: JobBook, changed: Callable[[JobId], None]) -> None:
        self._store = store
        self._book = book
        self._changed = changed
        self._lock = threading.Lock()
        self._next = -1
        self.read_at = float("-inf")

    def append(self, records: list[KeyedRecord], writer: Writer | None = None) -> None:
        """Write records and fold them."""
        first = self._store.append(JOBS_TOPIC, records, writer)
        self._fold(
            [
                KeyedRecord(record.key, record.value, first + number)
                for number, record in enumerate(records)
            ]
        )

    def catch_up(self) -> None:
        """Read up to the present end."""
        self.read(0)

    def read(self, wait_ms: int) -> None:
        """Read once, waiting for a record for at most `wait_ms`."""
        with self._lock:
            offset = self._next
        try:
            if offset < 0:
                batch = self._store.newest(JOBS_TOPIC)
            else:
                batch = self._store.read(JOBS_TOPIC, offset, wait_ms)
        except ExpiredError as exc:
            change("records expired", why=str(exc))
            batch = self._store.newest(JOBS_TOPIC)
        self._fold(list(batch.records))
        with self._lock:
            self._next = max(self._next, batch.next_offset)
            self.read_at = monotonic()

    def _fold(self, records: list[KeyedRecord]) -> None:
        for record in records:
            try:
                job = self._book.apply(record)
            except msgspec.DecodeError as exc:
                change("record cannot be decoded", key=record.key, why=str(exc))
                continue
            if job is not None:
                self._changed(job)


class JobReader(Poller):
    """Follows the job records."""

    def __init__(self, keeper: Keeper) -> None:
        super().__init__("job-reader")
        self._keeper = keeper

    def poll(self) -> None:
        try:
            self._keeper.read(READ_WAIT_MS)
        except (StoreBusyError, StoreSilentError, msgspec.DecodeError):
            self.wait(RETRY_S)


class ConfigReader(Poller):
    """Follows the operators' configuration; a version is never replaced by an older one."""

    def __init__(self, store: Store, codec: Codec, changed: Callable[[FleetConfig], None]) -> None:
        super().__init__("config-reader")
        self._store = store
        self._codec = codec
        self._changed = changed
        self._next = -1
        self.config: FleetConfig | None = None

    def poll(self) -> None:
        topic = self._codec.config_topic
        try:
            if self._next < 0:
                batch = self._store.newest(topic)
            else:
                batch = self._store.read(topic, self._next, READ_WAIT_MS)
        except ExpiredError as exc:
            change("configuration records expired", why=str(exc))
            self._next = -1
            return
        except (StoreBusyError, StoreSilentError, msgspec.DecodeError):
            self.wait(RETRY_S)
            return
        self._next = batch.next_offset
        newest = [r for r in batch.records if r.key == self._codec.config_key and r.value]
        if newest:
            self._take(newest[-1].value)
        elif self.config is None:
            # The operators' first configuration has not been written yet.
            self._next = -1
            self.wait(RETRY_S)

    def _take(self, value: bytes) -> None:
        try:
            config = self._codec.config(value)
        except UserError as exc:
            change("configuration refused", why=str(exc))
            return
        if self.config is not None and config.version <= self.config.version:
            return
        change(
            "configuration in force",
            version=config.version,
            before=self.config.version if self.config else 0,
        )
        self.config = config
        self._changed(config)


class Member(Poller):
    """Watches the group whose leader owns the schedule, and joins it while it has no leader.

    A member that joins takes the lead from the present one, so only an entry that finds none joins.
    Each term has a member name of its own, so that the group's generation, which is the epoch of
    the owner's writes, is never used by two terms.
    """

    def __init__(self, store: Store, name: str, told: Callable[[Membership], None]) -> None:
        super().__init__("member")
        self._store = store
        self._name = name
        self._told = told
        self._generation = 0
        self._member = ""
        self._led_at = float("-inf")
        self._renew = threading.Event()
        # A stopping entry leads only when nobody else does.
        self.stopping = False

    def end_term(self) -> None:
        """Leave the group, and join it again as another member when it has no leader."""
        self._renew.set()

    def poll(self) -> None:
        try:
            if self._renew.is_set():
                self._renew.clear()
                self._leave()
            self.wait(self._stay() if self._member else self._watch())
        except (StoreBusyError, StoreSilentError, msgspec.DecodeError):
            self.wait(RETRY_S)

    def _watch(self) -> float:
        """Join if nobody leads; returns the seconds until the next look."""
        now = monotonic()
        if self._store.leader(OWNER_GROUP):
            self._led_at = now
            self._told(Membership(self._generation, False))
            return WATCH_INTERVAL_S
        if self.stopping and now - self._led_at < STOPPING_WAIT_S:
            return WATCH_INTERVAL_S
        self._member = f"{self._name}/{time.time_ns() // 1_000_000}"
        self._led_at = monotonic()
        return 0.0

    def _stay(self) -> float:
        """Renew the membership; returns the seconds until the next renewal."""
        membership = self._store.join(
            OWNER_GROUP, self._member, OWNER_TOPIC, MEMBER_TTL_MS, self._generation
        )
        moved = membership.generation != self._generation
        self._generation = membership.generation
        if not self._renew.is_set():
            self._told(membership)
        if membership.leads:
            self._led_at = monotonic()
        elif monotonic() - self._led_at > SPARE_S:
            self._leave()
        # A partition moves only once its last holder has joined with the new generation.
        return MOVED_INTERVAL_S if moved else JOIN_INTERVAL_S

    def _leave(self) -> None:
        member, self._member = self._member, ""
        if not member:
            return
        try:
            self._store.leave(OWNER_GROUP, member)
        except (StoreBusyError, StoreSilentError) as exc:
            change("group not left", why=str(exc))

    def stop(self) -> None:
        """End the thread and leave the group, so that another member leads at once."""
        super().stop()
        self._leave()


class ReportIn(msgspec.Struct, frozen=True):
    """A target's report, and when it arrived."""

    report: Report
    at: float


class JobChanged(msgspec.Struct, frozen=True):
    """A job was accepted, cancelled or stored anew."""

    job: JobId


class Owner(Task[ReportIn | JobChanged | Membership | FleetConfig]):
    """Runs the owner's decisions while this entry leads."""

    def __init__(self, settings: FleetSettings, book: JobBook, metrics: Metrics) -> None:
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
                    self._core.report(report, at, self._date())
                    view = self._core.targets.get(report.announcement.id)
                    if view is not None:
                        view.changed = True
            case JobChanged(job):
                entry = self._book.get(job)
                if self._core is not None and entry is not None:
                    self._core.load(entry, monotonic(), self._date())
        if self._inbox.empty():
            self._decide()

    def tick(self) -> None:
        """Give up, move and place what has become due."""
        self._decide()
        self._measure()

    def _measure(self) -> None:
        now, gauge = monotonic(), self._metrics.gauge
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
            change("takeover fenced", epoch=epoch, why=str(exc))
            self._end_term()
            return
        except (StoreBusyError, StoreSilentError, ExpiredError) as exc:
            change("takeover failed", epoch=epoch, why=str(exc))
            return
        self._sequence = 1
        now = monotonic()
        self._date_offset = time.time() - now
        self._core = OwnerCore(self._config, self._settings.bounds, Token(epoch), now)
        self._core.note = change
        for entry in self._book.entries():
            self._core.load(entry, now, self._date())
        change("owner elected", epoch=epoch, jobs=len(self._core.jobs))

    def _resign(self, why: str, still_leads: bool = True) -> None:
        change("owner resigned", why=why)
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
            core.stored()
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
            change("progress is stored again", records=len(records))
        self._writes = True
        self._unsettled = None
        self._sequence += 1
        return True

    def _write_failed(self, how: str, exc: UserError, records: int) -> None:
        self._write_after = monotonic() + RETRY_S
        self._metrics.count(f'retries{{reason="owner_write_{how}"}}')
        if self._writes:
            change("progress not stored", how=how, why=str(exc), records=records)
        self._writes = False

    def _removals(self) -> list[KeyedRecord]:
        horizon = time.time() - 2 * self._settings.remember_s
        removals: list[KeyedRecord] = []
        for entry in self._book.entries():
            if entry.job is not None and 0 < entry.progress.ended_at < horizon:
                removals += removal_records(entry.job.id)
        return removals

    def _send(self, core: OwnerCore) -> None:
        assert self._hub is not None
        for view in core.targets.values():
            if view.changed:
                self._hub.send(view.id, core.orders(view))


class EntryProcess:
    """Puts the services of an entry together."""

    def __init__(
        self,
        settings: FleetSettings,
        codec: Codec,
        make_store: Callable[[Relay], Store],
    ) -> None:
        self._settings = settings
        self._stopping = False
        self.metrics = Metrics()
        self._relay = Relay(settings.store_address, self._peers, self.metrics)
        store = make_store(self._relay)
        book = JobBook()
        self._owner = Owner(settings, book, self.metrics)
        self._hub = Hub(settings.pipe_address, self._receive)
        self._keeper = Keeper(store, book, lambda job: self._owner.send(JobChanged(job)))
        self._configs = ConfigReader(store, codec, self._owner.send)
        front = Front(
            codec,
            book,
            lambda: self._configs.config,
            self._keeper.append,
            self._keeper.catch_up,
            lambda: self._relay.reachable,
            self.metrics,
        )
        self._front = WebServer(settings.front_address, FRONT_THREADS, front.handle, front.max_body)
        member = Member(store, f"{settings.name}@{settings.pipe_address}", self._owner.send)
        self._member = member
        self._owner.connect(self._keeper, store, self._hub, member.end_term)
        self.kernel = Kernel()
        register = self.kernel.register
        register("metrics", self.metrics)
        if settings.metrics_address:
            register("metrics-server", metrics_server(settings.metrics_address, self.metrics))
        register("hub", self._hub)
        register("owner", self._owner)
        register("configuration", self._configs)
        register("jobs", JobReader(self._keeper))
        register("control", self._server(settings.control_address, CONTROL_THREADS, self._control))
        register("ready", self._server(settings.ready_address, READY_THREADS, self._ready))
        register("front", self._front)
        register("member", member)

    def _server(self, address: str, threads: int, handle: Callable[[Call], Reply]) -> WebServer:
        return WebServer(address, threads, handle, lambda: MAX_RELAYED_BYTES)

    def _peers(self) -> list[str]:
        return [peer for peer in self._settings.peers if peer != self._settings.control_address]

    def _receive(self, report: Report) -> None:
        self._owner.send(ReportIn(report, monotonic()))

    def _ready(self, call: Call) -> Reply:
        fresh = monotonic() - self._keeper.read_at < STALE_S
        ready = fresh and self._configs.config is not None and not self._stopping
        return Reply(200 if ready else 503, b"{}")

    def _control(self, call: Call) -> Reply:
        if call.path == RELAY_PATH:
            headers = {
                key.removeprefix("HTTP_").replace("_", "-").lower(): value
                for key, value in call.headers.items()
            }
            status, body = relay_for_peer(self._relay, headers, call.body)
            return Reply(status, body, kind="application/octet-stream")
        return Reply(404, b"{}")

    def prepare_stop(self) -> None:
        """Report not ready but serve on, then close the front and hand over the schedule."""
        self._stopping = self._member.stopping = True
        self._front.closing = True
        time.sleep(NOTICE_S)
        self._front.stop()
        self._owner.send(Membership(0, False))
        self._member.stop()
