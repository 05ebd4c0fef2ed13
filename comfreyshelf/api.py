"""The HTTP interface of an entry for callers and operators."""

import hashlib
import time
import uuid
from collections.abc import Callable
from typing import TypeVar

import cherrypy
import msgspec
from expression import Error, Ok, Result

from comfreyshelf.auth import bearer_key, find_caller, find_operator
from comfreyshelf.config import Caller, Config, parse_config
from comfreyshelf.errors import Refusal, may_have_run, not_run
from comfreyshelf.ids import DomainId, JobId, RequestId, ServiceId, Version
from comfreyshelf.journal import Appender, AppendResult, LedgerReader
from comfreyshelf.ledger import JobEntry
from comfreyshelf.membership import Roster
from comfreyshelf.metrics import Metrics
from comfreyshelf.model import MAX_PARTS, MAX_PAYLOAD_BYTES, Job, JobState, Shape, Urgency
from comfreyshelf.reasons import RefusalReason
from comfreyshelf.records import AnyBody, ConfigPublished, JobAccepted, JobsCancelled
from comfreyshelf.router import Router

APPEND_TIMEOUT_S = 5.0
MAX_WAIT_S = 60.0
MAX_TEXT_BYTES = 512 * 1024

T = TypeVar("T")

_STATUS = {
    RefusalReason.MALFORMED: 400,
    RefusalReason.INVALID_TEXT: 422,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.UNAUTHORISED: 401,
    RefusalReason.FORBIDDEN: 403,
    RefusalReason.UNKNOWN: 404,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.KEY_CONFLICT: 409,
    RefusalReason.STALE_VERSION: 409,
    RefusalReason.NEVER_FITS: 422,
    RefusalReason.FAILS_EVERYWHERE: 422,
    RefusalReason.QUEUE_FULL: 429,
    RefusalReason.RATE_LIMIT: 429,
    RefusalReason.SHED: 429,
    RefusalReason.MAY_HAVE_RUN: 504,
    RefusalReason.DEADLINE_PASSED: 504,
}


class JobRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a job submission; `deadline_s` is in seconds from now, 0 for none."""

    key: str
    service: str
    kind: str
    shape: Shape
    declared_s: float = 60.0
    urgency: Urgency = Urgency.NORMAL
    deadline_s: float = 0.0
    idempotent: bool = True
    preemptible: bool = True
    payload: str = ""


class JobView(msgspec.Struct):
    """A job as its organisation sees it."""

    id: JobId
    key: str
    state: JobState
    domain: DomainId
    attempt: int
    reason: RefusalReason | None = None
    digest: str = ""
    length: int = 0


class CancelRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a batch of cancellations."""

    jobs: list[JobId]


class PublishRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a publication; `base` is the version that the text was edited from."""

    base: Version
    text: str


def view_of(entry: JobEntry) -> JobView:
    """Build the public view of a job."""
    return JobView(
        entry.job.id,
        entry.job.key,
        entry.state,
        entry.domain,
        entry.attempt,
        entry.reason,
        entry.digest,
        len(entry.result),
    )


class Front:
    """What the resources share: answers, authentication, and appends with a verdict."""

    def __init__(
        self,
        name: str,
        reader: LedgerReader,
        appender: Appender,
        roster: Roster,
        router: Router,
        metrics: Metrics,
    ) -> None:
        self.name = name
        self.reader = reader
        self.appender = appender
        self.roster = roster
        self.router = router
        self.metrics = metrics
        self.stopping = False

    @property
    def config(self) -> Config:
        """The configuration in force here."""
        return self.reader.ledger.config

    def answer(self, work: Callable[[], Result[T, Refusal]], ok: int = 200) -> bytes:
        """Run `work` and render its result or refusal as JSON."""
        response = cherrypy.response
        response.headers["Content-Type"] = "application/json"
        result = work()
        if result.is_ok():
            response.status = ok
            return msgspec.json.encode(result.ok)
        return self._refuse(result.error)

    def _refuse(self, refusal: Refusal) -> bytes:
        self.metrics.refused(refusal.reason)
        response = cherrypy.response
        response.status = _STATUS.get(refusal.reason, 503)
        if refusal.retry_after_s:
            response.headers["Retry-After"] = str(refusal.retry_after_s)
        if refusal.reason is RefusalReason.UNAUTHORISED:
            response.headers["WWW-Authenticate"] = "Bearer"
        return msgspec.json.encode(refusal)

    def body(self, kind: type[T], limit: int = MAX_PAYLOAD_BYTES * 2) -> Result[T, Refusal]:
        """Read and decode the JSON body of the request."""
        req = cherrypy.request
        length = int(req.headers.get("Content-Length") or 0)
        if length > limit:
            return Error(
                not_run(RefusalReason.TOO_LARGE, f"the body exceeds {limit} bytes", "shorten it")
            )
        try:
            return Ok(msgspec.json.decode(req.body.read(limit), type=kind))
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            return Error(
                not_run(RefusalReason.MALFORMED, f"malformed body: {exc}", "correct the body")
            )

    def caller(self) -> Result[Caller, Refusal]:
        """The caller whose key the request carries."""
        caller = find_caller(self.config, bearer_key(cherrypy.request.headers.get("Authorization")))
        return Ok(caller) if caller else Error(_unauthorised("caller"))

    def append(self, body: AnyBody) -> Result[AppendResult, Refusal]:
        """Append a record and wait for its verdict."""
        if not self.reader.log_up:
            return Error(_log_down())
        outcome = self.appender.submit(body, APPEND_TIMEOUT_S).result()
        if outcome.verdict is None and not outcome.tried:
            return Error(_log_down())
        if outcome.verdict is None:
            return Error(
                may_have_run(
                    RefusalReason.MAY_HAVE_RUN,
                    "the log did not confirm the record in time",
                    "submit again with the same key, or look the key up",
                )
            )
        return Ok(outcome)


def _log_down() -> Refusal:
    return not_run(
        RefusalReason.LOG_DOWN, "the platform's log is unavailable", "try again later", 5
    )


def _unauthorised(who: str) -> Refusal:
    return not_run(
        RefusalReason.UNAUTHORISED,
        f"no {who} has this key",
        "send 'Authorization: Bearer KEY' with a key from the configuration",
    )


def _unknown_job() -> Refusal:
    return not_run(RefusalReason.UNKNOWN, "no such job", "check the id or the key")


@cherrypy.popargs("job")
class Jobs:
    """`/v1/jobs`: submit; `/v1/jobs/ID`: look up, wait and cancel; `/v1/jobs/ID/result`."""

    def __init__(self, front: Front) -> None:
        self._front = front

    @cherrypy.expose
    def index(self, job: str = "", wait_s: str = "0", key: str = "") -> bytes:
        """Dispatch on method."""
        method = cherrypy.request.method
        if method == "POST" and not job:
            return self._front.answer(self._submit, 202)
        if method == "GET" and (job or key):
            return self._front.answer(lambda: self._look_up(JobId(job), key, wait_s))
        if method == "DELETE" and job:
            return self._front.answer(lambda: self.cancel([JobId(job)]))
        raise cherrypy.HTTPError(405)

    @cherrypy.expose
    def result(self, job: str) -> bytes:
        """The whole result of a finished job as bytes, with its digest in `Digest`."""
        found = self._find(JobId(job), "")
        if found.is_error():
            return self._front.answer(lambda: found)
        entry = found.ok
        if entry.state is not JobState.FINISHED:
            refusal = not_run(
                RefusalReason.UNKNOWN, "the job has no result", "wait until it is finished", 1
            )
            return self._front.answer(lambda: Error(refusal))
        cherrypy.response.headers["Content-Type"] = "application/octet-stream"
        cherrypy.response.headers["Digest"] = f"sha-256={entry.digest}"
        return entry.result

    def cancel(self, jobs: list[JobId]) -> Result[list[JobView], Refusal]:
        """Cancel jobs of the caller's organisation with one record."""
        caller = self._front.caller()
        if caller.is_error():
            return Error(caller.error)
        body = JobsCancelled(tuple(jobs), caller.ok.organisation, caller.ok.id)
        outcome = self._front.append(body)
        if outcome.is_error():
            return Error(outcome.error)
        with self._front.reader.lock:
            known = self._front.reader.ledger.state.jobs
            return Ok(
                [
                    view_of(known[job])
                    for job in jobs
                    if job in known and known[job].job.organisation == caller.ok.organisation
                ]
            )

    def _submit(self) -> Result[JobView, Refusal]:
        caller = self._front.caller()
        if caller.is_error():
            return Error(caller.error)
        request = self._front.body(JobRequest)
        if request.is_error():
            return Error(request.error)
        refusal = self._check(request.ok)
        if refusal is not None:
            return Error(refusal)
        return self._accept(caller.ok, request.ok)

    def _check(self, request: JobRequest) -> Refusal | None:
        shape = request.shape
        config = self._front.config
        if not request.key or len(request.key) > 200 or request.declared_s <= 0:
            return not_run(
                RefusalReason.MALFORMED,
                "'key' or 'declared_s' is not valid",
                "give a key of 1 to 200 characters and a positive run time",
            )
        if ServiceId(request.service) not in config.services:
            return not_run(
                RefusalReason.UNKNOWN_SERVICE,
                f"service '{request.service}' is unknown",
                f"use one of: {', '.join(config.services)}",
            )
        if not (1 <= shape.parts <= MAX_PARTS and 1 <= shape.accelerators <= 64):
            return not_run(
                RefusalReason.NEVER_FITS,
                "the shape can never fit",
                f"use 1 to {MAX_PARTS} parts of 1 to 64 accelerators",
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
            request.shape,
            request.declared_s,
            request.urgency,
            now + request.deadline_s if request.deadline_s else 0.0,
            request.idempotent,
            request.preemptible,
            request.payload.encode(),
            now,
        )
        known = self._known(job)
        if known is not None:
            return known
        outcome = self._front.append(JobAccepted(job, self._choose_domain(job)))
        if outcome.is_error():
            return Error(outcome.error)
        self._front.metrics.count("jobs_accepted")
        return self._known(job) or Error(_unknown_job())

    def _known(self, job: Job) -> Result[JobView, Refusal] | None:
        with self._front.reader.lock:
            ledger = self._front.reader.ledger
            known = ledger.job_by_key(job.organisation, job.caller, job.key)
            if known is None:
                return None
            entry = ledger.state.jobs[known]
        same = (entry.job.shape, entry.job.payload, entry.job.kind) == (
            job.shape,
            job.payload,
            job.kind,
        )
        if not same:
            return Error(
                not_run(
                    RefusalReason.KEY_CONFLICT,
                    f"key '{job.key}' names another job",
                    "use a new key for a different job",
                )
            )
        return Ok(view_of(entry))

    def _choose_domain(self, job: Job) -> DomainId:
        domains = self._front.config.domains
        free: dict[DomainId, int] = dict.fromkeys(domains, 0)
        for view in self._front.roster.views():
            zone = self._front.config.zones.get(view.worker.zone)
            if zone is not None:
                free[zone.domain] += view.worker.accelerators
        return max(domains, key=lambda domain: free[domain])

    def _find(self, job: JobId, key: str) -> Result[JobEntry, Refusal]:
        caller = self._front.caller()
        if caller.is_error():
            return Error(caller.error)
        with self._front.reader.lock:
            ledger = self._front.reader.ledger
            if key:
                job = ledger.job_by_key(caller.ok.organisation, caller.ok.id, key) or job
            entry = ledger.state.jobs.get(job)
        if entry is None or entry.job.organisation != caller.ok.organisation:
            return Error(_unknown_job())
        return Ok(entry)

    def _look_up(self, job: JobId, key: str, wait_s: str) -> Result[JobView, Refusal]:
        found = self._find(job, key)
        if found.is_error():
            return Error(found.error)
        entry = found.ok
        try:
            seconds = min(float(wait_s), MAX_WAIT_S)
        except ValueError:
            return Error(
                not_run(RefusalReason.MALFORMED, "'wait_s' is not a number", "give seconds")
            )
        until = time.monotonic() + seconds
        while not entry.state.final and time.monotonic() < until and not self._front.stopping:
            self._front.reader.wait_until(lambda _: entry.state.final, 0.5)
        return Ok(view_of(entry))


