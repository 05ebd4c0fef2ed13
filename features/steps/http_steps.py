"""Steps for the callers' HTTP interface of a deployment in this process."""

import contextlib
import hashlib
import http.client
import json
import socket
import threading
import time

import msgspec
import urllib3
from behave import given, then, when
from behave.runner import Context
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as for_all

from comfreyshelf import front, web
from comfreyshelf.client import Client, RefusedError, UnreachableError
from comfreyshelf.demo import (
    CALLER_KEY,
    DEMO_CONFIG_TEXT,
    OPERATOR_KEY,
    Deployment,
    wait_for_targets,
)
from comfreyshelf.errors import Execution
from comfreyshelf.log import Page
from comfreyshelf.reasons import RefusalReason

OTHER_KEY = "balseros-desk-key"
TEXT = (
    DEMO_CONFIG_TEXT.replace("weight = 2", "weight = 2\nrate = 100000\nburst = 100000")
    .replace(
        "organisation = hidrovia-dragados",
        "organisation = hidrovia-dragados\nrate = 100000\nburst = 100000",
    )
    .replace("[service permit]", "[service permit]\ntimeout_s = 8")
    + "\n[organisation cooperativa-balseros]\n[caller balseros-desk]\n"
    + "organisation = cooperativa-balseros\nmax_queued = 2\n"
    + f"key_sha256 = {hashlib.sha256(OTHER_KEY.encode()).hexdigest()}\n"
)
JOB = {
    "key": "k",
    "service": "permit",
    "kind": "check",
    "shape": {"parts": 1, "accelerators": 1},
    "payload": '{"run_s": 0.05}',
}
REQUESTS = "/v1/services/permit/requests"


@given("a deployment in this process")
def start_deployment(context: Context) -> None:
    context.deployment = context.stack.enter_context(Deployment(2, 2).run())
    context.operator = context.deployment.client(OPERATOR_KEY)
    context.operator.publish(TEXT, 0)
    wait_for_targets(context.operator, 2, 1)
    context.address = context.deployment.entry_settings[0].http_address
    context.caller = context.deployment.client(CALLER_KEY)
    until = time.monotonic() + 10.0
    while context.deployment.entries[1].front.config.version < 1:
        assert time.monotonic() < until
        time.sleep(0.02)
    while len(context.deployment.entries[1].hub.targets()) < 2:
        assert time.monotonic() < until
        time.sleep(0.02)


@given("the second entry reads the log half a second late")
def delay_second_reader(context: Context) -> None:
    reader = context.deployment.entries[1].reader
    process_page = reader._process_page

    def process_late(page: Page) -> None:
        if page.items:
            time.sleep(0.5)
        process_page(page)

    reader._process_page = process_late


@when("a job is submitted at the first entry")
def submit_at_first_entry(context: Context) -> None:
    context.job = context.caller.submit(**JOB)["id"]


@then("the second entry knows the job at once, by its id and by its key")
def second_entry_knows_job(context: Context) -> None:
    second = context.deployment.client(CALLER_KEY, entry=1)
    assert second.job(context.job)["id"] == context.job
    other = context.caller.submit(**JOB | {"key": "other"})["id"]
    assert second.job_by_key("other")["id"] == other


@then("the second entry cancels another such job")
def second_entry_cancels_job(context: Context) -> None:
    job = context.caller.submit(**JOB | {"key": "third"})["id"]
    context.deployment.client(CALLER_KEY, entry=1).cancel([job])


def send(context, method: str, path: str, body=b"", key: str = CALLER_KEY, **headers: str):
    """Send one request and return the status, headers and body of the answer."""
    conn = http.client.HTTPConnection(context.address, timeout=30)
    with contextlib.closing(conn):
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        conn.request(method, path, body, {"Authorization": f"Bearer {key}", **named})
        answer = conn.getresponse()
        return answer.status, answer.headers, answer.read()


