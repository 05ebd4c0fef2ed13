"""The store of a soak: it may carry out what callers hand in late."""

import threading
import time

from comfreyshelf.fleet.web import Call, Reply
from features.platform_standins import SILENCE_S, StoreStandin


class SoakStore(StoreStandin):
    """A store that, while `late_by_s` is set, answers no append of a job's or a cancel's record.

    It carries each of them out that many seconds later. The owner's appends are not affected.
    """

    def __init__(self, address: str, threads: int) -> None:
        super().__init__(address, threads)
        self.late_by_s = 0.0

    def handle(self, call: Call) -> Reply:
        is_owner = "producer=" in call.headers.get("QUERY_STRING", "")
        if not self.late_by_s or is_owner or not call.path.endswith("/log-append"):
            return super().handle(call)
        timer = threading.Timer(self.late_by_s, super().handle, (call,))
        timer.daemon = True
        timer.start()
        time.sleep(SILENCE_S)
        return Reply(500, b"{}")

    @property
    def leader(self) -> str:
        """The name of the entry that leads, empty if there is none."""
        with self.lock:
            self._expire()
            return next(iter(self.members), "").partition("@")[0]
