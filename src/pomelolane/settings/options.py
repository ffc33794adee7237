"""The options of ``pomelolane serve``: one table, read from flags and environment.

Flags, variables, the check at start and the table in the docs all come from
the fields of :class:`ServeOptions`.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from pomelolane.exceptions import SettingError
from pomelolane.settings.kinds import (
    EMBEDDED,
    Address,
    AddressMap,
    Choice,
    HexKey,
    HexKeys,
    Integer,
    IpAddress,
    Name,
    OptionKind,
    Path,
    PlatformAddress,
    Seed,
    Seeds,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pomelolane.model import Tree

VARIABLE_PREFIX = "POMELOLANE_"
CLIENT_VARIABLES = frozenset(
    {"POMELOLANE_URL", "POMELOLANE_KEY", "POMELOLANE_OPERATOR_KEYS"}
)
"""Variables of the client commands, which ``serve`` ignores."""

POLICIES = (
    "pomelolane",
    "round_robin",
    "least_reported",
    "gateway_queues",
    "single_queue",
)
LOG_LEVELS = ("debug", "info", "warning", "error")

_HIDDEN = "(hidden)"
_METADATA_KEY = "pomelolane.option"
_MAX_PORT = 65535
_MIB = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Option:
    """One setting of the process.

    Attributes:
        name: Field of :class:`ServeOptions`.
        kind: How a text is parsed and what is allowed.
        default: Default as a text, None where a value must be given.
        unit: Unit of the value, empty where it has none.
        help: One sentence for people.
        secret: Whether the value must never be printed.
    """

    name: str
    kind: OptionKind
    default: str | None
    unit: str
    help: str
    secret: bool

    @property
    def flag(self) -> str:
        """Return the flag, e.g. ``--peer-port``."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Return the environment variable, e.g. ``POMELOLANE_PEER_PORT``."""
        return VARIABLE_PREFIX + self.name.upper()


def _option(
    kind: OptionKind,
    help_text: str,
    *,
    default: str | None = "",
    unit: str = "",
    secret: bool = False,
) -> Any:
    option = Option("", kind, default, unit, help_text, secret)
    return field(metadata={_METADATA_KEY: option})


@dataclass(frozen=True, slots=True, kw_only=True)
class ServeOptions:
    """Checked options of one VM's process.

    An empty text, tuple or dictionary means that the option was left out.
    """

    vm_id: str = _option(Name(), "Unique id of this VM.", default=None)
    region: str = _option(Name(), "Region the VM belongs to.", default=None)
    data_centre: str = _option(
        Name(), "Data centre in which the VM stands.", default=None
    )
    host: str = _option(
        IpAddress(), "IP number to listen on, for callers and VMs.", default="127.0.0.1"
    )
    port: int = _option(
        Integer(0, _MAX_PORT),
        "Port of the HTTP interface; 0 takes a free one.",
        default="8080",
        unit="port",
    )
    peer_port: int = _option(
        Integer(0, _MAX_PORT),
        "Port for messages from other VMs; 0 takes a free one.",
        default="7400",
        unit="port",
    )
    advertise: str = _option(
        Address(), "Address at which other VMs reach this one; host:peer-port if empty."
    )
    seeds: tuple[Seed, ...] = _option(
        Seeds(), "VMs known from the start, as this VM reaches them."
    )
    address_map: Mapping[str, str] = _option(
        AddressMap(), "This VM's own routes to VMs or endpoints; goes before all else."
    )
    platform: str = _option(
        PlatformAddress(),
        "The platform's address; 'embedded' keeps everything in memory.",
        default=EMBEDDED,
    )
    tree: str = _option(
        Path(), "Directory of declarations to begin with where there are none yet."
    )
    private_key_hex: str = _option(
        HexKey(), "CURVE private key of this VM; empty: plain TCP.", secret=True
    )
    public_key_hex: str = _option(HexKey(), "CURVE public key of this VM.")
    cluster_keys: tuple[str, ...] = _option(
        HexKeys(), "CURVE public keys of the VMs that may connect, by VM id."
    )
    log_level: str = _option(
        Choice(LOG_LEVELS), "Least severe level that is logged.", default="info"
    )
    max_body_bytes: int = _option(
        Integer(1024, 1024 * _MIB, "bytes"),
        "Largest request body taken.",
        default=str(32 * _MIB),
        unit="bytes",
    )
    max_connections: int = _option(
        Integer(16, 1_000_000, "connections"),
        "Most open connections of all callers; keep it below the descriptors that "
        "the process may open.",
        default="2048",
        unit="connections",
    )
    max_held_bytes: int = _option(
        Integer(65536, 1024 * 1024 * _MIB, "bytes"),
        "Most memory for requests of all callers that are not answered yet; above "
        "the largest body.",
        default=str(256 * _MIB),
        unit="bytes",
    )
    header_timeout_ms: int = _option(
        Integer(100, 600_000, "milliseconds"),
        "Time allowed for a request's headers.",
        default="10000",
        unit="ms",
    )
    body_timeout_ms: int = _option(
        Integer(100, 3_600_000, "milliseconds"),
        "Time allowed for a request's body.",
        default="30000",
        unit="ms",
    )
    drain_grace_ms: int = _option(
        Integer(0, 600_000, "milliseconds"),
        "How long a stopping VM still takes new calls; keep it above the time "
        "in which the balancer notices /readyz.",
        default="5000",
        unit="ms",
    )
    drain_timeout_ms: int = _option(
        Integer(1000, 86_400_000, "milliseconds"),
        "Longest graceful stop; keep it above the longest deadline.",
        default="3600000",
        unit="ms",
    )
    policy: str = _option(
        Choice(POLICIES),
        "Placement policy; all but the first are baselines to measure against.",
        default=POLICIES[0],
    )