def send_raw(context, data: bytes) -> tuple[int, bytes]:
    """Send bytes that no HTTP client would and return the status and body of the answer."""
    host, port = context.address.split(":")
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(data)
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        return answer.status, answer.read()


def check_refusal(status: int, expected: int, body: bytes, reason: str, what: object) -> None:
    assert status == expected, (what, status, body)
    refusal = json.loads(body)
    assert refusal["reason"] == reason, (what, refusal)
    assert refusal["execution"] == "not_run" and refusal["message"] and refusal["remedy"], refusal
    assert b"Traceback" not in body, body


def make_job_body(**changes: object) -> bytes:
    return json.dumps(JOB | changes).encode()


BAD_JOBS = (
    (b"{", 400, "malformed"),
    (b"\xff\xfe", 400, "malformed"),
    (b"[" * 100_000, 400, "malformed"),
    (b"null", 400, "malformed"),
    (make_job_body(extra=1), 400, "malformed"),
    (make_job_body(key=""), 400, "malformed"),
    (make_job_body(key=7), 400, "malformed"),
    (make_job_body(declared_s=-1), 400, "malformed"),
    (make_job_body(declared_s=float("nan")), 400, "malformed"),
    (make_job_body(declared_s=float("inf")), 400, "malformed"),
    (make_job_body(declared_s=1e300), 400, "malformed"),
    (make_job_body(deadline_s=-1), 400, "malformed"),
    (make_job_body(urgency="now"), 400, "malformed"),
    (make_job_body(shape={"parts": 0, "accelerators": 1}), 400, "malformed"),
    (make_job_body(shape={"parts": 10**30, "accelerators": 1}), 400, "malformed"),
    (make_job_body(shape={"parts": 1, "accelerators": 1, "x": 1}), 400, "malformed"),
    (make_job_body(shape={"parts": 513, "accelerators": 1}), 422, "never_fits"),
    (make_job_body(service="none"), 404, "unknown_service"),
    (make_job_body(payload="x" * 65537), 413, "too_large"),
    (b" " * 600_000, 413, "too_large"),
    (b" " * 3_000_000, 413, "too_large"),
)
BAD_CALLS = (
    ("PUT", "/v1/jobs", b"", 405, "malformed"),
    ("GET", "/v1/jobs", b"", 400, "malformed"),
    ("GET", "/v1/cancellations", b"", 405, "malformed"),
    ("DELETE", REQUESTS, b"", 405, "malformed"),
    ("POST", "/health", b"", 405, "malformed"),
    ("GET", "/nowhere", b"", 404, "unknown"),
    ("GET", "/v1/jobs/none", b"", 404, "unknown"),
    ("GET", "/v1/jobs/none?wait_s=nan", b"", 400, "malformed"),
    ("GET", "/v1/jobs/none?other=1", b"", 404, "unknown"),
    ("GET", "/v1/jobs/none/result", b"", 404, "unknown"),
    ("POST", "/v1/cancellations", b'{"jobs": []}', 400, "malformed"),
    ("POST", "/v1/cancellations", b'{"jobs": ["none"]}', 404, "unknown"),
    ("POST", "/v1/services/none/requests", b"x", 404, "unknown_service"),
    ("POST", REQUESTS, b"x" * 65537, 413, "too_large"),
    ("GET", "/v1/config", b"", 401, "unauthorised"),
)


