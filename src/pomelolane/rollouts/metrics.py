"""Prometheus metrics of rollout trials."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import Gauge

if TYPE_CHECKING:
    from pomelolane.rollouts.order import RolloutOrder
    from pomelolane.rollouts.trial import Trial

_REQUESTS = Gauge(
    "pomelolane_rollout_requests",
    "Requests under this scheduler since it took up an order, by service, version and "
    "kind: arrived, exposed (got by the new version), bad (its bad answers).",
)


def publish(order: RolloutOrder, trial: Trial) -> None:
    """Publish the counters of a trial."""
    labels = {"service": order.service, "version": order.to_version}
    _REQUESTS.set(labels | {"kind": "arrived"}, trial.arrived)
    _REQUESTS.set(labels | {"kind": "exposed"}, trial.exposed)
    _REQUESTS.set(labels | {"kind": "bad"}, trial.judge.bad_answers)
