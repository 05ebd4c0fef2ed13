"""The entry process: the HTTP API, the ledger, request routing, and the domains that it owns."""

import time
import uuid

from absl import logging

from comfreyshelf import logs
from comfreyshelf.api import FrontEnd, Root
from comfreyshelf.forwarding import Forwarder
from comfreyshelf.ids import EntryId, TargetId, ZoneId
from comfreyshelf.journal import Appender, LedgerReader
from comfreyshelf.kernel import Kernel, Service
from comfreyshelf.links import is_cross_region
from comfreyshelf.log import HttpLog, LogClient
from comfreyshelf.membership import Roster
from comfreyshelf.messages import AnyMessage, RequestAnswer, StartDisproved
from comfreyshelf.metrics import Metrics
from comfreyshelf.owner import MessageReceived, Owner
from comfreyshelf.records import EntryDown
from comfreyshelf.router import Router
from comfreyshelf.settings import EntrySettings
from comfreyshelf.snapshotter import Snapshotter
from comfreyshelf.tls import load_tls_files
from comfreyshelf.transport import Hub
from comfreyshelf.web import WebServer

# How long a stopping entry tries to append its `EntryDown`.
ENTRY_DOWN_TIMEOUT_S = 2.0


class Entry(Service):
    """An entry process; any number of them may run, and each may be replaced at any time."""

    def __init__(self, cfg: EntrySettings, log: LogClient | None = None) -> None:
        self._cfg = cfg
        self._log = log or HttpLog(cfg.log_url)
        self._is_stopped = False
        self._tls = load_tls_files(cfg.tls_certificate, cfg.tls_key, cfg.tls_authority)
        self.kernel = Kernel()
        self.metrics = self.kernel.register("metrics", Metrics())
        self.roster = Roster()
        self.reader = self.kernel.register(
            "ledger", LedgerReader(self._log, self.metrics, cfg.accept_lost_history)
        )
        writer = f"{cfg.name}/{uuid.uuid4().hex[:12]}"
        self.appender = self.kernel.register(
            "appender", Appender(writer, self._log, self.reader, self.metrics)
        )
        self.owner = self.kernel.register(
            "owner", Owner(cfg, writer, self.reader, self.appender, self.roster, self.metrics)
        )
        self.kernel.register(
            "snapshots", Snapshotter(cfg, self.reader, self.appender, self.metrics)
        )
        self.router = Router(ZoneId(cfg.zone), self.roster, self.metrics)
        self.hub = self.kernel.register(
            "hub",
            Hub(
                cfg.pipe_address,
                self.metrics,
                self._on_message,
                self._is_in_other_region,
                self._tls,
            ),
        )
        self.owner.attach(self.hub)
        self.router.attach(self.hub)
        self.front = FrontEnd(
            cfg.name,
            ZoneId(cfg.zone),
            self.reader,
            self.appender,
            self.roster,
            self.router,
            self.metrics,
        )
        self.forwarder = Forwarder(
            EntryId(cfg.name), ZoneId(cfg.zone), self.reader, self.metrics, cfg.tls_authority
        )
        self.web = self.kernel.register(
            "api",
            WebServer(
                cfg.http_address,
                Root(self.front, self.forwarder),
                cfg.http_threads,
                self.front.error_page,
                parses_forms=False,
                tls=self._tls,
            ),
        )

    def start(self) -> None:
        """Start all services."""
        self.kernel.start()
        logs.log_event("entry started", http=self._cfg.http_address, pipe=self._cfg.pipe_address)

    def stop(self) -> None:
        """Finish the running requests, release the domains, and stop; a second call does nothing.

        `EntryDown` lets other entries claim the domains at once. The services stop in the reverse
        order of their start: HTTP stops first, while the pipes to the targets are still open.
        """
        if self._is_stopped:
            return
        self._is_stopped = True
        self.front.stopping = True
        if not self.web.drain(self._cfg.shutdown_notice_s, self._cfg.shutdown_grace_s):
            logging.warning(
                "entry %s stops: its requests did not end within shutdown_grace_s", self._cfg.name
            )
        self.owner.stop_claiming()
        if self.reader.log_up:
            body = EntryDown(EntryId(self._cfg.name))
            self.appender.submit(body, ENTRY_DOWN_TIMEOUT_S).result()
        self.kernel.stop()
        self.forwarder.close()
        self._log.close()
        logs.log_event("entry stopped")

    def wait_ready(self, timeout_s: float) -> bool:
        """Wait until the log has been read to its end."""
        return self.reader.caught_up.wait(timeout_s)

    def _is_in_other_region(self, zone: ZoneId) -> bool:
        return is_cross_region(self.reader.ledger.config, ZoneId(self._cfg.zone), zone)

    def _on_message(self, target: TargetId, message: AnyMessage) -> None:
        if isinstance(message, RequestAnswer | StartDisproved):
            self.router.receive(message)
        else:
            self.owner.send(MessageReceived(target, message))


def run_until_stopped(service: Service, stop_flag: "StopFlag") -> None:
    """Run a service until `stop_flag` is set."""
    service.start()
    try:
        while not stop_flag.is_set:
            time.sleep(0.1)
    finally:
        service.stop()


class StopFlag:
    """Flag that a signal handler sets to request a stop."""

    def __init__(self) -> None:
        self.is_set = False

    def set(self, *_: object) -> None:
        """Request a stop; takes the arguments of a signal handler and ignores them."""
        self.is_set = True
