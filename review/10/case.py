"""UNASKED: a job runs although its cancelling was acknowledged with 410.

The store loses the answers to the appends of one job's acceptance and carries one out 5.5 s later.
The client gets 504 for its POST, cancels the job, and gets 410.
"""

import time

from review.lab2.deployment import ROOT, Deployment, base_config, job, run_case

FOLDER = ROOT / "review/10"
JOB = "5c0e7a21d94b36f8"
# PROTOCOL.md: a call without an answer may be executed seconds later; kinds: 1 to 6 s.
LATE_S = 5.5
CANCEL_S = 3.0
STOP_GRACE_S = 0.2


def play(stack, record, trouble):
    fleet = Deployment(stack, record, 2, 2, lambda spec: spec["work_s"], base_config())
    fleet.wait_until_serving()
    entry = next(e for e in fleet.entries if e is not fleet.owner())
    lost = []

    def lose_late(topic, body):
        if trouble and topic == "keyed.jobs" and b"j/" + JOB.encode() in body:
            lost.append(1)
            record("store", "append gets no answer", job=JOB)
            # The first copy is carried out late; those that repeat it are carried out later still.
            return LATE_S + 0.1 * len(lost)
        return None

    writes_before = fleet.store.writes
    fleet.store.lose_late = lose_late
    status, _ = fleet.ask(entry, "POST", f"/lohu930/{JOB}", job(4.0))
    cancel_status, cancelled_at = 0, 0.0
    for _ in range(4):
        cancel_status, _ = fleet.ask(entry, "DELETE", f"/lohu930/{JOB}")
        cancelled_at = record.now()
        if 200 <= cancel_status < 300 or cancel_status == 410:
            break
        time.sleep(0.2)
    fleet.store.lose_late = None
    time.sleep(14.0)
    fleet.ask(entry, "GET", f"/lohu930/{JOB}")
    record(
        "store",
        "writes during the case",
        all=fleet.store.writes - writes_before,
        unanswered=fleet.store.lost,
    )
    if cancel_status not in (200, 410):
        raise RuntimeError(f"the cancel was not acknowledged: {cancel_status}")
    late = [e for e in record.find("run started") if e[0] > cancelled_at + CANCEL_S]
    if late:
        at, runner, _, fields = late[0]
        return (
            f"{runner} starts {fields['task']} {at - cancelled_at:.2f} s after the cancelling was "
            f"acknowledged with {cancel_status}; the POST got {status}"
        )
    return ""


if __name__ == "__main__":
    run_case(FOLDER, play)
