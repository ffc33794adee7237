"""Steps of the scheduler's features: a core, a clock moved by hand, no I/O."""

from behave import given, then, when

from pomelolane.clock import ManualClock
from pomelolane.messages import Handle, RunningHandle, StreamEvent
from pomelolane.model import (
    Endpoint,
    Service,
    ServiceKind,
    Team,
    Tier,
    Tree,
    Work,
)
from pomelolane.ports import Grant
from pomelolane.scheduler import CoreOptions, make_core_with

SERVICE = "model"


class CoreDriver:
    """A core with everything that it has decided so far."""

    def __init__(self, endpoints, options=None, **tree):
        self.clock = ManualClock(1_000.0)
        self.options = options or CoreOptions()
        self.core = make_core_with(self.options)(SERVICE)
        self.endpoints = endpoints
        self.tree = tree
        self.decisions = {}
        self.order = []
        self.running = {}
        self.handles = {}
        self.take(self.core.configure(make_tree(endpoints, **tree), self.now))

    @property
    def now(self):
        """The clock's reading."""
        return self.clock.now_ms()

    def take(self, decisions):
        """Keep decisions."""
        for decision in decisions:
            self.decisions.setdefault(decision.request_id, []).append(decision.result)
            self.order.append(decision.request_id)
            if isinstance(decision.result, Grant):
                self.running[decision.request_id] = decision.result.endpoint_id

    def submit(self, handle):
        """Hand in a request."""
        self.handles[handle.request_id] = handle
        self.take(self.core.submit(handle, self.now))

    def event(self, request_id, **fields):
        """Hand in a stream event."""
        event = StreamEvent(request_id, self.running[request_id], **fields)
        self.take(self.core.observe(event, self.now))
        if event.finished or event.refused:
            del self.running[request_id]

    def end(self, request_id):
        """Let a request end at a usual pace."""
        tokens = self.handles[request_id].decode_tokens
        self.event(request_id, ttft_ms=10.0)
        self.event(request_id, tokens=tokens, elapsed_ms=tokens * 12.5)
        self.event(request_id, finished=True)

    def tick(self, by_ms, step_ms=50.0):
        """Let time pass."""
        until = self.now + by_ms
        while self.now < until:
            self.clock.advance(min(step_ms, until - self.now))
            self.take(self.core.tick(self.now))

    def result(self, request_id):
        """Return a request's only decision."""
        assert request_id in self.decisions, f"nothing decided on {request_id}"
        assert len(self.decisions[request_id]) == 1
        return self.decisions[request_id][0]


def make_tree(endpoints, queue_limit=1000, organisations=(), teams=(), kind="engine"):
    service = Service(
        name=SERVICE,
        team="team",
        kind=ServiceKind(kind),
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
        **fields,
    )


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
    )


@given("a core with the endpoints")
def step_core(context):
    context.core = CoreDriver([endpoint_from_row(row) for row in context.table])


@given("the core's slots are all taken by tier {tier:d}")
def step_full(context, tier):
    total = sum(endpoint.slots for endpoint in context.core.endpoints)
    for number in range(total):
        row = {"id": f"full-{number}", "tier": tier, "decode": 100, "prefill": 1}
        context.core.submit(make_handle(row))
    assert len(context.core.running) == total


@when("the core is given the requests")
def step_submit(context):
    for row in context.table:
        context.core.submit(make_handle(row))


@when('the core sees one request end on "{endpoint}"')
def step_end(context, endpoint):
    driver = context.core
    first = next(i for i, where in driver.running.items() if where == endpoint)
    driver.end(first)


@when('the core is told to forget "{request_id}"')
def step_forget(context, request_id):
    context.core.take(context.core.core.withdraw(request_id, context.core.now))


@when('the core hears that "{endpoint}" is leaving')
def step_leaving(context, endpoint):
    context.core.take(context.core.core.mark_leaving(endpoint, context.core.now))


@when('the core hears that {number:d} requests run on "{endpoint}" already')
def step_running(context, number, endpoint):
    for index in range(number):
        handle = make_handle({"id": f"old-{index}"})
        running = RunningHandle(handle, endpoint, 1, True)
        context.core.core.register_running(running, context.core.now)


@then('the core granted "{request_id}" on "{endpoint}"')
def step_granted(context, request_id, endpoint):
    result = context.core.result(request_id)
    assert isinstance(result, Grant), result
    assert result.endpoint_id == endpoint, result


@then('the core decided "{request_id}" {times:d} times')
def step_times(context, request_id, times):
    assert len(context.core.decisions.get(request_id, ())) == times


@then('the core has not decided "{request_id}"')
def step_undecided(context, request_id):
    assert request_id not in context.core.decisions, context.core.decisions
