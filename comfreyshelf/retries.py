"""Retry budgets, jittered delays, deadlines, and when a request may be sent once more."""

import math
import random

import msgspec
from expression import Error, Ok, Result

from comfreyshelf.errors import Refusal, not_run
from comfreyshelf.ids import OrganisationId
from comfreyshelf.reasons import RefusalReason, RetryReason

BASE_DELAY_S = 0.01
MAX_DELAY_S = 1.0
MAX_ATTEMPTS = 5
# A budget holds at most the retries added by this many first requests. It starts full, so that the
# requests of a short fault can be retried.
MAX_BUDGET_REQUESTS = 100
# Floating-point error: ten additions of 0.1 give slightly less than 1.
ROUNDING_TOLERANCE = 1e-9
MAX_DEADLINE_MS = 86_400_000
# Another runner would refuse the request for the same reason.
NON_RETRYABLE_REASONS = frozenset(
    {
        RefusalReason.TOO_LARGE,
        RefusalReason.DEADLINE_PASSED,
        RefusalReason.DEPENDENCY_DOWN,
    }
)


class FailedAttempt(msgspec.Struct, frozen=True):
    """How one attempt ended without a whole answer.

    `proven_not_started` means that the attempt never started and never will, because
    `RequestAnswer.started` is False, `StartDisproved.disproved` is True, or the attempt was never
    handed to a pipe.
    """

    reason: RetryReason
    proven_not_started: bool
    refusal: Refusal


class Retry(msgspec.Struct, frozen=True):
    """Send the request once more after `delay_s` seconds."""

    delay_s: float


class RetryBudgets:
    """A token bucket of retries per organisation, filled by its first requests.

    With a ratio of 0.2, each first request adds 0.2 retries.
    """

    def __init__(self) -> None:
        self._tokens: dict[OrganisationId, float] = {}

    def deposit(self, organisation: OrganisationId, ratio: float) -> None:
        """Add `ratio` retries to the budget for a first request."""
        cap = ratio * MAX_BUDGET_REQUESTS
        tokens = self._tokens.get(organisation, cap)
        self._tokens[organisation] = min(cap, tokens + ratio)

    def try_withdraw(self, organisation: OrganisationId) -> bool:
        """Take one retry; returns False if the budget is used up."""
        tokens = self._tokens.get(organisation, 0.0)
        if tokens < 1.0 - ROUNDING_TOLERANCE:
            return False
        self._tokens[organisation] = max(0.0, tokens - 1.0)
        return True


class RetryPolicy:
    """Decides whether and when an attempt is followed by another one."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._budgets = RetryBudgets()

    def record_first_request(self, organisation: OrganisationId, ratio: float) -> None:
        """Record a first request, which adds to the organisation's retry budget."""
        self._budgets.deposit(organisation, ratio)

    def decide(
        self,
        outcome: FailedAttempt,
        organisation: OrganisationId,
        idempotent: bool,
        attempt: int,
        remaining_s: float,
    ) -> Result[Retry, Refusal]:
        """Decide whether attempt number `attempt` (from 1) is followed by a retry.

        `remaining_s` is the time to the deadline; the error is the refusal for the caller.

        A non-idempotent request is repeated only after a proof that it did not start.
        """
        if not outcome.proven_not_started and not idempotent:
            return Error(outcome.refusal)
        if outcome.refusal.reason in NON_RETRYABLE_REASONS:
            return Error(outcome.refusal)
        delay_s = self.delay_s(attempt)
        if attempt >= MAX_ATTEMPTS or delay_s >= remaining_s:
            return Error(outcome.refusal)
        if not self._budgets.try_withdraw(organisation):
            return Error(_budget_exhausted(outcome.refusal))
        return Ok(Retry(delay_s))

    def delay_s(self, attempt: int) -> float:
        """Exponential delay in seconds after attempt `attempt`, with jitter over its upper half."""
        ceiling = min(MAX_DELAY_S, BASE_DELAY_S * 2 ** (attempt - 1))
        return self._rng.uniform(ceiling / 2, ceiling)


def _budget_exhausted(refusal: Refusal) -> Refusal:
    return Refusal(
        RefusalReason.RETRY_BUDGET,
        refusal.execution,
        f"{refusal.message}; the organisation's retry budget is used up",
        refusal.remedy,
        max(1, refusal.retry_after_s),
    )


def parse_deadline_s(header: str | None, timeout_s: float) -> Result[float, Refusal]:
    """Seconds that a request may take: the caller's `Deadline-Ms`, at most the service's timeout.

    parse_deadline_s("1500", 30.0) is Ok(1.5).
    """
    if header is None:
        return Ok(timeout_s)
    try:
        value = float(header)
    except ValueError:
        value = math.nan
    if not 0 <= value <= MAX_DEADLINE_MS:
        return Error(
            not_run(
                RefusalReason.MALFORMED,
                "'Deadline-Ms' is not a number of milliseconds",
                f"give a number from 1 to {MAX_DEADLINE_MS}",
            )
        )
    if value == 0:
        return Error(deadline_passed())
    return Ok(min(value / 1000, timeout_s))


def deadline_passed() -> Refusal:
    """The deadline passed before the request was sent to any runner."""
    return not_run(
        RefusalReason.DEADLINE_PASSED,
        "the deadline passed before the request was sent",
        "allow more time in 'Deadline-Ms'",
    )
