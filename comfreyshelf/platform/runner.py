"""HTTP client of the runner on this process's VM."""

import msgspec

from comfreyshelf.fleet.http import JSON_HEADERS, HttpClient
from comfreyshelf.fleet.jobs import EndedRow, EndKind, Incarnation, RunListing, RunningRow, Token
from comfreyshelf.fleet.messages import StartOrder, StopOrder
from comfreyshelf.fleet.target_runner import (
    FencedRunnerError,
    OtherTargetError,
    RefusedError,
    Runner,
)
from comfreyshelf.ids import TargetId

CALL_TIMEOUT_S = 0.8
# Added to the timeout of a listing call, as the runner answers a little after the requested wait.
LISTING_SLACK_S = 0.6
_CONNECTIONS = 6
# Status with which a runner refuses calls that name another id.
_OTHER_INSTANCE = 421
# Reason with which a runner refuses calls with an outdated token.
_FENCED = "fence"

_END_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
    "broken": EndKind.BROKEN,
    "alone": EndKind.ALONE,
}


class _HoldAnswer(msgspec.Struct, rename="kebab"):
    """The answer to the call `hold`, which renews the lease and lists the runs."""

    clock_ms: int
    # Rows of task, run, checkpoint and percent.
    running: list[list] = []
    # Rows of number, task, run, kind of end and checkpoint.
    ended: list[list] = []
    # When the runner started, in Unix milliseconds; it identifies the target's incarnation.
    born: int = 0


class _RefusalBody(msgspec.Struct):
    reason: str = ""


class HttpRunner(Runner):
    """Calls the runner over HTTP."""

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address, _CONNECTIONS)

    def renew_lease(
        self,
        token: Token,
        target: TargetId,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> RunListing:
        fields = {"fence-token": token, "ack-cursor": acknowledged, "wait-ms": wait_ms}
        if deadline_ms is not None:
            fields["deadline-ms"] = deadline_ms
        status, body = self._post("hold", target, fields, LISTING_SLACK_S + wait_ms / 1000)
        if status != 200:
            raise _refusal("a lease renewal", status, body)
        answer = msgspec.json.decode(body, type=_HoldAnswer)
        return RunListing(
            answer.clock_ms,
            Incarnation(answer.born),
            tuple(RunningRow(row[0], row[1], row[2], row[3]) for row in answer.running),
            tuple(
                EndedRow(row[0], row[1], row[2], _END_KINDS.get(row[3], EndKind.FAILED), row[4])
                for row in answer.ended
            ),
        )

    def start(self, token: Token, target: TargetId, order: StartOrder, deadline_ms: int) -> None:
        fields: dict[str, object] = {
            "task": order.task,
            "run-id": order.run,
            "task-spec": order.payload,
            "deadline-ms": deadline_ms,
            "fence-token": token,
        }
        if order.checkpoint:
            fields["checkpoint"] = order.checkpoint
        status, body = self._post("run-start", target, fields, CALL_TIMEOUT_S)
        if status != 200:
            raise _refusal("a start", status, body)

    def stop(self, token: Token, target: TargetId, order: StopOrder) -> None:
        fields = {"task": order.task, "run-id": order.run, "fence-token": token}
        status, body = self._post("run-stop", target, fields, CALL_TIMEOUT_S)
        if status != 200:
            raise _refusal("a stop", status, body)

    def _post(
        self, call: str, target: TargetId, fields: dict, timeout_s: float
    ) -> tuple[int, bytes]:
        headers = JSON_HEADERS | {"Target-Instance": target}
        answer = self._client.call(
            "POST", f"/v1/{call}", timeout_s, msgspec.json.encode(fields), headers
        )
        return answer.status, answer.body

    def close(self) -> None:
        self._client.close()


def _refusal(call: str, status: int, body: bytes) -> RefusedError:
    """The error for an answer that is not 200."""
    reason = _decode_reason(body) or str(status)
    error = RefusedError
    if status == _OTHER_INSTANCE:
        error = OtherTargetError
    elif reason == _FENCED:
        error = FencedRunnerError
    return error(f"the runner answered {status} to {call}", reason)


def _decode_reason(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=_RefusalBody).reason
    except msgspec.DecodeError:
        return ""
