"""A route is removed while accepted jobs of it run, and then the owner is killed."""

import signal
import time
from pathlib import Path

from review.lab3.fleet import Fleet, config, play
from review.lab3.runner import RunnerStandin

FIRST_STEP_S = 8.0
APPLY_S = 2.5
DARK_S = 3.5
FINISH_S, GAP_S = 14.0, 3.0
CAPACITY = {"cpu": 64000, "mem-mb": 262144, "gpu": 8}
STEP = {"count": 1, "cpu": 4000, "mem-mb": 1000, "gpu": 1, "est-runtime-ms": 8000}
JOB = "00000000000000b1"


def trial(fleet: Fleet, is_troubled: bool) -> list[str]:
    first, second = fleet.add_entry(), fleet.add_entry()
    seeds = [first.control, second.control]
    for entry in fleet.entries:
        entry.write_settings(seeds, 1.07)
        entry.start()
    before = config(3)
    other = before["routes"][0] | {"name": "other", "path-prefix": "/other/"}
    before["routes"].append(other)
    fleet.publish(before)

    def make(name: str, address: str, control: str) -> RunnerStandin:
        return RunnerStandin(name, address, control, fleet.recorder, CAPACITY)

    for _ in range(3):
        fleet.add_target(seeds, make)
    fleet.wait_until_serving()
    fleet.submit(JOB, str(FIRST_STEP_S), [STEP, STEP | {"depends-on": [0]}])
    fleet.wait_for("the first step runs", lambda: fleet.runs(), 10.0)
    # Planned work: the configuration changes, and the route of the job goes.
    fleet.publish(config(4) | {"routes": [other]})
    time.sleep(APPLY_S)
    owner = fleet.leader()
    assert owner is not None
    if is_troubled:
        owner.end(signal.SIGKILL)
        time.sleep(DARK_S)
        owner.start()
    fleet.wait_for(
        "the first step is done", lambda: any(r.how == "done" for r in fleet.runs()), 30.0
    )
    done_at = fleet.recorder.now()
    time.sleep(FINISH_S + GAP_S + 8.0)
    for entry in fleet.entries:
        fleet.call(entry, "GET", f"/q/{JOB}")
    if any(seen.task.startswith(f"{JOB}.0.1.") for seen in fleet.runs()):
        return []
    waited_s = fleet.recorder.now() - done_at
    return [
        f"job {JOB}: its first step ended done {waited_s:.1f} s ago, its second one has not"
        " started, and nothing else runs on the three runners of its service"
    ]


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, trial)
