"""The adapter for the users' platform; nothing outside knows its names.

It reads the platform's settings file, watches its metadata store, decodes its
documents into the project's types and writes the headers of its protocol.
"""

from pomelolane.platform.dialect import PlatformDialect
from pomelolane.platform.documents import configuration_from_json, endpoint_from_row
from pomelolane.platform.errors import (
    DocumentError,
    HistoryLostError,
    StoreUnavailableError,
)
from pomelolane.platform.nodefile import NodeFile, node_file_from_path
from pomelolane.platform.roster import VmRoster
from pomelolane.platform.storeclient import StoreClient
from pomelolane.platform.watches import ConfigurationWatch, EndpointWatch

__all__ = [
    "ConfigurationWatch",
    "DocumentError",
    "EndpointWatch",
    "HistoryLostError",
    "NodeFile",
    "PlatformDialect",
    "StoreClient",
    "StoreUnavailableError",
    "VmRoster",
    "configuration_from_json",
    "endpoint_from_row",
    "node_file_from_path",
]
