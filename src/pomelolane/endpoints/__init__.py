"""How a VM speaks to endpoints and passes their answers on.

Importing the package registers the adapters for engines and plain services.
"""

from pomelolane.endpoints.adapter import make_engine_adapter, make_plain_adapter
from pomelolane.endpoints.pool import ConnectionPool
from pomelolane.endpoints.relay import RelayResult, abort_answer, relay
from pomelolane.endpoints.sse import SseCounter, Usage, usage_from_json
from pomelolane.endpoints.stream import AnswerStream

__all__ = [
    "AnswerStream",
    "ConnectionPool",
    "RelayResult",
    "SseCounter",
    "Usage",
    "abort_answer",
    "make_engine_adapter",
    "make_plain_adapter",
    "relay",
    "usage_from_json",
]
