"""A client of an entry's HTTP interface, for the command line, the demo and tests."""

import hashlib
from typing import Any

import msgspec
import urllib3

from comfreyshelf.errors import Refusal, UserError


class RefusedError(UserError):
    """An entry refused a call; `refusal` has the reason, `status` the HTTP status."""

    def __init__(self, refusal: Refusal, status: int) -> None:
        super().__init__(f"{refusal.reason.value}: {refusal.message}", refusal.remedy)
        self.refusal = refusal
        self.status = status


class UnreachableError(UserError):
    """No entry answered."""


class Client:
    """Calls one entry, or the balancer in front of several.

    `Client("127.0.0.1:8080", key).wait("my-key", 30.0)` returns the job's view as a dict.
    """

    def __init__(self, address: str, key: str, timeout_s: float = 90.0) -> None:
        self._base = f"http://{address}"
        self._headers = {"Authorization": f"Bearer {key}"}
        self._pool = urllib3.PoolManager(timeout=timeout_s, retries=False)

    def submit(self, **job: object) -> dict[str, Any]:
        """Submit a job; the fields are those of `JobRequest`."""
        return self._json("POST", "/v1/jobs", job)

    def job(self, job: str, wait_s: float = 0.0) -> dict[str, Any]:
        """Look up a job, waiting for its end for up to `wait_s` seconds."""
        return self._json("GET", f"/v1/jobs/{job}?wait_s={wait_s}")

    def job_by_key(self, key: str) -> dict[str, Any]:
        """Look up a job by the client key."""
        return self._json("GET", f"/v1/jobs?key={key}")

    def result(self, job: str) -> bytes:
        """The whole result of a job; raises ValueError if it does not match its digest."""
        return self._bytes("GET", f"/v1/jobs/{job}/result", b"", {})

    def cancel(self, jobs: list[str]) -> list[dict[str, Any]]:
        """Cancel jobs."""
        return self._json("POST", "/v1/cancellations", {"jobs": jobs})

    def request(self, service: str, body: bytes, idempotent: bool = True) -> bytes:
        """Send a short request to a service."""
        headers = {"Idempotent": "yes" if idempotent else "no"}
        return self._bytes("POST", f"/v1/services/{service}/requests", body, headers)

    def config(self) -> dict[str, Any]:
        """The configuration in force."""
        return self._json("GET", "/v1/config")

    def history(self) -> list[dict[str, Any]]:
        """The newest accepted configurations."""
        return self._json("GET", "/v1/config/history")

    def publish(self, text: str, base: int) -> dict[str, Any]:
        """Publish a text that was edited from version `base`."""
        return self._json("POST", "/v1/config", {"base": base, "text": text})

    def targets(self) -> list[dict[str, Any]]:
        """All targets and what holds them."""
        return self._json("GET", "/v1/targets")

    def metrics(self) -> str:
        """The entry's metrics."""
        return self._send("GET", "/metrics", b"", {}).data.decode()

    def healthy(self) -> bool:
        """Whether the entry takes work."""
        try:
            return self._pool.request("GET", f"{self._base}/health", timeout=1.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _json(self, method: str, path: str, body: object = None) -> Any:
        data = msgspec.json.encode(body) if body is not None else b""
        answer = self._send(method, path, data, {"Content-Type": "application/json"})
        return msgspec.json.decode(answer.data)

    def _bytes(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> bytes:
        answer = self._send(method, path, body, headers)
        expected = answer.headers.get("Digest", "").removeprefix("sha-256=")
        if hashlib.sha256(answer.data).hexdigest() != expected:
            raise ValueError("the answer does not match its digest")
        return answer.data

    def _send(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> urllib3.BaseHTTPResponse:
        try:
            answer = self._pool.request(
                method, self._base + path, body=body, headers=self._headers | headers
            )
        except urllib3.exceptions.HTTPError as exc:
            raise UnreachableError(f"no entry answered: {exc}", "check the address") from exc
        if answer.status >= 400:
            raise self._refused(answer)
        return answer

    @staticmethod
    def _refused(answer: urllib3.BaseHTTPResponse) -> UserError:
        try:
            refusal = msgspec.json.decode(answer.data, type=Refusal)
        except msgspec.DecodeError:
            return UnreachableError(f"the entry answered status {answer.status}", "check the path")
        return RefusedError(refusal, answer.status)
