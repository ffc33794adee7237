"""What every HTTP interface of a VM shares: listener, exchange, problems, answers.

The gateway and the forwarding of routed services build on it; it knows neither.
"""

from pomelolane.http.exchange import SCOPE_KEY, Exchange, ExchangeMiddleware
from pomelolane.http.listener import Listener
from pomelolane.http.problem import (
    PROBLEM_TYPE,
    encode_problem,
    problem_from_refusal,
    problem_response,
)
from pomelolane.http.responses import (
    function_from_method,
    json_response,
    make_asgi,
    metrics_response,
)

__all__ = [
    "PROBLEM_TYPE",
    "SCOPE_KEY",
    "Exchange",
    "ExchangeMiddleware",
    "Listener",
    "encode_problem",
    "function_from_method",
    "json_response",
    "make_asgi",
    "metrics_response",
    "problem_from_refusal",
    "problem_response",
]
