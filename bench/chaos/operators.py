"""Two operators who change the same branch at the same moment.

Each writes another weight of the team, so that the winner can be told from
the stored content.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from bench.chaos.records import SettingsPut

if TYPE_CHECKING:
    from collections.abc import Sequence

_TIMEOUT = aiohttp.ClientTimeout(total=8.0)
_WEIGHT_STEP = 0.001
_FAILURES = (aiohttp.ClientError, TimeoutError)


async def race_for_branch(
    urls: Sequence[str], key: str, branch: str, number: int
) -> list[SettingsPut]:
    """Let one operator at each VM replace the same version of a branch.

    Args:
        urls: VMs that the operators use.
        key: The team's operator key.
        branch: Branch to change.
        number: Makes the written weights unique in the run.

    Returns:
        What each was told, nothing if the branch could not be read.
    """
    headers = {"Authorization": f"Bearer {key}"}
    async with aiohttp.ClientSession(timeout=_TIMEOUT, headers=headers) as session:
        try:
            found = await _get_json(session, f"{urls[0]}/admin/settings/{branch}")
        except _FAILURES:
            return []
        if "content" not in found:
            return []
        weights = [
            round(0.5 + _WEIGHT_STEP * (number * len(urls) + place), 6)
            for place in range(len(urls))
        ]
        return await asyncio.gather(
            *(
                _put(session, url, branch, found, weight)
                for url, weight in zip(urls, weights, strict=True)
            )
        )


async def read_versions(
    url: str, key: str, branches: Sequence[str]
) -> tuple[dict[str, int], dict[str, dict[int, float]]]:
    """Read versions and history of branches from the platform through a VM."""
    headers = {"Authorization": f"Bearer {key}"}
    async with aiohttp.ClientSession(timeout=_TIMEOUT, headers=headers) as session:
        index = await _get_json(session, f"{url}/admin/settings")
        history = {}
        for branch in branches:
            path = f"{url}/admin/settings/{branch}/history"
            found = await _get_json(session, path)
            history[branch] = {
                item["version"]: item["content"].get("team", {}).get("weight", 0.0)
                for item in found.get("versions", ())
            }
    return index["branches"], history


async def _put(
    session: aiohttp.ClientSession, url: str, branch: str, found: dict, weight: float
) -> SettingsPut:
    content = dict(found["content"])
    content["team"] = dict(content.get("team") or {}, weight=weight)
    expected = found["version"]
    request = session.put(
        f"{url}/admin/settings/{branch}",
        data=msgspec.json.encode(content),
        headers={"If-Match": str(expected)},
    )
    try:
        async with request as response:
            answer = await response.json(content_type=None)
            version = answer.get("version", -1) if response.status == 200 else -1
            return SettingsPut(branch, expected, weight, response.status, version)
    except _FAILURES:
        return SettingsPut(branch, expected, weight, 0)


async def _get_json(session: aiohttp.ClientSession, url: str) -> dict:
    async with session.get(url) as response:
        return await response.json(content_type=None)
