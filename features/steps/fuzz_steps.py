"""Steps of the fuzz tests: hypothesis derives values from the types of records and messages."""

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
from features.steps.ownership_steps import DOMAIN, JOB, TARGET, WORKER, Driver, claim, publish

WORDS = ["", "job", "t0", "t1", "e0", "litoral", "paysandu", "permit", "gamma", "key", CONFIG_TEXT]


def of(hint: Any) -> st.SearchStrategy[Any]:
    """Values of a type hint; names come from a small set so that they often meet."""
    hint = getattr(hint, "__supertype__", hint)
    origin = get_origin(hint)
    if origin in (Union, UnionType):
        return st.one_of([of(item) for item in get_args(hint)])
    args = get_args(hint)
    if origin is tuple and args[-1] is not Ellipsis:
        return st.tuples(*(of(item) for item in args))
    if origin is tuple:
        return st.lists(of(args[0]), max_size=3).map(tuple)
    if origin is dict:
        return st.dictionaries(of(args[0]), of(args[1]), max_size=3)
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
        return st.builds(hint, **{name: of(hints[name]) for name in hint.__struct_fields__})
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
MESSAGES = of(AnyMessage)
RECORD_IDS = st.builds(make_record_id, of(str), st.integers(0, 2**63))
RECORDS = st.builds(Record, RECORD_IDS, of(str), of(float), of(AnyBody))
# Within the retention of ended jobs, so that only the record itself changes the state.
RECENT = st.builds(Record, RECORD_IDS, of(str), st.floats(0, 1000), of(AnyBody))
# Messages that meet the job and the domain of the owner's fixture.
TO_OWNER = st.one_of(
    MESSAGES,
    of(PartReport).map(lambda m: msgspec.structs.replace(m, job=JOB.id, attempt=Attempt(1))),
    of(ReserveAnswer).map(lambda m: msgspec.structs.replace(m, job=JOB.id, attempt=Attempt(1))),
    of(Status).map(
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


def text_case(text: str) -> None:
    result = parse_config(text, Version(1))
    assert result.is_ok() or all(problem.remedy for problem in result.error)


def settings_case(values: dict[str, str]) -> None:
    for kind in (EntrySettings, TargetSettings):
        try:
            check_settings(values, kind, "section")
        except SettingsError as exc:
            assert exc.remedy


def settings_file_case(data: bytes) -> None:
    with tempfile.NamedTemporaryFile() as file:
        file.write(data)
        file.flush()
        try:
            load_settings(Path(file.name), "entry", EntrySettings)
        except SettingsError as exc:
            assert exc.remedy


def record_bytes_case(data: bytes) -> None:
    try:
        record = decode_record(data)
    except RecordError:
        return
    Ledger().apply(Offset(0), record)


def message_bytes_case(data: bytes) -> None:
    try:
        message = decode_message(data)
    except RecordError:
        return
    Agent(WORKER).handle(message, 0.0)


def received(message: AnyMessage) -> AnyMessage | None:
    """The message as the other side decodes it, or None if that refuses it."""
    try:
        return decode_message(encode_message(message))
    except RecordError:
        return None


def state_of(ledger: Ledger) -> bytes:
    return msgspec.msgpack.encode([ledger.state, ledger.config.version])


def without_marks(ledger: Ledger) -> bytes:
    """The state without what every new record changes: the mark of its writer and the time."""
    state = msgspec.structs.replace(ledger.state, writers={}, time=0.0)
    return msgspec.msgpack.encode([state, ledger.config.version])


def fold_case(records: list[Record]) -> None:
    ledger = Ledger()
    for offset, record in enumerate(records):
        whole, before = state_of(ledger), without_marks(ledger)
        marks = dict(ledger.state.writers)
        writer, sequence = split_record_id(record.id)
        verdict = ledger.apply(Offset(offset), decode_record(encode_record(record)))
        assert ledger.next_offset == offset + 1
        if verdict.reason == DUPLICATE:
            assert state_of(ledger) == whole, f"{record} was repeated but had an effect"
        elif not verdict.accepted:
            assert without_marks(ledger) == before, f"{record} was rejected but had an effect"
            marks[writer] = WriterProgress(sequence, record.time)
            assert ledger.state.writers == marks


def target_case(messages: list[AnyMessage]) -> None:
    agent = Agent(WORKER, ("permit",))
    for now, message in enumerate(map(received, messages)):
        if message is None:
            continue
        held = set(agent._held)
        actions = agent.handle(message, float(now))
        answers = [getattr(action, "message", None) for action in actions]
        if any(isinstance(item, ReserveAnswer) and item.reason for item in answers):
            assert set(agent._held) == held, "a refused reservation was kept"
        agent.tick(float(now))
        encode_message(agent.status(float(now)))


def owner_case(messages: list[AnyMessage]) -> None:
    driver = Driver()
    publish(driver)
    driver.fold(claim(1))
    driver.pass_time(0.1)
    driver.fold(JobAccepted(JOB, DOMAIN))
    driver.pass_time(3.0)
    for message in map(received, messages):
        if message is not None:
            driver.feed(MessageReceived(TARGET, message))
        driver.pass_time(0.1)


OPTIONS = st.sampled_from([*EntrySettings.__struct_fields__, *TargetSettings.__struct_fields__])
VALUES = st.sampled_from(["127.0.0.1:1", "nan", "-1", "", "a,b", "1e999"]) | st.text(max_size=6)
CASES: dict[str, tuple[st.SearchStrategy[Any], Callable[[Any], None]]] = {
    "configuration text": (TEXTS, text_case),
    "settings": (st.dictionaries(OPTIONS, VALUES, max_size=8), settings_case),
    "settings file": (
        st.binary(max_size=60)
        | st.lists(LINES, max_size=5).map(lambda lines: "\n".join(["[entry]", *lines]).encode()),
        settings_file_case,
    ),
    "damaged record bytes": (damaged(RECORDS.map(encode_record)), record_bytes_case),
    "damaged message bytes": (damaged(MESSAGES.map(encode_message)), message_bytes_case),
    "records folded in sequence": (st.lists(RECENT, max_size=8), fold_case),
    "messages handled by a target": (st.lists(MESSAGES, max_size=8), target_case),
    "messages handled by an owner": (st.lists(TO_OWNER, max_size=4), owner_case),
}


@when("hypothesis generates {count:d} cases of {name}")
def generate(context: Context, count: int, name: str) -> None:
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
    except Exception as exc:  # The failing value is in the notes of the exception.
        context.failure = exc


@then("each is accepted or refused by its typed error")
def no_failure(context: Context) -> None:
    if context.failure is not None:
        raise context.failure
