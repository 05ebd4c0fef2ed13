"""Stand-in for a runner: leases, fences, run numbers, ends and heartbeats as in PROTOCOL.md."""

import http.client
import json
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from review.lab3.httpd import Answer, Call, HttpServer, json_answer
from review.lab3.recorder import Recorder

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
# A stop takes this long, less than the `stop-grace-ms` of 200.
STOP_S = 0.15
STEP_S = 0.01


@dataclass
class SeenRun:
    """One run as its runner saw it; times are seconds since the trial began."""

    task: str
    run: int
    runner: str
    began_at: float
    work_s: float
    ended_at: float | None = None
    how: str = ""
    is_noted: bool = False
    # Whether the lease lapsed between the end and its acknowledgement, so that it is never noted.
    is_void: bool = False
    stops_at: float | None = None


@dataclass
class _Life:
    """What a runner knows until it crashes."""

    id: str
    born: int
    clock_from: float
    fence: int = 0
    sequence: int = 0
    lease_until_ms: int | None = None
    running: dict[str, SeenRun] = field(default_factory=dict)
    highest: dict[str, int] = field(default_factory=dict)
    ended: list[tuple[int, SeenRun]] = field(default_factory=list)
    ends: int = 0


class RunnerStandin:
    """A sound runner that rejects what does not fit; the task-spec is how long each task works."""

    def __init__(
        self,
        name: str,
        address: str,
        control: str,
        recorder: Recorder,
        capacity: dict[str, int],
        work_s: Callable[[str], float] = float,
        demand: dict[str, int] | None = None,
        lasting: bool = False,
    ) -> None:
        self.name = name
        self._control = control
        self._recorder = recorder
        self._capacity = capacity
        self._work_s = work_s
        self._demand = demand or {"gpu": 1}
        self._lasting = lasting
        self._lock = threading.Condition()
        self.runs: list[SeenRun] = []
        self.state = "ready"
        self.drain_acknowledged_at: float | None = None
        self._lives = 0
        self.life: _Life | None = None
        self._is_closed = False
        # Cleared while the runner's machine is suspended.
        self._awake = threading.Event()
        self._awake.set()
        self._suspended_at = 0.0
        self.server = HttpServer(address, self._handle)
        self.begin_life()
        threading.Thread(target=self._work, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def begin_life(self) -> None:
        """Start as a new incarnation."""
        with self._lock:
            self._lives += 1
            now = time.time_ns() // 1_000_000
            self.life = _Life(f"i-{self.name}-{self._lives}", now, time.monotonic())
        self.state, self.drain_acknowledged_at = "ready", None
        self.server.start()
        self._recorder.note(f"runner {self.life.id} is up")

    def crash(self) -> None:
        """End at once with everything that runs; connections are refused from then on."""
        self.server.kill()
        with self._lock:
            life, self.life = self.life, None
            assert life is not None
            self._recorder.note(f"runner {life.id} crashes, running {sorted(life.running)}")
            for seen in life.running.values():
                seen.ended_at, seen.how = self._recorder.now(), "crashed"
            self._lock.notify_all()

    def suspend(self) -> None:
        """Stand still with the machine; the runner's clock does not count this time."""
        with self._lock:
            self._suspended_at = time.monotonic()
            self._awake.clear()

    def wake(self) -> None:
        """Go on where `suspend` has interrupted."""
        with self._lock:
            assert self.life is not None
            self.life.clock_from += time.monotonic() - self._suspended_at
            self._awake.set()

    def lease_left_s(self) -> float:
        """Seconds until the lease of its runs lapses, on its own clock."""
        with self._lock:
            life = self.life
            if life is None or life.lease_until_ms is None:
                return 0.0
            return (life.lease_until_ms - self._clock_ms(life)) / 1000

    def close(self) -> None:
        """End the server and the threads."""
        self._is_closed = True
        self._awake.set()
        self.server.kill()

    def running(self) -> dict[str, SeenRun]:
        """What runs now, by task."""
        with self._lock:
            return dict(self.life.running) if self.life is not None else {}

    def _clock_ms(self, life: _Life) -> int:
        return int((time.monotonic() - life.clock_from) * 1000) + 1000

    def _work(self) -> None:
        while not self._is_closed:
            time.sleep(STEP_S)
            with self._lock:
                life = self.life
                if life is None or not self._awake.is_set():
                    continue
                now = self._recorder.now()
                clock_ms = self._clock_ms(life)
                is_lapsed = life.lease_until_ms is not None and clock_ms >= life.lease_until_ms
                if is_lapsed:
                    for _, seen in life.ended:
                        seen.is_void = True
                for seen in list(life.running.values()):
                    if not self._lasting and now - seen.began_at >= seen.work_s:
                        self._end(life, seen, "done")
                    elif seen.stops_at is not None and now >= seen.stops_at:
                        self._end(life, seen, "stopped")
                    elif is_lapsed:
                        self._end(life, seen, "lapsed")

    def _end(self, life: _Life, seen: SeenRun, how: str) -> None:
        del life.running[seen.task]
        life.ends += 1
        life.ended.append((life.ends, seen))
        seen.ended_at, seen.how = self._recorder.now(), how
        self._recorder.note(f"{life.id}: {seen.task} run {seen.run} ended {how}")
        self._lock.notify_all()

    def _handle(self, call: Call) -> Answer:
        fields = call.fields()
        self._awake.wait()
        with self._lock:
            life = self.life
            if life is None:
                return 503, b"{}"
            if call.headers.get("Target-Instance", life.id) != life.id:
                return self._answer(life, 421)
            if fields.get("fence-token", 0) < life.fence:
                return self._answer(life, 409, reason="fence")
            life.fence = fields.get("fence-token", 0)
            name = call.path.rpartition("/")[2].replace("-", "_")
            return getattr(self, f"_{name}")(life, fields)

    def _answer(self, life: _Life, status: int, **fields: object) -> Answer:
        return json_answer(
            status, {"clock-ms": self._clock_ms(life), "born": life.born} | dict(fields)
        )

    def _extend(self, life: _Life, fields: dict) -> None:
        deadline = fields.get("deadline-ms")
        if deadline is not None:
            until = min(deadline, self._clock_ms(life) + HOLD_MAX_MS)
            life.lease_until_ms = max(until, life.lease_until_ms or 0)

    def _run_start(self, life: _Life, fields: dict) -> Answer:
        task, run = fields["task"], fields["run-id"]
        if fields["deadline-ms"] <= self._clock_ms(life):
            return self._answer(life, 409, reason="late")
        self._extend(life, fields)
        present = life.running.get(task)
        if present is not None and present.run == run:
            return self._answer(life, 200)
        if run <= life.highest.get(task, 0):
            return self._answer(life, 409, reason="old")
        for kind, amount in self._demand.items():
            if amount * (len(life.running) + 1) > self._capacity[kind]:
                return self._answer(life, 409, reason="room")
        seen = SeenRun(
            task, run, life.id, self._recorder.now(), self._work_s(fields["task-spec"])
        )
        life.running[task] = seen
        life.highest[task] = run
        self.runs.append(seen)
        self._recorder.note(f"{life.id}: {task} run {run} starts, token {fields['fence-token']}")
        return self._answer(life, 200)

    def _run_stop(self, life: _Life, fields: dict) -> Answer:
        task, run = fields["task"], fields["run-id"]
        life.highest[task] = max(run, life.highest.get(task, 0))
        seen = life.running.get(task)
        if seen is not None and seen.run == run and seen.stops_at is None:
            seen.stops_at = self._recorder.now() + STOP_S
            self._recorder.note(f"{life.id}: {task} run {run} is told to stop")
        return self._answer(life, 200)

    def _hold(self, life: _Life, fields: dict) -> Answer:
        self._extend(life, fields)
        for number, seen in list(life.ended):
            if number <= fields["ack-cursor"]:
                seen.is_noted = not seen.is_void
                life.ended.remove((number, seen))
        self._lock.wait_for(
            lambda: life.ended or self.life is not life, fields.get("wait-ms", 0) / 1000
        )
        if self.life is not life or not self._awake.is_set():
            # The process that this call waited in has ended, or its machine stands still.
            return 503, b"{}"
        now = self._recorder.now()
        running = [
            [seen.task, seen.run, "", self._percent(seen, now), 0]
            for seen in life.running.values()
        ]
        ended = [
            [number, seen.task, seen.run, seen.how, ""] for number, seen in life.ended[:500]
        ]
        return self._answer(life, 200, running=running, ended=ended)

    def _percent(self, seen: SeenRun, now: float) -> int:
        return 100 if self._lasting else min(99, int(100 * (now - seen.began_at) / seen.work_s))

    def _beat(self) -> None:
        while not self._is_closed:
            self._awake.wait()
            self.send_heartbeat()
            time.sleep(HEARTBEAT_S)

    def heartbeat(self) -> tuple[str, dict]:
        """The id of this life and its next heartbeat."""
        with self._lock:
            life = self.life
            if life is None:
                return "", {}
            life.sequence += 1
            return life.id, {
                "service": "permit",
                "address": self.server.address,
                "zone": "z",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold-left-ms": 0,
                "drain-left-ms": 4500 if self.state == "draining" else 0,
                "capacity": self._capacity,
                "labels": ["a", f"r1-{self.name}"],
                "clock-ms": self._clock_ms(life),
                "born": life.born,
                "sequence": life.sequence,
            }

    def send_heartbeat(self) -> None:
        """Send one heartbeat of this life."""
        target, body = self.heartbeat()
        if target:
            is_draining = body["state"] == "draining"
            status = put_heartbeat(self._control, target, body)
            if is_draining and status == 200 and self.drain_acknowledged_at is None:
                self.drain_acknowledged_at = self._recorder.now()
                self._recorder.note(f"{target}: its heartbeat as draining was answered with 200")


def put_heartbeat(control: str, target: str, body: dict) -> int:
    """Send a heartbeat to a control address; returns the status, 0 without an answer."""
    conn = http.client.HTTPConnection(*_split(control), timeout=1.0)
    try:
        conn.request(
            "PUT",
            f"/v1/instances/{target}",
            json.dumps(body),
            {"Content-Type": "application/json"},
        )
        return conn.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        conn.close()


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.partition(":")
    return host, int(port)
