"""Test fixture that runs entries, target processes and the stand-in log as real processes."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

from comfreyshelf.client import Client
from comfreyshelf.demo import free_address
from comfreyshelf.ids import Offset
from comfreyshelf.ledger import Ledger
from comfreyshelf.log import HttpLog
from comfreyshelf.records import decode_record

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 60.0


class Processes:
    """Starts processes by name; a process started again under its name keeps its addresses."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        self.log_address = free_address()
        self.authority = ""
        self.http: dict[str, str] = {}
        self.pipes: dict[str, str] = {}

    def start_log(self) -> None:
        """Start the stand-in log."""
        self._start("log", "standin-log", f"[standin]\naddress = {self.log_address}\n")

    def start_runner(self, name: str, delay_s: float) -> str:
        """Start a stand-in runner and return its URL."""
        address = free_address()
        settings = f"[runner]\naddress = {address}\ndelay_s = {delay_s}\n"
        self._start(name, "standin-runner", settings)
        return f"http://{address}/"

    def start_entry(self, name: str, zone: str, extra_ini: str = "") -> None:
        """Start an entry on its own addresses; `extra_ini` is appended to its settings."""
        self.http.setdefault(name, free_address())
        self.pipes.setdefault(name, free_address())
        self._start(
            name,
            "entry",
            f"[entry]\nname = {name}\nzone = {zone}\nhttp_address = {self.http[name]}\n"
            f"pipe_address = {self.pipes[name]}\nlog_url = http://{self.log_address}\n{extra_ini}",
        )

    def start_target(
        self,
        name: str,
        zone: str,
        rack: str,
        status_interval_s: float = 0.5,
        extra_ini: str = "",
        entries: Iterable[str] = (),
    ) -> None:
        """Start a target process that connects to `entries`, by default to all started so far."""
        known = ", ".join(self.pipes[entry] for entry in entries or self.pipes)
        self._start(
            name,
            "target",
            f"[target]\nname = {name}\nzone = {zone}\nrack = {rack}\nentries = {known}\n"
            f"services = permit\nstatus_interval_s = {status_interval_s}\n"
            f"shutdown_grace_s = 6\nworker_folder = {self.folder}\n{extra_ini}",
        )

    def read_ledger(self) -> Ledger:
        """Build a ledger from all records that the log has now."""
        log = HttpLog(f"http://{self.log_address}")
        ledger = Ledger()
        while items := log.read(ledger.next_offset).items:
            for offset, data in items:
                ledger.apply(Offset(offset), decode_record(data))
        log.close()
        return ledger

    def parts(self, event: str, job: str) -> list[tuple[int, int, str]]:
        """Attempt, part number and text of each part of a job in a worker's file of events.

        `event` is `started` or `ended`.
        """
        path = self.folder / f"{event}.txt"
        lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
        rows = [line.split(" ", 3) for line in lines]
        return [(int(row[1]), int(row[2]), row[3]) for row in rows if row[0] == job]

    def log_output(self, name: str) -> str:
        """What a process has written to stdout and stderr."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8")

    def client(self, entry: str, key: str) -> Client:
        """Return a client of an entry, after waiting until the entry is healthy."""
        client = Client(self.http[entry], key, authority=self.authority)
        deadline = time.monotonic() + START_TIMEOUT_S
        while not client.is_healthy():
            if time.monotonic() > deadline:
                raise TimeoutError(f"entry {entry} is not healthy after {START_TIMEOUT_S} s")
            time.sleep(0.1)
        return client

    def pid(self, name: str) -> int:
        """Process id of the process `name`."""
        return self._running[name].pid

    def signal(self, name: str, signum: signal.Signals) -> None:
        """Send a signal to the process `name`."""
        self._running[name].send_signal(signum)

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has ended."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        process = self._running.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_TIMEOUT_S)

    def kill_all(self) -> None:
        """Kill all processes that still run."""
        for name in list(self._running):
            self.kill(name)

    def _start(self, name: str, command: str, settings: str) -> None:
        path = self.folder / f"{name}.ini"
        path.write_text(settings, encoding="utf-8")
        with (self.folder / f"{name}.log").open("ab") as log:
            self._running[name] = subprocess.Popen(
                [sys.executable, "-m", "comfreyshelf", command, str(path)],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=os.environ | {"PYTHONPATH": str(ROOT)},
            )


@contextmanager
def separate_processes() -> Iterator[Processes]:
    """Provide a Processes with a temporary folder; all processes are killed on exit."""
    with ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        processes = Processes(Path(folder))
        stack.callback(processes.kill_all)
        yield processes
