"""Steps of tests/bench for what needs no cluster: sums, traces, the caller."""

import hashlib
import tempfile
from pathlib import Path

import yaml
from aiohttp import web
from behave import given, then, when

from bench.arrivals import BYTES_PER_TOKEN, Arrival, make_arrivals, phase_rates
from bench.bound import Slowdown, most_useful_answers
from bench.caller import CallRecord, expected_text, send
from bench.deployment import Deployment, organisation_key, read_deployment
from bench.engines import EngineSpeed, engine_speeds, scale_deployment
from bench.experiment import Call
from bench.fit import fit_line
from bench.inversions import count_inversions
from bench.ports import PortBlock
from bench.processes import BenchError
from bench.scenario import read_scenario, read_workloads
from bench.shares import fair_tokens

PROMPT = "species code for gulf shrimp?"


async def _serve(context, handler):
    application = web.Application()
    application.router.add_post("/v1/chat/completions", handler)
    runner = web.AppRunner(application)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    context.url = f"http://127.0.0.1:{port}"


@given("a bench server that streams {count:d} tokens of {whose} answer")
def step_stream_server(context, count, whose):
    prompt = PROMPT if whose == "the caller's own" else "another prompt"
    words = expected_text(prompt, count).split()

    async def answer(request):
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        for word in words:
            text = f'{{"choices":[{{"index":0,"delta":{{"content":"{word} "}}}}]}}'
            await response.write(f"data: {text}\n\n".encode())
        await response.write(b"data: [DONE]\n\n")
        return response

    context.run(_serve(context, answer))


@given('a bench server that refuses with outcome "{outcome}" and reason "{reason}"')
def step_refusing_server(context, outcome, reason):
    async def answer(request):
        del request
        problem = {"outcome": outcome, "reason": reason, "retry_after_ms": 1500}
        return web.json_response(
            problem, status=503, content_type="application/problem+json"
        )

    context.run(_serve(context, answer))


@when("the bench caller asks for {count:d} tokens")
def step_ask(context, count):
    call = send(context.url, "k", service="s", prompt=PROMPT, output_tokens=count)
    context.record = context.run(call)


@when("the bench caller asks a closed port for {count:d} tokens")
def step_ask_closed(context, count):
    ports = PortBlock()
    context.add_cleanup(ports.close)
    url = f"http://127.0.0.1:{ports.take()}"
    call = send(url, "k", service="s", prompt=PROMPT, output_tokens=count)
    context.record = context.run(call)


@then("the bench record is whole with {count:d} tokens")
def step_whole(context, count):
    assert context.record.whole, context.record
    assert context.record.tokens == count


@then("the bench record has a first token time and {count:d} gaps")
def step_times(context, count):
    assert context.record.ttft_ms >= 0
    # The closing event may come on its own and counts as one more gap.
    assert len(context.record.gaps_ms) in (count, count + 1)


@then("the bench record is not whole")
def step_not_whole(context):
    assert not context.record.whole


@then('the bench record has outcome "{outcome}" and reason "{reason}"')
def step_refused(context, outcome, reason):
    assert (context.record.outcome, context.record.reason) == (outcome, reason)


@then("the bench record says to come back after {expected:d} ms")
def step_retry_after(context, expected):
    assert context.record.retry_after_ms == expected


@then("the bench record has status {status:d} and an error")
def step_error(context, status):
    assert context.record.status == status
    assert context.record.error


@when("two bench port blocks take {count:d} ports each")
def step_two_blocks(context, count):
    context.ports = []
    for _ in range(2):
        block = PortBlock()
        context.add_cleanup(block.close)
        context.ports.extend(block.take() for _ in range(count))


@then("all {count:d} bench ports differ")
def step_ports_differ(context, count):
    assert len(set(context.ports)) == count


@given(
    'a bench deployment with endpoint "{endpoint}" of data centre "{data_centre}" '
    'in team "{team}"'
)
def step_deployment(context, endpoint, data_centre, team):
    declared = {"endpoint_id": endpoint, "service": "s", "data_centre": data_centre}
    context.deployment = Deployment(
        "small",
        {
            team: {
                "services": [{"name": "s", "kind": "engine", "model": "m"}],
                "endpoints": [declared],
                "organisations": [{"name": "org"}],
            }
        },
    )


