"""The model engine stand-in: continuous batching, prefix cache, streams, orders.

Its model of time and memory is pure; one timer an engine drives it.
"""

from standins.engine.batch import Batch, Sequence, SequenceState, Speeds, Tally
from standins.engine.cache import BlockCache
from standins.engine.options import EngineOptions
from standins.engine.prompts import Prompt, prompt_from_bytes, tag_from_prompt
from standins.engine.running import EngineStandin, start_engine

__all__ = [
    "Batch",
    "BlockCache",
    "EngineOptions",
    "EngineStandin",
    "Prompt",
    "Sequence",
    "SequenceState",
    "Speeds",
    "Tally",
    "prompt_from_bytes",
    "start_engine",
    "tag_from_prompt",
]
