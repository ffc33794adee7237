"""The status report of one VM: what ``GET /status`` answers.

The server fills it, ``pomelolane status`` and the status page show it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from pomelolane.exceptions import TransportError


@dataclass(frozen=True, slots=True)
class VmReport:
    """The reporting VM itself.

    Attributes:
        id: The VM.
        data_centre: Where it stands.
        region: Its region.
        incarnation: Number of its current start.
        ready: Whether it takes callers.
        draining: Whether it is stopping.
        version: Version of the program.
    """

    id: str
    data_centre: str
    region: str
    incarnation: int
    ready: bool
    draining: bool
    version: str


@dataclass(frozen=True, slots=True)
class PeerReport:
    """A VM in the reporting VM's view.

    Attributes:
        id: The VM.
        data_centre: Where it stands.
        incarnation: Number of its current start.
        address: ``ip:port`` of its inter-VM interface.
        draining: Whether it is stopping.
    """

    id: str
    data_centre: str
    incarnation: int
    address: str
    draining: bool = False


@dataclass(frozen=True, slots=True)
class RolesReport:
    """Roles as this VM sees them.

    Attributes:
        delegate: Whether this VM speaks for its data centre.
        services: Scheduling VM by service.
    """

    delegate: bool = False
    services: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """An endpoint with its observed speeds.

    Attributes:
        id: The endpoint.
        service: Its service.
        data_centre: Where it stands.
        state: ``ready``, ``leaving`` or ``down``.
        slots: Requests it batches at one time.
        in_flight: Requests granted and not finished.
        prefill_tokens_per_s: Observed prompt speed.
        decode_tokens_per_s: Observed answer speed of one stream.
        straggling: Whether it gets probes only.
    """

    id: str
    service: str
    data_centre: str
    state: str
    slots: int
    in_flight: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    straggling: bool


@dataclass(frozen=True, slots=True)
class StatusReport:
    """Everything that one VM knows of the system.

    Attributes:
        vm: The VM itself.
        peers: VMs in its view.
        roles: Roles as it sees them.
        endpoints: Endpoints of the tree in force.
        queues: Waiting requests by service and tier.
        settings: Version in force by branch.
        counters: Totals since the start by name.
    """

    vm: VmReport
    peers: tuple[PeerReport, ...] = ()
    roles: RolesReport = field(default_factory=RolesReport)
    endpoints: tuple[EndpointReport, ...] = ()
    queues: dict[str, dict[str, int]] = field(default_factory=dict)
    settings: dict[str, int] = field(default_factory=dict)
    counters: dict[str, float] = field(default_factory=dict)


_decoder = msgspec.json.Decoder(StatusReport)


def encode_report(report: StatusReport) -> bytes:
    """Encode a report as JSON."""
    return msgspec.json.encode(report)


def decode_report(data: bytes) -> StatusReport:
    """Decode and check a report; unknown members are ignored.

    Raises:
        TransportError: The bytes are no report.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise TransportError(f"undecodable status report: {error}") from error