@when('the bench sets the address of "{endpoint}" to "{address}" and writes the tree')
def step_write_tree(context, endpoint, address):
    context.deployment.set_addresses({endpoint: address})
    context.deployment.set_keys()
    context.tree = Path(tempfile.mkdtemp())
    context.deployment.write(context.tree)


def _branch(context, team):
    return yaml.safe_load((context.tree / team / "branch.yaml").read_text())


@then('the written bench branch "{team}" has endpoint "{endpoint}" at "{address}"')
def step_written_address(context, team, endpoint, address):
    (declared,) = _branch(context, team)["endpoints"]
    assert (declared["endpoint_id"], declared["address"]) == (endpoint, address)


@then('the written bench branch "{team}" knows the digest of its organisation\'s key')
def step_written_digest(context, team):
    (organisation,) = _branch(context, team)["organisations"]
    digest = hashlib.sha256(organisation_key("org").encode()).hexdigest()
    assert organisation["key_sha256"] == digest


@then('reading the bench deployment "{name}" fails')
def step_no_deployment(context, name):
    del context
    try:
        read_deployment(name)
    except BenchError:
        return
    raise AssertionError("an unknown deployment was read")


def _arrival(number, at_s, prompt_tokens, answer_tokens, deadline_ms):
    return Arrival(
        number=number,
        at_s=at_s,
        service="s",
        work="w",
        organisation="o",
        prompt_tokens=prompt_tokens,
        answer_tokens=answer_tokens,
        most_tokens=answer_tokens,
        deadline_ms=deadline_ms,
        family=-1,
        prefix_tokens=0,
        gateway=0,
        seed=number,
    )


@given(
    "a bench engine with {slots:d} slot, {prefill:d} prompt tokens/s and "
    "{decode:d} answer tokens/s"
)
def step_engine(context, slots, prefill, decode):
    context.engines = [EngineSpeed("e", slots, prefill, decode)]
    context.arrivals = []
    context.slowdowns = []


@given(
    "{count:d} bench requests of {prompt:d} prompt and {answer:d} answer tokens "
    "at {at_s:d} s within {deadline_ms:d} ms"
)
def step_requests(context, count, prompt, answer, at_s, deadline_ms):
    for _ in range(count):
        number = len(context.arrivals)
        arrival = _arrival(number, at_s, prompt, answer, deadline_ms)
        context.arrivals.append(arrival)


@given("the bench engine is {factor:d} times slower from {at_s:d} s on")
def step_slower(context, factor, at_s):
    context.slowdowns = [Slowdown(at_s, "e", factor)]


@then("the bench bound is between {low:g} and {high:g}")
def step_bound(context, low, high):
    bound = most_useful_answers(context.arrivals, context.engines, context.slowdowns)
    assert low - 1e-6 <= bound <= high + 1e-6, bound


def _add_call(context, rank, record):
    if not hasattr(context, "calls"):
        context.calls, context.ranks, context.dispatches = [], {}, {}
    number = len(context.calls)
    context.ranks[number] = rank
    arrival = _arrival(number, 0.0, 100, 5, 4000)
    context.calls.append(Call(arrival, record, 0.0))
    return number


@given(
    'a bench request of rank {rank:d} that is refused for "{reason}" after {ms:d} ms'
)
def step_refused_call(context, rank, reason, ms):
    record = CallRecord(outcome="not_run", reason=reason, total_ms=ms)
    _add_call(context, rank, record)


@given("a bench request of rank {rank:d} that is dispatched after {ms:d} ms")
def step_dispatched_call(context, rank, ms):
    number = _add_call(context, rank, CallRecord(status=200, whole=True))
    context.dispatches[number] = [("e", float(ms))]


@then("the bench counts {expected:d} inversions")
def step_inversions(context, expected):
    engines = [EngineSpeed("e", 4, 1000.0, 10.0)]
    found = count_inversions(
        context.calls,
        context.dispatches,
        lambda arrival: context.ranks[arrival.number],
        engines,
    )
    assert found == expected, found


