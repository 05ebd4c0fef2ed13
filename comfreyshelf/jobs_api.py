"""Jobs over HTTP: submit, look up, wait, read the result, cancel."""

import time
import uuid
from typing import Annotated

import cherrypy
import msgspec
from expression import Error, Ok, Result
from msgspec import Meta

from comfreyshelf.config import Caller
from comfreyshelf.domains import choose_domain, guaranteed_domains, list_candidates
from comfreyshelf.errors import Execution, LogUnavailableError, Refusal, may_have_run, not_run
from comfreyshelf.front import MAX_LONG_POLL_S, FrontEnd, log_unavailable, parse_seconds
from comfreyshelf.ids import DomainId, JobId, RegionId, ServiceId
from comfreyshelf.ledger import LedgerJob
from comfreyshelf.model import (
    MAX_PARTS,
    MAX_PAYLOAD_BYTES,
    Adjacency,
    Job,
    JobState,
    Shape,
    Urgency,
)
from comfreyshelf.reasons import RefusalReason
from comfreyshelf.records import JobAccepted, JobsCancelled

# JSON may escape one byte of the payload as six characters, for example '\u00e9'.
MAX_JOB_BODY_BYTES = MAX_PAYLOAD_BYTES * 6 + 8192
MAX_CANCEL_BODY_BYTES = 512 * 1024
MAX_JOBS_PER_CANCELLATION = 10_000
MAX_ACCELERATORS_PER_PART = 64
MAX_SECONDS = 366 * 86_400.0

NonEmptyText = Annotated[str, Meta(min_length=1, max_length=200)]
PositiveSeconds = Annotated[float, Meta(gt=0, le=MAX_SECONDS)]
NonNegativeSeconds = Annotated[float, Meta(ge=0, le=MAX_SECONDS)]
PositiveCount = Annotated[int, Meta(ge=1, le=1_000_000)]
NonNegativeCount = Annotated[int, Meta(ge=0, le=1_000_000)]
NO_ZONE_RETRY_AFTER_S = 10
# How long a request for an unknown job waits for the records that the log holds already.
CATCH_UP_TIMEOUT_S = 2.0


class ShapeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """The shape in a job submission; `cores` and `memory_gb` are per part."""

    parts: PositiveCount
    accelerators: PositiveCount
    adjacency: Adjacency = Adjacency.ZONE
    cores: NonNegativeCount = 1
    memory_gb: NonNegativeCount = 1

    def to_shape(self) -> Shape:
        """Convert to the shape of the scheduler."""
        return Shape(self.parts, self.accelerators, self.adjacency, self.cores, self.memory_gb)


class JobRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a job submission; `deadline_s` is in seconds from now, 0 for none."""

    key: NonEmptyText
    service: NonEmptyText
    kind: NonEmptyText
    shape: ShapeRequest
    declared_s: PositiveSeconds = 60.0
    urgency: Urgency = Urgency.NORMAL
    deadline_s: NonNegativeSeconds = 0.0
    idempotent: bool = True
    preemptible: bool = True
    payload: str = ""


class JobView(msgspec.Struct):
    """A job as its organisation sees it; `length` is the size of the result in bytes.

    `execution` tells whether a job that ended without a result may have run.
    """

    id: JobId
    key: str
    state: JobState
    domain: DomainId
    attempt: int
    reason: RefusalReason | None = None
    digest: str = ""
    length: int = 0
    execution: Execution | None = None


class CancelRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a batch of cancellations."""

    jobs: Annotated[list[NonEmptyText], Meta(min_length=1, max_length=MAX_JOBS_PER_CANCELLATION)]


def build_job_view(entry: LedgerJob) -> JobView:
    """Build the view of a job that callers see."""
    return JobView(
        entry.job.id,
        entry.job.key,
        entry.state,
        entry.domain,
        entry.attempt,
        entry.reason,
        entry.digest,
        len(entry.result),
        _execution_without_result(entry),
    )


