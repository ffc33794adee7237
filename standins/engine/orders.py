"""Orders to load models, adapters and versions, or to change role.

An engine that honours fencing refuses an order whose number is older than the
newest that it has seen; the others carry out whatever comes.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class OrderKind(StrEnum):
    """What can be ordered."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    SET_VERSION = "set_version"
    SET_ROLE = "set_role"


LOADING_KINDS = frozenset({OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER})


class Order(msgspec.Struct, frozen=True):
    """One order.

    Attributes:
        kind: What to do.
        name: Model, adapter or role.
        version: Version to set, empty for the other kinds.
        fencing: Fencing number of the lease under which it is given.
    """

    kind: OrderKind
    name: str
    version: str = ""
    fencing: int = 0


class OrderState(msgspec.Struct):
    """What an engine has been made of by orders.

    Attributes:
        models: Loaded models.
        adapters: Loaded adapters.
        loading: Models and adapters being loaded.
        failed: Loads for which the weight store gave nothing.
        versions: Version by model.
        role: Current role.
        fencing: Newest fencing number seen.
        carried_out: Orders carried out so far, oldest first.
    """

    models: list[str]
    role: str
    adapters: list[str] = msgspec.field(default_factory=list)
    loading: list[str] = msgspec.field(default_factory=list)
    failed: list[str] = msgspec.field(default_factory=list)
    versions: dict[str, str] = msgspec.field(default_factory=dict)
    fencing: int = 0
    carried_out: list[Order] = msgspec.field(default_factory=list)


class OrderBook:
    """Takes orders and keeps what they made of the engine."""

    def __init__(self, model: str, role: str, *, honours_fencing: bool) -> None:
        self._honours_fencing = honours_fencing
        self.state = OrderState(models=[model] if model else [], role=role)

    def take(self, order: Order) -> bool:
        """Carry out an order, or begin to load what it names.

        Returns:
            False where its fencing number is too old.
        """
        if self._honours_fencing and order.fencing < self.state.fencing:
            return False
        self.state.fencing = max(self.state.fencing, order.fencing)
        self.state.carried_out.append(order)
        self._carry_out(order)
        return True

    def finish_load(self, order: Order, *, loaded: bool) -> None:
        """Note that a load has ended, unless it was ordered away meanwhile."""
        if order.name not in self.state.loading:
            return
        self.state.loading.remove(order.name)
        if not loaded:
            self.state.failed.append(order.name)
        elif order.kind is OrderKind.LOAD_ADAPTER:
            _add(self.state.adapters, order.name)
        else:
            _add(self.state.models, order.name)

    def serves(self, model: str) -> bool:
        """Tell whether a model or adapter is loaded."""
        return model in self.state.models or model in self.state.adapters

    def _carry_out(self, order: Order) -> None:
        if order.kind in LOADING_KINDS:
            if not self.serves(order.name):
                _add(self.state.loading, order.name)
        elif order.kind is OrderKind.UNLOAD_MODEL:
            _remove(self.state.models, order.name)
            _remove(self.state.loading, order.name)
        elif order.kind is OrderKind.SET_VERSION:
            self.state.versions[order.name] = order.version
        else:
            self.state.role = order.name


def _add(names: list[str], name: str) -> None:
    if name not in names:
        names.append(name)


def _remove(names: list[str], name: str) -> None:
    if name in names:
        names.remove(name)


__all__ = ["LOADING_KINDS", "Order", "OrderBook", "OrderKind", "OrderState"]
