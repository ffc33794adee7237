"""The built-in plug-ins: importing this module registers all of them.

A distribution of its own adds to the same registries in the same way.
"""

import pomelolane.endpoints
import pomelolane.scheduler

BUILT_IN = (pomelolane.endpoints, pomelolane.scheduler)
"""The packages whose import fills the registries."""
