"""The difference between two contents of a branch, line by line.

Items of lists are matched by their names, and digests are never shown.
"""

from __future__ import annotations

from typing import Any

import msgspec

_IDENTITY_KEYS = ("endpoint_id", "name")
_HIDDEN_SUFFIX = "_sha256"


def difference_of_contents(old: bytes, new: bytes) -> list[str]:
    """Return the difference as lines that begin with ``+``, ``-`` or ``~``."""
    before = _flat(msgspec.json.decode(old)) if old else {}
    after = _flat(msgspec.json.decode(new))
    lines = []
    for path in dict.fromkeys((*before, *after)):
        if path not in after:
            lines.append(f"- {path}: {_shown(path, before[path])}")
        elif path not in before:
            lines.append(f"+ {path}: {_shown(path, after[path])}")
        elif before[path] != after[path]:
            lines.append(_changed(path, before[path], after[path]))
    return lines


def _changed(path: str, before: Any, after: Any) -> str:
    if path.endswith(_HIDDEN_SUFFIX):
        return f"~ {path}: another digest"
    return f"~ {path}: {_shown(path, before)} -> {_shown(path, after)}"


def _shown(path: str, value: Any) -> str:
    if path.endswith(_HIDDEN_SUFFIX):
        return "a digest"
    return msgspec.json.encode(value).decode()


def _flat(value: Any, path: str = "") -> dict[str, Any]:
    if isinstance(value, dict) and value:
        found: dict[str, Any] = {}
        for key, item in value.items():
            found.update(_flat(item, f"{path}.{key}" if path else key))
        return found
    if isinstance(value, list) and value and isinstance(value[0], dict):
        found = {}
        for index, item in enumerate(value):
            found.update(_flat(item, f"{path}[{_identity(item, index)}]"))
        return found
    return {path: value}


def _identity(item: Any, index: int) -> object:
    if isinstance(item, dict):
        for key in _IDENTITY_KEYS:
            if key in item:
                return item[key]
    return index
