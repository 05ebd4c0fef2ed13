"""Steps for stand-in workers, runners over HTTP and the metrics endpoint."""

import queue
import tempfile
import time
from pathlib import Path

import msgspec
import urllib3
from behave import then, when
from behave.runner import Context

from comfreyshelf.demo import free_address
from comfreyshelf.ids import Attempt, Epoch, JobId, TargetId
from comfreyshelf.messages import Status
from comfreyshelf.metrics import Metrics
from comfreyshelf.model import Job, PartState, Placement
from comfreyshelf.runner import HttpRunner, StandinRunnerServer
from comfreyshelf.settings import RunnerStandinSettings, TargetSettings
from comfreyshelf.target import EntryMessageReceived, Target
from comfreyshelf.transport import Hub, Link
from comfreyshelf.worker import PartExit, StandinWorker, WorkerFault
from features.steps.agent_steps import make_reserve, new_agent

PLACEMENT = Placement(0, TargetId("target-0"), 1)
FIRST_ATTEMPT = Attempt(1)
JOB = JobId("a")


def make_job(run_s: float) -> Job:
    payload = msgspec.json.encode({"run_s": run_s})
    return msgspec.structs.replace(make_reserve("a", {}).job, payload=payload)


def collect_exits(worker: StandinWorker) -> "queue.Queue[PartExit]":
    exits: queue.Queue[PartExit] = queue.Queue()
    worker.on_exit = exits.put
    return exits


@when("a part of 0.6 s is stopped at a checkpoint after 0.4 s and started on another worker")
def move_part(context: Context) -> None:
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    first, second = StandinWorker(folder=folder), StandinWorker(folder=folder)
    exits = collect_exits(first)
    first.start_part(make_job(0.6), FIRST_ATTEMPT, PLACEMENT)
    time.sleep(0.4)
    first.stop_part(JOB, FIRST_ATTEMPT, 0, True)
    stopped = exits.get(timeout=10.0)
    assert stopped.state is PartState.STOPPED, stopped
    assert stopped.checkpointed, stopped
    exits = collect_exits(second)
    second.start_part(make_job(0.6), Attempt(2), PLACEMENT)
    context.exit = exits.get(timeout=10.0)


@then("it finishes there in less than 0.5 s")
def check_moved_part(context: Context) -> None:
    assert context.exit.state is PartState.FINISHED, context.exit
    assert context.exit.run_s < 0.5, context.exit


@when("a part runs throttled to 0.5 on a worker whose usage lags by 0.3 s")
def run_throttled(context: Context) -> None:
    worker = StandinWorker(usage_lag_s=0.3)
    context.stack.callback(worker.close)
    worker.start_part(make_job(60.0), FIRST_ATTEMPT, PLACEMENT)
    worker.throttle_part(JOB, FIRST_ATTEMPT, 0, 0.5)
    context.early = worker.usage()
    time.sleep(0.4)
    context.late = worker.usage()


@then("no usage is reported at first, and 0.5 after the lag")
def check_usage_lag(context: Context) -> None:
    assert context.early == [], context.early
    assert [usage.busy for usage in context.late] == [0.5], context.late


@then("a worker that fails everything fails a part and its probe")
def check_worker_fails_everything(context: Context) -> None:
    worker = StandinWorker(fault=WorkerFault.FAILS_EVERYTHING)
    exits = collect_exits(worker)
    worker.start_part(make_job(0.0), FIRST_ATTEMPT, PLACEMENT)
    assert exits.get(timeout=10.0).state is PartState.FAILED
    assert not worker.probe()


@then("a worker that ignores stops finishes a part that was told to stop")
def check_worker_ignores_stops(context: Context) -> None:
    worker = StandinWorker(fault=WorkerFault.IGNORES_STOPS)
    exits = collect_exits(worker)
    worker.start_part(make_job(0.2), FIRST_ATTEMPT, PLACEMENT)
    worker.stop_part(JOB, FIRST_ATTEMPT, 0, False)
    assert exits.get(timeout=10.0).state is PartState.FINISHED


@then("a back end over HTTP answers a request and its failures raise typed errors")
def check_back_end(context: Context) -> None:
    address = free_address()
    standin = StandinRunnerServer(RunnerStandinSettings(address, 0.3))
    standin.start()
    runner = HttpRunner(f"http://{address}/")
    assert runner.call(b"abc", 10.0) == b"cba"
    calls = standin.resource.calls
    for url, timeout_s, expected in (("", 0.05, TimeoutError), ("missing/x", 10.0, OSError)):
        expect_error(HttpRunner(f"http://{address}/{url}"), timeout_s, expected)
    assert standin.resource.calls <= calls + 1, "a failed request was sent twice"
    standin.stop()
    expect_error(runner, 10.0, OSError)


def expect_error(runner: HttpRunner, timeout_s: float, expected: type[Exception]) -> None:
    try:
        answer = runner.call(b"abc", timeout_s)
    except expected:
        return
    raise AssertionError(f"answered {answer!r} instead of {expected.__name__}")


@then("a target process with a metrics address serves a count of refused messages there")
def check_refusal_in_metrics(context: Context) -> None:
    address = free_address()
    entries = (free_address(),)
    cfg = TargetSettings(
        "target-0", "z", "r", entries, status_interval_s=0.2, metrics_address=address
    )
    target = Target(cfg)
    target.start()
    context.stack.callback(target.stop)
    # The target has received no Welcome with this epoch, so it refuses the reservation.
    stale = msgspec.structs.replace(make_reserve("a", {}), epoch=Epoch(7))
    target.task.send(EntryMessageReceived("", stale))
    shown = 'comfreyshelf_refusals{reason="old_epoch"} 1'
    until = time.monotonic() + 30.0
    while shown not in (text := read_metrics(address)):
        assert time.monotonic() < until, text
        time.sleep(0.1)


def read_metrics(address: str) -> str:
    return urllib3.request("GET", f"http://{address}/metrics").data.decode()


@then("an entry drops the statuses of an old incarnation while the new one is connected")
def check_old_incarnation_dropped(context: Context) -> None:
    address = free_address()
    received: queue.Queue[Status] = queue.Queue()
    hub = Hub(address, Metrics(), lambda _, message: received.put(message))
    links = [Link(address, Metrics(), lambda _, message: None) for _ in range(2)]
    for service in (hub, *links):
        service.start()
        context.stack.callback(service.stop)
    status = new_agent(6.0).status(0.0)
    seen = []
    for link, incarnation in ((links[0], 1), (links[1], 2), (links[0], 1), (links[1], 2)):
        info = msgspec.structs.replace(status.worker, incarnation=incarnation)
        while not link.send(msgspec.structs.replace(status, worker=info)):
            time.sleep(0.05)
        if len(seen) != 2 or link is links[1]:
            seen.append(received.get(timeout=10.0).worker.incarnation)
        else:
            # Gives the old status time to arrive. A status that takes longer hides a fault, but
            # cannot make a correct hub fail the test.
            time.sleep(0.3)
    assert seen == [1, 2, 2], seen
