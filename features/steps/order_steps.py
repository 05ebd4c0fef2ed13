"""Steps for queue order, limits, run-time estimates and quarantine."""

import random

import msgspec
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as hypothesis_given
from hypothesis import settings
from hypothesis import strategies as st

from benchmarks import policy
from comfreyshelf.backfill import Backfill
from comfreyshelf.commands import AppendRecord, CommitParts, ReserveParts, StopParts
from comfreyshelf.config import Caller, Config, Organisation
from comfreyshelf.entry_limits import RateLimits
from comfreyshelf.errors import Execution
from comfreyshelf.estimates import MAX_KINDS, Estimates
from comfreyshelf.events import (
    ConfigInForce,
    JobQueued,
    PartEnded,
    PartsReserved,
    StartRecorded,
    Tick,
    WorkerReported,
)
from comfreyshelf.ids import (
    Attempt,
    CallerId,
    DomainId,
    Epoch,
    JobId,
    OrganisationId,
    RackId,
    ServiceId,
    TargetId,
    Version,
    ZoneId,
)
from comfreyshelf.jobs_api import build_job_view, result_unavailable
from comfreyshelf.ledger import LedgerJob
from comfreyshelf.limits import RETRY_MAX_DELAY_S, RetryBackoff
from comfreyshelf.model import Job, JobState, PartState, Shape, Urgency, WorkerInfo
from comfreyshelf.placement import BestFit
from comfreyshelf.quarantine import Quarantine
from comfreyshelf.queueing import RANKING_CACHE_THRESHOLD, FairQueue, Resources
from comfreyshelf.reasons import RefusalReason
from comfreyshelf.records import AttemptStarted, JobFinished, JobRefused
from comfreyshelf.scheduler import Scheduler
from comfreyshelf.topology import SearchScope, Topology

PAST_RESERVATION_WAIT_S = 10_000.0


def make_job(name: str, **changes) -> Job:
    changes.setdefault("shape", Shape(1, 8))
    organisation = OrganisationId(changes.pop("organisation", "a"))
    caller = CallerId(f"{organisation}-desk")
    base = Job(JobId(name), organisation, caller, name, ServiceId("s"), "k", Shape(1, 1), 100.0)
    return msgspec.structs.replace(base, **changes)


class SchedulerHarness:
    """A scheduler whose targets confirm commands at once; steps end parts with `end_parts`."""

    def __init__(self, workers: int) -> None:
        self.scheduler = Scheduler(DomainId("d"), Epoch(1))
        self.now = 0.0
        self.started: list[str] = []
        self.stopped: list[StopParts] = []
        self.refused: list[JobRefused] = []
        self.finished: list[str] = []
        self.limits: dict[str, int] = {}
        self.configure()
        self.add_workers(workers)

    def add_workers(self, workers: int) -> None:
        for index in range(workers):
            target = TargetId(f"w-{index}")
            info = WorkerInfo(target, ZoneId("z"), RackId("r"), 8, 64, 256, 1)
            self.feed(WorkerReported(info))

    def configure(self) -> None:
        organisations = {
            OrganisationId(name): Organisation(
                OrganisationId(name), max_queued=self.limits.get(name, 1000)
            )
            for name in ("a", "b")
        }
        version = Version(len(self.limits) + 1)
        self.feed(ConfigInForce(Config(version, organisations=organisations)))

    def feed(self, event) -> None:
        for command in self.scheduler.handle(event, self.now):
            match command:
                case ReserveParts():
                    self.feed(PartsReserved(command.job.id, command.attempt, command.target))
                case AppendRecord(body=AttemptStarted() as body):
                    self.feed(StartRecorded(body.job, body.attempt, True))
                case AppendRecord(body=JobRefused() as body):
                    self.refused.append(body)
                case AppendRecord(body=JobFinished() as body):
                    self.finished.append(body.job)
                case CommitParts():
                    self.started.append(command.job)
                case StopParts():
                    self.stopped.append(command)

    def queue(self, job: Job, attempt: int = 0) -> None:
        self.feed(JobQueued(job, Attempt(attempt)))

    def end_parts(self, job: str, state: PartState, checkpointed: bool = False) -> None:
        gang = self.scheduler.gangs[JobId(job)]
        for number, part in enumerate(gang.parts):
            self.feed(
                PartEnded(
                    gang.job.id,
                    gang.attempt,
                    number,
                    part.placement.target,
                    state,
                    checkpointed=checkpointed,
                )
            )


