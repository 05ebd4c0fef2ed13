"""Callers of a soak: they submit, ask and cancel jobs over connections that they keep."""

import http.client
import json
import random
import threading
import time

import msgspec

from features.soak.fleet import FRONT_PORT, Member, SoakFleet
from features.soak.history import History, JobFate, SeenJob
from features.soak.runner import Payload

CALL_TIMEOUT_S = 3.5
MAX_TRIES = 6
CANCEL_SHARE = 0.1
# How often a caller gives a submission up that got no answer, and cancels it.
GIVE_UP_SHARE = 0.5
# Tasks that outlast a soak, and still progress from one second to the next.
LONG_JOBS, LONG_TASKS, LONG_WORK_S = 4, 2, 90.0
DEADLY_SHARE = 0.06
FAILING_SHARE = 0.1
GANG_SHARE = 0.3
# The entry has not carried out a request that it answers with one of these.
REFUSED_STATUSES = (400, 401, 404, 429, 503)
FINAL_STATES = ("completed", "failed", "canceled")


class Connections:
    """Kept connections of one caller, used until they fail or the far end closes them."""

    def __init__(self) -> None:
        self._kept: dict[str, http.client.HTTPConnection] = {}

    def call(
        self, entry: Member, method: str, path: str, body: bytes = b"", key: str = "key"
    ) -> tuple[int, dict]:
        """Status and body of an answer; status 0 if there was none."""
        conn = self._kept.get(entry.name)
        if conn is None:
            conn = http.client.HTTPConnection(entry.ip, FRONT_PORT, timeout=CALL_TIMEOUT_S)
            self._kept[entry.name] = conn
        headers = {"Host": "h.example", "X-Api-Key": key, "Deadline-Ms": "3000"}
        try:
            conn.request(method, path, body or None, headers)
            answer = conn.getresponse()
            content = answer.read()
        except (OSError, http.client.HTTPException):
            conn.close()
            del self._kept[entry.name]
            return 0, {}
        return answer.status, json.loads(content) if content else {}


class Caller(threading.Thread):
    """Submits jobs one after the other until it is told to stop."""

    def __init__(
        self,
        number: int,
        seed: int,
        fleet: SoakFleet,
        history: History,
        deadly_share: float = DEADLY_SHARE,
    ) -> None:
        """`deadly_share` is the share of jobs that crash their runners."""
        super().__init__(daemon=True)
        self._deadly_share = deadly_share
        self._rng = random.Random(f"{seed}/{number}")
        self._cancel_rng = random.Random(f"cancels {seed}/{number}")
        self._number = number
        self._fleet = fleet
        self._history = history
        self._connections = Connections()
        # The last state of each job by entry and life of that entry.
        self._shown_states: dict[tuple[str, str, int], str] = {}
        self.stopping = threading.Event()

    def run(self) -> None:
        count = 0
        while not self.stopping.wait(self._rng.uniform(0.1, 0.8)):
            count += 1
            job = self._draw_job(f"{self._number:08x}{count:08x}")
            self.submit(job)
            if job.fate is JobFate.ACCEPTED and self._rng.random() < CANCEL_SHARE:
                cancel(self._fleet, job, self._connections, self._rng)
            if job.fate is JobFate.OPEN:
                cancel(self._fleet, job, self._connections, self._cancel_rng)
            for _ in range(self._rng.randrange(3)):
                self._ask(job)

    def _draw_job(self, job_id: str) -> SeenJob:
        rng = self._rng
        draw = rng.random()
        payload = Payload(
            round(rng.uniform(0.1, 1.5), 2),
            rng.choice((1, 2, 3)) if draw < FAILING_SHARE else 0,
            draw > 1 - self._deadly_share,
        )
        text = msgspec.json.encode(payload).decode()
        job = SeenJob(job_id, text, rng.randint(1, 4), rng.random() < GANG_SHARE)
        with self._history.lock:
            self._history.jobs[job_id] = job
        return job

    def submit(self, job: SeenJob) -> None:
        """Submit a job at one entry after the other until one accepts it, or give it up."""
        step = {
            "count": job.tasks,
            "cpu": 1000,
            "gpu": 1,
            "est-runtime-ms": 500,
            "gang-scheduled": job.is_gang,
        }
        body = json.dumps({"task-spec": job.payload, "steps": [step]}).encode()
        for _ in range(MAX_TRIES):
            entry = self._rng.choice(self._fleet.entries)
            status, _ = self._connections.call(entry, "POST", f"/q/{job.id}", body)
            if status == 200:
                job.fate = JobFate.ACCEPTED
                return
            if status not in REFUSED_STATUSES:
                job.fate = JobFate.OPEN
                if self._cancel_rng.random() < GIVE_UP_SHARE:
                    return
            time.sleep(self._rng.uniform(0.05, 0.4))

    def _ask(self, job: SeenJob) -> None:
        entry = self._rng.choice(self._fleet.entries)
        status, answer = self._connections.call(entry, "GET", f"/q/{job.id}")
        if status == 410 and job.fate is JobFate.ACCEPTED:
            self._history.violate(f"{entry.name} does not know the accepted job {job.id}")
        state = answer.get("state", "")
        if status != 200:
            return
        # Another entry may not have read the newest records yet.
        before = self._shown_states.setdefault((job.id, entry.name, entry.starts), state)
        if before in FINAL_STATES and state != before:
            self._history.violate(f"{entry.name} shows job {job.id} as {state} after {before}")
        self._shown_states[job.id, entry.name, entry.starts] = job.state = state


