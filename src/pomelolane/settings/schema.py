"""The form of a branch: its sections, their keys, units and ranges.

The keys are the field names of :mod:`pomelolane.model`.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from pomelolane.addresses import checked_address
from pomelolane.model import ServiceKind
from pomelolane.settings.rules import Flag, Key, ListOf, MappingOf, Number, Text

if TYPE_CHECKING:
    from pomelolane.settings.documents import Document, DocumentPath

PLATFORM_BRANCH = "platform"
"""The branch that declares region and tiers for every team."""

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

_DAY_MS = 24 * 3600 * 1000
_MAX_RATE = 1_000_000_000
_MAX_TOKENS = 1_000_000_000

_NAME = Text(NAME_PATTERN, "1 to 63 letters, digits, '.', '_' or '-'")
_MODEL = Text(re.compile(r"[\x21-\x7e]{0,200}"), "a model name without spaces")
_DIGEST = Text(
    re.compile(r"[0-9a-f]{64}"),
    "the SHA-256 digest of the key as 64 lower-case hex digits",
    secret=True,
)
_KIND = Text(
    re.compile("|".join(ServiceKind)), "one of " + ", ".join(map(str, ServiceKind))
)
_SHARE = Number(0, 1, above_minimum=True)
_FLAG = Flag()


class _AddressRule:
    """An ``ip:port`` text."""

    def check(self, document: Document, path: DocumentPath, value: object) -> None:
        """Check the form."""
        try:
            checked_address(str(value))
        except ValueError:
            document.report(
                path, f"{value!r} is not allowed", "ip:port such as 10.0.0.5:8000"
            )


def _whole(minimum: int, maximum: int, unit: str) -> Number:
    return Number(minimum, maximum, unit, whole=True)


LIMITS = MappingOf(
    {
        "requests_per_s": Key(Number(0, _MAX_RATE, "requests a second")),
        "tokens_per_s": Key(Number(0, _MAX_RATE, "tokens a second")),
        "concurrency": Key(_whole(0, 1_000_000, "requests")),
    }
)

TIER = MappingOf(
    {
        "name": Key(_NAME, required=True),
        "rank": Key(_whole(0, 99, "rank (0 is the highest)"), required=True),
        "weight": Key(Number(0, 1_000_000)),
    }
)

WORK = MappingOf(
    {
        "name": Key(_NAME, required=True),
        "tier": Key(_NAME, required=True),
        "deadline_ms": Key(_whole(1, _DAY_MS, "milliseconds"), required=True),
        "idempotent": Key(_FLAG),
        "output_tokens": Key(_whole(1, _MAX_TOKENS, "tokens")),
        "async_allowed": Key(_FLAG),
    }
)

SERVICE = MappingOf(
    {
        "name": Key(_NAME, required=True),
        "kind": Key(_KIND, required=True),
        "works": Key(ListOf(WORK, least=1), required=True),
        "model": Key(_MODEL),
        "queue_limit": Key(_whole(1, 1_000_000, "waiting requests")),
    }
)

ENDPOINT = MappingOf(
    {
        "endpoint_id": Key(_NAME, required=True),
        "service": Key(_NAME, required=True),
        "data_centre": Key(_NAME, required=True),
        "address": Key(_AddressRule(), required=True),
        "slots": Key(_whole(1, 100_000, "requests")),
        "kv_tokens": Key(_whole(0, _MAX_TOKENS, "tokens")),
        "prefill_tokens_per_s": Key(
            Number(0, _MAX_RATE, "tokens a second", above_minimum=True)
        ),
        "decode_tokens_per_s": Key(
            Number(0, _MAX_RATE, "tokens a second", above_minimum=True)
        ),
        "generation": Key(_NAME),
        "honours_fencing": Key(_FLAG),
        "leaving": Key(_FLAG),
    }
)

ORGANISATION = MappingOf(
    {
        "name": Key(_NAME, required=True),
        "key_sha256": Key(_DIGEST, required=True),
        "weight": Key(_SHARE),
        "limits": Key(LIMITS),
        "services": Key(ListOf(_NAME)),
    }
)

TEAM = MappingOf(
    {
        "weight": Key(_SHARE),
        "limits": Key(LIMITS),
        "operator_key_sha256": Key(_DIGEST, required=True),
    }
)

TEAM_BRANCH = MappingOf(
    {
        "team": Key(TEAM, required=True),
        "services": Key(ListOf(SERVICE)),
        "endpoints": Key(ListOf(ENDPOINT)),
        "organisations": Key(ListOf(ORGANISATION)),
    }
)

PLATFORM = MappingOf(
    {
        "region": Key(_NAME, required=True),
        "tiers": Key(ListOf(TIER, least=1), required=True),
        "team": Key(
            MappingOf({"operator_key_sha256": Key(_DIGEST, required=True)}),
            required=True,
        ),
    }
)


def rule_of_branch(branch: str) -> MappingOf:
    """Return the form of a branch by its name."""
    return PLATFORM if branch == PLATFORM_BRANCH else TEAM_BRANCH
