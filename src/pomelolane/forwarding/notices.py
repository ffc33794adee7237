"""Handles notices that endpoints give about themselves in the headers of answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from pomelolane.coordination.client import GatewayClient
    from pomelolane.coordination.stream_reporter import StreamReporter
    from pomelolane.forwarding.departures import AnnouncedDepartures
    from pomelolane.forwarding.endpoints import EndpointDirectory
    from pomelolane.model import Endpoint
    from pomelolane.ports.forwarding import EndpointNotice

_MAX_LOGGED_VALUE_CHARS = 64


class NoticeHandler:
    """Applies notices of limits, pauses and departures.

    Args:
        directory: Known endpoints.
        departures: Takes leaving endpoints out of use on all VMs.
        client: Holds back grants for endpoints that asked for a pause.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        departures: AnnouncedDepartures,
        client: GatewayClient,
    ) -> None:
        self._client = client
        self._directory = directory
        self._departures = departures
        self._rejected: dict[str, tuple[tuple[str, str], ...]] = {}
        directory.on_change(self._drop_gone_endpoints)

    def handle(
        self, endpoint: Endpoint, notice: EndpointNotice, watch: StreamReporter
    ) -> None:
        """Handle the notice in one answer.

        Args:
            endpoint: Endpoint that gave the answer.
            notice: Content of the notice.
            watch: Reports the request's progress to its scheduler.
        """
        watch.note_limit(notice.limit_per_s)
        if notice.rest_ms > 0:
            self._client.back_off(
                endpoint.service, endpoint.endpoint_id, notice.rest_ms
            )
        if notice.is_leaving:
            self._departures.announce(endpoint)
        self._log_rejected(endpoint.endpoint_id, notice)

    def _log_rejected(self, endpoint_id: str, notice: EndpointNotice) -> None:
        if notice.rejected == self._rejected.get(endpoint_id, ()):
            return
        self._rejected[endpoint_id] = notice.rejected
        for header, value in notice.rejected:
            log_event(
                events.ENDPOINT_HEADER_REJECTED,
                endpoint=endpoint_id,
                header=header,
                value=value[:_MAX_LOGGED_VALUE_CHARS],
            )

    def _drop_gone_endpoints(self) -> None:
        for endpoint_id in self._rejected.keys() - self._directory.all.keys():
            del self._rejected[endpoint_id]
