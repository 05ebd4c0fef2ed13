"""Stand-ins for the platform's store and for a runner, which speak its published protocol."""

import base64
import json
import struct
import threading
import time
from urllib.parse import parse_qs

from comfreyshelf.fleet.web import Call, Reply, WebServer

_LENGTH = struct.Struct(">I")
_PAGE_HEADER = struct.Struct(">QQ")
# Longer than any caller waits for an answer about a topic that is silent.
SILENCE_S = 2.5

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "q",
            "host": "h.example",
            "path-prefix": "/q/",
            "service": "permit",
            "priority": 1,
            "max-attempts": 3,
            "stretch": 3.0,
            "target-latency-ms": 1000,
        }
    ],
    "tenants": [{"name": "a", "api-keys": ["key"], "guaranteed": {"gpu": 8}}],
    "limits": {"max-body-bytes": 100000},
}
JOB = {"task-spec": "x", "steps": [{"count": 5, "cpu": 1000, "gpu": 2, "est-runtime-ms": 300}]}


class StoreStandin:
    """A store with one partition per topic, fenced producers and one consumer group.

    The member of the group that joined first leads it and owns the partitions.

    With `fault_mode` "busy" it answers 503 and does nothing; with "lost" it carries out the next
    append but answers only after 2 s. Calls for `silent_topics` are not carried out, and answered
    only after SILENCE_S. Methods are named after the last part of the URL path.
    """

    def __init__(self, address: str, threads: int = 16) -> None:
        self.lock = threading.Condition()
        self.topics: dict[str, list[bytes]] = {}
        self.epochs: dict[tuple[str, str], int] = {}
        self.sequences: dict[tuple[str, str], int] = {}
        self.stored_offsets: dict[tuple[str, str, int, int], int] = {}
        self.members: dict[str, float] = {}
        self.generation = 1
        self.fault_mode = ""
        self.silent_topics: set[str] = set()
        self.appends: list[tuple[str, bytes]] = []
        self.server = WebServer(address, threads, self.handle, lambda: 4 << 20)

    def handle(self, call: Call) -> Reply:
        query = {k: v[0] for k, v in parse_qs(call.headers.get("QUERY_STRING", "")).items()}
        name = call.path.rpartition("/")[2].replace("-", "_")
        if query.get("topic") in self.silent_topics:
            time.sleep(SILENCE_S)
            return Reply(500, b"{}")
        with self.lock:
            if self.fault_mode == "busy":
                return Reply(503, b"{}")
            reply = getattr(self, name)(call, query)
            if self.fault_mode == "lost" and name == "log_append":
                self.fault_mode = ""
                time.sleep(2.0)
            return reply

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record, as the platform's operator does."""
        with self.lock:
            content = bytes((len(key),)) + key.encode() + value
            self.topics.setdefault(topic, []).append(content)
            self.lock.notify_all()

    def log_append(self, call: Call, query: dict[str, str]) -> Reply:
        topic, producer = query["topic"], query.get("producer", "")
        records = self.topics.setdefault(topic, [])
        self.appends.append((producer, call.body))
        if producer:
            key = (topic, producer)
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            known_epoch = self.epochs.get(key, 0)
            if epoch < known_epoch:
                return Reply(409, b'{"reason":"fenced"}')
            if not call.body:
                self.epochs[key] = epoch
                self.sequences.pop(key, None)
                return _json(200, {"offset": len(records), "end": len(records)})
            if (topic, producer, epoch, sequence) in self.stored_offsets:
                first_offset = self.stored_offsets[topic, producer, epoch, sequence]
                return _json(200, {"offset": first_offset, "end": len(records)})
            last_sequence = self.sequences.get(key) if epoch == known_epoch else None
            if last_sequence is not None and sequence != last_sequence + 1:
                return _json(409, {"reason": "seq", "sequence": last_sequence + 1})
            self.epochs[key], self.sequences[key] = epoch, sequence
            self.stored_offsets[topic, producer, epoch, sequence] = len(records)
        first_offset, position = len(records), 0
        while position < len(call.body):
            (length,) = _LENGTH.unpack_from(call.body, position)
            records.append(call.body[position + 4 : position + 4 + length])
            position += 4 + length
        self.lock.notify_all()
        return _json(200, {"offset": first_offset, "end": len(records)})

    def log_read(self, call: Call, query: dict[str, str]) -> Reply:
        records = self.topics.setdefault(query["topic"], [])
        start = int(query["from"])
        self.lock.wait_for(lambda: len(records) > start, int(query.get("wait-ms", "0")) / 1000)
        body = _PAGE_HEADER.pack(len(records), 0)
        body += b"".join(_LENGTH.pack(len(r)) + r for r in records[start:])
        return Reply(200, body, content_type="application/octet-stream")

    def log_newest(self, call: Call, query: dict[str, str]) -> Reply:
        newest = {}
        for offset, record in enumerate(self.topics.get(query["topic"], [])):
            key = record[1 : 1 + record[0]].decode()
            newest[key] = {
                "key": key,
                "value": base64.b64encode(record[1 + record[0] :]).decode(),
                "offset": offset,
            }
        end = len(self.topics.get(query["topic"], []))
        return _json(200, {"items": list(newest.values()), "more-pages": False, "end": end})

    def _expire(self) -> None:
        now = time.monotonic()
        leader = next(iter(self.members), "")
        self.members = {m: until for m, until in self.members.items() if until > now}
        if next(iter(self.members), "") != leader:
            self.generation += 1

    def log_join(self, call: Call, query: dict[str, str]) -> Reply:
        fields = json.loads(call.body)
        self._expire()
        if fields["member"] not in self.members:
            self.generation += 1
        self.members[fields["member"]] = time.monotonic() + fields["ttl-ms"] / 1000
        is_leader = next(iter(self.members)) == fields["member"]
        rows = [[fields["topics"][0], 0, 0]] if is_leader else []
        return _json(200, {"generation": self.generation, "parts": rows})

    def log_leave(self, call: Call, query: dict[str, str]) -> Reply:
        self.members.pop(json.loads(call.body)["member"], None)
        self.generation += 1
        return _json(200, {})

    def log_owners(self, call: Call, query: dict[str, str]) -> Reply:
        self._expire()
        rows = [["owner", 0, member, 0] for member in list(self.members)[:1]]
        return _json(200, {"parts": rows})


