"""An entry that takes over, is cut off for 12 s, and leads again later."""

import signal
import time
from pathlib import Path

from review.lab3.fleet import CannotRunError, Fleet, config, find_twice, play
from review.lab3.runner import RunnerStandin

CUT_S = 12.0
TASK_S = 90.0
JOBS = 3
# The tasks have to start within this many seconds, or the case could not run.
START_LIMIT_S = 10
CAPACITY = {"cpu": 64000, "mem-mb": 262144, "gpu": 8}
STEP = {"count": 1, "cpu": 7500, "mem-mb": 1000, "gpu": 1, "est-runtime-ms": 90000}


def trial(fleet: Fleet, is_troubled: bool) -> list[str]:
    first_ip, second_ip = fleet.new_ip(), fleet.new_ip()
    # All that the second entry sends or receives passes through links that can be cut: to the
    # store, to and from the first entry, and from the target processes, whose network translates
    # the address of its pipe to that of the link before it.
    pipe, pipe_link = f"{second_ip}:7000", f"{second_ip}:7015"
    translate = {pipe.encode(): pipe_link.encode()}
    links = [
        fleet.proxy(f"{second_ip}:8531", fleet.store_address),
        fleet.proxy(f"{second_ip}:8532", f"{first_ip}:8526"),
        fleet.proxy(f"{second_ip}:8533", f"{second_ip}:8526"),
        fleet.proxy(pipe_link, pipe),
    ]
    target_store = fleet.proxy(f"{fleet.new_ip()}:8524", fleet.store_address, translate).address
    first = fleet.add_entry(ip=first_ip)
    second = fleet.add_entry(store=links[0].address, ip=second_ip)
    seeds = [first.control, links[2].address]
    first.write_settings(seeds, 1.07)
    second.write_settings([links[1].address], 1.07)
    fleet.publish(config())
    first.start()
    fleet.wait_for("the first entry leads", lambda: fleet.leader() is first, 30.0)

    def make(name: str, address: str, control: str) -> RunnerStandin:
        return RunnerStandin(name, address, control, fleet.recorder, CAPACITY)

    for _ in range(3):
        fleet.add_target(seeds, make, target_store)
    second.start()
    fleet.wait_until_serving()
    for number in range(JOBS):
        fleet.submit(f"{number + 1:016x}", str(TASK_S), [STEP])
    fleet.wait_for("all tasks run", lambda: len(fleet.runs()) == JOBS, START_LIMIT_S)
    # Both entries are stopped and started in turn; this is planned work, and no trouble yet.
    first.restart(signal.SIGTERM)
    fleet.wait_for("the second entry leads", lambda: fleet.leader() is second, 15.0)
    time.sleep(5.0)
    if is_troubled:
        fleet.recorder.note(f"{second.name} is cut off for {CUT_S} s")
        for link in links:
            link.cut()
        time.sleep(CUT_S)
        for link in links:
            link.heal()
        fleet.recorder.note(f"{second.name} is reached again")
        fleet.wait_for("the first entry leads again", lambda: fleet.leader() is first, 5.0)
        time.sleep(6.0)
    if find_twice(fleet):
        raise CannotRunError("a task ran twice before the hand-over")
    first.restart(signal.SIGTERM)
    fleet.wait_for("the second entry leads again", lambda: fleet.leader() is second, 15.0)
    time.sleep(5.0)
    return find_twice(fleet)


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, trial)