@then("each kind of bad input gets its status and a JSON refusal")
def check_bad_input_refused(context: Context) -> None:
    for body, expected, reason in BAD_JOBS:
        for shape in (body, iter([body])):  # an iterator is sent in chunks, without a length
            status, _, answer = send(context, "POST", "/v1/jobs", shape)
            check_refusal(status, expected, answer, reason, body[:80])
    for method, path, body, expected, reason in BAD_CALLS:
        status, _, answer = send(context, method, path, body)
        check_refusal(status, expected, answer, reason, (method, path))
    for header in ({"Deadline_Ms": "x"}, {"Idempotent": "maybe"}, {"Digest": "sha-256=0"}):
        status, _, answer = send(context, "POST", REQUESTS, b"x", **header)
        check_refusal(status, 400, answer, "malformed", header)
    status, headers, answer = send(context, "POST", "/v1/jobs", make_job_body(), key="wrong")
    check_refusal(status, 401, answer, "unauthorised", "wrong key")
    assert headers["WWW-Authenticate"] == "Bearer"
    auth = f"Authorization: Bearer {CALLER_KEY}\r\n".encode()
    for head, expected, reason in (
        (b"POST /v1/jobs HTTP/1.1\r\nContent-Length: x\r\n", 400, "malformed"),
        (b"POST /v1/jobs HTTP/1.1\r\nContent-Length: -5\r\n", 400, "malformed"),
        (b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 9999999\r\n", 413, "too_large"),
        (b"POST /v1/jobs HTTP/1.1\r\n", 411, "malformed"),
        (b"GARBAGE\r\n", 400, "malformed"),
        (b"GET /" + b"x" * 100_000 + b" HTTP/1.1\r\n", 414, "too_large"),
    ):
        status, answer = send_raw(context, head + b"Host: x\r\n" + auth + b"\r\n")
        check_refusal(status, expected, answer, reason, head[:60])


@then("bodies that hypothesis generates never get an internal error")
def check_generated_bodies(context: Context) -> None:
    values = strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.floats()
        | strategies.text(max_size=20),
        lambda inner: strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=3),
        max_leaves=8,
    )
    fields = strategies.sampled_from([*JOB, "declared_s", "urgency", "jobs", "base", "text"])
    changed = strategies.dictionaries(fields, values, min_size=1, max_size=3)
    bodies = strategies.binary(max_size=200) | changed.map(
        # A job that is valid by chance would be accepted, so one field is always wrong.
        lambda change: json.dumps(JOB | change | {"idempotent": 3}).encode()
    )
    paths = strategies.sampled_from(["/v1/jobs", "/v1/cancellations", "/v1/config"])

    @settings(
        max_examples=150,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @for_all(paths, bodies)
    def check(path: str, body: bytes) -> None:
        key = OPERATOR_KEY if path == "/v1/config" else CALLER_KEY
        status, _, answer = send(context, "POST", path, body, key)
        assert 400 <= status < 500, (path, body, status, answer)
        assert json.loads(answer)["execution"] == "not_run", answer

    check()


@then("no job was accepted by any of them")
def check_no_job_accepted(context: Context) -> None:
    context.deployment.entries[0].reader.wait_until(lambda _: False, 0.3)
    assert not context.deployment.entries[0].reader.ledger.state.jobs
    job = context.caller.submit(**JOB)
    for path, method in ((f"/v1/jobs/{job['id']}", "GET"), (f"/v1/jobs/{job['id']}", "DELETE")):
        status, _, answer = send(context, method, path, key=OTHER_KEY)
        check_refusal(status, 404, answer, "unknown", "another organisation's job")
    assert context.caller.wait(job["id"], 20.0)["state"] == "finished"
    assert context.deployment.entries[0].metrics.value('refusals{reason="internal"}') == 0


@then("a sender of one byte at a time is cut off and its thread is free")
def check_slow_sender_cut_off(context: Context) -> None:
    default_s, web.REQUEST_RECEIVE_TIMEOUT_S = web.REQUEST_RECEIVE_TIMEOUT_S, 1.0
    context.stack.callback(setattr, web, "REQUEST_RECEIVE_TIMEOUT_S", default_s)
    host, port = context.address.split(":")
    head = f"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {CALLER_KEY}\r\n"
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(f"{head}Content-Length: 500\r\n\r\n".encode())
        started = time.monotonic()
        with contextlib.suppress(OSError):
            while time.monotonic() - started < 1.5:
                sock.sendall(b" ")
                time.sleep(0.1)
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        check_refusal(answer.status, 408, answer.read(), "slow_sender", "slow body")


@then("a caller above its queue or rate limit gets 429 with Retry-After")
def check_limits_give_429(context: Context) -> None:
    never_placed = {"shape": {"parts": 100, "accelerators": 8}}
    answers = [
        send(context, "POST", "/v1/jobs", make_job_body(key=f"q{index}", **never_placed), OTHER_KEY)
        for index in range(3)
    ]
    assert [answer[0] for answer in answers] == [202, 202, 429], answers
    # The bucket refills with time, so on a slow machine the real clock would never let it run out.
    now = front.clock()
    context.stack.callback(setattr, front, "clock", front.clock)
    front.clock = lambda: now
    answers += [send(context, "POST", REQUESTS, b"x", OTHER_KEY) for _ in range(130)]
    for answer, reason in ((answers[2], "queue_full"), (answers[-1], "rate_limit")):
        check_refusal(answer[0], 429, answer[2], reason, "limits")
        assert int(answer[1]["Retry-After"]) > 0


@then("an overloaded entry refuses more work with shed but answers health checks")
def check_busy_entry_refuses_requests(context: Context) -> None:
    default, front.MAX_IN_FLIGHT_REQUESTS = front.MAX_IN_FLIGHT_REQUESTS, 0
    context.stack.callback(setattr, front, "MAX_IN_FLIGHT_REQUESTS", default)
    status, headers, answer = send(context, "POST", REQUESTS, b"x")
    check_refusal(status, 429, answer, "shed", "busy entry")
    assert int(headers["Retry-After"]) > 0
    assert send(context, "GET", "/health")[0] == 200


@then("a resubmission is answered by the same entry and refused as may_have_run by the other")
def check_resubmission_runs_once(context: Context) -> None:
    other = context.deployment.client(CALLER_KEY, 1)
    runners = [target.runners["permit"] for target in context.deployment.targets]
    context.count_calls = lambda: sum(runner.calls for runner in runners)
    before = context.count_calls()
    for _ in range(2):
        answer = context.caller.request("permit", b"abc", idempotent=False, key="once")
        assert answer == b"cba"
    refusal = get_refusal(lambda: other.request("permit", b"abc", idempotent=False, key="once"))
    assert refusal.execution is Execution.MAY_HAVE_RUN
    other_body = get_refusal(
        lambda: context.caller.request("permit", b"xyz", idempotent=False, key="once")
    )
    assert other_body.reason is RefusalReason.KEY_CONFLICT
    assert context.count_calls() == before + 1, "the request ran more than once"


def get_refusal(call):
    try:
        call()
    except RefusedError as exc:
        return exc.refusal
    raise AssertionError("the call was not refused")


@then("with the log down a keyed request is refused with log_down as not run")
def check_keyed_request_refused_without_log(context: Context) -> None:
    before = context.count_calls()
    context.deployment.log.log.down = True
    until = time.monotonic() + 10.0
    while context.deployment.entries[0].reader.log_up and time.monotonic() < until:
        time.sleep(0.05)
    refusal = get_refusal(
        lambda: context.caller.request("permit", b"abc", idempotent=False, key="down")
    )
    assert refusal.reason is RefusalReason.LOG_DOWN and refusal.retry_after_s > 0
    assert refusal.execution is Execution.NOT_RUN and context.count_calls() == before
    context.deployment.log.log.down = False


@then("a deadline is carried to the runner and never exceeds the service's timeout")
def check_deadline_reaches_runner(context: Context) -> None:
    seen = []
    for target in context.deployment.targets:
        runner = target.runners["permit"]
        runner.call = lambda body, timeout_s: seen.append(timeout_s) or body
    for deadline_ms in (1500, 999_999):
        context.caller.request("permit", b"x", deadline_ms=deadline_ms)
    assert 1.0 < seen[0] <= 1.5 and 7.0 < seen[1] <= 8.0, seen
    assert (
        get_refusal(lambda: context.caller.request("permit", b"x", deadline_ms=1e-9)).reason
        is RefusalReason.DEADLINE_PASSED
    )


@when("the entry of a waiting caller stops")
def stop_waiting_callers_entry(context: Context) -> None:
    settings_ = context.deployment.entry_settings
    client = Client(settings_[0].http_address, CALLER_KEY, others=[settings_[1].http_address])
    job = client.submit(**JOB | {"payload": '{"run_s": 3}'})
    context.views = []
    waiter = threading.Thread(target=lambda: context.views.append(client.wait(job["id"], 30.0)))
    waiter.start()
    time.sleep(0.3)
    context.deployment.entries[0].stop()
    waiter.join()
    context.length = len(client.result(job["id"]))


@then("the caller has the result through the other entry")
def check_caller_has_result(context: Context) -> None:
    assert context.views[0]["state"] == "finished", context.views
    assert context.views[0]["length"] == context.length


class Balancer:
    """A load balancer that checks entries each 0.4 s and chooses the first healthy one."""

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses
        self._healthy = list(addresses)
        self.seen_unhealthy = False
        self.status_page = ""
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def choose(self) -> str:
        return self._healthy[0]

    def close(self) -> None:
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        pool = urllib3.PoolManager(retries=False, timeout=1.0)
        while not self._stopping.wait(0.4):
            healthy = []
            for address in self._addresses:
                with contextlib.suppress(urllib3.exceptions.HTTPError):
                    status = pool.request("GET", f"http://{address}/health").status
                    self.seen_unhealthy |= status == 503
                    healthy += [address] if status == 200 else []
                    if status == 503:
                        page = pool.request("GET", f"http://{address}/status")
                        self.status_page = page.data.decode()
            self._healthy = healthy or self._healthy


def send_requests(context: Context, balancer: Balancer, until: float) -> None:
    """Send requests through the load balancer until `until` and record each outcome."""
    clients = {
        cfg.http_address: Client(cfg.http_address, CALLER_KEY)
        for cfg in context.deployment.entry_settings
    }
    while time.monotonic() < until:
        try:
            clients[balancer.choose()].request("permit", b"abc", idempotent=False)
            context.outcomes.append("answered")
        except RefusedError as exc:
            context.outcomes.append(exc.refusal.reason.value)
        except UnreachableError:
            context.outcomes.append("cut")


@when("an entry with slow requests is stopped {how} its drain")
def stop_entry(context: Context, how: str) -> None:
    entry = context.deployment.entries[0]
    if how == "without":
        entry.web.drain = lambda notice_s, grace_s: True
    entry._cfg = msgspec.structs.replace(entry._cfg, shutdown_notice_s=1.0)
    for target, delay_s in zip(context.deployment.targets, (0.6, 0.05), strict=True):
        target.runners["permit"].delay_s = delay_s
    context.outcomes = []
    addresses = [cfg.http_address for cfg in context.deployment.entry_settings]
    context.balancer = Balancer(addresses)
    context.stack.callback(context.balancer.close)
    until = time.monotonic() + 3.0
    threads = [
        threading.Thread(target=send_requests, args=(context, context.balancer, until))
        for _ in range(6)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.7)
    entry.stop()
    for thread in threads:
        thread.join()


@then("no request was cut and new work was refused with shutting_down")
def check_no_request_cut(context: Context) -> None:
    assert set(context.outcomes) <= {"answered", "shutting_down"}, context.outcomes
    assert context.outcomes.count("answered") > 20 and "shutting_down" in context.outcomes


@then("the status page and health check showed that it was stopping")
def check_status_shows_stopping(context: Context) -> None:
    assert context.balancer.seen_unhealthy
    page = context.balancer.status_page
    for text in ("stopping; configuration version 1", "litoral", "target-1", "shutting_down"):
        assert text in page, page


@then("requests were cut")
def check_requests_cut(context: Context) -> None:
    assert "cut" in context.outcomes, context.outcomes
