"""Steps of paced limits: a core with one organisation, and a load over its limit."""

import random
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from scheduler_driver import SERVICE, CoreDriver, alike_endpoints, make_handle

from pomelolane.coordination import paced_limits
from pomelolane.coordination.paced_limits import make_paced_limit_logger
from pomelolane.messages import RunningHandle
from pomelolane.model import Limits, Organisation
from pomelolane.ports import Grant
from pomelolane.scheduler.objective.core import make_objective_core
from pomelolane.scheduler.paced_demand import Promises
from pomelolane.scheduler.rate_limiting import TokenUse

WINDOW_MS = 8_000
SOURCE = (SERVICE, "vm-9/1")
SMALL, LARGE = (50, 50, 100), (400,)
SIZES = SMALL + LARGE
RANK_DEMAND = {0: 0.5, 1: 1.0, 2: 2.5}


class _PacedCore(CoreDriver):
    """A core whose organisations have paced limits; times of decisions are recorded."""

    def __init__(self, per_s, burst):
        self.times_ms = {}
        self.per_s, self.burst = per_s, burst
        super().__init__(alike_endpoints(4, 200), policy="objective")
        self.start_ms = self.now
        self.set_limits(Limits(0, per_s, 0, burst, WINDOW_MS, 1_000))

    def set_limits(self, limits):
        both = [Organisation(name, "", "", limits=limits) for name in ("org", "low")]
        self.tree = {"organisations": both}
        self.configure(self.endpoints)

    def take(self, decisions):
        super().take(decisions)
        for decision in decisions:
            self.times_ms[decision.request_id] = self.now - self.start_ms

    def report(self, *uses, adds=False):
        self.core.limits.add_reported(SOURCE, uses, self.now, adds=adds)

    def ask(self, organisation, rank, tokens, objective_ms=2_000, **fields):
        name = fields.pop("id", f"r{len(self.handles)}")
        row = {"id": name, "tier": rank, "budget_ms": 10 * objective_ms}
        row["organisation"] = organisation
        fields |= {"objective_ms": objective_ms, "late_window_ms": 9 * objective_ms}
        self.submit(make_handle(row, charge_tokens=tokens, **fields))

    def play(self, seed, demand, replace_at_ms=None):
        """Let both organisations ask for 8 s."""
        draw = random.Random(seed)
        for at_ms in range(0, WINDOW_MS, 10):
            if at_ms == replace_at_ms:
                self.replace_core()
            for rank, part in demand.items():
                due = part * self.per_s / 100 * len(SIZES) / sum(SIZES)
                for _ in range(int(due) + (draw.random() < due % 1)):
                    self.ask("org", rank, draw.choice(SIZES))
            if at_ms % 50 == 0:
                self.ask("low", 0, 100)
                self.take(self.core.tick(self.now))
            self.clock.advance(10)
            for name in list(self.running):
                self.event(name, ttft_ms=25.0, finished=True)
        return self

    def replace_core(self):
        """Continue with a new core that has read the recorded usage."""
        uses = self.core.limits.uses(self.now)
        uses = [replace(use, scheduler="vm-1/1") for use in uses]
        self.core = make_objective_core(SERVICE)
        self.configure(self.endpoints)
        self.core.limits.assume_used(0.25, self.now)
        self.core.limits.replace_reported(uses, self.now)
        for handle in self.waiting():
            self.submit(handle.with_budget(19_500, admitted=True))

    def served(self, organisation="org", rank=None, sizes=SIZES):
        """Return the times and tokens of grants, and the part granted."""
        chosen = [
            (self.times_ms.get(name), one.charge_tokens, self.decisions.get(name))
            for name, one in self.handles.items()
            if one.organisation == organisation and one.charge_tokens in sizes
            if rank in (None, one.tier_rank)
        ]
        granted = [one[:2] for one in chosen if one[2] and isinstance(one[2][0], Grant)]
        return granted, len(granted) / len(chosen)

    def tokens_between(self, begin_ms, end_ms):
        return sum(n for at_ms, n in self.served()[0] if begin_ms <= at_ms < end_ms)


@given("organisations paced at {per_s:d} tokens a second and {burst:d} at once")
def step_core(context, per_s, burst):
    context.core = _PacedCore(per_s, burst)


@when("one of them asks for")
def step_asks(context):
    context.rows = context.table
    for row in context.table:
        fields = {"id": row["id"]}
        if row["id"] in ("moved", "retry"):
            fields |= {
                "admitted": row["id"] == "moved",
                "attempt": row["id"] == "retry",
            }
        numbers = (int(row[name]) for name in ("rank", "tokens", "objective_ms"))
        context.core.ask("org", *numbers, **fields)


@then("each is decided as listed")
def step_decided(context):
    context.core.tick(1_500)
    for row in context.rows:
        result = context.core.decisions.get(row["id"], ["undecided"])[0]
        at = f"at {context.core.times_ms.get(row['id'], 0):.0f} ms"
        if isinstance(result, Grant):
            result = f"passes {at}"
        elif result != "undecided":
            result = f"{result.reason} {at} for {result.retry_after_ms} ms"
        assert result == row["result"], (row["id"], result)


@when("{tokens:d} tokens were used elsewhere {age_ms:d} ms ago")
def step_used(context, tokens, age_ms):
    context.core.report(TokenUse("org", age_ms, tokens))


