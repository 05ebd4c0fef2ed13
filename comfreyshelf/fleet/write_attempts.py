"""How long a request may wait for the store, and whether it may be refused as not run."""

import threading
from collections import OrderedDict

import msgspec

# A request waits this long for the store to come back.
MAX_STORE_WAIT_S = 1.2
# The wait is cut to this share of the time that the caller waits for its answer.
MAX_STORE_WAIT_SHARE = 0.4
# Records that are remembered; the oldest are forgotten first.
MAX_TRACKED_RECORDS = 10_000


class WriteAttempts(msgspec.Struct):
    """What became of the requests to write one record.

    Requests wait until `wait_until`. An append that is `unanswered` may still be carried out.
    """

    wait_until: float
    unanswered: bool = False


class WriteAttemptTable:
    """The requests to write each record, from the first one that came to this entry on.

    Later requests for the same record get no wait of their own: held again and again, the caller
    would spend all its time at one entry instead of asking another one.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._attempts: OrderedDict[str, WriteAttempts] = OrderedDict()

    def get_or_add(self, key: str, now: float, deadline_s: float) -> WriteAttempts:
        """The attempts for a record, one of which arrives at `now`; times are in seconds."""
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