class Cancellations:
    """`/v1/cancellations`: cancel a batch of jobs."""

    def __init__(self, front: Front, jobs: Jobs) -> None:
        self._front = front
        self._jobs = jobs

    @cherrypy.expose
    def index(self) -> bytes:
        """Cancel the jobs that the body lists."""

        def work() -> Result[list[JobView], Refusal]:
            request = self._front.body(CancelRequest)
            if request.is_error():
                return Error(request.error)
            return self._jobs.cancel(request.ok.jobs)

        return self._front.answer(work)


class Services:
    """`/v1/services/NAME/requests`: send a short request to a runner."""

    def __init__(self, front: Front) -> None:
        self._front = front

    def _cp_dispatch(self, vpath: list[str]) -> "Services | None":
        if len(vpath) == 2 and vpath[1] == "requests":
            cherrypy.request.params["service"] = vpath.pop(0)
            vpath.pop(0)
            return self
        return None

    @cherrypy.expose
    def index(self, service: str = "") -> bytes:
        """Send the body to a runner and answer with the runner's bytes."""
        headers = cherrypy.request.headers
        idempotent = headers.get("Idempotent", "yes").lower() != "no"
        result = self._call(ServiceId(service), idempotent)
        if result.is_error():
            return self._front.answer(lambda: result)
        cherrypy.response.headers["Content-Type"] = "application/octet-stream"
        digest = hashlib.sha256(result.ok).hexdigest()
        cherrypy.response.headers["Digest"] = f"sha-256={digest}"
        return result.ok

    def _call(self, service: ServiceId, idempotent: bool) -> Result[bytes, Refusal]:
        caller = self._front.caller()
        if caller.is_error():
            return Error(caller.error)
        known = self._front.config.services.get(service)
        if known is None:
            return Error(
                not_run(RefusalReason.UNKNOWN_SERVICE, "no such service", "check the name")
            )
        body = cherrypy.request.body.read(MAX_PAYLOAD_BYTES)
        request = RequestId(uuid.uuid4().hex)
        started = time.monotonic()
        result = self._front.router.call(
            self._front.config, service, request, body, known.timeout_s, idempotent
        )
        self._front.metrics.record_latency("request", time.monotonic() - started)
        return result


