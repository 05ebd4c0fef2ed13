"""HTTP client of the platform's store: the keyed topics of its log, and its groups."""

import base64
import struct
from typing import Protocol
from urllib.parse import urlencode

import msgspec

from comfreyshelf.fleet.http import JSON_HEADERS, HttpResponse
from comfreyshelf.fleet.store import (
    Batch,
    ExpiredError,
    FencedError,
    KeyedRecord,
    Membership,
    Store,
    StoreSilentError,
    Writer,
)

CALL_TIMEOUT_S = 1.2
# The store usually answers an append within some milliseconds. After each append without an answer,
# the timeout doubles, up to MAX_APPEND_TIMEOUT_S.
APPEND_TIMEOUT_S = 0.5
MAX_APPEND_TIMEOUT_S = 2.0
# Added to the timeout of a read, as the store answers a little after the requested wait.
READ_SLACK_S = 1.0
# Limit on the pages of one listing, of 500 records each. The last page has no further key.
MAX_PAGES = 1000

_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")
# Prefix of topics of which the store keeps the newest record of each key.
_KEYED_PREFIX = "keyed."


class Transport(Protocol):
    """Sends calls to the store, directly or through a peer."""

    def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes,
        content_type: str,
        is_long_poll: bool = False,
    ) -> HttpResponse:
        """Send one call; raises StoreBusyError or StoreSilentError."""


class _NewestItem(msgspec.Struct):
    key: str
    # In base64.
    value: str
    offset: int


class _NewestPage(msgspec.Struct, rename="kebab"):
    items: list[_NewestItem]
    # The topic's end offset when the page was read.
    end: int
    # Either True or the key to continue with; the format does not specify which.
    more_pages: object = False


class _JoinAnswer(msgspec.Struct):
    generation: int
    # The partitions that the member holds: rows that begin with topic and partition number.
    parts: list[tuple[str, int, int]]


class _OwnersAnswer(msgspec.Struct):
    # Rows that begin with topic, partition number and member.
    parts: list[tuple[str, int, str, int]] = []


class _AppendAnswer(msgspec.Struct):
    offset: int


def encode_records(records: list[KeyedRecord]) -> bytes:
    """The body of an append.

    Each record is its length in 4 bytes, the key's length in 1 byte, the key and the value.
    """
    parts = []
    for record in records:
        key = record.key.encode()
        content = bytes((len(key),)) + key + record.value
        parts.append(_LENGTH.pack(len(content)) + content)
    return b"".join(parts)


def decode_batch(body: bytes, offset: int) -> Batch:
    """The records of a read that began at `offset`.

    The body begins with the topic's end offset and the offset of the first record. A last record
    that is cut short is left out. Raises StoreSilentError if the body is shorter than its header.
    """
    if len(body) < _READ_HEADER.size:
        raise StoreSilentError("the store's answer to a read has no complete header", "read again")
    end, first = _READ_HEADER.unpack_from(body)
    position, record_offset = _READ_HEADER.size, max(offset, first)
    records = []
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        content = body[position : position + length]
        position += length
        if len(content) < length:
            break
        key_length = content[0] if content else 0
        key = content[1 : 1 + key_length].decode(errors="replace")
        records.append(KeyedRecord(key, content[1 + key_length :], record_offset))
        record_offset += 1
    return Batch(tuple(records), record_offset, end)


