"""Where other VMs are reached, in the order of precedence of the sources.

A VM's own address map wins over its seeds, and both win over what peers say.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.addresses import checked_address

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from pomelolane.addresses import Seed


class AddressBook:
    """Addresses of VMs by precedence of their source.

    Args:
        seeds: VMs known from the settings.
        address_map: This VM's own routes, which override everything.
    """

    def __init__(
        self, seeds: Sequence[Seed] = (), address_map: Mapping[str, str] | None = None
    ) -> None:
        self._fixed = {seed.vm_id: seed.address for seed in seeds}
        self._fixed.update(address_map or {})
        self._learnt: dict[str, str] = {}

    def learn(self, vm_id: str, address: str) -> None:
        """Remember what a peer or the platform's list says, if well formed."""
        try:
            self._learnt[vm_id] = checked_address(address)
        except ValueError:
            return

    def forget(self, vm_id: str) -> None:
        """Drop what was learnt about a VM."""
        self._learnt.pop(vm_id, None)

    def find(self, vm_id: str) -> str:
        """Return the VM's address, empty where none is known."""
        return self._fixed.get(vm_id) or self._learnt.get(vm_id, "")
