"""Scheduling cores: order, placement and admission of a service's requests.

Importing the package registers the built-in placement policies.
"""

from pomelolane.scheduler.baselines import LeastReportedCore, RoundRobinCore
from pomelolane.scheduler.core import PomelolaneCore, make_core, make_core_with
from pomelolane.scheduler.objective import ObjectiveCore
from pomelolane.scheduler.options import CoreOptions
from pomelolane.scheduler.placement import Placement

__all__ = [
    "CoreOptions",
    "LeastReportedCore",
    "ObjectiveCore",
    "Placement",
    "PomelolaneCore",
    "RoundRobinCore",
    "make_core",
    "make_core_with",
]
