"""The gateway role: callers' HTTP in, one dispatch out, the answer back.

Only the gateway that holds a caller's request ever sends it to an endpoint.
"""

from pomelolane.gateway.app import Gateway, GatewayLimits
from pomelolane.gateway.dispatch import Dispatcher
from pomelolane.gateway.ending import Delivered
from pomelolane.gateway.holders import HolderQueries
from pomelolane.gateway.keyed import KeyedCalls
from pomelolane.gateway.retries import RetryBudget
from pomelolane.gateway.state import RequestState

__all__ = [
    "Delivered",
    "Dispatcher",
    "Gateway",
    "GatewayLimits",
    "HolderQueries",
    "KeyedCalls",
    "RequestState",
    "RetryBudget",
]
