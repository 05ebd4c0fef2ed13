"""MIXED: a queue's `waiting` leaves out jobs of which no task has ever started.

The fleet is full but for half of one runner. With TROUBLE the room of that runner shrinks to the
half that is in use. Jobs that arrive before its next heartbeat are ordered there, rejected for want
of room, and wait for many seconds.
"""

import time

from review.lab2.deployment import ROOT, Deployment, base_config, job, route, run_case

FOLDER = ROOT / "review/10"
JOBS = ("5c0e7a21d94b36f8", "6c0e7a21d94b36f9")
# RULES.md: visible_ms + 2 s.
WAITING_AFTER_S = 5.0
# Letter 6: srv_slow, how = "shrunk", share = 0.25, x = 0.55, for_s = 14.0.
RUNNERS, SHRUNK_GPU, SHRUNK_S = 4, 4, 14.0
FILLER_S = 60.0


def play(stack, record, trouble):
    config = base_config()
    config["routes"].append(route("survey", "/survey7/", 1))
    fleet = Deployment(stack, record, 2, RUNNERS, lambda spec: spec["work_s"], config)
    fleet.wait_until_serving()
    entry = fleet.entries[0]
    for n in range(2 * RUNNERS - 1):
        path = f"/lohu930/{n:016x}"
        if fleet.ask(entry, "POST", path, job(FILLER_S, gpu=4))[0] != 200:
            raise RuntimeError("a job was not accepted")
    time.sleep(2.0)
    half_free = [r for r in fleet.runners if r.used_gpu() == 4]
    if len(half_free) != 1 or sum(r.used_gpu() for r in fleet.runners) != 28:
        raise RuntimeError(f"the fleet is not filled: {[r.used_gpu() for r in fleet.runners]}")
    runner = half_free[0]
    # The heartbeat that tells of the new room comes HEARTBEAT_S after this one.
    beats = runner.sequence
    while runner.sequence == beats:
        time.sleep(0.01)
    time.sleep(0.1)
    if trouble:
        runner.gpu = SHRUNK_GPU
        record(runner.name, "room shrinks", gpu=runner.gpu)
    shrunk_at = record.now()
    accepted_at = {}
    for name in JOBS:
        if fleet.ask(entry, "POST", f"/survey7/{name}", job(2.0, gpu=2))[0] != 200:
            raise RuntimeError("a job was not accepted")
        accepted_at[name] = record.now()
    broken = ""
    while record.now() < shrunk_at + SHRUNK_S:
        time.sleep(0.5)
        for asked in fleet.entries:
            now = record.now()
            status, answer = fleet.ask(asked, "GET", "/survey7/")
            unbegun = [
                name
                for name, at in accepted_at.items()
                if now > at + WAITING_AFTER_S
                and not record.find("run started", task=f"{name}.0.0.0")
            ]
            if status == 200 and answer["waiting"] < len(unbegun) / 2 and not broken:
                broken = (
                    f"{asked.name} gives {answer['waiting']} as waiting, though {len(unbegun)} "
                    f"jobs accepted over {WAITING_AFTER_S:.0f} s before have not begun"
                )
    runner.gpu = 8
    record(runner.name, "room as before", gpu=runner.gpu)
    time.sleep(4.0)
    return broken


if __name__ == "__main__":
    run_case(FOLDER, play)