class Configuration:
    """`/v1/config`: read what is in force and publish; `/v1/config/history`."""

    def __init__(self, front: Front) -> None:
        self._front = front

    @cherrypy.expose
    def index(self) -> bytes:
        """Dispatch on method."""
        if cherrypy.request.method == "POST":
            return self._front.answer(self._publish)
        return self._front.answer(self._show)

    @cherrypy.expose
    def history(self) -> bytes:
        """The newest accepted texts, oldest first."""

        def work() -> Result[object, Refusal]:
            refusal = self._operator_refusal(self._front.config)
            if refusal is not None:
                return Error(refusal)
            return Ok(self._front.reader.ledger.state.history)

        return self._front.answer(work)

    def _operator_refusal(self, config: Config) -> Refusal | None:
        key = bearer_key(cherrypy.request.headers.get("Authorization"))
        return None if find_operator(config, key) else _unauthorised("operator")

    def _show(self) -> Result[object, Refusal]:
        refusal = self._operator_refusal(self._front.config)
        if refusal is not None:
            return Error(refusal)
        state = self._front.reader.ledger.state
        targets = {view.worker.target: view.version for view in self._front.roster.views()}
        return Ok(
            {
                "version": self._front.config.version,
                "text": state.config.text if state.config else "",
                "operator": state.config.operator if state.config else "",
                "entry": self._front.name,
                "targets": targets,
            }
        )

    def _publish(self) -> Result[object, Refusal]:
        request = self._front.body(PublishRequest, MAX_TEXT_BYTES)
        if request.is_error():
            return Error(request.error)
        version = Version(request.ok.base + 1)
        parsed = parse_config(request.ok.text, version)
        if parsed.is_error():
            problems = "\n".join(str(problem) for problem in parsed.error)
            return Error(not_run(RefusalReason.INVALID_TEXT, problems, "correct these lines"))
        # Before the first publication no operator is known, so the text vouches for its own.
        authority = self._front.config if self._front.config.version else parsed.ok
        refusal = self._operator_refusal(authority)
        if refusal is not None:
            return Error(refusal)
        key = bearer_key(cherrypy.request.headers.get("Authorization"))
        operator = find_operator(authority, key)
        assert operator is not None
        outcome = self._front.append(
            ConfigPublished(version, request.ok.base, request.ok.text, operator.id)
        )
        if outcome.is_error():
            return Error(outcome.error)
        verdict = outcome.ok.verdict
        assert verdict is not None
        if not verdict.accepted:
            return Error(
                not_run(
                    RefusalReason.STALE_VERSION,
                    f"version {version} was not accepted: {verdict.reason}",
                    "read the version in force, apply your change to it, and publish again",
                )
            )
        return Ok({"version": version})


