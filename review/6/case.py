"""TWICE: tasks that ended `done` are started again, as their ends were acknowledged unread.

Short tasks come and go. With TROUBLE one runner of eleven is cut off from its target process for
1.3 s, crashes behind the cut, and starts again under its id.
"""

import time

from review.lab2.deployment import ROOT, Deployment, base_config, job, run_case
from review.lab2.reborn import AppLinks, restart_behind_cut

FOLDER = ROOT / "review/6"
# fleetbench kinds: srv_cut: share (.2); node_cut: share (.1); for_s: how long (5).
RUNNERS, CUT_S = 11, 1.3
CRASH_AFTER_S, DOWN_S = 0.5, 0.2
TASK_S, TASKS = 0.1, 8 * RUNNERS


def submit(fleet, number):
    """Hand in a job with a task for each GPU of the fleet."""
    path = f"/lohu930/{number:016x}"
    if fleet.ask(fleet.entries[0], "POST", path, job(TASK_S, TASKS))[0] != 200:
        raise RuntimeError("a job was not accepted")


def find_broken(record):
    """A start of a task after an end `done` that was taken note of, in words."""
    for _, who, _, end in record.find("run ended", how="done"):
        acknowledged = [
            at
            for at, _, _, ack in record.find("ends acknowledged", born=end["born"], lapsed=0)
            if ack["up_to"] >= end["n"]
        ]
        for at, other, _, start in record.find("run started", task=end["task"]):
            if acknowledged and start["run"] > end["run"]:
                return (
                    f"{end['task']} ended done as run {end['run']} on {who}, which was "
                    f"acknowledged at {acknowledged[0]:.3f}, and is started as run {start['run']} "
                    f"on {other} at {at:.3f}"
                )
    return ""


def play(stack, record, trouble):
    links = AppLinks(stack)
    fleet = Deployment(
        stack, record, 2, RUNNERS, lambda spec: spec["work_s"], base_config(), app_link=links.add
    )
    fleet.wait_until_serving()
    for number in range(3):
        submit(fleet, number)
        time.sleep(1.0)
    runner = fleet.runners[0]
    if not runner.cursor:
        raise RuntimeError("the runner has had no ends acknowledged")
    submit(fleet, 3)
    if trouble:
        restart_behind_cut(record, runner, links.of(runner), CUT_S, CRASH_AFTER_S, DOWN_S)
    else:
        time.sleep(CUT_S)
    time.sleep(8.0)
    for number in range(4):
        fleet.ask(fleet.entries[0], "GET", f"/lohu930/{number:016x}")
    return find_broken(record)


if __name__ == "__main__":
    run_case(FOLDER, play)
