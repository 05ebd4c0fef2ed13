"""Output commands of the scheduler core."""

import msgspec

from comfreyshelf.ids import Attempt, JobId, TargetId
from comfreyshelf.model import Job, Placement
from comfreyshelf.reasons import RetryReason
from comfreyshelf.records import AnyBody


class Command(msgspec.Struct, frozen=True):
    """Base of all commands."""


class ReserveParts(Command, frozen=True):
    """Ask a target to reserve its parts of an attempt."""

    target: TargetId
    job: Job
    attempt: Attempt
    placements: tuple[Placement, ...]


class CommitParts(Command, frozen=True):
    """Ask a target to start the parts that it reserved."""

    target: TargetId
    job: JobId
    attempt: Attempt


class ReleaseParts(Command, frozen=True):
    """Ask a target to drop a reservation and refuse the attempt from now on."""

    target: TargetId
    job: JobId
    attempt: Attempt


class StopParts(Command, frozen=True):
    """Ask a target to stop the parts of an attempt, after a checkpoint if `checkpoint`."""

    target: TargetId
    job: JobId
    attempt: Attempt
    checkpoint: bool = False


class ForgetParts(Command, frozen=True):
    """Tell a target that the result of an attempt is recorded or no longer wanted."""

    target: TargetId
    job: JobId
    attempt: Attempt


class ProbeWorker(Command, frozen=True):
    """Run a probe on a quarantined worker."""

    target: TargetId


class AppendRecord(Command, frozen=True):
    """Append a record to the log; the verdict comes back as an event."""

    body: AnyBody


class CountRetry(Command, frozen=True):
    """Count a retry under its reason."""

    reason: RetryReason
