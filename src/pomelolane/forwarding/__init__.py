"""Callers' requests, passed byte for byte to endpoints of routed services.

Routes, keys and limits come as one configuration; slots come from the
scheduler; names of headers come from a dialect.
"""

from pomelolane.forwarding.budget import RetryAllowance, SharedRetryBudget
from pomelolane.forwarding.configuration import (
    CallerLimits,
    Configuration,
    CurrentConfiguration,
    Route,
    RouteKind,
    RouteTarget,
)
from pomelolane.forwarding.endpoints import EndpointDirectory
from pomelolane.forwarding.forwarder import Forwarder
from pomelolane.forwarding.routes import RouteTable

__all__ = [
    "CallerLimits",
    "Configuration",
    "CurrentConfiguration",
    "EndpointDirectory",
    "Forwarder",
    "RetryAllowance",
    "Route",
    "RouteKind",
    "RouteTable",
    "RouteTarget",
    "SharedRetryBudget",
]
