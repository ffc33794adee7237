"""One VM's parts, put together: gateway, scheduler role, member, job runner.

All of them run on one loop on one thread.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from blacksheep import Application

from pomelolane import events
from pomelolane.http import ExchangeMiddleware, Listener, listening_socket
from pomelolane.http.connections import CallerBounds, CallerConnections
from pomelolane.logs import log_event
from pomelolane.meeting import meet_others

if TYPE_CHECKING:
    from pomelolane.parts import Parts
    from pomelolane.settings.options import ServeOptions

HANDOVER_TIMEOUT_S = 3.0
"""How long a VM that has finished its own requests waits for a successor.

Where every VM drains there is none; those that still follow go on alone.
"""


class Node:
    """A running VM.

    Args:
        options: Checked settings.
        parts: From :func:`~pomelolane.parts.make_parts`.
    """

    def __init__(self, options: ServeOptions, parts: Parts) -> None:
        self._options = options
        self._parts = parts
        self._app = Application()
        bounds = CallerBounds(options.max_connections, options.max_held_bytes)
        self._listener = Listener(
            ExchangeMiddleware(self._app),
            options.header_timeout_ms,
            CallerConnections(bounds),
        )
        self._stopping = asyncio.Event()
        self._became_ready = False
        self._handover: asyncio.Task[None] | None = None
        parts.tree.on_change(lambda tree: self._note_ready())

    async def start(self) -> None:
        """Listen, join the others and look for the settings."""
        parts = self._parts
        sock = listening_socket(self._options.host, self._options.port)
        await parts.member.start()
        if self._options.seeds or not parts.platform.is_embedded:
            await meet_others(parts.member)
        parts.mount(self._app, self.stop_soon)
        await self._app.start()
        await parts.coordination.start()
        await parts.start_background()
        await self._listener.start(sock)
        host, port = sock.getsockname()[:2]
        log_event(
            events.VM_STARTED,
            vm=self._options.vm_id,
            data_centre=self._options.data_centre,
            incarnation=parts.incarnation,
            address=f"{host}:{port}",
            version=parts.version,
        )

    def stop_soon(self) -> None:
        """Begin the planned stop; called by a signal or an operator."""
        self._stopping.set()

    async def run_until_stopped(self) -> None:
        """Serve until :meth:`stop_soon`, then stop gracefully."""
        await self._stopping.wait()
        await self._drain()
        await self._stop()

    async def _drain(self) -> None:
        """Hand over the roles and finish every accepted request."""
        parts = self._parts
        log_event(
            events.VM_DRAINING,
            vm=self._options.vm_id,
            open_requests=len(parts.dispatcher.open_requests),
        )
        parts.gateway.draining = True
        parts.member.set_draining()
        self._handover = asyncio.create_task(parts.coordination.handover())
        await asyncio.sleep(self._options.drain_grace_ms / 1000)
        timeout_s = self._options.drain_timeout_ms / 1000
        try:
            async with asyncio.timeout(timeout_s):
                await self._listener.stop()
                await parts.finish_background()
                await asyncio.wait({self._handover}, timeout=HANDOVER_TIMEOUT_S)
        except TimeoutError:
            log_event(
                events.TASK_FAILED,
                task="drain",
                error=f"not finished within {timeout_s:.0f} s",
            )

    async def _stop(self) -> None:
        parts = self._parts
        if self._handover is not None:
            self._handover.cancel()
        await parts.coordination.stop()
        await parts.stop_background()
        await parts.member.stop()
        await parts.platform.aclose()
        log_event(events.VM_STOPPED, vm=self._options.vm_id)

    def _note_ready(self) -> None:
        if self._became_ready or not self._parts.tree.ready:
            return
        self._became_ready = True
        self._parts.member.set_ready()
        branches = ",".join(sorted(self._parts.tree.value.versions))
        log_event(events.VM_READY, vm=self._options.vm_id, branches=branches)
