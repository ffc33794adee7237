"""Steps for the stand-ins of endpoints over sockets, on the scenario's loop."""

import asyncio
import json
import sys
import tempfile

import aiohttp
import xxhash
from behave import given, then, when

from standins.engine import EngineOptions, start_engine
from standins.engine.prompts import BLOCK_BYTES, block_hashes
from standins.platform import PlatformOptions, start_platform
from standins.service import ServiceOptions, start_service
from tests.standins_world import call, control, keep, request, until_true

ENGINE = EngineOptions(decode_tokens_per_s=2000.0, prefill_tokens_per_s=100_000.0)
PROMPT = "¿Qué especie es el código 042?"


@then("the stand-in status is {status:d}")
def step_status(context, status):
    assert context.status == status, (context.status, context.body)


@then("the stand-in connection broke")
def step_broke(context):
    assert context.status == 0


# --- engine -----------------------------------------------------------------


@given("a stand-in engine")
def step_engine(context):
    context.standin = keep(context, context.run(start_engine(ENGINE)))


@given("a stand-in engine that honours fencing")
def step_fencing_engine(context):
    options = EngineOptions(honours_fencing=True)
    context.standin = keep(context, context.run(start_engine(options)))


def _chat(context, request_id, tokens, *, stream=True, prompt=PROMPT):
    context.expected_tokens = tokens
    context.prompt = prompt
    body = {
        "messages": [{"role": "user", "content": prompt}],
        "stream": stream,
        "x_output_tokens": tokens,
    }
    headers = {"X-Request-Id": request_id}
    path = "/v1/chat/completions"
    return {"path": path, "json": body, "headers": headers}


def _read_events(context, body):
    """Keep the tokens of a body of events, and whether it was closed."""
    events = [e[6:] for e in body.decode().split("\n\n") if e.startswith("data: ")]
    context.done = bool(events) and events[-1] == "[DONE]"
    chunks = [json.loads(event) for event in events if event != "[DONE]"]
    context.answer_text = "".join(
        chunk["choices"][0]["delta"].get("content", "") for chunk in chunks
    )


@given('a stand-in answer of {tokens:d} tokens was streamed as "{request_id}"')
@when('a stand-in answer of {tokens:d} tokens is streamed as "{request_id}"')
def step_stream(context, tokens, request_id):
    options = _chat(context, request_id, tokens)
    _read_events(context, request(context, "POST", **options))


@when(
    "a stand-in answer of {tokens:d} tokens to a prompt of {blocks:d} blocks "
    'is streamed as "{request_id}"'
)
def step_stream_blocks(context, tokens, blocks, request_id):
    prompt = "x" * BLOCK_BYTES * blocks
    request(context, "POST", **_chat(context, request_id, tokens, prompt=prompt))


@when('a stand-in answer of {tokens:d} tokens is read at once as "{request_id}"')
def step_read_at_once(context, tokens, request_id):
    options = _chat(context, request_id, tokens, stream=False)
    answer = json.loads(request(context, "POST", **options))
    context.answer_text = answer["choices"][0]["message"]["content"]
    context.done = answer["choices"][0]["finish_reason"] == "stop"


@when(
    'a stand-in answer of {tokens:d} tokens is begun as "{request_id}" '
    "and its reader goes"
)
def step_begin(context, tokens, request_id):
    async def read_one_chunk(path, **options):
        url = f"http://127.0.0.1:{context.standin.server.port}{path}"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, **options) as answer,
        ):
            await answer.content.readany()

    context.run(read_one_chunk(**_chat(context, request_id, tokens)))


@when(
    'a stand-in answer of {tokens:d} tokens is requested as "{request_id}" '
    "without waiting"
)
def step_request_in_background(context, tokens, request_id):
    options = _chat(context, request_id, tokens)
    pending = call("POST", context.standin.server.port, **options)
    context.background = context.loop.create_task(pending)


@then("the stand-in answer arrives whole")
def step_arrives(context):
    _, body = context.run(context.background)
    _read_events(context, body)
    step_whole(context)


@when('the stand-in stream "{stream_id}" is resumed from chunk {chunk:d}')
def step_resume(context, stream_id, chunk):
    path = f"/v1/streams/{stream_id}?from={chunk}"
    _read_events(context, request(context, "GET", path))


@when('the stand-in stream "{stream_id}" is cancelled')
def step_cancel_stream(context, stream_id):
    request(context, "POST", f"/v1/streams/{stream_id}/cancel")


def _expected_text(context, numbers):
    tag = xxhash.xxh3_64_hexdigest(context.prompt.encode())[:12]
    return "".join(f"{tag}-{number} " for number in numbers)


@then("the stand-in answer is whole")
def step_whole(context):
    expected = _expected_text(context, range(context.expected_tokens))
    assert (context.answer_text, context.done) == (expected, True), context.answer_text


@then('the stand-in answer has the tokens "{numbers}"')
def step_has_tokens(context, numbers):
    assert context.answer_text == _expected_text(context, numbers.split()), (
        context.answer_text
    )


@then("the stand-in answer broke off")
def step_broke_off(context):
    assert context.status == 0


