"""What ran on a runner when it crashed, as seen by the target process on its VM."""

from collections.abc import Collection

import msgspec

from comfreyshelf.fleet.jobs import RunListing
from comfreyshelf.fleet.messages import CrashedRun, RunnerCrash

# A crash is reported for this long, so that the next owner learns of it if the present one stops
# before it has stored the crash.
CRASH_REPORT_S = 30.0

# A task and the number of its run.
RunKey = tuple[str, int]


class _PresentRun(msgspec.Struct):
    """A run that the runner has, or may have; times are on this process's clock.

    `answered_at` is when the runner confirmed the start, or when it was sent until then. A call
    names an id only, so the run is on the present life of the runner for certain only once that
    life has listed it.
    """

    began_at: float
    answered_at: float
    was_started: bool = False
    is_listed: bool = False


class CrashLog:
    """Keeps track of the runs on a runner, and of those that were there when it crashed.

    Not thread-safe; times are on the clock of the target process. For example, a run whose start
    the runner confirmed at 10.0 and that no listing showed before a crash at 10.1 is reported as
    `CrashedRun(task, run, 0.1, True)`.
    """

    def __init__(self) -> None:
        self._present: dict[RunKey, _PresentRun] = {}
        self._crashes: list[tuple[float, RunnerCrash]] = []

    def start_sent(self, task: str, run: int, now: float) -> bool:
        """Record that a start is sent; returns whether it is the first one sent for the run."""
        if (task, run) in self._present:
            return False
        self._present[(task, run)] = _PresentRun(now, now)
        return True

    def start_confirmed(self, task: str, run: int, now: float) -> None:
        """Record that the runner has confirmed a start."""
        present = self._present.get((task, run))
        if present is not None:
            present.was_started = True
            present.answered_at = now

    def start_not_done(self, task: str, run: int) -> None:
        """Record that the runner has not carried out the only start sent for a run."""
        self._present.pop((task, run), None)

    def apply_listing(self, listing: RunListing, requested_at: float, now: float) -> None:
        """Add the listed runs, and drop those that have ended or are missing.

        A run whose start was sent or answered after the listing was requested may be missing from
        it.
        """
        running = {(row.task, row.run) for row in listing.running}
        over = {(row.task, row.run) for row in listing.ended}
        for key, present in list(self._present.items()):
            if key in over or (key not in running and present.answered_at < requested_at):
                del self._present[key]
        for key in running:
            present = self._present.setdefault(key, _PresentRun(now, now))
            present.was_started = present.is_listed = True

    def runs_of_next_life(self, listing: RunListing, requested_at: float) -> set[RunKey]:
        """The runs that the next life under the runner's id has, or may have, by its first listing.

        A start is carried out by the life that answers to the id when it arrives. So a run that
        only the next life lists never was on the former one, and a start that was answered after
        the listing was requested may have been carried out after it.
        """
        listed = {(row.task, row.run) for row in listing.running}
        listed |= {(row.task, row.run) for row in listing.ended}
        return {
            key
            for key, present in self._present.items()
            if not present.is_listed and (key in listed or present.answered_at >= requested_at)
        }

    def clear(self) -> None:
        """Forget the runs of a runner that ended as planned."""
        self._present.clear()

    def record_crash(
        self,
        crashed_at: float,
        now: float,
        next_runs: Collection[RunKey] = (),
        is_end_seen: bool = True,
    ) -> RunnerCrash | None:
        """Record that the runner crashed at `crashed_at`; returns None if it had no runs.

        The runs in `next_runs` are those of its next life. Unless the end of the runner's process
        `is_end_seen`, starts without an answer are left out: it may have been cut off before.
        """
        former = {
            key: run
            for key, run in self._present.items()
            if key not in next_runs and (run.was_started or is_end_seen)
        }
        self._present = {key: run for key, run in self._present.items() if key in next_runs}
        if not former:
            return None
        crash = RunnerCrash(
            tuple(
                CrashedRun(
                    task,
                    run,
                    round(max(0.0, crashed_at - present.began_at), 3),
                    present.was_started,
                )
                for (task, run), present in former.items()
            )
        )
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
