"""Stand-in for the platform's store: topics, fenced producers and groups, as PROTOCOL.md has them."""

import base64
import http.client
import json
import struct
import subprocess
import sys
import threading
import time
from pathlib import Path

from review.lab3.httpd import Answer, Call, HttpServer, json_answer

_LENGTH = struct.Struct(">I")
_HEADER = struct.Struct(">QQ")
ANSWER_S = 0.004
KEEP_S = 20.0
PART_BYTES_PER_S = 20e6
READ_BYTES_PER_S = 80e6
MAX_KB = 1024
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
KEPT_ANSWERS = 5


class _Topic:
    """One partition of a topic."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.times: list[float] = []
        self.first = 0
        self.written = 0
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.epochs: dict[str, int] = {}
        self.answers: dict[str, dict[int, dict]] = {}
        self.last: dict[str, int] = {}
        self.lock = threading.Lock()

    def add(self, content: bytes, is_keyed: bool) -> None:
        self.records.append(content)
        self.written += len(content)
        self.times.append(time.monotonic())
        if is_keyed:
            key = content[1 : 1 + content[0]].decode()
            value = content[1 + content[0] :]
            if value:
                self.newest[key] = (len(self.records) - 1, value)
            else:
                self.newest.pop(key, None)

    def expire(self) -> None:
        limit = time.monotonic() - KEEP_S
        while self.first < len(self.records) and self.times[self.first] < limit:
            self.records[self.first] = b""
            self.first += 1


class _Group:
    def __init__(self) -> None:
        self.generation = 0
        self.members: dict[str, float] = {}


class StoreStandin:
    """A store without faults of its own."""

    def __init__(self, address: str) -> None:
        self._lock = threading.Condition()
        self._topics: dict[str, _Topic] = {}
        self._groups: dict[str, _Group] = {}
        # The key whose appends get no answer, until when, and how much later they are carried out.
        self._lost = (b"", 0.0, 0.0)
        self.writes = self.lost_writes = 0
        self.server = HttpServer(address, self._handle)
        self.server.start()

    def _lose(self, call: Call) -> Answer:
        """Lose the answers to appends of one key, and carry them out later; for the trial only."""
        query = call.query
        until = time.monotonic() + float(query["for"])
        self._lost = (query["key"].encode(), until, float(query["delay"]))
        self.writes = self.lost_writes = 0
        return json_answer(200, {})

    def _count_lost(self, call: Call) -> Answer:
        """Writes since `_lose`, and those of them whose answer was lost; for the trial only."""
        return json_answer(200, {"writes": self.writes, "lost": self.lost_writes})

    def _size(self, call: Call) -> Answer:
        """Bytes of all records that were ever appended to a topic; for the trial only."""
        with self._lock:
            return json_answer(200, {"size": self._topic(call.query["topic"]).written})

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    def _group(self, name: str) -> _Group:
        return self._groups.setdefault(name, _Group())

    def _handle(self, call: Call) -> Answer:
        time.sleep(ANSWER_S)
        name = call.path.rpartition("/")[2].replace("-", "_")
        return getattr(self, f"_{name}")(call)

    def _log_append(self, call: Call) -> Answer:
        name = call.query["topic"]
        key, until, delay_s = self._lost
        is_lost = bool(key) and key in call.body and time.monotonic() < until
        with self._lock:
            topic = self._topic(name)
            if time.monotonic() < until:
                self.writes += 1
                self.lost_writes += is_lost
        if is_lost:
            time.sleep(delay_s)
        with topic.lock:
            time.sleep(len(call.body) / PART_BYTES_PER_S)
            with self._lock:
                answer = self._append(topic, name.startswith("keyed."), call)
                self._lock.notify_all()
        if is_lost:
            # The connection ends without an answer.
            raise OSError("the answer is lost")
        return answer

    def _append(self, topic: _Topic, is_keyed: bool, call: Call) -> Answer:
        producer = call.query.get("producer", "")
        if producer:
            epoch, sequence = int(call.query["epoch"]), int(call.query["sequence"])
            known = topic.epochs.get(producer, -1)
            if epoch < known:
                return json_answer(409, {"reason": "fenced"})
            if epoch > known:
                topic.epochs[producer], topic.answers[producer] = epoch, {}
                topic.last.pop(producer, None)
            if not call.body:
                end = len(topic.records)
                return json_answer(200, {"offset": end, "end": end})
            if sequence in topic.answers[producer]:
                return json_answer(200, topic.answers[producer][sequence])
            last = topic.last.get(producer)
            if last is not None and sequence != last + 1:
                return json_answer(409, {"reason": "seq", "sequence": last + 1})
        offset, position = len(topic.records), 0
        while position < len(call.body):
            (length,) = _LENGTH.unpack_from(call.body, position)
            topic.add(call.body[position + 4 : position + 4 + length], is_keyed)
            position += 4 + length
        fields = {"offset": offset, "end": len(topic.records)}
        if producer:
            topic.last[producer] = sequence
            answers = topic.answers[producer]
            answers[sequence] = fields
            for old in sorted(answers)[:-KEPT_ANSWERS]:
                del answers[old]
        return json_answer(200, fields)

    def _log_read(self, call: Call) -> Answer:
        start, wait_s = int(call.query["from"]), int(call.query.get("wait-ms", "0")) / 1000
        max_bytes = int(call.query.get("max-kb", MAX_KB)) * 1024
        with self._lock:
            topic = self._topic(call.query["topic"])
            topic.expire()
            if start < topic.first:
                return json_answer(410, {"first": topic.first})
            self._lock.wait_for(lambda: len(topic.records) > start, wait_s)
            parts, size = [_HEADER.pack(len(topic.records), topic.first)], 0
            for record in topic.records[start:]:
                size += 4 + len(record)
                if size > max_bytes and len(parts) > 1:
                    break
                parts.append(_LENGTH.pack(len(record)) + record)
        time.sleep(size / READ_BYTES_PER_S)
        return 200, b"".join(parts)

    def _log_newest(self, call: Call) -> Answer:
        after = call.query.get("depends-on", "")
        with self._lock:
            topic = self._topic(call.query["topic"])
            items, size = [], 0
            keys = sorted(key for key in topic.newest if key > after)
            for key in keys:
                offset, value = topic.newest[key]
                size += len(value)
                if len(items) == PAGE_ITEMS or (items and size > PAGE_BYTES):
                    break
                items.append(
                    {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                )
            more = len(items) < len(keys)
            fields = {"items": items, "more-pages": more, "end": len(topic.records)}
        time.sleep(size / READ_BYTES_PER_S)
        return json_answer(200, fields)

    def _holder(self, group: _Group) -> str:
        now = time.monotonic()
        for member in [m for m, until in group.members.items() if until <= now]:
            del group.members[member]
            group.generation += 1
        return next(iter(group.members), "")

    def _log_join(self, call: Call) -> Answer:
        fields = call.fields()
        with self._lock:
            group = self._group(fields["group"])
            self._holder(group)
            if fields["member"] not in group.members:
                group.generation += 1
            group.members[fields["member"]] = time.monotonic() + fields["ttl-ms"] / 1000
            holds = self._holder(group) == fields["member"]
            rows = [[topic, 0, 0] for topic in fields["topics"]] if holds else []
            return json_answer(200, {"generation": group.generation, "parts": rows})

    def _log_leave(self, call: Call) -> Answer:
        fields = call.fields()
        with self._lock:
            group = self._group(fields["group"])
            if group.members.pop(fields["member"], None) is not None:
                group.generation += 1
        return json_answer(200, {})

    def _log_owners(self, call: Call) -> Answer:
        with self._lock:
            name = call.query["group"]
            holder = self._holder(self._group(name))
        rows = [[name, 0, holder, 0]] if holder else []
        return json_answer(200, {"parts": rows})


class StoreProcess:
    """The stand-in in a process of its own, as seen by a trial."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._process = subprocess.Popen(
            [sys.executable, "-m", "review.lab3.store", address],
            cwd=Path(__file__).resolve().parent.parent.parent,
        )
        for _ in range(100):
            try:
                self._call("GET", "/v1/log-owners?group=owner")
                return
            except OSError:
                time.sleep(0.1)
        raise OSError("the stand-in of the store does not start")

    def _call(self, method: str, path: str, body: bytes = b"") -> dict:
        host, _, port = self.address.partition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=5.0)
        try:
            conn.request(method, path, body)
            return json.loads(conn.getresponse().read())
        finally:
            conn.close()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record, as the operator does."""
        content = bytes((len(key),)) + key.encode() + value
        body = _LENGTH.pack(len(content)) + content
        self._call("POST", f"/v1/log-append?topic={topic}&part=0", body)

    def size(self, topic: str) -> int:
        """Bytes of all records that were ever appended to a topic."""
        return self._call("GET", f"/v1/size?topic={topic}")["size"]

    def lose(self, key: str, for_s: float, delay_s: float) -> None:
        """Lose the answers to appends of one key for a while, and carry them out later."""
        self._call("POST", f"/v1/lose?key={key}&for={for_s}&delay={delay_s}")

    def count_lost(self) -> dict[str, int]:
        """The writes since `lose`, and those of them whose answer was lost."""
        return self._call("GET", "/v1/count-lost")

    def leader(self, group: str) -> str:
        """The member that holds the partition of a group; empty if there is none."""
        rows = self._call("GET", f"/v1/log-owners?group={group}")["parts"]
        return rows[0][2] if rows else ""

    def close(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait()


if __name__ == "__main__":
    StoreStandin(sys.argv[1])
    threading.Event().wait()
