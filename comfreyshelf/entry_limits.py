"""Limits at an entry on the request rate and the queued jobs, per organisation and caller."""

import math
from collections import Counter
from collections.abc import Iterable

import msgspec

from comfreyshelf.config import Caller, Organisation
from comfreyshelf.errors import Refusal, not_run
from comfreyshelf.ids import CallerId, OrganisationId
from comfreyshelf.reasons import RefusalReason

MAX_RETRY_AFTER_S = 60
# A recount visits every job of the ledger, which is too slow for each submission.
RECOUNT_INTERVAL_S = 0.5

JobOwner = tuple[OrganisationId, CallerId]


class TokenBucket(msgspec.Struct):
    """A bucket that gains `rate` tokens a second up to `burst`; `refilled_at` is in seconds."""

    rate: float
    burst: float
    tokens: float
    refilled_at: float

    def refill(self, rate: float, burst: float, now: float) -> None:
        """Add the tokens gained since `refilled_at`; changed limits apply from now on."""
        gained = max(0.0, now - self.refilled_at) * self.rate
        self.tokens = min(burst, self.tokens + gained)
        self.rate = rate
        self.burst = burst
        self.refilled_at = now

    def wait_s(self) -> float:
        """Seconds until a whole token is available, 0 if one is available now."""
        return max(0.0, 1.0 - self.tokens) / self.rate


class RateLimits:
    """Token buckets per organisation and per caller; a token is taken from both or neither.

    Each of `entries` entries enforces an equal share of the published rate.
    """

    def __init__(self) -> None:
        self._buckets: dict[tuple[str, str], TokenBucket] = {}

    def take_token(
        self, organisation: Organisation, caller: Caller, entries: int, now: float
    ) -> Refusal | None:
        """Take a token for one new job or request, or refuse."""
        share = 1.0 / max(1, entries)
        organisation_bucket = self._bucket(
            (organisation.id, ""), organisation.rate * share, organisation.burst, now
        )
        caller_bucket = self._bucket(
            (organisation.id, caller.id), caller.rate * share, caller.burst, now
        )
        wait_s = max(organisation_bucket.wait_s(), caller_bucket.wait_s())
        if wait_s > 0:
            limited_party = (
                "organisation"
                if organisation_bucket.wait_s() >= caller_bucket.wait_s()
                else "caller"
            )
            return _rate_limit_refusal(limited_party, wait_s)
        organisation_bucket.tokens -= 1
        caller_bucket.tokens -= 1
        return None

    def _bucket(self, key: tuple[str, str], rate: float, burst: int, now: float) -> TokenBucket:
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = TokenBucket(rate, burst, burst, now)
        bucket.refill(rate, burst, now)
        return bucket


class QueueLimits:
    """Queued jobs per organisation and caller.

    The counts are taken from the ledger every RECOUNT_INTERVAL_S and grow with each admission in
    between, so only jobs that other entries accept within that time can exceed the limit.
    """

    def __init__(self) -> None:
        self._counts: Counter[JobOwner] = Counter()
        self._totals: Counter[OrganisationId] = Counter()
        self._counted_at = -math.inf

    def is_stale(self, now: float) -> bool:
        """Whether the counts are due for `recount`."""
        return now - self._counted_at >= RECOUNT_INTERVAL_S

    def recount(self, queued: Iterable[JobOwner], now: float) -> None:
        """Replace the counts; `queued` has the owner of each queued job."""
        self._counts = Counter(queued)
        self._totals = Counter()
        for (organisation, _), count in self._counts.items():
            self._totals[organisation] += count
        self._counted_at = now

    def admit(self, organisation: Organisation, caller: Caller) -> Refusal | None:
        """Count one more queued job, or refuse."""
        key = (organisation.id, caller.id)
        if self._counts[key] >= caller.max_queued:
            return _queue_full_refusal("caller", caller.max_queued)
        if self._totals[organisation.id] >= organisation.max_queued:
            return _queue_full_refusal("organisation", organisation.max_queued)
        self._counts[key] += 1
        self._totals[organisation.id] += 1
        return None


def _rate_limit_refusal(limited_party: str, wait_s: float) -> Refusal:
    return not_run(
        RefusalReason.RATE_LIMIT,
        f"the rate limit of the {limited_party} is reached",
        "send less often, or wait for the time in 'Retry-After'",
        min(MAX_RETRY_AFTER_S, max(1, math.ceil(wait_s))),
    )


def _queue_full_refusal(limited_party: str, limit: int) -> Refusal:
    return not_run(
        RefusalReason.QUEUE_FULL,
        f"the {limited_party} has {limit} queued jobs, which is its limit",
        "submit again when some of them have started",
        5,
    )
