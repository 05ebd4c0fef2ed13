"""The processes of one soak: real entries and targets, stand-ins for the store and the runners."""

import copy
import json
import os
import signal
import subprocess
import sys
import threading
import time
from contextlib import ExitStack
from pathlib import Path

from comfreyshelf.fleet.web import Call, Reply, WebServer
from features.platform_standins import CONFIG
from features.soak.history import History
from features.soak.proxy import Proxy
from features.soak.runner import SoakRunner
from features.soak.store import SoakStore

ROOT = Path(__file__).resolve().parent.parent.parent
STORE_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT, PIPE_PORT, RUNNER_PORT = range(7001, 7007)
# Target processes reach the pipes of entries through links at this port.
PIPE_LINK_PORT = 7010
# A process that has not ended this long after SIGTERM is killed.
GRACE_S = 6.0
STORE_THREADS = 64
BOUNDS = {"hold-max-ms": 3000, "stop-grace-ms": 200, "grace_s": 6, "status_s": 600}


class Member:
    """One entry or target process with its link to the store; it keeps its address."""

    def __init__(self, name: str, role: str, ip: str, folder: Path, link: Proxy) -> None:
        self.name, self.role, self.ip = name, role, ip
        self.link = link
        # From the target processes to an entry.
        self.pipe_link: Proxy | None = None
        self.starts = 0
        self._log = (folder / f"{name}.log").open("ab")
        self._settings = folder / f"{name}.json"
        self._process: subprocess.Popen[bytes] | None = None
        self._lock = threading.Lock()

    def write_settings(self, seeds: list[str], runner_address: str) -> None:
        """Write the settings file that the process reads at its start and on SIGHUP."""
        fields = {
            "node-name": self.name,
            "zone": "z",
            "ip": self.ip,
            "platform": {"address": self.link.address},
            "listen": {
                "control": f"{self.ip}:{CONTROL_PORT}",
                "front": f"{self.ip}:{FRONT_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
            },
            "port-range": [PIPE_PORT, PIPE_PORT],
            "seed-nodes": seeds,
            "app": runner_address,
            "bounds": BOUNDS,
        }
        self._settings.write_text(json.dumps(fields), encoding="utf-8")

    @property
    def links(self) -> list[Proxy]:
        """All links of the process but that to its runner."""
        return [self.link, self.pipe_link] if self.pipe_link is not None else [self.link]

    def start(self) -> None:
        """Start the process, unless it runs."""
        with self._lock:
            if self._process is not None and self._process.poll() is None:
                return
            self.starts += 1
            self._process = subprocess.Popen(
                [sys.executable, "-m", "comfreyshelf.fleet", self.role],
                cwd=ROOT,
                env=os.environ | {"COMFREYSHELF_CONFIG": str(self._settings)},
                stdout=self._log,
                stderr=self._log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def end(self, number: signal.Signals) -> None:
        """End the process by a signal and wait for it."""
        process = self._process
        if process is None:
            return
        self.send_signal(number)
        try:
            process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def ended_by_itself(self) -> bool:
        """Whether the process has ended although nobody told it to."""
        return self._process is not None and self._process.poll() is not None

    def close(self) -> None:
        """Kill the process and close its log."""
        self.send_signal(signal.SIGCONT)
        self.end(signal.SIGKILL)
        self._log.close()


class SoakFleet:
    """All processes and stand-ins of one soak; an exit stack closes them.

    With `has_isolation` entries know no peers, so that none reaches the store through another one,
    and an entry can be cut off from the store and the target processes.
    """

    def __init__(
        self,
        stack: ExitStack,
        folder: Path,
        entries: int,
        targets: int,
        history: History,
        has_isolation: bool = False,
    ) -> None:
        # Soaks that run at the same time use other loopback addresses.
        self._network = f"127.{2 + os.getpid() // 250 % 250}.{os.getpid() % 250}"
        self._next_host = 1
        self._stack = stack
        self._folder = folder
        store_address = f"{self._new_ip()}:{STORE_PORT}"
        self.store = SoakStore(store_address, STORE_THREADS)
        self.config = copy.deepcopy(CONFIG)
        self.keys = {"key"}
        self.publish_keys()
        self.store.server.start()
        stack.callback(self.store.server.stop)
        self.entries = [self._member(f"entry-{n}", "entry", store_address) for n in range(entries)]
        target_store_address = self._serve_targets()
        for entry in self.entries:
            pipe_link = Proxy(f"{entry.ip}:{PIPE_LINK_PORT}", f"{entry.ip}:{PIPE_PORT}")
            stack.callback(pipe_link.stop)
            entry.pipe_link = pipe_link
        self.targets = [
            self._member(f"target-{n}", "target", target_store_address) for n in range(targets)
        ]
        self.runners: list[SoakRunner] = []
        self.runner_links: list[Proxy] = []
        seeds = [f"{member.ip}:{CONTROL_PORT}" for member in self.entries[:3]]
        for member in self.entries:
            member.write_settings([] if has_isolation else seeds, "")
        for member in self.targets:
            runner_address, link_address = (f"{member.ip}:{RUNNER_PORT + n}" for n in (0, 1))
            link = Proxy(link_address, runner_address)
            stack.callback(link.stop)
            control_address = f"{member.ip}:{CONTROL_PORT}"
            runner = SoakRunner(member.name, runner_address, link, control_address, history)
            runner.server.start()
            stack.callback(runner.stop)
            self.runners.append(runner)
            self.runner_links.append(link)
            member.write_settings(seeds, link_address)
        for member in self.members:
            member.start()
            stack.callback(member.close)

    @property
    def members(self) -> list[Member]:
        """All processes."""
        return self.entries + self.targets

    def _new_ip(self) -> str:
        self._next_host += 1
        # With some hundred processes one network does not suffice.
        base, _, last = self._network.rpartition(".")
        return f"{base}.{(int(last) + self._next_host // 250) % 255}.{self._next_host % 250 + 1}"

    def _member(self, name: str, role: str, store_address: str) -> Member:
        ip = self._new_ip()
        link = Proxy(f"{ip}:{STORE_PORT}", store_address)
        self._stack.callback(link.stop)
        return Member(name, role, ip, self._folder, link)

    def _serve_targets(self) -> str:
        """Serve the store to target processes at an address of its own, which is returned.

        The names of members, which state the addresses of their pipes, name the links there.
        """
        pipe, link = f":{PIPE_PORT}/".encode(), f":{PIPE_LINK_PORT}/".encode()

        def handle(call: Call) -> Reply:
            reply = self.store.handle(call)
            if not call.path.endswith("/log-owners"):
                return reply
            return Reply(reply.status, reply.body.replace(pipe, link))

        address = f"{self._new_ip()}:{STORE_PORT}"
        server = WebServer(address, STORE_THREADS, handle, lambda: 4 << 20)
        server.start()
        self._stack.callback(server.stop)
        return address

    @property
    def leader(self) -> Member | None:
        """The entry that leads, None if there is none."""
        name = self.store.leader
        return next((entry for entry in self.entries if entry.name == name), None)

    def publish_keys(self) -> None:
        """Publish a configuration with the present keys, as the operator does."""
        self.config["version"] += 1
        self.config["tenants"][0]["api-keys"] = sorted(self.keys)
        self.store.put("keyed.op", "config", json.dumps(self.config).encode())

    def wait_until_serving(self, timeout_s: float) -> None:
        """Wait until an entry owns the schedule and each target has reported to it once."""
        give_up_at = time.monotonic() + timeout_s
        while time.monotonic() < give_up_at:
            if all(runner.fence for runner in self.runners):
                return
            time.sleep(0.1)
        raise TimeoutError("the fleet does not serve; see the logs of its processes")
