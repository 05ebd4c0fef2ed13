"""The demo: entries, targets and the stand-in log in one process, on loopback."""

import hashlib
import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import msgspec

from comfreyshelf.client import Client, RefusedError
from comfreyshelf.entry import Entry
from comfreyshelf.kernel import Service
from comfreyshelf.settings import EntrySettings, StandinSettings, TargetSettings
from comfreyshelf.standin import LogStandin
from comfreyshelf.target import Target

LOOPBACK = "127.0.0.1"
OPERATOR_KEY = "camara-operations-key"
CALLER_KEY = "hidrovia-office-key"
READY_TIMEOUT_S = 30.0

DEMO_CONFIG_TEXT = f"""\
[deployment]
name = demo

[region litoral]

[zone paysandu]
region = litoral

[zone salto]
region = litoral

[service permit]

[organisation hidrovia-dragados]
weight = 2
guarantee = 1 x 8 @ worker

[caller hidrovia-office]
organisation = hidrovia-dragados
key_sha256 = {hashlib.sha256(CALLER_KEY.encode()).hexdigest()}

[operator camara-operations]
key_sha256 = {hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()}
"""


def free_address() -> str:
    """An unused loopback address as `ip:port`."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return f"{LOOPBACK}:{probe.getsockname()[1]}"


class Deployment:
    """Entries, targets and the stand-in log, all run in this process."""

    def __init__(self, entries: int = 2, targets: int = 3, zones: tuple[str, ...] = ()) -> None:
        zones = zones or ("paysandu", "salto")
        log_address = free_address()
        self.log = LogStandin(StandinSettings(log_address))
        self.entry_settings = [
            EntrySettings(
                f"entry-{index}",
                zones[index % len(zones)],
                free_address(),
                free_address(),
                f"http://{log_address}",
                shutdown_notice_s=0.1,
            )
            for index in range(entries)
        ]
        pipes = tuple(cfg.pipe_address for cfg in self.entry_settings)
        self.target_settings = [
            TargetSettings(
                f"target-{index}",
                zones[index % len(zones)],
                f"{zones[index % len(zones)]}-rack-{index // 6}",
                pipes,
                services=("permit",),
                status_interval_s=0.5,
                shutdown_grace_s=5.0,
            )
            for index in range(targets)
        ]
        self.entries = [Entry(cfg) for cfg in self.entry_settings]
        self.targets = [Target(cfg) for cfg in self.target_settings]

    def client(self, key: str, entry: int = 0) -> Client:
        """A client of one entry."""
        return Client(self.entry_settings[entry].http_address, key)

    @contextmanager
    def run(self) -> Iterator["Deployment"]:
        """Start everything and stop it in reverse order."""
        with ExitStack() as stack:
            services: list[Service] = [self.log, *self.entries, *self.targets]
            for service in services:
                service.start()
                stack.callback(service.stop)
            for entry in self.entries:
                entry.wait_ready(READY_TIMEOUT_S)
            yield self


def wait_for_targets(client: Client, count: int, version: int) -> None:
    """Wait until `count` targets have `version` in force; raises TimeoutError."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        ready = [target for target in client.targets() if target["version"] >= version]
        if len(ready) >= count:
            return
        time.sleep(0.1)
    raise TimeoutError(f"fewer than {count} targets have version {version} in force")


def wait_for_empty(client: Client, target: str) -> float:
    """Wait until a leaving target is empty; returns the duration in seconds."""
    started = time.monotonic()
    while time.monotonic() - started < READY_TIMEOUT_S:
        if any(view["target"] == target and view["state"] == "empty" for view in client.drains()):
            return time.monotonic() - started
        time.sleep(0.1)
    raise TimeoutError(f"target {target} is not empty after {READY_TIMEOUT_S:g} s")


def run_demo() -> None:
    """Run a gang, concurrent publications and a drain on loopback, and print each step."""
    with Deployment().run() as deployment:
        operator = deployment.client(OPERATOR_KEY)
        caller = deployment.client(CALLER_KEY, entry=1)
        print(f"published configuration version {operator.publish(DEMO_CONFIG_TEXT, 0)['version']}")
        wait_for_targets(operator, 3, 1)
        _run_gang(caller)
        _publish_conflict(operator)
        _scrap_target(operator, caller)


def _run_gang(caller: Client) -> None:
    started = time.monotonic()
    payload = msgspec.json.encode({"run_s": 0.2}).decode()
    job = caller.submit(
        key="survey-1",
        service="permit",
        kind="survey-check",
        shape={"parts": 4, "accelerators": 2},
        declared_s=1.0,
        payload=payload,
    )
    resubmitted = caller.submit(
        key="survey-1",
        service="permit",
        kind="survey-check",
        shape={"parts": 4, "accelerators": 2},
        declared_s=1.0,
        payload=payload,
    )
    print(
        f"accepted gang {job['id'][:8]} of 4 parts; a resubmission is the same job: "
        f"{resubmitted['id'] == job['id']}"
    )
    view = caller.job(job["id"], wait_s=30.0)
    result = caller.result(job["id"])
    print(
        f"gang is {view['state']} after {time.monotonic() - started:.2f} s; "
        f"result of {len(result)} bytes, digest verified"
    )
    print(f"short request answered: {caller.request('permit', b'abc').decode()}")


def _publish_conflict(operator: Client) -> None:
    operator.publish(DEMO_CONFIG_TEXT + "\n# first change\n", 1)
    try:
        operator.publish(DEMO_CONFIG_TEXT + "\n# concurrent change\n", 1)
    except RefusedError as exc:
        print(f"concurrent publication was refused: {exc.message}")


def _scrap_target(operator: Client, caller: Client) -> None:
    payload = msgspec.json.encode({"run_s": 1.0}).decode()
    jobs = [
        caller.submit(
            key=f"model-{index}",
            service="permit",
            kind="erosion-model",
            shape={"parts": 1, "accelerators": 8, "adjacency": "worker"},
            declared_s=1.0,
            payload=payload,
        )["id"]
        for index in range(3)
    ]
    time.sleep(0.5)
    text = DEMO_CONFIG_TEXT + "\n[target target-0]\nscrap = yes\n"
    version = operator.publish(text, 2)["version"]
    print(f"published version {version}, which scraps target-0")
    seconds = wait_for_empty(operator, "target-0")
    states = {caller.job(job, wait_s=30.0)["state"] for job in jobs}
    print(f"target-0 is empty after {seconds:.2f} s; jobs that ran meanwhile: {sorted(states)}")
