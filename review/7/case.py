"""TWICE: a task is started again while it runs on a runner that has said that it leaves.

A runner is emptied and taken away. With TROUBLE a cut resets the calls of its target process for
5 s meanwhile, and loses the answers of that process to the runner. The runner's DELETE arrives; it
gets no acknowledgement, so it ends 3 s later, as PROTOCOL.md says.
"""

import time

from review.lab2.deployment import ROOT, Deployment, base_config, job, run_case

FOLDER = ROOT / "review/7"
JOB = "5c0e7a21d94b36f8"
RUNNERS = 6
# The runner serves drain-ms and a little longer before its DELETE.
SERVES_S = 2.7
CUT_AFTER_S = 1.0
# fleetbench kinds: for_s: how long (5).
CUT_S = 5.0
# "If it receives no acknowledgement, it ends anyway, some seconds later."
ENDS_LATER_S = 3.0


def play(stack, record, trouble):
    fleet = Deployment(stack, record, 2, RUNNERS, lambda spec: spec["work_s"], base_config())
    fleet.wait_until_serving()
    # The estimate is rough: the task takes far longer.
    body = job(100.0, **{"est-runtime-ms": 1000})
    if fleet.ask(fleet.entries[0], "POST", f"/lohu930/{JOB}", body)[0] != 200:
        raise RuntimeError("the job was not accepted")
    time.sleep(2.0)
    task = f"{JOB}.0.0.0"
    runner = next((r for r in fleet.runners if task in r.running), None)
    if runner is None:
        raise RuntimeError("the task does not run")
    runner.draining = True
    record(runner.name, "runner drains", acknowledged=runner.heartbeat())
    drained_at = time.monotonic()
    time.sleep(CUT_AFTER_S)
    if trouble:
        runner.refuse()
    time.sleep(SERVES_S - CUT_AFTER_S)
    status = runner.say_leaving(is_answer_lost=trouble)
    record(runner.name, "runner says that it leaves", answered=status)
    if trouble:
        time.sleep(ENDS_LATER_S)
    ended_at = record.now()
    runner.crash()
    record("network", "the disruption is over", took_s=f"{time.monotonic() - drained_at:.1f}")
    time.sleep(4.0)
    ends = record.find("run ended", task=task)
    own = [e[0] for e in ends if e[1] == runner.name]
    first_ends = min(own) if own else ended_at
    for at, who, _, fields in record.find("run started", task=task):
        if who != runner.name and at < first_ends:
            return (
                f"{task} runs on {runner.name} and, as run {fields['run']}, on {who} for "
                f"{first_ends - at:.2f} s together"
            )
    return ""


if __name__ == "__main__":
    run_case(FOLDER, play)
