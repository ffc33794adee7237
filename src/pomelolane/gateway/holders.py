"""Questions between VMs about idempotency keys, and who holds which.

The holder of a claim knows whether it dispatched; others ask it by message.
"""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

from pomelolane.messages import KeyAnswer, KeyQuery

if TYPE_CHECKING:
    from pomelolane.gateway.state import RequestState
    from pomelolane.ports import ClaimRecord, Membership, Transport

QUERY_TIMEOUT_MS = 400
QUERY_TRIES = 3
KEEP_ENDED_S = 120.0


class HolderQueries:
    """Keeps the keys held by this VM and asks others about theirs.

    Args:
        vm_id: This VM.
        transport: Messages to other VMs.
        membership: Who is alive.
    """

    def __init__(
        self, vm_id: str, transport: Transport, membership: Membership
    ) -> None:
        self._vm_id = vm_id
        self._transport = transport
        self._membership = membership
        self._held: dict[str, RequestState] = {}
        self._waiting: dict[str, asyncio.Future[KeyAnswer]] = {}
        transport.subscribe(KeyQuery, self._on_query)
        transport.subscribe(KeyAnswer, self._on_answer)

    def hold(self, key: str, state: RequestState) -> None:
        """Note that this VM holds a key."""
        self._held[key] = state

    def known(self, key: str) -> bool:
        """Tell whether this VM has served the key lately."""
        return key in self._held

    def release_later(self, key: str) -> None:
        """Forget an ended key after a while, or at once if it never ran."""
        state = self._held.get(key)
        if state is not None and not state.dispatched:
            del self._held[key]
            return
        loop = asyncio.get_running_loop()
        loop.call_later(KEEP_ENDED_S, self._held.pop, key, None)

    async def ask(self, record: ClaimRecord) -> KeyAnswer | None:
        """Ask a claim's holder about it.

        Returns:
            Its answer, which is not ``known`` while its claim is still being
            settled; None where the holder is gone or silent.
        """
        peer = self._membership.view().peers.get(record.vm_id)
        if peer is None or peer.incarnation != record.incarnation:
            return None
        if record.vm_id == self._vm_id:
            return self._answer("", record.key)
        for _ in range(QUERY_TRIES):
            answer = await self._ask_once(record)
            if answer is not None:
                return answer
        return None

    async def _ask_once(self, record: ClaimRecord) -> KeyAnswer | None:
        query_id = uuid.uuid4().hex
        future = asyncio.get_running_loop().create_future()
        self._waiting[query_id] = future
        try:
            self._transport.send(record.vm_id, KeyQuery(query_id, record.key))
            async with asyncio.timeout(QUERY_TIMEOUT_MS / 1000):
                return await future
        except TimeoutError:
            return None
        finally:
            del self._waiting[query_id]

    def _on_query(self, sender: str, query: KeyQuery) -> None:
        self._transport.send(sender, self._answer(query.query_id, query.key))

    def _on_answer(self, sender: str, answer: KeyAnswer) -> None:
        del sender
        future = self._waiting.get(answer.query_id)
        if future is not None and not future.done():
            future.set_result(answer)

    def _answer(self, query_id: str, key: str) -> KeyAnswer:
        state = self._held.get(key)
        if state is None:
            return KeyAnswer(query_id, known=False)
        return KeyAnswer(
            query_id,
            known=True,
            dispatched=state.dispatched,
            endpoint_id=state.endpoint_id,
            stream_id=state.stream_id if state.dispatched else "",
            finished=state.finished,
            outcome=state.outcome,
        )