@given('bench teams "{one}" of weight {a:d} and "{other}" of weight {b:d}')
def step_teams(context, one, a, other, b):
    branches = {one: {"team": {"weight": a}}, other: {"team": {"weight": b}}}
    context.deployment = Deployment("shares", branches)


@given(
    'bench organisations "{one}" of weight {a:d} and "{other}" of weight {b:d} '
    'in "{team}"'
)
def step_organisations(context, one, a, other, b, team):
    context.deployment.branches[team]["organisations"] = [
        {"name": one, "weight": a},
        {"name": other, "weight": b},
    ]


@when(
    '{total:d} tokens are divided among demands of {demand:d} but {less:d} from "{n}"'
)
def step_divide(context, total, demand, less, n):
    offered = dict.fromkeys(context.deployment.organisations(), float(demand))
    offered[n] = float(less)
    context.fair = fair_tokens(context.deployment, offered, float(total))


@then('the fair tokens are "{a}" {x:d}, "{b}" {y:d}, "{c}" {z:d} and "{d}" {v:d}')
def step_fair(context, a, x, b, y, c, z, d, v):
    assert context.fair == {a: x, b: y, c: z, d: v}, context.fair


@given('the bench scenario "{name}"')
def step_scenario(context, name):
    context.experiment = read_scenario(name)
    context.workloads = read_workloads()
    deployment = read_deployment(context.workloads.deployment)
    scale_deployment(deployment, context.workloads)
    service = context.workloads.shapes[0].service
    context.engines = engine_speeds(deployment, service)


def _trace(context, seed):
    return make_arrivals(context.experiment, context.workloads, context.engines, seed)


@when("its trace is drawn twice with seed {seed:d}")
def step_trace_twice(context, seed):
    context.traces = [_trace(context, seed), _trace(context, seed)]


@when("its trace is drawn with seeds {one:d} and {other:d}")
def step_traces(context, one, other):
    context.traces = [_trace(context, one), _trace(context, other)]


@then("both bench traces are equal and ordered by time")
def step_traces_equal(context):
    one, other = context.traces
    assert one == other
    times = [arrival.at_s for arrival in one]
    assert times == sorted(times)


@then("the bench traces differ")
def step_traces_differ(context):
    one, other = context.traces
    assert one != other


@then("the offered load is near the planned one")
def step_offered(context):
    start_s, planned = 0.0, 0.0
    for phase in context.experiment.phases:
        rates = phase_rates(
            phase, context.experiment, context.workloads, context.engines
        )
        planned += sum(rates.values()) * (phase.until_s - start_s)
        start_s = phase.until_s
    spread = 5 * planned**0.5
    assert abs(len(context.traces[0]) - planned) < spread


@then("prompts of one bench family begin alike and end differently")
def step_families(context):
    shared = [item for item in context.traces[0] if item.family == 0]
    assert len(shared) > 1
    one, other = (item.prompt() for item in shared[:2])
    size = shared[0].prefix_tokens * BYTES_PER_TOKEN
    assert one[:size] == other[:size]
    assert one[size:] != other[size:]
    assert len(one) == shared[0].prompt_tokens * BYTES_PER_TOKEN


@then('reading the bench scenario "{name}" fails and names "{known}"')
def step_no_scenario(context, name, known):
    del context
    try:
        read_scenario(name)
    except BenchError as error:
        assert known in str(error)
        return
    raise AssertionError("an unknown scenario was read")


@given("measured points {a}, {b}, {c} and {d}")
def step_points(context, a, b, c, d):
    points = [point.split(":") for point in (a, b, c, d)]
    context.line = fit_line(
        [float(x) for x, _ in points], [float(y) for _, y in points]
    )


@then("the fitted slope is {slope:g} with error {error:g} and intercept {at_zero:g}")
def step_fit(context, slope, error, at_zero):
    line = context.line
    found = (line.slope, line.slope_error, line.intercept)
    expected = (slope, error, at_zero)
    differences = [abs(x - y) for x, y in zip(found, expected, strict=True)]
    assert max(differences) < 1e-5, found
