"""The configuration of a run, and changes of it that callers need not notice."""

from __future__ import annotations

import json
import time
from collections import deque
from itertools import count
from typing import TYPE_CHECKING, Any

from bench.soak.callers import EXTRA_PATH, KEY, KEYED_PATH
from bench.soak.evidence import Word

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

HOST = "soak.example"
TIMEOUTS_MS = (2500, 3000, 3500)
_OTHER_KEY = "soak-other-key"
_STEP = 3
_KEPT = 5
"""Number of routes, and of keys, that were added and not dropped yet."""

_RECENT = 20
_SPLIT = [{"service": "portal", "weight": 3}, {"service": "annex", "weight": 1}]
_ROUTES = {
    "plain": ("/plain/", "idempotent", "portal", {"attempts": 2}),
    "file": ("/plain/file/", "non_idempotent", "portal", {}),
    "chat": ("/chat/", "streaming", "pool", {"targetGapMs": 400}),
    "help": (
        "/help/",
        "streaming",
        "pool",
        {"targetGapMs": 400, "resumable": True, "attempts": 2},
    ),
    "keyed": (KEYED_PATH, "idempotent", "portal", {"public": False}),
}
_EXTRA = (EXTRA_PATH, "idempotent", "portal", {})


class Configuration:
    """What the operator has written last.

    Args:
        write: Writes a document to the store, which confirms it at once.

    Attributes:
        grants: When lines of requests were allowed, the latest span last.
    """

    def __init__(self, write: Callable[[bytes], object]) -> None:
        self._write = write
        self._names = count(1)
        self._added: dict[str, deque[str]] = {"route": deque(), "key": deque()}
        self._services: dict[str, dict[str, Any]] = {}
        self.grants: dict[str, list[Word]] = {}
        self._version = 1
        self._timeout_ms = 3000
        self._has_extra = False
        self._keys = [KEY]

    def change(self, draw: random.Random) -> list[str]:
        """Change one thing, write the next version and return lines that it affects."""
        self._version += draw.randint(1, _STEP)
        match draw.randrange(8):
            case 0:
                self._timeout_ms = draw.choice(TIMEOUTS_MS)
            case 1:
                self._keys = draw.choice(([KEY], [KEY, _OTHER_KEY], [_OTHER_KEY]))
            case 2:
                self._has_extra = not self._has_extra
            case 3:
                name = draw.choice(list(self._added["route"]) or ["plain"])
                fields = ({}, {"service": "annex"}, {"split": _SPLIT})
                self._services[name] = draw.choice(fields)
            case one:
                self._add("key" if one == 4 else "route")
        return self.put()

    def _add(self, kind: str) -> None:
        names = self._added[kind]
        names.append(f"{kind}{next(self._names)}")
        if len(names) > _KEPT:
            names.popleft()

    def choose_line(self, draw: random.Random) -> str:
        """Return the line of a request that is allowed or was so lately."""
        return draw.choice(list(self.grants)[-_RECENT:])

    def put(self) -> list[str]:
        """Write what is in force, note since when, and return lines that it affects."""
        self._write(self.encode())
        now_s = time.monotonic()
        allowed = {f"GET {KEYED_PATH}{key}" for key in self._all_keys()}
        allowed |= {f"GET /{name}/a" for name in self._added["route"]}
        for line in sorted(allowed - self.grants.keys()):
            self.grants[line] = []
        affected = []
        for line, spans in self.grants.items():
            is_open = bool(spans) and spans[-1].until_s > now_s
            if line in allowed and not is_open:
                spans.append(Word(now_s))
                affected.append(line)
            elif is_open and line not in allowed:
                spans[-1].until_s = now_s
                affected.append(line)
        return affected

    def _all_keys(self) -> list[str]:
        return [*self._keys, *self._added["key"]]

    def encode(self) -> bytes:
        """Return the document."""
        routes = _ROUTES | ({"extra": _EXTRA} if self._has_extra else {})
        for name in self._added["route"]:
            routes[name] = (f"/{name}/", "idempotent", "portal", {})
        engine = {"slots": 4, "kvCapacityTokens": 100_000}
        document = {
            "version": self._version,
            "routes": [self._route(name, *route) for name, route in routes.items()],
            "services": [
                {"name": "portal", "healthPath": "/healthz"},
                {"name": "annex", "healthPath": "/healthz"},
                {"name": "pool", "healthPath": "/healthz", "engine": engine},
            ],
            "tenants": [{"name": "soaked", "apiKeys": self._all_keys()}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100_000},
        }
        return json.dumps(document).encode()

    def _route(
        self, name: str, prefix: str, kind: str, service: str, fields: dict[str, Any]
    ) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "prefix": prefix,
            "kind": kind,
            "service": service,
            "timeoutMs": self._timeout_ms,
            "targetLatencyMs": 500,
            "priority": 0,
            "attempts": 1,
            "public": True,
            **fields,
            **self._services.get(name, {}),
        }
