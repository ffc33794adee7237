"""Accepted settings are in force everywhere after healing and never go back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.chaos.checks.breach import Breach

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench.chaos.records import Evidence, SettingsPut

_OK = 200


def check_settings(evidence: Evidence) -> Iterator[Breach]:
    """Yield each lost, doubled, reverted or missing version."""
    yield from _check_races(evidence)
    yield from _check_order(evidence)
    yield from _check_in_force(evidence)
    for problem in evidence.not_ready:
        yield Breach("healing", f"not ready: {problem}")


def _check_races(evidence: Evidence) -> Iterator[Breach]:
    winners: dict[tuple[str, int], SettingsPut] = {}
    for put in evidence.puts:
        if put.status != _OK:
            continue
        key = (put.branch, put.expected_version)
        if key in winners:
            yield Breach("settings_race", f"two winners: {winners[key]} and {put}")
        winners[key] = put
        stored = evidence.final_history.get(put.branch, {}).get(put.version)
        if stored != put.weight:
            yield Breach("settings_kept", f"{put} was accepted, stored is {stored}")


def _check_order(evidence: Evidence) -> Iterator[Breach]:
    seen: dict[tuple[str, str], int] = {}
    for sample in sorted(evidence.samples, key=lambda sample: sample.at_ms):
        for branch, version in sample.versions.items():
            key = (sample.vm_id, branch)
            if version < seen.get(key, -1):
                yield Breach(
                    "settings_order",
                    f"{branch} on {sample.vm_id} went from {seen[key]} to {version} "
                    f"at {(sample.at_ms - evidence.began_at_ms) / 1000:.2f} s",
                )
            seen[key] = version


def _check_in_force(evidence: Evidence) -> Iterator[Breach]:
    for vm_id, versions in evidence.last_versions.items():
        for branch, version in evidence.final_versions.items():
            found = versions.get(branch, -1)
            if found != version:
                yield Breach(
                    "settings_in_force",
                    f"{branch} on {vm_id} is {found}, accepted is {version}",
                )
