"""A checked call as bytes, for a job that any VM may run later.

It is rebuilt under the settings tree that is in force when the job runs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from pomelolane.exceptions import PomelolaneError
from pomelolane.gateway.intake import Call
from pomelolane.model import Organisation

if TYPE_CHECKING:
    from pomelolane.model import Tree


class StoredCall(msgspec.Struct, frozen=True):
    """What is kept of a call; fields as in :class:`~..intake.Call`."""

    organisation: str
    team: str
    service: str
    work: str
    idempotent: bool
    key: str
    streamed: bool
    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    prefill_tokens: int
    decode_tokens: int
    prefix_hashes: tuple[int, ...]
    digest: str


class UnknownServiceError(PomelolaneError):
    """The stored call names a service or work that is no longer declared."""


def encode_call(call: Call) -> bytes:
    """Encode a call for the object store."""
    stored = StoredCall(
        organisation=call.organisation.name,
        team=call.organisation.team,
        service=call.service.name,
        work=call.work.name,
        idempotent=call.idempotent,
        key=call.key,
        streamed=call.streamed,
        method=call.method,
        path=call.path,
        headers=call.headers,
        body=call.body,
        prefill_tokens=call.prefill_tokens,
        decode_tokens=call.decode_tokens,
        prefix_hashes=call.prefix_hashes,
        digest=call.digest,
    )
    return msgspec.msgpack.encode(stored)


def call_from_stored(
    data: bytes, tree: Tree, request_id: str, deadline_ms: int
) -> Call:
    """Rebuild a call under the tree in force.

    Raises:
        UnknownServiceError: Its service or work is gone.
    """
    stored = msgspec.msgpack.decode(data, type=StoredCall)
    service = tree.services.get(stored.service)
    work = service.works.get(stored.work) if service else None
    if service is None or work is None:
        raise UnknownServiceError(f"{stored.service}/{stored.work}")
    organisation = tree.organisations.get(
        stored.organisation, Organisation(stored.organisation, stored.team, "")
    )
    return Call(
        request_id=request_id,
        organisation=organisation,
        service=service,
        work=work,
        tier_rank=tree.tiers[work.tier].rank,
        deadline_ms=deadline_ms,
        idempotent=stored.idempotent,
        key=stored.key,
        respond_async=False,
        streamed=stored.streamed,
        method=stored.method,
        path=stored.path,
        headers=stored.headers,
        body=stored.body,
        prefill_tokens=stored.prefill_tokens,
        decode_tokens=stored.decode_tokens,
        prefix_hashes=stored.prefix_hashes,
        digest=stored.digest,
    )
