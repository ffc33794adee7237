"""Reads the options of stand-ins from flags, or from a file for many.

The options of each kind are a data class whose fields have plain defaults.
"""

from __future__ import annotations

import argparse
from dataclasses import fields
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

T = TypeVar("T")


def one_from_arguments(
    kind: type[T], program: str, arguments: Sequence[str] | None = None
) -> T:
    """Read one set of options from the command line."""
    return kind(**vars(_make_parser(kind, program).parse_args(arguments)))


def many_from_arguments(
    kind: type[T], program: str, arguments: Sequence[str] | None = None
) -> list[T]:
    """Read one set of options from flags, or many from ``--config FILE``."""
    parser = _make_parser(kind, program)
    parser.add_argument("--config", type=Path, help="JSON list of many")
    values = vars(parser.parse_args(arguments))
    config: Path | None = values.pop("config")
    if config is None:
        return [kind(**values)]
    return many_from_json(kind, config.read_bytes())


def many_from_json(kind: type[T], data: bytes) -> list[T]:
    """Read a JSON list of sets of options.

    Raises:
        msgspec.ValidationError: A value has the wrong type.
        TypeError: There is no such option.
    """
    found = []
    for given in msgspec.json.decode(data, type=list[dict[str, object]]):
        values = {name.replace("-", "_"): value for name, value in given.items()}
        kind(**values)  # Refuses names that are no option.
        found.append(msgspec.convert(values, kind))
    return found


def _make_parser(kind: type, program: str) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(program)
    for option in fields(kind):
        flag = "--" + option.name.replace("_", "-")
        default = option.default
        if isinstance(default, bool):
            parser.add_argument(flag, action="store_true", default=default)
        else:
            parser.add_argument(flag, type=type(default), default=default)
    return parser


__all__ = ["many_from_arguments", "many_from_json", "one_from_arguments"]
