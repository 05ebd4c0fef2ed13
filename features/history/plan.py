"""What one example runs: a seed for the workload and the faults, drawn from a seed."""

import random
from collections.abc import Callable
from enum import Enum

import msgspec


class FaultKind(Enum):
    """Faults that an example can inject."""

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


# One hour of virtual time is slow.
DEFAULT_KINDS = tuple(kind for kind in FaultKind if kind is not FaultKind.LOG_DOWN_HOUR)


class When(Enum):
    """What a kill or freeze waits for after its time has come."""

    AT_ONCE = "at-once"
    APPEND = "after-append"
    SEND = "before-send"


class Fault(msgspec.Struct, frozen=True):
    """A fault from `at` for `seconds`; `victim` picks a process, `count` the append or send."""

    kind: FaultKind
    at: float
    seconds: float = 8.0
    victim: int = 0
    when: When = When.AT_ONCE
    count: int = 1


class Plan(msgspec.Struct, frozen=True):
    """One example."""

    seed: int
    faults: tuple[Fault, ...] = ()

    def encode(self) -> str:
        """The plan as JSON, for `python -m features.history --plan`."""
        return msgspec.json.encode(self).decode()


def decode_plan(text: str) -> Plan:
    """Read a plan back from JSON."""
    return msgspec.json.decode(text, type=Plan)


# Draws one plan from a seeded generator.
DrawPlan = Callable[[random.Random], Plan]


def draw_fault_plans(
    kinds: tuple[FaultKind, ...] = DEFAULT_KINDS, min_faults: int = 0, max_faults: int = 2
) -> DrawPlan:
    """Plans with faults close to each other, while the workload of the first 30 s runs."""

    def draw(rng: random.Random) -> Plan:
        return draw_plans_with(tuple(rng.choices(kinds, k=rng.randint(min_faults, max_faults))))(
            rng
        )

    return draw


def draw_plans_with(kinds: tuple[FaultKind, ...]) -> DrawPlan:
    """Plans with one fault of each of `kinds`, close to each other and often on one process."""

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
    """The plan with other kinds of faults at the same times."""
    changed = [
        msgspec.structs.replace(fault, kind=kind)
        for fault, kind in zip(plan.faults, kinds, strict=True)
    ]
    return msgspec.structs.replace(plan, faults=tuple(changed))


def draw_examples(draw: DrawPlan, seed: int, count: int) -> list[Plan]:
    """`count` plans; `seed` alone decides which.

    hypothesis also draws constants of the modules that are loaded, so its plans would change with
    each commit and with what else a run imports.
    """
    rng = random.Random(seed)
    return [draw(rng) for _ in range(count)]
