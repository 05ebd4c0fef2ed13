"""Mechanisms that tests disable, to show that the checkers detect the faults they prevent."""

from collections.abc import Callable
from typing import Any
from unittest import mock

import msgspec

from comfreyshelf import agent, gangs, journal, ledger, placement, retries, router, scheduler
from comfreyshelf.admission import Admission
from comfreyshelf.agent import Agent
from comfreyshelf.ledger import ACCEPTED, Ledger
from comfreyshelf.messages import RequestAnswer
from comfreyshelf.model import AttemptOutcome, JobState, PartState
from comfreyshelf.records import make_record_id
from features.history.events import Promise
from features.history.plan import FaultKind
from features.history.world import EntrySim


class Mutation(msgspec.Struct, frozen=True):
    """A mechanism, the promise that breaks without it, and faults under which it breaks.

    `patches` are the owner, the name and the replacement of each attribute that implements it.
    """

    name: str
    promise: Promise
    faults: tuple[FaultKind, ...]
    patches: tuple[tuple[Any, str, Any], ...]

    def disable(self, stack: Any) -> None:
        """Disable the mechanism until the exit stack closes."""
        for owner, name, replacement in self.patches:
            stack.enter_context(mock.patch.object(owner, name, replacement))


def _any_part_finished(gang: gangs.Gang) -> bool:
    return any(part.state is PartState.FINISHED for part in gang.parts)


def _receive_in_arrival_order(self: router.Router, message: Any) -> None:
    if self._pending and isinstance(message, RequestAnswer):
        self._pending.pop(next(iter(self._pending))).future.set_result(message)


def _flush_without_reading_back(self: journal.Appender) -> None:
    _ORIGINAL_FLUSH(self)
    if self._retry_at > journal.time.monotonic():
        for item in self._unsent:
            self._unconfirmed.pop(item.record.id, None)
            item.future.set_result(journal.AppendResult(None, False))
        self._unsent = []


def _refuse_without_tombstone(self: Admission, request: Any, *args: Any) -> Any:
    answer = _ORIGINAL_REFUSE(self, request, *args)
    self._tombstones.pop(request.request, None)
    return answer


def _offer_without_deduplication(self: Admission, request: Any, *args: Any) -> Any:
    self._tombstones.pop(request.request, None)
    self._running.pop(request.request, None)
    return _ORIGINAL_OFFER(self, request, *args)


def _commit_without_record(self: scheduler.Scheduler, gang: gangs.Gang, now: float) -> None:
    _ORIGINAL_RECORD_START(self, gang, now)
    if gang.phase is gangs.AttemptPhase.RECORDING:
        self._commit(gang, now)


def _always_requeue(gang: gangs.Gang) -> AttemptOutcome:
    return gang.outcome or AttemptOutcome.FAILED


def _accept_every_finish(self: Ledger, record: Any, body: Any) -> ledger.Verdict:
    entry = self.state.jobs.get(body.job)
    if entry is None:
        return ledger.Verdict(False)
    entry.result, entry.digest = body.result, body.digest
    self._end_job(record, entry, JobState.FINISHED)
    return ACCEPTED


def _flush_under_new_ids(self: journal.Appender) -> None:
    for item in self._unsent:
        if item.was_sent:
            self._sequence += 1
            new_id = make_record_id(self._writer, self._sequence)
            item.record = msgspec.structs.replace(item.record, id=new_id)
    _ORIGINAL_FLUSH(self)


def _parse_without_scrap(text: str, version: Any) -> Any:
    parsed = _ORIGINAL_PARSE(text, version)
    return parsed.map(lambda config: msgspec.structs.replace(config, scrapped=frozenset()))


def _accept_any_version(self: Agent, message: Any, now: float) -> list[Any]:
    self.version = message.version
    return _ORIGINAL_ON_WELCOME(self, message, now)


def _accept_any_base(self: Ledger, record: Any, body: Any) -> ledger.Verdict:
    current = self.config.version
    own = msgspec.structs.replace(body, base=current, version=current + 1)
    verdict = _ORIGINAL_PUBLISH(self, record, own)
    self.config = msgspec.structs.replace(self.config, version=body.version)
    return verdict


def _retry_without_proof(self: retries.RetryPolicy, outcome: Any, *args: Any) -> Any:
    return _ORIGINAL_NEXT(self, msgspec.structs.replace(outcome, proven_not_started=True), *args)


def _accept_every_start(*_: Any) -> ledger.Verdict:
    return ACCEPTED


def _always_true(*_: Any) -> bool:
    return True