@given("a scheduler with {workers:d} workers")
def given_scheduler(context: Context, workers: int) -> None:
    context.harness = SchedulerHarness(workers)


@given("a running job of 8 accelerators that ends at 1000 s")
def given_running_job(context: Context) -> None:
    context.harness.queue(make_job("running", declared_s=1000.0, preemptible=False))


@given("a blocked gang of 2 parts of 8 accelerators that waited long enough for a reservation")
def given_blocked_gang(context: Context) -> None:
    gang = make_job("gang", shape=Shape(2, 8), accepted_at=-PAST_RESERVATION_WAIT_S)
    context.harness.queue(gang)
    assert context.harness.started == ["running"]


@when("small jobs with long run times arrive")
def submit_small_long_jobs(context: Context) -> None:
    for number in range(5):
        job = make_job(f"small-{number}", organisation="b", shape=Shape(1, 1), declared_s=90_000.0)
        context.harness.queue(job)


@then("no small job starts before the gang")
def check_small_jobs_wait(context: Context) -> None:
    assert context.harness.started == ["running"], context.harness.started


@then("the gang starts when the running job ends")
def check_gang_starts(context: Context) -> None:
    context.harness.now = 1000.0
    context.harness.end_parts("running", PartState.FINISHED)
    context.harness.feed(Tick())
    assert "gang" in context.harness.started, context.harness.started


@when("a short job arrives")
def submit_short_job(context: Context) -> None:
    context.harness.queue(make_job("short", shape=Shape(1, 1), declared_s=20.0))


@then("the short job starts")
def check_short_job_starts(context: Context) -> None:
    assert "short" in context.harness.started


@given("a running preemptible job of 8 accelerators of organisation b")
def given_running_preemptible_job(context: Context) -> None:
    context.harness.queue(make_job("running", organisation="b", declared_s=1000.0))


@given("a running non-preemptible job of 8 accelerators")
def given_running_non_preemptible_job(context: Context) -> None:
    job = make_job("running", organisation="b", declared_s=1000.0, preemptible=False)
    context.harness.queue(job)


@when("an urgent job of organisation a arrives")
def submit_urgent_job(context: Context) -> None:
    context.harness.queue(make_job("urgent", shape=Shape(1, 2), urgency=Urgency.URGENT))


@then("the running job is stopped after a checkpoint")
def check_stopped_after_checkpoint(context: Context) -> None:
    assert [(stop.job, stop.checkpoint) for stop in context.harness.stopped] == [("running", True)]


@then("the urgent job starts when the stopped part is reported")
def check_urgent_job_starts(context: Context) -> None:
    context.harness.now += 4.0
    context.harness.end_parts("running", PartState.STOPPED, checkpointed=True)
    context.harness.feed(Tick())
    assert context.harness.started[:2] == ["running", "urgent"], context.harness.started


@then("nothing is stopped")
def check_nothing_stopped(context: Context) -> None:
    context.harness.feed(Tick())
    assert not context.harness.stopped


@when("the running job finishes before it is stopped")
def finish_before_stop(context: Context) -> None:
    context.harness.end_parts("running", PartState.FINISHED)


@then("the result of the running job is recorded")
def check_result_recorded(context: Context) -> None:
    assert context.harness.finished == ["running"]


