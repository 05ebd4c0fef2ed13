"""LOST: a gang waits for ever for a rack to be empty, with the fleet mostly idle.

Racks of 3, 3, 3 and 2 runners. A small task that lasts runs in the second and in the third rack.
With TROUBLE a runner of the first rack is emptied and taken away. Then a job comes whose three
tasks work together, need a whole runner each, and are faster in one rack.

With JOB=affinity, tasks that last fill the other two runners of the first rack, and the job is one
small task whose data is in that rack.
"""

import os
import time

from review.lab2.deployment import ROOT, Deployment, base_config, job, route, run_case

FOLDER = ROOT / "review/7"
GANG = "5c0e7a21d94b36f8"
RACKS = (3, 3, 3, 2)
DRAIN_S = 2.6
FINISH_S, QUIET_S = 14.0, 3.0


def play(stack, record, trouble):
    config = base_config()
    config["routes"].append(route("survey", "/survey7/", 1))
    sides = [rack for rack, size in enumerate(RACKS, 1) for _ in range(size)]
    labels = {n: ("b" if n in (1, 2) else "a", f"r1-{rack}") for n, rack in enumerate(sides)}
    fleet = Deployment(
        stack, record, 2, len(sides), lambda spec: spec["work_s"], config, labels=labels
    )
    fleet.wait_until_serving()
    entry = fleet.entries[0]
    is_gang = os.environ.get("JOB", "gang") == "gang"
    # The first runner stays empty, as it has another kind.
    lasting = [(2, 1), (3, 1)] if is_gang else [(1, 8), (1, 8)]
    for n, (rack, gpu) in enumerate(lasting):
        body = job(None, gpu=gpu, requirements="b" if rack == 1 else f"r1-{rack}")
        body["steps"][0]["long-running"] = True
        if fleet.ask(entry, "POST", f"/lohu930/{n:016x}", body)[0] != 200:
            raise RuntimeError("a job was not accepted")
    time.sleep(1.0)
    busy = sorted(r.labels[1] for r in fleet.runners if r.running)
    if busy != sorted(f"r1-{rack}" for rack, _ in lasting):
        raise RuntimeError(f"the tasks that last run in the racks {busy}")
    if trouble:
        runner = fleet.runners[0]
        runner.draining = True
        record(runner.name, "runner drains", status=runner.heartbeat())
        time.sleep(DRAIN_S)
        runner.leave()
    if is_gang:
        body = job(4.0, count=3, gpu=8, **{"gang-scheduled": True, "same-rack": True})
    else:
        body = job(4.0, gpu=1, affinity="r1-1")
    if fleet.ask(entry, "POST", f"/survey7/{GANG}", body)[0] != 200:
        raise RuntimeError("the gang was not accepted")
    time.sleep(FINISH_S)
    began = [e for e in record.find("run started") if e[3]["task"].startswith(GANG)]
    time.sleep(QUIET_S)
    _, answer = fleet.ask(entry, "GET", f"/survey7/{GANG}")
    later = [e for e in record.find("run started") if e[3]["task"].startswith(GANG)]
    up = [r for r in fleet.runners if r.is_up]
    idle, used = sum(not r.running for r in up), sum(r.used_gpu() for r in up)
    record("script", "fleet", runners=len(up), idle=idle, gpus_in_use=used, gpus=8 * len(up))
    if not later:
        return (
            f"the job is {answer.get('state')} with nothing running {FINISH_S + QUIET_S:.0f} s after "
            f"the end of the traffic, with {idle} runners idle, where it needs {3 if is_gang else 1}, and {used} of "
            f"{8 * len(up)} GPUs in use"
        )
    if not began:
        raise RuntimeError("the gang began late")
    return ""


if __name__ == "__main__":
    run_case(FOLDER, play)
