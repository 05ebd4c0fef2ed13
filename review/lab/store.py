"""A stand-in of the platform's store: keyed topics, fenced producers and groups."""

import base64
import struct
import threading
import time

from lab.http_server import HttpServer, Request, Response, json_response

APPEND_S = 0.004
PAGE_ITEMS = 500
READ_BYTES = 1024 * 1024
REPEATS = 5


class _Producer:
    """What a partition knows of a producer: its epoch, last sequence and last answers."""

    def __init__(self) -> None:
        self.epoch = -1
        self.sequence: int | None = None
        self.answers: dict[tuple[int, int], dict] = {}


class _Group:
    """A group with one partition, which its oldest member holds."""

    def __init__(self) -> None:
        self.generation = 0
        self.topic = ""
        self.expires_at: dict[str, float] = {}

    def expire(self) -> None:
        """Drop the members that have sent nothing for their time to live."""
        now = time.monotonic()
        for member in [m for m, until in self.expires_at.items() if until < now]:
            del self.expires_at[member]
            self.generation += 1

    def holder(self) -> str:
        """The member that holds the partition; empty if there is none."""
        return next(iter(self.expires_at), "")


class Store:
    """The store at `address`; it loses nothing, and its answers are linearizable."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._changed = threading.Condition()
        self._topics: dict[str, list[bytes]] = {}
        self._producers: dict[tuple[str, str], _Producer] = {}
        self._groups: dict[str, _Group] = {}
        self._server = HttpServer(address, self._handle)

    def close(self) -> None:
        """Stop serving."""
        self._server.close()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record as the operator does."""
        content = bytes((len(key),)) + key.encode() + value
        with self._changed:
            self._topics.setdefault(topic, []).append(content)
            self._changed.notify_all()

    def holder(self, group: str) -> str:
        """The member that holds a group's partition; empty if there is none."""
        with self._changed:
            known = self._groups.get(group)
            if known is None:
                return ""
            known.expire()
            return known.holder()

    def _handle(self, request: Request) -> Response:
        call = request.path.removeprefix("/v1/log-")
        if call == "append":
            return self._append(request)
        if call == "read":
            return self._read(request)
        with self._changed:
            match call:
                case "newest":
                    return self._newest(request)
                case "join":
                    return self._join(request)
                case "leave":
                    return self._leave(request)
                case "owners":
                    return self._owners(request)
        return Response(404)

    def _append(self, request: Request) -> Response:
        query = request.query
        topic = query["topic"]
        with self._changed:
            time.sleep(APPEND_S)
            records = self._topics.setdefault(topic, [])
            producer: _Producer | None = None
            if "producer" in query:
                producer = self._producers.setdefault((topic, query["producer"]), _Producer())
                refusal = self._check_producer(producer, request)
                if refusal is not None:
                    return refusal
            answer = {"offset": len(records), "end": len(records)}
            position = 0
            while position < len(request.body):
                (length,) = struct.unpack_from(">I", request.body, position)
                records.append(request.body[position + 4 : position + 4 + length])
                position += 4 + length
            answer["end"] = len(records)
            if producer is not None:
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                producer.epoch, producer.sequence = epoch, sequence
                producer.answers[epoch, sequence] = answer
                for old in list(producer.answers)[:-REPEATS]:
                    del producer.answers[old]
            self._changed.notify_all()
            return json_response(200, answer)

    def _check_producer(self, producer: _Producer, request: Request) -> Response | None:
        epoch, sequence = int(request.query["epoch"]), int(request.query["sequence"])
        if epoch < producer.epoch:
            return json_response(409, {"reason": "fenced"})
        if (epoch, sequence) in producer.answers:
            return json_response(200, producer.answers[epoch, sequence])
        if epoch == producer.epoch and sequence != (producer.sequence or 0) + 1:
            return json_response(409, {"reason": "seq", "sequence": (producer.sequence or 0) + 1})
        return None

    def _read(self, request: Request) -> Response:
        topic, start = request.query["topic"], int(request.query["from"])
        wait_s = int(request.query.get("wait-ms", "0")) / 1000
        with self._changed:
            records = self._topics.setdefault(topic, [])
            self._changed.wait_for(lambda: len(records) > start, wait_s)
            body = struct.pack(">QQ", len(records), 0)
            for record in records[start:]:
                if len(body) > READ_BYTES:
                    break
                body += struct.pack(">I", len(record)) + record
            return Response(200, body)

    def _newest(self, request: Request) -> Response:
        records = self._topics.get(request.query["topic"], [])
        newest: dict[str, dict] = {}
        for offset, record in enumerate(records):
            key, value = record[1 : 1 + record[0]].decode(), record[1 + record[0] :]
            newest.pop(key, None)
            if value:
                encoded = base64.b64encode(value).decode()
                newest[key] = {"key": key, "value": encoded, "offset": offset}
        after = request.query.get("depends-on", "")
        keys = sorted(key for key in newest if key > after)
        items = [newest[key] for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        return json_response(200, {"items": items, "more-pages": has_more, "end": len(records)})

    def _join(self, request: Request) -> Response:
        fields = request.fields()
        group = self._groups.setdefault(fields["group"], _Group())
        group.expire()
        if fields["member"] not in group.expires_at:
            group.generation += 1
        group.topic = fields["topics"][0]
        group.expires_at[fields["member"]] = time.monotonic() + fields["ttl-ms"] / 1000
        is_holder = group.holder() == fields["member"]
        parts = [[group.topic, 0, 0]] if is_holder else []
        return json_response(200, {"generation": group.generation, "parts": parts})

    def _leave(self, request: Request) -> Response:
        fields = request.fields()
        group = self._groups.setdefault(fields["group"], _Group())
        if group.expires_at.pop(fields["member"], None) is not None:
            group.generation += 1
        return Response(200)

    def _owners(self, request: Request) -> Response:
        group = self._groups.setdefault(request.query["group"], _Group())
        group.expire()
        holder = group.holder()
        rows = [[group.topic, 0, holder, 0]] if holder else []
        return json_response(200, {"rows": rows})
