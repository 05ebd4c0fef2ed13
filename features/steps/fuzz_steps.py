"""Steps for fuzz tests, whose records and messages hypothesis derives from their types."""

import tempfile
from collections.abc import Callable
from enum import Enum
from pathlib import Path
from types import UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

import hypothesis
import msgspec
from behave import then, when
from behave.runner import Context
from hypothesis import strategies as st

from comfreyshelf.agent import Agent
from comfreyshelf.config_text import SECTION_OPTIONS, parse_config
from comfreyshelf.errors import RecordError, SettingsError
from comfreyshelf.ids import Attempt, Offset, Version
from comfreyshelf.ledger import DUPLICATE, Ledger, WriterProgress
from comfreyshelf.messages import (
    AnyMessage,
    PartReport,
    ReserveAnswer,
    Status,
    decode_message,
    encode_message,
)
from comfreyshelf.ownership import MessageReceived
from comfreyshelf.records import (
    AnyBody,
    JobAccepted,
    Record,
    decode_record,
    encode_record,
    make_record_id,
    split_record_id,
)
from comfreyshelf.settings import EntrySettings, TargetSettings, check_settings, load_settings
from features.history.scenario import CONFIG_TEXT
from features.steps.ownership_steps import (
    DOMAIN,
    JOB,
    TARGET,
    WORKER,
    OwnerHarness,
    make_claim,
    publish_config,
)

WORDS = ["", "job", "t0", "t1", "e0", "litoral", "paysandu", "permit", "gamma", "key", CONFIG_TEXT]


def values_of(hint: Any) -> st.SearchStrategy[Any]:
    """Return a strategy for a type hint; many strings come from WORDS, so that names match."""
    hint = getattr(hint, "__supertype__", hint)
    origin = get_origin(hint)
    if origin in (Union, UnionType):
        return st.one_of([values_of(item) for item in get_args(hint)])
    args = get_args(hint)
    if origin is tuple and args[-1] is not Ellipsis:
        return st.tuples(*(values_of(item) for item in args))
    if origin is tuple:
        return st.lists(values_of(args[0]), max_size=3).map(tuple)
    if origin is dict:
        return st.dictionaries(values_of(args[0]), values_of(args[1]), max_size=3)
    if hint is str:
        return st.sampled_from(WORDS) | st.text(max_size=5)
    if hint is int:
        return st.integers(-1, 4) | st.integers(-(2**63), 2**63 - 1)
    if hint is float:
        return st.floats(0, 1000) | st.floats()
    if hint is type(None):
        return st.none()
    if isinstance(hint, type) and issubclass(hint, Enum):
        return st.sampled_from(hint)
    if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
        hints = get_type_hints(hint)
        return st.builds(hint, **{name: values_of(hints[name]) for name in hint.__struct_fields__})
    return {bytes: st.binary(max_size=8), bool: st.booleans()}[hint]


LINES = st.one_of(
    st.text(max_size=12),
    st.builds(
        "[{} {}]".format, st.sampled_from(sorted(SECTION_OPTIONS)), st.sampled_from(WORDS[:-1])
    ),
    st.builds(
        "{} = {}".format,
        st.sampled_from(["region", "domain", "guarantee", "slots", "weight", "scrap", "rate"]),
        st.sampled_from(["1 x 8 @ worker in litoral", "nan", "-1", "yes", "%", "litoral"])
        | st.text(max_size=8),
    ),
)
TEXTS = st.lists(LINES, max_size=8).map("\n".join) | st.builds(
    lambda lines, at: CONFIG_TEXT[:at] + "\n" + "\n".join(lines) + "\n" + CONFIG_TEXT[at:],
    st.lists(LINES, max_size=4),
    st.integers(0, len(CONFIG_TEXT)),
)
MESSAGES = values_of(AnyMessage)
RECORD_IDS = st.builds(make_record_id, values_of(str), st.integers(0, 2**63))
RECORDS = st.builds(Record, RECORD_IDS, values_of(str), values_of(float), values_of(AnyBody))
# Records within the retention of ended jobs, so that none makes the ledger drop older state.
RECENT_RECORDS = st.builds(
    Record, RECORD_IDS, values_of(str), st.floats(0, 1000), values_of(AnyBody)
)
# Messages of which many name the job, attempt or zone that the owner under test knows.
OWNER_MESSAGES = st.one_of(
    MESSAGES,
    values_of(PartReport).map(lambda m: msgspec.structs.replace(m, job=JOB.id, attempt=Attempt(1))),
    values_of(ReserveAnswer).map(
        lambda m: msgspec.structs.replace(m, job=JOB.id, attempt=Attempt(1))
    ),
    values_of(Status).map(
        lambda m: msgspec.structs.replace(
            m, worker=msgspec.structs.replace(m.worker, zone=WORKER.zone)
        )
    ),
)


def damaged(strategy: st.SearchStrategy[bytes]) -> st.SearchStrategy[bytes]:
    """Random bytes, and valid bytes with one of them changed and some cut off."""

    def change(data: bytes, at: int, value: int, cut: int) -> bytes:
        at %= len(data)
        changed = data[:at] + bytes([value]) + data[at + 1 :]
        return changed[: len(changed) - cut]

    numbers = st.integers(0, 255)
    return st.binary(max_size=40) | st.builds(
        change, strategy, st.integers(0, 10**4), numbers, st.integers(0, 3)
    )


