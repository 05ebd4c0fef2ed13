"""Asks an entry of the fleet where a job would go."""

from typing import TypeVar

import msgspec
import urllib3

from comfreyshelf.client import RefusedError, UnreachableError
from comfreyshelf.errors import UserError, not_run
from comfreyshelf.fleet.dry_run_answer import DryRunAnswer
from comfreyshelf.fleet.where_protocol import (
    ANSWER_TIMEOUT_S,
    HOST_HEADER,
    KEY_HEADER,
    NOT_OWNER_STATUS,
    PATH_HEADER,
    RETRY_AFTER_S,
    TEMPORARY_STATUSES,
    WHERE_PATH,
    QuestionRefusal,
)
from comfreyshelf.reasons import RefusalReason

T = TypeVar("T")

CONNECT_TIMEOUT_S = 2.0
# Added to the time within which the owner answers, for the links and a busy entry.
READ_SLACK_S = 3.0
_REASONS = {
    400: RefusalReason.MALFORMED,
    401: RefusalReason.UNAUTHORISED,
    404: RefusalReason.UNKNOWN,
    413: RefusalReason.TOO_LARGE,
    429: RefusalReason.RATE_LIMIT,
    503: RefusalReason.DEPENDENCY_DOWN,
    504: RefusalReason.DEADLINE_PASSED,
}


class QuestionFormatError(UserError):
    """The host, path or key cannot be sent in a header."""


class AnswerError(UserError):
    """An entry's answer cannot be decoded."""


class JobQuestion(msgspec.Struct, frozen=True):
    """A job's body, and the host, path and API key with which it would be submitted."""

    body: bytes
    host: str
    path: str
    key: str


class Located(msgspec.Struct, frozen=True):
    """An answer and the control address of the owner that gave it."""

    owner: str
    answer: DryRunAnswer


def ask_where(address: str, question: JobQuestion) -> Located:
    """Ask an entry, and once the owner that it names.

    Raises QuestionFormatError, UnreachableError, RefusedError or AnswerError.
    """
    status, body = _post(address, question)
    if status == NOT_OWNER_STATUS:
        owner = _decode(address, body, QuestionRefusal).owner
        if not owner:
            raise _refused(address, status, body)
        address = owner
        status, body = _post(address, question)
    if status != 200:
        raise _refused(address, status, body)
    return Located(address, _decode(address, body, DryRunAnswer))


def _post(address: str, question: JobQuestion) -> tuple[int, bytes]:
    headers = {
        HOST_HEADER: question.host,
        PATH_HEADER: question.path,
        KEY_HEADER: question.key,
        "Content-Type": "application/json",
    }
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=ANSWER_TIMEOUT_S + READ_SLACK_S)
    try:
        with urllib3.PoolManager(retries=False, timeout=timeout) as http:
            response = http.request(
                "POST", f"http://{address}{WHERE_PATH}", body=question.body, headers=headers
            )
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        raise UnreachableError(
            f"no answer from the entry at {address}: {exc}",
            "give the control address of a running entry of the fleet",
        ) from exc
    except ValueError as exc:
        raise QuestionFormatError(
            f"the host, path or key cannot be sent: {exc}", "give them without special characters"
        ) from exc
    return response.status, response.data


def _refused(address: str, status: int, body: bytes) -> RefusedError:
    refusal = _decode(address, body, QuestionRefusal)
    retry_after_s = RETRY_AFTER_S if status in TEMPORARY_STATUSES else 0
    reason = _REASONS.get(status, RefusalReason.INTERNAL)
    message = f"{refusal.message} (answer of {address})"
    return RefusedError(not_run(reason, message, refusal.remedy, retry_after_s), status)


def _decode(address: str, body: bytes, body_type: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=body_type)
    except msgspec.DecodeError as exc:
        raise AnswerError(
            f"the answer of {address} cannot be decoded: {exc}",
            "give the control address of an entry of the same version as this command",
        ) from exc
