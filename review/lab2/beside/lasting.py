"""LOST: a task that lasts isn't started again while guarantees may claim the room that is idle.

Nine of eleven runners are full, and one is idle. With TROUBLE the runner of a small task that lasts
is emptied and taken away. A tenant with a guarantee hands in a short urgent job each 5 s.
"""

import threading
import time

from review.lab2.deployment import ROOT, Deployment, base_config, job, route, run_case

FOLDER = ROOT / "review/lab2/beside"
JOB = "5c0e7a21d94b36f8"
RUNNERS = 11
DRAIN_S = 2.6
URGENT_EACH_S = 5.0
WATCH_S = 30.0
# RULES.md: from 6 s after its last run, for 3 s, and the 4 s before them are calm.
RESTART_S = 13.0


def play(stack, record, trouble):
    config = base_config()
    config["routes"].append(route("urgent", "/urgent3/", 0))
    config["tenants"].append(
        {"name": "beta", "api-keys": ["k-beta"], "guaranteed": {"gpu": 8}}
    )
    fleet = Deployment(stack, record, 2, RUNNERS, lambda spec: spec["work_s"], config)
    fleet.wait_until_serving()
    entry = fleet.entries[0]
    body = job(None)
    body["steps"][0] |= {"long-running": True, "est-runtime-ms": 1000}
    if fleet.ask(entry, "POST", f"/lohu930/{JOB}", body)[0] != 200:
        raise RuntimeError("the job was not accepted")
    time.sleep(0.5)
    for n in range(RUNNERS - 2):
        fleet.ask(entry, "POST", f"/lohu930/{n:016x}", job(110.0, gpu=8))
    # The job's objective passes, as that of each task that lasts does.
    time.sleep(8.0)
    task = f"{JOB}.0.0.0"
    host = next(r for r in fleet.runners if task in r.running)
    stopping = threading.Event()

    def hand_in_urgent_jobs():
        number = 100
        while not stopping.is_set():
            number += 1
            fleet.ask(entry, "POST", f"/urgent3/{number:016x}", job(0.7, gpu=8), key="k-beta")
            stopping.wait(URGENT_EACH_S)

    threading.Thread(target=hand_in_urgent_jobs, daemon=True).start()
    time.sleep(2.0)
    if trouble:
        host.draining = True
        record(host.name, "runner drains", status=host.heartbeat())
        time.sleep(DRAIN_S)
        host.leave()
    gone_at = record.now()
    time.sleep(WATCH_S)
    stopping.set()
    if not trouble:
        return "" if task in host.running else "the task has ended"
    starts = [e[0] for e in record.find("run started", task=task) if e[1] != host.name]
    waited_s = (min(starts) if starts else record.now()) - gone_at
    if waited_s > RESTART_S:
        return f"the task that lasts isn't started again for {waited_s:.0f} s beside an idle runner"
    return ""


if __name__ == "__main__":
    run_case(FOLDER, play)
