"""VMs that might be alive: whom to try where nobody is heard.

They come from the settings, from the platform's lagging list and from what
peers say; none of these is an authority on who lives.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pomelolane.addresses import Seed
    from pomelolane.membership.addresses import AddressBook

PROBE_INTERVAL_MS = 1000.0
PROBE_INTERVAL_MAX_MS = 30_000.0
CONTACT_TIMEOUT_MS = 600_000.0


@dataclass(slots=True)
class _Contact:
    data_centre: str
    seed: bool
    certain: bool
    since_ms: float = 0.0
    next_probe_ms: float = 0.0
    interval_ms: float = PROBE_INTERVAL_MS


class Contacts:
    """VMs to try, each at most once a second; pure, time is passed in.

    A VM that never answered is tried ever less often, since the platform's
    list also holds machines that are no VMs of this system.

    Args:
        own_id: This VM, never a contact.
        seeds: VMs known from the settings, never forgotten.
        addresses: Where their addresses are kept.
    """

    def __init__(
        self, own_id: str, seeds: Sequence[Seed], addresses: AddressBook
    ) -> None:
        self._own_id = own_id
        self._addresses = addresses
        self._contacts = {
            seed.vm_id: _Contact(seed.data_centre, seed=True, certain=True)
            for seed in seeds
            if seed.vm_id != own_id
        }

    def __len__(self) -> int:
        return len(self._contacts)

    def is_vm(self, vm_id: str) -> bool:
        """Tell whether an id is for sure that of a VM."""
        contact = self._contacts.get(vm_id)
        return contact is not None and contact.certain

    def learn(
        self,
        vm_id: str,
        data_centre: str,
        address: str,
        now_ms: float,
        *,
        certain: bool = True,
    ) -> bool:
        """Remember a VM that somebody speaks of; tell whether it is new here.

        Args:
            vm_id: The VM.
            data_centre: Where it stands.
            address: Its ``ip:port``.
            now_ms: Current time.
            certain: Whether it is a VM of this system for sure.
        """
        if vm_id == self._own_id or not address:
            return False
        self._addresses.learn(vm_id, address)
        contact = self._contacts.get(vm_id)
        is_new = contact is None
        if contact is None:
            contact = _Contact(data_centre, seed=False, certain=certain)
            self._contacts[vm_id] = contact
        contact.certain = contact.certain or certain
        contact.since_ms = now_ms
        return is_new

    def heard(self, vm_id: str, now_ms: float) -> None:
        """Take note of a sign of life."""
        contact = self._contacts.get(vm_id)
        if contact is not None:
            contact.certain = True
            contact.since_ms = now_ms
            contact.interval_ms = PROBE_INTERVAL_MS

    def data_centres(self) -> set[str]:
        """Return all data centres that are heard of."""
        return {contact.data_centre for contact in self._contacts.values()}

    def due(
        self, data_centre: str, alive: Iterable[str], count: int, now_ms: float
    ) -> list[str]:
        """Return VMs to try now, least recently tried first."""
        silent = [
            (contact.next_probe_ms, vm_id)
            for vm_id, contact in self._contacts.items()
            if contact.data_centre == data_centre and contact.next_probe_ms <= now_ms
        ]
        skipped = set(alive)
        names = [vm_id for _, vm_id in sorted(silent) if vm_id not in skipped]
        for vm_id in names[:count]:
            self._note_probe(self._contacts[vm_id], now_ms)
        return names[:count]

    def expire(self, now_ms: float) -> list[str]:
        """Forget VMs of which nobody has spoken for long; return them."""
        old = [
            vm_id
            for vm_id, contact in self._contacts.items()
            if not contact.seed and now_ms - contact.since_ms > CONTACT_TIMEOUT_MS
        ]
        for vm_id in old:
            del self._contacts[vm_id]
            self._addresses.forget(vm_id)
        return old

    def _note_probe(self, contact: _Contact, now_ms: float) -> None:
        contact.next_probe_ms = now_ms + contact.interval_ms
        if not contact.certain:
            contact.interval_ms = min(contact.interval_ms * 2, PROBE_INTERVAL_MAX_MS)
