"""Where streams began, so that they go on only where they can.

What two software versions of an endpoint write does not fit together, and endpoints do
not check it. A stream that breaks, or that its caller resumes, goes on only at the
service and version that began it.
"""

from pomelolane.resumption.keeper import OriginStorage, SavedOrigin, SavedOrigins
from pomelolane.resumption.origin import (
    ORIGIN_HEADER,
    StreamOrigin,
    encode_origin,
    origin_from_endpoint,
    origin_from_header,
    stream_key,
)
from pomelolane.resumption.resumption import (
    FoundOrigin,
    OriginSource,
    Resumption,
    make_resumption,
)

__all__ = [
    "ORIGIN_HEADER",
    "FoundOrigin",
    "OriginSource",
    "OriginStorage",
    "Resumption",
    "SavedOrigin",
    "SavedOrigins",
    "StreamOrigin",
    "encode_origin",
    "make_resumption",
    "origin_from_endpoint",
    "origin_from_header",
    "stream_key",
]