def _execution_without_result(entry: LedgerJob) -> Execution | None:
    """Whether a job that ended without a result may have run, or None for other jobs.

    A job that was refused after an attempt, because it failed everywhere, did run.
    """
    if entry.state is JobState.MAY_HAVE_RUN:
        return Execution.MAY_HAVE_RUN
    if entry.state is not JobState.REFUSED:
        return None
    return Execution.MAY_HAVE_RUN if entry.attempt else Execution.NOT_RUN


@cherrypy.popargs("job")
class Jobs:
    """`/v1/jobs`: submit; `/v1/jobs/ID`: look up, wait and cancel; `/v1/jobs/ID/result`."""

    def __init__(self, front: FrontEnd) -> None:
        self._front = front

    @cherrypy.expose
    def index(self, job: str = "", wait_s: str = "0", key: str = "") -> bytes:
        """Dispatch on method."""
        method = cherrypy.request.method
        if method == "POST" and not job:
            return self._front.respond(self._front.with_admission("submit", self._submit), 202)
        if method in ("GET", "HEAD") and (job or key):
            return self._front.respond(lambda: self._look_up(JobId(job), key, wait_s))
        if method == "DELETE" and job:
            work = self._front.with_admission("cancel", lambda: self.cancel([JobId(job)]))
            return self._front.respond(work)
        if method in ("GET", "HEAD"):
            return self._front.refuse(
                not_run(
                    RefusalReason.MALFORMED,
                    "neither a job id nor a key is given",
                    "use /v1/jobs/ID or /v1/jobs?key=KEY",
                )
            )
        return self._front.refuse_method(*(("GET", "DELETE") if job else ("GET", "POST")))

    @cherrypy.expose
    def result(self, job: str = "") -> bytes:
        """The whole result of a finished job as bytes, with its SHA-256 in the `Digest` header."""
        if cherrypy.request.method not in ("GET", "HEAD"):
            return self._front.refuse_method("GET")
        found = self._find_job(JobId(job), "")
        if found.is_error():
            return self._front.refuse(found.error)
        entry = found.ok
        if entry.state is not JobState.FINISHED:
            return self._front.refuse(result_unavailable(entry))
        cherrypy.response.headers["Content-Type"] = "application/octet-stream"
        cherrypy.response.headers["Digest"] = f"sha-256={entry.digest}"
        return entry.result

    def cancel(self, jobs: list[JobId]) -> Result[list[JobView], Refusal]:
        """Cancel jobs of the caller's organisation with one record; other jobs are ignored."""
        caller = self._front.authenticate_caller()
        if caller.is_error():
            return Error(caller.error)
        own_jobs = self._find_all(jobs, caller.ok)
        if len(own_jobs) < len(jobs):
            if not self._catch_up():
                return Error(log_unavailable())
            own_jobs = self._find_all(jobs, caller.ok)
        if not own_jobs:
            return Error(unknown_job())
        open_jobs = tuple(entry.job.id for entry in own_jobs if not entry.state.is_final)
        if open_jobs:
            body = JobsCancelled(open_jobs, caller.ok.organisation, caller.ok.id)
            outcome = self._front.append(body)
            if outcome.is_error():
                return Error(outcome.error)
        with self._front.reader.lock:
            return Ok([build_job_view(entry) for entry in own_jobs])

    def _find_all(self, jobs: list[JobId], caller: Caller) -> list[LedgerJob]:
        entries = [self._find_in_organisation(job, caller) for job in jobs]
        return [entry for entry in entries if entry is not None]

    def _find_in_organisation(self, job: JobId, caller: Caller) -> LedgerJob | None:
        with self._front.reader.lock:
            entry = self._front.reader.ledger.state.jobs.get(job)
        if entry is None or entry.job.organisation != caller.organisation:
            return None
        return entry

    def _submit(self) -> Result[JobView, Refusal]:
        caller = self._front.authenticate_caller()
        if caller.is_error():
            return Error(caller.error)
        rate_refusal = self._front.apply_rate_limit(caller.ok)
        if rate_refusal is not None:
            return Error(rate_refusal)
        request = self._front.decode_body(JobRequest, MAX_JOB_BODY_BYTES)
        if request.is_error():
            return Error(request.error)
        refusal = self._validate(request.ok)
        if refusal is not None:
            return Error(refusal)
        return self._accept(caller.ok, request.ok)

    def _validate(self, request: JobRequest) -> Refusal | None:
        shape = request.shape
        config = self._front.config
        if ServiceId(request.service) not in config.services:
            return not_run(
                RefusalReason.UNKNOWN_SERVICE,
                f"service '{request.service}' is unknown",
                f"use one of: {', '.join(config.services)}",
            )
        if shape.parts > MAX_PARTS or shape.accelerators > MAX_ACCELERATORS_PER_PART:
            return not_run(
                RefusalReason.NEVER_FITS,
                f"{shape.parts} parts of {shape.accelerators} accelerators can never fit",
                f"use 1 to {MAX_PARTS} parts of 1 to {MAX_ACCELERATORS_PER_PART} accelerators",
            )
        if len(request.payload.encode()) > MAX_PAYLOAD_BYTES:
            return not_run(
                RefusalReason.TOO_LARGE,
                f"'payload' exceeds {MAX_PAYLOAD_BYTES} bytes",
                "store the data elsewhere and submit a reference to it",
            )
        return None

    def _accept(self, caller: Caller, request: JobRequest) -> Result[JobView, Refusal]:
        now = time.time()
        job = Job(
            JobId(uuid.uuid4().hex),
            caller.organisation,
            caller.id,
            request.key,
            ServiceId(request.service),
            request.kind,
            request.shape.to_shape(),
            request.declared_s,
            request.urgency,
            now + request.deadline_s if request.deadline_s else 0.0,
            request.idempotent,
            request.preemptible,
            request.payload.encode(),
            now,
        )
        known = self._find_by_key(job)
        if known is not None:
            return known
        queue_refusal = self._front.apply_queue_limit(caller)
        if queue_refusal is not None:
            return Error(queue_refusal)
        domain = self._choose_domain(job)
        if domain is None:
            return Error(
                not_run(
                    RefusalReason.NO_RUNNER,
                    "the configuration names no availability zone",
                    "submit again once an operator has published one",
                    NO_ZONE_RETRY_AFTER_S,
                )
            )
        outcome = self._front.append(JobAccepted(job, domain))
        if outcome.is_error():
            return Error(outcome.error)
        self._front.metrics.count("jobs_accepted")
        return self._find_by_key(job) or Error(unknown_job())

    def _find_by_key(self, job: Job) -> Result[JobView, Refusal] | None:
        with self._front.reader.lock:
            ledger = self._front.reader.ledger
            known = ledger.job_by_key(job.organisation, job.caller, job.key)
            if known is None:
                return None
            entry = ledger.state.jobs[known]
        is_same_job = (entry.job.shape, entry.job.payload, entry.job.kind) == (
            job.shape,
            job.payload,
            job.kind,
        )
        if not is_same_job:
            return Error(
                not_run(
                    RefusalReason.KEY_CONFLICT,
                    f"key '{job.key}' already belongs to a different job",
                    "use a new key for this job",
                )
            )
        return Ok(build_job_view(entry))

    def _choose_domain(self, job: Job) -> DomainId | None:
        config = self._front.config
        with self._front.reader.lock:
            domains = self._front.reader.ledger.state.domains
            summaries = {name: entry.summary for name, entry in domains.items()}
        guaranteed = guaranteed_domains(config, job.organisation, job.shape)
        candidates = list_candidates(config, summaries)
        own_zone = config.zones.get(self._front.zone)
        region = own_zone.region if own_zone is not None else RegionId("")
        return choose_domain(job.shape, guaranteed, region, candidates)

    def _find_job(self, job: JobId, key: str) -> Result[LedgerJob, Refusal]:
        caller = self._front.authenticate_caller()
        if caller.is_error():
            return Error(caller.error)
        entry = self._find_by_id_or_key(job, key, caller.ok)
        if entry is None:
            # Another entry may have accepted the job in a record that this one has not read yet.
            if not self._catch_up():
                return Error(log_unavailable())
            entry = self._find_by_id_or_key(job, key, caller.ok)
        return Ok(entry) if entry is not None else Error(unknown_job())

    def _find_by_id_or_key(self, job: JobId, key: str, caller: Caller) -> LedgerJob | None:
        if key:
            with self._front.reader.lock:
                ledger = self._front.reader.ledger
                job = ledger.job_by_key(caller.organisation, caller.id, key) or job
        return self._find_in_organisation(job, caller)

    def _catch_up(self) -> bool:
        """Apply the records that the log holds now; returns False if that is not possible."""
        try:
            return self._front.reader.catch_up(CATCH_UP_TIMEOUT_S)
        except LogUnavailableError:
            return False

    def _look_up(self, job: JobId, key: str, wait_s: str) -> Result[JobView, Refusal]:
        wait = parse_seconds(wait_s, "wait_s", MAX_LONG_POLL_S)
        if wait.is_error():
            return Error(wait.error)
        found = self._find_job(job, key)
        if found.is_error():
            return Error(found.error)
        entry = found.ok
        if wait.ok > 0 and not entry.state.is_final:
            with self._front.reserve_waiter() as may_wait:
                if may_wait:
                    self._wait_for_end(entry, time.monotonic() + wait.ok)
        return Ok(build_job_view(entry))

    def _wait_for_end(self, entry: LedgerJob, deadline: float) -> None:
        """Wait for the end of a job until `deadline`, in monotonic seconds.

        A stopping entry returns at once, so that the caller can wait at another entry.
        """
        front = self._front
        while not entry.state.is_final and not front.stopping:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                return
            front.reader.wait_until(lambda _: entry.state.is_final, min(remaining_s, 0.5))