@given("organisation a may queue {count:d} jobs")
def given_queue_limit(context: Context, count: int) -> None:
    context.harness.limits["a"] = count
    context.harness.configure()


def queue_several(context: Context, organisation: str, count: int, urgency: str) -> None:
    for number in range(count):
        name = f"{organisation}-{urgency}-{number}"
        context.harness.queue(
            make_job(name, organisation=organisation, urgency=Urgency(urgency), accepted_at=number)
        )


@given("organisation {organisation} queues {count:d} {urgency} job")
@when("organisation {organisation} queues {count:d} {urgency} job")
def queue_jobs(context: Context, organisation: str, count: int, urgency: str) -> None:
    queue_several(context, organisation, count, urgency)


@when("a mix of 3 high jobs and 1 low job of organisation a arrives")
def queue_mixed_jobs(context: Context) -> None:
    queue_several(context, "a", 3, "high")
    queue_several(context, "a", 1, "low")


@then("exactly the low and the normal job of organisation a are refused as shed")
def check_shed_jobs(context: Context) -> None:
    refused = [(body.job, body.reason) for body in context.harness.refused]
    assert refused == [
        ("a-low-0", RefusalReason.SHED),
        ("a-normal-0", RefusalReason.SHED),
    ], refused


@when("a job of organisation a arrives that already had an attempt")
def queue_job_with_attempt(context: Context) -> None:
    context.harness.queue(make_job("ran", urgency=Urgency.LOW), attempt=1)


@then("the job that already had an attempt stays queued")
def check_stays_queued(context: Context) -> None:
    assert [body.job for body in context.harness.refused] == ["a-high-0"]
    assert "ran" in context.harness.scheduler.queue


@when("a gang of 2 parts of 8 accelerators arrives {after:d} s after the last worker joined")
def submit_large_gang(context: Context, after: int) -> None:
    context.harness.now = float(after)
    context.harness.queue(make_job("large", shape=Shape(2, 8), accepted_at=context.harness.now))


@then("it stays queued")
def check_still_queued(context: Context) -> None:
    assert "large" in context.harness.scheduler.queue and not context.harness.refused


@then("it is refused as never fitting {after:d} s after the last worker joined")
def check_refused_as_never_fitting(context: Context, after: int) -> None:
    context.harness.now = float(after)
    context.harness.feed(Tick())
    assert [body.reason for body in context.harness.refused] == [RefusalReason.NEVER_FITS]


@given("a quarantine for a fleet of {fleet:d} workers")
def given_quarantine(context: Context, fleet: int) -> None:
    context.quarantine = Quarantine(random.Random(1))
    context.fleet_size = fleet


def record_failure(context: Context, job: str, worker: str) -> None:
    context.quarantine.record_failure(JobId(job), TargetId(worker), context.fleet_size, 0.0)


@when("3 different jobs fail on worker w-0")
def fail_three_jobs(context: Context) -> None:
    for number in range(3):
        assert not context.quarantine.quarantined
        record_failure(context, f"job-{number}", "w-0")


@then("w-0 is in quarantine")
def check_quarantined(context: Context) -> None:
    assert context.quarantine.quarantined == {"w-0"}


@then("a failed probe keeps w-0 in quarantine and a passed probe releases it")
def check_probes(context: Context) -> None:
    quarantine = context.quarantine
    assert quarantine.due_probes(0.0) == []
    assert quarantine.due_probes(10.0) == ["w-0"]
    assert not quarantine.record_probe(TargetId("w-0"), False)
    assert quarantine.quarantined
    assert quarantine.due_probes(12.0) == [], "the second probe must come later than the first"
    assert quarantine.due_probes(31.0) == ["w-0"]
    assert quarantine.record_probe(TargetId("w-0"), True)
    assert not quarantine.quarantined


