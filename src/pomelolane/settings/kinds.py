"""Kinds of option values: each parses one text and says what it allows.

Flags and environment variables share them, so that both are checked alike.
"""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import urlsplit

from pomelolane.addresses import Seed, checked_address

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_DIGITS = re.compile(r"[0-9]{1,18}")
_KEY = re.compile(r"[0-9a-fA-F]{64}")

EMBEDDED = "embedded"
"""Value of ``--platform`` that keeps table and objects in memory."""


class OptionKind(Protocol):
    """One kind of value."""

    type_name: str

    @property
    def allowed(self) -> str:
        """Return what is allowed, in words."""

    def parse(self, text: str) -> object:
        """Return the typed value.

        Raises:
            ValueError: The text is not allowed.
        """


@dataclass(frozen=True, slots=True)
class Integer:
    """A whole number within a range.

    Attributes:
        minimum: Least value allowed.
        maximum: Greatest value allowed.
        unit: Unit in words, e.g. ``milliseconds``.
    """

    minimum: int
    maximum: int
    unit: str = ""
    type_name = "integer"

    @property
    def allowed(self) -> str:
        """Return the range with its unit."""
        unit = f" of {self.unit}" if self.unit else ""
        return f"a whole number{unit} from {self.minimum} to {self.maximum}"

    def parse(self, text: str) -> int:
        """Return the number."""
        number = int(_checked(_DIGITS, text))
        if not self.minimum <= number <= self.maximum:
            raise ValueError(text)
        return number


@dataclass(frozen=True, slots=True)
class Choice:
    """One of a few words.

    Attributes:
        words: The words allowed.
    """

    words: tuple[str, ...]
    type_name = "word"

    @property
    def allowed(self) -> str:
        """Return the words."""
        return "one of " + ", ".join(self.words)

    def parse(self, text: str) -> str:
        """Return the word."""
        if text not in self.words:
            raise ValueError(text)
        return text


@dataclass(frozen=True, slots=True)
class Name:
    """An identifier of a VM, data centre or region."""

    type_name = "name"

    @property
    def allowed(self) -> str:
        """Return the alphabet."""
        return "1 to 63 letters, digits, '.', '_' or '-', beginning with none of '._-'"

    def parse(self, text: str) -> str:
        """Return the name."""
        return _checked(_NAME, text)


@dataclass(frozen=True, slots=True)
class IpAddress:
    """An IP number."""

    type_name = "ip"

    @property
    def allowed(self) -> str:
        """Return the form."""
        return "an IP number such as 127.0.0.1 or ::1, no host name"

    def parse(self, text: str) -> str:
        """Return the number in its usual form."""
        return str(ipaddress.ip_address(text))


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number with a port; empty where the option may be left out."""

    type_name = "ip:port"

    @property
    def allowed(self) -> str:
        """Return the form."""
        return "ip:port such as 127.0.0.1:7400, IP numbers only, port 1 to 65535"

    def parse(self, text: str) -> str:
        """Return the address."""
        return checked_address(text)


@dataclass(frozen=True, slots=True)
class AddressMap:
    """Pairs of an id and the address at which it is reached."""

    type_name = "id=ip:port,…"

    @property
    def allowed(self) -> str:
        """Return the form."""
        return "id=ip:port pairs parted by commas, each id once"

    def parse(self, text: str) -> dict[str, str]:
        """Return the addresses by id."""
        pairs = [_parts(item, 2) for item in _items(text)]
        addresses = {
            _checked(_NAME, key): checked_address(value) for key, value in pairs
        }
        if len(addresses) != len(pairs):
            raise ValueError(text)
        return addresses


@dataclass(frozen=True, slots=True)
class Seeds:
    """VMs that are known from the start."""

    type_name = "vm=dc=ip:port,…"

    @property
    def allowed(self) -> str:
        """Return the form."""
        return "vm=data-centre=ip:port triples parted by commas, each VM once"

    def parse(self, text: str) -> tuple[Seed, ...]:
        """Return the seeds in the order given."""
        seeds = tuple(_seed(item) for item in _items(text))
        if len({seed.vm_id for seed in seeds}) != len(seeds):
            raise ValueError(text)
        return seeds


@dataclass(frozen=True, slots=True)
class HexKey:
    """A CURVE key of 32 bytes as 64 hex digits."""

    type_name = "hex key"

    @property
    def allowed(self) -> str:
        """Return the form."""
        return "64 hex digits (a CURVE key of 32 bytes)"

    def parse(self, text: str) -> str:
        """Return the digits in lower case."""
        return _checked(_KEY, text).lower()


@dataclass(frozen=True, slots=True)
class HexKeys:
    """The CURVE public keys of the VMs of a cluster, by VM id."""

    type_name = "vm=hex key,…"

    @property
    def allowed(self) -> str:
        """Return the form."""
        return (
            "vm=KEY pairs parted by commas, keys of 64 hex digits; "
            "a KEY alone stands for every VM that is not named"
        )

    def parse(self, text: str) -> tuple[str, ...]:
        """Return the checked pairs with the keys in lower case."""
        parts = [item.rpartition("=") for item in _items(text)]
        names = [_checked(_NAME, name) if name else "" for name, _, _ in parts]
        if len(set(names)) != len(names):
            raise ValueError(text)
        keys = [_checked(_KEY, key).lower() for _, _, key in parts]
        pairs = zip(names, keys, strict=True)
        return tuple(f"{name}={key}" if name else key for name, key in pairs)


@dataclass(frozen=True, slots=True)
class PlatformAddress:
    """Where the platform's table, objects and list are."""

    type_name = "url"

    @property
    def allowed(self) -> str:
        """Return the form."""
        return f"'{EMBEDDED}' or an http(s):// URL whose host is an IP number"

    def parse(self, text: str) -> str:
        """Return the URL without a trailing slash, or the word."""
        if text == EMBEDDED:
            return text
        url = urlsplit(text)
        if url.scheme not in ("http", "https") or url.username or url.query:
            raise ValueError(text)
        ipaddress.ip_address(url.hostname or "")
        _ = url.port
        return text.rstrip("/")


@dataclass(frozen=True, slots=True)
class Path:
    """A path of this machine, not looked at while options are read."""

    type_name = "path"

    @property
    def allowed(self) -> str:
        """Return the form."""
        return "a path"

    def parse(self, text: str) -> str:
        """Return the path."""
        if "\0" in text:
            raise ValueError(text)
        return text


def _items(text: str) -> list[str]:
    return [item.strip() for item in text.split(",") if item.strip()]


def _parts(item: str, count: int) -> list[str]:
    parts = item.split("=")
    if len(parts) != count:
        raise ValueError(item)
    return parts


def _checked(pattern: re.Pattern[str], text: str) -> str:
    if not pattern.fullmatch(text):
        raise ValueError(text)
    return text


def _seed(item: str) -> Seed:
    vm_id, data_centre, address = _parts(item, 3)
    return Seed(
        _checked(_NAME, vm_id), _checked(_NAME, data_centre), checked_address(address)
    )
