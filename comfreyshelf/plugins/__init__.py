"""Registries of policies and services by name."""

from collections.abc import Callable
from typing import TypeVar

from comfreyshelf.errors import UserError

T = TypeVar("T")


class Registry(dict[str, Callable[[], T]]):
    """Factories by name; `kind` names their products in error messages.

    placers: Registry[Placer] = Registry("placement policy")
    placers.add("firstfit", FirstFit)
    placers.make("firstfit")
    """

    def __init__(self, kind: str) -> None:
        super().__init__()
        self._kind = kind

    def add(self, name: str, factory: Callable[[], T]) -> None:
        """Register a factory; raises ValueError if the name is already registered."""
        if name in self:
            raise ValueError(f"{self._kind} '{name}' is already registered")
        self[name] = factory

    def make(self, name: str) -> T:
        """Create an instance; raises UserError for an unknown name."""
        if name not in self:
            known = ", ".join(sorted(self))
            raise UserError(f"unknown {self._kind} '{name}'", f"use one of: {known}")
        return self[name]()
