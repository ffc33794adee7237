"""Keeps requests apart under which endpoints have crashed.

Two that always run together cannot be told apart when their endpoint ends, and a
harmless one would be refused with the other.
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
    """Return a suspect's handle without the endpoints that run another suspect.

    Args:
        handle: Any request's handle; only suspects are kept apart.
        entries: What waits and runs now.
        endpoints: The service's endpoints. Where all of them run a suspect, the handle
            stays as it is: it must not wait for long.
    """
    if not handle.suspect:
        return handle
    taken = {entry.endpoint_id for entry in entries if entry.handle.suspect}
    free = {one.endpoint_id for one in endpoints if not one.leaving}
    if not free - taken - set(handle.excluded):
        return handle
    excluded = (*handle.excluded, *sorted(taken & free))
    return msgspec.structs.replace(handle, excluded=excluded)
