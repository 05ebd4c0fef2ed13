"""Decision logic, without I/O, by which an entry claims, renews and schedules its domains.

It also grants leases to targets, and translates their messages to events of the schedulers and the
commands of the schedulers to messages.
"""

import hashlib

import msgspec

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
from comfreyshelf.config import Zone
from comfreyshelf.domains import choose_move, guaranteed_domains, list_candidates, summarise_domain
from comfreyshelf.events import (
    ConfigInForce,
    Event,
    JobClosed,
    JobQueued,
    JobResumed,
    LogAvailability,
    PartEnded,
    PartsReserved,
    ProbeEnded,
    ReservationRefused,
    StartRecorded,
    Tick,
    UsageReported,
    WorkerLost,
    WorkerReported,
)
from comfreyshelf.heartbeats import LastHeard
from comfreyshelf.ids import DomainId, EntryId, Epoch, JobId, TargetId, ZoneId
from comfreyshelf.ledger import Ledger, Verdict
from comfreyshelf.links import entry_addresses_for, is_cross_region
from comfreyshelf.messages import (
    AnyMessage,
    AttemptAbsent,
    Commit,
    Forget,
    Heartbeat,
    PartReport,
    Probe,
    ProbeAnswer,
    Release,
    Renewal,
    Reserve,
    ReserveAnswer,
    ServiceSlots,
    Status,
    StatusWanted,
    Stop,
    UsageReport,
    Welcome,
    encode_message,
)
from comfreyshelf.model import Job, JobState, PartState
from comfreyshelf.reasons import RefusalReason, RetryReason
from comfreyshelf.records import (
    AnyBody,
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
from comfreyshelf.reports import build_domain_report
from comfreyshelf.scheduler import Scheduler
from comfreyshelf.settings import EntrySettings

LEASE_S = 6.0
# A target that has been silent for this long is lost, and its jobs may start elsewhere. A target
# counts its lease from the time when it sent a status or heartbeat, which is before the owner
# received it, so at the target the lease has lapsed by then.
TARGET_LOST_AFTER_S = LEASE_S + 1.0
ENTRY_ANNOUNCE_INTERVAL_S = 10.0
# Interval at which a domain's free capacity is published and its queued jobs may be rerouted.
SUMMARY_INTERVAL_S = 5.0
MAX_MOVES_PER_SUMMARY = 50
REPORT_INTERVAL_S = 1.0
# The status of a silent target is kept for longer than a broken connection, a pause or a restart of
# a target process usually lasts.
FORGET_TARGET_AFTER_S = 60.0
_DIGEST_BYTES = 8


class RecordApplied(msgspec.Struct, frozen=True):
    """A record was applied to the ledger."""

    record: Record
    verdict: Verdict


class MessageReceived(msgspec.Struct, frozen=True):
    """A target sent a message."""

    target: TargetId
    message: AnyMessage


class LogAvailabilityChanged(msgspec.Struct, frozen=True):
    """The log became reachable or unreachable."""

    up: bool


class LedgerReset(msgspec.Struct, frozen=True):
    """The ledger was rebuilt because records expired unread; their content is unknown."""


class TimePassed(msgspec.Struct, frozen=True):
    """Periodic tick, expected about every 0.1 s, on which timers are checked."""


Input = RecordApplied | MessageReceived | LogAvailabilityChanged | LedgerReset | TimePassed


class SendMessage(msgspec.Struct, frozen=True):
    """Send a message to a target."""

    target: TargetId
    message: AnyMessage


class Append(msgspec.Struct, frozen=True):
    """Append a record to the log; it is dropped if still unsent after `timeout_s`, 0 for never."""

    body: AnyBody
    timeout_s: float = 0.0


class IncrementRetries(msgspec.Struct, frozen=True):
    """Count one retry for `reason` in the metrics."""

    reason: RetryReason


class IncrementRefusals(msgspec.Struct, frozen=True):
    """Count one refusal for `reason` in the metrics."""

    reason: RefusalReason


class IncrementCounter(msgspec.Struct, frozen=True):
    """Increment the metric `counter`, and log `log_line` unless it is empty."""

    counter: str
    log_line: str = ""


Output = SendMessage | Append | IncrementRetries | IncrementRefusals | IncrementCounter


class OwnedDomain(msgspec.Struct):
    """A domain that this entry owns; times are in seconds.

    Queued jobs are held back until `ready_at`, so that targets can first report what they hold.
    `reporting_targets` have sent a status since the claim. `expected_targets` have open attempts in
    the log but have not sent a status since the claim.
    """

    scheduler: Scheduler
    ready_at: float
    ready: bool = False
    renewed_at: float = 0.0
    summarised_at: float = 0.0
    queued_since: dict[JobId, float] = {}
    reported_at: float = 0.0
    reporting_targets: LastHeard = msgspec.field(default_factory=LastHeard)
    expected_targets: LastHeard = msgspec.field(default_factory=LastHeard)


class KnownTarget(msgspec.Struct):
    """The newest status of a target, and the digest of the newest welcome sent to it."""

    status: Status
    welcome_digest: bytes = b""


class Ownership:
    """Owns zero or more domains of its region.

    `handle` takes an input and the time in seconds since the epoch and returns the outputs in
    order. The ledger is only read; it may be ahead of the `RecordApplied` inputs, but not behind
    them. `writer` names this process in its records and differs between two processes of one entry
    name, because a restarted entry does not own what its predecessor claimed.
    """

    def __init__(self, cfg: EntrySettings, writer: str, ledger: Ledger) -> None:
        self.domains: dict[DomainId, OwnedDomain] = {}
        self.stopping = False
        self._cfg = cfg
        self._entry = EntryId(cfg.name)
        self._writer = writer
        self._ledger = ledger
        self._known_targets: dict[TargetId, KnownTarget] = {}
        self._heard = LastHeard()
        self._welcomes: dict[tuple[ZoneId, bool], Welcome] = {}
        self._welcomes_cache_key: tuple[object, ...] = ()
        self._entry_directory: tuple[tuple[EntryId, str, str], ...] = ()
        self._last_renewal_at: dict[DomainId, float] = {}
        self._next_claim_at: dict[DomainId, float] = {}
        self._released: set[DomainId] = set()
        self._log_up = False
        self._log_up_since = 0.0
        self._announced_at = float("-inf")
        self._outputs: list[Output] = []

    def handle(self, event: Input, now: float) -> list[Output]:
        """Apply one input at time `now` and return the outputs to carry out."""
        match event:
            case RecordApplied():
                self._on_record_applied(event.record, event.verdict, now)
            case MessageReceived():
                self._on_target_message(event.target, event.message, now)
            case LogAvailabilityChanged():
                self._on_log_availability(event.up, now)
            case LedgerReset():
                self._on_ledger_reset(now)
            case TimePassed():
                self._on_time_passed(now)
        outputs = self._outputs
        self._outputs = []
        return outputs

    def _emit(self, output: Output) -> None:
        self._outputs.append(output)

    def _on_ledger_reset(self, now: float) -> None:
        """Give up all domains, because the unread records may have ended their epochs or jobs."""
        for name in self.domains:
            self._emit(
                IncrementCounter(
                    "domains_lost", f"gave up domain {name}: unread log records expired"
                )
            )
            self._last_renewal_at[name] = now
        self.domains.clear()

    # Claims and renewals

    def _on_time_passed(self, now: float) -> None:
        self._entry_directory = tuple(
            (info.entry, info.zone, info.pipe_address) for info in self._ledger.live_entries()
        )
        for target in self._heard.pop_silent(now - FORGET_TARGET_AFTER_S):
            del self._known_targets[target]
        if self.stopping:
            return
        if self._log_up:
            self._announce_entry(now)
            self._claim_domains(now)
        for name, owned in list(self.domains.items()):
            self._renew_domain(name, owned, now)
            self._detect_lost_targets(owned, now)
            if not owned.ready and now >= owned.ready_at:
                self._make_ready(name, owned, now)
            self._dispatch(owned, Tick(), now)
            self._report_domain(name, owned, now)

    def _report_domain(self, name: DomainId, owned: OwnedDomain, now: float) -> None:
        """Append the domain's report for operators if it differs from the last one."""
        if not self._log_up or not owned.ready or now - owned.reported_at < REPORT_INTERVAL_S:
            return
        statuses = {
            target: self._known_targets[target].status for target in owned.reporting_targets
        }
        body = build_domain_report(owned.scheduler, statuses)
        entry = self._ledger.state.domains.get(name)
        if entry is None or entry.report != body:
            owned.reported_at = now
            self._emit(Append(body, REPORT_INTERVAL_S))

    def _on_log_availability(self, up: bool, now: float) -> None:
        self._log_up = up
        self._log_up_since = now
        for owned in self.domains.values():
            self._dispatch(owned, LogAvailability(up), now)

    def _announce_entry(self, now: float) -> None:
        if now - self._announced_at < ENTRY_ANNOUNCE_INTERVAL_S:
            return
        self._announced_at = now
        cfg = self._cfg
        body = EntryUp(
            self._entry,
            ZoneId(cfg.zone),
            cfg.http_address,
            cfg.pipe_address,
            self._ledger.config.version,
        )
        self._emit(Append(body, ENTRY_ANNOUNCE_INTERVAL_S))

    def _claim_domains(self, now: float) -> None:
        config = self._ledger.config
        own = config.zones.get(ZoneId(self._cfg.zone))
        if own is None:
            return
        domains = {zone.domain for zone in config.zones.values() if zone.region == own.region}
        for domain in sorted(domains - self.domains.keys()):
            if now < self._next_claim_at.get(domain, 0.0):
                continue
            entry = self._ledger.state.domains.get(domain)
            epoch = entry.epoch if entry else Epoch(0)
            since = max(self._last_renewal_at.get(domain, 0.0), self._log_up_since)
            held = epoch and domain not in self._released
            if held and now - since < self._cfg.claim_after_s:
                continue
            self._next_claim_at[domain] = now + self._cfg.claim_after_s
            body = DomainClaimed(domain, Epoch(epoch + 1), epoch, self._entry)
            self._emit(Append(body, self._cfg.claim_after_s))

    def _renew_domain(self, name: DomainId, owned: OwnedDomain, now: float) -> None:
        if not self._log_up or now - owned.renewed_at < self._cfg.renew_interval_s:
            return
        owned.renewed_at = now
        summary = None
        if owned.ready and now - owned.summarised_at >= SUMMARY_INTERVAL_S:
            owned.summarised_at = now
            queued = list(owned.scheduler.queue.ordered(now))
            summary = summarise_domain(owned.scheduler.topology, queued)
            self._reroute_jobs(name, owned, queued, now)
        body = DomainRenewed(name, owned.scheduler.epoch, self._entry, summary)
        self._emit(Append(body, self._cfg.renew_interval_s))

    def _reroute_jobs(
        self, name: DomainId, owned: OwnedDomain, queued: list[Job], now: float
    ) -> None:
        """Hand queued jobs for which this domain has no capacity to domains that have it."""
        ledger = self._ledger
        summaries = {domain: entry.summary for domain, entry in ledger.state.domains.items()}
        known = list_candidates(ledger.config, summaries)
        if len(known) < 2:
            return
        for job in queued[:MAX_MOVES_PER_SUMMARY]:
            entry = ledger.state.jobs.get(job.id)
            if entry is None:
                continue
            guaranteed = guaranteed_domains(ledger.config, job.organisation, job.shape)
            waited_s = now - owned.queued_since.setdefault(job.id, now)
            to = choose_move(job.shape, name, waited_s, entry.moves, guaranteed, known)
            if to is not None:
                body = JobRouted(job.id, name, to, owned.scheduler.epoch)
                self._emit(Append(body, SUMMARY_INTERVAL_S))
        queued_ids = {job.id for job in queued}
        for job_id in owned.queued_since.keys() - queued_ids:
            del owned.queued_since[job_id]

    def _on_domain_claimed(self, record: Record, body: DomainClaimed, now: float) -> None:
        self._released.discard(body.domain)
        self._last_renewal_at[body.domain] = now
        if record.writer != self._writer:
            # Targets that are not connected to the new owner learn its address from the welcome.
            self._send_welcome_to_domain(body.domain)
            if self.domains.pop(body.domain, None) is not None:
                line = f"domain {body.domain} was taken over by entry {body.entry}"
                self._emit(IncrementCounter("domains_lost", line))
            return
        line = f"claimed domain {body.domain} in epoch {body.epoch}"
        self._emit(IncrementCounter("domains_claimed", line))
        scheduler = Scheduler(body.domain, body.epoch)
        owned = OwnedDomain(scheduler, now + self._cfg.status_wait_s, renewed_at=now)
        self.domains[body.domain] = owned
        self._dispatch(owned, ConfigInForce(self._ledger.config), now)
        self._dispatch(owned, LogAvailability(self._log_up), now)
        self._resume_jobs(body.domain, owned, now)
        self._send_welcome_to_domain(body.domain)

    def _resume_jobs(self, name: DomainId, owned: OwnedDomain, now: float) -> None:
        for entry in self._ledger.state.jobs.values():
            if entry.domain != name or entry.state is not JobState.RUNNING:
                continue
            self._dispatch(
                owned, JobResumed(entry.job, entry.attempt, entry.placements, entry.cell), now
            )
            for placement in entry.placements:
                owned.expected_targets.mark_heard(placement.target, now)

    def _make_ready(self, name: DomainId, owned: OwnedDomain, now: float) -> None:
        owned.ready = True
        for entry in self._ledger.state.jobs.values():
            if entry.domain == name and entry.state is JobState.QUEUED:
                self._dispatch(owned, JobQueued(entry.job, entry.attempt), now)

    # Records

    def _on_record_applied(self, record: Record, verdict: Verdict, now: float) -> None:
        body = record.body
        if isinstance(body, AttemptStarted):
            self._on_attempt_started(body, verdict, now)
            return
        if isinstance(body, DomainClaimed) and record.writer == self._writer:
            self._next_claim_at.pop(body.domain, None)
        if not verdict.accepted:
            return
        match body:
            case DomainClaimed():
                self._on_domain_claimed(record, body, now)
            case DomainRenewed():
                self._last_renewal_at[body.domain] = now
            case EntryDown():
                self._on_entry_down(body)
            case ConfigPublished():
                self._on_config_published(now)
            case JobAccepted():
                self._queue_job(body.job.id, now)
            case JobRouted():
                self._dispatch_to_domain(body.domain, JobClosed(body.job), now)
                self._queue_job(body.job, now)
            case JobFinished() | JobRefused() | AttemptEnded():
                self._close_job(body.job, body.domain, now)
            case JobsCancelled():
                for job in body.jobs:
                    self._close_job(job, None, now)

    def _on_entry_down(self, body: EntryDown) -> None:
        """Mark the domains of an entry that left as released, so that they are claimed at once."""
        domains = self._ledger.state.domains.items()
        self._released |= {name for name, entry in domains if entry.owner == body.entry}

    def _on_config_published(self, now: float) -> None:
        # The next tick announces this entry again, with the new version, so that operators see
        # which entries have it in force.
        self._announced_at = float("-inf")
        for owned in self.domains.values():
            self._dispatch(owned, ConfigInForce(self._ledger.config), now)
        self._send_welcome_to_all()

    def _on_attempt_started(self, body: AttemptStarted, verdict: Verdict, now: float) -> None:
        owned = self.domains.get(body.domain)
        if owned is None or body.epoch != owned.scheduler.epoch or verdict.reason == "repeated":
            return
        self._dispatch(owned, StartRecorded(body.job, body.attempt, verdict.accepted), now)
        if not verdict.accepted:
            self._close_job(body.job, body.domain, now)

    def _queue_job(self, job: JobId, now: float) -> None:
        entry = self._ledger.state.jobs.get(job)
        if entry is None or entry.state is not JobState.QUEUED:
            return
        owned = self.domains.get(entry.domain)
        if owned is not None and owned.ready:
            self._dispatch(owned, JobQueued(entry.job, entry.attempt), now)

    def _close_job(self, job: JobId, domain: DomainId | None, now: float) -> None:
        """Remove a job that has ended from the schedulers.

        `domain` is that of the record, which may differ from the job's domain in the ledger.
        """
        entry = self._ledger.state.jobs.get(job)
        if entry is not None and not entry.state.is_final:
            return
        for name in dict.fromkeys((domain, entry.domain if entry else None)):
            if name is not None:
                self._dispatch_to_domain(name, JobClosed(job), now)

    def _dispatch_to_domain(self, domain: DomainId, event: Event, now: float) -> None:
        owned = self.domains.get(domain)
        if owned is not None:
            self._dispatch(owned, event, now)

    # Targets

    def _on_target_message(self, target: TargetId, message: AnyMessage, now: float) -> None:
        if isinstance(message, Status):
            self._on_status(message, now)
            return
        if isinstance(message, Heartbeat):
            self._on_heartbeat(message, now)
            return
        owned = self._domain_of(target)
        if owned is None:
            return
        if isinstance(message, ReserveAnswer) and message.reason is not None:
            self._emit(IncrementRefusals(message.reason))
        if isinstance(message, AttemptAbsent):
            self._on_attempt_absent(owned, message, now)
            return
        event = _to_event(target, message)
        if event is not None:
            self._dispatch(owned, event, now)

    def _on_attempt_absent(self, owned: OwnedDomain, message: AttemptAbsent, now: float) -> None:
        gang = owned.scheduler.gangs.get(message.job)
        if gang is None or gang.attempt != message.attempt:
            return
        for part in gang.parts_on(message.target):
            if part.state is None:
                event = PartEnded(
                    message.job,
                    message.attempt,
                    part.placement.part,
                    message.target,
                    PartState.STOPPED,
                    started=message.started,
                )
                self._dispatch(owned, event, now)

    def _on_status(self, status: Status, now: float) -> None:
        target = status.worker.target
        known = self._known_targets.setdefault(target, KnownTarget(status))
        known.status = status
        self._on_target_alive(status, now)
        self._send_welcome(known, status.sent_at)

    def _on_heartbeat(self, beat: Heartbeat, now: float) -> None:
        known = self._known_targets.get(beat.target)
        if known is None or known.status.sequence != beat.sequence:
            self._emit(SendMessage(beat.target, StatusWanted()))
            return
        if (beat.epoch, beat.version) != (known.status.epoch, known.status.version):
            # The report for operators takes a target's epoch and version from its status.
            known.status = msgspec.structs.replace(
                known.status, epoch=beat.epoch, version=beat.version
            )
        # A heartbeat stands for an unchanged status. The status is handled again, because the
        # scheduler acts on a difference only after it has lasted for a while.
        self._on_target_alive(known.status, now)
        content = self._welcome_content(known.status)
        if content is None:
            return
        current = (beat.epoch, beat.version) == (content.epoch, content.version)
        if not current or known.welcome_digest != content.digest:
            self._send_welcome(known, beat.sent_at)
            return
        lease_s = self._granted_lease_s(content, beat.sent_at)
        self._emit(SendMessage(beat.target, Renewal(content.digest, beat.sent_at, lease_s)))

    def _on_target_alive(self, status: Status, now: float) -> None:
        target = status.worker.target
        self._heard.mark_heard(target, now)
        owned = self._domain_of(target)
        if owned is not None:
            owned.reporting_targets.mark_heard(target, now)
            owned.expected_targets.forget(target)
            self._dispatch(owned, WorkerReported(status.worker, status.parts), now)

    def _domain_of(self, target: TargetId) -> OwnedDomain | None:
        known = self._known_targets.get(target)
        zone = self._ledger.config.zones.get(known.status.worker.zone) if known else None
        return self.domains.get(zone.domain) if zone else None

    def _send_welcome_to_all(self) -> None:
        for _, known in sorted(self._known_targets.items()):
            self._send_welcome(known, 0.0)

    def _send_welcome_to_domain(self, domain: DomainId) -> None:
        zones = self._ledger.config.zones
        for _, known in sorted(self._known_targets.items()):
            zone = zones.get(known.status.worker.zone)
            if zone is not None and zone.domain == domain:
                self._send_welcome(known, 0.0)

    def _send_welcome(self, known: KnownTarget, echo: float) -> None:
        content = self._welcome_content(known.status)
        if content is None:
            return
        known.welcome_digest = content.digest
        lease_s = self._granted_lease_s(content, echo)
        message = msgspec.structs.replace(
            content, echo=echo, lease_s=lease_s, known=known.status.sequence
        )
        self._emit(SendMessage(known.status.worker.target, message))

    def _granted_lease_s(self, content: Welcome, echo: float) -> float:
        """Duration of the lease granted for a status or heartbeat sent at `echo`, or 0 for none.

        Only the owner of the domain grants leases, but during a log outage every entry does.
        """
        renews = echo > 0 and (content.owner or not self._log_up)
        return LEASE_S if renews else 0.0

    def _welcome_content(self, status: Status) -> Welcome | None:
        """The welcome for a target, but for its lease fields, or None if its zone is unknown."""
        config = self._ledger.config
        zone_id = status.worker.zone
        zone = config.zones.get(zone_id)
        if zone is None:
            self._emit(IncrementCounter("target_in_unknown_zone"))
            return None
        current = self._ledger.state.domains.get(zone.domain)
        epoch = current.epoch if current else Epoch(0)
        draining = status.worker.target in config.scrapped
        owner = zone.domain in self.domains
        cached = self._welcomes.get((zone_id, draining))
        cache_key = (config.version, self._entry_directory)
        if self._welcomes_cache_key != cache_key:
            self._welcomes.clear()
            self._welcomes_cache_key = cache_key
            cached = None
        if cached is not None and (cached.epoch, cached.owner) == (epoch, owner):
            return cached
        content = self._build_welcome(zone, epoch, owner, draining)
        self._welcomes[(zone_id, draining)] = content
        return content

    def _build_welcome(self, zone: Zone, epoch: Epoch, owner: bool, draining: bool) -> Welcome:
        config = self._ledger.config
        own_zone = ZoneId(self._cfg.zone)
        current = self._ledger.state.domains.get(zone.domain)
        owner_entry = current.owner if current else None
        content = Welcome(
            self._entry,
            zone.domain,
            epoch,
            config.version,
            owner,
            draining=draining,
            entries=entry_addresses_for(zone.id, config, self._ledger.live_entries(), owner_entry),
            zone=own_zone,
            cross_region=is_cross_region(config, own_zone, zone.id),
            services=tuple(
                ServiceSlots(service.id, service.slots, service.connections)
                for service in config.services.values()
            ),
        )
        digest = hashlib.blake2b(encode_message(content), digest_size=_DIGEST_BYTES).digest()
        return msgspec.structs.replace(content, digest=digest)

    def _detect_lost_targets(self, owned: OwnedDomain, now: float) -> None:
        for table in (owned.reporting_targets, owned.expected_targets):
            for target in table.pop_silent(now - TARGET_LOST_AFTER_S):
                line = f"target {target} is lost: its lease expired"
                self._emit(IncrementCounter("targets_lost", line))
                self._dispatch(owned, WorkerLost(target), now)

    # Commands

    def _dispatch(self, owned: OwnedDomain, event: Event, now: float) -> None:
        for command in owned.scheduler.handle(event, now):
            output = self._to_output(owned.scheduler.epoch, command)
            if output is not None:
                self._emit(output)

    def _to_output(self, epoch: Epoch, command: Command) -> Output | None:
        match command:
            case AppendRecord():
                return Append(command.body)
            case CountRetry():
                return IncrementRetries(command.reason)
            case ReserveParts(target=target):
                version = self._ledger.config.version
                return SendMessage(
                    target,
                    Reserve(epoch, version, command.job, command.attempt, command.placements),
                )
            case CommitParts(target=target):
                return SendMessage(target, Commit(epoch, command.job, command.attempt))
            case ReleaseParts(target=target):
                return SendMessage(target, Release(epoch, command.job, command.attempt))
            case StopParts(target=target):
                stop = Stop(epoch, command.job, command.attempt, command.checkpoint)
                return SendMessage(target, stop)
            case ForgetParts(target=target):
                return SendMessage(target, Forget(epoch, command.job, command.attempt))
            case ProbeWorker(target=target):
                return SendMessage(target, Probe(epoch))
        return None


def _to_event(target: TargetId, message: AnyMessage) -> Event | None:
    match message:
        case ReserveAnswer(reason=None):
            return PartsReserved(message.job, message.attempt, target)
        case ReserveAnswer(reason=reason) if reason is not None:
            return ReservationRefused(message.job, message.attempt, target, reason)
        case PartReport():
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
        case UsageReport():
            return UsageReported(message.job, message.part, target, message.busy, message.memory_gb)
        case ProbeAnswer():
            return ProbeEnded(target, message.passed)
    return None
