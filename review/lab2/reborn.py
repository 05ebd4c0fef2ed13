"""A runner that is cut off, crashes behind the cut and starts again under its id."""

import time

from review.lab2.deployment import APP
from review.lab2.proxy import Link
from review.lab2.runner import HEARTBEAT_S

LINK = APP + 1


class AppLinks:
    """The links by which target processes call their runners."""

    def __init__(self, stack):
        self._stack = stack
        self._by_process = {}

    def add(self, name, ip, address):
        """Put a link before the runner of a target process; returns the link's address."""
        link = Link(f"{ip}:{LINK}", address, loses_new=True)
        self._stack.callback(link.stop)
        self._by_process[name] = link
        return f"{ip}:{LINK}"

    def of(self, runner):
        """The link before a runner."""
        return self._by_process[f"side-{runner.name[1:]}"]


def restart_behind_cut(record, runner, link, cut_s, crash_after_s, down_s):
    """Cut the runner off, let it crash and start again behind the cut, and heal the cut.

    A heartbeat that is sent during the cut is lost; the first that arrives follows HEARTBEAT_S
    after the start.
    """
    runner.is_beating = False
    link.cut()
    record("network", "cut begins", runner=runner.name)
    time.sleep(crash_after_s)
    runner.crash()
    time.sleep(down_s)
    runner.begin_life(keeps_id=True)
    started_at = time.monotonic()
    time.sleep(cut_s - crash_after_s - down_s)
    link.heal()
    record("network", "cut has healed", runner=runner.name)
    time.sleep(max(0.0, started_at + HEARTBEAT_S - time.monotonic()))
    record(runner.name, "heartbeat", answered=runner.heartbeat())
    runner.is_beating = True
