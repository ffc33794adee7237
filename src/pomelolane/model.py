"""What operators declare: tiers, services, endpoints, teams, organisations.

A :class:`Tree` is the checked whole, compiled from all teams' branches.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class ServiceKind(StrEnum):
    """How a service's endpoints are spoken to."""

    ENGINE = "engine"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True)
class Tier:
    """A class of urgency; rank 0 is the highest.

    Attributes:
        name: Unique name.
        rank: 0 is served first and refused last.
        weight: Worth of one useful answer in reports, not used to schedule.
    """

    name: str
    rank: int
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Work:
    """A kind of work that a service does, named by callers in ``X-Work``.

    Attributes:
        name: Unique within the service.
        tier: Name of its tier.
        deadline_ms: Default time allowed from acceptance to the last byte.
        idempotent: Whether a failed attempt may be repeated.
        output_tokens: Expected answer length before any was observed.
        async_allowed: Whether ``Prefer: respond-async`` is honoured.
    """

    name: str
    tier: str
    deadline_ms: int
    idempotent: bool = False
    output_tokens: int = 64
    async_allowed: bool = False


@dataclass(frozen=True, slots=True)
class Limits:
    """Upper bounds of a team or organisation; 0 means unlimited.

    Attributes:
        requests_per_s: Admitted requests a second.
        tokens_per_s: Admitted prompt and answer tokens a second.
        concurrency: Requests running at one time.
        burst_tokens: Tokens admitted at once after a pause; 0 stands for one
            second's.
        window_ms: Where set, the rate and burst bound what any span of this
            length may hold, instead of filling a bucket.
        window_spare: Tokens that several schedulers may let pass beyond that
            bound together.
    """

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    concurrency: int = 0
    burst_tokens: float = 0.0
    window_ms: int = 0
    window_spare: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """A routable name with endpoints behind it.

    Attributes:
        name: Unique over the tree; callers give it as ``model`` or in the path.
        team: Owning team.
        kind: Engine or plain service.
        works: Kinds of work by name; the first is the default.
        model: Model that the engines must have loaded, empty for plain.
        queue_limit: Handles that may wait at one time.
        kv_tokens: KV cache size of its engines where endpoints do not say.
    """

    name: str
    team: str
    kind: ServiceKind
    works: dict[str, Work]
    model: str = ""
    queue_limit: int = 1000
    kv_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One worker of a service.

    Attributes:
        endpoint_id: Unique over the tree.
        service: Service it serves.
        data_centre: Where it stands.
        address: ``ip:port`` of its HTTP interface.
        slots: Requests it batches at one time.
        kv_tokens: KV cache size in tokens, 0 for plain services.
        prefill_tokens_per_s: Declared prompt speed, a prior for observation.
        decode_tokens_per_s: Declared answer speed of one stream, a prior.
        generation: Hardware generation, e.g. ``g1``.
        honours_fencing: Whether it refuses orders with an old fencing number.
        leaving: Whether the operator has marked it as leaving.
        born_ms: When its process started, by its own clock; 0 where it does not say.
            Another moment means another start, which holds and knows nothing of
            the earlier one.
        version: Version of its software, empty where it does not say.
        takes_resumed: Whether it still takes requests that go on with a stream of its
            version, though it is marked as leaving.
    """

    endpoint_id: str
    service: str
    data_centre: str
    address: str
    slots: int = 8
    kv_tokens: int = 0
    prefill_tokens_per_s: float = 4000.0
    decode_tokens_per_s: float = 40.0
    generation: str = "g1"
    honours_fencing: bool = False
    leaving: bool = False
    born_ms: int = 0
    version: str = ""
    takes_resumed: bool = False


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer, recognised by a bearer key.

    Attributes:
        name: Unique over the tree.
        team: Team whose branch declares it.
        key_sha256: Hex digest of its bearer key; the key itself is never kept.
        weight: Share against the other organisations of its team.
        limits: Bounds of its own.
        services: Services that it may call; empty means all.
    """

    name: str
    team: str
    key_sha256: str
    weight: float = 1.0
    limits: Limits = field(default_factory=Limits)
    services: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Team:
    """One branch of the settings tree.

    Attributes:
        name: Unique; also the branch's name.
        weight: Share against the other teams.
        limits: Bounds over all of its organisations together.
        operator_key_sha256: Digest of the key that may change the branch.
    """

    name: str
    weight: float = 1.0
    limits: Limits = field(default_factory=Limits)
    operator_key_sha256: str = ""


@dataclass(frozen=True, slots=True)
class Tree:
    """The whole compiled settings tree.

    Attributes:
        region: Region it is for.
        tiers: By name.
        teams: By name.
        services: By name.
        endpoints: By id.
        organisations: By name.
        versions: Version of each branch it was compiled from.
    """

    region: str = ""
    tiers: dict[str, Tier] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    organisations: dict[str, Organisation] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
