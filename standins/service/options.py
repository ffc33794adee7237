"""Options of plain service stand-ins, from flags or from a file for many.

A file holds a JSON list of mappings with the flags' names.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from standins.flags import many_from_arguments

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True)
class ServiceOptions:
    """How one plain service worker is set up.

    Attributes:
        host: Address to listen on.
        port: Port of its interface, 0 for any.
        control_port: Port of the control interface, 0 for any.
        endpoint_id: Its id.
        service_ms: How long a call takes.
        slots: Calls served at one time, in arrival order.
    """

    host: str = "127.0.0.1"
    port: int = 0
    control_port: int = 0
    endpoint_id: str = "service"
    service_ms: float = 20.0
    slots: int = 64


def options_from_arguments(
    arguments: Sequence[str] | None = None,
) -> list[ServiceOptions]:
    """Read the options of one worker, or of all workers of a file."""
    return many_from_arguments(ServiceOptions, "standins.service", arguments)


__all__ = ["ServiceOptions", "options_from_arguments"]