def check_config_text(text: str) -> None:
    result = parse_config(text, Version(1))
    assert result.is_ok() or all(problem.remedy for problem in result.error)


def check_settings_values(values: dict[str, str]) -> None:
    for kind in (EntrySettings, TargetSettings):
        try:
            check_settings(values, kind, "section")
        except SettingsError as exc:
            assert exc.remedy


def check_settings_file(data: bytes) -> None:
    with tempfile.NamedTemporaryFile() as file:
        file.write(data)
        file.flush()
        try:
            load_settings(Path(file.name), "entry", EntrySettings)
        except SettingsError as exc:
            assert exc.remedy


def check_record_bytes(data: bytes) -> None:
    try:
        record = decode_record(data)
    except RecordError:
        return
    Ledger().apply(Offset(0), record)


def check_message_bytes(data: bytes) -> None:
    try:
        message = decode_message(data)
    except RecordError:
        return
    Agent(WORKER).handle(message, 0.0)


def send_over_wire(message: AnyMessage) -> AnyMessage | None:
    """Return the message as its receiver decodes it, or None if the receiver rejects it."""
    try:
        return decode_message(encode_message(message))
    except RecordError:
        return None


def encode_state(ledger: Ledger) -> bytes:
    return msgspec.msgpack.encode([ledger.state, ledger.config.version])


def encode_state_without_writers(ledger: Ledger) -> bytes:
    """Encode the state without the writers' progress and the time, which every record changes."""
    state = msgspec.structs.replace(ledger.state, writers={}, time=0.0)
    return msgspec.msgpack.encode([state, ledger.config.version])


def check_records(records: list[Record]) -> None:
    ledger = Ledger()
    for offset, record in enumerate(records):
        before, before_without_writers = encode_state(ledger), encode_state_without_writers(ledger)
        writers = dict(ledger.state.writers)
        writer, sequence = split_record_id(record.id)
        verdict = ledger.apply(Offset(offset), decode_record(encode_record(record)))
        assert ledger.next_offset == offset + 1
        if verdict.reason == DUPLICATE:
            assert encode_state(ledger) == before, f"{record} was repeated but had an effect"
        elif not verdict.accepted:
            assert (
                encode_state_without_writers(ledger) == before_without_writers
            ), f"{record} was rejected but had an effect"
            writers[writer] = WriterProgress(sequence, record.time)
            assert ledger.state.writers == writers


def check_target_messages(messages: list[AnyMessage]) -> None:
    agent = Agent(WORKER, ("permit",))
    for now, message in enumerate(map(send_over_wire, messages)):
        if message is None:
            continue
        held = set(agent._held_attempts)
        actions = agent.handle(message, float(now))
        answers = [getattr(action, "message", None) for action in actions]
        if any(isinstance(item, ReserveAnswer) and item.reason for item in answers):
            assert set(agent._held_attempts) == held, "a refused reservation was kept"
        agent.tick(float(now))
        encode_message(agent.status(float(now)))


def check_owner_messages(messages: list[AnyMessage]) -> None:
    harness = OwnerHarness()
    publish_config(harness)
    harness.apply_records(make_claim(1))
    harness.advance(0.1)
    harness.apply_records(JobAccepted(JOB, DOMAIN))
    harness.advance(3.0)
    for message in map(send_over_wire, messages):
        if message is not None:
            harness.feed(MessageReceived(TARGET, message))
        harness.advance(0.1)


OPTIONS = st.sampled_from([*EntrySettings.__struct_fields__, *TargetSettings.__struct_fields__])
VALUES = st.sampled_from(["127.0.0.1:1", "nan", "-1", "", "a,b", "1e999"]) | st.text(max_size=6)
CASES: dict[str, tuple[st.SearchStrategy[Any], Callable[[Any], None]]] = {
    "configuration text": (TEXTS, check_config_text),
    "settings": (st.dictionaries(OPTIONS, VALUES, max_size=8), check_settings_values),
    "settings file": (
        st.binary(max_size=60)
        | st.lists(LINES, max_size=5).map(lambda lines: "\n".join(["[entry]", *lines]).encode()),
        check_settings_file,
    ),
    "damaged record bytes": (damaged(RECORDS.map(encode_record)), check_record_bytes),
    "damaged message bytes": (damaged(MESSAGES.map(encode_message)), check_message_bytes),
    "records applied in sequence": (st.lists(RECENT_RECORDS, max_size=8), check_records),
    "messages handled by a target": (st.lists(MESSAGES, max_size=8), check_target_messages),
    "messages handled by an owner": (st.lists(OWNER_MESSAGES, max_size=4), check_owner_messages),
}


@when("hypothesis generates {count:d} cases of {name}")
def generate_cases(context: Context, count: int, name: str) -> None:
    strategy, case = CASES[name]
    context.failure = None

    @hypothesis.settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategy)
    def check(value: Any) -> None:
        case(value)

    try:
        check()
    except Exception as exc:  # Hypothesis adds the failing value as a note.
        context.failure = exc


@then("each is accepted or refused with its expected error type")
def check_no_failure(context: Context) -> None:
    if context.failure is not None:
        raise context.failure
