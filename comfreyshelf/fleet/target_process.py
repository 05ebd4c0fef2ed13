"""Assembles the services of a target process."""

from collections.abc import Callable

from comfreyshelf.errors import UserError
from comfreyshelf.fleet.codec import Codec
from comfreyshelf.fleet.order_executor import OrderExecutor
from comfreyshelf.fleet.owner_link import OwnerLink
from comfreyshelf.fleet.relay import Relay
from comfreyshelf.fleet.runner_poller import RunnerPoller
from comfreyshelf.fleet.settings import FleetSettings
from comfreyshelf.fleet.store import Store
from comfreyshelf.fleet.target_runner import Runner
from comfreyshelf.fleet.target_state import TargetState
from comfreyshelf.fleet.web import Call, Reply, WebServer, metrics_server
from comfreyshelf.ids import TargetId
from comfreyshelf.kernel import Kernel
from comfreyshelf.logs import log_event
from comfreyshelf.metrics import Metrics

HEARTBEAT_THREADS = 2
MAX_HEARTBEAT_BYTES = 1024 * 1024


class TargetProcess:
    """Receives the heartbeats of one runner and carries out the owner's orders on it."""

    def __init__(
        self,
        settings: FleetSettings,
        codec: Codec,
        make_store: Callable[[Relay], Store],
        make_runner: Callable[[str], Runner],
    ) -> None:
        self._codec = codec
        self._settings = settings
        self.metrics = Metrics()
        self._state = TargetState(settings.bounds, settings.ip, self.metrics)
        relay = Relay(settings.store_address, lambda: list(self._settings.peers), self.metrics)
        self._runner = make_runner(settings.runner_address)
        self._order_executor = OrderExecutor(self._state, self._runner, self.metrics)
        self.kernel = Kernel()
        self.kernel.register("metrics", self.metrics)
        if settings.metrics_address:
            self.kernel.register(
                "metrics-server", metrics_server(settings.metrics_address, self.metrics)
            )
        self.kernel.register("looker", RunnerPoller(self._state, self._runner, self.metrics))
        self.kernel.register(
            "link", OwnerLink(self._state, make_store(relay), self._order_executor)
        )
        self.kernel.register(
            "control",
            WebServer(
                settings.control_address,
                HEARTBEAT_THREADS,
                self._handle_control,
                lambda: MAX_HEARTBEAT_BYTES,
            ),
        )

    def _handle_control(self, call: Call) -> Reply:
        target = self._codec.target_from_path(call.path)
        if not target:
            return Reply(404, b"{}")
        if call.method == "DELETE":
            log_event("target left", target=target)
            self._state.record_departure(TargetId(target))
            return Reply(200, b"{}")
        try:
            announcement = self._codec.decode_announcement(target, call.body)
        except UserError as exc:
            self.metrics.count("heartbeats_refused")
            log_event("heartbeat refused", target=target, why=str(exc))
            return Reply(400, b"{}")
        if not self._state.announce(announcement):
            self.metrics.count("heartbeats_old")
        return Reply(200, b"{}")

    def reload(self, settings: FleetSettings) -> None:
        """Apply the peers of changed settings; listening addresses change only on restart."""
        log_event("settings read again", peers=settings.peers, before=self._settings.peers)
        self._settings = settings

    def prepare_stop(self) -> None:
        """Wait for calls in progress; the runner's lease outlasts a restart of this process."""
        self._order_executor.close()