@when("{first:d} tokens are used elsewhere, then {tokens:d} each 100 ms for 20 s")
def step_reported_often(context, first, tokens):
    core, used = context.core, []
    for tick in range(201):
        used.append((core.now, tokens if tick else first))
        core.report(TokenUse("org", 0, used[-1][1]), adds=True)
        if tick % 20 == 0:
            ages = [(int(core.now - at_ms), each) for at_ms, each in used]
            recent = [(age, each) for age, each in ages if age < WINDOW_MS]
            core.report(*(TokenUse("org", age // 250 * 250, n) for age, n in recent))
        core.tick(100)


@when("it asks for {a:d}, {b:d}, then {c:d} tokens each 100 ms for 10 s, 1 is refused")
def step_below(context, a, b, c):
    for tokens in (a, b, *[c] * 100):
        context.core.ask("org", 0, tokens, objective_ms=400)
        context.core.tick(100)
    assert len(context.core.running) == 1 + 100, context.core.decisions


@then("promised tokens count until 500 ms after the retry time")
def step_promises(context):
    promises = Promises()
    promises.add(10, 1_000)
    assert [promises.total(at_ms) for at_ms in (1_499, 1_500)] == [10, 0]


@when("the scheduler may use {share:f} of the rates")
def step_share(context, share):
    context.core.core.limit_rates(share, context.core.now)


@when('meanwhile "{name}" {event}')
def step_event(context, name, event):
    core, handle = context.core, context.core.handles.get(name)
    if event.startswith("is withdrawn"):
        core.forget(name)
    if event.endswith(("submitted again", "as admitted")):
        admitted = event.endswith("admitted")
        core.submit(handle.with_budget(handle.budget_ms, admitted=admitted))
    elif event == "is registered as running":
        core.core.register_running(RunningHandle(handle, "p0", 0, False), core.now)
    elif event.startswith("sees a limit of"):
        per_s, burst = (int(word) for word in event.split() if word.isdigit())
        core.set_limits(Limits(0, per_s, 0, burst, WINDOW_MS))
    elif event == "sees assumed usage fill the window":
        core.core.limits.assume_used(0, core.now)
    elif event == "sees a record of 1000 tokens twice":
        for _ in range(2):
            core.core.limits.replace_reported([TokenUse("org", 1000, 1000)], core.now)
    elif event == "sees the limit removed":
        core.set_limits(Limits())
    elif "refused" in event:
        core.cut_off("first")


@then("{count:d} requests wait, and the level is {least:d} to {most:d} tokens")
def step_level(context, count, least, most):
    context.core.take(context.core.core.tick(context.core.now))
    paced = next(iter(context.core.core.paced_limits()), None)
    if paced is None:
        assert count == 0
        return
    assert (paced.waiting, paced.waiting_tokens) == (count, 500 * count), paced
    assert least <= paced.level_tokens <= most, paced


@when("one of them asks four times its limit for 8 s, drawn from seed {seed:d}")
def step_over(context, seed):
    context.core.play(seed, RANK_DEMAND)


@when("it asks so, drawn from seed {seed:d}, and the core is replaced after {at_s:d} s")
def step_replaced(context, seed, at_s):
    context.core.play(seed, RANK_DEMAND, at_s * 1_000)


@then("it passes no more than rate and burst in any second")
def step_each_second(context):
    core = context.core
    begins = {at_ms for at_ms, _ in core.served()[0]}
    most = max(core.tokens_between(begin, begin + 1_000) for begin in begins)
    assert most <= core.per_s + core.burst, most


@then("after the first second it passes at least {part:f} of its rate in each")
def step_least(context, part):
    begins = range(1_000, WINDOW_MS, 1_000)
    sums = [context.core.tokens_between(begin, begin + 1_000) for begin in begins]
    assert min(sums) >= part * context.core.per_s, sums


@then("urgent ranks are served most, and large requests {part:f} as often as small")
def step_ranks(context, part):
    served = [context.core.served(rank=rank)[1] for rank in RANK_DEMAND]
    assert served == sorted(served, reverse=True) and served[0] > 0.9, served
    for rank in (0, 1):  # Rank 2 is left almost nothing.
        small = context.core.served(rank=rank, sizes=SMALL)[1]
        large = context.core.served(rank=rank, sizes=LARGE)[1]
        assert large >= part * small > 0.2, (rank, small, large)


@then("all 8 s hold at most {spare:d} tokens more than rate and burst")
def step_window(context, spare):
    core = context.core
    held = core.tokens_between(0, WINDOW_MS)
    assert held <= core.per_s * WINDOW_MS / 1_000 + core.burst + spare, held


@then("the other organisation is served as without it")
def step_other(context):
    alone = _PacedCore(context.core.per_s, context.core.burst).play(0, {})
    assert context.core.served("low")[1] == alone.served("low")[1] == 1.0


@then("a line says that {count:d} requests wait, and {gap_ms:d} ms later that none")
def step_told(context, count, gap_ms):
    logger = make_paced_limit_logger(context.core.clock)
    lines = []
    with mock.patch.object(
        paced_limits, "log_event", lambda _, **line: lines.append(line)
    ):
        for _ in range(gap_ms // 50 + 1):
            logger.check([SimpleNamespace(service=SERVICE, core=context.core.core)])
            context.core.tick(50)
    told = [(one["organisation"], one["waits"], one["requests"]) for one in lines]
    assert told == [("org", True, count), ("org", False, 0)], lines
