"""How long a request may wait for the store before it is refused."""

import threading
from collections import OrderedDict

# A request waits this long for the store to come back.
HOLD_S = 1.2
# The wait is cut to this share of the time that the caller waits for its answer.
HOLD_SHARE = 0.4
# Records whose wait is remembered; the oldest are forgotten first.
MAX_REMEMBERED = 10_000


class HoldWindows:
    """When the wait of each record ends, counted from the first request that brought it here.

    Later requests for the same record get no wait of their own: held again and again, the caller
    would spend all its time at one entry instead of asking another one.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._ends: OrderedDict[str, float] = OrderedDict()

    def end(self, key: str, now: float, deadline_s: float) -> float:
        """The time at which a request that arrived at `now` has to be refused, in seconds."""
        with self._lock:
            end = self._ends.get(key)
            if end is None:
                end = now + min(HOLD_S, HOLD_SHARE * deadline_s)
                self._ends[key] = end
                if len(self._ends) > MAX_REMEMBERED:
                    self._ends.popitem(last=False)
            return end