class LogStore(Store):
    """A Store that uses the log and group calls of the platform's store, through a transport."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport
        self._append_timeout_s = APPEND_TIMEOUT_S

    def append(
        self,
        topic: str,
        records: list[KeyedRecord],
        writer: Writer | None = None,
        max_timeout_s: float = float("inf"),
    ) -> int:
        query: dict[str, object] = {"topic": _KEYED_PREFIX + topic, "part": 0}
        if writer is not None:
            query |= {
                "producer": writer.name,
                "epoch": writer.epoch,
                "sequence": writer.sequence,
            }
        timeout_s = min(self._append_timeout_s, max_timeout_s)
        try:
            answer = self._transport.call(
                "POST",
                f"/v1/log-append?{urlencode(query)}",
                timeout_s,
                encode_records(records),
                "application/octet-stream",
            )
        except StoreSilentError:
            self._append_timeout_s = min(MAX_APPEND_TIMEOUT_S, 2 * self._append_timeout_s)
            raise
        self._append_timeout_s = APPEND_TIMEOUT_S
        if answer.status == 200:
            return msgspec.json.decode(answer.body, type=_AppendAnswer).offset
        raise FencedError(
            f"the store answered an append with {answer.status} {answer.body[:80]!r}",
            "give up ownership",
        )

    def read(
        self, topic: str, offset: int, wait_ms: int, max_timeout_s: float = float("inf")
    ) -> Batch:
        query = {"topic": _KEYED_PREFIX + topic, "part": 0, "from": offset, "wait-ms": wait_ms}
        timeout_s = min(READ_SLACK_S + wait_ms / 1000, max_timeout_s)
        answer = self._get("log-read", query, timeout_s, wait_ms > 0)
        if answer.status == 410:
            raise ExpiredError(f"offset {offset} of {topic} expired", "read the newest records")
        self._check(answer)
        return decode_batch(answer.body, offset)

    def read_newest(self, topic: str) -> Batch:
        records: list[KeyedRecord] = []
        end_offsets: list[int] = []
        query: dict[str, object] = {"topic": _KEYED_PREFIX + topic, "part": 0}
        for _ in range(MAX_PAGES):
            answer = self._get("log-newest", query, CALL_TIMEOUT_S)
            self._check(answer)
            page = msgspec.json.decode(answer.body, type=_NewestPage)
            end_offsets.append(page.end)
            records += [
                KeyedRecord(item.key, base64.b64decode(item.value), item.offset)
                for item in page.items
            ]
            if not page.more_pages or not page.items:
                break
            # Despite its name, this field holds the key after which the next page continues.
            query["depends-on"] = page.items[-1].key
        # Pages are not one snapshot, so changes made meanwhile are read from the first page's end.
        return Batch(tuple(records), end_offsets[0], end_offsets[0])

    def join(self, group: str, member: str, topic: str, ttl_ms: int, generation: int) -> Membership:
        joined = msgspec.json.decode(
            self._post(
                "log-join",
                {
                    "group": group,
                    "member": member,
                    "topics": [topic],
                    "ttl-ms": ttl_ms,
                    "generation": generation,
                },
            ),
            type=_JoinAnswer,
        )
        is_leader = any(row[0] == topic and row[1] == 0 for row in joined.parts)
        return Membership(joined.generation, is_leader)

    def leave(self, group: str, member: str) -> None:
        self._post("log-leave", {"group": group, "member": member})

    def find_leader(self, group: str) -> str:
        answer = self._get("log-owners", {"group": group}, CALL_TIMEOUT_S)
        self._check(answer)
        rows = _owner_rows(answer.body)
        return next((row[2] for row in rows if row[1] == 0), "")

    def _get(
        self, call: str, query: dict[str, object], timeout_s: float, is_long_poll: bool = False
    ) -> HttpResponse:
        path = f"/v1/{call}?{urlencode(query)}"
        return self._transport.call("GET", path, timeout_s, b"", "", is_long_poll)

    def _post(self, call: str, fields: dict[str, object]) -> bytes:
        body = msgspec.json.encode(fields)
        answer = self._transport.call(
            "POST", f"/v1/{call}", CALL_TIMEOUT_S, body, JSON_HEADERS["Content-Type"]
        )
        self._check(answer)
        return answer.body

    @staticmethod
    def _check(answer: HttpResponse) -> None:
        if answer.status != 200:
            raise StoreSilentError(
                f"the store answered {answer.status} {answer.body[:80]!r}", "check the call"
            )


def _owner_rows(body: bytes) -> list[tuple[str, int, str, int]]:
    """The partitions of a group as rows that begin with topic, partition number and member.

    The body is either the list of rows itself, or an object with one field that holds it.
    """
    decoded = msgspec.json.decode(body)
    rows = (
        decoded
        if isinstance(decoded, list)
        else next((value for value in decoded.values() if isinstance(value, list)), [])
    )
    return [(str(r[0]), int(r[1]), str(r[2]), int(r[3])) for r in rows if len(r) == 4]
