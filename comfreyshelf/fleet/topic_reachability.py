"""Whether one topic of the store answers, as other topics may answer while this one does not."""

import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError

from comfreyshelf.fleet.bounds import monotonic
from comfreyshelf.fleet.store import ExpiredError, StoreBusyError, StoreSilentError

# A topic that answered a call within this time, and left none unanswered since, answers.
FRESH_S = 0.5
# A topic that did not answer a probe is not asked again for this long.
PROBE_PAUSE_S = 0.2


class TopicReachability:
    """Tells from the calls of one topic whether it answers; thread-safe.

    `probe` sends a short call to the topic, in a thread of its own. Callers that ask while a probe
    is under way share its result, so that a silent topic gets one probe at a time.
    """

    def __init__(self, probe: Callable[[], object], clock: Callable[[], float] = monotonic) -> None:
        self._probe = probe
        self._clock = clock
        self._lock = threading.Lock()
        self._pool = ThreadPoolExecutor(1, "probe")
        self._running_probe: Future[bool] | None = None
        self._answered_at = float("-inf")
        self._failed_at = float("-inf")
        self._probe_failed_at = float("-inf")

    def record_answer(self) -> None:
        """Record that the topic has answered a call."""
        with self._lock:
            self._answered_at = self._clock()

    def record_failure(self) -> None:
        """Record that a call to the topic got no answer."""
        with self._lock:
            self._failed_at = self._clock()

    def is_answering(self, max_wait_s: float) -> bool:
        """Whether the topic answers now; asks it if no recent call tells.

        A probe that has no answer after `max_wait_s` counts as failed for this caller.
        """
        with self._lock:
            now = self._clock()
            if self._answered_at > self._failed_at and now - self._answered_at <= FRESH_S:
                return True
            if now - self._probe_failed_at < PROBE_PAUSE_S:
                return self._answered_at > self._failed_at
            if self._running_probe is None:
                self._running_probe = self._pool.submit(self._ask)
            running_probe = self._running_probe
        try:
            return running_probe.result(max_wait_s)
        except FutureTimeoutError:
            return False

    def _ask(self) -> bool:
        is_answered = False
        try:
            self._probe()
            is_answered = True
        except (StoreBusyError, StoreSilentError, ExpiredError):
            pass
        finally:
            with self._lock:
                now = self._clock()
                self._running_probe = None
                if is_answered:
                    self._answered_at = now
                else:
                    self._failed_at = self._probe_failed_at = now
        return is_answered
