"""Callers' load on VMs of the users' platform, and what became of their requests."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass, field

import aiohttp

from tests.routed_world import HOST, RoutedWorld

SERVICE = "pool"
SEED = 1
USUAL_PER_S = 38.0
SLOTS = 4
WORK_MS, EVENTS, EVENT_MS = 100, 4, 25
SLOT_S = (WORK_MS + EVENTS * EVENT_MS) / 1000
"""How long a request occupies a slot: 38 requests/s take 7.6 slots of 24."""

OBJECTIVE_MS = 500
TIME_LIMIT_MS = 4_500
RETURN_SHARE = 1 / 3
"""Share of the time left that callers wait for a retry time at most."""

NOTICE_S = 0.5
"""Time after which the balancer sends nothing more to a VM that was killed."""

KILL_EVERY_S = 2.5
SETTLE_S = 3.0
"""Usual load before the test's own, in which schedulers learn the engines' speed."""

_REFUSALS = (429, 503)
_NO_LIMIT = 1_000_000


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request, drawn in advance.

    Attributes:
        at_s: When, from the start of the load.
        organisation: Whose.
        choice: Chooses a VM, from 0 up to 1.
    """

    at_s: float
    organisation: str
    choice: float


@dataclass(slots=True)
class Attempt:
    """One attempt of a caller.

    Attributes:
        arrival: What is asked.
        vm_id: The VM that was asked.
        sent_s: When it was sent, on the monotonic clock.
        status: The answer's status, 0 for none; 200 only for a whole answer.
        retry_after_s: The answer's ``Retry-After``, 0 where it has none.
    """

    arrival: Arrival
    vm_id: str
    sent_s: float
    status: int = 0
    retry_after_s: float = 0.0

    @property
    def is_served(self) -> bool:
        """Whether the caller got the whole answer in time."""
        return self.status == 200


@dataclass(slots=True)
class Played:
    """What became of a load.

    Attributes:
        firsts: First attempts.
        returned: Attempts of callers that came back at their retry time.
        kills_s: When VMs were killed, by VM.
        begun_s: Start of the load, on the monotonic clock.
    """

    firsts: list[Attempt] = field(default_factory=list)
    returned: list[Attempt] = field(default_factory=list)
    kills_s: dict[str, list[float]] = field(default_factory=dict)
    begun_s: float = 0.0

    def is_within_kill(self, attempt: Attempt, for_s: float) -> bool:
        """Return whether an attempt was sent soon after its VM was killed."""
        kills_s = self.kills_s.get(attempt.vm_id, ())
        return any(0 <= attempt.sent_s - kill_s <= for_s for kill_s in kills_s)


def draw_arrivals(rates_per_s, from_s, until_s, draw):
    """Draw arrivals in a span at a mean rate for each organisation."""
    found = []
    for organisation, per_s in rates_per_s.items():
        at_s = from_s + draw.expovariate(per_s)
        while at_s < until_s:
            found.append(Arrival(at_s, organisation, draw.random()))
            at_s += draw.expovariate(per_s)
    return found


def organisations(count):
    """Return organisations' names and keys."""
    return {f"org-{number}": f"key-{number}" for number in range(1, count + 1)}


