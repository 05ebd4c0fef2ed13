"""Decision logic of the target process, without I/O: lease, fencing, reservations and results."""

from collections import Counter, OrderedDict

import msgspec

from comfreyshelf.admission import Admission, Admitted, Outcome
from comfreyshelf.ids import Attempt, DomainId, Epoch, JobId, RequestId, Version
from comfreyshelf.messages import (
    AnyMessage,
    AttemptAbsent,
    Commit,
    DisproveStart,
    Forget,
    PartReport,
    Probe,
    Release,
    Reserve,
    ReserveAnswer,
    RunRequest,
    Status,
    Stop,
    Welcome,
)
from comfreyshelf.model import (
    MAX_RESULT_BYTES,
    HeldPart,
    Job,
    PartState,
    Placement,
    WorkerInfo,
)
from comfreyshelf.reasons import RefusalReason

# A reservation that is not committed within this time is dropped.
RESERVATION_TIMEOUT_S = 10.0
TOMBSTONE_RETENTION_S = 600.0
# A result that the owner has not recorded is sent again after this time, multiplied by the next of
# the multipliers on each retry. Until the result arrives, the owner counts the accelerators as in
# use.
RESULT_RESEND_S = 1.0
RESULT_RESEND_MULTIPLIERS = (1, 2, 4, 5)
# A part that is still running this long after it was told to stop is told again.
STOP_RETRY_S = 2.0
# A part whose checkpoint takes longer than this is stopped without one.
CHECKPOINT_TIMEOUT_S = 60.0
# After the target begins to leave, reservations made before may still be committed for this long.
# The time must be short, because a leaving target must start no work later than 3 s after the
# configuration that drains it was accepted.
DRAIN_COMMIT_TIMEOUT_S = 2.0
# On shutdown, preemptible parts are checkpointed when this share of the grace period is left.
SHUTDOWN_CHECKPOINT_SHARE = 0.5
# These limits keep the process below its memory limit of 256 MB: a tombstone takes about 0.3 KB and
# a held result at most 64 KiB.
MAX_TOMBSTONES = 20_000
MAX_HELD_ATTEMPTS = 1024
MAX_HELD_BYTES = 32 * 1024 * 1024


class Action(msgspec.Struct, frozen=True):
    """Base of the actions that the target process carries out for the agent."""


class Reply(Action, frozen=True):
    """Send a message on `link`, or on the link of the handled message if `link` is empty."""

    message: AnyMessage
    link: str = ""


class SendToOwner(Action, frozen=True):
    """Send a message to the owner entry."""

    message: AnyMessage


class StartPart(Action, frozen=True):
    """Start a part on the worker."""

    job: Job
    attempt: Attempt
    placement: Placement


class StopPart(Action, frozen=True):
    """Stop a part on the worker, after a checkpoint if `checkpoint`."""

    job: JobId
    attempt: Attempt
    part: int
    checkpoint: bool


class RunProbe(Action, frozen=True):
    """Run a probe on the worker."""


class CallRunner(Action, frozen=True):
    """Send a request to the local runner, which has to answer within `timeout_s` seconds."""

    request: RunRequest
    timeout_s: float = 0.0


class HeldAttempt(msgspec.Struct):
    """An attempt that this target holds until the owner has recorded how it ended.

    `stop_sent_at` is when its running parts were last told to stop, 0 if never. `part_states` and
    `part_reports` have the part as their key. All times are in monotonic seconds.
    """

    job: Job
    attempt: Attempt
    epoch: Epoch
    placements: tuple[Placement, ...]
    reserved_at: float
    part_states: dict[int, PartState]
    part_reports: dict[int, PartReport] = {}
    reports_sent_at: float = 0.0
    stop_sent_at: float = 0.0
    resend_count: int = 0

    @property
    def resend_interval_s(self) -> float:
        """Seconds after which reports that the owner has not recorded are sent again."""
        return (
            RESULT_RESEND_S
            * RESULT_RESEND_MULTIPLIERS[min(self.resend_count, len(RESULT_RESEND_MULTIPLIERS) - 1)]
        )

    @property
    def occupied_mask(self) -> int:
        """Bit mask of the accelerators of the parts that have not ended."""
        mask = 0
        for placement in self.placements:
            if not self.part_states[placement.part].has_ended:
                mask |= placement.mask
        return mask

    @property
    def is_reserved(self) -> bool:
        """Whether no part has been committed yet."""
        return all(state is PartState.RESERVED for state in self.part_states.values())

    @property
    def has_ended(self) -> bool:
        """Whether every part has ended."""
        return all(state.has_ended for state in self.part_states.values())

    @property
    def has_started(self) -> bool:
        """Whether any part has ever been started."""
        if self.is_reserved:
            return False
        return len(self.part_reports) < len(self.part_states) or any(
            report.started for report in self.part_reports.values()
        )


