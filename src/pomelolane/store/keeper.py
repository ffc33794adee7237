"""Keeps services' models loaded where demand has outgrown the ready engines.

Each VM looks at the services that are its own to look after; the lease decides
who orders.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pomelolane.exceptions import EndpointError, LeaseLostError, PlatformError
from pomelolane.store.orders import Demand, endpoint_to_load

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.model import Endpoint, Service, Tree
    from pomelolane.store.orders import EngineState, ModelOrders, OrderSender

DEFAULT_KEEP_INTERVAL_MS = 5_000.0


class ModelKeeper:
    """Orders loads as demand asks for them.

    Args:
        orders: Gives the orders.
        sender: Reads engines' states.
        tree: Returns the settings in force.
        waiting: Returns how many requests of a service wait for a slot.
        is_own: Tells whether a service is this VM's to look after.
    """

    def __init__(
        self,
        orders: ModelOrders,
        sender: OrderSender,
        tree: Callable[[], Tree],
        waiting: Callable[[str], int],
        is_own: Callable[[str], bool],
    ) -> None:
        self._orders = orders
        self._sender = sender
        self._tree = tree
        self._waiting = waiting
        self._is_own = is_own

    async def run(self, interval_ms: float = DEFAULT_KEEP_INTERVAL_MS) -> None:
        """Look after the services for ever."""
        while True:
            await asyncio.sleep(interval_ms / 1000.0)
            for service in list(self._tree().services.values()):
                await self.look_after(service)

    async def look_after(self, service: Service) -> None:
        """Order one load for a service, if it has to be.

        Failures are left to the next look; nothing was ordered by them, or
        the lease waits until it is known.
        """
        waiting = self._waiting(service.name)
        if not service.model or not waiting or not self._is_own(service.name):
            return
        tree = self._tree()
        states = await self._read_states(service, tree)
        demand = Demand(waiting, _ready_slots(service, tree, states))
        endpoint = endpoint_to_load(service, tree, states, demand)
        if endpoint is None:
            return
        try:
            await self._orders.load(endpoint, service.model)
        except (PlatformError, LeaseLostError, EndpointError):
            return

    async def _read_states(
        self, service: Service, tree: Tree
    ) -> dict[str, EngineState]:
        endpoints = _endpoints_of(service, tree)
        states = await asyncio.gather(
            *(self._sender.read_state(each) for each in endpoints),
            return_exceptions=True,
        )
        return {
            endpoint.endpoint_id: state
            for endpoint, state in zip(endpoints, states, strict=True)
            if not isinstance(state, BaseException)
        }


def _endpoints_of(service: Service, tree: Tree) -> list[Endpoint]:
    return [each for each in tree.endpoints.values() if each.service == service.name]


def _ready_slots(service: Service, tree: Tree, states: dict[str, EngineState]) -> int:
    return sum(
        endpoint.slots
        for endpoint in _endpoints_of(service, tree)
        if endpoint.endpoint_id in states
        and service.model in states[endpoint.endpoint_id].models
    )
