"""Test driver of scheduling cores; it defines no steps."""

from pomelolane.clock import ManualClock
from pomelolane.messages import Handle, StreamEvent
from pomelolane.model import Endpoint, Service, ServiceKind, Team, Tier, Tree, Work
from pomelolane.ports import Grant
from pomelolane.registry import PLACEMENT_POLICIES, lookup
from pomelolane.scheduler import CoreOptions, make_core_with

SERVICE = "model"


class CoreDriver:
    """Drives a core and records its decisions, with a manual clock."""

    def __init__(self, endpoints, options=None, policy="", **tree):
        self.clock = ManualClock(1_000.0)
        self.options = options or CoreOptions()
        make = make_core_with(self.options)
        if policy:
            make = lookup(PLACEMENT_POLICIES, policy)
        self.core = make(SERVICE)
        self.endpoints = endpoints
        self.tree = tree
        self.decisions = {}
        self.running = {}
        self.handles = {}
        self.configure(endpoints)

    def configure(self, endpoints):
        """Apply a settings tree with the given endpoints."""
        tree = make_tree(endpoints, **self.tree)
        self.take(self.core.configure(tree, self.now))

    @property
    def now(self):
        """Current time of the manual clock, in ms."""
        return self.clock.now_ms()

    def take(self, decisions):
        """Record decisions."""
        for decision in decisions:
            self.decisions.setdefault(decision.request_id, []).append(decision.result)
            if isinstance(decision.result, Grant):
                self.running[decision.request_id] = decision.result.endpoint_id

    def submit(self, handle):
        """Submit a request."""
        self.handles[handle.request_id] = handle
        self.take(self.core.submit(handle, self.now))

    def event(self, request_id, **fields):
        """Send a stream event of a running request to the core."""
        event = StreamEvent(request_id, self.running[request_id], **fields)
        self.take(self.core.observe(event, self.now))
        if event.finished or event.refused:
            del self.running[request_id]

    def cut_off(self, request_id):
        """Simulate that the endpoint refuses a running request."""
        self.event(request_id, finished=True, refused=True, outcome="failed")

    def progress(self, endpoint_id, tokens, elapsed_ms):
        """Send a token event for every request that runs on an endpoint."""
        for request_id, where in list(self.running.items()):
            if where == endpoint_id:
                self.event(request_id, tokens=tokens, elapsed_ms=elapsed_ms)

    def end(self, request_id):
        """Complete a running request at the usual speed."""
        tokens = self.handles[request_id].decode_tokens
        self.event(request_id, ttft_ms=10.0)
        self.event(request_id, tokens=tokens, elapsed_ms=tokens * 12.5)
        self.event(request_id, finished=True)

    def tick(self, by_ms, step_ms=50.0):
        """Advance the clock and call the core's tick at each step."""
        until = self.now + by_ms
        while self.now < until:
            self.clock.advance(min(step_ms, until - self.now))
            self.take(self.core.tick(self.now))

    def waiting(self):
        """Return the submitted requests without a decision."""
        return [h for i, h in self.handles.items() if i not in self.decisions]

    def forget(self, request_id):
        """Withdraw a request."""
        self.take(self.core.withdraw(request_id, self.now))
        self.running.pop(request_id, None)

    def result(self, request_id):
        """Return the result of a request's only decision."""
        assert request_id in self.decisions, f"no decision for {request_id}"
        assert len(self.decisions[request_id]) == 1
        return self.decisions[request_id][0]


def make_tree(
    endpoints,
    queue_limit=1000,
    organisations=(),
    teams=(),
    kind=ServiceKind.ENGINE,
):
    service = Service(
        name=SERVICE,
        team="team",
        kind=kind,
        works={"work": Work("work", "top", 60_000)},
        queue_limit=queue_limit,
    )
    return Tree(
        tiers={f"t{rank}": Tier(f"t{rank}", rank) for rank in range(3)},
        teams={t.name: t for t in teams} or {"team": Team("team")},
        services={SERVICE: service},
        endpoints={e.endpoint_id: e for e in endpoints},
        organisations={o.name: o for o in organisations},
    )


def make_handle(row, **fields):
    cells = dict(row.items()) if hasattr(row, "items") else dict(row)
    return Handle(
        request_id=cells["id"],
        service=SERVICE,
        work=cells.get("work", "work"),
        tier_rank=int(cells.get("tier", 0)),
        organisation=cells.get("organisation", "org"),
        team=cells.get("team", "team"),
        budget_ms=int(cells.get("budget_ms", 60_000)),
        prefill_tokens=int(cells.get("prefill", 100)),
        decode_tokens=int(cells.get("decode", 10)),
        **({"excluded": (cells["excluded"],)} if cells.get("excluded") else {}),
        **fields,
    )


def alike_endpoints(number, slots):
    """Return endpoints that differ only by name."""
    return [
        Endpoint(f"p{index}", SERVICE, "", "", slots=slots, kv_tokens=100_000)
        for index in range(number)
    ]


def endpoint_from_row(row):
    cells = dict(row.items())
    return Endpoint(
        endpoint_id=cells["endpoint"],
        service=SERVICE,
        data_centre=cells.get("data_centre", ""),
        address="",
        slots=int(cells.get("slots", 2)),
        kv_tokens=int(cells.get("kv_tokens", 100_000)),
        prefill_tokens_per_s=float(cells.get("prefill_tokens_per_s", 4000)),
        decode_tokens_per_s=float(cells.get("decode_tokens_per_s", 40)),
        version=cells.get("version", ""),
    )
