"""The store loses the answers to a job's acceptance, and its caller cancels the job."""

import threading
import time
from pathlib import Path

from review.lab3.fleet import Fleet, config, play
from review.lab3.runner import RunnerStandin

# For how long answers are lost, and how much later what they answer is carried out. The store has
# been without disruption for more than `contact-ms` by then.
LOST_S, LATE_S = 1.2, 5.6
CANCEL_S = 3.0
CAPACITY = {"cpu": 64000, "mem-mb": 262144, "gpu": 8}
STEP = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "est-runtime-ms": 1000}
JOB = "00000000000000e1"
# Other jobs of the same seconds, so that at most 0.35 of the writes lose their answers.
OTHERS = 12


def trial(fleet: Fleet, is_troubled: bool) -> list[str]:
    entries = [fleet.add_entry() for _ in range(2)]
    seeds = [entry.control for entry in entries]
    for entry in entries:
        entry.write_settings(seeds, 1.07)
        entry.start()
    fleet.publish(config())

    def make(name: str, address: str, control: str) -> RunnerStandin:
        return RunnerStandin(name, address, control, fleet.recorder, CAPACITY)

    for _ in range(3):
        fleet.add_target(seeds, make)
    fleet.wait_until_serving()
    fleet.submit("00000000000000ee", "0.5", [STEP])
    time.sleep(2.0)
    if is_troubled:
        fleet.store.lose(f"j/{JOB}", LOST_S, LATE_S)
        fleet.recorder.note(f"answers are lost for {LOST_S} s, and carried out {LATE_S} s later")
    others = threading.Thread(target=submit_others, args=(fleet,))
    others.start()
    body = {"task-spec": "0.5", "steps": [STEP]}
    fleet.call(entries[0], "POST", f"/q/{JOB}", body)
    status = 0
    while status not in (200, 410):
        status, _ = fleet.call(entries[1], "DELETE", f"/q/{JOB}")
    cancelled_at = fleet.recorder.now()
    others.join()
    time.sleep(LATE_S + 6.0)
    if is_troubled:
        fleet.recorder.note(f"writes while answers were lost: {fleet.store.count_lost()}")
    for entry in entries:
        fleet.call(entry, "GET", f"/q/{JOB}")
    return [
        f"{seen.task} starts {seen.began_at - cancelled_at:.1f} s after the cancel of its job was"
        f" answered with {status}"
        for seen in fleet.runs()
        if seen.task.startswith(JOB) and seen.began_at > cancelled_at + CANCEL_S
    ]


def submit_others(fleet: Fleet) -> None:
    """Hand other jobs in, at both entries in turn."""
    for number in range(OTHERS):
        entry = fleet.entries[number % 2]
        body = {"task-spec": "0.5", "steps": [STEP]}
        fleet.call(entry, "POST", f"/q/{number + 1:016x}", body)
        time.sleep(LOST_S / OTHERS)


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, trial)