_ORIGINAL_REFUSE: Callable[..., Any] = Admission._refuse
_ORIGINAL_OFFER: Callable[..., Any] = Admission.offer
_ORIGINAL_ON_WELCOME: Callable[..., Any] = Agent._on_welcome
_ORIGINAL_NEXT: Callable[..., Any] = retries.RetryPolicy.decide
_ORIGINAL_RECORD_START: Callable[..., Any] = scheduler.Scheduler._record_start
_ORIGINAL_FLUSH: Callable[..., Any] = journal.Appender._flush
_ORIGINAL_PARSE: Callable[..., Any] = ledger.parse_config
_ORIGINAL_PUBLISH: Callable[..., Any] = Ledger._apply_config_published

K = FaultKind
MUTATIONS = (
    Mutation(
        "work that may not borrow stays out of planned cells",
        Promise.GUARANTEE,
        (),
        ((placement.BestFit, "keeps_guarantees", False),),
    ),
    Mutation(
        "a gang finishes only with all parts",
        Promise.ANSWER,
        (K.KILL_ENTRY,),
        ((gangs.Gang, "is_finished", property(_any_part_finished)),),
    ),
    Mutation(
        "a failed part stops the whole gang",
        Promise.GANG,
        (K.BAD_WORKER,),
        ((scheduler.Scheduler, "_stop_gang", lambda *_: None),),
    ),
    Mutation(
        "answers are matched by request id",
        Promise.ANSWER,
        (K.MESSAGES_DELAYED,),
        ((router.Router, "receive", _receive_in_arrival_order),),
    ),
    Mutation(
        "results are sent again until they are recorded",
        Promise.ANSWER,
        (K.MESSAGES_LOST,),
        ((agent, "RESULT_RESEND_S", 1e9),),
    ),
    Mutation(
        "a lost answer of the log is resolved by reading the log",
        Promise.REFUSAL,
        (K.LOG_ANSWERS_LOST,),
        ((journal.Appender, "_flush", _flush_without_reading_back),),
    ),
    Mutation(
        "refused requests leave a tombstone",
        Promise.REFUSAL,
        (K.MESSAGES_DOUBLED, K.MESSAGES_DELAYED),
        ((Admission, "_refuse", _refuse_without_tombstone),),
    ),
    Mutation(
        "a repeated request does not start again",
        Promise.AT_MOST_ONCE,
        (K.MESSAGES_DOUBLED,),
        ((Admission, "offer", _offer_without_deduplication),),
    ),
    Mutation(
        "a non-idempotent request is sent again only after a proof",
        Promise.AT_MOST_ONCE,
        (K.BAD_WORKER,),
        ((retries.RetryPolicy, "decide", _retry_without_proof),),
    ),
    Mutation(
        "the first start record of a client key wins",
        Promise.AT_MOST_ONCE,
        (),
        ((Ledger, "_apply_request_started", _accept_every_start),),
    ),
    Mutation(
        "a non-idempotent job waits for its start record",
        Promise.AT_MOST_ONCE,
        (K.LOG_DOWN, K.KILL_ENTRY),
        ((scheduler.Scheduler, "_record_start", _commit_without_record),),
    ),
    Mutation(
        "a non-idempotent job that may have run is not requeued",
        Promise.AT_MOST_ONCE,
        (K.KILL_TARGET,),
        ((gangs.Gang, "final_outcome", _always_requeue),),
    ),
    Mutation(
        "only the first finish record of a job counts",
        Promise.AT_MOST_ONCE,
        (K.LOG_ANSWERS_LOST,),
        (
            (Ledger, "_apply_job_finished", _accept_every_finish),
            (journal.Appender, "_flush", _flush_under_new_ids),
            (journal.Appender, "_is_applied", lambda *_: False),
        ),
    ),
    Mutation(
        "the ledger rejects records of old epochs",
        Promise.ANSWER,
        (K.CUT_LOG,),
        ((Ledger, "_is_current_epoch", _always_true),),
    ),
    Mutation(
        "scrapped targets take no new work",
        Promise.DRAIN,
        (),
        ((ledger, "parse_config", _parse_without_scrap),),
    ),
    Mutation(
        "a planned stop waits until the target is idle",
        Promise.GRACEFUL,
        (),
        ((Agent, "is_idle", property(_always_true)),),
    ),
    Mutation(
        "a stopping entry waits for its calls",
        Promise.GRACEFUL,
        (K.STOP_ENTRY,),
        ((EntrySim, "_drain", _always_true),),
    ),
    Mutation(
        "targets refuse an older configuration version",
        Promise.CONFIGURATION,
        (K.MESSAGES_DELAYED, K.OPERATORS_RACE),
        ((Agent, "_on_welcome", _accept_any_version),),
    ),
    Mutation(
        "a publication must be based on the version in force",
        Promise.CONFIGURATION,
        (K.OPERATORS_RACE,),
        ((Ledger, "_apply_config_published", _accept_any_base),),
    ),
)
