"""An operator that reads and changes branches of the settings tree over HTTP.

It keeps what each call was answered with, so that proofs can compare it with
what is in force.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

if TYPE_CHECKING:
    from bench.vms import Vm

_TIMEOUT = aiohttp.ClientTimeout(total=10.0)
_CONFLICT = "version_conflict"
_WEIGHTS = (0.6, 0.3, 0.1)


@dataclass(frozen=True, slots=True)
class SettingsAnswer:
    """What a call to the settings interface was answered with.

    Attributes:
        status: HTTP status, 0 where no answer came.
        document: The JSON body.
    """

    status: int
    document: dict[str, Any] = field(default_factory=dict)

    @property
    def accepted(self) -> bool:
        """Whether a change was accepted."""
        return self.status == 200

    @property
    def conflicts(self) -> bool:
        """Whether a change was refused because of another version."""
        return self.status == 412 and self.document.get("reason") == _CONFLICT

    @property
    def version(self) -> int:
        """Version of the branch in the answer, accepted or in conflict."""
        if self.accepted:
            return self.document["version"]
        return self.document.get("current_version", -1)

    @property
    def content(self) -> dict[str, Any]:
        """Content of the branch in the answer."""
        return self.document["content"]


class Operator:
    """One operator with a bearer key; an asynchronous context manager.

    Args:
        key: The bearer key, empty to send none.
    """

    def __init__(self, key: str) -> None:
        self._headers = {"Authorization": f"Bearer {key}"} if key else {}
        self._session = aiohttp.ClientSession(timeout=_TIMEOUT)

    async def __aenter__(self) -> Operator:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._session.close()

    async def read(self, vm: Vm, branch: str) -> SettingsAnswer:
        """Read a branch as it is in the platform's table."""
        return await self._call("GET", f"{vm.url}/admin/settings/{branch}")

    async def history(self, vm: Vm, branch: str) -> SettingsAnswer:
        """Read the kept versions of a branch."""
        return await self._call("GET", f"{vm.url}/admin/settings/{branch}/history")

    async def change(
        self, vm: Vm, branch: str, content: dict[str, Any], version: int
    ) -> SettingsAnswer:
        """Replace a version of a branch."""
        return await self._call(
            "PUT",
            f"{vm.url}/admin/settings/{branch}",
            headers={"If-Match": str(version)},
            data=msgspec.json.encode(content),
        )

    async def _call(
        self, method: str, url: str, *, headers: dict[str, str] | None = None, **more
    ) -> SettingsAnswer:
        all_headers = self._headers | (headers or {})
        request = self._session.request(method, url, headers=all_headers, **more)
        try:
            async with request as response:
                return SettingsAnswer(response.status, await response.json())
        except (aiohttp.ClientError, TimeoutError):
            return SettingsAnswer(0)


def with_organisation(content: dict[str, Any], name: str, key: str) -> dict[str, Any]:
    """Return a branch whose organisations share with one named anew.

    It takes the place of the one that an earlier call added.
    """
    digest = hashlib.sha256(key.encode()).hexdigest()
    kept = content["organisations"][:2]
    added = {"name": name, "key_sha256": digest}
    organisations = [
        organisation | {"weight": weight}
        for organisation, weight in zip((*kept, added), _WEIGHTS, strict=True)
    ]
    return content | {"organisations": organisations}


async def knows_key(vm: Vm, key: str) -> bool:
    """Tell whether an organisation's bearer key is in force at a VM."""
    headers = {"Authorization": f"Bearer {key}"}
    url = f"{vm.url}/v1/jobs/none"
    try:
        async with (
            aiohttp.ClientSession(timeout=_TIMEOUT) as session,
            session.get(url, headers=headers) as response,
        ):
            return response.status == 404
    except (aiohttp.ClientError, TimeoutError):
        return False
