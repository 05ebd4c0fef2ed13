"""Answers the question where a job would go, at the control address of an entry."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import CancelledError
from concurrent.futures import TimeoutError as FutureTimeoutError

import msgspec

from comfreyshelf.errors import UserError
from comfreyshelf.fleet.codec import Codec
from comfreyshelf.fleet.dry_run_answer import DryRunAnswer
from comfreyshelf.fleet.dry_run_question import (
    DryRunFailedError,
    DryRunQuestion,
    NotOwnerError,
    OwnerBusyError,
)
from comfreyshelf.fleet.jobs import FleetConfig, Job
from comfreyshelf.fleet.leader_election import control_address
from comfreyshelf.fleet.web import Call, Reply
from comfreyshelf.fleet.where_protocol import (
    ANSWER_TIMEOUT_S,
    HOST_HEADER,
    KEY_HEADER,
    NOT_OWNER_STATUS,
    PATH_HEADER,
    RETRY_AFTER_S,
    TEMPORARY_STATUSES,
    QuestionRefusal,
)
from comfreyshelf.ids import JobId, OrganisationId
from comfreyshelf.metrics import Metrics

# Not the id of any job, as those are hexadecimal.
ASKED_JOB = JobId("where")


class QuestionError(UserError):
    """A question is refused with an HTTP status."""

    def __init__(self, status: int, message: str, remedy: str, owner: str = "") -> None:
        super().__init__(message, remedy)
        self.status = status
        self.owner = owner


class WhereApi:
    """Decodes a question as a caller's job, and passes it to the owner's task of this entry.

    `ask_owner` sends the question; `get_leader` returns the name of the member that leads the owner
    group, empty if none is known. One question is answered at a time.
    """

    def __init__(
        self,
        codec: Codec,
        get_config: Callable[[], FleetConfig | None],
        ask_owner: Callable[[DryRunQuestion], None],
        get_leader: Callable[[], str],
        own_address: str,
        metrics: Metrics,
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> None:
        self._codec = codec
        self._get_config = get_config
        self._ask_owner = ask_owner
        self._get_leader = get_leader
        self._own_address = own_address
        self._metrics = metrics
        self._timeout_s = timeout_s
        self._busy = threading.Lock()

    def handle(self, call: Call) -> Reply:
        """Answer one question, or refuse it with a QuestionRefusal as the body."""
        try:
            reply = Reply(200, msgspec.json.encode(self._answer(call)))
        except QuestionError as exc:
            refusal = QuestionRefusal(exc.message, exc.remedy, exc.owner)
            retry_after_s = RETRY_AFTER_S if exc.status in TEMPORARY_STATUSES else 0
            reply = Reply(exc.status, msgspec.json.encode(refusal), retry_after_s)
        self._metrics.count(f'where_questions{{status="{reply.status}"}}')
        return reply

    def _answer(self, call: Call) -> DryRunAnswer:
        if call.method != "POST":
            raise QuestionError(405, f"{call.method} is not supported", "send a POST request")
        question = DryRunQuestion(self._decode(call))
        if not self._busy.acquire(blocking=False):
            raise QuestionError(429, "another question is being answered", "ask again in a second")
        try:
            return self._ask(question)
        finally:
            self._busy.release()

    def _ask(self, question: DryRunQuestion) -> DryRunAnswer:
        self._ask_owner(question)
        try:
            return question.answer.result(self._timeout_s)
        except (FutureTimeoutError, CancelledError) as exc:
            question.answer.cancel()
            raise QuestionError(
                504,
                f"the owner's task did not answer within {self._timeout_s:g} s",
                "ask again, and see planning times in the metrics if that repeats",
            ) from exc
        except NotOwnerError as exc:
            raise self._not_owner() from exc
        except OwnerBusyError as exc:
            raise QuestionError(429, exc.message, exc.remedy) from exc
        except DryRunFailedError as exc:
            raise QuestionError(500, exc.message, exc.remedy) from exc
        except UserError as exc:
            raise QuestionError(400, exc.message, exc.remedy) from exc

    def _not_owner(self) -> QuestionError:
        leader = self._get_leader()
        owner = control_address(leader)
        if not leader or owner == self._own_address:
            return QuestionError(
                503,
                "no entry owns the schedule, as far as this one knows",
                "ask again in a few seconds, when an entry has taken over",
            )
        if not owner:
            return QuestionError(
                503,
                f"{leader} owns the schedule, but its control address is unknown",
                "ask at the control address of that entry",
            )
        return QuestionError(
            NOT_OWNER_STATUS, f"{owner} owns the schedule", f"ask at {owner}", owner
        )

    def _decode(self, call: Call) -> Job:
        """The job, with its queue and organisation as at the front address."""
        config = self._get_config()
        if config is None:
            raise QuestionError(503, "no configuration has been read yet", "ask again later")
        if call.too_large or len(call.body) > config.max_body_bytes:
            raise QuestionError(
                413, f"the body exceeds {config.max_body_bytes} bytes", "split the job"
            )
        host = _header(call, HOST_HEADER).partition(":")[0]
        path = _header(call, PATH_HEADER)
        queue = config.queue_for_path(host, path)
        if queue is None:
            raise QuestionError(
                404,
                f"no queue for host '{host}' and path '{path}' in configuration version "
                f"{config.version}",
                "give the host and path of a queue",
            )
        organisation = config.organisation_by_key(_header(call, KEY_HEADER))
        if organisation is None and not queue.open:
            raise QuestionError(
                401,
                f"the API key is unknown in configuration version {config.version}",
                "give the API key of an organisation",
            )
        name = organisation.id if organisation else OrganisationId("")
        try:
            return self._codec.decode_job(call.body, ASKED_JOB, name, queue.name, time.time())
        except UserError as exc:
            raise QuestionError(400, exc.message, exc.remedy) from exc


def _header(call: Call, name: str) -> str:
    return call.headers.get("HTTP_" + name.upper().replace("-", "_"), "")
