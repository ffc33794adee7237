"""Steps that check invariants of the core on random runs, with hypothesis."""

import random

from behave import given, then, when
from hypothesis import given as given_random
from hypothesis import settings
from hypothesis import strategies as st
from scheduler_driver import SERVICE, CoreDriver, make_handle

from pomelolane.model import Endpoint, Organisation, Team
from pomelolane.outcomes import Reason
from pomelolane.ports import Grant, LoadReport

RUNS = 60
QUEUE_LIMIT = 6
ACTIONS = (
    "submit",
    "submit",
    "submit",
    "start",
    "end",
    "end",
    "forget",
    "refuse",
    "report",
    "pass",
)
OVERLOAD_REASONS = (Reason.QUEUE_FULL, Reason.DISPLACED)
REQUESTS_PER_ORGANISATION = 900
COMPLETED_REQUESTS = 600

run_strategy = st.tuples(
    st.integers(0, 2**32 - 1), st.lists(st.sampled_from(ACTIONS), max_size=120)
)


class RandomRun:
    """One random run of a core that checks its invariants."""

    def __init__(self, seed, alike=False):
        self.random = random.Random(seed)
        self.alike = alike
        speeds = (1, 1, 1) if alike else (1, 2, 4)
        endpoints = [
            Endpoint(
                f"e{index}",
                SERVICE,
                "",
                "",
                slots=2,
                kv_tokens=3_000,
                prefill_tokens_per_s=2_000.0 * speed,
                decode_tokens_per_s=50.0 * speed,
            )
            for index, speed in enumerate(speeds)
        ]
        self.driver = CoreDriver(endpoints, queue_limit=QUEUE_LIMIT)
        self.forgotten = set()
        self.inversions = []

    def run_action(self, action):
        """Run one action and check the invariants."""
        before = {handle.request_id: handle for handle in self.driver.waiting()}
        getattr(self, f"do_{action}")()
        self.check_capacity()
        self.check_tier_order(before)

    def do_submit(self):
        """Submit a random request."""
        draw = self.random
        row = {"id": f"r{len(self.driver.handles)}", "tier": draw.randrange(3)}
        row["organisation"] = draw.choice("abc")
        if not self.alike:
            row["prefill"] = int(10 ** draw.uniform(1, 3.3))
            row["decode"] = int(10 ** draw.uniform(0.5, 2.5))
            row["budget_ms"] = draw.randrange(50, 20_000)
        self.driver.submit(make_handle(row))

    def do_start(self):
        """Send the first token of a running request."""
        if self.driver.running:
            self.driver.event(
                self._random_running(), ttft_ms=self.random.uniform(1, 500)
            )

    def do_end(self):
        """Complete a running request."""
        if self.driver.running:
            self.driver.end(self._random_running())

    def do_forget(self):
        """Withdraw a random request."""
        if self.driver.handles:
            request_id = self.random.choice(list(self.driver.handles))
            if request_id not in self.driver.decisions:
                self.forgotten.add(request_id)
            self.driver.forget(request_id)

    def do_refuse(self):
        """Simulate that an endpoint refuses a running request."""
        if self.driver.running and not self.alike:
            self.driver.cut_off(self._random_running())

    def do_report(self):
        """Send a load report with a random load."""
        draw = self.random
        endpoint_id = f"e{draw.randrange(3)}"
        age_ms = draw.uniform(0, 5_000)
        report = LoadReport(endpoint_id, draw.randrange(4), 0, 0, age_ms)
        driver = self.driver
        driver.take(driver.core.report_load(report, driver.now))

    def do_pass(self):
        """Advance the clock."""
        self.driver.tick(50 if self.alike else self.random.choice((50, 500, 3_000)))

    def finish(self):
        """Complete running requests until none runs or waits."""
        for _ in range(500):
            if not self.driver.running and not self._undecided():
                return
            if self.driver.running:
                self.driver.end(self._random_running())
            self.driver.tick(200)
        raise AssertionError(f"requests still waiting: {self._undecided()}")

    def check_decisions(self):
        """Check that each request has one decision, or none if withdrawn."""
        for request_id in self.driver.handles:
            decided = len(self.driver.decisions.get(request_id, ()))
            expected = 0 if request_id in self.forgotten else 1
            assert decided == expected, (request_id, decided)

    def check_capacity(self):
        """Check that no endpoint exceeds its slots or KV cache."""
        for endpoint in self.driver.endpoints:
            here = [
                self.driver.handles[request_id]
                for request_id, where in self.driver.running.items()
                if where == endpoint.endpoint_id
            ]
            assert len(here) <= endpoint.slots
            held = sum(handle.prefill_tokens for handle in here)
            assert held <= endpoint.kv_tokens

    def check_tier_order(self, before):
        """Check new decisions against the tiers that still wait."""
        waiting = [h.tier_rank for h in self.driver.waiting() if self._is_active(h)]
        known = {**before, **self.driver.handles}
        for request_id, results in self.driver.decisions.items():
            if request_id in self.checked():
                continue
            self.checked().add(request_id)
            rank = known[request_id].tier_rank
            result = results[0]
            if isinstance(result, Grant):
                if self.alike:
                    assert all(other >= rank for other in waiting), (rank, waiting)
            elif result.reason in OVERLOAD_REASONS:
                assert all(other <= rank for other in waiting), (rank, waiting)

    def checked(self):
        """Return the ids of requests whose decisions were checked."""
        self.__dict__.setdefault("_checked", set())
        return self._checked

    def _is_active(self, handle):
        return handle.request_id not in self.forgotten

    def _random_running(self):
        return self.random.choice(list(self.driver.running))

    def _undecided(self):
        return [h for h in self.driver.waiting() if self._is_active(h)]


