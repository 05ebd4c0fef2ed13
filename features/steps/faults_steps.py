"""Steps for faults of separate processes."""

import signal
import threading
import time
from collections.abc import Callable

import msgspec
import urllib3
from behave import given, then, when
from behave.runner import Context

from comfreyshelf.client import Client
from comfreyshelf.demo import CALLER_KEY, DEMO_CONFIG_TEXT
from comfreyshelf.ids import DomainId, JobId
from comfreyshelf.ledger import LedgerJob
from features.processes import separate_processes
from features.steps.job_path_steps import ZONES, publish

DOMAIN = DomainId("litoral")
WAIT_S = 60.0
# Cores of each part. The two workers of the first zone have 64 cores each, so each worker runs one
# part of either gang. Targets of the second zone start later, so that a gang can move there.
GANG_PART_CORES = {"idempotent": 40, "once": 20}
RUN_S = 8.0


def wait_for(what: str, ready: Callable[[], bool]) -> None:
    until = time.monotonic() + WAIT_S
    while not ready():
        assert time.monotonic() < until, f"no {what} within {WAIT_S} s"
        time.sleep(0.1)


def read_domain_owner(context: Context) -> str:
    return context.processes.read_ledger().state.domains[DOMAIN].owner


def wait_for_domain_owner(context: Context) -> str:
    wait_for("claim", lambda: DOMAIN in context.processes.read_ledger().state.domains)
    return read_domain_owner(context)


def other_entry(name: str) -> str:
    return "entry-1" if name == "entry-0" else "entry-0"


def caller_client(context: Context, entry: str) -> Client:
    return context.processes.client(entry, CALLER_KEY)


def submit(
    context: Context, entry: str, key: str, cores: int, idempotent: bool, run_s: float = RUN_S
) -> str:
    return caller_client(context, entry).submit(
        key=key,
        service="permit",
        kind="survey-check",
        shape={"parts": 2, "accelerators": 2, "cores": cores},
        declared_s=run_s,
        idempotent=idempotent,
        payload=msgspec.json.encode({"run_s": run_s}).decode(),
    )["id"]


def ledger_job(context: Context, gang: str) -> LedgerJob:
    return context.processes.read_ledger().state.jobs[JobId(context.gangs[gang])]


def start_gangs(context: Context, names: list[str], run_s: float = RUN_S) -> None:
    context.owner = wait_for_domain_owner(context)
    context.survivor = other_entry(context.owner)
    context.gangs = {
        name: submit(
            context, context.survivor, name, GANG_PART_CORES[name], name == "idempotent", run_s
        )
        for name in names
    }
    for gang, job in context.gangs.items():
        wait_for(
            f"start of gang {gang}",
            lambda job=job: len(context.processes.parts("started", job)) == 2,
        )
    if len(names) > 1:
        start_targets(context, ZONES[1])
    placements = {name: ledger_job(context, name).placements for name in names}
    shared = set.intersection(
        *({placement.target for placement in items} for items in placements.values())
    )
    context.target = min(shared)
    context.affected_parts = {
        name: [item.part for item in items if item.target == context.target]
        for name, items in placements.items()
    }


def start_entries(context: Context, entry: str, target: str) -> None:
    processes = context.processes
    context.target_count = 0
    context.target_settings = target
    processes.start_log()
    for index, zone in enumerate(ZONES):
        processes.start_entry(f"entry-{index}", zone, entry)


def start_targets(context: Context, zone: str, *entries: str) -> None:
    for index in range(2):
        context.processes.start_target(
            f"{zone}-{index}",
            zone,
            f"{zone}-rack",
            extra_ini=context.target_settings,
            entries=entries,
        )


@given("2 entries and 2 targets of one zone as separate processes")
def start_two_entries(context: Context) -> None:
    context.processes = context.stack.enter_context(separate_processes())
    start_entries(context, "", "")
    start_targets(context, ZONES[0])


@given("2 entries that claim a domain after {silence:d} s of silence, and slow back ends")
def start_slow_processes(context: Context, silence: int) -> None:
    context.processes = context.stack.enter_context(separate_processes())
    url = context.processes.start_runner("runner", 4.0)
    start_entries(context, f"claim_after_s = {silence}\n", f"runner_urls = permit={url}\n")


@given("the demo configuration without guarantees is published")
def publish_without_guarantees(context: Context) -> None:
    # With the guarantee, the second gang could preempt the first one, but both have to run.
    lines = DEMO_CONFIG_TEXT.splitlines(keepends=True)
    publish(context, "".join(line for line in lines if not line.startswith("guarantee")))


@when('a gang "idempotent" and a gang "once" run')
def run_both_gangs(context: Context) -> None:
    start_gangs(context, ["idempotent", "once"])


@when('a gang "idempotent" and a gang "once" run for {seconds:d} seconds')
def run_both_gangs_for(context: Context, seconds: int) -> None:
    start_gangs(context, ["idempotent", "once"], float(seconds))


@when("the owner of the domain is killed")
def kill_owner(context: Context) -> None:
    context.processes.kill(context.owner)


