"""Calls to the store, which go through a peer while the store is unreachable from this VM."""

import threading
from collections.abc import Callable

from comfreyshelf.fleet.bounds import monotonic
from comfreyshelf.fleet.http import HttpClient, HttpResponse
from comfreyshelf.fleet.store import StoreBusyError, StoreSilentError
from comfreyshelf.logs import log_event
from comfreyshelf.metrics import Metrics

RELAY_PATH = "/relay"
# A peer is tried first until this long after the direct route last failed.
DIRECT_RETRY_S = 1.0
# No further route is tried once a call has taken its timeout multiplied by this factor.
MAX_TIMEOUT_FACTOR = 1.2
# Added to the timeout of a call through a peer, which itself waits for the store.
RELAY_SLACK_S = 0.2
# A peer usually answers within 20 ms; one that does not is probably down.
PEER_CONNECT_TIMEOUT_S = 0.3
_CONNECTIONS = 6
_METHOD, _PATH, _CONTENT_TYPE, _TIMEOUT = "X-Method", "X-Path", "Content-Type", "X-Timeout"


class Relay:
    """Calls the store directly, or through the first peer that reaches it.

    `get_peers` returns the peers' addresses at each call, because peers join and leave.
    """

    def __init__(
        self, store_address: str, get_peers: Callable[[], list[str]], metrics: Metrics
    ) -> None:
        self._store_client = HttpClient(store_address, _CONNECTIONS)
        self._get_peers = get_peers
        self._metrics = metrics
        self._peer_clients: dict[str, HttpClient] = {}
        self._lock = threading.Lock()
        self._direct_failed_at = float("-inf")
        self._active_peer = ""
        # When a call last succeeded, on the monotonic clock.
        self.last_success_at = float("-inf")
        # False if a call failed on every route and no other call succeeded since it began.
        self.is_store_reachable = True

    def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes,
        content_type: str,
        is_long_poll: bool = False,
    ) -> HttpResponse:
        """Send one call; raises StoreBusyError only if the store cannot have carried it out.

        A long poll without an answer says nothing about other calls, so it does not count as a
        failure of the route; the caller repeats it as a short call, which does.
        """
        failure: StoreBusyError | StoreSilentError | None = None
        started_at = monotonic()
        give_up_at = started_at + timeout_s * MAX_TIMEOUT_FACTOR
        for address in self._routes():
            if failure is not None and monotonic() > give_up_at:
                break
            try:
                if not address:
                    answer = self.call_store(method, path, timeout_s, body, content_type)
                else:
                    answer = self._call_through_peer(
                        address, method, path, timeout_s, body, content_type
                    )
            except (StoreBusyError, StoreSilentError) as exc:
                if is_long_poll and isinstance(exc, StoreSilentError):
                    self._metrics.count("long_polls_unanswered")
                    raise
                self._metrics.count(f'store_failures{{kind="{type(exc).__name__}"}}')
                self._record_failure(address, exc)
                if failure is None or isinstance(exc, StoreSilentError):
                    failure = exc
                continue
            self._record_success(address)
            return answer
        # A long read that began before an outage may fail after newer calls have succeeded.
        if self.last_success_at < started_at:
            self.is_store_reachable = False
        assert failure is not None
        raise failure

    def call_store(
        self, method: str, path: str, timeout_s: float, body: bytes, content_type: str
    ) -> HttpResponse:
        """Send one call to the store without a peer."""
        return self._store_client.call(
            method, path, timeout_s, body, {_CONTENT_TYPE: content_type} if content_type else {}
        )

    @property
    def is_direct_paused(self) -> bool:
        """Whether the direct route has failed lately, and not succeeded since."""
        with self._lock:
            return monotonic() - self._direct_failed_at < DIRECT_RETRY_S

    def _routes(self) -> list[str]:
        """Return the addresses to try in order; an empty string stands for the store itself."""
        is_direct_paused = self.is_direct_paused
        with self._lock:
            active_peer = self._active_peer
        peers = [active_peer] if active_peer else []
        peers += [peer for peer in self._get_peers() if peer != active_peer]
        # A second peer is tried last, because an unreachable one costs a full connection timeout.
        return [*peers[:1], "", *peers[1:2]] if is_direct_paused else ["", *peers[:2]]

    def _call_through_peer(
        self, address: str, method: str, path: str, timeout_s: float, body: bytes, content_type: str
    ) -> HttpResponse:
        with self._lock:
            client = self._peer_clients.get(address)
            if client is None:
                client = HttpClient(address, _CONNECTIONS, PEER_CONNECT_TIMEOUT_S)
                self._peer_clients[address] = client
        headers = {
            _METHOD: method,
            _PATH: path,
            _CONTENT_TYPE: content_type,
            _TIMEOUT: f"{timeout_s:.3f}",
        }
        answer = client.call("POST", RELAY_PATH, timeout_s + RELAY_SLACK_S, body, headers)
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
        self.is_store_reachable = True
        with self._lock:
            self.last_success_at = monotonic()
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
    """Carry out a peer's call to the store, and return the status and body of the answer.

    The status is 503 if the store has not carried out the call, and 504 if that is unknown. A call
    is not tried while this entry's own calls fail: without an answer, the peer could not tell its
    caller that the job has not been accepted.
    """
    if relay.is_direct_paused:
        return 503, b""
    try:
        answer = relay.call_store(
            headers[_METHOD.lower()],
            headers[_PATH.lower()],
            float(headers.get(_TIMEOUT.lower(), "1")),
            body,
            headers.get(_CONTENT_TYPE.lower(), ""),
        )
    except StoreBusyError:
        return 503, b""
    except StoreSilentError:
        return 504, b""
    return answer.status, answer.body
