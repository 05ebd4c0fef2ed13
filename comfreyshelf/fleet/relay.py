"""Carries store calls through a peer while the store turns this machine away."""

import threading
from collections.abc import Callable

from comfreyshelf.fleet.bounds import monotonic
from comfreyshelf.fleet.http import Answer, Caller
from comfreyshelf.fleet.store import StoreBusyError, StoreSilentError
from comfreyshelf.logs import log_event
from comfreyshelf.metrics import Metrics

RELAY_PATH = "/relay"
# After a failure the direct way is tried again this often.
DIRECT_RETRY_S = 1.0
# No further way is tried once a call has taken this many of its timeouts.
SILENT_TIMEOUTS = 1.2
RELAY_SLACK_S = 0.2
# A peer answers within some 20 ms; one that does not is probably gone.
PEER_CONNECT_TIMEOUT_S = 0.3
_CONNECTIONS = 6
_METHOD, _PATH, _KIND, _TIMEOUT = "X-Method", "X-Path", "Content-Type", "X-Timeout"


class Relay:
    """Calls the store directly, or through the first peer that reaches it.

    The peers' addresses are asked for at each call, as peers come and go.
    """

    def __init__(self, store: str, peers: Callable[[], list[str]], metrics: Metrics) -> None:
        self._direct = Caller(store, _CONNECTIONS)
        self._peers = peers
        self._metrics = metrics
        self._callers: dict[str, Caller] = {}
        self._lock = threading.Lock()
        self._down_at = float("-inf")
        self._through = ""
        # When a call last worked, on the steady clock.
        self._worked_at = float("-inf")
        # False while calls fail every way and none that ended since they began has worked.
        self.reachable = True

    def call(self, method: str, path: str, timeout_s: float, body: bytes, kind: str) -> Answer:
        """Send one call; raises StoreBusyError only if no attempt may have been carried out."""
        failure: StoreBusyError | StoreSilentError | None = None
        began = monotonic()
        until = began + timeout_s * SILENT_TIMEOUTS
        for address in self._ways():
            if failure is not None and monotonic() > until:
                break
            try:
                if not address:
                    answer = self.direct(method, path, timeout_s, body, kind)
                else:
                    answer = self._relayed(address, method, path, timeout_s, body, kind)
            except (StoreBusyError, StoreSilentError) as exc:
                self._metrics.count(f'store_failures{{kind="{type(exc).__name__}"}}')
                self._failed(address, exc)
                if failure is None or isinstance(exc, StoreSilentError):
                    failure = exc
                continue
            self._worked(address)
            return answer
        # A read that waited through an outage fails after newer calls have worked again.
        if self._worked_at < began:
            self.reachable = False
        assert failure is not None
        raise failure

    def direct(self, method: str, path: str, timeout_s: float, body: bytes, kind: str) -> Answer:
        """Send one call to the store itself."""
        return self._direct.call(method, path, timeout_s, body, {_KIND: kind} if kind else {})

    def _ways(self) -> list[str]:
        """Addresses to try in order; the empty one is the store itself."""
        with self._lock:
            waits = monotonic() - self._down_at < DIRECT_RETRY_S
            last = self._through
        peers = [last] if last else []
        peers += [peer for peer in self._peers() if peer != last]
        # A second peer is asked last, as one that is gone takes a whole connection timeout.
        return [*peers[:1], "", *peers[1:2]] if waits else ["", *peers[:2]]

    def _relayed(
        self, address: str, method: str, path: str, timeout_s: float, body: bytes, kind: str
    ) -> Answer:
        with self._lock:
            caller = self._callers.get(address)
            if caller is None:
                caller = Caller(address, _CONNECTIONS, PEER_CONNECT_TIMEOUT_S)
                self._callers[address] = caller
        headers = {_METHOD: method, _PATH: path, _KIND: kind, _TIMEOUT: f"{timeout_s:.3f}"}
        answer = caller.call("POST", RELAY_PATH, timeout_s + RELAY_SLACK_S, body, headers)
        if answer.status == 504:
            raise StoreSilentError(f"peer {address} got no answer from the store", "ask again")
        return answer

    def _failed(self, address: str, exc: Exception) -> None:
        with self._lock:
            was_up = self._down_at == float("-inf")
            if not address:
                self._down_at = monotonic()
            elif address == self._through:
                self._through = ""
        if not address and was_up:
            log_event("store lost", why=str(exc))

    def _worked(self, address: str) -> None:
        self.reachable = True
        with self._lock:
            self._worked_at = monotonic()
            regained = not address and self._down_at != float("-inf")
            if not address:
                self._down_at = float("-inf")
                self._through = ""
            else:
                moved = self._through != address
                self._through = address
        if regained:
            log_event("store regained")
        elif address and moved:
            log_event("store reached through a peer", peer=address)


def relay_for_peer(relay: Relay, headers: dict[str, str], body: bytes) -> tuple[int, bytes]:
    """Carry out a peer's call; the status is the store's, 503 if not done and 504 if unknown."""
    try:
        answer = relay.direct(
            headers[_METHOD.lower()],
            headers[_PATH.lower()],
            float(headers.get(_TIMEOUT.lower(), "1")),
            body,
            headers.get(_KIND.lower(), ""),
        )
    except StoreBusyError:
        return 503, b""
    except StoreSilentError:
        return 504, b""
    return answer.status, answer.body