@when("a target that runs a part of both gangs is killed")
def kill_target(context: Context) -> None:
    context.processes.kill(context.target)


@when("a target that runs a part of both gangs is paused for {seconds:d} seconds")
def pause_target(context: Context, seconds: int) -> None:
    context.processes.signal(context.target, signal.SIGSTOP)
    time.sleep(seconds)
    context.processes.signal(context.target, signal.SIGCONT)


@when("the owner of the domain is paused until another entry has taken over")
def pause_owner(context: Context) -> None:
    context.processes.signal(context.owner, signal.SIGSTOP)
    wait_for("takeover", lambda: read_domain_owner(context) == context.survivor)
    context.processes.signal(context.owner, signal.SIGCONT)


def set_faults(context: Context, query: str) -> None:
    url = f"http://{context.processes.log_address}/faults?{query}"
    assert urllib3.request("GET", url).status == 200


@when("the log is down for {seconds:d} seconds")
def stop_log_answers(context: Context, seconds: int) -> None:
    set_faults(context, "down=yes")
    time.sleep(seconds)
    set_faults(context, "down=no")


@when("the next {count:d} answers of the log are lost")
def lose_log_answers(context: Context, count: int) -> None:
    set_faults(context, f"lost_answers={count}")


@when("a target that runs a part of both gangs gets SIGTERM")
def terminate_target(context: Context) -> None:
    context.stopped = context.target
    context.exit_status = context.processes.stop(context.target)


@when('a slow request and a gang "idempotent" run through the owner of the domain')
def run_slow_request_and_gang(context: Context) -> None:
    # The settings of the targets name only the other entry. They learn the owner's address from it,
    # and close the pipe to the owner when the owner leaves.
    start_targets(context, ZONES[0], other_entry(wait_for_domain_owner(context)))
    start_gangs(context, ["idempotent"])
    client = caller_client(context, context.owner)
    context.answers = []
    context.request = threading.Thread(
        target=lambda: context.answers.append(client.request("permit", b"slow"))
    )
    context.request.start()
    time.sleep(1.0)


@when("the owner of the domain gets SIGTERM")
def terminate_owner(context: Context) -> None:
    context.stopped = context.owner
    context.processes.signal(context.owner, signal.SIGTERM)


@then("another entry owns the domain before 90 s of silence would allow a claim")
def check_domain_handed_over(context: Context) -> None:
    wait_for("handover", lambda: read_domain_owner(context) == context.survivor)


@then("the slow request gets its full answer")
def check_slow_request_answered(context: Context) -> None:
    context.request.join(WAIT_S)
    assert context.answers == [b"wols"], context.answers


@then("the stopped process exits cleanly with all its work ended")
def check_clean_exit(context: Context) -> None:
    if context.stopped == context.owner:
        context.exit_status = context.processes.stop(context.owner)
    assert context.exit_status == 0, context.exit_status
    assert "did not end" not in context.processes.log_output(context.stopped)


def check_finished(context: Context, gang: str) -> None:
    client = caller_client(context, context.survivor)
    job = context.gangs[gang]
    view = client.job(job, wait_s=WAIT_S)
    assert view["state"] == "finished", view
    assert client.result(job).count(b";") == 2


@then('gang "{gang}" finishes with the results of all parts')
def check_gang_finishes(context: Context, gang: str) -> None:
    check_finished(context, gang)


@then("both gangs finish with the results of all parts")
def check_both_finish(context: Context) -> None:
    for gang in GANG_PART_CORES:
        check_finished(context, gang)


@then("a further gang through the resumed entry finishes with the results of all parts")
def check_further_gang(context: Context) -> None:
    context.gangs["further"] = submit(context, context.owner, "further", 2, True)
    check_finished(context, "further")


@then('gang "{gang}" ends as "{state}"')
def check_gang_state(context: Context, gang: str, state: str) -> None:
    view = caller_client(context, context.survivor).job(context.gangs[gang], wait_s=WAIT_S)
    assert view["state"] == state, view


@then('gang "{gang}" started once')
def check_started_once(context: Context, gang: str) -> None:
    rows = context.processes.parts("started", context.gangs[gang])
    assert sorted(part for _, part, _ in rows) == [0, 1], rows


@then("no old part keeps running beside a newer attempt of its job")
def check_old_parts_stopped(context: Context) -> None:
    for gang, parts in context.affected_parts.items():
        job = context.gangs[gang]
        started = [attempt for attempt, _, _ in context.processes.parts("started", job)]
        assert started == sorted(started), f"an attempt started after a newer one: {started}"
        ended = context.processes.parts("ended", job)
        for part in parts:
            assert (
                1,
                part,
                "stopped",
            ) in ended, f"part {part} of attempt 1 was not stopped: {ended}"


@then("every later attempt continues from a checkpoint")
def check_resumed_from_checkpoint(context: Context) -> None:
    for job in context.gangs.values():
        rows = context.processes.parts("started", job)
        later = [text for attempt, _, text in rows if attempt > 1]
        assert len(later) == 2, rows
        assert all(float(text.split()[1]) > 0 for text in later), rows
