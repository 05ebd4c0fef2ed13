"""Clients of the platform's append-only log."""

import threading
import time
from abc import ABC, abstractmethod
from collections.abc import Sequence

import msgspec
import urllib3

from comfreyshelf.errors import LogUnavailableError
from comfreyshelf.ids import Offset

MAX_READ_RECORDS = 1000
_REMEDY = "wait until the log service answers again"


class Page(msgspec.Struct, frozen=True):
    """One page of records read from the log.

    `items` are pairs of offset and data, `next` is the offset to read from next, and `oldest` is
    the oldest offset that the log still retains.
    """

    items: list[tuple[int, bytes]]
    next: int
    oldest: int


class LogClient(ABC):
    """An append-only log with offsets; every method raises LogUnavailableError on an outage."""

    @abstractmethod
    def append(self, batch: Sequence[bytes]) -> list[Offset]:
        """Append records in order and return their offsets.

        After LogUnavailableError the append may still have taken effect.
        """

    @abstractmethod
    def read(self, offset: Offset, wait_s: float = 0.0) -> Page:
        """Read up to MAX_READ_RECORDS from `offset`, waiting up to `wait_s` for the first."""

    def close(self) -> None:  # noqa: B027
        """Release connections."""


class MemoryLog(LogClient):
    """An in-memory log that can inject faults: outages, lost answers, delays and expiry.

    Records older than `retention_s` seconds are dropped at each append.
    """

    def __init__(self, retention_s: float = float("inf")) -> None:
        self._retention_s = retention_s
        self._records: list[bytes] = []
        self._append_times: list[float] = []
        self._oldest_offset = 0
        self._condition = threading.Condition()
        self.down = False
        self.lost_answers = 0
        self.delay_s = 0.0
        self.append_count = 0

    def append(self, batch: Sequence[bytes]) -> list[Offset]:
        """Append unless down; a lost answer raises after the append took effect."""
        self._delay()
        with self._condition:
            self._raise_if_down()
            self._expire(self._retention_s)
            first = len(self._records)
            self._records.extend(batch)
            self._append_times.extend([time.time()] * len(batch))
            self.append_count += 1
            self._condition.notify_all()
            if self.lost_answers > 0:
                self.lost_answers -= 1
                raise LogUnavailableError("the answer of the log to an append was lost", _REMEDY)
        return [Offset(first + index) for index in range(len(batch))]

    def read(self, offset: Offset, wait_s: float = 0.0) -> Page:
        """Read retained records, from the oldest one if `offset` has expired."""
        self._delay()
        with self._condition:
            self._raise_if_down()
            if offset >= len(self._records) and wait_s > 0:
                self._condition.wait(wait_s)
            self._raise_if_down()
            first = max(int(offset), self._oldest_offset)
            data = self._records[first : first + MAX_READ_RECORDS]
            items = [(first + index, record) for index, record in enumerate(data)]
            return Page(items, first + len(data), self._oldest_offset)

    def expire(self, max_age_s: float) -> None:
        """Drop records older than `max_age_s` seconds."""
        with self._condition:
            self._expire(max_age_s)

    def expire_before(self, offset: int) -> None:
        """Drop the records below `offset`."""
        with self._condition:
            self._oldest_offset = max(self._oldest_offset, min(offset, len(self._records)))

    def _expire(self, max_age_s: float) -> None:
        cutoff = time.time() - max_age_s
        while (
            self._oldest_offset < len(self._records)
            and self._append_times[self._oldest_offset] < cutoff
        ):
            self._records[self._oldest_offset] = b""
            self._oldest_offset += 1

    def _delay(self) -> None:
        if self.delay_s > 0:
            time.sleep(self.delay_s)

    def _raise_if_down(self) -> None:
        if self.down:
            raise LogUnavailableError("the log is down", _REMEDY)


class HttpLog(LogClient):
    """A client of the log service over HTTP; bodies are msgpack."""

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        self._url = url.rstrip("/") + "/records"
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(maxsize=4, retries=False)

    def append(self, batch: Sequence[bytes]) -> list[Offset]:
        """POST the batch; after a failure it is unknown whether the append took effect."""
        body = msgspec.msgpack.encode(list(batch))
        data = self._request("POST", self._url, self._timeout_s, body)
        return [Offset(offset) for offset in msgspec.msgpack.decode(data, type=list[int])]

    def read(self, offset: Offset, wait_s: float = 0.0) -> Page:
        """GET records with a long poll."""
        url = f"{self._url}?offset={offset}&wait_ms={int(wait_s * 1000)}"
        data = self._request("GET", url, self._timeout_s + wait_s)
        return msgspec.msgpack.decode(data, type=Page)

    def close(self) -> None:
        """Close pooled connections."""
        self._pool.clear()

    def _request(self, method: str, url: str, timeout_s: float, body: bytes | None = None) -> bytes:
        try:
            answer = self._pool.request(method, url, body=body, timeout=timeout_s)
        except urllib3.exceptions.HTTPError as exc:
            raise LogUnavailableError(f"the log service did not answer: {exc}", _REMEDY) from exc
        if answer.status != 200:
            raise LogUnavailableError(
                f"the log service answered status {answer.status}, expected 200", _REMEDY
            )
        return answer.data
