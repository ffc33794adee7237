"""Spreads requests suspected of crashing endpoints over different endpoints.

If two suspects always shared an endpoint, a crash could not be attributed to one of
them, and a harmless request would be refused together with the harmful one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.coordination.request_table import Entry
    from pomelolane.messages import Handle
    from pomelolane.model import Endpoint


def exclude_suspect_endpoints(
    handle: Handle, entries: Iterable[Entry], endpoints: Iterable[Endpoint]
) -> Handle:
    """Return a suspect's handle with endpoints excluded that run another suspect.

    Args:
        handle: Handle of any request; only those of suspects are changed.
        entries: Requests that wait or run now.
        endpoints: The service's endpoints. If all of them that the request may go to
            run a suspect, the handle is returned unchanged, so that it does not wait
            long.
    """
    if not handle.suspect:
        return handle
    taken = {entry.endpoint_id for entry in entries if entry.handle.suspect}
    free = {
        one.endpoint_id
        for one in endpoints
        if not one.leaving and handle.version in (None, one.version)
    }
    if not free - taken - set(handle.excluded):
        return handle
    excluded = (*handle.excluded, *sorted(taken & free))
    return msgspec.structs.replace(handle, excluded=excluded)
