"""Plans of simulation runs: a seed for the workload and the faults to inject."""

import random
from collections.abc import Callable
from enum import Enum

import msgspec


class FaultKind(Enum):
    """Faults that a plan can inject."""

    KILL_ENTRY = "kill-entry"
    KILL_TARGET = "kill-target"
    CUT_LINK = "cut-link"
    CUT_LOG = "cut-log"
    FREEZE_ENTRY = "freeze-entry"
    FREEZE_TARGET = "freeze-target"
    LOG_DOWN = "log-down"
    LOG_DOWN_HOUR = "log-down-hour"
    LOG_SLOW = "log-slow"
    LOG_ANSWERS_LOST = "log-answers-lost"
    LOG_LATE_RECORDS = "log-late-records"
    LOG_EXPIRES = "log-expires"
    MESSAGES_LOST = "messages-lost"
    MESSAGES_DOUBLED = "messages-doubled"
    MESSAGES_DELAYED = "messages-delayed"
    OPERATORS_RACE = "operators-race"
    CANCEL_WAVE = "cancel-wave"
    BAD_WORKER = "bad-worker"
    STOP_ENTRY = "stop-entry"
    STOP_TARGET = "stop-target"


# LOG_DOWN_HOUR is left out, because simulating an hour takes long.
DEFAULT_KINDS = tuple(kind for kind in FaultKind if kind is not FaultKind.LOG_DOWN_HOUR)


class When(Enum):
    """When a kill or freeze takes effect: at once, after an append, or before a send."""

    AT_ONCE = "at-once"
    APPEND = "after-append"
    SEND = "before-send"


class Fault(msgspec.Struct, frozen=True):
    """A fault that begins at `at` and lasts `seconds`.

    `victim` selects the process. A kill or freeze with `when` other than AT_ONCE takes effect at
    the `count`-th append or send.
    """

    kind: FaultKind
    at: float
    seconds: float = 8.0
    victim: int = 0
    when: When = When.AT_ONCE
    count: int = 1


class Plan(msgspec.Struct, frozen=True):
    """One simulation run."""

    seed: int
    faults: tuple[Fault, ...] = ()

    def encode(self) -> str:
        """The plan as JSON, for `python -m features.history --plan`."""
        return msgspec.json.encode(self).decode()


def decode_plan(text: str) -> Plan:
    """Decode a plan from JSON."""
    return msgspec.json.decode(text, type=Plan)


# Draws one plan from a seeded generator.
DrawPlan = Callable[[random.Random], Plan]


def random_faults(
    kinds: tuple[FaultKind, ...] = DEFAULT_KINDS, min_faults: int = 0, max_faults: int = 2
) -> DrawPlan:
    """Draw plans with random faults, close in time, in the 30 s in which work arrives."""

    def draw(rng: random.Random) -> Plan:
        return fixed_faults(tuple(rng.choices(kinds, k=rng.randint(min_faults, max_faults))))(rng)

    return draw


def fixed_faults(kinds: tuple[FaultKind, ...]) -> DrawPlan:
    """Draw plans with one fault of each of `kinds`, close in time, often on one process."""

    def draw(rng: random.Random) -> Plan:
        seed = rng.randint(0, 10**6)
        first_tenths = rng.randint(20, 250)
        victim = rng.randint(0, 11)
        faults = []
        for kind in kinds:
            at_tenths = first_tenths + rng.randint(0, 50) if faults else first_tenths
            faults.append(
                Fault(
                    kind,
                    at_tenths / 10,
                    rng.choice((1.5, 4.0, 9.0, 14.0)),
                    rng.choice((victim, rng.randint(0, 11))),
                    rng.choice(tuple(When)),
                    rng.randint(1, 6),
                )
            )
        return Plan(seed, tuple(faults))

    return draw


def replace_fault_kinds(plan: Plan, kinds: tuple[FaultKind, ...]) -> Plan:
    """Replace the kinds of the faults and keep their times."""
    changed = [
        msgspec.structs.replace(fault, kind=kind)
        for fault, kind in zip(plan.faults, kinds, strict=True)
    ]
    return msgspec.structs.replace(plan, faults=tuple(changed))


def draw_examples(draw: DrawPlan, seed: int, count: int) -> list[Plan]:
    """Draw `count` plans that depend on `seed` alone.

    hypothesis isn't used here: it also draws constants from the loaded modules, so its plans would
    change with each commit and with the imports of a run.
    """
    rng = random.Random(seed)
    return [draw(rng) for _ in range(count)]
