"""The owner's side of keeping what it learns: it merges what was read and sends what changed."""

from collections.abc import Callable

from comfreyshelf.fleet.learned.messages import (
    KeeperMessage,
    LearnedChanged,
    LearnedRead,
    TermEnded,
    TermStarted,
)
from comfreyshelf.fleet.learned.state import LearnedState
from comfreyshelf.logs import log_event
from comfreyshelf.metrics import Metrics

WRITE_INTERVAL_S = 5.0


class LearnedExchange:
    """Passes any number of learned states between one owner's policies and the keeper.

    A state that cannot be encoded or merged costs only itself. It is logged once in a term.
    """

    def __init__(self, metrics: Metrics, max_record_bytes: int) -> None:
        self._metrics = metrics
        self._max_record_bytes = max_record_bytes
        self.send: Callable[[KeeperMessage], None] = lambda message: None
        self._epoch = 0
        self._states: tuple[LearnedState, ...] = ()
        # Whether the records of earlier owners were merged; nothing is sent before.
        self._is_read = False
        self._sent_at = float("-inf")
        self._revisions: dict[str, int | None] = {}
        self._values: dict[str, bytes] = {}
        self._logged: set[tuple[str, str]] = set()

    def begin_term(self, epoch: int, states: tuple[LearnedState, ...]) -> None:
        """Ask for the records of earlier owners; without states there is nothing to keep."""
        self._epoch, self._states, self._is_read = epoch, states, False
        self._sent_at = float("-inf")
        self._revisions, self._values, self._logged = {}, {}, set()
        if states:
            self.send(TermStarted(epoch))

    def end_term(self) -> None:
        """Keep nothing more."""
        if self._states:
            self.send(TermEnded())
        self._states = ()

    def merge(self, read: LearnedRead, unix_now: float) -> None:
        """Merge the records of earlier owners, once in a term."""
        if read.epoch != self._epoch or self._is_read:
            return
        self._is_read = True
        for state in self._states:
            value = read.values.get(state.name)
            if value is None:
                continue
            has_learned = state.revision != 0
            try:
                state.merge(value, unix_now)
            except Exception as exc:  # Whatever the store holds must not stop the owner.
                self._record_failure("unreadable", state, repr(exc))
            if not has_learned:
                self._revisions[state.name] = state.revision
            self._values[state.name] = value

    def send_changes(self, now: float, unix_now: float) -> None:
        """Send the records that changed, at most every WRITE_INTERVAL_S."""
        if not self._is_read or now - self._sent_at < WRITE_INTERVAL_S:
            return
        changed: dict[str, bytes] = {}
        for state in self._states:
            revision = state.revision
            if revision is not None and revision == self._revisions.get(state.name, 0):
                continue
            try:
                value = state.encode(unix_now)
            except Exception as exc:
                self._record_failure("not_encoded", state, repr(exc))
                continue
            self._revisions[state.name] = revision
            if len(value) > self._max_record_bytes:
                why = f"{len(value)} bytes, and {self._max_record_bytes} can be stored"
                self._record_failure("too_large", state, why)
            elif value != self._values.get(state.name):
                self._values[state.name] = changed[state.name] = value
        if changed:
            self._sent_at = now
            self.send(LearnedChanged(self._epoch, changed))

    def _record_failure(self, how: str, state: LearnedState, why: str) -> None:
        self._metrics.count(f'learned_records_ignored{{reason="{how}"}}')
        if (how, state.name) not in self._logged:
            self._logged.add((how, state.name))
            log_event("learned record ignored", record=state.name, reason=how, why=why)
