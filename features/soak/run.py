"""Plays one soak and checks it."""

import random
import shutil
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

import msgspec

from features.soak.callers import (
    DEADLY_SHARE,
    Caller,
    Connections,
    KeyWatcher,
    ask_until_ended,
    cancel,
    is_key_taken,
    submit_long_jobs,
)
from features.soak.checks import MAX_ATTEMPTS, check_history
from features.soak.fleet import SoakFleet
from features.soak.history import History, JobFate
from features.soak.plan import Faults, draw_isolation_plan, draw_plan
from features.soak.runner import Payload

START_TIMEOUT_S = 120.0
# The latest that a job may end after the last fault. It bounds a soak that fails, so it is far
# above what a loaded machine needs.
SETTLE_TIMEOUT_S = 120.0
CONFIG_APPLY_S = 2.5


class Soak(msgspec.Struct, frozen=True):
    """Size and seed of one soak.

    With `isolation` an entry that leads is cut off past its lead and leads again, while tasks run
    that outlast the soak.
    """

    seed: int
    seconds: float = 12.0
    entries: int = 3
    targets: int = 5
    callers: int = 3
    isolation: bool = False


def play(soak: Soak, folder: Path | None = None) -> History:
    """Play a soak and return its history; logs of the processes go to `folder`."""
    history = History()
    with ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        fleet = SoakFleet(stack, folder, soak.entries, soak.targets, history, soak.isolation)
        fleet.wait_until_serving(START_TIMEOUT_S)
        faults = _play_faults(soak, fleet, history)
        _check_ends(fleet, faults, history)
        check_history(history)
    (
        (folder / "history.txt").write_text("\n".join(history.lines), encoding="utf-8")
        if (folder.exists())
        else None
    )
    return history


def _play_faults(soak: Soak, fleet: SoakFleet, history: History) -> Faults:
    """Play the plan while callers are at work, then let the fleet heal."""
    # Runners that crash would end the tasks that outlast the soak.
    deadly_share = 0.0 if soak.isolation else DEADLY_SHARE
    callers = [Caller(n, soak.seed, fleet, history, deadly_share) for n in range(soak.callers)]
    long_jobs = submit_long_jobs(callers[0], history) if soak.isolation else []
    watcher = KeyWatcher(fleet, history)
    for thread in (*callers, watcher):
        thread.start()
    faults = Faults(fleet, history)
    history.began_at = began_at = time.monotonic()
    draw = draw_isolation_plan if soak.isolation else draw_plan
    for fault in draw(soak.seed, soak.seconds):
        time.sleep(max(0.0, began_at + fault.at - time.monotonic()))
        faults.carry_out(fault)
    time.sleep(max(0.0, began_at + soak.seconds - time.monotonic()))
    for thread in (*callers, watcher):
        thread.stopping.set()
        thread.join()
    faults.heal()
    for job in long_jobs:
        cancel(fleet, job, Connections(), random.Random(soak.seed))
    history.note("the faults are over")
    return faults


def _check_ends(fleet: SoakFleet, faults: Faults, history: History) -> None:
    """Wait until all accepted jobs have ended, and check what callers then see."""
    healed_at = time.monotonic()
    for job in history.jobs.values():
        if job.fate is not JobFate.ACCEPTED:
            continue
        before = job.state
        job.state = ask_until_ended(fleet, job, healed_at + SETTLE_TIMEOUT_S)
        payload = msgspec.json.decode(job.payload, type=Payload)
        # check_history tells whether a job had cause to fail.
        wanted = {"failed"} if payload.deadly else {"completed", "failed"}
        if job.cancel_sent_at:
            wanted.add("canceled")
        if job.state == "failed" and not payload.deadly and payload.fails < MAX_ATTEMPTS:
            history.given_up.append(job.id)
        if job.state not in wanted:
            history.violate(f"job {job.id} is {job.state} in the end, {before} before: {payload}")
    time.sleep(max(0.0, healed_at + CONFIG_APPLY_S - time.monotonic()))
    for entry in fleet.entries:
        for key in faults.withdrawn_keys:
            if is_key_taken(entry, key):
                history.violate(f"{entry.name} takes the withdrawn key {key}")
    for member in fleet.members:
        if member.ended_by_itself():
            history.violate(f"{member.name} has ended by itself")