def _play(seed, actions, alike=False):
    run = RandomRun(seed, alike)
    for action in actions:
        run.run_action(action)
    return run


@then("every random run of the core decides each request exactly once")
def step_decided_once(context):
    del context

    @settings(max_examples=RUNS, deadline=None, derandomize=True)
    @given_random(run_strategy)
    def check(run):
        played = _play(*run)
        played.finish()
        played.check_decisions()

    check()


@then("no random run of the core exceeds slots or memory")
def step_room(context):
    del context

    @settings(max_examples=RUNS, deadline=None, derandomize=True)
    @given_random(run_strategy)
    def check(run):
        _play(*run)

    check()


@then("no random run of the core refuses a tier while a lower one takes its place")
def step_order(context):
    del context

    @settings(max_examples=RUNS, deadline=None, derandomize=True)
    @given_random(run_strategy)
    def check(run):
        _play(*run, alike=True)

    check()


@given("the core's organisations have the weights {weights}")
def step_weights(context, weights):
    values = [float(weight) for weight in weights.split(",")]
    organisations = [
        Organisation(f"o{index}", "team", "", weight=value)
        for index, value in enumerate(values)
    ]
    context.core = _make_core(organisations)
    context.expected = {
        f"o{index}": value / sum(values) for index, value in enumerate(values)
    }


@given("the core's teams have the weights 1,3 and the second has two organisations")
def step_team_weights(context):
    organisations = [
        Organisation("o0", "team", ""),
        Organisation("o1", "big", ""),
        Organisation("o2", "big", "", weight=2.0),
    ]
    teams = [Team("team"), Team("big", weight=3.0)]
    context.core = _make_core(organisations, teams=teams)
    context.expected = {"o0": 0.25, "o1": 0.25, "o2": 0.5}


@when("they submit more requests of varied lengths than the core can serve")
def step_overload(context):
    draw = random.Random(7)
    driver = context.core
    teams = {o.name: o.team for o in driver.tree["organisations"]}
    for index in range(REQUESTS_PER_ORGANISATION * len(teams)):
        name = sorted(teams)[index % len(teams)]
        row = {"id": f"f{index}", "tier": 1, "organisation": name, "team": teams[name]}
        row["prefill"] = int(10 ** draw.uniform(1, 3))
        row["decode"] = int(10 ** draw.uniform(0.5, 2))
        driver.submit(make_handle({**row, "budget_ms": 10_000_000}))
    context.granted = {}
    for _ in range(COMPLETED_REQUESTS):
        request_id = draw.choice(list(driver.running))
        handle = driver.handles[request_id]
        tokens = handle.prefill_tokens + handle.decode_tokens
        name = handle.organisation
        context.granted[name] = context.granted.get(name, 0) + tokens
        driver.tick(20)
        driver.end(request_id)


@then("their granted tokens are within 10% of their weighted shares")
def step_shares(context):
    total = sum(context.granted.values())
    for name, share in context.expected.items():
        got = context.granted[name] / total
        assert abs(got - share) <= 0.1 * share, (name, got, share)


def _make_core(organisations, teams=()):
    endpoints = [
        Endpoint(f"e{index}", SERVICE, "", "", slots=4, kv_tokens=100_000)
        for index in range(2)
    ]
    return CoreDriver(
        endpoints, queue_limit=10_000, organisations=organisations, teams=teams
    )
