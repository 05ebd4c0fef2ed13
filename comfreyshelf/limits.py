"""Queue limits with shedding, and delays of retries."""

import random
from collections import Counter
from collections.abc import Iterable

from comfreyshelf.config import Caller, Config, Organisation
from comfreyshelf.ids import CallerId, JobId, OrganisationId
from comfreyshelf.model import Job

RETRY_BASE_DELAY_S = 2.0
RETRY_MAX_DELAY_S = 300.0
# Capacity of an organisation's retry budget, a token bucket; each retry takes one token.
MAX_RETRY_TOKENS = 10.0


class QueueLimits:
    """Counts queued jobs and chooses what to shed above `max_queued`."""

    def __init__(self) -> None:
        self._by_organisation: Counter[OrganisationId] = Counter()
        self._by_caller: Counter[CallerId] = Counter()

    def add(self, job: Job) -> None:
        """Count a queued job."""
        self._by_organisation[job.organisation] += 1
        self._by_caller[job.caller] += 1

    def remove(self, job: Job) -> None:
        """Stop counting a job that left the queue."""
        _decrement(self._by_organisation, job.organisation)
        _decrement(self._by_caller, job.caller)

    def is_exceeded(self, job: Job, config: Config) -> bool:
        """Whether the organisation or the caller of a job has more queued jobs than allowed."""
        return self._is_caller_exceeded(job, config) or self._is_organisation_exceeded(job, config)

    def choose_job_to_shed(self, job: Job, queued: Iterable[Job], config: Config) -> Job | None:
        """Choose a queued job of the caller or organisation of `job` that is over its limit.

        It is the newest of the least urgent ones. `queued` must hold only jobs that never started
        an attempt, because other jobs cannot be refused as "not run".
        """
        by_caller = self._is_caller_exceeded(job, config)
        candidates = (
            each
            for each in queued
            if each.organisation == job.organisation
            and (not by_caller or each.caller == job.caller)
        )
        return max(candidates, key=lambda each: (each.urgency.rank, each.accepted_at), default=None)

    def _is_caller_exceeded(self, job: Job, config: Config) -> bool:
        caller = config.callers.get(job.caller)
        limit = caller.max_queued if caller is not None else _DEFAULT_CALLER_LIMIT
        return self._by_caller[job.caller] > limit

    def _is_organisation_exceeded(self, job: Job, config: Config) -> bool:
        known = config.organisations.get(job.organisation)
        limit = known.max_queued if known is not None else _DEFAULT_ORGANISATION_LIMIT
        return self._by_organisation[job.organisation] > limit


class RetryBackoff:
    """Delays of retries after failures: exponential with jitter, and a budget per organisation."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures: Counter[JobId] = Counter()
        self._budgets: dict[OrganisationId, float] = {}

    def next_delay_s(self, job: Job) -> float:
        """Count a failure and return the delay of the next attempt, in seconds.

        If the organisation's budget is used up, this is the longest delay. An accepted job is never
        dropped for lack of budget.
        """
        self._failures[job.id] += 1
        if not self._take_retry_token(job.organisation):
            return RETRY_MAX_DELAY_S * self._rng.uniform(0.5, 1.0)
        delay_s = RETRY_BASE_DELAY_S * 2.0 ** min(10, self._failures[job.id] - 1)
        return min(RETRY_MAX_DELAY_S, delay_s) * self._rng.uniform(0.5, 1.0)

    def add_retry_tokens(self, job: Job, config: Config) -> None:
        """Add the organisation's `retry_ratio` to its retry budget for a started attempt."""
        known = config.organisations.get(job.organisation)
        ratio = known.retry_ratio if known is not None else _DEFAULT_RETRY_RATIO
        tokens = self._budgets.get(job.organisation, MAX_RETRY_TOKENS)
        self._budgets[job.organisation] = min(MAX_RETRY_TOKENS, tokens + ratio)

    def forget(self, job: JobId) -> None:
        """Forget the failures of a closed job."""
        self._failures.pop(job, None)

    def _take_retry_token(self, organisation: OrganisationId) -> bool:
        """Take one retry from a budget, or return False if it is used up."""
        tokens = self._budgets.get(organisation, MAX_RETRY_TOKENS)
        if tokens < 1.0:
            return False
        self._budgets[organisation] = tokens - 1.0
        return True


_DEFAULT_CALLER_LIMIT = Caller(CallerId(""), OrganisationId(""), "").max_queued
_DEFAULT_ORGANISATION_LIMIT = Organisation(OrganisationId("")).max_queued
_DEFAULT_RETRY_RATIO = Organisation(OrganisationId("")).retry_ratio


def _decrement(counts: Counter, name: str) -> None:
    counts[name] -= 1
    if counts[name] <= 0:
        del counts[name]
