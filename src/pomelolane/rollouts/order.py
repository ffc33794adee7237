"""Rollout orders of operators, and their recorded states."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class RolloutState(Enum):
    """State of an order as shown to operators."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether no other state can follow."""
        return self is not RolloutState.RUNNING


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to move a service to a new version.

    Attributes:
        service: Name of the service.
        to_version: Version to move the service to.
        duration_ms: Time allowed, counted from the order.
        number: Increases with each order of a service, also if its contents repeat.
    """

    service: str
    to_version: str
    duration_ms: int
    number: int


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Recorded state of an order.

    Attributes:
        number: Number of the order.
        state: State of the order.
        ordered_ms: When the order was first seen, on the record's clock.
    """

    number: int
    state: RolloutState
    ordered_ms: float


@dataclass(frozen=True, slots=True)
class RolloutBounds:
    """Limits on the requests that go to a version that is not verified yet.

    Attributes:
        exposure_share: Highest share of a service's requests.
        exposure_slack: Number of requests allowed in addition to the share.
    """

    exposure_share: float = 0.1
    exposure_slack: float = 50.0


class RolloutRecord(Protocol):
    """Storage for the states of orders, shared by all VMs."""

    def now_ms(self) -> float:
        """Return the time of a clock that all VMs share."""

    async def load(self, service: str) -> RolloutStatus | None:
        """Return the recorded state of a service's last order, None without one.

        Raises:
            PlatformError: The record cannot be read.
        """

    async def save(self, order: RolloutOrder, status: RolloutStatus) -> bool:
        """Replace the state last loaded or saved, unless another VM has replaced it.

        Returns:
            Whether the new state was saved.

        Raises:
            PlatformError: It is unknown whether the state was saved.
        """
