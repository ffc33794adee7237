"""Builds the schedulers' settings tree from a configuration and the endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.model import Team, Tier, Tree

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pomelolane.forwarding.configuration import Configuration
    from pomelolane.model import Endpoint

_BRANCH = "routes"
"""Branch of the settings tree that carries the version of the configuration."""


def tree_from_configuration(
    configuration: Configuration, endpoints: Mapping[str, Endpoint]
) -> Tree:
    """Return the settings tree of a configuration and the endpoints that serve it."""
    organisations = [*configuration.organisations, ""]
    ranks = {
        configuration.rank(organisation, route)
        for organisation in organisations
        for route in configuration.routes
    }
    return Tree(
        tiers={str(rank): Tier(str(rank), rank) for rank in sorted(ranks)},
        teams={"": Team("")},
        services=configuration.services,
        endpoints={
            endpoint_id: endpoint
            for endpoint_id, endpoint in endpoints.items()
            if endpoint.service in configuration.services
        },
        organisations=configuration.organisations,
        versions={_BRANCH: configuration.version},
    )
