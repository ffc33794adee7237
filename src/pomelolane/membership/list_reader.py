"""Polls the platform's list of VMs, on delegates only.

A VM without peers is a delegate too. The list lags behind, so it does not show which
VMs are alive; it only provides VMs to probe and leaving endpoints.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.exceptions import PlatformError
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pomelolane.membership.context import MemberContext
    from pomelolane.membership.delegate import DigestExchange
    from pomelolane.membership.leaving_broadcast import LeavingBroadcast
    from pomelolane.ports import ListedVm, VmList

POLL_INTERVAL_S = 1.0
PLATFORM_SOURCE = "platform"


class ListReader:
    """Polls the platform's list of VMs.

    Args:
        vm_list: The platform's list.
        context: State and components shared within the package.
        exchange: Its ``is_delegate`` decides whether this VM polls.
        broadcast: Marks leaving endpoints.
        is_endpoint: Returns whether a listed id is that of an endpoint, as far as the
            settings are known.
        on_new: Called when the list contains VMs that are not contacts yet.
    """

    def __init__(
        self,
        vm_list: VmList,
        context: MemberContext,
        exchange: DigestExchange,
        broadcast: LeavingBroadcast,
        is_endpoint: Callable[[str], bool],
        on_new: Callable[[], None],
    ) -> None:
        self._vm_list = vm_list
        self._context = context
        self._exchange = exchange
        self._leaving_broadcast = broadcast
        self._is_endpoint = is_endpoint
        self._on_new = on_new

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            try:
                if self._exchange.is_delegate:
                    await self._poll()
                else:
                    self._sync_marks(frozenset())
            except Exception as error:
                log_event(events.TASK_FAILED, task="list of VMs", error=repr(error))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _poll(self) -> None:
        try:
            entries = await self._vm_list.read()
        except PlatformError:
            return
        self._apply(entries)

    def _apply(self, entries: Sequence[ListedVm]) -> None:
        context = self._context
        now_ms = context.clock.now_ms()
        any_new = False
        for entry in entries:
            if entry.leaving or self._is_endpoint(entry.vm_id):
                continue
            any_new |= context.contacts.learn(
                entry.vm_id,
                entry.data_centre,
                entry.address,
                now_ms,
                certain=False,
            )
        if any_new:
            self._on_new()
        self._sync_marks(frozenset(entry.vm_id for entry in entries if entry.leaving))

    def _sync_marks(self, leaving: frozenset[str]) -> None:
        marks = self._context.marks
        for endpoint_id in sorted(leaving - set(marks.own)):
            if not self._is_vm(endpoint_id):
                self._leaving_broadcast.mark(endpoint_id, PLATFORM_SOURCE)
        marked = set(marks.own_of_source(PLATFORM_SOURCE))
        for endpoint_id in marked - leaving:
            marks.clear_own(endpoint_id)

    def _is_vm(self, listed_id: str) -> bool:
        context = self._context
        return listed_id == context.vm_id or context.contacts.is_vm(listed_id)
