"""The configuration of a run, and changes of it that callers need not notice."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from bench.soak.callers import EXTRA_PATH, KEY, KEYED_PATH

if TYPE_CHECKING:
    import random

HOST = "soak.example"
TIMEOUTS_MS = (2500, 3000, 3500)
_OTHER_KEY = "soak-other-key"
_STEP = 3
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
    """What the operator has written last."""

    def __init__(self) -> None:
        self._version = 1
        self._timeout_ms = 3000
        self._has_extra = False
        self._keys = [KEY]

    def change(self, draw: random.Random) -> bytes:
        """Change one thing and return the next version."""
        self._version += draw.randint(1, _STEP)
        match draw.randrange(4):
            case 0:
                self._timeout_ms = draw.choice(TIMEOUTS_MS)
            case 1:
                self._keys = draw.choice(([KEY], [KEY, _OTHER_KEY], [_OTHER_KEY]))
            case _:
                self._has_extra = not self._has_extra
        return self.encode()

    def encode(self) -> bytes:
        """Return the document."""
        routes = _ROUTES | ({"extra": _EXTRA} if self._has_extra else {})
        engine = {"slots": 4, "kvCapacityTokens": 100_000}
        document = {
            "version": self._version,
            "routes": [self._route(name, *route) for name, route in routes.items()],
            "services": [
                {"name": "portal", "healthPath": "/healthz"},
                {"name": "pool", "healthPath": "/healthz", "engine": engine},
            ],
            "tenants": [{"name": "soaked", "apiKeys": self._keys}],
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
        }
