"""Stand-ins for the users' platform by its published protocol.

A metadata store with tables, transactions and a feed of changes, and endpoints
that register there: model engines and plain services.
"""

from standins.routed.endpoint import EndpointOptions, RoutedEndpoint
from standins.routed.store import MetadataStore

__all__ = ["EndpointOptions", "MetadataStore", "RoutedEndpoint"]
