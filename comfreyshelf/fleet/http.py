"""HTTP calls to one address, for the store, the runner and peers."""

from collections.abc import Mapping

import msgspec
import urllib3

from comfreyshelf.fleet.store import (
    ConnectionLostError,
    NotListeningError,
    StoreBusyError,
    StoreSilentError,
)

CONNECT_TIMEOUT_S = 0.6
JSON_HEADERS = {"Content-Type": "application/json"}
# A server that answers with one of these has not carried out the call.
_BUSY_STATUSES = (429, 503, 507)


class HttpResponse(msgspec.Struct, frozen=True):
    """Status and body of an answered call."""

    status: int
    body: bytes


class HttpClient:
    """HTTP client of one address that reuses its connections.

    A kept connection reports no error when the far end is cut off, so calls on it time out.
    """

    def __init__(
        self, address: str, connections: int, connect_timeout_s: float = CONNECT_TIMEOUT_S
    ) -> None:
        host, _, port = address.partition(":")
        self._connect_timeout_s = connect_timeout_s
        self.address = address
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=connections, retries=False, block=False
        )

    def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> HttpResponse:
        """Send one call; raises StoreBusyError, StoreSilentError or one of their kinds."""
        timeout = urllib3.Timeout(connect=min(self._connect_timeout_s, timeout_s), read=timeout_s)
        try:
            response = self._pool.request(
                method, path, body=body, headers=dict(headers or {}), timeout=timeout
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            error = NotListeningError if _is_refused(exc) else StoreBusyError
            raise error(
                f"cannot connect to {self.address}: {exc}",
                "check that it runs and can be reached, then retry",
            ) from exc
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            is_late = isinstance(exc, urllib3.exceptions.TimeoutError)
            silence = StoreSilentError if is_late else ConnectionLostError
            raise silence(
                f"no answer from {self.address}: {exc}",
                "retry only if the call is idempotent, as it may have been carried out",
            ) from exc
        if response.status in _BUSY_STATUSES:
            raise StoreBusyError(
                f"{self.address} is busy and answered with HTTP status {response.status}",
                "retry later",
            )
        return HttpResponse(response.status, response.data)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()


def _is_refused(exc: BaseException) -> bool:
    """Whether a connection attempt was refused, rather than left without an answer."""
    return isinstance(exc.__cause__ or exc.__context__, ConnectionRefusedError)
