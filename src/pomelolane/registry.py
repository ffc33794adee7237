"""The kernel's registries: plain dictionaries that plug-ins fill.

A plug-in module registers itself on import; ``pomelolane.defaults`` imports
the built-in ones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from pomelolane.exceptions import RegistryError

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

_T = TypeVar("_T")

ENDPOINT_ADAPTERS: dict[str, Callable[..., Any]] = {}
"""Factories of endpoint adapters by service kind."""

PLACEMENT_POLICIES: dict[str, Callable[..., Any]] = {}
"""Factories of placement policies by name."""


def register(registry: dict[str, _T], name: str) -> Callable[[_T], _T]:
    """Return a decorator that puts a factory into a registry.

    Raises:
        RegistryError: The name is taken.
    """

    def decorate(factory: _T) -> _T:
        if name in registry:
            raise RegistryError(f"{name!r} is registered already")
        registry[name] = factory
        return factory

    return decorate


def lookup(registry: dict[str, _T], name: str) -> _T:
    """Return a registered factory.

    Raises:
        RegistryError: Nothing is registered under the name.
    """
    try:
        return registry[name]
    except KeyError:
        known = ", ".join(sorted(registry)) or "none"
        raise RegistryError(f"{name!r} is not registered; known: {known}") from None
