"""The question where a job would go, as a message to the owner's task."""

from concurrent.futures import Future

from comfreyshelf.errors import UserError
from comfreyshelf.fleet.bounds import monotonic
from comfreyshelf.fleet.dry_run import dry_run
from comfreyshelf.fleet.dry_run_answer import DryRunAnswer
from comfreyshelf.fleet.jobs import Job
from comfreyshelf.fleet.owner import OwnerCore
from comfreyshelf.logs import log_event

# Answers take at most this share of the owner's time, so that many questions do not hold up
# planning: after each one, others are refused for a while.
MAX_TIME_SHARE = 0.1


class NotOwnerError(UserError):
    """This entry does not own the schedule."""


class OwnerBusyError(UserError):
    """The owner has just answered another question, or is answering one."""


class DryRunFailedError(UserError):
    """The owner failed to answer because of a fault of its own."""


class DryRunQuestion:
    """Asks where a job would go; the `answer` may be cancelled until the owner takes it up."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.answer: Future[DryRunAnswer] = Future()


class QuestionDesk:
    """Answers questions in the owner's task, within MAX_TIME_SHARE of its time."""

    def __init__(self) -> None:
        self._closed_until = float("-inf")

    def answer(self, question: DryRunQuestion, core: OwnerCore | None, unix_now: float) -> None:
        """Complete the future of a question; `core` is None if this entry is not the owner."""
        fut = question.answer
        if not fut.set_running_or_notify_cancel():
            return
        started_at = monotonic()
        if core is None:
            fut.set_exception(
                NotOwnerError("this entry does not own the schedule", "ask the owner")
            )
            return
        if started_at < self._closed_until:
            fut.set_exception(
                OwnerBusyError(
                    "the owner has just answered another question", "ask again in a second"
                )
            )
            return
        try:
            fut.set_result(dry_run(core, question.job, started_at, unix_now))
        except UserError as exc:
            fut.set_exception(exc)
        except Exception as exc:  # A question must not end the owner's task or leave it unanswered.
            log_event("question not answered", why=repr(exc))
            fut.set_exception(
                DryRunFailedError("the owner failed to answer", "see its log and report the fault")
            )
        ended_at = monotonic()
        self._closed_until = ended_at + (ended_at - started_at) * (1 / MAX_TIME_SHARE - 1)
