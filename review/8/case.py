"""TWICE: a task runs on two runners, as a lease doesn't count the time that its machine is suspended.

With TROUBLE one side machine is suspended for 4 s, and cut off for 5.5 s as it wakes. ONLY=cut or
ONLY=suspend leaves the other half out.
"""

import os
import signal
import time

from review.lab2.deployment import (
    PIPE,
    ROOT,
    STORE,
    Deployment,
    base_config,
    job,
    run_case,
)
from review.lab2.proxy import Link
from review.lab2.web import Server

FOLDER = ROOT / "review/8"
JOBS = ("5c0e7a21d94b36f8", "6c0e7a21d94b36f9")
# cuexaf-grid.toml: node_cut, share = 0.17, for_s = 5.5, on = "side"; node_freeze, for_s = 4.0.
CUT_S, SUSPEND_S = 5.5, 4.0
# The cut begins just before the machine is awake.
OVERLAP_S = 0.1
SIDES = 6
LINK_PORT = 7420


class SideLinks:
    """The links of the side machine that is cut off: to the store and to each entry.

    The member's name that this machine reads from the store states the address of a link in place
    of the entry's; the link forwards to the entry. The machine's seeds are stale, so that it
    reaches the entries by these links only.
    """

    def __init__(self, stack, fleet_options):
        self._stack = stack
        self.links, self._by_entry = [], {}
        self.ip = ""
        self.store = None
        fleet_options["store_link"] = self.store_link
        fleet_options["stale_seeds"] = ("side-0",)

    def store_link(self, name, ip, address):
        if name != "side-0":
            return address
        self.ip = ip
        front = Server(f"{ip}:{STORE + 50}", self._handle)
        self._stack.callback(front.stop)
        return self._add(f"{ip}:{STORE + 51}", front.address)

    def _add(self, listen, target):
        link = Link(listen, target)
        self._stack.callback(link.stop)
        self.links.append(link)
        return listen

    def add_entries(self, entries):
        for n, entry in enumerate(entries):
            address = self._add(f"{self.ip}:{LINK_PORT + n}", f"{entry.ip}:{PIPE}")
            self._by_entry[f"@{entry.ip}:{PIPE}/"] = f"@{address}/"

    def _handle(self, method, path, query, headers, body):
        if self.store is None:
            return 503, {}
        status, answer = self.store.handle(method, path, query, headers, body)
        if path.endswith("log-owners"):
            for row in answer["parts"]:
                for own, linked in self._by_entry.items():
                    row[2] = row[2].replace(own, linked)
        return status, answer

    def cut(self):
        for link in self.links:
            link.cut()

    def heal(self):
        for link in self.links:
            link.heal()


def play(stack, record, trouble):
    only = os.environ.get("ONLY", "")
    options = {}
    side = SideLinks(stack, options)
    fleet = Deployment(
        stack,
        record,
        2,
        SIDES,
        lambda spec: spec["work_s"],
        base_config(),
        labels={n: ("b" if n < 2 else "a", "r1-1") for n in range(SIDES)},
        **options,
    )
    side.add_entries(fleet.entries)
    side.store = fleet.store
    fleet.wait_until_serving()
    runner, target = fleet.runners[0], fleet.targets[0]
    entry = fleet.entries[0]

    def hand_in(name):
        body = job(40.0, gpu=8, requirements="b")
        if fleet.ask(entry, "POST", f"/lohu930/{name}", body)[0] != 200:
            raise RuntimeError("a job was not accepted")
        time.sleep(0.5)
        return f"{name}.0.0.0"

    # Two runners have the label, and each job fills one of them. One has to be at side-0.
    task = hand_in(JOBS[0])
    if task not in runner.running:
        task = hand_in(JOBS[1])
        fleet.ask(entry, "DELETE", f"/lohu930/{JOBS[0]}")
    if task not in runner.running:
        raise RuntimeError("no task runs on the first side machine")
    time.sleep(3.0)
    if trouble:
        # Right after a renewal of the lease, which the runner is called for each 1.2 s.
        holds = runner.holds
        while runner.holds == holds:
            time.sleep(0.01)
        time.sleep(0.1)
        began = time.monotonic()
        if only != "cut":
            target.signal(signal.SIGSTOP)
            runner.suspend()
            time.sleep(SUSPEND_S - OVERLAP_S)
        if only != "suspend":
            record("network", "cut begins", machine=target.name)
            side.cut()
        time.sleep(OVERLAP_S)
        if only != "cut":
            runner.resume()
            target.signal(signal.SIGCONT)
        if only != "suspend":
            time.sleep(CUT_S - OVERLAP_S)
            side.heal()
            record("network", "cut ends", machine=target.name)
        record("script", "the disruption is over", took_s=f"{time.monotonic() - began:.2f}")
    time.sleep(12.0)
    spans = []
    for at, who, _, fields in record.find("run started", task=task):
        ends = [e[0] for e in record.find("run ended", task=task, run=fields["run"]) if e[1] == who]
        spans.append((at, ends[0] if ends else record.now(), who, fields["run"]))
    for first in spans:
        for second in spans:
            both_s = min(first[1], second[1]) - second[0]
            if second[0] > first[0] and both_s > 0:
                return (
                    f"{task} runs on {first[2]} (run {first[3]}) and on {second[2]} (run "
                    f"{second[3]}) for {both_s:.2f} s together"
                )
    return ""


if __name__ == "__main__":
    run_case(FOLDER, play)