@when("3 jobs fail on each of w-0, w-1 and w-2")
def fail_jobs_everywhere(context: Context) -> None:
    # Each job fails on all workers before the next job, because retries go to other workers.
    for job in ("bad-0", "bad-1", "bad-2"):
        for worker in ("w-0", "w-1", "w-2"):
            record_failure(context, job, worker)


@then("no worker is in quarantine")
def check_none_quarantined(context: Context) -> None:
    assert not context.quarantine.quarantined
    assert not context.quarantine.suspects


@then("each of these jobs counts as failing everywhere")
def check_fail_everywhere(context: Context) -> None:
    for job in ("bad-0", "bad-1", "bad-2"):
        assert context.quarantine.fails_everywhere(JobId(job), context.fleet_size)


@when("workers w-0, w-1 and w-2 each fail 3 jobs that fail on no other worker")
def fail_three_workers(context: Context) -> None:
    fail_jobs_on_one_worker_each(context, 3)


@when("each of 5 workers fails 3 jobs that fail on no other worker")
def fail_five_workers(context: Context) -> None:
    fail_jobs_on_one_worker_each(context, 5)


def fail_jobs_on_one_worker_each(context: Context, workers: int) -> None:
    for worker in range(workers):
        for number in range(3):
            record_failure(context, f"own-{worker}-{number}", f"w-{worker}")


@when("job victim fails on w-0, w-1 and w-2")
def fail_victim(context: Context) -> None:
    for worker in range(3):
        record_failure(context, "victim", f"w-{worker}")


@then("job victim does not count as failing everywhere")
def check_victim_not_blamed(context: Context) -> None:
    assert not context.quarantine.fails_everywhere(JobId("victim"), context.fleet_size)


@then("2 workers are in quarantine and 3 are suspects")
def check_quarantine_limit(context: Context) -> None:
    assert (len(context.quarantine.quarantined), len(context.quarantine.suspects)) == (2, 3)


@given("estimates from 50 runs of 100 s that were declared as 1000 s")
def given_estimates(context: Context) -> None:
    context.estimates = Estimates()
    for number in range(50):
        context.estimates.record_run(make_job(str(number), declared_s=1000.0), 100.0)


@then("a job declared as 1000 s is expected to run 90 to 115 s")
def check_estimate(context: Context) -> None:
    expected = context.estimates.expected_s(make_job("next", declared_s=1000.0))
    assert 90.0 <= expected <= 115.0, expected


@then("estimates of 10000 kinds keep at most 4096")
def check_kind_limit(context: Context) -> None:
    for number in range(10_000):
        context.estimates.record_run(make_job("x", kind=f"kind-{number}"), 100.0)
    assert len(context.estimates) <= MAX_KINDS == 4096


@given("requests at arbitrary times")
def given_arbitrary_request_times(context: Context) -> None:
    context.request_gaps = st.lists(st.floats(0.0, 3.0), max_size=200)


@then("a rate limit of 5 a second and burst 10 grants at most burst plus rate times time")
def check_rate_limit(context: Context) -> None:
    @settings(max_examples=100, deadline=None, derandomize=True)
    @hypothesis_given(context.request_gaps)
    def check(gaps: list[float]) -> None:
        limits = RateLimits()
        organisation = Organisation(OrganisationId("a"), rate=5.0, burst=10)
        caller = Caller(CallerId("c"), organisation.id, "", rate=1000.0, burst=1000)
        now = 0.0
        granted = 0
        for gap in gaps:
            now += gap
            granted += limits.take_token(organisation, caller, 1, now) is None
            assert granted <= 10 + 5.0 * now + 1e-6

    check()


@given("a queue where organisation a uses more than its fair share and queues many urgent jobs")
def given_urgent_flood(context: Context) -> None:
    context.queue = FairQueue()
    context.queue.capacity = Resources(80.0, 640.0, 2560.0)
    context.queue.add_usage(make_job("b-running", organisation="b", shape=Shape(1, 1)))
    for number in range(60):
        context.queue.add_usage(make_job(f"r-{number}", shape=Shape(1, 1), urgency=Urgency.URGENT))
    for number in range(60):
        context.queue.push(make_job(f"q-{number}", shape=Shape(1, 2), urgency=Urgency.URGENT))