AttemptKey = tuple[JobId, Attempt]


class Tombstone(msgspec.Struct, frozen=True):
    """Marks an attempt that is refused from now on; `started` tells if it ever started here."""

    created_at: float
    started: bool


class Agent:
    """Decision logic of one target, without I/O.

    The methods take the current time in monotonic seconds and return the actions to carry out. An
    attempt or request that was refused never starts later: each leaves a tombstone, and a new
    incarnation of the target starts only attempts that it reserved itself. Each method first checks
    whether the lease has lapsed, so that a process that was paused stops its parts before it acts
    on a message that arrived during the pause.
    """

    def __init__(self, worker: WorkerInfo, services: tuple[str, ...] = ()) -> None:
        self.worker = worker
        self.domain = DomainId("")
        self.epoch = Epoch(0)
        self.version = Version(0)
        self.lease_expires_at = 0.0
        self.entries: tuple[str, ...] = ()
        self.counters: Counter[str] = Counter()
        self.admission = Admission(worker.target, worker.incarnation, services, self.counters)
        self._is_draining = False
        self._is_stopping = False
        self._leaving_since = 0.0
        self._checkpoint_due_at = float("inf")
        self._held_attempts: dict[AttemptKey, HeldAttempt] = {}
        self._held_bytes = 0
        self._tombstones: OrderedDict[AttemptKey, Tombstone] = OrderedDict()

    @property
    def is_leaving(self) -> bool:
        """Whether the target takes no new work."""
        return self._is_draining or self._is_stopping

    @property
    def is_stopping(self) -> bool:
        """Whether the process was asked to stop."""
        return self._is_stopping

    @property
    def is_draining(self) -> bool:
        """Whether the configuration in force drains the target."""
        return self._is_draining

    @property
    def is_idle(self) -> bool:
        """Whether no work runs or is reserved here and the owner has recorded all results."""
        return not self._held_attempts and self.admission.is_idle

    def status(self, now: float) -> Status:
        """The current status, without a sequence number."""
        parts = tuple(
            HeldPart(held.job.id, held.attempt, placement.part, placement.mask, state)
            for held in self._held_attempts.values()
            for placement in held.placements
            if (state := held.part_states[placement.part])
        )
        return Status(
            self.worker,
            now,
            self.epoch,
            self.version,
            parts,
            self.admission.loads(),
            self.is_leaving,
        )

    def handle(self, message: AnyMessage, now: float, sender: str = "") -> list[Action]:
        """Apply one message from the entry at the other end of link `sender`."""
        return self._stop_if_lease_lapsed(now) + self._dispatch(message, now, sender)

    def tick(self, now: float) -> list[Action]:
        """Expire the lease, reservations, requests and tombstones, and retry stops and reports."""
        actions = self._stop_if_lease_lapsed(now)
        for key, held in list(self._held_attempts.items()):
            if held.is_reserved:
                if self._reservation_expired(held, now):
                    actions += self._drop_reservation(key, now)
            elif not held.has_ended:
                actions += self._retry_or_begin_stop(held, now)
            if held.part_reports and now - held.reports_sent_at > held.resend_interval_s:
                held.resend_count += 1
                actions += self._resend_reports(held, now)
        actions += self._to_actions(self.admission.expire(now), now)
        self._expire_tombstones(now)
        return actions

    def on_owner_changed(self, now: float) -> list[Action]:
        """Send unrecorded results again; the new owner does not get those sent to the old one."""
        actions = self._stop_if_lease_lapsed(now)
        for held in self._held_attempts.values():
            actions += self._resend_reports(held, now)
        return actions

    def begin_stop(self, now: float, grace_s: float) -> list[Action]:
        """Refuse new work from now on, because the process is shutting down.

        Running parts may finish; preemptible ones are checkpointed early enough to end within
        `grace_s` seconds.
        """
        if not self._is_stopping:
            self._is_stopping = True
            self._mark_leaving(now)
            self._checkpoint_due_at = now + grace_s * (1.0 - SHUTDOWN_CHECKPOINT_SHARE)
        return self.tick(now)

    def on_part_ended(
        self,
        job: JobId,
        attempt: Attempt,
        part: int,
        state: PartState,
        now: float,
        result: bytes = b"",
        run_s: float = 0.0,
        checkpointed: bool = False,
    ) -> list[Action]:
        """Report the end of a part on the worker; the report is kept until the owner's `Forget`."""
        actions = self._stop_if_lease_lapsed(now)
        held = self._held_attempts.get((job, attempt))
        current_state = held.part_states.get(part) if held is not None else None
        if (
            held is None
            or current_state is None
            or current_state.has_ended
            or current_state is PartState.RESERVED
        ):
            self.counters["part_end_ignored"] += 1
            return actions
        if len(result) > MAX_RESULT_BYTES:
            self.counters["result_too_large"] += 1
            state, result = PartState.FAILED, b""
        return actions + self._end_part(held, part, state, now, result, run_s, True, checkpointed)

    def on_request_ended(
        self, request: RequestId, ok: bool, body: bytes, now: float
    ) -> list[Action]:
        """Handle the runner's answer to a request, and start waiting requests in the free slots."""
        actions = self._stop_if_lease_lapsed(now)
        return actions + self._to_actions(self.admission.finish(request, ok, body, now), now)

    def _dispatch(self, message: AnyMessage, now: float, sender: str) -> list[Action]:
        match message:
            case RunRequest():
                return self._to_actions(
                    self.admission.offer(message, now, sender, self.is_leaving), now
                )
            case DisproveStart():
                return [Reply(self.admission.disprove(message, now))]
            case Welcome():
                return self._on_welcome(message, now)
            case Reserve() | Commit() | Release() | Stop() | Forget() | Probe():
                return self._on_command(message, now)
        self.counters["message_ignored"] += 1
        return []

    def _on_command(
        self, message: Reserve | Commit | Release | Stop | Forget | Probe, now: float
    ) -> list[Action]:
        # Commands carry no domain, so an epoch that no `Welcome` has announced yet may belong to a
        # domain that the target has left. It is refused like an old epoch, and the owner retries.
        if message.epoch != self.epoch:
            return self._refuse_epoch(message, now)
        match message:
            case Reserve():
                return self._on_reserve(message, now)
            case Commit():
                return self._on_commit(message, now)
            case Release():
                return self._on_release(message, now)
            case Stop():
                return self._on_stop(message, now)
            case Forget():
                return self._on_forget(message, now)
        return [RunProbe()]

    def _refuse_epoch(self, message: AnyMessage, now: float) -> list[Action]:
        """Refuse a command of another epoch; a `Reserve` is answered, so that its sender knows."""
        self.counters["refused_old_epoch"] += 1
        if not isinstance(message, Reserve):
            return []
        key = (message.job.id, message.attempt)
        if key not in self._held_attempts:
            self._add_tombstone(key, now, False)
        reason = RefusalReason.OLD_EPOCH
        return [Reply(ReserveAnswer(self.worker.target, message.job.id, message.attempt, reason))]

    # The lease and the configuration

    def _on_welcome(self, message: Welcome, now: float) -> list[Action]:
        if message.domain != self.domain and message.version > self.version:
            # The zone was moved to another domain, whose epochs are independent of the old one's.
            self.domain = message.domain
            self.epoch = message.epoch
        if message.domain != self.domain or message.epoch < self.epoch:
            self.counters["refused_old_welcome"] += 1
            return []
        self.epoch = message.epoch
        if message.lease_s > 0:
            # A lease starts when the status that asked for it was sent. That time cannot lie in the
            # future, so a wrong `echo` must not extend the lease.
            expires_at = min(message.echo, now) + message.lease_s
            self.lease_expires_at = max(self.lease_expires_at, expires_at)
        if message.version < self.version:
            self.counters["refused_old_version"] += 1
            return []
        self.version = message.version
        self.entries = message.entries
        if message.draining and not self._is_draining:
            self._mark_leaving(now)
        self._is_draining = message.draining
        return self._to_actions(self.admission.set_limits(message.services, now), now)

    def _mark_leaving(self, now: float) -> None:
        if not self.is_leaving:
            self._leaving_since = now

    def _stop_if_lease_lapsed(self, now: float) -> list[Action]:
        """Stop all attempts once the lease has lapsed, as the owner may start them elsewhere."""
        if now <= self.lease_expires_at:
            return []
        actions: list[Action] = []
        for key, held in list(self._held_attempts.items()):
            if held.is_reserved:
                self.counters["lease_lapsed"] += 1
                actions += self._drop_reservation(key, now)
            elif not held.has_ended and now - held.stop_sent_at > STOP_RETRY_S:
                self.counters["lease_lapsed"] += 1
                actions += self._stop_attempt(held, False, now)
        return actions

    # Attempts

    def _on_reserve(self, message: Reserve, now: float) -> list[Action]:
        key = (message.job.id, message.attempt)
        self._drop_superseded(key, message)
        reason = self._reserve_refusal(message, now)
        if reason is None and key not in self._held_attempts:
            states = {placement.part: PartState.RESERVED for placement in message.placements}
            self._held_attempts[key] = HeldAttempt(
                message.job, message.attempt, message.epoch, message.placements, now, states
            )
        if reason is not None:
            self.counters[f"refused_{reason.value}"] += 1
            if key not in self._held_attempts:
                self._add_tombstone(key, now, False)
        answer = ReserveAnswer(self.worker.target, message.job.id, message.attempt, reason)
        return [Reply(answer)]

    def _drop_superseded(self, key: AttemptKey, message: Reserve) -> None:
        """Drop a reservation of the same attempt number that a previous owner made.

        A new owner does not know of attempts that were reserved but not recorded, so it may use the
        number of such an attempt again, for other accelerators.
        """
        held = self._held_attempts.get(key)
        if held is not None and held.is_reserved and held.epoch < message.epoch:
            del self._held_attempts[key]
            self.counters["reservation_superseded"] += 1

    def _reserve_refusal(self, message: Reserve, now: float) -> RefusalReason | None:
        key = (message.job.id, message.attempt)
        held = self._held_attempts.get(key)
        if held is not None:
            is_same = held.epoch == message.epoch and held.placements == message.placements
            return None if is_same and not held.has_ended else RefusalReason.OLD_TOKEN
        if key in self._tombstones:
            return RefusalReason.OLD_TOKEN
        if self.is_leaving:
            return RefusalReason.DRAINING
        if message.version < self.version:
            return RefusalReason.STALE_VERSION
        if now > self.lease_expires_at:
            return RefusalReason.LEASE_LAPSED
        if len(self._held_attempts) >= MAX_HELD_ATTEMPTS or self._held_bytes >= MAX_HELD_BYTES:
            return RefusalReason.QUEUE_FULL
        return self._placement_refusal(message)

    def _placement_refusal(self, message: Reserve) -> RefusalReason | None:
        occupied = 0
        for held in self._held_attempts.values():
            occupied |= held.occupied_mask
        for placement in message.placements:
            if placement.mask <= 0 or placement.mask >> self.worker.accelerators:
                return RefusalReason.NEVER_FITS
            if occupied & placement.mask:
                return RefusalReason.OCCUPIED
            occupied |= placement.mask
        return None

    def _on_commit(self, message: Commit, now: float) -> list[Action]:
        key = (message.job, message.attempt)
        held = self._held_attempts.get(key)
        if held is None:
            return [self._report_absent(key, now)]
        if held.has_ended:
            return self._resend_reports(held, now)
        if held.is_reserved and self._reservation_expired(held, now):
            return self._drop_reservation(key, now)
        actions: list[Action] = []
        for placement in held.placements:
            if held.part_states[placement.part] is PartState.RESERVED:
                held.part_states[placement.part] = PartState.RUNNING
                actions.append(StartPart(held.job, held.attempt, placement))
        return actions

    def _report_absent(self, key: AttemptKey, now: float) -> Action:
        """Report that an attempt is not held here, and refuse it from now on."""
        self.counters["attempt_absent"] += 1
        tombstone = self._tombstones.get(key)
        started = True if tombstone is None else tombstone.started
        self._add_tombstone(key, now, started)
        return Reply(AttemptAbsent(self.worker.target, *key, started))

    def _on_release(self, message: Release, now: float) -> list[Action]:
        key = (message.job, message.attempt)
        held = self._held_attempts.get(key)
        if held is None:
            if key not in self._tombstones:
                # A previous incarnation of the target may have started the attempt.
                self._add_tombstone(key, now, True)
        elif not held.has_started:
            self._remove_attempt(key, now)
        return []

    def _on_stop(self, message: Stop, now: float) -> list[Action]:
        key = (message.job, message.attempt)
        held = self._held_attempts.get(key)
        if held is None:
            return [self._report_absent(key, now)]
        if held.has_ended:
            return self._resend_reports(held, now)
        if held.is_reserved:
            return self._drop_reservation(key, now)
        return self._stop_attempt(held, message.checkpoint, now)

    def _stop_attempt(self, held: HeldAttempt, checkpoint: bool, now: float) -> list[Action]:
        """Stop the running parts; without `checkpoint`, also those that are writing one."""
        held.stop_sent_at = now
        actions: list[Action] = []
        for part, state in held.part_states.items():
            if state.has_ended or (checkpoint and state is PartState.CHECKPOINTING):
                continue
            held.part_states[part] = PartState.CHECKPOINTING if checkpoint else PartState.RUNNING
            actions.append(StopPart(held.job.id, held.attempt, part, checkpoint))
        return actions

    def _retry_or_begin_stop(self, held: HeldAttempt, now: float) -> list[Action]:
        if held.stop_sent_at:
            if now - held.stop_sent_at <= STOP_RETRY_S:
                return []
            checkpoint = PartState.CHECKPOINTING in held.part_states.values()
            if checkpoint and now - held.stop_sent_at <= CHECKPOINT_TIMEOUT_S:
                return []
            return self._stop_attempt(held, False, now)
        if now >= self._checkpoint_due_at and held.job.preemptible:
            self.counters["checkpointed_for_shutdown"] += 1
            return self._stop_attempt(held, True, now)
        return []

    def _on_forget(self, message: Forget, now: float) -> list[Action]:
        key = (message.job, message.attempt)
        held = self._held_attempts.get(key)
        if held is None:
            if key not in self._tombstones:
                self._add_tombstone(key, now, True)
        elif held.has_ended or held.is_reserved:
            self._remove_attempt(key, now)
        return []

    def _reservation_expired(self, held: HeldAttempt, now: float) -> bool:
        if (
            self.is_leaving
            and now - max(held.reserved_at, self._leaving_since) > DRAIN_COMMIT_TIMEOUT_S
        ):
            return True
        return now - held.reserved_at > RESERVATION_TIMEOUT_S

    def _drop_reservation(self, key: AttemptKey, now: float) -> list[Action]:
        """Free the accelerators of a reservation and report its parts as never started."""
        held = self._held_attempts[key]
        self.counters["reservation_dropped"] += 1
        actions: list[Action] = []
        for part in held.part_states:
            actions += self._end_part(held, part, PartState.STOPPED, now, started=False)
        return actions

    def _remove_attempt(self, key: AttemptKey, now: float) -> None:
        held = self._held_attempts.pop(key)
        self._held_bytes -= sum(len(report.result) for report in held.part_reports.values())
        self._add_tombstone(key, now, held.has_started)

    def _add_tombstone(self, key: AttemptKey, now: float, started: bool) -> None:
        previous = self._tombstones.pop(key, None)
        if previous is not None:
            started = started or previous.started
        self._tombstones[key] = Tombstone(now, started)
        if len(self._tombstones) > MAX_TOMBSTONES:
            self.counters["tombstone_evicted"] += 1
            self._tombstones.popitem(last=False)

    def _end_part(
        self,
        held: HeldAttempt,
        part: int,
        state: PartState,
        now: float,
        result: bytes = b"",
        run_s: float = 0.0,
        started: bool = True,
        checkpointed: bool = False,
    ) -> list[Action]:
        held.part_states[part] = state
        report = PartReport(
            self.worker.target,
            held.job.id,
            held.attempt,
            part,
            state,
            result,
            run_s,
            started,
            checkpointed,
        )
        held.part_reports = held.part_reports | {part: report}
        held.reports_sent_at = now
        self._held_bytes += len(result)
        return [SendToOwner(report)]

    @staticmethod
    def _resend_reports(held: HeldAttempt, now: float) -> list[Action]:
        held.reports_sent_at = now
        return [SendToOwner(report) for report in held.part_reports.values()]

    # Requests

    @staticmethod
    def _to_actions(outcomes: list[Outcome], now: float) -> list[Action]:
        actions: list[Action] = []
        for outcome in outcomes:
            if isinstance(outcome, Admitted):
                actions.append(CallRunner(outcome.request, max(0.0, outcome.deadline - now)))
            else:
                actions.append(Reply(outcome.message, outcome.link))
        return actions

    def _expire_tombstones(self, now: float) -> None:
        """Drop tombstones older than TOMBSTONE_RETENTION_S; the oldest come first."""
        while self._tombstones:
            key, tombstone = next(iter(self._tombstones.items()))
            if now - tombstone.created_at < TOMBSTONE_RETENTION_S:
                break
            del self._tombstones[key]
