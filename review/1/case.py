"""A heartbeat of another writer, with a service that no configuration names, reaches a target."""

import time
from contextlib import ExitStack

from lab.fleet import Fleet, make_config, make_job, new_job_id, overlaps, run_case, wait_for
from lab.record import Record
from lab.runner import send_heartbeat

WORK_S = 10.0


def play(stack: ExitStack, record: Record, has_trouble: bool) -> str:
    """Returns which runs of the task overlapped."""
    config = make_config([{"name": "q"}], ["permisos"])
    fleet = Fleet(stack, record, config, entries=2, targets=3)
    fleet.wait_until_serving()
    job = new_job_id()
    fleet.submit(fleet.entries[0], f"/q/{job}", "key-a", make_job(WORK_S))
    wait_for(lambda: fleet.runs(job), 10.0, "the start of the task")
    time.sleep(2.0)
    runner = next(r for r in fleet.runners if r.id == fleet.runs(job)[0].runner)
    if has_trouble:
        host = runner.address.partition(":")[0]
        body = {
            "service": "other-program",
            "address": f"{host}:9999",
            "zone": "paysandu",
            "version": "v1",
            "slots": 1,
            "state": "ready",
            "capacity": {"cpu": 1000, "mem-mb": 1000, "gpu": 0},
            "labels": ["x", "r1-1"],
            "clock-ms": 1000,
            "sequence": 1,
            "born": time.time_ns() // 1_000_000,
        }
        status = send_heartbeat(runner.control, "i-other-writer", body)
        record.note(f"another writer's heartbeat to {runner.control} is answered {status}")
    time.sleep(WORK_S + 6.0)
    fleet.state(fleet.entries[0], f"/q/{job}", "key-a")
    found = [f"{a} and {b}, {seconds:.2f} s" for a, b, seconds in overlaps(fleet.runs(job))]
    return f"TWICE: at the same time: {'; '.join(found)}" if found else ""


if __name__ == "__main__":
    run_case(__file__, play)
