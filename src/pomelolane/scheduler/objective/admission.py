"""Admission control: predicts which requests would be answered too late."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.scheduler.objective.demand import Demand
from pomelolane.scheduler.objective.forecast import (
    FleetLatencyModel,
    WaitForecast,
    forecast_slots,
)
from pomelolane.scheduler.objective.shares import in_due_order, make_fair_shares

if TYPE_CHECKING:
    from pomelolane.scheduler.objective.fleet import Fleet
    from pomelolane.scheduler.objective.options import ObjectiveOptions
    from pomelolane.scheduler.objective.waiting import WaitingRequest, WaitingRequests

_FORECAST_MAX_AGE_MS = 50.0
"""Maximum age of a forecast reused for new requests: the tick period, as each tick
makes a new forecast. One forecast per request would take most of a CPU core at hundreds
of requests per second."""

_MAX_MORE_URGENT_SHARE = 0.98
"""Upper bound on the share of slots attributed to more urgent ranks. Waits are then
fifty times as long, which exceeds every objective."""

_LATENCY_MAX_AGE_MS = 1000.0
"""Maximum age of the average durations if no forecast is made because nothing waits.
Computing them takes as long as several decisions."""


class Admission:
    """Predicts queueing delays at one service's endpoints.

    Args:
        options: Tuning constants of the policy.
        fleet: The endpoints.

    Attributes:
        shares: Classifies requests by their organisations' shares of the slots.
    """

    def __init__(self, options: ObjectiveOptions, fleet: Fleet) -> None:
        self._options = options
        self._fleet = fleet
        self._demand = Demand(options.demand_ms)
        self._wait_forecast: WaitForecast | None = None
        self._latency = FleetLatencyModel(())
        self._latency_at_ms = -_LATENCY_MAX_AGE_MS
        self.shares = make_fair_shares()

    def classify(
        self, waiting: WaitingRequest, waiting_requests: WaitingRequests, now_ms: float
    ) -> None:
        """Set the precedence of an arriving request by its organisation's share."""
        self.update_shares(waiting_requests, now_ms)
        waiting.slot_ms = self._latency.duration_ms(waiting.handle)
        waiting.set_precedence(self.shares.classify(waiting, now_ms))

    def update_shares(self, waiting_requests: WaitingRequests, now_ms: float) -> None:
        """Divide the slots if due, and reclassify what waits in changed ranks."""
        if not self.shares.is_due(now_ms):
            return
        self._update_latency(now_ms)
        changed = self.shares.divide(self._usable_slots(now_ms), now_ms)
        if not changed:
            return
        affected = [w for w in waiting_requests if w.handle.tier_rank in changed]
        for waiting in in_due_order(affected):
            precedence = self.shares.reclassify(waiting)
            waiting_requests.change_precedence(waiting, precedence)
        self._wait_forecast = None

    def _update_latency(self, now_ms: float) -> None:
        wait_forecast = self._wait_forecast
        if wait_forecast and wait_forecast.created_ms > self._latency_at_ms:
            self._latency = wait_forecast.latency
            self._latency_at_ms = wait_forecast.created_ms
        if now_ms - self._latency_at_ms >= _LATENCY_MAX_AGE_MS:
            staying = [worker for worker in self._fleet if not worker.leaving]
            self._latency = FleetLatencyModel([w.latency_model() for w in staying])
            self._latency_at_ms = now_ms

    def _usable_slots(self, now_ms: float) -> int:
        """Return the slots of endpoints that are neither leaving nor suspended.

        If all are suspended, the slots of all are used, as in :meth:`Fleet.available`.
        """
        share = self._fleet.share
        staying = [worker for worker in self._fleet if not worker.leaving]
        usable = [w for w in staying if now_ms >= w.suspended_until_ms] or staying
        return sum([worker.usable_slots(share) for worker in usable])

    def record_grant(self, rank: int, slot_ms: float, now_ms: float) -> None:
        """Record a granted request and how long it is expected to hold its slot."""
        self._demand.add(rank, slot_ms, now_ms)

    def recent_forecast(
        self, waiting_requests: WaitingRequests, now_ms: float
    ) -> WaitForecast:
        """Return a forecast that covers the queue and is at most one tick old."""
        wait_forecast = self._wait_forecast
        if (
            wait_forecast is None
            or now_ms - wait_forecast.created_ms > _FORECAST_MAX_AGE_MS
        ):
            wait_forecast = self.new_forecast(now_ms)
            for waiting in waiting_requests.on_time_in_order():
                wait_forecast.append(waiting.key, waiting.handle)
        return wait_forecast

    def new_forecast(self, now_ms: float) -> WaitForecast:
        """Return a forecast of the slots alone, to append waiting requests to."""
        staying = [worker for worker in self._fleet if not worker.leaving]
        forecast = forecast_slots(staying, self._fleet.share, now_ms)
        latency = FleetLatencyModel([worker.latency_model() for worker in staying])
        self._wait_forecast = WaitForecast(forecast, latency, now_ms)
        return self._wait_forecast

    def may_refuse(self, waiting: WaitingRequest, now_ms: float) -> bool:
        """Return whether a refusal now leaves the caller time to try elsewhere."""
        objective_ms = waiting.handle.objective_ms
        if objective_ms <= 0:
            return False
        elapsed_ms = objective_ms - (waiting.objective_at_ms - now_ms)
        return elapsed_ms <= self._options.early_share * objective_ms

    def lateness_ms(
        self,
        waiting: WaitingRequest,
        wait_ms: float,
        wait_forecast: WaitForecast,
        now_ms: float,
    ) -> float:
        """Return how late an answer would be, negative if it would be on time.

        The predicted wait counts only requests that are ahead now. More urgent ones
        that arrive later make it longer. It is extended for them only if the request
        is due when its caller disconnects, as it would then wait in vain. With an
        earlier objective it is not extended: bursts end, and requests that could be on
        time would be refused.

        Args:
            waiting: The request.
            wait_ms: Predicted wait for a slot.
            wait_forecast: The forecast that predicted it.
            now_ms: Current time.
        """
        wait_ms *= self._options.wait_factor
        if waiting.handle.late_window_ms <= 0:
            wait_ms /= 1.0 - self._more_urgent_share(waiting, wait_forecast, now_ms)
        ttft_ms = (
            wait_forecast.latency.min_ttft_ms(waiting.handle) + self._fleet.margin_ms()
        )
        return now_ms + wait_ms + ttft_ms - waiting.objective_at_ms

    def slots_left(
        self, waiting: WaitingRequest, wait_forecast: WaitForecast, now_ms: float
    ) -> float:
        """Return the number of slots that more urgent requests leave to a request."""
        share = self._more_urgent_share(waiting, wait_forecast, now_ms)
        return wait_forecast.slots * (1.0 - share)

    def _more_urgent_share(
        self, waiting: WaitingRequest, wait_forecast: WaitForecast, now_ms: float
    ) -> float:
        """Return the share of all slots that more urgent requests use."""
        busy = self._demand.slots_for_more_urgent(waiting.handle.tier_rank, now_ms)
        return min(_MAX_MORE_URGENT_SHARE, busy / wait_forecast.slots)
