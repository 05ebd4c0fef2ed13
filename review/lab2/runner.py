"""Stand-in of a runner that keeps leases, fences, run numbers and its room, as PROTOCOL.md says."""

import json
import socket
import struct
import threading
import time

from review.lab2.web import Server, Silence, call

HEARTBEAT_S = 1.5
# An abortive close: the peer sees a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# The longest lease; DEPLOY.md: hold-max-ms.
LEASE_S = 6.0


class Runner:
    """`work_s(task_spec)` is how long a task takes, None for one that does not end by itself.

    `record` hears of each start and end of a run, and of each end that is acknowledged.
    """

    def __init__(self, name, address, control, work_s, record, gpu=8, labels=("a", "r1-1")):
        self.name, self.address, self.control = name, address, control
        self.work_s, self.record = work_s, record
        self.gpu, self.labels = gpu, list(labels)
        self.lock = threading.Condition()
        self.number = 0
        self.is_up = False
        self.draining = False
        # How many calls have renewed the lease of the present runs.
        self.holds = 0
        self.is_beating = True
        self._stopping = threading.Event()
        self._awake = threading.Event()
        self._awake.set()
        self.begin_life()
        threading.Thread(target=self._beat, daemon=True).start()
        threading.Thread(target=self._watch, daemon=True).start()

    def begin_life(self, keeps_id=False):
        with self.lock:
            self.number += not keeps_id
            self.id = f"i-{self.name}-{self.number}"
            self.born = time.time_ns() // 1_000_000
            self.clock_started = time.monotonic()
            self._suspended_s, self._suspended_at = 0.0, None
            self.sequence = self.fence = self.cursor = 0
            self.running, self.highest, self.ended = {}, {}, []
            self.end_count = 0
            self.lease_until = None
            self.is_up = True
        self.server = Server(self.address, self.handle)
        self.record(self.name, "runner up", id=self.id)

    def crash(self):
        """End without a word; everything that runs terminates."""
        with self.lock:
            self.is_up = False
            lost = sorted(self.running)
            self.running = {}
        self.server.stop()
        self.record(self.name, "runner crashed", id=self.id, ran=lost)

    def refuse(self):
        """Reset all calls from the target process, as a cut does; what runs goes on."""
        self.server.stop()
        self.record(self.name, "calls to the runner are reset", runs=sorted(self.running))

    def say_leaving(self, is_answer_lost=False):
        """Tell the target process that this runner leaves; returns the status of its answer.

        It is 0 if the connection is reset before the answer.
        """
        self.is_beating = False
        path = f"/v1/instances/{self.id}"
        if not is_answer_lost:
            return call(self.control, "DELETE", path, timeout=1.0)[0]
        host, _, port = self.control.partition(":")
        with socket.create_connection((host, int(port)), 1.0) as conn:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            conn.sendall(f"DELETE {path} HTTP/1.1\r\nHost: {self.control}\r\n\r\n".encode())
            time.sleep(0.05)
        return 0

    def leave(self):
        """End as announced: tell the target process, and be gone for good."""
        self.say_leaving()
        self.crash()

    def stop(self):
        self._stopping.set()
        if self.is_up:
            self.server.stop()

    def clock(self):
        """The steady clock of this life in seconds; it doesn't count suspended time."""
        until = self._suspended_at if self._suspended_at is not None else time.monotonic()
        return until - self.clock_started - self._suspended_s

    def suspend(self):
        """Stand still with the machine: nothing works, answers or counts time."""
        self._awake.clear()
        with self.lock:
            self._suspended_at = time.monotonic()
        self.record(self.name, "machine suspended", runs=sorted(self.running))

    def resume(self):
        """Go on after `suspend`."""
        with self.lock:
            self._suspended_s += time.monotonic() - self._suspended_at
            self._suspended_at = None
        self.record(self.name, "machine awake", runs=sorted(self.running))
        self._awake.set()

    def used_gpu(self):
        return sum(run["gpu"] for run in self.running.values())

    def _beat(self):
        while not self._stopping.is_set():
            self._awake.wait()
            if self.is_up and self.is_beating:
                self.heartbeat()
            self._stopping.wait(HEARTBEAT_S)

    def heartbeat(self):
        with self.lock:
            self.sequence += 1
            body = {
                "service": "perm1",
                "address": self.address,
                "zone": "paysandu",
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.draining else "ready",
                "cold-left-ms": 0,
                "capacity": {"cpu": 64000, "mem-mb": 262144, "gpu": self.gpu},
                "labels": self.labels,
                "clock-ms": int(self.clock() * 1000),
                "sequence": self.sequence,
                "born": self.born,
            }
            if self.draining:
                body["drain-left-ms"] = 2500
        return call(self.control, "PUT", f"/v1/instances/{self.id}", body, timeout=1.0)[0]

    def _watch(self):
        while not self._stopping.wait(0.02):
            with self.lock:
                self._finish()

    def _end(self, task, how):
        run = self.running.pop(task)
        self.highest[task] = max(run["run"], self.highest.get(task, 0))
        self.end_count += 1
        self.ended.append([self.end_count, task, run["run"], how, ""])
        self.record(
            self.name,
            "run ended",
            task=task,
            run=run["run"],
            how=how,
            born=self.born,
            n=self.end_count,
        )
        self.lock.notify_all()

    def _finish(self):
        if not self.is_up or not self._awake.is_set():
            return
        now = self.clock()
        for task, run in list(self.running.items()):
            if self.lease_until is not None and now >= self.lease_until:
                self._end(task, "lapsed")
            elif run["work_s"] is not None and now - run["began"] >= run["work_s"]:
                self._end(task, "done")

    def _extend(self, fields):
        if "deadline-ms" in fields:
            until = min(fields["deadline-ms"] / 1000, self.clock() + LEASE_S)
            if self.running and self.lease_until is not None:
                until = max(until, self.lease_until)
            self.lease_until = until

    def _answer(self, status, **fields):
        return status, {"clock-ms": int(self.clock() * 1000), "born": self.born} | fields

    def handle(self, method, path, query, headers, body):
        name = path.rpartition("/")[2].replace("-", "_")
        fields = json.loads(body)
        self._awake.wait()
        with self.lock:
            if not self.is_up:
                raise Silence
            if headers.get("Target-Instance", self.id) != self.id:
                return self._answer(421)
            if fields.get("fence-token", 0) < self.fence:
                return self._answer(409, reason="fence")
            self.fence = fields.get("fence-token", 0)
            self._finish()
            answer = getattr(self, name)(fields)
        self._awake.wait()
        return answer

    def run_start(self, fields):
        task, run = fields["task"], fields["run-id"]
        known = self.running.get(task)
        if known is not None and known["run"] == run:
            self._extend(fields)
            return self._answer(200)
        if run <= self.highest.get(task, 0) or (known is not None and run < known["run"]):
            self._extend(fields)
            return self._answer(409, reason="old")
        if fields["deadline-ms"] / 1000 <= self.clock():
            return self._answer(409, reason="late")
        spec = json.loads(fields["task-spec"])
        if self.used_gpu() + spec.get("gpu", 1) > self.gpu:
            self._extend(fields)
            self.record(self.name, "start rejected", task=task, run=run, reason="room")
            return self._answer(409, reason="room")
        self.running[task] = {
            "run": run,
            "began": self.clock(),
            "work_s": self.work_s(spec),
            "gpu": spec.get("gpu", 1),
        }
        self._extend(fields)
        self.record(self.name, "run started", task=task, run=run)
        return self._answer(200)

    def run_stop(self, fields):
        task, run = fields["task"], fields["run-id"]
        if task in self.running and self.running[task]["run"] == run:
            self._end(task, "stopped")
        self.highest[task] = max(run, self.highest.get(task, 0))
        return self._answer(200)

    def hold(self, fields):
        has_lapsed = self.lease_until is not None and self.clock() >= self.lease_until
        self._extend(fields)
        self.holds += "deadline-ms" in fields
        acknowledged = fields["ack-cursor"]
        self.ended = [row for row in self.ended if row[0] > acknowledged]
        if acknowledged > self.cursor:
            self.record(
                self.name,
                "ends acknowledged",
                up_to=acknowledged,
                born=self.born,
                lapsed=int(has_lapsed),
            )
            self.cursor = acknowledged
        born = self.born
        self.lock.wait_for(
            lambda: self.ended or not self.is_up or self.born != born,
            fields.get("wait-ms", 0) / 1000,
        )
        now = self.clock()
        rows = []
        for task, run in self.running.items():
            share = 0.5 if run["work_s"] is None else min(1.0, (now - run["began"]) / run["work_s"])
            if run["work_s"] is None:
                share = min(0.99, (now - run["began"]) / 600)
            rows.append([task, run["run"], "", int(100 * share)])
        return self._answer(200, running=rows, ended=self.ended[:500])
