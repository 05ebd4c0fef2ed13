"""The entry's owner task: claims domains, runs their scheduler cores, and welcomes targets."""

import time
from concurrent.futures import Future
from functools import partial

import msgspec
from absl import logging

from comfreyshelf.commands import (
    AppendRecord,
    Command,
    CommitParts,
    CountRetry,
    ForgetParts,
    ProbeWorker,
    ReleaseParts,
    ReserveParts,
    StopParts,
)
from comfreyshelf.config import Config
from comfreyshelf.events import (
    ConfigInForce,
    Event,
    JobClosed,
    JobQueued,
    JobResumed,
    LogState,
    PartEnded,
    ProbeEnded,
    Reserved,
    ReserveRefused,
    StartRecorded,
    Tick,
    UsageSeen,
    WorkerLost,
    WorkerSeen,
)
from comfreyshelf.ids import DomainId, EntryId, Epoch, JobId, TargetId, ZoneId
from comfreyshelf.journal import Appender, AppendResult, LedgerReader
from comfreyshelf.ledger import Verdict
from comfreyshelf.membership import Roster
from comfreyshelf.messages import (
    AnyMessage,
    AttemptAbsent,
    Commit,
    Forget,
    PartReport,
    Probe,
    ProbeAnswer,
    Release,
    Reserve,
    ReserveAnswer,
    ServiceSlots,
    Status,
    Stop,
    UsageReport,
    Welcome,
)
from comfreyshelf.metrics import Metrics
from comfreyshelf.model import JobState, PartState
from comfreyshelf.records import (
    AttemptEnded,
    AttemptStarted,
    ConfigPublished,
    DomainClaimed,
    DomainRenewed,
    EntryDown,
    EntryUp,
    JobAccepted,
    JobFinished,
    JobRefused,
    JobRouted,
    JobsCancelled,
    Record,
)
from comfreyshelf.scheduler import Scheduler
from comfreyshelf.settings import EntrySettings
from comfreyshelf.tasks import Task
from comfreyshelf.transport import Hub

LEASE_S = 6.0
# The target counts its lease from when it asked, so the owner may count from when it heard.
LOST_AFTER_S = LEASE_S + 1.0
ENTRY_RENEW_S = 10.0
ENTRY_EXPIRES_S = 35.0


class Folded(msgspec.Struct, frozen=True):
    """A record was applied to the ledger."""

    record: Record
    verdict: Verdict


class FromTarget(msgspec.Struct, frozen=True):
    """A message arrived from a target."""

    target: TargetId
    message: AnyMessage


class LogChanged(msgspec.Struct, frozen=True):
    """The log became reachable or unreachable."""

    up: bool


OwnerMessage = Folded | FromTarget | LogChanged


class OwnedDomain(msgspec.Struct):
    """A domain that this entry owns; times are monotonic seconds.

    Queued jobs are held back until `ready_at`, so that targets can report what they hold first.
    """

    scheduler: Scheduler
    ready_at: float
    ready: bool = False
    renewed_at: float = 0.0
    seen: dict[TargetId, float] = {}
    expected: dict[TargetId, float] = {}


