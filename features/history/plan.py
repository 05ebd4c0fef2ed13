"""What one example runs: a seed for the workload and the faults, drawn by hypothesis."""

from enum import Enum

import hypothesis
import msgspec
from hypothesis import strategies as st


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


# Snapshots are not part of this branch, and one hour of virtual time is slow.
SPECIAL = (FaultKind.LOG_EXPIRES, FaultKind.LOG_DOWN_HOUR)
USUAL = tuple(kind for kind in FaultKind if kind not in SPECIAL)


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


@st.composite
def plans(
    draw: st.DrawFn, kinds: tuple[FaultKind, ...] = USUAL, least: int = 0, most: int = 2
) -> Plan:
    """Plans with faults close to each other, while the workload of the first 30 s runs."""
    chosen = draw(st.lists(st.sampled_from(kinds), min_size=least, max_size=most))
    return draw(plans_of(tuple(chosen)))


@st.composite
def plans_of(draw: st.DrawFn, kinds: tuple[FaultKind, ...]) -> Plan:
    """Plans with one fault of each of `kinds`, close to each other and often on one process."""
    seed = draw(st.integers(0, 10**6))
    at = draw(st.integers(20, 250))
    victim = draw(st.integers(0, 11))
    faults = []
    for kind in kinds:
        tenths = at + draw(st.integers(0, 50)) if faults else at
        faults.append(
            Fault(
                kind,
                tenths / 10,
                draw(st.sampled_from((1.5, 4.0, 9.0, 14.0))),
                draw(st.sampled_from((victim, draw(st.integers(0, 11))))),
                draw(st.sampled_from(When)),
                draw(st.integers(1, 6)),
            )
        )
    return Plan(seed, tuple(faults))


def with_kinds(plan: Plan, kinds: tuple[FaultKind, ...]) -> Plan:
    """The plan with other kinds of faults at the same times."""
    changed = [
        msgspec.structs.replace(fault, kind=kind)
        for fault, kind in zip(plan.faults, kinds, strict=True)
    ]
    return msgspec.structs.replace(plan, faults=tuple(changed))


def examples(strategy: st.SearchStrategy[Plan], seed: int, count: int) -> list[Plan]:
    """`count` plans; `seed` decides which."""
    found: list[Plan] = []

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=count,
        database=None,
        deadline=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategy)
    def collect(plan: Plan) -> None:
        found.append(plan)

    collect()
    return found