@when("organisation b queues a normal job")
def queue_normal_job(context: Context) -> None:
    context.queue.push(make_job("b-job", organisation="b", accepted_at=100.0))


@then("the job of organisation b comes first")
def check_other_organisation_first(context: Context) -> None:
    assert next(context.queue.ordered(100.0)).id == "b-job"


@given("a job that fails repeatedly")
def given_retry_delays(context: Context) -> None:
    def delays(seed: int) -> list[float]:
        retries = RetryBackoff(random.Random(seed))
        return [retries.next_delay_s(make_job("x")) for _ in range(30)]

    context.delays = delays(1), delays(2)


@then("the delays grow, differ between seeds and stay under 300 s")
def check_delays(context: Context) -> None:
    first, second = context.delays
    assert first != second
    assert first[0] < 2.0 < first[3] < first[6]
    # The retry budget of 10 is used up, so all further retries wait for the longest delay.
    assert all(delay >= RETRY_MAX_DELAY_S / 2 for delay in first[10:])
    assert max(first + second) <= RETRY_MAX_DELAY_S


@given("a replay of {hours:d} h with {faults}")
def given_replay(context: Context, hours: int, faults: str) -> None:
    names = tuple(name.strip() for name in faults.split(","))
    setup = policy.prepare("camara", 7, 0.85, 10, names, hours)
    context.replay, context.replay_row = policy.replay(
        setup, policy.POLICIES["comfreyshelf"], names
    )


@then("every job ends once and no accelerator runs two jobs at a time")
def check_outcomes(context: Context) -> None:
    figures = context.replay_row.figures
    assert (figures.unfinished, figures.finished_twice, figures.overlaps) == (0, 0, 0), figures
    assert not figures.refused, figures.refused
    for outcome in context.replay.outcomes.values():
        assert outcome.finish_count or outcome.cancelled or not outcome.simulated.job.idempotent


@given("a job that failed on three workers and was refused")
def given_refused_job(context: Context) -> None:
    harness = context.harness = SchedulerHarness(3)
    harness.queue(make_job("broken", shape=Shape(1, 1)))
    for _ in range(3):
        harness.end_parts("broken", PartState.FAILED)
        harness.now += RETRY_MAX_DELAY_S
        harness.feed(Tick())
    assert [body.reason for body in harness.refused] == [RefusalReason.FAILS_EVERYWHERE]


@then("neither the job nor its result is reported as not run")
def check_not_reported_as_not_run(context: Context) -> None:
    entry = LedgerJob(make_job("broken"), DomainId("d"))
    entry.state = JobState.REFUSED
    entry.reason = context.harness.refused[0].reason
    assert build_job_view(entry).execution is Execution.NOT_RUN
    entry.attempt = Attempt(3)
    assert build_job_view(entry).execution is Execution.MAY_HAVE_RUN
    assert result_unavailable(entry).execution is Execution.MAY_HAVE_RUN
    assert result_unavailable(entry).retry_after_s == 0


@given("10 non-preemptible jobs and one preemptible job of organisation b")
def given_non_preemptible_fleet(context: Context) -> None:
    for number in range(10):
        context.harness.queue(make_job(f"firm-{number}", organisation="b", preemptible=False))
    context.harness.queue(make_job("soft", organisation="b"))


@when("an urgent non-preemptible job of organisation a arrives")
def submit_urgent_non_preemptible_job(context: Context) -> None:
    job = make_job("urgent", shape=Shape(1, 4), urgency=Urgency.URGENT, preemptible=False)
    context.harness.queue(job)


@then("the preemptible job is stopped for it")
def check_preemptible_stopped(context: Context) -> None:
    assert [stop.job for stop in context.harness.stopped] == ["soft"], context.harness.started


