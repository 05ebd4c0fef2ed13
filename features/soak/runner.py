"""A runner for the soak: it keeps leases, crashes, drains and changes its room."""

import json
import threading
import time
from collections.abc import Callable

import msgspec
import urllib3

from comfreyshelf.fleet.web import Call, Reply
from features.platform_standins import RunnerStandin
from features.soak.history import History, RunEnd, SeenRun
from features.soak.proxy import Proxy

HEARTBEAT_S = 0.5
# A room that has shrunk counts once its heartbeat can have reached the owner.
ROOM_NOTICE_S = 5.0
ROOM = 8
# A task that crashes its runner does so this long after its start.
CRASH_AFTER_S = 0.02
# A run ends this long after it was told to stop; the fleet is told to expect up to 0.2 s.
STOP_S = 0.15


class Payload(msgspec.Struct):
    """What a task does: it works for `work_s`, and its first `fails` runs fail.

    A `deadly` one crashes its runner.
    """

    work_s: float
    fails: int = 0
    deadly: bool = False


class SoakRunner(RunnerStandin):
    """A runner behind a proxy, which sends heartbeats to its target process.

    It starts whatever it is told to, also beyond its room, so that the history shows it.
    """

    def __init__(
        self, name: str, address: str, proxy: Proxy, control_address: str, history: History
    ) -> None:
        super().__init__(address, 0.0)
        self.name = name
        self.room = ROOM
        self.room_shrunk_at = 0.0
        self._room_before = ROOM
        # Before the runner, as its target process sees it.
        self.link = proxy
        # Whether its heartbeats are lost.
        self.is_unheard = False
        self._control_address = control_address
        self._history = history
        self._life = 1
        self._id_number = 1
        self._sequence = 0
        # The last heartbeat of each life that has ended, with its id.
        self.former_heartbeats: list[tuple[str, dict]] = []
        self._lease_until = float("inf")
        self._active: dict[tuple[str, int], SeenRun] = {}
        # When the runs that were told to stop end.
        self._stops_at: dict[tuple[str, int], float] = {}
        self._lives_ended: dict[int, list[SeenRun]] = {}
        self._draining_since: float | None = None
        self._drain_acknowledged_at: float | None = None
        self._is_down = False
        self._stopping = threading.Event()
        self._timers: list[threading.Timer] = []
        self._pool = urllib3.PoolManager(retries=False, timeout=1.0)
        threading.Thread(target=self._beat, daemon=True).start()

    @property
    def id(self) -> str:
        """The id of this life of the runner, which the one before may have had as well."""
        return f"{self.name}-{self._id_number}"

    def _beat(self) -> None:
        while not self._stopping.wait(HEARTBEAT_S):
            if not self._is_down and not self.is_unheard:
                self.send_heartbeat()

    def send_heartbeat(self) -> None:
        """Send one heartbeat; a lost one is followed by the next."""
        target, body = self.heartbeat()
        is_acknowledged = self.send(target, body) == 200
        is_draining = body["state"] == "draining"
        if is_acknowledged and is_draining and self._drain_acknowledged_at is None:
            self._drain_acknowledged_at = time.monotonic()

    def heartbeat(self) -> tuple[str, dict]:
        """The id of this life and the body of its next heartbeat."""
        with self.lock:
            self._sequence += 1
            is_draining = self._draining_since is not None
            return self.id, {
                "service": "permit",
                "zone": "z",
                "state": "draining" if is_draining else "ready",
                "drain-left-ms": 2500 if is_draining else 0,
                "sequence": self._sequence,
                "capacity": {"cpu": 64000, "mem-mb": 262144, "gpu": self.room},
                "labels": ["a", "r1"],
                "born": self.born,
                "clock-ms": int(time.monotonic() * 1000),
            }

    def send(self, target: str, body: dict) -> int:
        """Send a heartbeat to the target process; returns the status, 0 without an answer."""
        url = f"http://{self._control_address}/v1/instances/{target}"
        try:
            return self._pool.request("PUT", url, body=json.dumps(body).encode()).status
        except urllib3.exceptions.HTTPError:
            return 0

    def send_departure(self) -> None:
        """Send the message that this runner leaves."""
        try:
            self._pool.request("DELETE", f"http://{self._control_address}/v1/instances/{self.id}")
        except urllib3.exceptions.HTTPError:
            self._history.note(f"{self.id} leaves unheard")

    def handle(self, call: Call) -> Reply:
        with self.lock:
            if self._is_down:
                return Reply(503, b"{}")
            if call.headers.get("HTTP_TARGET_INSTANCE", self.id) != self.id:
                return Reply(421, b"{}")
            return super().handle(call)

    def _end(self, key: tuple[str, int], end: RunEnd, ended_at: float) -> None:
        seen = self._active.pop(key)
        self._stops_at.pop(key, None)
        self.running.pop(seen.task, None)
        seen.end, seen.ended_at = end, ended_at

    def _list_end(self, key: tuple[str, int], end: RunEnd, ended_at: float) -> None:
        seen = self._active[key]
        self._end(key, end, ended_at)
        self.add_end(seen.task, seen.run, end.value)
        self._lives_ended.setdefault(self._life, []).append(seen)

    def _finish(self) -> None:
        now = time.monotonic()
        for key, seen in list(self._active.items()):
            payload = msgspec.json.decode(seen.payload, type=Payload)
            work_ends_at = seen.began_at + payload.work_s
            stops_at = self._stops_at.get(key, float("inf"))
            if now >= stops_at <= min(work_ends_at, self._lease_until):
                self._list_end(key, RunEnd.STOPPED, stops_at)
            elif now >= work_ends_at <= self._lease_until:
                end = RunEnd.FAILED if seen.run <= payload.fails else RunEnd.DONE
                self._list_end(key, end, work_ends_at)
            elif now > self._lease_until:
                self._list_end(key, RunEnd.LAPSED, self._lease_until)
        if now > self._lease_until:
            for seen in self._lives_ended.get(self._life, []):
                seen.is_lease_lapsed |= not seen.is_acknowledged

    def _extend_lease(self, fields: dict) -> None:
        if "deadline-ms" not in fields:
            return
        until = fields["deadline-ms"] / 1000
        self._lease_until = until if not self._active else max(self._lease_until, until)

    def run_start(self, fields: dict) -> Reply:
        self._finish()
        known = len(self.starts)
        used = len(self._active) + 1
        self._extend_lease(fields)
        reply = super().run_start(fields)
        if len(self.starts) > known:
            self._record_start(fields, used)
        return reply

    def _record_start(self, fields: dict, used: int) -> None:
        now = time.monotonic()
        acknowledged_at = self._drain_acknowledged_at
        seen = SeenRun(
            fields["task"],
            fields["run-id"],
            self.id,
            fields["task-spec"],
            now,
            used,
            (
                self.room
                if now - self.room_shrunk_at > ROOM_NOTICE_S
                else max(self.room, self._room_before)
            ),
            now - acknowledged_at if acknowledged_at is not None else 0.0,
        )
        self._active[seen.task, seen.run] = seen
        with self._history.lock:
            self._history.runs.append(seen)
        if msgspec.json.decode(seen.payload, type=Payload).deadly:
            self._later(CRASH_AFTER_S, lambda: self.crash(1.5))

    def run_stop(self, fields: dict) -> Reply:
        self._finish()
        task, run = fields["task"], fields["run-id"]
        self.highest_runs[task] = max(run, self.highest_runs.get(task, 0))
        if (task, run) in self._active:
            self._stops_at.setdefault((task, run), time.monotonic() + STOP_S)
        return self._answer(200)

    def hold(self, fields: dict) -> Reply:
        self._finish()
        self._extend_lease(fields)
        for seen in self._lives_ended.get(self._life, [])[: fields["ack-cursor"]]:
            seen.is_acknowledged = True
        return super().hold(fields)

    def percent_done(self, task: str, run: int) -> int:
        seen = self._active[task, run]
        payload = msgspec.json.decode(seen.payload, type=Payload)
        return min(99, int(100 * (time.monotonic() - seen.began_at) / payload.work_s))

    def _later(self, seconds: float, action: Callable[[], None]) -> None:
        timer = threading.Timer(seconds, action)
        timer.daemon = True
        self._timers.append(timer)
        timer.start()

    def crash(self, down_s: float, keeps_id: bool = False, is_seen: bool = True) -> None:
        """Lose everything, and come back as another runner on the same machine.

        With `keeps_id` it comes back under its id, and its first heartbeat is a regular one. Its
        connections are reset if the end `is_seen`.
        """
        former = self.heartbeat()
        with self.lock:
            if self._is_down:
                return
            self._is_down = True
            self.former_heartbeats.append(former)
            self._history.note(f"{self.id} crashes with {sorted(self.running)}")
            self._finish()
            for key in list(self._active):
                self._end(key, RunEnd.CRASHED, time.monotonic())
        if is_seen:
            self.link.set_refusing(True)
        self._later(down_s, lambda: self._come_back(keeps_id))

    def _come_back(self, keeps_id: bool) -> None:
        with self.lock:
            self._life += 1
            self._id_number += not keeps_id
            self._sequence, self.fence = 0, 0
            self.born = time.time_ns() // 1_000_000
            self.running, self.highest_runs, self.ended = {}, {}, []
            self.end_count = 0
            self._lease_until = float("inf")
            self._draining_since = self._drain_acknowledged_at = None
        self.link.set_refusing(False)
        self._is_down = False
        if not keeps_id:
            self.is_unheard = False
            self.send_heartbeat()

    def drain(self, unseen_s: float = 0.0) -> None:
        """Announce the end, leave after 4 s, and come back as another runner.

        With `unseen_s` the runner goes on for that long after it has said that it leaves, and its
        connections are refused from 0.5 s before.
        """
        with self.lock:
            if self._is_down or self._draining_since is not None:
                return
            self._draining_since = time.monotonic()
        self.send_heartbeat()
        if unseen_s:
            self._later(3.5, lambda: self.link.set_refusing(True))
        self._later(4.0, lambda: self._leave(unseen_s))

    def _leave(self, unseen_s: float) -> None:
        self.is_unheard = True
        self.send_departure()
        self._later(unseen_s, lambda: self.crash(1.0))

    def set_room(self, room: int) -> None:
        """Change the room, which the next heartbeat announces."""
        with self.lock:
            if room < self.room:
                self._room_before, self.room_shrunk_at = self.room, time.monotonic()
            self.room = room

    def stop(self) -> None:
        """End heartbeats, timers and the server."""
        self._stopping.set()
        for timer in self._timers:
            timer.cancel()
        self.server.stop()
