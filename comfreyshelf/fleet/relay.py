"""Forwards store calls through a peer while the store is unreachable from this VM."""

import threading
from collections.abc import Callable

from comfreyshelf.fleet.bounds import monotonic
from comfreyshelf.fleet.http import HttpClient, HttpResponse
from comfreyshelf.fleet.store import StoreBusyError, StoreSilentError
from comfreyshelf.logs import log_event
from comfreyshelf.metrics import Metrics

RELAY_PATH = "/relay"
# How often the direct route is tried first again after it failed.
DIRECT_RETRY_S = 1.0
# No further route is tried once a call has taken its timeout multiplied by this factor.
MAX_TIMEOUT_FACTOR = 1.2
RELAY_SLACK_S = 0.2
# A peer usually answers within 20 ms; one that does not is probably down.
PEER_CONNECT_TIMEOUT_S = 0.3
_CONNECTIONS = 6
_METHOD, _PATH, _KIND, _TIMEOUT = "X-Method", "X-Path", "Content-Type", "X-Timeout"


class Relay:
    """Calls the store directly, or through the first peer that reaches it.

    The peers' addresses are looked up at each call, because peers join and leave.
    """

    def __init__(self, store: str, peers: Callable[[], list[str]], metrics: Metrics) -> None:
        self._direct = HttpClient(store, _CONNECTIONS)
        self._peers = peers
        self._metrics = metrics
        self._callers: dict[str, HttpClient] = {}
        self._lock = threading.Lock()
        self._direct_failed_at = float("-inf")
        self._active_peer = ""
        # When a call last succeeded, on the monotonic clock.
        self._succeeded_at = float("-inf")
        # False if a call failed on every route and no other call succeeded since it began.
        self.reachable = True

    def call(
        self, method: str, path: str, timeout_s: float, body: bytes, kind: str
    ) -> HttpResponse:
        """Send one call; raises StoreBusyError only if the store cannot have carried it out."""
        failure: StoreBusyError | StoreSilentError | None = None
        began = monotonic()
        until = began + timeout_s * MAX_TIMEOUT_FACTOR
        for address in self._routes():
            if failure is not None and monotonic() > until:
                break
            try:
                if not address:
                    answer = self.direct(method, path, timeout_s, body, kind)
                else:
                    answer = self._call_through_peer(address, method, path, timeout_s, body, kind)
            except (StoreBusyError, StoreSilentError) as exc:
                self._metrics.count(f'store_failures{{kind="{type(exc).__name__}"}}')
                self._record_failure(address, exc)
                if failure is None or isinstance(exc, StoreSilentError):
                    failure = exc
                continue
            self._record_success(address)
            return answer
        # A long read that began before an outage may fail after newer calls have succeeded.
        if self._succeeded_at < began:
            self.reachable = False
        assert failure is not None
        raise failure

    def direct(
        self, method: str, path: str, timeout_s: float, body: bytes, kind: str
    ) -> HttpResponse:
        """Send one call to the store without a peer."""
        return self._direct.call(method, path, timeout_s, body, {_KIND: kind} if kind else {})

    def _routes(self) -> list[str]:
        """Return the addresses to try in order; an empty string stands for the store itself."""
        with self._lock:
            waits = monotonic() - self._direct_failed_at < DIRECT_RETRY_S
            last = self._active_peer
        peers = [last] if last else []
        peers += [peer for peer in self._peers() if peer != last]
        # A second peer is tried last, because an unreachable one costs a full connection timeout.
        return [*peers[:1], "", *peers[1:2]] if waits else ["", *peers[:2]]

    def _call_through_peer(
        self, address: str, method: str, path: str, timeout_s: float, body: bytes, kind: str
    ) -> HttpResponse:
        with self._lock:
            caller = self._callers.get(address)
            if caller is None:
                caller = HttpClient(address, _CONNECTIONS, PEER_CONNECT_TIMEOUT_S)
                self._callers[address] = caller
        headers = {_METHOD: method, _PATH: path, _KIND: kind, _TIMEOUT: f"{timeout_s:.3f}"}
        answer = caller.call("POST", RELAY_PATH, timeout_s + RELAY_SLACK_S, body, headers)
        if answer.status == 504:
            raise StoreSilentError(f"peer {address} got no answer from the store", "ask again")
        return answer

    def _record_failure(self, address: str, exc: Exception) -> None:
        with self._lock:
            was_up = self._direct_failed_at == float("-inf")
            if not address:
                self._direct_failed_at = monotonic()
            elif address == self._active_peer:
                self._active_peer = ""
        if not address and was_up:
            log_event("store lost", why=str(exc))

    def _record_success(self, address: str) -> None:
        self.reachable = True
        with self._lock:
            self._succeeded_at = monotonic()
            regained = not address and self._direct_failed_at != float("-inf")
            if not address:
                self._direct_failed_at = float("-inf")
                self._active_peer = ""
            else:
                moved = self._active_peer != address
                self._active_peer = address
        if regained:
            log_event("store regained")
        elif address and moved:
            log_event("store reached through a peer", peer=address)


def relay_for_peer(relay: Relay, headers: dict[str, str], body: bytes) -> tuple[int, bytes]:
    """Carry out a peer's call; returns the store's status, 503 if not done or 504 if unknown."""
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
