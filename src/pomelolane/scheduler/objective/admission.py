"""Judges which waiting requests could only be answered too late."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.scheduler.objective.demand import Demand
from pomelolane.scheduler.objective.forecast import (
    FleetPace,
    Outlook,
    forecast_of_workers,
)

if TYPE_CHECKING:
    from pomelolane.scheduler.objective.fleet import Fleet
    from pomelolane.scheduler.objective.options import ObjectiveOptions
    from pomelolane.scheduler.objective.waiting import Waiting, WaitingRequests

_OUTLOOK_MS = 50.0
"""Age up to which a prediction of waits is used for arrivals: the period of ticks,
each of which makes a new one. One for each arrival would take most of a core where
hundreds arrive in a second."""

_MOST_SHARE = 0.98
"""Most of the slots that more urgent ranks are taken to keep: waits are then fifty
times as long, which is never in anybody's objective."""


class Admission:
    """Predicts waits at one service's endpoints.

    Args:
        options: Constants.
        fleet: The endpoints.
    """

    def __init__(self, options: ObjectiveOptions, fleet: Fleet) -> None:
        self._options = options
        self._fleet = fleet
        self._demand = Demand(options.demand_ms)
        self._outlook: Outlook | None = None

    def granted(self, rank: int, slot_ms: float, now_ms: float) -> None:
        """Count a request that will hold a slot for a time."""
        self._demand.add(rank, slot_ms, now_ms)

    def recent_outlook(
        self, waiting_requests: WaitingRequests, now_ms: float
    ) -> Outlook:
        """Return a prediction for what waits that is young enough for an arrival."""
        outlook = self._outlook
        if outlook is None or now_ms - outlook.made_ms > _OUTLOOK_MS:
            outlook = self.new_outlook(now_ms)
            for waiting in waiting_requests.in_order():
                outlook.append(waiting.key, waiting.handle)
        return outlook

    def new_outlook(self, now_ms: float) -> Outlook:
        """Return a prediction with nothing waiting, to which that is appended."""
        staying = [worker for worker in self._fleet if not worker.leaving]
        forecast = forecast_of_workers(staying, self._fleet.share, now_ms)
        pace = FleetPace([worker.pace() for worker in staying])
        self._outlook = Outlook(forecast, pace, now_ms)
        return self._outlook

    def may_refuse(self, waiting: Waiting, now_ms: float) -> bool:
        """Tell whether a refusal now still leaves the caller time elsewhere."""
        objective_ms = waiting.handle.objective_ms
        if objective_ms <= 0:
            return False
        held_ms = objective_ms - (waiting.objective_at_ms - now_ms)
        return held_ms <= self._options.early_share * objective_ms

    def late_ms(
        self, waiting: Waiting, start_ms: float, outlook: Outlook, now_ms: float
    ) -> float:
        """Return by how much an answer would be late that is begun after a wait.

        The wait counts those that are ahead now. The more urgent ones that come
        meanwhile make it longer: a request that is due only when its caller leaves
        would wait in vain. They are not held against an earlier objective: bursts
        end, and more would be refused for nothing.
        """
        start_ms *= self._options.wait_factor
        if waiting.handle.late_window_ms <= 0:
            start_ms /= 1.0 - self._share_above(waiting, outlook, now_ms)
        first_ms = outlook.pace.first_ms(waiting.handle) + self._fleet.margin_ms()
        return now_ms + start_ms + first_ms - waiting.objective_at_ms

    def _share_above(self, waiting: Waiting, outlook: Outlook, now_ms: float) -> float:
        """Return the part of all slots that more urgent requests take."""
        busy = self._demand.slots_above(waiting.handle.tier_rank, now_ms)
        return min(_MOST_SHARE, busy / outlook.slots)
