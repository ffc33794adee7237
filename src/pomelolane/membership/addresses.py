"""Where other VMs are reached: parsing of the flags and the order of sources.

A VM's own address map wins over its seeds, and both win over what peers say.
"""

from __future__ import annotations

from dataclasses import dataclass

from pomelolane.exceptions import SettingError

_SEEDS_ALLOWED = "a comma-separated list of vm=data_centre=ip:port"
_MAP_ALLOWED = "a comma-separated list of id=ip:port"
_MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Seed:
    """A VM known from the settings.

    Attributes:
        vm_id: The VM.
        data_centre: Where it stands.
        address: ``ip:port`` of its inter-VM interface as reached from here.
    """

    vm_id: str
    data_centre: str
    address: str


def is_address(text: str) -> bool:
    """Tell whether ``text`` reads ``ip:port``."""
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and int(port) <= _MAX_PORT


def seeds_from_flag(text: str) -> tuple[Seed, ...]:
    """Parse the value of ``--seeds``.

    Raises:
        SettingError: An item does not read ``vm=data_centre=ip:port``.
    """
    return tuple(_seed_from_item(item) for item in _items(text))


def address_map_from_flag(text: str) -> dict[str, str]:
    """Parse the value of ``--address-map``.

    Raises:
        SettingError: An item does not read ``id=ip:port``.
    """
    routes: dict[str, str] = {}
    for item in _items(text):
        name, _, address = item.partition("=")
        if not name or not is_address(address):
            raise SettingError("--address-map", item, _MAP_ALLOWED)
        routes[name] = address
    return routes


def _items(text: str) -> list[str]:
    return [item.strip() for item in text.split(",") if item.strip()]


def _seed_from_item(item: str) -> Seed:
    parts = item.split("=")
    if len(parts) != 3 or not all(parts) or not is_address(parts[2]):
        raise SettingError("--seeds", item, _SEEDS_ALLOWED)
    return Seed(*parts)


class AddressBook:
    """Addresses of VMs by precedence of their source.

    Args:
        seeds: VMs known from the settings.
        address_map: This VM's own routes, which override everything.
    """

    def __init__(
        self, seeds: tuple[Seed, ...] = (), address_map: dict[str, str] | None = None
    ) -> None:
        self._fixed = {seed.vm_id: seed.address for seed in seeds}
        self._fixed.update(address_map or {})
        self._learnt: dict[str, str] = {}

    def learn(self, vm_id: str, address: str) -> None:
        """Remember an address that a peer or the platform's list gave."""
        if is_address(address):
            self._learnt[vm_id] = address

    def forget(self, vm_id: str) -> None:
        """Drop what was learnt about a VM."""
        self._learnt.pop(vm_id, None)

    def find(self, vm_id: str) -> str:
        """Return the VM's address, empty where none is known."""
        return self._fixed.get(vm_id) or self._learnt.get(vm_id, "")
