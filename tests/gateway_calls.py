"""Checked calls as the gateway's intake makes them."""

from __future__ import annotations

from pomelolane.gateway.intake import Call
from pomelolane.model import Organisation, Service, ServiceKind, Work


def make_call(
    number,
    *,
    organisation="o",
    key="",
    idempotent=False,
    streamed=True,
    digest="",
):
    """Make a call of an organisation to the service "chat"."""
    work = Work("w", "top", 5000)
    service = Service("chat", "t", ServiceKind.ENGINE, {"w": work})
    return Call(
        f"r{number}",
        Organisation(organisation, "t", ""),
        service,
        work,
        tier_rank=0,
        deadline_ms=5000,
        idempotent=idempotent,
        key=key,
        respond_async=False,
        streamed=streamed,
        method="POST",
        path="/",
        headers=(),
        body=b"{}",
        prefill_tokens=1,
        decode_tokens=1,
        prefix_hashes=(),
        digest=digest,
    )
