"""Forwards short requests for which this entry reaches no runner to other entries."""

import hashlib
import time

import msgspec
import urllib3
from expression import Error, Ok, Result

from comfreyshelf.config import Config
from comfreyshelf.errors import Execution, Refusal, may_have_run, not_run
from comfreyshelf.ids import EntryId, ServiceId, ZoneId
from comfreyshelf.journal import LedgerReader
from comfreyshelf.ledger import EntryInfo
from comfreyshelf.links import forward_candidates, is_cross_region
from comfreyshelf.metrics import LinkPeer, Metrics
from comfreyshelf.reasons import RefusalReason

# Carries the name of the entry that forwarded a request; such a request is not forwarded again.
FORWARDED_BY_HEADER = "Forwarded-By"
# Reasons of refusals after which another entry may still have a runner.
FORWARDABLE_REASONS = frozenset({RefusalReason.NO_RUNNER, RefusalReason.DEPENDENCY_DOWN})
CONNECT_TIMEOUT_S = 1.0
# The other entry refuses at the deadline; this leaves time for its refusal to arrive.
ANSWER_MARGIN_S = 0.1
# Connections to one entry that are kept open for reuse.
MAX_CONNECTIONS = 32
# urllib3 raises these before it has sent anything.
_NOT_SENT_ERRORS = (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError)

Answer = Result[bytes, Refusal]


class Forwarded(msgspec.Struct, frozen=True):
    """A request to forward; `until` is its deadline in monotonic seconds."""

    service: ServiceId
    body: bytes
    until: float
    idempotent: bool
    authorization: str


class Forwarder:
    """Sends requests to other entries over HTTP with the caller's key.

    After a failure, a request is sent to the next entry only if it provably did not run at the
    previous one, or if it is idempotent.
    """

    def __init__(
        self, name: EntryId, zone: ZoneId, reader: LedgerReader, metrics: Metrics, authority: str
    ) -> None:
        self._name = name
        self._zone = zone
        self._reader = reader
        self._metrics = metrics
        self._scheme = "https" if authority else "http"
        self._pool = urllib3.PoolManager(
            maxsize=MAX_CONNECTIONS, block=False, retries=False, ca_certs=authority or None
        )

    def candidates(self, config: Config) -> list[EntryInfo]:
        """Entries to which a request may be forwarded, in order of preference."""
        with self._reader.lock:
            live = self._reader.ledger.live_entries()
        return forward_candidates(self._name, self._zone, config, live)

    def forward(self, config: Config, request: Forwarded, refusal: Refusal) -> Answer:
        """Return the answer of another entry, or a refusal if no entry has a runner.

        `refusal` is the reason why this entry did not send the request to a runner itself.
        """
        latest_refusal = refusal
        for entry in self.candidates(config):
            remaining_s = request.until - time.monotonic()
            if remaining_s <= 0:
                break
            answer = self._send(config, entry, request, remaining_s)
            if answer.is_ok():
                self._metrics.count("request_forwarded")
                return answer
            if answer.error.execution is Execution.MAY_HAVE_RUN:
                latest_refusal = answer.error
                if not request.idempotent:
                    break
            elif answer.error.reason not in FORWARDABLE_REASONS:
                latest_refusal = answer.error if latest_refusal is refusal else latest_refusal
        return Error(latest_refusal)

    def close(self) -> None:
        """Close pooled connections."""
        self._pool.clear()

    def _send(
        self, config: Config, entry: EntryInfo, request: Forwarded, remaining_s: float
    ) -> Answer:
        zone = ZoneId(entry.zone)
        peer = LinkPeer(zone, is_cross_region(config, self._zone, zone))
        headers = {
            "Authorization": request.authorization,
            "Idempotent": "yes" if request.idempotent else "no",
            "Digest": f"sha-256={hashlib.sha256(request.body).hexdigest()}",
            "Deadline-Ms": f"{remaining_s * 1000:.0f}",
            "Content-Type": "application/octet-stream",
            FORWARDED_BY_HEADER: self._name,
        }
        url = f"{self._scheme}://{entry.http_address}/v1/services/{request.service}/requests"
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, remaining_s), total=remaining_s + ANSWER_MARGIN_S
        )
        self._metrics.count_bytes_sent(peer, len(request.body))
        try:
            answer = self._pool.request(
                "POST", url, body=request.body, headers=headers, timeout=timeout
            )
        except _NOT_SENT_ERRORS:
            return Error(_unreachable())
        except urllib3.exceptions.HTTPError:
            # The connection was open, so the request may have arrived.
            return Error(_answer_lost())
        self._metrics.count_bytes_received(peer, len(answer.data))
        return _decode_answer(answer.status, answer.data, answer.headers.get("Digest", ""))


def _decode_answer(status: int, data: bytes, digest: str) -> Answer:
    """Decode the answer of another entry; an unreadable one does not prove that nothing ran."""
    if status == 200:
        if digest == f"sha-256={hashlib.sha256(data).hexdigest()}":
            return Ok(data)
        return Error(_answer_lost())
    try:
        return Error(msgspec.json.decode(data, type=Refusal))
    except msgspec.DecodeError:
        return Error(_answer_lost())


def _unreachable() -> Refusal:
    return not_run(RefusalReason.NO_RUNNER, "no other entry is reachable", "try again later", 1)


def _answer_lost() -> Refusal:
    return may_have_run(
        RefusalReason.MAY_HAVE_RUN,
        "the request was forwarded, but the answer of the other entry was lost or damaged",
        "check the effect before sending it again",
    )
