"""Rules that a value of a declaration obeys: types, units, ranges, known keys.

Each rule checks one value and notes every problem in the document, with the
position of the value and what is allowed there.
"""

from __future__ import annotations

import difflib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import re
    from collections.abc import Mapping

    from pomelolane.settings.documents import Document, DocumentPath

_MAX_SHOWN = 60


class Rule(Protocol):
    """What a value must be."""

    def check(self, document: Document, path: DocumentPath, value: object) -> None:
        """Note every problem of the value in the document."""


@dataclass(frozen=True, slots=True)
class Text:
    """A text that matches a pattern.

    Attributes:
        pattern: The whole text must match it.
        allowed: The same in words.
        secret: Whether the value must not be shown.
    """

    pattern: re.Pattern[str]
    allowed: str
    secret: bool = False

    def check(self, document: Document, path: DocumentPath, value: object) -> None:
        """Check type and pattern."""
        if not isinstance(value, str) or not self.pattern.fullmatch(value):
            shown = "value" if self.secret else _shown(value)
            document.report(path, f"{shown} is not allowed", self.allowed)


@dataclass(frozen=True, slots=True)
class Number:
    """A number within a range.

    Attributes:
        minimum: Least value allowed.
        maximum: Greatest value allowed.
        unit: Unit in words.
        whole: Whether fractions are refused.
        above_minimum: Whether the minimum itself is refused.
    """

    minimum: float
    maximum: float
    unit: str = ""
    whole: bool = False
    above_minimum: bool = False

    @property
    def allowed(self) -> str:
        """Return the range with its unit."""
        noun = "a whole number" if self.whole else "a number"
        unit = f" of {self.unit}" if self.unit else ""
        if self.above_minimum:
            return f"{noun}{unit} above {self.minimum:,}, at most {self.maximum:,}"
        return f"{noun}{unit} from {self.minimum:,} to {self.maximum:,}"

    def check(self, document: Document, path: DocumentPath, value: object) -> None:
        """Check type and range."""
        if not self._accepts(value):
            document.report(path, f"{_shown(value)} is not allowed", self.allowed)

    def _accepts(self, value: object) -> bool:
        types = int if self.whole else int | float
        if isinstance(value, bool) or not isinstance(value, types):
            return False
        if self.above_minimum and value <= self.minimum:
            return False
        return self.minimum <= value <= self.maximum


@dataclass(frozen=True, slots=True)
class Flag:
    """True or false."""

    def check(self, document: Document, path: DocumentPath, value: object) -> None:
        """Check the type."""
        if not isinstance(value, bool):
            document.report(path, f"{_shown(value)} is not allowed", "true or false")


@dataclass(frozen=True, slots=True)
class Key:
    """A key of a mapping.

    Attributes:
        rule: Rule of its value.
        required: Whether it must be there.
    """

    rule: Rule
    required: bool = False


@dataclass(frozen=True, slots=True)
class MappingOf:
    """A mapping with known keys only.

    Attributes:
        keys: The keys by name.
    """

    keys: Mapping[str, Key]

    def check(self, document: Document, path: DocumentPath, value: object) -> None:
        """Check the type, the keys and their values."""
        if not isinstance(value, dict):
            allowed = "a mapping of " + ", ".join(self.keys)
            document.report(path, f"{_shown(value)} is no mapping", allowed)
            return
        for name, item in value.items():
            self._check_item(document, (*path, name), name, item)
        for name, key in self.keys.items():
            if key.required and name not in value:
                document.report(path, f"{name} is missing", f"{name} must be given")

    def _check_item(
        self, document: Document, path: DocumentPath, name: str, item: object
    ) -> None:
        if name in self.keys:
            self.keys[name].rule.check(document, path, item)
            return
        near = difflib.get_close_matches(name, self.keys, 1, 0.5)
        hint = f", did you mean {near[0]}?" if near else ""
        document.report(path, f"unknown key{hint}", "one of " + ", ".join(self.keys))


@dataclass(frozen=True, slots=True)
class ListOf:
    """A list whose items obey one rule.

    Attributes:
        rule: The items' rule.
        least: Number of items that must be there.
    """

    rule: Rule
    least: int = 0

    def check(self, document: Document, path: DocumentPath, value: object) -> None:
        """Check the type, the length and the items."""
        if not isinstance(value, list):
            document.report(path, f"{_shown(value)} is no list", "a list")
            return
        if len(value) < self.least:
            document.report(path, "too few items", f"at least {self.least}")
        for index, item in enumerate(value):
            self.rule.check(document, (*path, index), item)


def _shown(value: object) -> str:
    if isinstance(value, dict | list):
        return "a " + ("mapping" if isinstance(value, dict) else "list")
    text = "null" if value is None else repr(value)
    return text if len(text) <= _MAX_SHOWN else text[:_MAX_SHOWN] + "…"
