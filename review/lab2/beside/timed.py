"""ORDER: a job that is to run once at a given time, without an interval, starts at once.

There is no disruption: TROUBLE=0 hands in the same job with an interval, which has no meaning for
one occurrence.
"""

import time

from review.lab2.deployment import ROOT, Deployment, base_config, job, run_case

FOLDER = ROOT / "review/lab2/beside"
JOB = "5c0e7a21d94b36f8"
AHEAD_S = 8.0
EARLY_S = 0.25


def play(stack, record, trouble):
    fleet = Deployment(stack, record, 2, 2, lambda spec: spec["work_s"], base_config())
    fleet.wait_until_serving()
    due_at = record.now() + AHEAD_S
    body = job(1.0) | {
        "repeat-count": 1,
        "first-run-ms": int((time.time() + AHEAD_S) * 1000),
    }
    if not trouble:
        body["interval-ms"] = 1000
    if fleet.ask(fleet.entries[0], "POST", f"/lohu930/{JOB}", body)[0] != 200:
        raise RuntimeError("the job was not accepted")
    time.sleep(AHEAD_S + 3.0)
    starts = record.find("run started", task=f"{JOB}.0.0.0")
    if not starts:
        raise RuntimeError("the job was not started")
    early_s = due_at - starts[0][0]
    return f"the job starts {early_s:.2f} s before its time" if early_s > EARLY_S else ""


if __name__ == "__main__":
    run_case(FOLDER, play)
