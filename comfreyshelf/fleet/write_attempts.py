"""Attempts to write a record: how long requests wait, and whether an append is unanswered."""

import threading
from collections import OrderedDict

import msgspec

# A request waits at most this long for the store to become reachable again.
MAX_STORE_WAIT_S = 1.2
# Limit of the wait as a share of the time that the caller allows for its request.
MAX_STORE_WAIT_SHARE = 0.4
# Limit of the table; the oldest records are evicted first.
MAX_TRACKED_RECORDS = 10_000


class WriteAttempts(msgspec.Struct):
    """State of the requests to write one record.

    They wait for the store until `wait_until`. While `unanswered`, an append was sent without an
    answer and may still be carried out, so the request must not be refused as not run.
    """

    wait_until: float
    unanswered: bool = False


class WriteAttemptTable:
    """The write attempts for each record since the first request came to this entry.

    Later requests for the same record share the time limit of the first one. If each had its own,
    a caller that retries would spend all its time at one entry instead of asking another one.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._attempts: OrderedDict[str, WriteAttempts] = OrderedDict()

    def get_or_add(self, key: str, now: float, deadline_s: float) -> WriteAttempts:
        """The attempts for the record `key`, added at `now` if it is new; times are in seconds."""
        with self._lock:
            attempts = self._attempts.get(key)
            if attempts is None:
                attempts = WriteAttempts(
                    now + min(MAX_STORE_WAIT_S, MAX_STORE_WAIT_SHARE * deadline_s)
                )
                self._attempts[key] = attempts
                if len(self._attempts) > MAX_TRACKED_RECORDS:
                    self._attempts.popitem(last=False)
            return attempts
