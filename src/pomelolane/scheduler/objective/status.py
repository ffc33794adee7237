"""What a core of the objective policy reports to operators."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pomelolane.scheduler.objective.shares import RankShares
    from pomelolane.scheduler.objective.worker import WorkerFigures


@dataclass(frozen=True, slots=True)
class CoreStatus(Mapping):
    """Status of a core.

    As a mapping it holds the statistics of the endpoints by id, which is what all cores
    report.

    Attributes:
        endpoints: Statistics by endpoint id.
        shares: Organisations' shares in the contended ranks.
    """

    endpoints: dict[str, WorkerFigures]
    shares: tuple[RankShares, ...] = ()

    def __getitem__(self, endpoint_id: str) -> WorkerFigures:
        return self.endpoints[endpoint_id]

    def __iter__(self) -> Iterator[str]:
        return iter(self.endpoints)

    def __len__(self) -> int:
        return len(self.endpoints)
