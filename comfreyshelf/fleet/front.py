"""HTTP API for callers: job submission, state queries and cancellation."""

import re
import time
from collections.abc import Callable

from comfreyshelf.errors import UserError
from comfreyshelf.fleet.codec import Codec
from comfreyshelf.fleet.job_table import JobTable, StoredJob, cancel_record, job_record
from comfreyshelf.fleet.jobs import FleetConfig, Queue
from comfreyshelf.fleet.store import KeyedRecord, StoreBusyError, StoreSilentError
from comfreyshelf.fleet.web import Call, Reply
from comfreyshelf.fleet.write_attempts import WriteAttemptTable
from comfreyshelf.ids import JobId, OrganisationId
from comfreyshelf.logs import log_event
from comfreyshelf.metrics import Metrics

RETRY_AFTER_S = 1
# Callers are asked to wait longer while the store is unreachable on every route.
OUTAGE_RETRY_AFTER_S = 2
DEFAULT_DEADLINE_S = 3.0
# An append that got no answer is retried up to this limit or this share of the caller's deadline,
# whichever is shorter; its records may be stored twice.
APPEND_LIMIT_S = 2.2
APPEND_SHARE = 0.45
APPEND_PAUSE_S = 0.1
_JOB_ID = re.compile(r"^[0-9a-fA-F]{16}$")
DEFAULT_MAX_BODY = 262_144


class Front:
    """Handles callers' requests; `append` stores records and applies them to the job book."""

    def __init__(
        self,
        codec: Codec,
        book: JobTable,
        config: Callable[[], FleetConfig | None],
        append: Callable[[list[KeyedRecord]], None],
        catch_up: Callable[[], None],
        reachable: Callable[[], bool],
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
        pause: Callable[[float], None] = time.sleep,
    ) -> None:
        self._codec = codec
        self._book = book
        self._config = config
        self._append = append
        self._catch_up = catch_up
        self._reachable = reachable
        self._metrics = metrics
        self._clock = clock
        self._pause = pause
        self._attempts = WriteAttemptTable()

    def max_body(self) -> int:
        """Return the largest accepted body in bytes."""
        config = self._config()
        return config.max_body_bytes if config else DEFAULT_MAX_BODY

    def handle(self, call: Call) -> Reply:
        """Answer one request."""
        began = time.monotonic()
        reply = self._answer(call)
        self._metrics.record_latency(f"request_{call.method.lower()}", time.monotonic() - began)
        return reply

    def _answer(self, call: Call) -> Reply:
        config = self._config()
        if config is None:
            return self._refuse(call, 503, "no configuration yet")
        host = call.headers.get("HTTP_HOST", "").partition(":")[0]
        queue = config.queue_for_path(host, call.path)
        if queue is None:
            return self._refuse(call, 404, f"no queue, version {config.version}")
        organisation = config.organisation_by_key(call.headers.get(self._codec.api_key_header, ""))
        if organisation is None and not queue.open:
            return self._refuse(call, 401, f"unknown key, version {config.version}")
        name = call.path[len(queue.prefix) :]
        if not name and call.method == "GET":
            return Reply(200, self._codec.encode_waiting(self._book.count_waiting(queue.name)))
        if not _JOB_ID.match(name):
            return self._refuse(call, 404, "not a job id")
        job = JobId(name)
        try:
            match call.method:
                case "POST":
                    owner = organisation.id if organisation else OrganisationId("")
                    return self._submit(call, job, queue, owner)
                case "GET":
                    return self._state(call, job)
                case "DELETE":
                    return self._cancel(call, job)
        except StoreBusyError as exc:
            return self._refuse(call, 503, str(exc))
        except StoreSilentError as exc:
            return self._refuse(call, 504, str(exc))
        return self._refuse(call, 405, "method not supported")

    def _refuse(self, call: Call, status: int, why: str) -> Reply:
        self._metrics.count(f'refusals{{status="{status}"}}')
        log_event("refused", method=call.method, path=call.path, status=status, why=why)
        wait_s = RETRY_AFTER_S if self._reachable() else OUTAGE_RETRY_AFTER_S
        wait_s = wait_s if status == 503 else 0
        return Reply(status, self._codec.encode_refusal(wait_s), wait_s)

    def _deadline_s(self, call: Call) -> float:
        """Return how many seconds the caller waits for its answer."""
        header = call.headers.get(self._codec.deadline_header, "")
        return int(header) / 1000 if header.isdecimal() else DEFAULT_DEADLINE_S

    def _write(self, call: Call, record: KeyedRecord) -> None:
        """Store a record; StoreBusyError means that it is not stored and never will be."""
        deadline_s, began = self._deadline_s(call), self._clock()
        attempts = self._attempts.get_or_add(record.key, began, deadline_s)
        give_up_at = began + min(APPEND_LIMIT_S, APPEND_SHARE * deadline_s)
        unanswered: StoreSilentError | None = None
        if attempts.unanswered:
            unanswered = StoreSilentError("an earlier append got no answer", "ask again")
        while True:
            tried_at = self._clock()
            refused = StoreBusyError("the store cannot be reached", "try again later")
            if unanswered is not None or self._reachable():
                try:
                    self._append([record])
                    attempts.unanswered = False
                    return
                except StoreSilentError as exc:
                    attempts.unanswered = True
                    unanswered = exc
                except StoreBusyError as exc:
                    refused = exc
            now = self._clock()
            if unanswered is None and now >= attempts.wait_until:
                raise refused
            # Another attempt may take as long as this one did.
            if unanswered is not None and now + (now - tried_at) >= give_up_at:
                raise unanswered
            reason = "append_refused" if unanswered is None else "append_unanswered"
            self._metrics.count(f'retries{{reason="{reason}"}}')
            self._pause(APPEND_PAUSE_S)

    def _submit(self, call: Call, job: JobId, queue: Queue, organisation: OrganisationId) -> Reply:
        if self._book.get(job) is not None:
            log_event("accepted again", job=job)
            return Reply(200, b"{}")
        if call.too_large:
            return self._refuse(call, 413, "body too large")
        try:
            decoded = self._codec.decode_job(call.body, job, organisation, queue.name, time.time())
        except UserError as exc:
            return self._refuse(call, 400, str(exc))
        self._write(call, job_record(decoded))
        self._metrics.count("accepted")
        log_event(
            "accepted",
            job=job,
            queue=queue.name,
            organisation=organisation,
            tasks=sum(step.count for step in decoded.steps),
        )
        return Reply(200, b"{}")

    def _known(self, job: JobId) -> StoredJob | None:
        """Look up a job; an unknown one is looked up again after reading the newest records."""
        entry = self._book.get(job)
        if entry is None:
            self._catch_up()
            entry = self._book.get(job)
        return entry

    def _state(self, call: Call, job: JobId) -> Reply:
        entry = self._known(job)
        if entry is None:
            return self._refuse(call, 410, "no such job")
        return Reply(200, self._codec.encode_phase(entry.phase))

    def _cancel(self, call: Call, job: JobId) -> Reply:
        entry = self._known(job)
        if entry is None:
            return self._refuse(call, 410, "no such job")
        if not entry.phase.is_final:
            self._write(call, cancel_record(job, time.time()))
            log_event("cancelled", job=job)
        return Reply(200, b"{}")
