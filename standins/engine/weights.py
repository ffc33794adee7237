"""Loads what an order names: takes its time and pulls from the weight store.

The store's refusal fails the load; whoever ordered it has to mind the limit.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from standins.engine.options import EngineOptions
    from standins.engine.orders import Order, OrderBook

MS_PER_S = 1000.0


class WeightLoader:
    """Runs loads in the background."""

    def __init__(self, options: EngineOptions) -> None:
        self._load_s = options.load_ms / MS_PER_S
        self._platform_url = options.weights
        self._loads: set[asyncio.Task[None]] = set()

    def load(self, order: Order, book: OrderBook) -> None:
        """Begin to load and tell the order book when it has ended."""
        load = asyncio.get_running_loop().create_task(self._load(order, book))
        self._loads.add(load)
        load.add_done_callback(self._loads.discard)

    def close(self) -> None:
        """Break off all loads."""
        for load in self._loads:
            load.cancel()

    async def _load(self, order: Order, book: OrderBook) -> None:
        pulled = await self._pull(order.name)
        if pulled:
            await asyncio.sleep(self._load_s)
        book.finish_load(order, loaded=pulled)

    async def _pull(self, name: str) -> bool:
        if not self._platform_url:
            return True
        url = f"{self._platform_url}/v1/weights/{name}"
        try:
            async with aiohttp.ClientSession() as session, session.get(url) as answer:
                await answer.read()
                return answer.ok
        except aiohttp.ClientError:
            return False


__all__ = ["WeightLoader"]
