"""Addresses of other VMs, by precedence of their source.

A VM's address map overrides its seeds; both override addresses learnt from peers
and from the platform's list.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.addresses import checked_address

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from pomelolane.addresses import Seed


class AddressBook:
    """Maps VM ids to addresses.

    Args:
        seeds: VMs and addresses given in the settings.
        address_map: Addresses by VM id, which override all others.
    """

    def __init__(
        self, seeds: Sequence[Seed] = (), address_map: Mapping[str, str] | None = None
    ) -> None:
        self._fixed = {seed.vm_id: seed.address for seed in seeds}
        self._fixed.update(address_map or {})
        self._learnt: dict[str, str] = {}

    def learn(self, vm_id: str, address: str) -> None:
        """Store an address from a peer or the platform's list, if well formed."""
        try:
            self._learnt[vm_id] = checked_address(address)
        except ValueError:
            return

    def forget(self, vm_id: str) -> None:
        """Drop the learnt address of a VM."""
        self._learnt.pop(vm_id, None)

    def find(self, vm_id: str) -> str:
        """Return the VM's address, empty if none is known."""
        return self._fixed.get(vm_id) or self._learnt.get(vm_id, "")
