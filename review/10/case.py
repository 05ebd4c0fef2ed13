"""LOST: a job is shown as `failed` although none of its runs has ended as failed.

Its only step needs a label that one of ten runners has. With TROUBLE that runner goes down and up
by turns for 6.5 s.
"""

import time

from review.lab2.deployment import ROOT, Deployment, base_config, job, run_case

FOLDER = ROOT / "review/10"
JOB = "5c0e7a21d94b36f8"
WORK_S = 8.0
RUNNERS = 10
# cuexaf-grid-grown.toml: srv_flap, share = 0.1, gap_s = 1.4 (the period), for_s = 6.5.
FLAP_S = 6.5
PERIOD_S = 1.4
WAIT_S = 45.0


def play(stack, record, trouble):
    labels = {0: ("b", "r1-1")}
    fleet = Deployment(
        stack, record, 2, RUNNERS, lambda spec: spec["work_s"], base_config(), labels=labels
    )
    fleet.wait_until_serving()
    entry = fleet.entries[0]
    if fleet.ask(entry, "POST", f"/lohu930/{JOB}", job(WORK_S, requirements="b"))[0] != 200:
        raise RuntimeError("the job was not accepted")
    time.sleep(3.0)
    runner = fleet.runners[0]
    if not runner.running:
        raise RuntimeError("the job does not run")
    if trouble:
        ends_at = time.monotonic() + FLAP_S
        while time.monotonic() < ends_at:
            runner.crash()
            time.sleep(PERIOD_S / 2)
            runner.begin_life()
            runner.heartbeat()
            time.sleep(PERIOD_S / 2)
    state, give_up_at = "", time.monotonic() + WAIT_S
    while state not in ("completed", "failed", "canceled") and time.monotonic() < give_up_at:
        time.sleep(1.0)
        state = fleet.ask(entry, "GET", f"/lohu930/{JOB}")[1].get("state", "")
    runs, crashes = len(record.find("run started")), len(record.find("runner crashed"))
    failed = record.find("run ended", how="failed")
    if state == "failed" and not failed:
        return (
            f"the job is shown as failed after {crashes} crashes of its runner; none of its {runs} "
            "runs has ended as failed"
        )
    if state != "completed":
        raise RuntimeError(f"the job is {state or 'unknown'}")
    return ""


if __name__ == "__main__":
    run_case(FOLDER, play)
