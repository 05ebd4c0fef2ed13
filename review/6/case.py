"""TWICE: tasks that ended `done` are started again, as their ends were acknowledged unread.

Short tasks come and go. With TROUBLE one runner of eleven is cut off from its target process for 1.3 s,
crashes behind the cut, and starts again under its id.
"""

import time

from review.lab2.deployment import APP, ROOT, Deployment, base_config, job, run_case
from review.lab2.proxy import Link
from review.lab2.runner import HEARTBEAT_S

FOLDER = ROOT / "review/6"
# fleetbench kinds: srv_cut: share (.2); node_cut: share (.1); for_s: how long (5).
RUNNERS, CUT_S = 11, 1.3
CRASH_AFTER_S, DOWN_S = 0.5, 0.2
TASK_S, TASKS = 0.1, 8 * RUNNERS
LINK = APP + 1


def submit(fleet, number):
    """Hand in a job with a task for each GPU of the fleet."""
    path = f"/lohu930/{number:016x}"
    if fleet.ask(fleet.entries[0], "POST", path, job(TASK_S, TASKS))[0] != 200:
        raise RuntimeError("a job was not accepted")


def restart_behind_cut(record, runner, link):
    """Cut the runner off, let it crash and start again behind the cut, and heal the cut."""
    # A heartbeat that is sent during the cut is lost; the next one follows HEARTBEAT_S later.
    runner.is_beating = False
    link.cut()
    record("network", "cut begins", runner=runner.name)
    time.sleep(CRASH_AFTER_S)
    runner.crash()
    time.sleep(DOWN_S)
    runner.begin_life(keeps_id=True)
    started_at = time.monotonic()
    time.sleep(CUT_S - CRASH_AFTER_S - DOWN_S)
    link.heal()
    record("network", "cut has healed", runner=runner.name)
    time.sleep(max(0.0, started_at + HEARTBEAT_S - time.monotonic()))
    record(runner.name, "heartbeat", answered=runner.heartbeat())
    runner.is_beating = True


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
                    f"{end['task']} ended done as run {end['run']} on {who}, which was acknowledged "
                    f"at {acknowledged[0]:.3f}, and is started as run {start['run']} on {other} "
                    f"at {at:.3f}"
                )
    return ""


def play(stack, record, trouble):
    links = {}

    def app_link(name, ip, address):
        links[name] = Link(f"{ip}:{LINK}", address, loses_new=True)
        stack.callback(links[name].stop)
        return f"{ip}:{LINK}"

    fleet = Deployment(
        stack, record, 2, RUNNERS, lambda spec: spec["work_s"], base_config(), app_link=app_link
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
        restart_behind_cut(record, runner, links["side-0"])
    else:
        time.sleep(CUT_S)
    time.sleep(8.0)
    for number in range(4):
        fleet.ask(fleet.entries[0], "GET", f"/lohu930/{number:016x}")
    return find_broken(record)


if __name__ == "__main__":
    run_case(FOLDER, play)
