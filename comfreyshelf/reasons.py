"""Reasons for refusals and retries; each one has a counter of the same name."""

from enum import Enum


class RefusalReason(Enum):
    """Why a job or request was refused."""

    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    UNAUTHORISED = "unauthorised"
    FORBIDDEN = "forbidden"
    UNKNOWN = "unknown"
    UNKNOWN_SERVICE = "unknown_service"
    KEY_CONFLICT = "key_conflict"
    NEVER_FITS = "never_fits"
    FAILS_EVERYWHERE = "fails_everywhere"
    QUEUE_FULL = "queue_full"
    RATE_LIMIT = "rate_limit"
    SHED = "shed"
    LOG_DOWN = "log_down"
    NO_RUNNER = "no_runner"
    DEPENDENCY_DOWN = "dependency_down"
    DEADLINE_PASSED = "deadline_passed"
    RETRY_BUDGET = "retry_budget"
    DRAINING = "draining"
    SHUTTING_DOWN = "shutting_down"
    STALE_VERSION = "stale_version"
    INVALID_TEXT = "invalid_text"
    MAY_HAVE_RUN = "may_have_run"
    OLD_EPOCH = "old_epoch"
    OLD_TOKEN = "old_token"
    OCCUPIED = "occupied"
    LEASE_LAPSED = "lease_lapsed"
    QUARANTINED = "quarantined"


class RetryReason(Enum):
    """Why an operation was tried again."""

    LOG_UNAVAILABLE = "log_unavailable"
    LOG_ANSWER_LOST = "log_answer_lost"
    RESERVE_REFUSED = "reserve_refused"
    RESERVE_TIMEOUT = "reserve_timeout"
    TARGET_LOST = "target_lost"
    PART_FAILED = "part_failed"
    PREEMPTED = "preempted"
    DRAINED = "drained"
    START_REJECTED = "start_rejected"
    RUNNER_BUSY = "runner_busy"
    RUNNER_FAILED = "runner_failed"
    RUNNER_TIMEOUT = "runner_timeout"
    LINK_DOWN = "link_down"
    RESULT_RESENT = "result_resent"
