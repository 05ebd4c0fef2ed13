"""Steps for learned records in whole deployments, whose keepers run as threads on loopback."""

import json
import time
from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from comfreyshelf.fleet.entry import EntryProcess
from comfreyshelf.fleet.jobs import Job, QueueName, Resources, Step
from comfreyshelf.fleet.prediction.quantile_model import QuantileModel
from comfreyshelf.fleet.prediction.record import DurationsRecord
from comfreyshelf.fleet.scheduling import Feature, Scheduling
from comfreyshelf.ids import JobId, OrganisationId
from comfreyshelf.platform.store import APPEND_TIMEOUT_S
from features.platform_standins import JOB
from features.steps.fleet_platform_steps import start_deployment

LEARNED = "keyed.learned"
JOB_TASKS = 5


@given("a store, two entries that predict run times, and three target processes with runners")
def start_predicting_deployment(context: Context) -> None:
    start_deployment(context, scheduling=Scheduling(frozenset({Feature.PREDICTION})))


def wait_for(what: Callable[[], bool], seconds: float, message: str) -> None:
    deadline = time.monotonic() + seconds
    while not what():
        assert time.monotonic() < deadline, message
        time.sleep(0.02)


def owner_of(context: Context) -> EntryProcess | None:
    """The entry that owns the schedule, None while there is none."""
    for number, entry in enumerate(context.fleet.entries):
        if number not in context.fleet.stopped and entry._owner._core is not None:
            return entry
    return None


def run_job(context: Context, number: int, estimate_s: float) -> None:
    """Submit a job at an entry, which has to accept it at once, and wait for its end."""
    steps = [JOB["steps"][0] | {"est-runtime-ms": round(1000 * estimate_s)}]
    job = f"{len(context.jobs):016x}"
    context.jobs.append(job)
    reply = context.fleet.ask(number, "POST", f"/q/{job}", json.dumps(JOB | {"steps": steps}))
    assert reply.status == 200, reply.status

    def is_completed() -> bool:
        state = context.fleet.ask(number, "GET", f"/q/{job}")
        return state.status == 200 and json.loads(state.data).get("state") == "completed"

    wait_for(is_completed, 30, f"job {job} is not completed")


def expected_s(model: QuantileModel, estimate_s: float) -> float:
    step = Step(1, Resources(), round(1000 * estimate_s))
    job = Job(JobId("j"), OrganisationId("a"), QueueName("q"), "", (step,), 0.0)
    return model.for_job(job).expected_s(0)


def stored_expectation_s(context: Context, estimate_s: float) -> float:
    """The run time that follows from the newest record in the store."""
    model = QuantileModel()
    prefix = b"\x09durations"
    values = [r[len(prefix) :] for r in context.fleet.store.topics[LEARNED] if r.startswith(prefix)]
    if values:
        DurationsRecord(model).merge(values[-1], time.time())
    return expected_s(model, estimate_s)


def wait_for_owner(context: Context) -> EntryProcess:
    wait_for(lambda: owner_of(context) is not None, 30, "no entry owns the schedule")
    owner = owner_of(context)
    assert owner is not None
    return owner


@given("jobs of short tasks were estimated at {estimate_s:g} s, and the store holds what they took")
def learn(context: Context, estimate_s: float) -> None:
    context.jobs = []
    wait_for_owner(context)
    for _ in range(2):
        run_job(context, 0, estimate_s)
    wait_for(
        lambda: stored_expectation_s(context, estimate_s) < estimate_s / 3,
        15,
        "the store holds no record of the run times",
    )


@when("the entry that owns the schedule dies")
def kill_owner(context: Context) -> None:
    owner = wait_for_owner(context)
    context.fleet.stopped.add(context.fleet.entries.index(owner))
    owner.kernel.stop()


@then("the next owner expects less than {limit_s:g} s for an estimate of {estimate_s:g} s")
def check_next_owner(context: Context, limit_s: float, estimate_s: float) -> None:
    core = wait_for_owner(context)._owner._core
    assert core is not None
    model = core.policies.durations
    assert isinstance(model, QuantileModel)
    wait_for(lambda: expected_s(model, estimate_s) < limit_s, 10, "the records were not merged")


@given("the store answers no call for learned records")
def silence_topic(context: Context) -> None:
    context.fleet.store.silent_topics.add(LEARNED)


@when("jobs are submitted one after another until {count:d} of these calls have failed")
def submit_jobs(context: Context, count: int) -> None:
    context.jobs, context.lost_by = [], set()
    owner = wait_for_owner(context)
    context.owner_epoch = owner._owner._last_epoch
    number = context.fleet.entries.index(owner)
    deadline = time.monotonic() + 60

    def failures() -> float:
        for entry in context.fleet.entries:
            if entry._relay.is_direct_paused or not entry._relay.is_store_reachable:
                context.lost_by.add(entry._settings.name)
        return owner.metrics.value('retries{reason="learned_records"}')

    while failures() < count:
        assert time.monotonic() < deadline, "the keeper has made no call"
        run_job(context, number, 0.3)
        wait_for(lambda: failures() >= min(count, len(context.jobs)), 10, "no call has failed")


@then("each is completed under one owner, and no entry takes the store for lost")
def check_undisturbed(context: Context) -> None:
    owner = wait_for_owner(context)
    assert owner._owner._last_epoch == context.owner_epoch
    starts = [start for runner in context.fleet.runners for start in runner.starts]
    assert len(starts) == len(set(starts)) == JOB_TASKS * len(context.jobs), starts
    assert not context.lost_by, context.lost_by


@then("an append of the owner waits no longer for its answer than before")
def check_append_timeout(context: Context) -> None:
    store = wait_for_owner(context)._job_sync._store
    assert store._append_timeout_s == APPEND_TIMEOUT_S, store._append_timeout_s
