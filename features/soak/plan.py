"""Draws the faults of a soak from a seed, and carries them out."""

import random
import signal
import threading
import time
from collections.abc import Callable

import msgspec

from features.soak.fleet import Member, SoakFleet
from features.soak.history import History
from features.soak.proxy import LinkMode
from features.soak.runner import ROOM, SoakRunner

FIRST_FAULT_S = 1.0
# Mean time between two faults; most last longer, so that they overlap.
MEAN_GAP_S = 0.6
# The same for faults that bear on which life of a runner is believed to be present.
LIFE_MEAN_GAP_S = 1.5
# The same for runners that end or start again while their target process cannot see it.
UNSEEN_MEAN_GAP_S = 2.5
# The same for appends of callers' records that are carried out late.
LATE_MEAN_GAP_S = 4.0
# The same for the faults beside an entry that is cut off.
ISOLATION_MEAN_GAP_S = 3.0
# Longer than an owner works on without a confirmation of its lead.
ISOLATION_S = 12.0
ISOLATION_BEGINS_S = 3.0
# The isolated entry leads again after this many restarts of other ones, or not at all.
MAX_LEAD_CHANGES = 5
# The lead changes within this time, and what the new owner does with it shows.
LEAD_CHANGE_S = 3.0
LINK_FAULTS = (LinkMode.DELAY, LinkMode.SILENT, LinkMode.ONE_WAY)


class Fault(msgspec.Struct, frozen=True):
    """One fault: `kind` names a method of Faults, `number` and `pick` choose what it hits."""

    at: float
    kind: str
    number: int
    pick: int
    for_s: float


KINDS = (
    "kill_entry",
    "kill_target",
    "terminate_entry",
    "terminate_target",
    "pause_entry",
    "pause_target",
    "hang_up",
    "harm_store_link",
    "refuse_store_link",
    "reset_store_links",
    "harm_runner_link",
    "make_store_busy",
    "lose_store_answer",
    "crash_runner",
    "drain_runner",
    "change_room",
    "change_keys",
)


LIFE_KINDS = (
    "send_odd_heartbeat",
    "send_late_heartbeat",
    "send_departure",
    "refuse_runner_link",
    "restart_runner_at_once",
)


UNSEEN_KINDS = ("restart_runner_behind_cut", "end_runner_behind_cut")


LATE_KINDS = ("carry_appends_out_late",)


# None of them ends or stops an entry, so that the isolated one keeps what it knows.
ISOLATION_KINDS = (
    "terminate_target",
    "pause_target",
    "hang_up",
    "harm_runner_link",
    "make_store_busy",
    "lose_store_answer",
    "change_room",
)


def draw_isolation_plan(seed: int, seconds: float) -> list[Fault]:
    """An entry that leads is cut off past its lead and leads again, beside other faults."""
    rng = random.Random(f"isolation {seed}")
    plan = _draw(rng, ISOLATION_KINDS, ISOLATION_MEAN_GAP_S, seconds)
    begins_at = ISOLATION_BEGINS_S + rng.uniform(0.0, 2.0)
    plan.append(Fault(round(begins_at, 2), "isolate_leader", 0, 0, ISOLATION_S))
    return sorted(plan, key=lambda fault: fault.at)


def draw_plan(seed: int, seconds: float) -> list[Fault]:
    """The faults of a soak of some seconds; the same seed gives the same plan.

    Those of LIFE_KINDS, UNSEEN_KINDS and LATE_KINDS are drawn by themselves, so that seeds of
    before keep all their faults.
    """
    plan = _draw(random.Random(seed), KINDS, MEAN_GAP_S, seconds)
    plan += _draw(random.Random(f"lives {seed}"), LIFE_KINDS, LIFE_MEAN_GAP_S, seconds)
    plan += _draw(random.Random(f"unseen {seed}"), UNSEEN_KINDS, UNSEEN_MEAN_GAP_S, seconds)
    plan += _draw(random.Random(f"late {seed}"), LATE_KINDS, LATE_MEAN_GAP_S, seconds)
    return sorted(plan, key=lambda fault: fault.at)


def _draw(
    rng: random.Random, kinds: tuple[str, ...], mean_gap_s: float, seconds: float
) -> list[Fault]:
    plan = []
    at = FIRST_FAULT_S
    while at < seconds:
        kind, for_s = rng.choice(kinds), round(rng.uniform(0.3, 4.0), 2)
        plan.append(Fault(round(at, 2), kind, rng.randrange(10_000), rng.randrange(10_000), for_s))
        # Every now and then the next one follows at once.
        at += rng.expovariate(1 / mean_gap_s) if rng.random() < 0.8 else 0.0
    return plan


