"""The promises, each as a function from the evidence to what broke it."""

from bench.chaos.checks.answers import (
    check_answers,
    check_not_run,
    check_versions,
)
from bench.chaos.checks.breach import Breach
from bench.chaos.checks.jobs import check_jobs
from bench.chaos.checks.operation import check_leaving, check_stops
from bench.chaos.checks.runs import check_runs
from bench.chaos.checks.settings import check_settings
from bench.chaos.checks.tiers import check_tiers

__all__ = [
    "Breach",
    "check_answers",
    "check_jobs",
    "check_leaving",
    "check_not_run",
    "check_runs",
    "check_settings",
    "check_stops",
    "check_tiers",
    "check_versions",
]
