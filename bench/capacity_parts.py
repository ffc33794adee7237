"""Measures one part of a VM at one size, in a process that does nothing else.

``python -m bench.capacity_parts PART SIZE`` prints one line of JSON.
"""

from __future__ import annotations

import argparse
import gc
import hashlib
import sys
import time

import msgspec
import psutil

from pomelolane.defaults import BUILT_IN
from pomelolane.messages import Handle
from pomelolane.registry import PLACEMENT_POLICIES, lookup
from pomelolane.settings import tree_from_branches

_TEAMS = 10
_DIGEST = hashlib.sha256(b"operator").hexdigest()
_ENDPOINTS_A_SERVICE = 50
_TICKS = 40
_TICK_MS = 50.0
_LONG_MS = 3_600_000
_MIB = 1024.0 * 1024.0


class PartPoint(msgspec.Struct, frozen=True):
    """What one part needs at one size.

    Attributes:
        cpu_us: Processor time of the part's recurring or one-time work.
        rss_mb: Memory that it added to the process.
        bytes: Size on the wire, 0 where nothing is sent.
    """

    cpu_us: float
    rss_mb: float
    bytes: float = 0.0


def measure_organisations(size: int) -> PartPoint:
    """Compile a tree with many organisations."""
    return _measure_tree(organisations=size, endpoints=_TEAMS)


def measure_endpoints(size: int) -> PartPoint:
    """Compile a tree with many endpoints."""
    return _measure_tree(organisations=_TEAMS, endpoints=size)


def measure_queue(size: int) -> PartPoint:
    """Keep many handles waiting; the time is that of one tick."""
    assert BUILT_IN  # Importing them registers the policies.
    tree = tree_from_branches(_branches(organisations=_TEAMS, endpoints=_TEAMS))
    core = lookup(PLACEMENT_POLICIES, "pomelolane")("service-0")
    core.configure(tree, 0.0)
    before = _resident_mb()
    for number in range(size):
        core.submit(_handle(number), 0.0)
    added = _resident_mb() - before
    started = time.process_time()
    for number in range(_TICKS):
        core.tick((number + 1) * _TICK_MS)
    elapsed_s = time.process_time() - started
    handles = [_handle(number) for number in range(min(size, 100))]
    wire = sum(len(msgspec.msgpack.encode(handle)) for handle in handles)
    return PartPoint(elapsed_s / _TICKS * 1e6, added, wire / len(handles) * size)


def _measure_tree(organisations: int, endpoints: int) -> PartPoint:
    branches = _branches(organisations, endpoints)
    tree_from_branches(_branches(_TEAMS, _TEAMS))
    before = _resident_mb()
    started = time.process_time()
    tree = tree_from_branches(branches)
    elapsed_s = time.process_time() - started
    added = _resident_mb() - before
    if len(tree.organisations) != organisations:
        raise AssertionError("the tree is not whole")
    wire = sum(len(content) for content in branches.values())
    return PartPoint(elapsed_s * 1e6, added, wire)


def _branches(organisations: int, endpoints: int) -> dict[str, bytes]:
    documents: dict[str, dict] = {
        f"team-{number}": {
            "team": {"weight": 1.0 / _TEAMS, "operator_key_sha256": _DIGEST},
            "services": [],
            "endpoints": [],
            "organisations": [],
        }
        for number in range(_TEAMS)
    }
    services = max(1, endpoints // _ENDPOINTS_A_SERVICE)
    for number in range(services):
        team = documents[f"team-{number % _TEAMS}"]
        team["services"].append(_service(number))
    for number in range(endpoints):
        service = number % services
        team = documents[f"team-{service % _TEAMS}"]
        team["endpoints"].append(_endpoint(number, service))
    for number in range(organisations):
        team = documents[f"team-{number % _TEAMS}"]
        team["organisations"].append(_organisation(number, organisations))
    tiers = [{"name": f"tier-{rank}", "rank": rank} for rank in range(3)]
    team = {"operator_key_sha256": _DIGEST}
    platform = {"region": "measured", "tiers": tiers, "team": team}
    encoder = msgspec.json.Encoder(order="sorted")
    branches = {name: encoder.encode(data) for name, data in documents.items()}
    return branches | {"platform": encoder.encode(platform)}


def _service(number: int) -> dict:
    work = {"name": "work", "tier": "tier-1", "deadline_ms": _LONG_MS}
    return {
        "name": f"service-{number}",
        "kind": "engine",
        "model": "model",
        "queue_limit": 100_000,
        "works": [work],
    }


def _endpoint(number: int, service: int) -> dict:
    high, low = divmod(number, 200)
    return {
        "endpoint_id": f"endpoint-{number}",
        "service": f"service-{service}",
        "data_centre": f"dc-{number % 3}",
        "address": f"10.0.{high}.{low + 1}:8000",
        "slots": 8,
        "kv_tokens": 65536,
    }


def _organisation(number: int, count: int) -> dict:
    in_team = -(-count // _TEAMS)
    return {
        "name": f"organisation-{number}",
        "key_sha256": hashlib.sha256(str(number).encode()).hexdigest(),
        "weight": 1.0 / in_team,
    }


def _handle(number: int) -> Handle:
    team = number % _TEAMS
    return Handle(
        request_id=f"{number:032x}",
        service="service-0",
        work="work",
        tier_rank=number % 3,
        organisation=f"organisation-{team}",
        team=f"team-{team}",
        budget_ms=_LONG_MS,
        prefill_tokens=500,
        decode_tokens=100,
        prefix_hashes=(number, number + 1),
        data_centre="dc-0",
    )


def _resident_mb() -> float:
    gc.collect()
    return psutil.Process().memory_info().rss / _MIB


PARTS = {
    "organisations": measure_organisations,
    "endpoints": measure_endpoints,
    "queue": measure_queue,
}


def main() -> int:
    """Measure one part at one size."""
    parser = argparse.ArgumentParser("python -m bench.capacity_parts")
    parser.add_argument("part", choices=sorted(PARTS))
    parser.add_argument("size", type=int)
    options = parser.parse_args()
    point = PARTS[options.part](options.size)
    print(msgspec.json.encode(point).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
