"""One simulation run: a deployment, its callers and operators, and the faults of a plan."""

import hashlib
from concurrent.futures import Future

from comfreyshelf.config import Caller
from comfreyshelf.errors import Execution
from comfreyshelf.ids import (
    CallerId,
    DomainId,
    JobId,
    OperatorId,
    OrganisationId,
    RequestId,
    ServiceId,
    TargetId,
    Version,
)
from comfreyshelf.journal import AppendResult
from comfreyshelf.ledger import LedgerJob
from comfreyshelf.model import Adjacency, Job, Shape
from comfreyshelf.records import AnyBody, ConfigPublished, JobAccepted, JobsCancelled
from comfreyshelf.requests_api import Answer, CheckedRequest
from features.history.events import (
    FaultActive,
    HistoryEvent,
    JobAnswered,
    JobLost,
    JobSubmitted,
    Published,
    RequestAnswered,
    RequestSent,
    ResultRead,
)
from features.history.fibers import Fiber
from features.history.plan import Fault, FaultKind, Plan
from features.history.world import (
    ARMED_FAULT_TIMEOUT_S,
    START_TIME_S,
    EntrySim,
    Process,
    TargetSim,
    World,
)

KEY_HASH = hashlib.sha256(b"operator").hexdigest()
CONFIG_TEXT = f"""[deployment]
name = histories
[region litoral]
[region platense]
[zone paysandu]
region = litoral
[zone salto]
region = litoral
[zone colonia]
region = platense
[service permit]
slots = 1
connections = 2
[organisation alpha]
guarantee = 1 x 8 @ worker in litoral
[organisation beta]
guarantee = 2 x 4 @ rack in litoral, 1 x 4 @ worker in platense
[organisation gamma]
[operator operations]
key_sha256 = {KEY_HASH}
"""
ENTRIES = {"e0": "paysandu", "e1": "salto", "e2": "colonia"}
TARGETS = {
    "t0": ("paysandu", "p1"),
    "t1": ("paysandu", "p1"),
    "t2": ("salto", "s1"),
    "t3": ("salto", "s1"),
    "t4": ("colonia", "c1"),
    "t5": ("colonia", "c2"),
}
SHAPES = (
    Shape(1, 8, Adjacency.WORKER),
    Shape(2, 8),
    Shape(2, 4, Adjacency.RACK),
    Shape(3, 2),
    Shape(1, 4),
    Shape(1, 2),
    Shape(1, 1),
)
JOB_COUNT = 36
BURST_COUNT = 6
REQUESTS_PER_BURST = 8
WORKLOAD_S = 30.0
SETTLE_LIMIT_S = 150.0
REPLACEMENT_DELAY_S = 2.0
REQUEST_TIMEOUT_S = 4.0
CALLER_GRACE_S = 2.0
# A takeover takes 3 s, waiting for statuses 2.5 s and finding a lost target 7 s.
RECOVERY_S = 14.0
HOUR_S = 3600.0
# Within this time a snapshot is appended: a quarter of the retention, and the turns of 3 entries.
SNAPSHOT_LIMIT_S = 20.0
# Faults during which the time limits of the promises still apply.
FAULTS_WITHOUT_GRACE = (FaultKind.OPERATORS_RACE, FaultKind.CANCEL_WAVE, FaultKind.BAD_WORKER)


