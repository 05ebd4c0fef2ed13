"""The hop of a short request to an entry that reaches runners which this entry does not reach."""

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

# Names the entry that forwarded a request; such a request is not forwarded again.
HOP_HEADER = "Forwarded-By"
# Reasons for which another entry may have a runner.
HOP_REASONS = frozenset({RefusalReason.NO_RUNNER, RefusalReason.DEPENDENCY_DOWN})
CONNECT_TIMEOUT_S = 1.0
# The far entry refuses at the deadline; its refusal has to arrive.
ANSWER_MARGIN_S = 0.1
# Forwarded requests that run at once; others get the refusal of this entry.
MAX_CONNECTIONS = 32
# With these urllib3 has not sent anything.
_NOT_SENT = (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError)

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

    A request goes on to the next entry only if it provably did not run at the one before, or if it
    is idempotent.
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
        """Entries that a request may be forwarded to, in order."""
        with self._reader.lock:
            live = self._reader.ledger.live_entries()
        return forward_candidates(self._name, self._zone, config, live)

    def forward(self, config: Config, request: Forwarded, refusal: Refusal) -> Answer:
        """The answer of another entry, or the refusal if no entry has a runner.

        `refusal` is why this entry has not sent the request to a runner itself.
        """
        latest = refusal
        for info in self.candidates(config):
            left_s = request.until - time.monotonic()
            if left_s <= 0:
                break
            answer = self._send(config, info, request, left_s)
            if answer.is_ok():
                self._metrics.count("request_forwarded")
                return answer
            if answer.error.execution is Execution.MAY_HAVE_RUN:
                latest = answer.error
                if not request.idempotent:
                    break
            elif answer.error.reason not in HOP_REASONS:
                latest = answer.error if latest is refusal else latest
        return Error(latest)

    def close(self) -> None:
        """Close pooled connections."""
        self._pool.clear()

    def _send(self, config: Config, info: EntryInfo, request: Forwarded, left_s: float) -> Answer:
        zone = ZoneId(info.zone)
        end = LinkPeer(zone, is_cross_region(config, self._zone, zone))
        headers = {
            "Authorization": request.authorization,
            "Idempotent": "yes" if request.idempotent else "no",
            "Digest": f"sha-256={hashlib.sha256(request.body).hexdigest()}",
            "Deadline-Ms": f"{left_s * 1000:.0f}",
            "Content-Type": "application/octet-stream",
            HOP_HEADER: self._name,
        }
        url = f"{self._scheme}://{info.http_address}/v1/services/{request.service}/requests"
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, left_s), total=left_s + ANSWER_MARGIN_S
        )
        self._metrics.count_bytes_sent(end, len(request.body))
        try:
            answer = self._pool.request(
                "POST", url, body=request.body, headers=headers, timeout=timeout
            )
        except _NOT_SENT:
            return Error(_unreachable())
        except urllib3.exceptions.HTTPError:
            # After the connection was made the request may have arrived.
            return Error(_answer_lost())
        self._metrics.count_bytes_received(end, len(answer.data))
        return _read(answer.status, answer.data, answer.headers.get("Digest", ""))


def _read(status: int, data: bytes, digest: str) -> Answer:
    """The answer of another entry; whatever cannot be read is no proof that nothing ran."""
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
        "the answer of the entry that the request was forwarded to was lost",
        "check the effect before sending it again",
    )
