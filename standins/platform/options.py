"""Options of the platform stand-in.

They are read from flags only; faults are set at the control port.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from standins.flags import one_from_arguments

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True)
class PlatformOptions:
    """How one platform stand-in is set up.

    Attributes:
        host: Address to listen on.
        port: Port of the platform's services, 0 for any.
        control_port: Port of the control interface, 0 for any.
        writes_per_s: Commits and object writes allowed a second.
        reads_per_s: Reads allowed a second.
        list_lag_ms: How old the list of VMs is.
        weight_bytes: Size of a model's weights.
        weight_bytes_per_s: What the weight store gives a second.
    """

    host: str = "127.0.0.1"
    port: int = 0
    control_port: int = 0
    writes_per_s: float = 500.0
    reads_per_s: float = 2000.0
    list_lag_ms: float = 2000.0
    weight_bytes: int = 1_000_000
    weight_bytes_per_s: float = 4_000_000.0


def options_from_arguments(
    arguments: Sequence[str] | None = None,
) -> PlatformOptions:
    """Read the options from the command line."""
    return one_from_arguments(PlatformOptions, "standins.platform", arguments)


__all__ = ["PlatformOptions", "options_from_arguments"]
