"""Failures that only the adapter knows; all are the platform's errors."""

from __future__ import annotations

from pomelolane.exceptions import PlatformError, PlatformUnavailableError


class StoreUnavailableError(PlatformUnavailableError):
    """The metadata store did not answer, or answered that it cannot.

    Attributes:
        status: HTTP status, 0 where no answer came.
    """

    def __init__(self, detail: str, status: int = 0) -> None:
        super().__init__(detail)
        self.status = status


class HistoryLostError(PlatformError):
    """The store no longer has the changes that were asked for."""


class DocumentError(PlatformError):
    """A document of the platform cannot be read."""
