"""What ran on a runner when it crashed, as seen by the target process on its VM."""

from collections.abc import Iterable

import msgspec

from comfreyshelf.fleet.jobs import EndedRow, RunningRow
from comfreyshelf.fleet.messages import CrashedRun, RunnerCrash

# A crash is reported for this long, so that the next owner learns of it if the present one stops
# before it has stored the crash.
CRASH_REPORT_S = 30.0


class _PresentRun(msgspec.Struct):
    """A run that the runner has, or may have; `began_at` is on this process's clock."""

    began_at: float
    was_started: bool


class CrashLog:
    """Keeps track of the runs on a runner, and of those that were there when it crashed.

    Not thread-safe; times are on the clock of the target process. For example, a run whose start
    the runner confirmed at 10.0 and that no listing showed before a crash at 10.1 is reported as
    `CrashedRun(task, run, 0.1, True)`.
    """

    def __init__(self) -> None:
        self._present: dict[tuple[str, int], _PresentRun] = {}
        self._crashes: list[tuple[float, RunnerCrash]] = []

    def start_sent(self, task: str, run: int, now: float) -> bool:
        """Record that a start is sent; returns whether it is the first one sent for the run."""
        if (task, run) in self._present:
            return False
        self._present[(task, run)] = _PresentRun(now, was_started=False)
        return True

    def start_confirmed(self, task: str, run: int) -> None:
        """Record that the runner has confirmed a start."""
        present = self._present.get((task, run))
        if present is not None:
            present.was_started = True

    def start_not_done(self, task: str, run: int) -> None:
        """Record that the runner has not carried out the only start sent for a run."""
        self._present.pop((task, run), None)

    def apply_listing(
        self,
        running: Iterable[RunningRow],
        ended: Iterable[EndedRow],
        requested_at: float,
        now: float,
    ) -> None:
        """Add the listed runs, and drop those that have ended or are missing.

        A run whose start was sent after the listing was requested may be missing from it.
        """
        listed = {(row.task, row.run) for row in running}
        over = {(row.task, row.run) for row in ended}
        for key, present in list(self._present.items()):
            if key in over or (key not in listed and present.began_at < requested_at):
                del self._present[key]
        for key in listed:
            self._present.setdefault(key, _PresentRun(now, was_started=True)).was_started = True

    def clear(self) -> None:
        """Forget the runs of a runner that ended as planned."""
        self._present.clear()

    def record_crash(self, crashed_at: float, now: float) -> RunnerCrash | None:
        """Record that the runner crashed at `crashed_at`; returns None if it had no runs."""
        if not self._present:
            return None
        crash = RunnerCrash(
            tuple(
                CrashedRun(
                    task,
                    run,
                    round(max(0.0, crashed_at - present.began_at), 3),
                    present.was_started,
                )
                for (task, run), present in self._present.items()
            )
        )
        self._present.clear()
        self._crashes.append((now, crash))
        return crash

    def recent_crashes(self, now: float) -> tuple[RunnerCrash, ...]:
        """The crashes to report, the oldest first."""
        self._crashes = [
            (recorded_at, crash)
            for recorded_at, crash in self._crashes
            if now - recorded_at < CRASH_REPORT_S
        ]
        return tuple(crash for _, crash in self._crashes)