class Targets:
    """`/v1/targets`: targets and what still holds those that are leaving."""

    def __init__(self, front: Front) -> None:
        self._front = front

    @cherrypy.expose
    def index(self) -> bytes:
        """List all targets."""
        return self._front.answer(self._list)

    def _list(self) -> Result[object, Refusal]:
        key = bearer_key(cherrypy.request.headers.get("Authorization"))
        if find_operator(self._front.config, key) is None:
            return Error(_unauthorised("operator"))
        scrapped = self._front.config.scrapped
        return Ok(
            [
                {
                    "target": view.worker.target,
                    "zone": view.worker.zone,
                    "rack": view.worker.rack,
                    "version": view.version,
                    "scrap": view.worker.target in scrapped,
                    "draining": view.draining,
                    "empty": view.draining and view.idle,
                    "held_by": sorted({part.job for part in view.parts}),
                    "requests": sum(load.running for load in view.runners),
                }
                for view in self._front.roster.views()
            ]
        )


class V1:
    """`/v1`."""

    def __init__(self, front: Front) -> None:
        self.jobs = Jobs(front)
        self.cancellations = Cancellations(front, self.jobs)
        self.services = Services(front)
        self.config = Configuration(front)
        self.targets = Targets(front)


class Root:
    """`/`: health, metrics and the interface under `/v1`."""

    def __init__(self, front: Front) -> None:
        self._front = front
        self.v1 = V1(front)

    @cherrypy.expose
    def health(self) -> bytes:
        """200 while this entry takes work, 503 otherwise, for the balancer."""
        ready = self._front.reader.caught_up.is_set() and not self._front.stopping
        cherrypy.response.status = 200 if ready else 503
        return b"ready\n" if ready else b"not ready\n"

    @cherrypy.expose
    def metrics(self) -> bytes:
        """All metrics in the Prometheus text format."""
        cherrypy.response.headers["Content-Type"] = "text/plain; version=0.0.4"
        return self._front.metrics.render().encode()
