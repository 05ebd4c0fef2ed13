"""A client of an entry's HTTP interface for the command line, the demo and tests."""

import hashlib
import time
from collections.abc import Sequence
from typing import Any

import msgspec
import urllib3

from comfreyshelf.errors import Refusal, UserError
from comfreyshelf.reasons import RefusalReason

LONG_POLL_S = 20.0
RECONNECT_DELAY_S = 0.2
FINAL_STATES = frozenset({"finished", "cancelled", "refused", "may_have_run"})
# urllib3 raises these before it has sent anything.
_NOT_SENT_ERRORS = (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError)


class RefusedError(UserError):
    """An entry refused a call; `refusal` has the reason, `status` the HTTP status."""

    def __init__(self, refusal: Refusal, status: int) -> None:
        super().__init__(f"{refusal.reason.value}: {refusal.message}", refusal.remedy)
        self.refusal = refusal
        self.status = status


class UnreachableError(UserError):
    """No entry answered; `was_sent` tells whether the call may have reached one."""

    def __init__(self, message: str, remedy: str, was_sent: bool = True) -> None:
        super().__init__(message, remedy)
        self.was_sent = was_sent


class Client:
    """Calls one entry, or the balancer in front of several.

    `Client("127.0.0.1:8080", key).wait(job, 30.0)` returns the job's view as a dict. `others`
    are the addresses of further entries: a call that is safe to repeat is retried at the next entry
    if one is unreachable or stopping.
    `authority` is the PEM file of the authority that signs the entries' certificates; it selects
    HTTPS.
    """

    def __init__(
        self,
        address: str,
        key: str,
        timeout_s: float = 90.0,
        others: Sequence[str] = (),
        authority: str = "",
    ) -> None:
        scheme = "https" if authority else "http"
        self._base_urls = [f"{scheme}://{each}" for each in (address, *others)]
        self._headers = {"Authorization": f"Bearer {key}"}
        self._pool = urllib3.PoolManager(
            timeout=timeout_s, retries=False, ca_certs=authority or None
        )

    @property
    def _base_url(self) -> str:
        return self._base_urls[0]

    def submit(self, **job: object) -> dict[str, Any]:
        """Submit a job; the fields are those of `JobRequest`."""
        return self._call_json("POST", "/v1/jobs", job)

    def job(self, job: str, wait_s: float = 0.0) -> dict[str, Any]:
        """Look up a job, waiting for its end for up to `wait_s` seconds."""
        return self._call_json("GET", f"/v1/jobs/{job}?wait_s={wait_s}")

    def wait(self, job: str, timeout_s: float) -> dict[str, Any]:
        """Wait for the end of a job, through other entries if needed; returns the latest view."""
        deadline = time.monotonic() + timeout_s
        while True:
            remaining_s = max(0.0, deadline - time.monotonic())
            try:
                view = self.job(job, min(remaining_s, LONG_POLL_S))
            except UnreachableError:
                if remaining_s <= 0:
                    raise
                time.sleep(RECONNECT_DELAY_S)
                continue
            if view["state"] in FINAL_STATES or remaining_s <= 0:
                return view
            # A stopping entry answers at once, so the wait continues at the next entry.
            self._rotate()

    def job_by_key(self, key: str) -> dict[str, Any]:
        """Look up a job by the key that it was submitted with."""
        return self._call_json("GET", f"/v1/jobs?key={key}")

    def result(self, job: str) -> bytes:
        """The whole result of a job; raises ValueError if it does not match its digest."""
        return self._call_verified("GET", f"/v1/jobs/{job}/result", b"", {})

    def cancel(self, jobs: list[str]) -> list[dict[str, Any]]:
        """Cancel jobs."""
        return self._call_json("POST", "/v1/cancellations", {"jobs": jobs})

    def request(
        self,
        service: str,
        body: bytes,
        idempotent: bool = True,
        key: str = "",
        deadline_ms: float = 0.0,
    ) -> bytes:
        """Send a short request to a service; `key` makes a non-idempotent one run at most once."""
        headers = {
            "Idempotent": "yes" if idempotent else "no",
            "Digest": f"sha-256={hashlib.sha256(body).hexdigest()}",
        }
        if key:
            headers["Idempotency-Key"] = key
        if deadline_ms:
            headers["Deadline-Ms"] = f"{deadline_ms:g}"
        return self._call_verified(
            "POST", f"/v1/services/{service}/requests", body, headers, idempotent
        )

    def config(self) -> dict[str, Any]:
        """The configuration in force."""
        return self._call_json("GET", "/v1/config")

    def history(self) -> list[dict[str, Any]]:
        """The newest accepted configurations."""
        return self._call_json("GET", "/v1/config/history")

    def publish(self, text: str, base: int) -> dict[str, Any]:
        """Publish a text that was edited from version `base`."""
        return self._call_json(
            "POST", "/v1/config", {"base": base, "text": text}, is_repeatable=False
        )

    def targets(self) -> list[dict[str, Any]]:
        """All targets and what holds them."""
        return self._call_json("GET", "/v1/targets")

    def drains(self) -> list[dict[str, Any]]:
        """The leaving targets and what still holds them."""
        return self._call_json("GET", "/v1/drains")

    def metrics(self) -> str:
        """The entry's metrics."""
        return self._send("GET", "/metrics", b"", {}).data.decode()

    def is_healthy(self) -> bool:
        """Whether the entry accepts work."""
        try:
            return self._pool.request("GET", f"{self._base_url}/health", timeout=1.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _call_json(
        self, method: str, path: str, body: object = None, is_repeatable: bool = True
    ) -> Any:
        data = msgspec.json.encode(body) if body is not None else b""
        headers = {"Content-Type": "application/json"}
        return msgspec.json.decode(self._send(method, path, data, headers, is_repeatable).data)

    def _call_verified(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        is_repeatable: bool = True,
    ) -> bytes:
        answer = self._send(method, path, body, headers, is_repeatable)
        expected = answer.headers.get("Digest", "").removeprefix("sha-256=")
        if hashlib.sha256(answer.data).hexdigest() != expected:
            raise ValueError("the answer does not match its digest")
        return answer.data

    def _send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        is_repeatable: bool = True,
    ) -> urllib3.BaseHTTPResponse:
        """Call the entries in turn until one answers.

        A call that is not repeatable goes on to the next entry only if it did not run: it was not
        sent, or the entry refused it because it was stopping.
        """
        for _ in self._base_urls[1:]:
            try:
                return self._send_once(method, path, body, headers)
            except UnreachableError as exc:
                if exc.was_sent and not is_repeatable:
                    raise
            except RefusedError as exc:
                if exc.refusal.reason is not RefusalReason.SHUTTING_DOWN:
                    raise
            self._rotate()
        return self._send_once(method, path, body, headers)

    def _rotate(self) -> None:
        self._base_urls = [*self._base_urls[1:], self._base_urls[0]]

    def _send_once(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> urllib3.BaseHTTPResponse:
        try:
            answer = self._pool.request(
                method, self._base_url + path, body=body, headers=self._headers | headers
            )
        except urllib3.exceptions.HTTPError as exc:
            was_sent = not isinstance(exc, _NOT_SENT_ERRORS)
            raise UnreachableError(
                f"no entry answered: {exc}", "check the address", was_sent
            ) from exc
        if answer.status >= 400:
            raise self._error_from_answer(answer)
        return answer

    @staticmethod
    def _error_from_answer(answer: urllib3.BaseHTTPResponse) -> UserError:
        try:
            refusal = msgspec.json.decode(answer.data, type=Refusal)
        except msgspec.DecodeError:
            return UnreachableError(
                f"the entry answered with status {answer.status} and an unreadable body",
                "check the path",
            )
        return RefusedError(refusal, answer.status)
