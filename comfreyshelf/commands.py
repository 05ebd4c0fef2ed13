"""Commands that the scheduler core returns."""

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
    """Ask a target to drop a reservation and to refuse the attempt if it is requested again."""

    target: TargetId
    job: JobId
    attempt: Attempt


class StopParts(Command, frozen=True):
    """Ask a target to stop the parts of an attempt; `checkpoint` asks for a checkpoint first."""

    target: TargetId
    job: JobId
    attempt: Attempt
    checkpoint: bool = False


class ForgetParts(Command, frozen=True):
    """Tell a target to discard the result of an attempt: it is recorded or no longer needed."""

    target: TargetId
    job: JobId
    attempt: Attempt


class ProbeWorker(Command, frozen=True):
    """Run a probe on a quarantined worker."""

    target: TargetId


class AppendRecord(Command, frozen=True):
    """Append a record to the log; whether it was accepted comes back as an event."""

    body: AnyBody


class CountRetry(Command, frozen=True):
    """Increment the metric of retries for a reason."""

    reason: RetryReason
