"""The plain service stand-in, which counts what ran under each key.

It answers any method on any path after its service time.
"""

from standins.service.options import ServiceOptions
from standins.service.running import ServiceStandin, start_service

__all__ = ["ServiceOptions", "ServiceStandin", "start_service"]
