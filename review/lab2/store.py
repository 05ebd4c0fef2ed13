"""Stand-in of the platform's metadata store: log topics, keyed topics, producers and groups."""

import base64
import json
import struct
import threading
import time

from review.lab2.web import Server, Silence

ANSWER_S = 0.004
PAGE_ITEMS = 500
RETAINED_SEQUENCES = 5


class Topic:
    """Records of the only partition of a topic, and its fenced producers."""

    def __init__(self):
        self.records = []
        # Producer -> (epoch, last sequence, {sequence: first offset}).
        self.producers = {}


class Store:
    """Linearizable; `lose_late(topic, body)` tells for an append in how many seconds it is done.

    It returns None for an append that is answered as usual. One that is not gets no answer.
    """

    def __init__(self, address, record):
        self.record = record
        self.lock = threading.Condition()
        self.topics = {}
        self.members = {}
        self.generation = 1
        self.lose_late = None
        self.writes = self.lost = 0
        self._timers = []
        self.server = Server(address, self.handle)

    def stop(self):
        for timer in self._timers:
            timer.cancel()
        self.server.stop()

    def handle(self, method, path, query, headers, body):
        time.sleep(ANSWER_S)
        name = path.rpartition("/")[2].replace("-", "_")
        if name in ("log_append", "log_join", "log_leave"):
            self.writes += 1
        if name == "log_append" and self.lose_late is not None:
            delay_s = self.lose_late(query["topic"], body)
            if delay_s is not None:
                self.lost += 1
                timer = threading.Timer(delay_s, self._late, (query, body))
                timer.daemon = True
                self._timers.append(timer)
                timer.start()
                raise Silence
        with self.lock:
            return getattr(self, name)(query, body)

    def _late(self, query, body):
        with self.lock:
            status, answer = self.log_append(query, body)
        self.record("store", "late append carried out", topic=query["topic"], status=status)

    def put(self, topic, key, value):
        """Append a keyed record, as the operator does."""
        content = bytes((len(key),)) + key.encode() + value
        with self.lock:
            self.topics.setdefault(topic, Topic()).records.append(content)
            self.lock.notify_all()

    def log_append(self, query, body):
        topic = self.topics.setdefault(query["topic"], Topic())
        records = topic.records
        if "producer" in query:
            name, epoch, sequence = query["producer"], int(query["epoch"]), int(query["sequence"])
            known_epoch, last, offsets = topic.producers.get(name, (-1, None, {}))
            if epoch < known_epoch:
                return 409, {"reason": "fenced"}
            if epoch > known_epoch:
                last, offsets = None, {}
            if body:
                if sequence in offsets:
                    return 200, {"offset": offsets[sequence], "end": len(records)}
                if last is not None and sequence != last + 1:
                    return 409, {"reason": "seq", "sequence": last + 1}
                last = sequence
                offsets = {k: v for k, v in offsets.items() if k > sequence - RETAINED_SEQUENCES}
                offsets[sequence] = len(records)
            topic.producers[name] = (epoch, last, offsets)
        first, position = len(records), 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        self.lock.notify_all()
        return 200, {"offset": first, "end": len(records)}

    def log_read(self, query, body):
        records = self.topics.setdefault(query["topic"], Topic()).records
        start, limit = int(query["from"]), int(query.get("max-kb", 1024)) * 1024
        self.lock.wait_for(lambda: len(records) > start, int(query.get("wait-ms", 0)) / 1000)
        parts, size = [struct.pack(">QQ", len(records), 0)], 0
        for content in records[start:]:
            if size and size + len(content) + 4 > limit:
                break
            parts.append(struct.pack(">I", len(content)) + content)
            size += len(content) + 4
        return 200, b"".join(parts)

    def log_newest(self, query, body):
        records = self.topics.setdefault(query["topic"], Topic()).records
        newest = {}
        for offset, content in enumerate(records):
            key, value = content[1 : 1 + content[0]].decode(), content[1 + content[0] :]
            newest.pop(key, None)
            if value:
                newest[key] = (value, offset)
        after = query.get("depends-on", "")
        keys = sorted(key for key in newest if key > after)
        items = [
            {"key": k, "value": base64.b64encode(newest[k][0]).decode(), "offset": newest[k][1]}
            for k in keys[:PAGE_ITEMS]
        ]
        more = keys[PAGE_ITEMS - 1] if len(keys) > PAGE_ITEMS else False
        return 200, {"items": items, "more-pages": more, "end": len(records)}

    def _expire(self):
        now = time.monotonic()
        gone = [m for m, until in self.members.items() if until <= now]
        for member in gone:
            del self.members[member]
        self.generation += bool(gone)

    def log_join(self, query, body):
        fields = json.loads(body)
        self._expire()
        if fields["member"] not in self.members:
            self.generation += 1
        self.members[fields["member"]] = time.monotonic() + fields["ttl-ms"] / 1000
        is_leader = next(iter(self.members)) == fields["member"]
        rows = [[fields["topics"][0], 0, 0]] if is_leader else []
        return 200, {"generation": self.generation, "parts": rows}

    def log_leave(self, query, body):
        if self.members.pop(json.loads(body)["member"], None) is not None:
            self.generation += 1
        return 200, {}

    def log_owners(self, query, body):
        self._expire()
        return 200, {"parts": [["owner", 0, m, 0] for m in list(self.members)[:1]]}

    def leader(self):
        """The node name of the member that leads; empty without one."""
        with self.lock:
            self._expire()
            return next(iter(self.members), "").partition("@")[0]
