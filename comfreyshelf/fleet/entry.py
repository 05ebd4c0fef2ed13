"""Assembles the services of an entry."""

import time
from collections.abc import Callable

from comfreyshelf.fleet.bounds import monotonic
from comfreyshelf.fleet.codec import Codec
from comfreyshelf.fleet.entry_sync import JobReader, JobSync
from comfreyshelf.fleet.evacuation.operator_topic import OperatorTopic, OperatorTopicReader
from comfreyshelf.fleet.http_api import CallerApi
from comfreyshelf.fleet.hub import Hub
from comfreyshelf.fleet.job_table import JobTable
from comfreyshelf.fleet.leader_election import LeaderElection
from comfreyshelf.fleet.learned.keeper import LearnedKeeper
from comfreyshelf.fleet.messages import Report, TargetMessage
from comfreyshelf.fleet.ownership import JobChanged, OwnerTask, ReportReceived
from comfreyshelf.fleet.relay import RELAY_PATH, Relay, relay_for_peer
from comfreyshelf.fleet.settings import FleetSettings
from comfreyshelf.fleet.store import Membership, Store
from comfreyshelf.fleet.web import Call, Reply, WebServer, metrics_server
from comfreyshelf.fleet.where_api import WhereApi
from comfreyshelf.fleet.where_protocol import WHERE_PATH
from comfreyshelf.kernel import Kernel
from comfreyshelf.logs import log_event
from comfreyshelf.metrics import Metrics

# An entry reports not ready if it has not read the job records for this long.
STALE_AFTER_S = 6.0
# A stopping entry keeps serving until two probes of the load balancer, one per second, failed.
SHUTDOWN_NOTICE_S = 2.4
FRONT_THREADS = 8
CONTROL_THREADS = 4
READY_THREADS = 1
MAX_RELAYED_BYTES = 4 * 1024 * 1024


class EntryProcess:
    """Creates and connects the services of an entry."""

    def __init__(
        self,
        settings: FleetSettings,
        codec: Codec,
        make_store: Callable[[Relay], Store],
    ) -> None:
        self._settings = settings
        self._is_stopping = False
        self.metrics = Metrics()
        self._relay = Relay(settings.store_address, self._peers, self.metrics)
        store = make_store(self._relay)
        job_table = JobTable()
        self._owner = OwnerTask(settings, job_table, self.metrics)
        self._hub = Hub(settings.pipe_address, self._receive_message)
        self._job_sync = JobSync(store, job_table, lambda job: self._owner.send(JobChanged(job)))
        self._operator_topic = OperatorTopic(store, codec, self.metrics, self._owner.send)
        operator_reader = OperatorTopicReader(self._operator_topic)
        caller_api = CallerApi(
            codec,
            job_table,
            lambda: self._operator_topic.config,
            lambda record, limit_s: self._job_sync.append([record], max_timeout_s=limit_s),
            self._job_sync.catch_up,
            lambda: self._relay.is_store_reachable,
            self._job_sync.reachability.is_answering,
            self.metrics,
        )
        self._caller_server = WebServer(
            settings.front_address, FRONT_THREADS, caller_api.handle, caller_api.max_body
        )
        election = LeaderElection(
            store,
            f"{settings.name}@{settings.pipe_address}",
            settings.cores,
            self._owner.send,
            settings.control_address,
        )
        self._election = election
        self._where_api = WhereApi(
            codec,
            lambda: self._operator_topic.config,
            self._owner.send,
            lambda: election.leader,
            settings.control_address,
            self.metrics,
        )
        # Its calls have a route and time-outs of their own: where only the topic of learned records
        # does not answer, other calls neither wait longer nor take the store for lost.
        keeper_relay = Relay(settings.store_address, self._peers, self.metrics)
        keeper = LearnedKeeper(make_store(keeper_relay), self.metrics, self._owner.send)
        self._owner.connect(self._job_sync, store, self._hub, election.end_term, keeper.send)
        self._owner.connect_operators(self._operator_topic, operator_reader.read_up_to)
        self.kernel = Kernel()
        register = self.kernel.register
        register("metrics", self.metrics)
        if settings.metrics_address:
            register("metrics-server", metrics_server(settings.metrics_address, self.metrics))
        register("hub", self._hub)
        register("owner", self._owner)
        register("learned", keeper)
        register("configuration", operator_reader)
        register("jobs", JobReader(self._job_sync))
        register(
            "control",
            self._create_server(settings.control_address, CONTROL_THREADS, self._handle_control),
        )
        register(
            "ready", self._create_server(settings.ready_address, READY_THREADS, self._handle_ready)
        )
        register("front", self._caller_server)
        register("member", election)

    def _create_server(
        self, address: str, threads: int, handle: Callable[[Call], Reply]
    ) -> WebServer:
        return WebServer(address, threads, handle, lambda: MAX_RELAYED_BYTES)

    def _peers(self) -> list[str]:
        return [peer for peer in self._settings.peers if peer != self._settings.control_address]

    def _receive_message(self, message: TargetMessage) -> None:
        if isinstance(message, Report):
            self._owner.send(ReportReceived(message, monotonic()))
        else:
            self._owner.send(message)

    def _handle_ready(self, call: Call) -> Reply:
        is_fresh = monotonic() - self._job_sync.last_read_at < STALE_AFTER_S
        is_ready = is_fresh and self._operator_topic.config is not None and not self._is_stopping
        return Reply(200 if is_ready else 503, b"{}")

    def _handle_control(self, call: Call) -> Reply:
        if call.path == RELAY_PATH:
            headers = {
                key.removeprefix("HTTP_").replace("_", "-").lower(): value
                for key, value in call.headers.items()
            }
            status, body = relay_for_peer(self._relay, headers, call.body)
            return Reply(status, body, content_type="application/octet-stream")
        if call.path == WHERE_PATH:
            return self._where_api.handle(call)
        return Reply(404, b"{}")

    def reload(self, settings: FleetSettings) -> None:
        """Apply the peers of changed settings; listening addresses change only on restart."""
        log_event("settings read again", peers=settings.peers, before=self._settings.peers)
        self._settings = settings

    def prepare_stop(self) -> None:
        """Report not ready but keep serving, then close the HTTP API and hand over the schedule."""
        self._is_stopping = self._election.stopping = True
        self._caller_server.is_closing = True
        time.sleep(SHUTDOWN_NOTICE_S)
        self._caller_server.stop()
        self._owner.send(Membership(0, False))
        self._election.stop()