class Faults:
    """Carries out faults on a fleet; `heal` ends all of them."""

    def __init__(self, fleet: SoakFleet, history: History) -> None:
        self._fleet = fleet
        self._history = history
        self._threads: list[threading.Thread] = []
        self._withdrawn = 0
        self.withdrawn_keys: set[str] = set()

    def carry_out(self, fault: Fault) -> None:
        """Begin a fault; it ends by itself."""
        self._history.note(f"{fault.kind} {fault.number} {fault.pick} for {fault.for_s} s")
        thread = threading.Thread(target=getattr(self, fault.kind), args=(fault,), daemon=True)
        self._threads.append(thread)
        thread.start()

    def heal(self) -> None:
        """Wait for the faults to end, and undo what is left of them."""
        for thread in self._threads:
            thread.join()
        self._fleet.store.fault_mode = ""
        for member in self._fleet.members:
            for link in member.links:
                link.set_mode(LinkMode.PASS)
                link.set_refusing(False)
            member.send_signal(signal.SIGCONT)
            member.start()
        for runner in self._fleet.runners:
            runner.set_room(ROOM)

    def _entry(self, fault: Fault) -> Member:
        return self._fleet.entries[fault.number % len(self._fleet.entries)]

    def _target(self, fault: Fault) -> Member:
        return self._fleet.targets[fault.number % len(self._fleet.targets)]

    def _any(self, fault: Fault) -> Member:
        return self._fleet.members[fault.number % len(self._fleet.members)]

    def _restart(self, member: Member, number: signal.Signals, pause_s: float) -> None:
        member.end(number)
        time.sleep(pause_s / 4)
        member.start()

    def kill_entry(self, fault: Fault) -> None:
        self._restart(self._entry(fault), signal.SIGKILL, fault.for_s)

    def kill_target(self, fault: Fault) -> None:
        self._restart(self._target(fault), signal.SIGKILL, fault.for_s)

    def terminate_entry(self, fault: Fault) -> None:
        self._restart(self._entry(fault), signal.SIGTERM, fault.for_s)

    def terminate_target(self, fault: Fault) -> None:
        self._restart(self._target(fault), signal.SIGTERM, fault.for_s)

    def _pause(self, member: Member, seconds: float) -> None:
        member.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        member.send_signal(signal.SIGCONT)

    def pause_entry(self, fault: Fault) -> None:
        self._pause(self._entry(fault), fault.for_s)

    def pause_target(self, fault: Fault) -> None:
        self._pause(self._target(fault), fault.for_s)

    def hang_up(self, fault: Fault) -> None:
        self._any(fault).send_signal(signal.SIGHUP)

    def _harm(self, set_mode: Callable[[LinkMode], None], mode: LinkMode, seconds: float) -> None:
        set_mode(mode)
        time.sleep(seconds)
        set_mode(LinkMode.PASS)

    def harm_store_link(self, fault: Fault) -> None:
        mode = LINK_FAULTS[fault.pick % len(LINK_FAULTS)]
        self._harm(self._any(fault).link.set_mode, mode, fault.for_s)

    def refuse_store_link(self, fault: Fault) -> None:
        link = self._any(fault).link
        link.set_refusing(True)
        time.sleep(fault.for_s)
        link.set_refusing(False)

    def reset_store_links(self, fault: Fault) -> None:
        for member in self._fleet.members[fault.number % 2 :: 2]:
            member.link.reset()

    def harm_runner_link(self, fault: Fault) -> None:
        link = self._fleet.runner_links[fault.number % len(self._fleet.runner_links)]
        mode = LINK_FAULTS[fault.pick % len(LINK_FAULTS)]
        self._harm(link.set_mode, mode, fault.for_s)

    def make_store_busy(self, fault: Fault) -> None:
        self._fleet.store.fault_mode = "busy"
        time.sleep(fault.for_s / 2)
        self._fleet.store.fault_mode = ""

    def lose_store_answer(self, fault: Fault) -> None:
        self._fleet.store.fault_mode = "lost"

    def carry_appends_out_late(self, fault: Fault) -> None:
        """Leave appends of callers' records unanswered, and carry them out up to 6 s later."""
        self._fleet.store.late_by_s = 1.0 + fault.pick / 2000
        time.sleep(fault.for_s / 2)
        self._fleet.store.late_by_s = 0.0

    def isolate_leader(self, fault: Fault) -> None:
        """Cut a leader that has taken over off from store and targets, and let it lead again."""
        self._change_lead()
        isolated = self._fleet.leader
        if isolated is None:
            self._history.note("no entry leads that could be isolated")
            return
        self._history.note(f"{isolated.name} is isolated")
        for link in isolated.links:
            link.set_mode(LinkMode.SILENT)
        time.sleep(fault.for_s)
        for link in isolated.links:
            link.set_mode(LinkMode.PASS)
        time.sleep(LEAD_CHANGE_S)
        for _ in range(MAX_LEAD_CHANGES):
            if self._fleet.leader is isolated:
                self._history.note(f"{isolated.name} leads again")
                return
            self._change_lead()

    def _change_lead(self) -> None:
        """Stop and start the entry that leads, as planned, and wait for the next one."""
        leader = self._fleet.leader
        if leader is not None:
            self._restart(leader, signal.SIGTERM, LEAD_CHANGE_S)
        time.sleep(LEAD_CHANGE_S)

    def _runner(self, fault: Fault) -> SoakRunner:
        return self._fleet.runners[fault.number % len(self._fleet.runners)]

    def crash_runner(self, fault: Fault) -> None:
        self._runner(fault).crash(0.5 + fault.for_s / 2)

    def restart_runner_at_once(self, fault: Fault) -> None:
        self._runner(fault).crash(0.15, keeps_id=True)

    def restart_runner_behind_cut(self, fault: Fault) -> None:
        """Restart a runner under its id while calls to it are held up, and lose its heartbeats."""
        runner = self._runner(fault)
        runner.is_unheard = True
        runner.link.set_mode(LinkMode.SILENT)
        time.sleep(fault.for_s / 4)
        runner.crash(0.15, keeps_id=True, is_seen=False)
        time.sleep(0.2 + fault.for_s / 4)
        # The calls that were held up reach the next life.
        runner.link.set_mode(LinkMode.PASS)
        runner.is_unheard = False

    def end_runner_behind_cut(self, fault: Fault) -> None:
        """Let a runner drain, be cut off by resets, say that it leaves, and go on for a while."""
        self._runner(fault).drain(fault.for_s / 2)

    def drain_runner(self, fault: Fault) -> None:
        self._runner(fault).drain()

    def change_room(self, fault: Fault) -> None:
        self._runner(fault).set_room(fault.pick % (ROOM + 1))

    def refuse_runner_link(self, fault: Fault) -> None:
        link = self._fleet.runner_links[fault.number % len(self._fleet.runner_links)]
        link.set_refusing(True)
        time.sleep(fault.for_s)
        link.set_refusing(False)

    def send_odd_heartbeat(self, fault: Fault) -> None:
        """Send a heartbeat of another writer, which names no runner or is odd in one field."""
        runner = self._runner(fault)
        target, body = runner.heartbeat()
        rng = random.Random(fault.pick)
        born = body["born"] + rng.choice((-1000, 0, 1, 100_000))
        odd = {
            "service": "unknown",
            "state": "asleep",
            "born": born,
            "sequence": rng.choice((10**9, 2**70)),
            "capacity": {"cpu": 2**70},
            "labels": None,
        }
        name = rng.choice(list(odd))
        target = rng.choice((target, "other", self._fleet.runners[0].id))
        runner.send(target, body | {name: odd[name]} | {"born": born})

    def send_late_heartbeat(self, fault: Fault) -> None:
        """Send the last heartbeat of each former life of a runner again."""
        runner = self._runner(fault)
        for target, body in list(runner.former_heartbeats):
            runner.send(target, body)

    def send_departure(self, fault: Fault) -> None:
        """Send the message that a runner leaves, which is not its own."""
        self._runner(fault).send_departure()

    def change_keys(self, fault: Fault) -> None:
        """Withdraw the spare key, and issue another one; a withdrawn key is never issued again."""
        fleet = self._fleet
        self.withdrawn_keys |= fleet.keys - {"key"}
        self._withdrawn += 1
        fleet.keys = {"key", f"spare-{self._withdrawn}"}
        fleet.publish_keys()