def submit_long_jobs(caller: Caller, history: History) -> list[SeenJob]:
    """Submit jobs whose tasks outlast the soak."""
    payload = msgspec.json.encode(Payload(LONG_WORK_S)).decode()
    jobs = [SeenJob(f"ffffffff{number:08x}", payload, LONG_TASKS) for number in range(LONG_JOBS)]
    for job in jobs:
        history.jobs[job.id] = job
        caller.submit(job)
    return jobs


def cancel(fleet: SoakFleet, job: SeenJob, connections: Connections, rng: random.Random) -> None:
    """Cancel a job after up to a second, at one entry after the other until one acknowledges it."""
    time.sleep(rng.uniform(0.0, 1.0))
    for _ in range(MAX_TRIES):
        job.cancel_sent_at = job.cancel_sent_at or time.monotonic()
        entry = rng.choice(fleet.entries)
        status, _ = connections.call(entry, "DELETE", f"/q/{job.id}")
        if status in (200, 410):
            job.cancelled_at = time.monotonic()
            return


class KeyWatcher(threading.Thread):
    """Asks each entry with the newest keys; what one has withdrawn has to stay withdrawn there."""

    def __init__(self, fleet: SoakFleet, history: History) -> None:
        super().__init__(daemon=True)
        self._fleet = fleet
        self._history = history
        self._connections = Connections()
        self.stopping = threading.Event()

    def run(self) -> None:
        accepted: set[tuple[str, int, str]] = set()
        withdrawn: set[tuple[str, int, str]] = set()
        keys: list[str] = []
        while not self.stopping.wait(0.1):
            keys += [key for key in self._fleet.keys if key not in keys]
            for entry in self._fleet.entries:
                for key in keys[-3:]:
                    life = (entry.name, entry.starts, key)
                    status, _ = self._connections.call(entry, "GET", "/q/", key=key)
                    if entry.starts != life[1]:
                        continue
                    if status == 200 and life in withdrawn:
                        self._history.violate(f"{entry.name} takes the withdrawn key {key} again")
                    if status == 200:
                        accepted.add(life)
                    if status == 401 and life in accepted:
                        withdrawn.add(life)


def ask_until_ended(fleet: SoakFleet, job: SeenJob, give_up_at: float) -> str:
    """The final state of a job, or its last known one at `give_up_at`."""
    connections = Connections()
    state = ""
    while time.monotonic() < give_up_at:
        for entry in fleet.entries:
            status, answer = connections.call(entry, "GET", f"/q/{job.id}")
            state = answer.get("state", "") if status == 200 else f"status {status}"
            if state in FINAL_STATES:
                return state
        time.sleep(0.1)
    return state


def is_key_taken(entry: Member, key: str) -> bool:
    """Whether an entry accepts a key."""
    status, _ = Connections().call(entry, "GET", "/q/", key=key)
    return status == 200