class Cancellations:
    """`/v1/cancellations`: cancel a batch of jobs."""

    def __init__(self, front: FrontEnd, jobs: Jobs) -> None:
        self._front = front
        self._jobs = jobs

    @cherrypy.expose
    def index(self) -> bytes:
        """Cancel the jobs that the body lists."""
        if cherrypy.request.method != "POST":
            return self._front.refuse_method("POST")
        return self._front.respond(self._front.with_admission("cancel", self._cancel))

    def _cancel(self) -> Result[list[JobView], Refusal]:
        caller = self._front.authenticate_caller()
        if caller.is_error():
            return Error(caller.error)
        request = self._front.decode_body(CancelRequest, MAX_CANCEL_BODY_BYTES)
        if request.is_error():
            return Error(request.error)
        return self._jobs.cancel([JobId(job) for job in request.ok.jobs])


def result_unavailable(entry: LedgerJob) -> Refusal:
    """The refusal for a job that has no result, or none yet.

    Its `execution` is NOT_RUN only if no attempt of the job was recorded.
    """
    remedy = "submit it under a new key" if entry.state.is_final else "wait until it is finished"
    message = f"the job has no result: its state is {entry.state.value}"
    if entry.attempt or entry.state is JobState.MAY_HAVE_RUN:
        refusal = may_have_run(RefusalReason.UNKNOWN, message, remedy)
    else:
        refusal = not_run(RefusalReason.UNKNOWN, message, remedy)
    return msgspec.structs.replace(refusal, retry_after_s=0 if entry.state.is_final else 1)


def unknown_job() -> Refusal:
    """The refusal for an id or key that no job of the caller's organisation has."""
    return not_run(RefusalReason.UNKNOWN, "no such job", "check the id or the key")
