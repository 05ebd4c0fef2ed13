"""A stand-in of a runner, which runs tasks under a lease and sends heartbeats.

A task's specification is a JSON object: `work_s` is how long the task works, and the runs up to
number `fails`, if given, end failed then.
"""

import http.client
import json
import threading
import time

from lab.http_server import HttpServer, Request, Response, json_response
from lab.record import Record

HEARTBEAT_S = 1.5
STOP_S = 0.05
TICK_S = 0.01


class SeenRun:
    """A run as a runner has seen it; `how` is empty while it runs."""

    def __init__(self, task: str, run: int, runner: str, spec: dict, at: float) -> None:
        self.task, self.run, self.runner = task, run, runner
        self.work_s: float = spec["work_s"]
        self.will_fail = run <= spec.get("fails", 0)
        self.began_at = at
        self.ended_at = float("inf")
        self.how = ""
        # When the lists of the runner's machine took note of the end.
        self.acknowledged_at = float("inf")

    def __str__(self) -> str:
        return f"task {self.task} run {self.run} on {self.runner}"


class Runner:
    """One machine's runner and its lives.

    `ip` is its side machine, on which it listens at `address`; `control` receives its heartbeats.
    """

    def __init__(
        self,
        name: str,
        address: str,
        control: str,
        service: str,
        rack: str,
        record: Record,
        seen: list[SeenRun],
        hold_max_s: float,
        gpu: int = 8,
    ) -> None:
        self.name, self.address, self.control, self.service = name, address, control, service
        self.rack, self.gpu = rack, gpu
        self._record = record
        self._seen = seen
        self._hold_max_s = hold_max_s
        self._changed = threading.Condition(threading.RLock())
        self._server: HttpServer | None = None
        self._life = 0
        self.id = ""
        self.is_up = False
        self.last_beat_at = 0.0
        # Status with which starts are answered while the runner is unhealthy; 0 if it is healthy.
        self.start_status = 0
        self._begin_life(f"i-{name}-1", 0.0)

    def _begin_life(self, runner_id: str, first_beat_s: float) -> None:
        with self._changed:
            self._life += 1
            self.id = runner_id
            self.born = time.time_ns() // 1_000_000
            self._clock_from = time.monotonic()
            self._sequence = 0
            self._fence = 0
            self._active: dict[tuple[str, int], SeenRun] = {}
            self._stopping: dict[tuple[str, int], float] = {}
            self._highest: dict[str, int] = {}
            self._ended: list[tuple[list, SeenRun]] = []
            self._end_count = 0
            self._lease_until = 0.0
            self.is_up = True
            self._server = HttpServer(self.address, self._handle)
            life = self._life
        self._record.note(f"runner {self.id} starts, born {self.born}")
        threading.Thread(target=self._work, args=(life,), daemon=True).start()
        threading.Thread(target=self._beat, args=(life, first_beat_s), daemon=True).start()

    @property
    def is_served(self) -> bool:
        """Whether an owner's orders have reached this life of the runner."""
        return self._fence > 0

    def crash(self) -> None:
        """End the life at once; nothing of it is left."""
        with self._changed:
            self.is_up = False
            for run in self._active.values():
                run.ended_at, run.how = self._record.now(), "crashed"
            lost = [str(run) for run in self._active.values()]
            self._active.clear()
            self._changed.notify_all()
        if self._server is not None:
            self._server.close()
        self._record.note(f"runner {self.id} crashes with {lost}")

    def restart(self, runner_id: str, first_beat_s: float = 0.0) -> None:
        """Begin another life under an id, which may be the one it had.

        Its first heartbeat is sent after `first_beat_s`.
        """
        self._begin_life(runner_id, first_beat_s)

    def close(self) -> None:
        """Stop serving and sending."""
        with self._changed:
            if not self.is_up:
                return
            self.is_up = False
            self._changed.notify_all()
        if self._server is not None:
            self._server.close()

    def _beat(self, life: int, first_beat_s: float) -> None:
        time.sleep(first_beat_s)
        while self.is_up and life == self._life:
            self.last_beat_at = time.monotonic()
            send_heartbeat(self.control, self.id, self.heartbeat())
            time.sleep(HEARTBEAT_S)

    def heartbeat(self) -> dict:
        """The body of the next heartbeat."""
        with self._changed:
            self._sequence += 1
            return {
                "service": self.service,
                "address": self.address,
                "zone": "paysandu",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "capacity": {"cpu": 64000, "mem-mb": 262144, "gpu": self.gpu},
                "labels": ["a", self.rack],
                "clock-ms": self._clock_ms(),
                "sequence": self._sequence,
                "born": self.born,
            }

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_from) * 1000)

    def _work(self, life: int) -> None:
        """End runs that are done, that were stopped, or whose lease has lapsed."""
        while self.is_up and life == self._life:
            time.sleep(TICK_S)
            with self._changed:
                if life == self._life and self.is_up:
                    self._end_runs()

    def _end_runs(self) -> None:
        now = self._record.now()
        has_lapsed = self._clock_ms() > self._lease_until
        for key, run in list(self._active.items()):
            if now - run.began_at >= run.work_s:
                self._end(key, "failed" if run.will_fail else "done")
            elif self._stopping.get(key, float("inf")) <= now:
                self._end(key, "stopped")
            elif has_lapsed:
                self._end(key, "lapsed")

    def _end(self, key: tuple[str, int], how: str) -> None:
        run = self._active.pop(key)
        self._stopping.pop(key, None)
        run.ended_at, run.how = self._record.now(), how
        self._end_count += 1
        self._ended.append(([self._end_count, run.task, run.run, how, ""], run))
        self._highest[run.task] = max(run.run, self._highest.get(run.task, 0))
        self._record.note(f"{run} ends {how}")
        self._changed.notify_all()

    def _handle(self, request: Request) -> Response | None:
        fields = request.fields()
        with self._changed:
            if not self.is_up:
                return None
            if request.headers.get("target-instance", self.id) != self.id:
                return json_response(421, {"clock-ms": self._clock_ms()})
            token = fields.get("fence-token", 0)
            if token < self._fence:
                return self._answer(409, {"reason": "fence"})
            self._fence = token
            match request.path:
                case "/v1/hold":
                    return self._hold(fields)
                case "/v1/run-start":
                    return self._start(fields)
                case "/v1/run-stop":
                    return self._stop(fields)
        return Response(404)

    def _answer(self, status: int, fields: dict) -> Response:
        known = {"clock-ms": self._clock_ms(), "born": self.born}
        return json_response(status, known | fields)

    def _extend_lease(self, fields: dict) -> None:
        if "deadline-ms" in fields:
            longest = self._clock_ms() + self._hold_max_s * 1000
            self._lease_until = max(self._lease_until, min(fields["deadline-ms"], longest))

    def _hold(self, fields: dict) -> Response | None:
        life = self._life
        self._extend_lease(fields)
        for row, run in self._ended:
            if row[0] <= fields["ack-cursor"]:
                run.acknowledged_at = self._record.now()
        self._ended = [(row, run) for row, run in self._ended if row[0] > fields["ack-cursor"]]
        self._changed.wait_for(
            lambda: bool(self._ended) or not self.is_up or life != self._life,
            fields.get("wait-ms", 0) / 1000,
        )
        if not self.is_up or life != self._life:
            return None
        running = []
        for run in self._active.values():
            percent = int(100 * (self._record.now() - run.began_at) / run.work_s)
            running.append([run.task, run.run, "", min(99, percent), 1000])
        ended = [row for row, _ in self._ended[:500]]
        return self._answer(200, {"running": running, "ended": ended})

    def _start(self, fields: dict) -> Response:
        task, number = fields["task"], fields["run-id"]
        if self.start_status:
            return Response(self.start_status)
        if fields["deadline-ms"] < self._clock_ms():
            return self._answer(409, {"reason": "late"})
        self._extend_lease(fields)
        if (task, number) in self._active:
            return self._answer(200, {})
        if number <= self._highest.get(task, 0):
            return self._answer(409, {"reason": "old"})
        spec = json.loads(fields["task-spec"])
        run = SeenRun(task, number, self.id, spec, self._record.now())
        self._active[task, number] = run
        self._seen.append(run)
        self._record.note(f"{run} starts, token {fields['fence-token']}")
        return self._answer(200, {})

    def _stop(self, fields: dict) -> Response:
        task, number = fields["task"], fields["run-id"]
        self._highest[task] = max(number, self._highest.get(task, 0))
        if (task, number) in self._active:
            self._stopping.setdefault((task, number), self._record.now() + STOP_S)
        return self._answer(200, {})


def send_heartbeat(control: str, runner_id: str, body: dict) -> int:
    """Send one heartbeat; returns the status of the answer, 0 if there was none."""
    host, _, port = control.partition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
    try:
        content = json.dumps(body).encode()
        headers = {"Content-Type": "application/json"}
        connection.request("PUT", f"/v1/instances/{runner_id}", content, headers)
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()