@given("organisation a queues many non-preemptible jobs and organisation b queues one job")
def given_non_preemptible_flood(context: Context) -> None:
    context.harness.queue(make_job("other", organisation="b", shape=Shape(1, 1)))
    for number in range(100):
        context.harness.queue(make_job(f"a-{number}", shape=Shape(1, 4), preemptible=False))


@when("{count:d} workers join")
def workers_join(context: Context, count: int) -> None:
    context.harness.add_workers(count)


@then("at most {most:d} of the 80 accelerators run work of organisation a")
def check_flood_limit(context: Context, most: int) -> None:
    used = context.harness.scheduler.queue.used_accelerators["a"]
    assert 0 < used <= most, used


@given("a queue with jobs of 100 organisations and a cached ranking")
def given_long_queue(context: Context) -> None:
    context.queue = FairQueue()
    context.queue.capacity = Resources(80.0, 640.0, 2560.0)
    assert RANKING_CACHE_THRESHOLD < 100
    for number in range(100):
        context.queue.push(make_job(f"q-{number}", organisation=f"o-{number}"))
    context.first_ranked = next(context.queue.ordered(100.0))


@when("organisation b queues an urgent job in the long queue")
def queue_urgent_job(context: Context) -> None:
    context.queue.push(
        make_job("b-job", organisation="b", urgency=Urgency.URGENT, accepted_at=100.0)
    )


@then("the urgent job comes first, and a job without room is skipped until free room changes")
def check_urgent_first(context: Context) -> None:
    queue = context.queue
    jobs = queue.ordered(100.1)
    assert next(jobs).id == "b-job"
    queue.mark_blocked(queue.remove(JobId("b-job")))
    assert next(jobs).id == context.first_ranked.id
    queue.mark_blocked(context.first_ranked)
    assert context.first_ranked.id not in [job.id for job in queue.ordered(100.2)]
    queue.clear_blocked()
    assert next(queue.ordered(100.3)).id == context.first_ranked.id


@given("a gang of 2 parts of 8 accelerators that failed on the only two workers")
def given_failed_gang(context: Context) -> None:
    context.harness.queue(make_job("wide", shape=Shape(2, 8)))
    context.harness.end_parts("wide", PartState.FAILED)
    # Each of the two workers gets one commit.
    assert context.harness.started == ["wide"] * 2


@then("it is not retried at once, but within 60 s")
def check_retry_delay(context: Context) -> None:
    context.harness.feed(Tick())
    assert context.harness.started == ["wide"] * 2
    while context.harness.now < 60.0:
        context.harness.now += 1.0
        context.harness.feed(Tick())
    assert context.harness.started == ["wide"] * 4, context.harness.started


@given("a gang with a reservation on two free workers")
def given_reserved_workers(context: Context) -> None:
    context.topology = Topology()
    for index in range(2):
        target = TargetId(f"w-{index}")
        context.topology.add(WorkerInfo(target, ZoneId("z"), RackId("r"), 8, 64, 256, 1))
    context.place = lambda job: BestFit().place(job.shape, context.topology, SearchScope.FREE)
    context.backfill = Backfill(Estimates(), lambda job: False)
    gang = make_job("gang", shape=Shape(2, 8), accepted_at=-PAST_RESERVATION_WAIT_S)
    context.backfill.reserve(gang, context.topology, [], context.place, 0.0)
    assert context.backfill.reserved_for == gang


@then("a job of the same shape finds no room at first, but does 40 s after the reserved start")
def check_reservation_expires(context: Context) -> None:
    equal = make_job("equal", shape=Shape(2, 8))
    for now, has_room in ((1.0, False), (40.0, True)):
        context.backfill.expire(now)
        with context.backfill.excluding_holds(equal, context.topology, now):
            assert bool(context.place(equal)) == has_room, now
