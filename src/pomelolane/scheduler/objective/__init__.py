"""Placement policy for requests with a time-to-first-byte objective.

It suits engines that admit requests in arrival order. Requests are queued here by
tier rank, then by the time at which their first answer byte is due. Each one goes to
the endpoint with the shortest predicted time to first byte.
"""

from pomelolane.scheduler.objective.core import ObjectiveCore, make_objective_core
from pomelolane.scheduler.objective.options import ObjectiveOptions

__all__ = ["ObjectiveCore", "ObjectiveOptions", "make_objective_core"]
