"""Orders to move a service to a new version, and what became of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class RolloutState(Enum):
    """What operators are told of an order."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether nothing follows it."""
        return self is not RolloutState.RUNNING


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order.

    Attributes:
        service: The service.
        to_version: Version to move it to.
        duration_ms: Time allowed from the order on.
        number: Tells orders of the same service apart, also such that ask for the same.
    """

    service: str
    to_version: str
    duration_ms: int
    number: int


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """What is on record of an order.

    Attributes:
        number: The order's number.
        state: Its state.
        ordered_ms: When it was first seen, on the record's clock.
    """

    number: int
    state: RolloutState
    ordered_ms: float


@dataclass(frozen=True, slots=True)
class RolloutBounds:
    """What a version that is not proved may get.

    Attributes:
        exposure_share: Part of a service's requests that it gets at most.
        exposure_slack: Requests that it may get beside that.
    """

    exposure_share: float = 0.1
    exposure_slack: float = 50.0


class RolloutRecord(Protocol):
    """Where the states of orders are kept."""

    def now_ms(self) -> float:
        """Return the record's clock, which is the same for all VMs."""

    async def load(self, service: str) -> RolloutStatus | None:
        """Return what stands of a service's last order, None for nothing.

        Raises:
            PlatformError: It cannot be read.
        """

    async def save(self, order: RolloutOrder, status: RolloutStatus) -> bool:
        """Replace what was loaded or saved last, unless another VM has done so.

        Returns:
            Whether it stands now.

        Raises:
            PlatformError: It may not have been replaced.
        """
