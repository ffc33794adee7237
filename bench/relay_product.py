"""One real VM for the relay bench: its flags and the tree that it serves.

It has one engine with more slots than the bench fills, so that nothing waits.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

SERVICE = "bench"
KEY = "bench-key"
_SLOTS = 2000

_PLATFORM = """\
region: bench
tiers:
  - {name: standard, rank: 0}
team:
  operator_key_sha256: {digest}
"""

_TEAM = """\
team:
  operator_key_sha256: {digest}
organisations:
  - {name: bench, key_sha256: {digest}}
services:
  - name: bench
    kind: engine
    model: bench
    queue_limit: 1000
    works:
      - {name: chat, tier: standard, deadline_ms: 120000, output_tokens: 64}
endpoints:
  - endpoint_id: engine-1
    service: bench
    data_centre: dc
    address: {endpoint}
    slots: {slots}
    kv_tokens: 100000000
    prefill_tokens_per_s: 1000000
    decode_tokens_per_s: 40
"""


def write_tree(folder: Path, endpoint: str) -> None:
    """Write the declarations of one service with one endpoint."""
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    values = {"digest": digest, "endpoint": endpoint, "slots": str(_SLOTS)}
    for team, text in (("platform", _PLATFORM), ("bench", _TEAM)):
        for name, value in values.items():
            text = text.replace("{" + name + "}", value)
        path = folder / team / "team.yaml"
        path.parent.mkdir(parents=True)
        path.write_text(text)


def serve_flags(folder: Path, peer_port: int) -> tuple[str, ...]:
    """Return the flags of the VM, but for its port."""
    return (
        "--vm-id=vm-1",
        "--region=bench",
        "--data-centre=dc",
        f"--peer-port={peer_port}",
        f"--tree={folder}",
    )
