"""Copies of an owner's state, on which a planning pass may be tried."""

import copy
from collections import deque
from collections.abc import Callable
from enum import Enum
from functools import partial
from types import BuiltinFunctionType, FunctionType, MethodType
from typing import Any

import msgspec

from comfreyshelf.fleet.active_run import ActiveRun
from comfreyshelf.fleet.prediction.model import DurationModel, JobDurations
from comfreyshelf.fleet.speed.target_speeds import TargetSpeeds

# The copies made so far, by the identity of the original.
Memo = dict[int, Any]
_Copier = Callable[[Any, Memo], Any]

# A planning pass only reads these: run times and speeds are learned from reports.
_READ_ONLY = (DurationModel, JobDurations, TargetSpeeds)
_IMMUTABLE = (
    str,
    int,
    float,
    bytes,
    frozenset,
    range,
    type,
    type(None),
    Enum,
    partial,
    FunctionType,
    MethodType,
    BuiltinFunctionType,
)
# Fields to copy of the most frequent records; their other fields are immutable. Listing them saves
# much of the time that a copy takes.
_MUTABLE_FIELDS: dict[type, tuple[str, ...]] = {ActiveRun: ("tracked",)}


# The results of `_choose_copier`.
_COPIERS: dict[type, _Copier | None] = {}


def copy_state(value: Any, memo: Memo) -> Any:
    """Copy a value with all mutable state that it leads to; immutable parts are shared.

    Frozen records count as immutable, so they must not lead to state that outlives a planning pass.
    """
    copier = _copier(type(value))
    if copier is None:
        return value
    known = memo.get(id(value))
    return known if known is not None else copier(value, memo)


def _copier(cls: type) -> _Copier | None:
    """The function that copies instances of a class; None if they are shared."""
    try:
        return _COPIERS[cls]
    except KeyError:
        copier = _COPIERS[cls] = _choose_copier(cls)
        return copier


def _choose_copier(cls: type) -> _Copier | None:
    if issubclass(cls, _IMMUTABLE) or issubclass(cls, _READ_ONLY):
        return None
    if issubclass(cls, msgspec.Struct):
        if cls.__struct_config__.frozen:
            return None
        return partial(_copy_record, _MUTABLE_FIELDS.get(cls, cls.__struct_fields__))
    for container, copier in _CONTAINER_COPIERS.items():
        if issubclass(cls, container):
            return copier
    # Instances of classes without attributes of their own, such as those of C extensions.
    return _copy_object if cls.__dictoffset__ else copy.deepcopy


def _copy_record(fields: tuple[str, ...], value: Any, memo: Memo) -> Any:
    copied = memo[id(value)] = copy.copy(value)
    for name in fields:
        part = getattr(value, name)
        if _copier(type(part)) is not None:
            setattr(copied, name, copy_state(part, memo))
    return copied


def _copy_object(value: Any, memo: Memo) -> Any:
    copied = memo[id(value)] = object.__new__(type(value))
    copy_attributes(value, copied, memo)
    return copied


def copy_attributes(value: Any, copied: Any, memo: Memo) -> None:
    """Set the attributes of an object to copies of those of another one."""
    for name, part in vars(value).items():
        setattr(copied, name, copy_state(part, memo))


def _copy_mapping(value: Any, memo: Memo) -> Any:
    copied = memo[id(value)] = copy.copy(value)
    for key, part in value.items():
        if _copier(type(part)) is not None:
            copied[key] = copy_state(part, memo)
    return copied


def _copy_list(value: Any, memo: Memo) -> Any:
    copied = memo[id(value)] = copy.copy(value)
    for index, part in enumerate(value):
        copied[index] = copy_state(part, memo)
    return copied


def _copy_tuple(value: Any, memo: Memo) -> Any:
    if all(_copier(type(part)) is None for part in value):
        return value
    return tuple(copy_state(part, memo) for part in value)


def _copy_set(value: Any, memo: Memo) -> Any:
    """The members are hashable, and hence immutable here."""
    copied = memo[id(value)] = copy.copy(value)
    return copied


_CONTAINER_COPIERS: dict[type, _Copier] = {
    dict: _copy_mapping,
    list: _copy_list,
    deque: _copy_list,
    tuple: _copy_tuple,
    set: _copy_set,
}