class Owner(Task[OwnerMessage]):
    """Owns zero or more domains of its region."""

    def __init__(
        self,
        cfg: EntrySettings,
        reader: LedgerReader,
        appender: Appender,
        roster: Roster,
        metrics: Metrics,
    ) -> None:
        super().__init__("owner", tick_s=0.1)
        self._cfg = cfg
        self._entry = EntryId(cfg.name)
        self._reader = reader
        self._appender = appender
        self._roster = roster
        self._metrics = metrics
        self._hub: Hub | None = None
        self._domains: dict[DomainId, OwnedDomain] = {}
        self._renewal_seen: dict[DomainId, float] = {}
        self._claiming: set[DomainId] = set()
        self._released: set[DomainId] = set()
        self._log_up = False
        self._log_up_since = 0.0
        self._announced_at = float("-inf")
        self._stopping = False
        reader.on_record(lambda record, verdict: self.send(Folded(record, verdict)))
        reader.on_state(lambda up: self.send(LogChanged(up)))

    def attach(self, hub: Hub) -> None:
        """Set the hub through which targets are reached."""
        self._hub = hub

    def owned(self) -> list[tuple[DomainId, Epoch]]:
        """The domains that this entry owns."""
        return [(name, owned.scheduler.epoch) for name, owned in list(self._domains.items())]

    def leave(self) -> None:
        """Stop claiming and renewing before a shutdown, so that another entry takes over."""
        self._stopping = True

    @property
    def _config(self) -> Config:
        return self._reader.ledger.config

    def handle(self, message: OwnerMessage) -> None:
        """Handle one message."""
        match message:
            case Folded():
                self._on_folded(message.record, message.verdict)
            case FromTarget():
                self._on_target(message.target, message.message)
            case LogChanged():
                self._on_log(message.up)

    def tick(self) -> None:
        """Announce, claim, renew, and give time to the cores."""
        now = time.monotonic()
        if self._stopping:
            return
        if self._log_up:
            self._announce(now)
            self._claim(now)
        for name, owned in list(self._domains.items()):
            self._renew(name, owned, now)
            self._find_lost(owned, now)
            if not owned.ready and now >= owned.ready_at:
                self._make_ready(name, owned)
            self._feed(owned, Tick())

    # The log

    def _on_log(self, up: bool) -> None:
        self._log_up = up
        self._log_up_since = time.monotonic()
        for owned in self._domains.values():
            self._feed(owned, LogState(up))

    def _announce(self, now: float) -> None:
        if now - self._announced_at < ENTRY_RENEW_S:
            return
        self._announced_at = now
        self._appender.submit(
            EntryUp(
                self._entry, ZoneId(self._cfg.zone), self._cfg.http_address, self._cfg.pipe_address
            ),
            ENTRY_RENEW_S,
        )

    def _claim(self, now: float) -> None:
        config = self._config
        own = config.zones.get(ZoneId(self._cfg.zone))
        if own is None:
            return
        domains = {zone.domain for zone in config.zones.values() if zone.region == own.region}
        for domain in sorted(domains - self._domains.keys() - self._claiming):
            entry = self._reader.ledger.state.domains.get(domain)
            epoch = entry.epoch if entry else Epoch(0)
            since = max(self._renewal_seen.get(domain, 0.0), self._log_up_since)
            held = epoch and domain not in self._released
            if held and now - since < self._cfg.claim_after_s:
                continue
            self._claiming.add(domain)
            body = DomainClaimed(domain, Epoch(epoch + 1), epoch, self._entry)
            future = self._appender.submit(body, self._cfg.claim_after_s)
            future.add_done_callback(partial(self._claimed, domain))

    def _claimed(self, domain: DomainId, _future: "Future[AppendResult]") -> None:
        self._claiming.discard(domain)

    def _renew(self, name: DomainId, owned: OwnedDomain, now: float) -> None:
        if not self._log_up or now - owned.renewed_at < self._cfg.renew_interval_s:
            return
        owned.renewed_at = now
        body = DomainRenewed(name, owned.scheduler.epoch, self._entry)
        self._appender.submit(body, self._cfg.renew_interval_s)

    def _on_folded(self, record: Record, verdict: Verdict) -> None:
        body = record.body
        match body:
            case DomainClaimed() if verdict.accepted:
                self._on_claim(body)
            case DomainRenewed() if verdict.accepted:
                self._renewal_seen[body.domain] = time.monotonic()
            case ConfigPublished() if verdict.accepted:
                self._on_config()
            case EntryDown() if verdict.accepted:
                self._on_entry_down(body)
            case EntryUp():
                pass
            case AttemptStarted():
                self._on_attempt_started(record, body, verdict)
            case JobAccepted() if verdict.accepted:
                self._give(body.domain, JobQueued(body.job))
            case JobRouted() if verdict.accepted:
                self._on_routed(body)
            case JobFinished() | JobRefused() if verdict.accepted:
                self._give(body.domain, JobClosed(body.job))
            case AttemptEnded() if verdict.accepted:
                self._on_attempt_ended(body)
            case JobsCancelled() if verdict.accepted:
                for owned in self._domains.values():
                    self._close_cancelled(owned, body.jobs)

    def _on_entry_down(self, body: EntryDown) -> None:
        """An entry that left no longer renews its domains, so they are claimed without waiting."""
        with self._reader.lock:
            domains = self._reader.ledger.state.domains.items()
            self._released |= {name for name, entry in domains if entry.owner == body.entry}

    def _on_claim(self, body: DomainClaimed) -> None:
        now = time.monotonic()
        self._released.discard(body.domain)
        self._renewal_seen[body.domain] = now
        if body.entry != self._entry:
            if self._domains.pop(body.domain, None) is not None:
                logging.info("domain %s was taken over by %s", body.domain, body.entry)
            return
        logging.info("owns domain %s in epoch %d", body.domain, body.epoch)
        scheduler = Scheduler(body.domain, body.epoch)
        owned = OwnedDomain(scheduler, now + self._cfg.status_wait_s, renewed_at=now)
        self._domains[body.domain] = owned
        self._feed(owned, ConfigInForce(self._config))
        self._feed(owned, LogState(self._log_up))
        self._resume(body.domain, owned, now)
        self._welcome_all()

    def _resume(self, name: DomainId, owned: OwnedDomain, now: float) -> None:
        with self._reader.lock:
            running = [
                JobResumed(entry.job, entry.attempt, entry.placements)
                for entry in self._reader.ledger.state.jobs.values()
                if entry.domain == name and entry.state is JobState.RUNNING
            ]
        for event in running:
            self._feed(owned, event)
            for placement in event.placements:
                owned.expected.setdefault(placement.target, now)

    def _make_ready(self, name: DomainId, owned: OwnedDomain) -> None:
        owned.ready = True
        with self._reader.lock:
            queued = [
                JobQueued(entry.job, entry.attempt)
                for entry in self._reader.ledger.state.jobs.values()
                if entry.domain == name and entry.state is JobState.QUEUED
            ]
        for event in queued:
            self._feed(owned, event)

    def _on_config(self) -> None:
        for owned in self._domains.values():
            self._feed(owned, ConfigInForce(self._config))
        self._welcome_all()

    def _on_attempt_started(self, record: Record, body: AttemptStarted, verdict: Verdict) -> None:
        if record.writer == self._cfg.name and verdict.reason != "repeated":
            self._give(body.domain, StartRecorded(body.job, body.attempt, verdict.accepted))

    def _on_attempt_ended(self, body: AttemptEnded) -> None:
        with self._reader.lock:
            entry = self._reader.ledger.state.jobs.get(body.job)
            final = entry is not None and entry.state.final
        if final:
            self._give(body.domain, JobClosed(body.job))

    def _on_routed(self, body: JobRouted) -> None:
        self._give(body.domain, JobClosed(body.job))
        with self._reader.lock:
            entry = self._reader.ledger.state.jobs.get(body.job)
        if entry is not None:
            self._give(body.to, JobQueued(entry.job, entry.attempt))

    def _close_cancelled(self, owned: OwnedDomain, jobs: tuple[JobId, ...]) -> None:
        with self._reader.lock:
            known = self._reader.ledger.state.jobs
            cancelled = [
                job for job in jobs if job in known and known[job].state is JobState.CANCELLED
            ]
        for job in cancelled:
            self._feed(owned, JobClosed(job))

    def _give(self, domain: DomainId, event: Event) -> None:
        owned = self._domains.get(domain)
        if owned is not None and (owned.ready or not isinstance(event, JobQueued)):
            self._feed(owned, event)

    # Targets

    def _on_target(self, target: TargetId, message: AnyMessage) -> None:
        if isinstance(message, Status):
            self._on_status(message)
            return
        owned = self._domain_of(target)
        if owned is None:
            return
        match message:
            case ReserveAnswer(reason=None):
                self._feed(owned, Reserved(message.job, message.attempt, target))
            case ReserveAnswer(reason=reason) if reason is not None:
                self._metrics.refused(reason)
                event = ReserveRefused(message.job, message.attempt, target, reason)
                self._feed(owned, event)
            case PartReport():
                self._feed(owned, self._part_ended(message))
            case AttemptAbsent():
                self._on_absent(owned, message)
            case UsageReport():
                self._feed(
                    owned,
                    UsageSeen(message.job, message.part, target, message.busy, message.memory_gb),
                )
            case ProbeAnswer():
                self._feed(owned, ProbeEnded(target, message.passed))

    def _on_absent(self, owned: OwnedDomain, message: AttemptAbsent) -> None:
        gang = owned.scheduler.gangs.get(message.job)
        if gang is None or gang.attempt != message.attempt:
            return
        for part in gang.on(message.target):
            if part.state is None:
                event = PartEnded(
                    message.job,
                    message.attempt,
                    part.placement.part,
                    message.target,
                    PartState.STOPPED,
                    started=message.started,
                )
                self._feed(owned, event)

    @staticmethod
    def _part_ended(message: PartReport) -> PartEnded:
        return PartEnded(
            message.job,
            message.attempt,
            message.part,
            message.target,
            message.state,
            message.result,
            message.run_s,
            message.started,
            message.checkpointed,
        )

    def _on_status(self, status: Status) -> None:
        self._roster.update(status)
        target = status.worker.target
        owned = self._domain_of(target)
        if owned is not None:
            now = time.monotonic()
            owned.seen[target] = now
            owned.expected.pop(target, None)
            self._feed(owned, WorkerSeen(status.worker, status.parts))
        self._welcome(target, status.worker.zone, status.sent_at)

    def _domain_of(self, target: TargetId) -> OwnedDomain | None:
        view = self._roster.view(target)
        zone = self._config.zones.get(view.worker.zone) if view else None
        return self._domains.get(zone.domain) if zone else None

    def _welcome_all(self) -> None:
        for view in self._roster.views():
            self._welcome(view.worker.target, view.worker.zone, 0.0)

    def _welcome(self, target: TargetId, zone_id: ZoneId, echo: float) -> None:
        config = self._config
        zone = config.zones.get(zone_id)
        if zone is None:
            self._metrics.count("target_in_unknown_zone")
            return
        owned = self._domains.get(zone.domain)
        with self._reader.lock:
            ledger = self._reader.ledger.state
            current = ledger.domains.get(zone.domain)
            horizon = self._reader.ledger.time - ENTRY_EXPIRES_S
            pipes = tuple(
                info.pipe_address for info in ledger.entries.values() if info.renewed_at >= horizon
            )
        renews = echo > 0 and (owned is not None or not self._log_up)
        message = Welcome(
            self._entry,
            zone.domain,
            current.epoch if current else Epoch(0),
            config.version,
            owned is not None,
            echo,
            LEASE_S if renews else 0.0,
            target in config.scrapped,
            pipes,
            tuple(
                ServiceSlots(service.id, service.slots, service.connections)
                for service in config.services.values()
            ),
        )
        self._send(target, message)

    def _find_lost(self, owned: OwnedDomain, now: float) -> None:
        for table in (owned.seen, owned.expected):
            lost = [target for target, seen in table.items() if now - seen > LOST_AFTER_S]
            for target in lost:
                del table[target]
                logging.info("target %s is lost: its lease lapsed", target)
                self._feed(owned, WorkerLost(target))

    # Commands

    def _feed(self, owned: OwnedDomain, event: Event) -> None:
        started = time.perf_counter()
        commands = owned.scheduler.handle(event, time.time())
        self._metrics.record_latency("decision", time.perf_counter() - started)
        for command in commands:
            self._carry_out(owned, command)

    def _carry_out(self, owned: OwnedDomain, command: Command) -> None:
        epoch = owned.scheduler.epoch
        match command:
            case ReserveParts():
                message = Reserve(
                    epoch, self._config.version, command.job, command.attempt, command.placements
                )
                self._send(command.target, message)
            case CommitParts():
                self._send(command.target, Commit(epoch, command.job, command.attempt))
            case ReleaseParts():
                self._send(command.target, Release(epoch, command.job, command.attempt))
            case StopParts():
                stop = Stop(epoch, command.job, command.attempt, command.checkpoint)
                self._send(command.target, stop)
            case ForgetParts():
                self._send(command.target, Forget(epoch, command.job, command.attempt))
            case ProbeWorker():
                self._send(command.target, Probe(epoch))
            case AppendRecord():
                self._appender.submit(command.body)
            case CountRetry():
                self._metrics.retried(command.reason)

    def _send(self, target: TargetId, message: AnyMessage) -> None:
        if self._hub is None or not self._hub.send(target, message):
            self._metrics.count("message_undelivered")
