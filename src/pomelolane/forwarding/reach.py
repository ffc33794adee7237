"""Tells whether this VM is cut off from all endpoints.

A connection that fails may be the endpoint's own fault. So whenever one fails, or
requests are out and no endpoint is heard, a few other endpoints are probed by
connecting to them. The VM is cut off if none of them can be reached.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.endpoints import ConnectionPool
    from pomelolane.forwarding.endpoints import EndpointDirectory
    from pomelolane.ports import Clock

PROBED_ENDPOINTS = 4
"""Endpoints that must all be out of reach until the VM counts as cut off."""

PROBED_NEAR = 2
"""How many of them are in the VM's own data centre, if it has as many."""

PROBE_INTERVAL_MS = 250.0
"""Time between two probes while the VM is cut off."""

DOUBT_INTERVAL_MS = 50.0
"""Shortest time between two probes otherwise."""

SILENCE_MS = 500.0
"""Silence of all endpoints, while requests are out, after which one is probed."""

SILENT_PROBE_INTERVAL_MS = 1_000.0
"""Shortest time from a probe to one that silence alone causes."""


class EndpointReach:
    """Watches whether any endpoint can be reached.

    Args:
        directory: Known endpoints.
        pool: Connections to endpoints; those made by probes are kept in it.
        clock: Source of the current time.
        data_centre: Data centre of this VM.

    Attributes:
        is_cut_off: Whether no endpoint can be reached.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        pool: ConnectionPool,
        clock: Clock,
        data_centre: str,
    ) -> None:
        self.is_cut_off = False
        self._directory = directory
        self._pool = pool
        self._clock = clock
        self._data_centre = data_centre
        self._open_sends = 0
        self._checked_ms = 0.0
        self._heard_ms = clock.now_ms()
        self._cut_ms = 0.0
        self._doubt = asyncio.Event()
        self._settled = asyncio.Event()
        self._settled.set()

    # --- what sends tell ----------------------------------------------------

    def note_sent(self) -> None:
        """Record that a request was sent to an endpoint."""
        if self._open_sends == 0:
            self._heard_ms = self._clock.now_ms()
        self._open_sends += 1

    def note_ended(self) -> None:
        """Record that a request was answered whole, or that its send has failed."""
        self._open_sends -= 1

    def note_heard(self) -> None:
        """Record that an endpoint has sent something."""
        self._heard_ms = self._clock.now_ms()

    def note_failure(self) -> None:
        """Record that a connection to an endpoint failed."""
        self._raise_doubt()

    def tick(self) -> None:
        """Check how long all endpoints have been silent."""
        now_ms = self._clock.now_ms()
        is_silent = now_ms - self._heard_ms >= SILENCE_MS
        is_due = now_ms - self._checked_ms >= SILENT_PROBE_INTERVAL_MS
        if self._open_sends > 0 and is_silent and is_due:
            self._raise_doubt()

    async def check(self) -> bool:
        """Return whether the VM is cut off, after the probe of a doubt if there is one.

        That takes two timeouts of a connection at most.
        """
        await self._settled.wait()
        return self.is_cut_off

    def _raise_doubt(self) -> None:
        self._doubt.set()
        self._settled.clear()

    # --- probes -------------------------------------------------------------

    async def run(self) -> None:
        """Probe endpoints in case of doubt, and while the VM is cut off."""
        while True:
            if not self.is_cut_off:
                await self._doubt.wait()
            self._doubt.clear()
            addresses = self._sample()
            if addresses:
                self._update(is_cut_off=not await self._reaches_any(addresses))
            self._checked_ms = self._clock.now_ms()
            self._settled.set()
            pause_ms = PROBE_INTERVAL_MS if self.is_cut_off else DOUBT_INTERVAL_MS
            await asyncio.sleep(pause_ms / 1000)

    def _sample(self) -> Sequence[str]:
        """Return addresses to probe, those of this data centre first.

        Where data centres are cut off from each other, others say nothing of this one.
        """
        listed = [one for one in self._directory.listed() if not one.leaving]
        random.shuffle(listed)
        near = [one for one in listed if one.data_centre == self._data_centre]
        far = [one for one in listed if one.data_centre != self._data_centre]
        chosen = [*near[:PROBED_NEAR], *far, *near[PROBED_NEAR:]]
        return [one.address for one in chosen[:PROBED_ENDPOINTS]]

    async def _reaches_any(self, addresses: Sequence[str]) -> bool:
        """Return whether any address can be reached; the first one is tried alone."""
        if await self._pool.can_connect(addresses[0]):
            return True
        others = map(self._pool.can_connect, addresses[1:])
        return any(await asyncio.gather(*others))

    def _update(self, *, is_cut_off: bool) -> None:
        if is_cut_off == self.is_cut_off:
            return
        now_ms = self._clock.now_ms()
        self.is_cut_off = is_cut_off
        if is_cut_off:
            self._cut_ms = now_ms
            silent_ms = now_ms - self._heard_ms
            log_event(events.ENDPOINTS_OUT_OF_REACH, silent_ms=silent_ms)
        else:
            self._heard_ms = now_ms
            log_event(events.ENDPOINTS_IN_REACH, after_ms=now_ms - self._cut_ms)
