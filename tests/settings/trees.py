"""A small tree on disk for the scenarios to break.

It has a platform branch and the teams fleet and quota.
"""

from __future__ import annotations

import hashlib
import json
import tempfile
from pathlib import Path

import msgspec

from pomelolane.settings import branch_content_from_directory

DIGEST = "a" * 63

PLATFORM_YAML = f"""\
region: here
tiers:
  - name: urgent
    rank: 0
  - name: slow
    rank: 1
team:
  operator_key_sha256: {DIGEST}0
"""

FLEET_YAML = f"""\
team:
  weight: 0.5
  limits:
    concurrency: 10
  operator_key_sha256: {DIGEST}1
services:
  - name: asker
    kind: engine
    model: m
    works:
      - name: ask
        tier: urgent
        deadline_ms: 500
endpoints:
  - endpoint_id: e1
    service: asker
    data_centre: d
    address: 127.0.0.1:1
    slots: 4
    kv_tokens: 1000
organisations:
  - name: boats
    key_sha256: {DIGEST}2
    weight: 0.9
    limits:
      concurrency: 5
    services:
      - asker
  - name: nets
    key_sha256: {DIGEST}3
    weight: 0.1
"""

QUOTA_YAML = f"""\
team:
  weight: 0.5
  operator_key_sha256: {DIGEST}4
services:
  - name: ledger
    kind: plain
    works:
      - name: record
        tier: slow
        deadline_ms: 700
"""


def make_settings_directory(context) -> Path:
    """Write a small valid tree into a directory that the scenario removes."""
    holder = tempfile.TemporaryDirectory()
    context.add_cleanup(holder.cleanup)
    root = Path(holder.name)
    files = {
        "platform/p.yaml": PLATFORM_YAML,
        "fleet/t.yaml": FLEET_YAML,
        "quota/q.yaml": QUOTA_YAML,
    }
    for name, text in files.items():
        (root / name).parent.mkdir(exist_ok=True)
        (root / name).write_text(text)
    return root


def operator_key(team: str) -> str:
    """Return the operator's key that the scenarios use for a team."""
    return f"key-{team}"


def make_operated_contents(context) -> dict[str, bytes]:
    """Return the tree's branches, opened by the scenarios' operator keys."""
    contents = branch_content_from_directory(make_settings_directory(context))
    changed = {}
    for branch, content in contents.items():
        data = json.loads(content)
        digest = hashlib.sha256(operator_key(branch).encode()).hexdigest()
        data["team"]["operator_key_sha256"] = digest
        changed[branch] = msgspec.json.encode(data, order="sorted")
    return changed
