"""Estimates how many requests per second a VM can schedule for all VMs."""

from __future__ import annotations

_CORE_MS_PER_REQUEST = 0.7
"""Processor time of a scheduler per request, messages over sockets included
(docs/CAPACITY.md)."""

_LINK_KBIT_PER_REQUEST = 12.0
"""Network traffic of a scheduler per request: an estimate of about five messages with
their headers, and a share of the periodic syncs."""


def scheduling_capacity_per_s(core_share: float, link_mbps: float) -> int:
    """Return the requests per second that a VM's core and link allow it to schedule.

    Args:
        core_share: Share of the core that the event loop gets, 1 for a whole core.
        link_mbps: Rate of the network link in Mbit/s.
    """
    by_core = 1000.0 * core_share / _CORE_MS_PER_REQUEST
    by_link = 1000.0 * link_mbps / _LINK_KBIT_PER_REQUEST
    return int(min(by_core, by_link))
