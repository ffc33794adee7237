"""What every HTTP interface of a VM shares: listener, exchange, problems, metrics.

The gateway and the forwarding of routed services build on it; it knows neither.
"""

from pomelolane.http.exchange import SCOPE_KEY, Exchange, ExchangeMiddleware
from pomelolane.http.listener import Listener
from pomelolane.http.metrics import get_metrics_page
from pomelolane.http.problem import (
    PROBLEM_TYPE,
    encode_problem,
    problem_from_refusal,
)
from pomelolane.http.sockets import listening_socket

__all__ = [
    "PROBLEM_TYPE",
    "SCOPE_KEY",
    "Exchange",
    "ExchangeMiddleware",
    "Listener",
    "encode_problem",
    "get_metrics_page",
    "listening_socket",
    "problem_from_refusal",
]
