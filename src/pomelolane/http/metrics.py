"""The page of all metrics of this process."""

from __future__ import annotations

from aioprometheus import REGISTRY
from aioprometheus.renderer import render


def get_metrics_page(accept: bytes) -> tuple[bytes, bytes]:
    """Return the media type and the page, in the form asked for.

    Args:
        accept: Value of the request's ``Accept`` header.
    """
    page, headers = render(REGISTRY, [accept.decode("latin-1")])
    return headers.get("Content-Type", "text/plain").encode(), page