class Example:
    """Runs one plan in `world`: creates the processes, the workload and the faults."""

    def __init__(self, world: World, plan: Plan) -> None:
        self.world = world
        self.rng = world.rng
        self._plan = plan
        self._open_jobs: dict[str, JobId] = {}
        self._scrapped_target = ""

    def run(self) -> list[HistoryEvent]:
        """Run the plan to its end and return the history, ordered by time."""
        world = self.world
        if any(fault.kind is FaultKind.LOG_DOWN_HOUR for fault in self._plan.faults):
            # Snapshots only bridge an outage of up to three quarters of the retention.
            world.log.retention_s = 2 * HOUR_S
        for name, zone in ENTRIES.items():
            EntrySim(world, name, zone)
        for name, (zone, rack) in TARGETS.items():
            TargetSim(world, name, zone, rack, tuple(ENTRIES))
        self._publish_initial_config()
        self._schedule_work()
        for fault in self._plan.faults:
            world.call_later(fault.at, lambda fault=fault: self._inject(fault))
        workload_end_s = WORKLOAD_S + max(
            (self._duration_s(fault) for fault in self._plan.faults), default=0.0
        )
        world.run_until(START_TIME_S + workload_end_s)
        end = world.now + SETTLE_LIMIT_S
        while world.now < end and (
            self._open_jobs or world.now < START_TIME_S + workload_end_s + RECOVERY_S
        ):
            world.run_until(world.now + 1.0)
        for job in self._open_jobs.values():
            world.record(JobLost(world.now, job))
        world.record_log()
        return world.history

    def _publish_initial_config(self) -> None:
        if not self._publish("e0", CONFIG_TEXT, Version(0)):
            self.world.call_later(0.5, self._publish_initial_config)

    def _schedule_work(self) -> None:
        for index in range(JOB_COUNT):
            # Half of the jobs arrive within a second, so that some of them have to queue.
            at = self.rng.uniform(8, 9) if index % 2 else self.rng.uniform(3, WORKLOAD_S)
            self.world.call_later(at, lambda i=index: self._submit_new(i))
        for burst in range(BURST_COUNT):
            at = self.rng.uniform(4, WORKLOAD_S)
            for index in range(REQUESTS_PER_BURST):
                name = f"{burst}-{index}"
                self.world.call_later(
                    at + index / 20, lambda name=name: self._schedule_request(name)
                )
        if self.rng.random() < 0.6:
            self._scrapped_target = self.rng.choice(("t0", "t4"))
            self.world.call_later(self.rng.uniform(8, 20), self._publish_scrap)

    def _responsive_entry(self, name: str = "") -> EntrySim | None:
        process = self.world.processes.get(name or self.rng.choice(list(ENTRIES)))
        if process is None or self.world.now < process.frozen_until:
            return None
        assert isinstance(process, EntrySim)
        return process

    # Callers of jobs

    def _submit_new(self, index: int) -> None:
        rng = self.rng
        run_s = rng.choice((0.5, 2.0, 6.0, 12.0))
        organisation = rng.choice(("alpha", "beta", "gamma"))
        shape = rng.choice(SHAPES)
        # Even after the loss of a target, litoral can run a job of 8 accelerators, and platense one
        # of 4, without touching the guarantees. Larger jobs have to borrow guaranteed accelerators,
        # which only preemptible and idempotent jobs may do.
        preemptible = shape.total_accelerators > 8 or rng.random() < 0.5
        idempotent = shape.total_accelerators > 8 or rng.random() < 0.5
        large = shape.total_accelerators > (8 if preemptible and idempotent else 4)
        job = Job(
            JobId(""),
            OrganisationId(organisation),
            CallerId(f"{organisation}-caller"),
            f"key-{index}",
            ServiceId("permit"),
            "survey-check",
            shape,
            run_s,
            idempotent=idempotent,
            preemptible=preemptible,
            payload=f"{run_s} job {index}".encode(),
        )
        domains = ("litoral",) if large else ("litoral", "litoral", "platense")
        self._submit(job, DomainId(rng.choice(domains)))

    def _submit(self, job_template: Job, domain: DomainId) -> None:
        """Submit under a new job id, as the API does; a caller that gets no answer tries again."""
        world = self.world
        retry_later = lambda: world.call_later(self.rng.uniform(0.5, 3), submit_again)  # noqa: E731
        submit_again = lambda: self._submit(job_template, domain)  # noqa: E731
        entry = self._responsive_entry()
        if entry is None or not entry.reader.caught_up.is_set():
            retry_later()
            return
        name = JobId(f"{job_template.key}#{world.next_serial()}")
        values = {f: getattr(job_template, f) for f in job_template.__struct_fields__}
        job = Job(**values | {"id": name, "accepted_at": world.now})
        known = entry.reader.ledger.job_by_key(job.organisation, job.caller, job.key)
        world.record(JobSubmitted(world.now, job))
        if known is not None:
            self._record_accepted(name, known)
            return

        def answered(result: AppendResult | None) -> None:
            found = entry.reader.ledger.job_by_key(job.organisation, job.caller, job.key)
            if result is not None and result.verdict is not None and found is not None:
                self._record_accepted(name, found)
                return
            proven_not_run = result is None or (result.verdict is None and not result.was_sent)
            execution = Execution.NOT_RUN if proven_not_run else Execution.MAY_HAVE_RUN
            world.record(JobAnswered(world.now, name, execution=execution))
            retry_later()

        self._append(entry, JobAccepted(job, domain), answered, submit_again)

    def _append(self, entry: EntrySim, body: AnyBody, on_answer, on_entry_lost) -> None:
        """Append as the API does; `on_entry_lost` runs if the entry gives no answer within 12 s."""
        if not entry.reader.log_up:
            on_answer(None)
            return
        done: list[AppendResult] = []

        def complete(future: "Future[AppendResult]") -> None:
            done.append(future.result())
            on_answer(future.result())

        def expire() -> None:
            if not done:
                on_entry_lost()

        entry.step(lambda: entry.appender.submit(body, 5.0).add_done_callback(complete))
        self.world.call_later(12.0, expire)

    def _record_accepted(self, submitted: JobId, known: JobId) -> None:
        self.world.record(JobAnswered(self.world.now, submitted, known))
        key = known.partition("#")[0]
        if key not in self._open_jobs:
            self._open_jobs[key] = known
            self._poll_result(key)

    def _poll_result(self, key: str) -> None:
        entry = self._responsive_entry()
        found = self._find_job(entry, self._open_jobs[key]) if entry else None
        if found is None or not found.state.is_final:
            self.world.call_later(1.0, lambda: self._poll_result(key))
            return
        job = self._open_jobs.pop(key)
        self.world.record(ResultRead(self.world.now, job, found.state, found.result, found.digest))

    @staticmethod
    def _find_job(entry: EntrySim, job: JobId) -> LedgerJob | None:
        return entry.reader.ledger.state.jobs.get(job)

    # Callers of requests

    def _schedule_request(self, name: str) -> None:
        """Send a request; one with a key may be sent up to three times, through any entry."""
        idempotent = self.rng.random() < 0.5
        key = "" if idempotent or self.rng.random() < 0.5 else f"key-{name}"
        times = self.rng.choice((1, 2, 3)) if key else 1
        for number in range(times):
            at = number * self.rng.uniform(0.0, 5.0)
            submission = f"{name}-{number}"
            self.world.call_later(
                at, lambda sent=submission: self._send_request(sent, name, idempotent, key)
            )

    def _send_request(self, submission: str, name: str, idempotent: bool, key: str) -> None:
        world = self.world
        entry = self._responsive_entry()
        if entry is None or not entry.accepts_calls or not entry.reader.caught_up.is_set():
            return
        config = entry.front.config
        service = config.services.get(ServiceId("permit"))
        if service is None:
            return
        request = RequestId(f"request-{submission}")
        body = f"body {name}".encode()
        caller = Caller(CallerId("gamma-caller"), OrganisationId("gamma"), "")
        until = world.now + REQUEST_TIMEOUT_S
        # Marked as forwarded, so that this entry handles it: forwarding over HTTP is not modelled.
        ask = CheckedRequest(config, caller, service, body, until, idempotent, True, key, "", True)
        world.record(RequestSent(world.now, request, body, idempotent, key, entry.instance))

        def run() -> None:
            entry.active_calls += 1
            result = entry.services._call_once(ask) if key else entry.services._call(ask)
            entry.active_calls -= 1
            answers.append(result)
            refusal = result.error.execution if result.is_error() else None
            body = result.ok if result.is_ok() else None
            world.record(RequestAnswered(world.now, request, body, refusal))

        def expire() -> None:
            if not answers:
                may_have_run = Execution.MAY_HAVE_RUN
                world.record(RequestAnswered(world.now, request, execution=may_have_run))

        answers: list[Answer] = []
        Fiber(entry, run, request)
        # A caller whose entry does not answer has to assume that the request may have run.
        world.call_later(REQUEST_TIMEOUT_S + CALLER_GRACE_S, expire)

    # Operators

    def _publish(self, name: str, text: str, base: Version) -> bool:
        entry = self._responsive_entry(name)
        if entry is None or not entry.reader.log_up:
            return False
        version = Version(base + 1)
        body = ConfigPublished(version, base, text, OperatorId("operations"))
        scrapped = frozenset({TargetId(self._scrapped_target)} if "scrap = yes" in text else ())

        def answered(result: AppendResult | None) -> None:
            if result is not None and result.verdict is not None and result.verdict.accepted:
                self.world.record(Published(self.world.now, version, text, scrapped))

        self._append(entry, body, answered, lambda: None)
        return True

    def _publish_scrap(self) -> None:
        entry = self._responsive_entry()
        config = entry.reader.ledger.config if entry else None
        if (
            entry is None
            or config.version == 0
            or TargetId(self._scrapped_target) in config.scrapped
        ):
            if config is None or config.version == 0:
                self.world.call_later(1.0, self._publish_scrap)
            else:
                self.world.call_later(5.0, self._stop_scrapped_target)
            return
        text = f"{CONFIG_TEXT}[target {self._scrapped_target}]\nscrap = yes\n"
        self._publish(entry.name, text, config.version)
        self.world.call_later(3.0, self._publish_scrap)

    def _stop_scrapped_target(self) -> None:
        target = self.world.processes.get(self._scrapped_target)
        if isinstance(target, TargetSim):
            target.stop()

    # Faults

    @staticmethod
    def _duration_s(fault: Fault) -> float:
        if fault.kind is FaultKind.LOG_DOWN_HOUR:
            return HOUR_S
        if fault.kind is FaultKind.LOG_EXPIRES:
            return max(fault.seconds, SNAPSHOT_LIMIT_S)
        return fault.seconds

    def _inject(self, fault: Fault) -> None:  # noqa: PLR0912, PLR0915
        world = self.world
        seconds = self._duration_s(fault)
        until = world.now + seconds + ARMED_FAULT_TIMEOUT_S + REPLACEMENT_DELAY_S + RECOVERY_S
        if fault.kind not in FAULTS_WITHOUT_GRACE:
            world.record(FaultActive(world.now, until, fault.kind.value))
        entries, targets = list(ENTRIES), list(TARGETS)
        owners = [
            name for name in entries if (e := self._responsive_entry(name)) and e.core.domains
        ]
        # Prefer entries that own a domain, since their failure has the largest effect.
        preferred = owners if owners and fault.victim % 4 else entries
        entry = preferred[fault.victim % len(preferred)]
        target = targets[fault.victim % len(targets)]
        match fault.kind:
            case FaultKind.KILL_ENTRY | FaultKind.FREEZE_ENTRY:
                self._inject_process_fault(entry, fault)
            case FaultKind.KILL_TARGET | FaultKind.FREEZE_TARGET:
                self._inject_process_fault(target, fault)
            case FaultKind.CUT_LINK:
                self._cut_links(
                    [f"{name}-{target}" for name in entries[: 1 + fault.count % 3]], seconds
                )
            case FaultKind.CUT_LOG:
                self._cut_links([f"{entry}-log"], seconds)
            case FaultKind.LOG_DOWN:
                self._set_temporarily(world.log, "down", True, seconds)
            case FaultKind.LOG_DOWN_HOUR:
                self._set_temporarily(world.log, "down", True, seconds)
                self._set_temporarily(world, "tick_s", 1.0, seconds)
            case FaultKind.LOG_SLOW:
                self._set_temporarily(world.log, "lag", 1.5, seconds)
            case FaultKind.LOG_ANSWERS_LOST:
                self._set_temporarily(world.log, "lose_answers", 0.5, seconds)
            case FaultKind.LOG_LATE_RECORDS:
                self._set_temporarily(world.log, "late", 0.5, seconds)
            case FaultKind.LOG_EXPIRES:
                # One entry misses records that expire, and an entry is killed and replaced.
                self._cut_links([f"{entry}-log"], seconds)
                world.call_later(seconds - 0.1, world.log.expire)
                self._inject_process_fault(entries[fault.victim % len(entries)], fault)
            case FaultKind.STOP_ENTRY:
                self._stop(entry)
            case FaultKind.STOP_TARGET:
                self._stop(target)
            case FaultKind.MESSAGES_LOST:
                self._set_temporarily(world, "lost", 0.3, seconds)
            case FaultKind.MESSAGES_DOUBLED:
                self._set_temporarily(world, "doubled", 0.5, seconds)
            case FaultKind.MESSAGES_DELAYED:
                self._set_temporarily(world, "delayed", 0.3, seconds)
            case FaultKind.OPERATORS_RACE:
                self._race_operators()
            case FaultKind.CANCEL_WAVE:
                self._cancel_wave()
            case FaultKind.BAD_WORKER:
                world.bad_workers.add(target)
                world.call_later(seconds, lambda: world.bad_workers.discard(target))

    def _inject_process_fault(self, name: str, fault: Fault) -> None:
        process = self.world.processes.get(name)
        if process is None:
            return
        kill = fault.kind in (FaultKind.KILL_ENTRY, FaultKind.KILL_TARGET, FaultKind.LOG_EXPIRES)
        process.arm_fault(fault.when, fault.count, 0.0 if kill else fault.seconds)
        if kill:
            self.world.call_later(
                ARMED_FAULT_TIMEOUT_S + REPLACEMENT_DELAY_S, lambda: self._replace(name)
            )

    def _stop(self, name: str) -> None:
        """Start the planned stop of a process, and replace the process once it has ended."""
        process = self.world.processes.get(name)
        if isinstance(process, EntrySim | TargetSim):
            process.stop()
            self._replace_after_stop(process)

    def _replace_after_stop(self, process: Process) -> None:
        if process.alive:
            self.world.call_later(1.0, lambda: self._replace_after_stop(process))
        else:
            self.world.call_later(REPLACEMENT_DELAY_S, lambda: self._replace(process.name))

    def _replace(self, name: str) -> None:
        if name in self.world.processes or name == self._scrapped_target:
            return
        if name in ENTRIES:
            EntrySim(self.world, name, ENTRIES[name])
        else:
            TargetSim(self.world, name, *TARGETS[name], tuple(ENTRIES))

    def _cut_links(self, links: list[str], seconds: float) -> None:
        self.world.cut_links.update(links)
        self.world.call_later(seconds, lambda: self.world.cut_links.difference_update(links))

    def _set_temporarily(self, owner: object, name: str, value: object, seconds: float) -> None:
        before = getattr(type(owner), name, None) or {"tick_s": 0.2}.get(name, type(value)())
        setattr(owner, name, value)
        self.world.call_later(seconds, lambda: setattr(owner, name, before))

    def _race_operators(self) -> None:
        for name in ENTRIES:
            entry = self._responsive_entry(name)
            if entry is not None and entry.reader.ledger.config.version:
                config = entry.reader.ledger.state.config
                text = f"{config.text}\n# change by {name}\n"
                self._publish(name, text, config.version)

    def _cancel_wave(self) -> None:
        entry = self._responsive_entry()
        if entry is None:
            return
        for organisation in ("alpha", "beta", "gamma"):
            jobs = [
                job
                for job, found in entry.reader.ledger.state.jobs.items()
                if found.job.organisation == organisation and not found.state.is_final
            ]
            caller = CallerId(f"{organisation}-caller")
            body = JobsCancelled(tuple(jobs), OrganisationId(organisation), caller)
            self._append(entry, body, lambda result: None, lambda: None)


def run_plan(plan: Plan) -> list[HistoryEvent]:
    """Run a plan in a new world and return its history."""
    with World(plan.seed) as world:
        return Example(world, plan).run()
