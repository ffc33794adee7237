"""Options of engine stand-ins, from flags or from a file for many in a process.

A file holds a JSON list of mappings with the flags' names.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from standins.flags import many_from_arguments

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """How one engine is set up.

    Attributes:
        host: Address to listen on.
        port: Port of the engine's interface, 0 for any.
        control_port: Port of the control interface, 0 for any.
        endpoint_id: Its id.
        model: Model that is loaded at the start, empty for none.
        slots: Requests in the batch at one time.
        kv_tokens: KV memory.
        prefill_tokens_per_s: Prompt speed.
        decode_tokens_per_s: Answer speed of a request that is alone.
        generation: Hardware generation, told in the load report.
        role: Role at the start.
        honours_fencing: Whether orders with an old fencing number are refused.
        checks_model: Whether requests for a model not loaded are refused.
        seed: Seeds which cache events are lost.
        report_lag_ms: How old the load report is.
        event_lag_ms: How late cache events are.
        event_loss: Share of the cache events that are lost.
        load_ms: How long a model or adapter takes to load.
        weights: URL of the platform, to pull weights from; empty for none.
        stream_kept_ms: How long a stream can be resumed after its end.
    """

    host: str = "127.0.0.1"
    port: int = 0
    control_port: int = 0
    endpoint_id: str = "engine"
    model: str = "model"
    slots: int = 8
    kv_tokens: int = 65536
    prefill_tokens_per_s: float = 4000.0
    decode_tokens_per_s: float = 40.0
    generation: str = "g1"
    role: str = "serve"
    honours_fencing: bool = False
    checks_model: bool = False
    seed: int = 1
    report_lag_ms: float = 500.0
    event_lag_ms: float = 500.0
    event_loss: float = 0.02
    load_ms: float = 1000.0
    weights: str = ""
    stream_kept_ms: float = 30000.0


def options_from_arguments(
    arguments: Sequence[str] | None = None,
) -> list[EngineOptions]:
    """Read the options of one engine, or of all engines of a file."""
    return many_from_arguments(EngineOptions, "standins.engine", arguments)


__all__ = ["EngineOptions", "options_from_arguments"]
