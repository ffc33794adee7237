"""Typed sentinels for values that are not there, each with a reason.

They stand in place of ``None`` wherever the caller should learn why.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Missing:
    """A value that is absent, falsy like ``None`` but with a hint why.

    Attributes:
        hint: Why the value is absent, for logs and error answers.
    """

    hint: str

    def __bool__(self) -> bool:
        return False


NOT_FOUND = Missing("no such row or object")
NO_ENDPOINT = Missing("no endpoint of the service is ready")
NO_PEER = Missing("the VM is not in the view")
