"""Uvicorn's protocol, with a listener for events of a caller's connection.

A relay that writes to the transport itself needs to hear of a full buffer and
of a lost connection without a task that waits for them.
"""

from __future__ import annotations

from typing import Protocol

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol


class CallerListener(Protocol):
    """Hears of a caller's connection while an answer is relayed to it."""

    def on_full(self) -> None:
        """Learn that the caller reads too slowly."""

    def on_writable(self) -> None:
        """Learn that the caller has caught up."""

    def on_lost(self) -> None:
        """Learn that the caller is gone."""


class RelayHttpProtocol(HttpToolsProtocol):
    """To be given to uvicorn as ``http``.

    Attributes:
        listener: The relay under way, None between relays.
    """

    listener: CallerListener | None = None

    def pause_writing(self) -> None:
        """Tell the listener after uvicorn's own flow control."""
        super().pause_writing()
        if self.listener is not None:
            self.listener.on_full()

    def resume_writing(self) -> None:
        """Tell the listener after uvicorn's own flow control."""
        super().resume_writing()
        if self.listener is not None:
            self.listener.on_writable()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the listener after uvicorn's own clean-up."""
        super().connection_lost(exc)
        if self.listener is not None:
            self.listener.on_lost()