def _runs(context, request_id):
    runs = control(context, "GET", "/runs")
    return [run for run in runs if run["request_id"] == request_id]


@then('the stand-in engine has run "{request_id}" {times:d} times')
def step_ran(context, request_id, times):
    assert len(_runs(context, request_id)) == times


@then('the stand-in run "{request_id}" is "{state}" with {tokens:d} tokens')
def step_run_state(context, request_id, state, tokens):
    (run,) = _runs(context, request_id)
    assert (run["state"], run["generated"]) == (state, tokens), run


@then('the stand-in run "{request_id}" is "{state}" before its end')
def step_run_early(context, request_id, state):
    (run,) = _runs(context, request_id)
    assert run["state"] == state, run
    assert 0 < run["generated"] < context.expected_tokens, run


@then("the stand-in engine refuses connections")
def step_engine_refuses(context):
    request(context, "GET", "/load")
    assert context.status == 0


@then('the stand-in load report says "{state}"')
def step_load_state(context, state):
    assert json.loads(request(context, "GET", "/load"))["state"] == state


@then("the stand-in cache events name the blocks of the prompt")
def step_events_name_blocks(context):
    answer = json.loads(request(context, "GET", "/cache/events?after=0"))
    named = [event["prefix_hash"] for event in answer["events"]]
    assert named == list(block_hashes(context.prompt.encode())), answer


@given('the stand-in order "{name}" with fencing {fencing:d} was taken')
@when('the stand-in order "{name}" with fencing {fencing:d} is given')
def step_order(context, name, fencing):
    order = {"kind": "load_adapter", "name": name, "fencing": fencing}
    request(context, "POST", "/orders", json=order)


@given(
    "a stand-in engine that pulls {size:d} of at most {per_s:d} weight bytes a second"
)
def step_pulling_engine(context, size, per_s):
    limits = PlatformOptions(weight_bytes=size, weight_bytes_per_s=per_s)
    platform = keep(context, context.run(start_platform(limits)))
    url = f"http://127.0.0.1:{platform.server.port}"
    options = EngineOptions(model="m0", weights=url, load_ms=0.0)
    context.standin = keep(context, context.run(start_engine(options)))


@when('the stand-in models "{names}" are ordered one after the other')
def step_order_models(context, names):
    for name in names.split():
        order = {"kind": "load_model", "name": name}
        request(context, "POST", "/orders", json=order)
        state = context.standin.engine.orders.state
        context.run(until_true(lambda state=state: not state.loading))


@then('the stand-in engine has loaded "{loaded}" and failed "{failed}"')
def step_loaded(context, loaded, failed):
    state = json.loads(request(context, "GET", "/orders/state"))
    assert state["models"] == ["m0", *loaded.split()], state
    assert state["failed"] == failed.split(), state


# --- control ports ----------------------------------------------------------


@given("the stand-in {kind}'s control sets {faults}")
@when("the stand-in {kind}'s control sets {faults}")
def step_control(context, kind, faults):
    del kind
    control(context, "POST", "/control", data=faults)


# --- a process with many engines --------------------------------------------


@given('a stand-in process with engines "{names}"')
def step_process(context, names):
    async def start(path):
        return await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "standins.engine", "--config", path),
            stdout=asyncio.subprocess.PIPE,
        )

    async def stop(process):
        process.terminate()
        await process.wait()

    async def read_ready(process):
        line = (await process.stdout.readline()).decode()
        assert line.startswith("ready "), line
        return dict(part.split("=") for part in line.split()[1:])

    config = tempfile.NamedTemporaryFile("w", suffix=".json")  # noqa: SIM115
    context.add_cleanup(config.close)
    json.dump([{"endpoint-id": name} for name in names.split()], config)
    config.flush()
    process = context.run(start(config.name))
    context.add_cleanup(lambda: context.run(stop(process)))
    ready = [context.run(read_ready(process)) for _ in names.split()]
    context.ready = {values["endpoint_id"]: values for values in ready}


@when('the stand-in engine "{name}" of the process dies')
def step_one_dies(context, name):
    ports = context.ready[name]
    pending = call("POST", ports["control_port"], "/control", json={"die": True})
    assert context.run(pending)[0] == 200
    assert context.run(call("GET", ports["port"], "/load"))[0] == 0


@then('the stand-in engine "{name}" of the process still answers')
def step_other_answers(context, name):
    assert context.run(call("GET", context.ready[name]["port"], "/load"))[0] == 200


# --- plain service ----------------------------------------------------------


@given("a stand-in service")
def step_service(context):
    options = ServiceOptions(service_ms=1.0)
    context.standin = keep(context, context.run(start_service(options)))


@when('the stand-in service is called with key "{key}" {times:d} times')
def step_call_service(context, key, times):
    for _ in range(times):
        headers = {"Idempotency-Key": key}
        request(context, "PUT", "/catch/7?x=1", data=b"catch", headers=headers)


@then('the stand-in service counted {times:d} runs of key "{key}"')
def step_counted(context, times, key):
    runs = [run for run in control(context, "GET", "/runs") if run["key"] == key]
    assert [run["ran"] for run in runs] == list(range(1, times + 1)), runs
    assert all(run["path"] == "/catch/7?x=1" for run in runs)