class LoadWorld(RoutedWorld):
    """A platform whose organisations have one rank and limits that do not bind."""

    def __init__(self, keys):
        super().__init__()
        self.keys = keys
        self.slots = 0
        self.played = Played()
        self._down = set()

    def configure(self, **changes):
        """Put the next configuration."""
        route = {
            "name": "chat",
            "host": HOST,
            "prefix": "/chat/",
            "kind": "streaming",
            "service": SERVICE,
            "priority": 0,
            "timeoutMs": TIME_LIMIT_MS,
            "targetLatencyMs": OBJECTIVE_MS,
            "targetGapMs": 400,
            "attempts": 1,
        }
        engine = {"slots": SLOTS, "kvCapacityTokens": 100_000}
        tenants = [
            {
                "name": name,
                "apiKeys": [key],
                "unit": "token_count",
                "ratePerS": _NO_LIMIT,
                "burst": _NO_LIMIT,
            }
            for name, key in self.keys.items()
        ]
        services = [{"name": SERVICE, "healthPath": "/healthz", "engine": engine}]
        super().configure(routes=[route], services=services, tenants=tenants, **changes)

    async def fill(self, vms, engines):
        """Start the VMs and engines."""
        for number in range(engines):
            await self.add_endpoint(
                f"e{number}",
                SERVICE,
                slots=SLOTS,
                work_ms=WORK_MS,
                events=EVENTS,
                event_ms=EVENT_MS,
            )
        self.slots = engines * SLOTS
        for _ in range(vms):
            await self.add_vm()

    def used_share(self, from_s, until_s):
        """Return the share of slots that were used between two monotonic times."""
        used_s = sum(
            max(0.0, min(seen.slot_until_s or until_s, until_s) - max(begun_s, from_s))
            for endpoint in self.endpoints.values()
            for seen in endpoint.seen
            if (begun_s := seen.slot_from_s)
        )
        return used_s / (self.slots * (until_s - from_s))

    async def play(self, arrivals, *, returns=False, beside=None):
        """Send a load, and return when all its answers are in.

        Args:
            arrivals: The requests.
            returns: Whether refused callers come back at their retry time.
            beside: Runs beside the load until it ends.
        """
        in_order = sorted(arrivals, key=lambda arrival: arrival.at_s)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            self.played.begun_s = time.monotonic()
            disturbing = asyncio.create_task(beside()) if beside else None
            async with asyncio.TaskGroup() as callers:
                for number, arrival in enumerate(in_order):
                    due_s = self.played.begun_s + arrival.at_s
                    await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                    callers.create_task(self._call(session, number, arrival, returns))
            if disturbing is not None:
                disturbing.cancel()
                await asyncio.gather(disturbing, return_exceptions=True)

    async def kill_in_turn(self, for_s):
        """Kill the VMs and start them again, one after the other."""
        until_s = time.monotonic() + for_s
        for vm in itertools.cycle(self.vms):
            begun_s = time.monotonic()
            if begun_s >= until_s:
                return
            self.played.kills_s.setdefault(vm.vm_id, []).append(begun_s)
            vm.process.kill()
            await vm.process.wait()
            await vm.start()
            await asyncio.sleep(begun_s + NOTICE_S - time.monotonic())
            self._down.add(vm.vm_id)
            await vm.ready()
            self._down.discard(vm.vm_id)
            await asyncio.sleep(begun_s + KILL_EVERY_S - time.monotonic())

    # --- callers ------------------------------------------------------------

    async def _call(self, session, number, arrival, returns):
        until_s = time.monotonic() + TIME_LIMIT_MS / 1000
        vm = self._choose(arrival.choice)
        first = await self._attempt(session, f"{number}-1", arrival, vm, until_s)
        self.played.firsts.append(first)
        wait_s = first.retry_after_s
        most_s = RETURN_SHARE * (until_s - time.monotonic())
        if not returns or first.status not in _REFUSALS or not 0 < wait_s <= most_s:
            return
        await asyncio.sleep(wait_s)
        vm = self._choose(arrival.choice, but=vm)
        again = await self._attempt(session, f"{number}-2", arrival, vm, until_s)
        self.played.returned.append(again)

    def _choose(self, choice, but=None):
        up = [vm for vm in self.vms if vm.vm_id not in self._down and vm is not but]
        return up[int(choice * len(up))]

    async def _attempt(self, session, request_id, arrival, vm, until_s):
        attempt = Attempt(arrival, vm.vm_id, time.monotonic())
        headers = {
            "host": HOST,
            "request-id": request_id,
            "deadline-ms": str(max(1, int(1000 * (until_s - attempt.sent_s)))),
            "authorization": f"Bearer {self.keys[arrival.organisation]}",
            "token-usage": "100,20",
        }
        url = f"http://{vm.ip}:{vm.front.port}/chat/a"
        body = request_id.partition("-")[0].encode()
        try:
            async with asyncio.timeout(until_s - attempt.sent_s):
                async with session.post(url, data=body, headers=headers) as answer:
                    attempt.retry_after_s = float(answer.headers.get("retry-after", 0))
                    await answer.read()
                attempt.status = answer.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            attempt.status = 0
        return attempt
