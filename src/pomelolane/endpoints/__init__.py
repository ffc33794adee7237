"""How a VM speaks to endpoints and passes their answers on.

Importing the package registers the adapters for engines and plain services.
"""

from pomelolane.endpoints.adapter import make_engine_adapter, make_plain_adapter
from pomelolane.endpoints.caller_protocol import CallerListener, RelayHttpProtocol
from pomelolane.endpoints.connection import HttpConnection
from pomelolane.endpoints.pool import ConnectionPool
from pomelolane.endpoints.relay import RelayResult, relay
from pomelolane.endpoints.sse import SseCounter, Usage, usage_from_json
from pomelolane.endpoints.stream import AnswerStream

__all__ = [
    "AnswerStream",
    "CallerListener",
    "ConnectionPool",
    "HttpConnection",
    "RelayHttpProtocol",
    "RelayResult",
    "SseCounter",
    "Usage",
    "make_engine_adapter",
    "make_plain_adapter",
    "relay",
    "usage_from_json",
]
