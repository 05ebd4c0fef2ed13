"""State of one attempt of a gang.

An attempt is reserved on all targets, recorded in the log, committed, and then finishes or stops as
a whole.
"""

from enum import Enum

import msgspec

from comfreyshelf.ids import Attempt, JobId, TargetId
from comfreyshelf.model import AttemptOutcome, Job, PartState, Placement


class AttemptPhase(Enum):
    """Phase of an attempt, in the order in which an attempt goes through them."""

    RESERVING = "reserving"
    RECORDING = "recording"
    RUNNING = "running"
    STOPPING = "stopping"


class Part(msgspec.Struct):
    """What the owner knows about one part; `state` is None until the part has ended."""

    placement: Placement
    state: PartState | None = None
    result: bytes = b""
    started: bool = True
    checkpointed: bool = False


class Gang(msgspec.Struct):
    """An attempt of `job` on its placements.

    `reserved_targets` have confirmed their reservation. `phase_started_at` is in seconds.
    `start_recorded` is set when `AttemptStarted` is submitted to the log and cleared if the ledger
    rejects it; `finish_sent` is set when `JobFinished` is submitted. While the attempt is stopping,
    `outcome` is what to record once every part has ended, and `stop_forced` is set after a
    checkpoint timed out. `protected` work is never reclaimed: it is not preemptible or it uses a
    guarantee of its organisation.
    """

    job: Job
    attempt: Attempt
    parts: list[Part]
    phase_started_at: float
    phase: AttemptPhase = AttemptPhase.RESERVING
    reserved_targets: set[TargetId] = set()
    outcome: AttemptOutcome | None = None
    start_recorded: bool = False
    finish_sent: bool = False
    protected: bool = False
    stop_forced: bool = False

    @property
    def targets(self) -> list[TargetId]:
        """Distinct targets of the attempt, in part order."""
        return list(dict.fromkeys(part.placement.target for part in self.parts))

    def parts_on(self, target: TargetId) -> list[Part]:
        """The parts on one target."""
        return [part for part in self.parts if part.placement.target == target]

    def mask_in_use(self, target: TargetId) -> int:
        """Mask of the accelerators on a target that are used by parts that have not ended."""
        mask = 0
        for part in self.parts:
            if part.placement.target == target and part.state is None:
                mask |= part.placement.mask
        return mask

    @property
    def is_fully_reserved(self) -> bool:
        """Whether every target has confirmed its reservation."""
        return self.reserved_targets.issuperset(self.targets)

    @property
    def has_ended(self) -> bool:
        """Whether every part has ended."""
        return all(part.state is not None for part in self.parts)

    @property
    def is_finished(self) -> bool:
        """Whether every part has finished with a result."""
        return all(part.state is PartState.FINISHED for part in self.parts)

    @property
    def result(self) -> bytes:
        """The results of all parts, concatenated in part order."""
        return b"".join(part.result for part in self.parts)

    def final_outcome(self) -> AttemptOutcome:
        """The outcome to record for a stopped attempt.

        A non-idempotent job may be requeued only if no part started, or if every part that started
        was stopped at a checkpoint from which it can resume.
        """
        outcome = self.outcome or AttemptOutcome.FAILED
        if self.job.idempotent or not self.start_recorded:
            return outcome
        if all(not part.started or part.checkpointed for part in self.parts):
            return outcome
        return AttemptOutcome.MAY_HAVE_RUN


class GangTable(dict[JobId, Gang]):
    """Gangs by job, with an index by target."""

    def __init__(self) -> None:
        super().__init__()
        self._by_target: dict[TargetId, dict[JobId, None]] = {}

    def __setitem__(self, job: JobId, gang: Gang) -> None:
        super().__setitem__(job, gang)
        for target in gang.targets:
            self._by_target.setdefault(target, {})[job] = None

    def __delitem__(self, job: JobId) -> None:
        for target in self[job].targets:
            jobs = self._by_target[target]
            del jobs[job]
            if not jobs:
                del self._by_target[target]
        super().__delitem__(job)

    def on_target(self, target: TargetId) -> list[Gang]:
        """Gangs with parts on a target, in the order in which they were added."""
        return [self[job] for job in self._by_target.get(target, ())]
