"""Forwards callers' requests unchanged to the endpoints of routed services.

Routes, keys and limits come from one versioned configuration, endpoint slots are
granted by the schedulers, and a dialect defines the platform's header names.
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
