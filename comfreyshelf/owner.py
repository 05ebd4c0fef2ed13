"""The entry's owner task, which feeds inputs to the `Ownership` core and executes its outputs."""

import time

from comfreyshelf import logs
from comfreyshelf.ids import DomainId, Epoch
from comfreyshelf.journal import Appender, LedgerReader
from comfreyshelf.membership import Roster
from comfreyshelf.messages import Heartbeat, Status
from comfreyshelf.metrics import Metrics
from comfreyshelf.ownership import (
    Append,
    IncrementCounter,
    IncrementRefusals,
    IncrementRetries,
    Input,
    LedgerReset,
    LogAvailabilityChanged,
    MessageReceived,
    Output,
    Ownership,
    RecordApplied,
    SendMessage,
    TimePassed,
)
from comfreyshelf.settings import EntrySettings
from comfreyshelf.tasks import Task
from comfreyshelf.transport import Hub

__all__ = ["MessageReceived", "Owner"]

FORGET_INTERVAL_S = 10.0


class Owner(Task[Input]):
    """Runs the `Ownership` core in one thread."""

    def __init__(
        self,
        cfg: EntrySettings,
        writer: str,
        reader: LedgerReader,
        appender: Appender,
        roster: Roster,
        metrics: Metrics,
    ) -> None:
        super().__init__("owner", tick_s=0.1)
        self._core = Ownership(cfg, writer, reader.ledger)
        self._reader = reader
        self._appender = appender
        self._roster = roster
        self._metrics = metrics
        self._hub: Hub | None = None
        self._forgot_at = time.monotonic()
        # Leases and deadlines use one monotonic clock, which ignores steps of the system clock.
        self._clock_offset = time.time() - time.monotonic()
        reader.on_record(lambda record, verdict: self.send(RecordApplied(record, verdict)))
        reader.on_reset(lambda: self.send(LedgerReset()))
        reader.on_reachability_change(lambda up: self.send(LogAvailabilityChanged(up)))

    def attach(self, hub: Hub) -> None:
        """Set the hub that sends messages to targets."""
        self._hub = hub

    def owned_domains(self) -> list[tuple[DomainId, Epoch]]:
        """The domains that this entry owns, with their epochs."""
        return [(name, owned.scheduler.epoch) for name, owned in list(self._core.domains.items())]

    def stop_claiming(self) -> None:
        """Stop claiming and renewing before a shutdown, so that another entry takes over."""
        self._core.stopping = True

    def handle(self, message: Input) -> None:
        """Pass one input to the core and execute its outputs."""
        if isinstance(message, MessageReceived):
            if isinstance(message.message, Status):
                self._roster.update(message.message)
            elif isinstance(message.message, Heartbeat):
                self._roster.renew(message.message)
        started = time.perf_counter()
        with self._reader.lock:
            outputs = self._core.handle(message, time.monotonic() + self._clock_offset)
        self._metrics.record_latency("decision", time.perf_counter() - started)
        for output in outputs:
            self._execute(output)

    def tick(self) -> None:
        """Run the periodic work of the core, and drop silent targets from the roster."""
        self.handle(TimePassed())
        now = time.monotonic()
        if now - self._forgot_at >= FORGET_INTERVAL_S:
            self._forgot_at = now
            self._roster.remove_silent()

    def _execute(self, output: Output) -> None:
        match output:
            case SendMessage():
                if self._hub is None or not self._hub.send(output.target, output.message):
                    self._metrics.count("message_undelivered")
            case Append():
                self._appender.submit(output.body, output.timeout_s)
            case IncrementRetries():
                self._metrics.count_retry(output.reason)
            case IncrementRefusals():
                self._metrics.count_refusal(output.reason)
            case IncrementCounter():
                self._metrics.count(output.counter)
                if output.log_line:
                    logs.log_event(output.log_line)
