"""Rolls a service out to a new version of its endpoints, with automatic rollback."""

from pomelolane.rollouts.judge import VersionAnswer, VersionJudge
from pomelolane.rollouts.order import (
    RolloutBounds,
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    RolloutStatus,
)
from pomelolane.rollouts.rollouts import RolloutFigures, Rollouts
from pomelolane.rollouts.trial import Phase, Trial

__all__ = [
    "Phase",
    "RolloutBounds",
    "RolloutFigures",
    "RolloutOrder",
    "RolloutRecord",
    "RolloutState",
    "RolloutStatus",
    "Rollouts",
    "Trial",
    "VersionAnswer",
    "VersionJudge",
]
