"""A placement policy for work that must begin its answer within an objective.

It suits engines that admit in arrival order: requests wait here, by rank and by
the time at which their first answer byte is due, and go where it is soonest.
"""

from pomelolane.scheduler.objective.core import ObjectiveCore, make_objective_core
from pomelolane.scheduler.objective.options import ObjectiveOptions

__all__ = ["ObjectiveCore", "ObjectiveOptions", "make_objective_core"]
