"""VMs that may be alive, and when to probe those that are silent.

They come from the settings, the platform's list, which lags behind, and digests and
heartbeats of peers. None of these proves that a VM is alive.
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
    refreshed_ms: float = 0.0
    next_probe_ms: float = 0.0
    interval_ms: float = PROBE_INTERVAL_MS


class Contacts:
    """VMs to probe, each at most once a second; the caller passes in the time.

    A listed machine that has never answered is probed with exponential backoff, since
    the platform's list also contains machines that do not belong to this system.

    Args:
        own_id: Id of this VM, which is never a contact.
        seeds: VMs given in the settings, which never expire.
        addresses: Address book that is updated along with the contacts.
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
        """Return whether an id is certainly that of a VM of this system."""
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
        """Add or refresh a contact; return whether it is new.

        Args:
            vm_id: Id of the VM.
            data_centre: Data centre of the VM.
            address: Its ``ip:port``.
            now_ms: Current time.
            certain: Whether it certainly belongs to this system.
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
        contact.refreshed_ms = now_ms
        return is_new

    def record_heard(self, vm_id: str, now_ms: float) -> None:
        """Record that a message of a VM arrived and end its probe backoff."""
        contact = self._contacts.get(vm_id)
        if contact is not None:
            contact.certain = True
            contact.refreshed_ms = now_ms
            contact.interval_ms = PROBE_INTERVAL_MS

    def data_centres(self) -> set[str]:
        """Return the data centres of all contacts."""
        return {contact.data_centre for contact in self._contacts.values()}

    def due_probes(
        self, data_centre: str, alive: Iterable[str], count: int, now_ms: float
    ) -> list[str]:
        """Return up to ``count`` VMs to probe now, the longest overdue first."""
        due = [
            (contact.next_probe_ms, vm_id)
            for vm_id, contact in self._contacts.items()
            if contact.data_centre == data_centre and contact.next_probe_ms <= now_ms
        ]
        skipped = set(alive)
        vm_ids = [vm_id for _, vm_id in sorted(due) if vm_id not in skipped]
        for vm_id in vm_ids[:count]:
            self._schedule_next_probe(self._contacts[vm_id], now_ms)
        return vm_ids[:count]

    def expire(self, now_ms: float) -> list[str]:
        """Drop and return contacts not refreshed in :data:`CONTACT_TIMEOUT_MS`."""
        old = [
            vm_id
            for vm_id, contact in self._contacts.items()
            if not contact.seed and now_ms - contact.refreshed_ms > CONTACT_TIMEOUT_MS
        ]
        for vm_id in old:
            del self._contacts[vm_id]
            self._addresses.forget(vm_id)
        return old

    def _schedule_next_probe(self, contact: _Contact, now_ms: float) -> None:
        contact.next_probe_ms = now_ms + contact.interval_ms
        if not contact.certain:
            contact.interval_ms = min(contact.interval_ms * 2, PROBE_INTERVAL_MAX_MS)
