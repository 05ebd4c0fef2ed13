"""LOST: a job is shown as failed, though no run of it failed and no runner crashed under it.

The job's eight tasks fit on the only free runner. With TROUBLE this runner is cut off from its
target process for 0.8 s, crashes behind the cut while it is idle, and starts again under its id. A
second runner, which has become free, does the same right after that.
"""

import itertools
import threading
import time

from review.lab2.deployment import ROOT, Deployment, base_config, job, run_case
from review.lab2.reborn import AppLinks, restart_behind_cut

FOLDER = ROOT / "review/10"
JOB = "5c0e7a21d94b36f8"
# fleetbench kinds: srv_cut: share (.2); node_cut: share (.1); for_s: how long (5).
RUNNERS, CUT_S = 11, 0.8
CRASH_AFTER_S, DOWN_S = 0.2, 0.1
# The second cut begins this long after the first.
SECOND_AFTER_S = 0.95
# Each task of the job takes one of these times in turn.
TASKS_S = (0.3, 0.5, 0.8, 1.0, 1.2, 1.4, 1.6, 1.8)
FILLER_S = 60.0


def end_filler(runner):
    """Let the task that fills a runner end now."""
    with runner.lock:
        for run in runner.running.values():
            run["work_s"] = 0.0


def find_broken(fleet, record):
    """Whether the job is shown as failed without cause, in words."""
    give_up_at = record.now() + 15.0
    state = ""
    while state not in ("completed", "failed") and record.now() < give_up_at:
        time.sleep(0.5)
        state = fleet.ask(fleet.entries[0], "GET", f"/lohu930/{JOB}")[1].get("state")
    if state == "completed":
        return ""
    if state != "failed":
        raise RuntimeError(f"the job is {state}")
    failed = record.find("run ended", how="failed")
    crashed = [e for e in record.find("runner crashed") if any(JOB in t for t in e[3]["ran"])]
    starts = len([e for e in record.find("run started") if JOB in e[3]["task"]])
    if failed or crashed:
        raise RuntimeError("a run failed or crashed")
    return f"{JOB} is shown as failed; it was started {starts} times, no run failed or crashed"


def play(stack, record, trouble):
    links = AppLinks(stack)
    times = itertools.cycle(TASKS_S)

    def work_s(spec):
        return spec["work_s"] if spec["gpu"] == 8 else next(times)

    fleet = Deployment(stack, record, 2, RUNNERS, work_s, base_config(), app_link=links.add)
    fleet.wait_until_serving()
    entry = fleet.entries[0]
    for number in range(RUNNERS - 1):
        if fleet.ask(entry, "POST", f"/lohu930/{number:016x}", job(FILLER_S, gpu=8))[0] != 200:
            raise RuntimeError("a job was not accepted")
    time.sleep(2.0)
    first = [runner for runner in fleet.runners if not runner.running]
    if len(first) != 1:
        raise RuntimeError(f"{len(first)} runners are free")
    first, second = first[0], next(runner for runner in fleet.runners if runner.running)
    threads = [
        threading.Thread(
            target=restart_behind_cut,
            args=(record, runner, links.of(runner), CUT_S, CRASH_AFTER_S, DOWN_S),
        )
        for runner in (first, second)
    ]
    # Right after its runs were listed.
    holds = first.holds
    while first.holds == holds:
        time.sleep(0.005)
    if trouble:
        threads[0].start()
    if fleet.ask(entry, "POST", f"/lohu930/{JOB}", job(1.0, len(TASKS_S)))[0] != 200:
        raise RuntimeError("the job was not accepted")
    time.sleep(SECOND_AFTER_S - 0.1)
    end_filler(second)
    time.sleep(0.1)
    if trouble:
        threads[1].start()
        for thread in threads:
            thread.join()
    return find_broken(fleet, record)


if __name__ == "__main__":
    run_case(FOLDER, play)