class RunnerStandin:
    """A runner whose tasks take `work_s`; it checks fencing tokens and run numbers.

    Methods are named after the last part of the URL path.
    """

    def __init__(self, address: str, work_s: float) -> None:
        self.lock = threading.Condition()
        self.work_s = work_s
        self.born = time.time_ns() // 1_000_000
        self.fence = 0
        self.running: dict[str, tuple[int, float]] = {}
        self.highest_runs: dict[str, int] = {}
        # Ends that have not been acknowledged, and how many there have been in this life.
        self.ended: list[list] = []
        self.end_count = 0
        self.starts: list[tuple[str, int]] = []
        self.server = WebServer(address, 8, self.handle, lambda: 1 << 20)

    def handle(self, call: Call) -> Reply:
        fields = json.loads(call.body)
        with self.lock:
            if fields.get("fence-token", 0) < self.fence:
                return self._answer(409, reason="fence")
            self.fence = fields.get("fence-token", 0)
            return getattr(self, call.path.rpartition("/")[2].replace("-", "_"))(fields)

    def _answer(self, status: int, **fields: object) -> Reply:
        clock = int(time.monotonic() * 1000)
        return _json(status, {"clock-ms": clock, "born": self.born} | fields)

    def _finish(self) -> None:
        now = time.monotonic()
        for task, (run, until) in list(self.running.items()):
            if now >= until:
                del self.running[task]
                self.add_end(task, run, "done")

    def add_end(self, task: str, run: int, how: str) -> None:
        """List the end of a run until it is acknowledged."""
        self.end_count += 1
        self.ended.append([self.end_count, task, run, how, ""])

    def run_start(self, fields: dict) -> Reply:
        task, run = fields["task"], fields["run-id"]
        if self.running.get(task, (0,))[0] == run:
            return self._answer(200)
        if run <= self.highest_runs.get(task, 0):
            return self._answer(409, reason="old")
        self.highest_runs[task] = run
        self.starts.append((task, run))
        self.running[task] = (run, time.monotonic() + self.work_s)
        return self._answer(200)

    def run_stop(self, fields: dict) -> Reply:
        task, run = fields["task"], fields["run-id"]
        self.highest_runs[task] = max(run, self.highest_runs.get(task, 0))
        if self.running.get(task, (0,))[0] == run:
            del self.running[task]
            self.add_end(task, run, "stopped")
        return self._answer(200)

    def hold(self, fields: dict) -> Reply:
        deadline = time.monotonic() + min(0.3, fields.get("wait-ms", 0) / 1000)
        self._finish()
        born = self.born
        while time.monotonic() < deadline and not self._unread_ends(fields):
            self.lock.wait(0.02)
            if self.born != born:
                # The process that this call was waiting in has ended.
                return self._answer(503)
            self._finish()
        rows = [
            [task, run, "", self.percent_done(task, run)] for task, (run, _) in self.running.items()
        ]
        return self._answer(200, running=rows, ended=self._unread_ends(fields))

    def percent_done(self, task: str, run: int) -> int:
        """How much of a run is listed as done."""
        return 50

    def _unread_ends(self, fields: dict) -> list[list]:
        """Forget the ends that a call acknowledges for good, and return the others."""
        self.ended = [end for end in self.ended if end[0] > fields["ack-cursor"]]
        return self.ended


def _json(status: int, fields: dict) -> Reply:
    return Reply(status, json.dumps(fields).encode())
