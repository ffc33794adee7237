"""Orders to engines to load a model, each under a lease with fencing.

Engines that ignore fencing numbers are ordered only after an earlier holder
cannot be about to order any more, and after a look at what they do already.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

import aiohttp
import msgspec

from pomelolane.events import LOAD_ORDERED
from pomelolane.exceptions import (
    EndpointBrokenError,
    EndpointError,
    EndpointRefusedError,
)
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pomelolane.model import Endpoint, Service, Tree
    from pomelolane.store.leases import Lease, Leases
    from pomelolane.store.weights import PacedPulls

DEFAULT_ORDER_TIMEOUT_MS = 3000

_OK = 200
_CONFLICT = 409


class OrderResult(StrEnum):
    """What became of the wish to have a model loaded."""

    LOADED = "loaded"
    LOADING = "loading"
    FENCED_OFF = "fenced_off"
    NOT_HOLDER = "not_holder"
    UNKNOWN = "unknown"


class EngineState(msgspec.Struct, frozen=True):
    """What an engine says it has been made of.

    Attributes:
        models: Loaded models.
        loading: Models being loaded.
        failed: Loads that found no weights.
    """

    models: tuple[str, ...] = ()
    loading: tuple[str, ...] = ()
    failed: tuple[str, ...] = ()


class LoadOrder(msgspec.Struct, frozen=True):
    """An order as an engine takes it.

    Attributes:
        kind: What to do.
        name: Model to load.
        fencing: Fencing number of the lease.
    """

    kind: str
    name: str
    fencing: int


class OrderSender(Protocol):
    """Speaks to engines."""

    async def read_state(self, endpoint: Endpoint) -> EngineState:
        """Read what an engine has loaded.

        Raises:
            EndpointError: No answer.
        """

    async def send(self, endpoint: Endpoint, order: LoadOrder) -> bool:
        """Give an order; false where its fencing number is too old.

        Raises:
            EndpointRefusedError: Certainly not taken.
            EndpointBrokenError: Possibly taken.
        """


@dataclass(frozen=True, slots=True)
class Demand:
    """What a service is asked for and what it has.

    Attributes:
        waiting: Requests that wait for a slot.
        ready_slots: Slots of the endpoints that have its model.
    """

    waiting: int
    ready_slots: int

    @property
    def is_outgrown(self) -> bool:
        """Whether more wait than the ready endpoints take at one time."""
        return self.waiting > self.ready_slots


class ModelOrders:
    """Orders engines to load models.

    Args:
        leases: One lease an engine, so that one VM orders it at one time.
        sender: Speaks to engines.
        pulls: Paces what engines pull from the weight store.
    """

    def __init__(self, leases: Leases, sender: OrderSender, pulls: PacedPulls) -> None:
        self._leases = leases
        self._sender = sender
        self._pulls = pulls

    async def load(self, endpoint: Endpoint, model: str) -> OrderResult:
        """Have a model loaded, if nobody else is seeing to that engine.

        Raises:
            PlatformError: The lease is not certain; nothing was ordered.
            LeaseLostError: The lease lapsed before the order; likewise.
            EndpointError: The engine does not answer; nothing was ordered.
        """
        lease = await self._leases.acquire(f"orders/{endpoint.endpoint_id}")
        if lease is None:
            return OrderResult.NOT_HOLDER
        result = await self._load_under(lease, endpoint, model)
        # An order whose reply was lost may still be on its way: the lease is
        # left to lapse then, so that a successor waits it out.
        if result is not OrderResult.UNKNOWN:
            await self._leases.release(lease)
        log_event(
            LOAD_ORDERED,
            endpoint=endpoint.endpoint_id,
            model=model,
            fencing=lease.fencing,
            answer=result.value,
        )
        return result

    async def _load_under(
        self, lease: Lease, endpoint: Endpoint, model: str
    ) -> OrderResult:
        await self._wait_for_predecessor(lease, endpoint)
        state = await self._sender.read_state(endpoint)
        if model in state.models:
            return OrderResult.LOADED
        if model in state.loading:
            return OrderResult.LOADING
        await self._pulls.wait_for_turn()
        await self._leases.renew(lease)
        order = LoadOrder("load_model", model, lease.fencing)
        lease.check()
        try:
            taken = await self._sender.send(endpoint, order)
        except EndpointRefusedError:
            return OrderResult.NOT_HOLDER
        except EndpointBrokenError:
            return await self._verify(endpoint, model)
        return OrderResult.LOADING if taken else OrderResult.FENCED_OFF

    async def _wait_for_predecessor(self, lease: Lease, endpoint: Endpoint) -> None:
        if endpoint.honours_fencing:
            return
        while (wait_ms := lease.safe_to_order_after()) > 0:
            step_ms = min(wait_ms, lease.row.duration_ms / 3)
            await asyncio.sleep(step_ms / 1000.0)
            await self._leases.renew(lease)

    async def _verify(self, endpoint: Endpoint, model: str) -> OrderResult:
        try:
            state = await self._sender.read_state(endpoint)
        except EndpointError:
            return OrderResult.UNKNOWN
        if model in state.models:
            return OrderResult.LOADED
        return OrderResult.LOADING if model in state.loading else OrderResult.UNKNOWN


def endpoint_to_load(
    service: Service, tree: Tree, states: Mapping[str, EngineState], demand: Demand
) -> Endpoint | None:
    """Choose the engine that should load a service's model next.

    Args:
        service: The service.
        tree: Settings in force.
        states: What the engines that answer say, by endpoint id.
        demand: What the service is asked for.

    Returns:
        The largest of its engines that lacks the model, None where the ready
        ones suffice or a load is under way.
    """
    if not service.model or not demand.is_outgrown:
        return None
    own = [each for each in tree.endpoints.values() if each.service == service.name]
    known = [each for each in own if each.endpoint_id in states and not each.leaving]
    if any(service.model in states[each.endpoint_id].loading for each in known):
        return None
    lacking = [
        each for each in known if service.model not in states[each.endpoint_id].models
    ]
    return max(lacking, key=lambda each: (each.slots, each.endpoint_id), default=None)


class HttpOrderSender:
    """Speaks to engines over HTTP.

    Args:
        timeout_ms: Bound on a call.
    """

    def __init__(self, timeout_ms: int = DEFAULT_ORDER_TIMEOUT_MS) -> None:
        self._timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000.0)
        self._session: aiohttp.ClientSession | None = None

    async def read_state(self, endpoint: Endpoint) -> EngineState:
        """Read what an engine has loaded."""
        status, body = await self._call("GET", endpoint, "/orders/state", None)
        if status != _OK:
            raise EndpointRefusedError(f"status {status}")
        try:
            return msgspec.json.decode(body, type=EngineState)
        except msgspec.DecodeError as error:
            raise EndpointBrokenError(f"malformed state: {error}") from error

    async def send(self, endpoint: Endpoint, order: LoadOrder) -> bool:
        """Give an order; see :class:`OrderSender`."""
        body = msgspec.json.encode(order)
        status, _ = await self._call("POST", endpoint, "/orders", body)
        if status == _CONFLICT:
            return False
        if status != _OK:
            raise EndpointBrokenError(f"status {status}")
        return True

    async def aclose(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _call(
        self, method: str, endpoint: Endpoint, path: str, body: bytes | None
    ) -> tuple[int, bytes]:
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=self._timeout)
        url = f"http://{endpoint.address}{path}"
        try:
            async with self._session.request(method, url, data=body) as response:
                return response.status, await response.read()
        except aiohttp.ClientConnectorError as error:
            raise EndpointRefusedError(str(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise EndpointBrokenError(f"{type(error).__name__}: {error}") from error


def make_model_orders(leases: Leases, pulls: PacedPulls) -> ModelOrders:
    """Make orders that go over HTTP."""
    return ModelOrders(leases, HttpOrderSender(), pulls)