def _options_of(cls: type) -> tuple[Option, ...]:
    return tuple(
        dataclasses.replace(each.metadata[_METADATA_KEY], name=each.name)
        for each in dataclasses.fields(cls)
    )


OPTIONS: tuple[Option, ...] = _options_of(ServeOptions)
"""The table of options, in the order of the help page."""


def options_from_environment(
    argv_values: Mapping[str, str | None], environ: Mapping[str, str]
) -> ServeOptions:
    """Return checked options; a flag goes before its variable.

    Args:
        argv_values: Texts by field name; None or absent where not given.
        environ: The process's environment.

    Raises:
        SettingError: A value is not allowed, missing, or the variable unknown.
    """
    _refuse_unknown_variables(environ)
    values = {each.name: _value(each, argv_values, environ) for each in OPTIONS}
    _check_keys_together(values)
    _check_body_fits(values)
    return ServeOptions(**values)


def options_table_markdown() -> str:
    """Return the table of options for the docs."""
    lines = [
        "| Flag | Variable | Type | Unit | Default | Allowed | Meaning |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    lines += [_markdown_row(option) for option in OPTIONS]
    return "\n".join(lines) + "\n"


def check_region(options: ServeOptions, tree: Tree) -> None:
    """Check that a VM and the declarations are of the same region.

    Raises:
        SettingError: They are not.
    """
    if tree.region and options.region != tree.region:
        allowed = f"the declarations are for region {tree.region}"
        raise SettingError("--region", options.region, allowed)


def _value(
    option: Option, argv_values: Mapping[str, str | None], environ: Mapping[str, str]
) -> object:
    given = argv_values.get(option.name)
    text = environ.get(option.variable) if given is None else given
    if text is None:
        text = option.default
    if text is None:
        raise SettingError(option.flag, "", f"a value is required: {_allowed(option)}")
    if text == "" and option.default == "":
        return _empty(option)
    try:
        return option.kind.parse(text)
    except ValueError:
        shown = _HIDDEN if option.secret else text
        raise SettingError(option.flag, shown, _allowed(option)) from None


def _allowed(option: Option) -> str:
    return f"{option.kind.allowed} (or {option.variable})"


def _empty(option: Option) -> object:
    if isinstance(option.kind, AddressMap):
        return {}
    if isinstance(option.kind, Seeds | HexKeys):
        return ()
    return ""


def _refuse_unknown_variables(environ: Mapping[str, str]) -> None:
    known = {option.variable for option in OPTIONS} | CLIENT_VARIABLES
    for name in sorted(environ):
        if name.startswith(VARIABLE_PREFIX) and name not in known:
            allowed = "one of " + ", ".join(sorted(known))
            raise SettingError(name, _HIDDEN, f"no such variable; {allowed}")


def _check_keys_together(values: Mapping[str, object]) -> None:
    names = ("private_key_hex", "public_key_hex", "cluster_keys")
    given = [name for name in names if values[name]]
    if given and len(given) < len(names):
        missing = next(name for name in names if not values[name])
        flag = "--" + missing.replace("_", "-")
        raise SettingError(flag, "", "needed beside the other CURVE keys, or none")


def _check_body_fits(values: Mapping[str, Any]) -> None:
    held_bytes, body_bytes = values["max_held_bytes"], values["max_body_bytes"]
    if held_bytes <= body_bytes:
        allowed = f"above --max-body-bytes, {body_bytes}"
        raise SettingError("--max-held-bytes", str(held_bytes), allowed)


def _markdown_row(option: Option) -> str:
    default = "required" if option.default is None else option.default or "empty"
    cells = (
        f"`{option.flag}`",
        f"`{option.variable}`",
        option.kind.type_name,
        option.unit,
        f"`{default}`",
        option.kind.allowed,
        option.help,
    )
    return "| " + " | ".join(cells) + " |"
