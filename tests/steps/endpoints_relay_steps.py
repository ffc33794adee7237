"""Steps of sse.feature and relay.feature."""

import asyncio

from behave import given, then, when
from endpoints_server import answering, event_bytes
from endpoints_world import DONE, request, serve, usage_json

from pomelolane.endpoints import SseCounter, relay, usage_from_json


@given("an event stream of {count:d} events and its end")
def step_event_stream(context, count):
    context.events = event_bytes(count) + DONE


@then("cutting the event stream anywhere counts {count:d} events and sees its end")
def step_cut_anywhere(context, count):
    data = context.events
    for size in range(1, len(data) + 1):
        counter = SseCounter()
        for start in range(0, len(data), size):
            counter.feed(data[start : start + size])
        assert (counter.events, counter.is_done) == (count, True), size


@given('the event bytes "{text}"')
def step_event_bytes(context, text):
    context.events = text.replace("\\r", "\r").replace("\\n", "\n").encode()


@then("the event counter says {count:d} events and {end}")
def step_counter(context, count, end):
    counter = SseCounter()
    counter.feed(context.events)
    assert (counter.events, counter.is_done) == (count, end == "end")


@then("the usage of a JSON answer with {count:d} cached tokens is read")
def step_usage(context, count):
    del context
    usage = usage_from_json(usage_json(count))
    assert usage.prompt_tokens_details.cached_tokens == count


@then("the usage of junk is empty")
def step_usage_junk(context):
    del context
    for junk in (b"", b"[]", b"{", b'{"usage":7}', b'{"usage":null}', b"\xff"):
        assert usage_from_json(junk).prompt_tokens == -1, junk


# --- relay ---


class Caller:
    """An ASGI ``send`` that keeps what it is given."""

    def __init__(self):
        self.messages = []

    async def send(self, message):
        """Keep a message."""
        self.messages.append(message)

    @property
    def body(self):
        """All body bytes so far."""
        return b"".join(message.get("body", b"") for message in self.messages)

    @property
    def is_closed(self):
        """Whether the answer was closed as whole."""
        return self.messages[-1].get("more_body") is False


def start_relay(context):
    context.caller = Caller()
    context.gone = asyncio.Event()
    context.firsts = []
    context.progress = []
    context.progressed = asyncio.Event()

    def on_progress(chunks):
        context.progress.append(chunks)
        context.progressed.set()

    async def run():
        stream = await context.engine.dispatch(context.endpoint, request())
        return await relay(
            stream,
            context.caller.send,
            context.gone,
            on_first=lambda: context.firsts.append(1),
            on_progress=on_progress,
        )

    return context.loop.create_task(run())


@given("an engine that streams {count:d} events with their length and no end marker")
def step_length(context, count):
    events = event_bytes(count)
    head = f"content-type: text/event-stream\r\ncontent-length: {len(events)}\r\n\r\n"
    serve(context, answering(b"HTTP/1.1 200 OK\r\n" + head.encode() + events))


@when("the endpoint's answer is relayed")
def step_relay(context):
    context.result = context.run(start_relay(context))


@when("the caller leaves while the endpoint's answer is relayed")
def step_leave(context):
    async def leave(task):
        await context.progressed.wait()
        context.gone.set()
        return await task

    context.result = context.run(leave(start_relay(context)))


@then("the relay passed on every byte and closed the answer")
def step_relayed(context):
    assert context.result.whole, context.result
    assert context.caller.is_closed
    assert len(context.caller.body) == context.result.bytes > 0


@then("the caller was told no length")
def step_no_length(context):
    headers = dict(context.caller.messages[0]["headers"])
    assert b"content-length" not in headers, headers


@then("the relay counted {chunks:d} chunks and {cached:d} cached tokens")
def step_relay_counted(context, chunks, cached):
    assert context.result.chunks == chunks, context.result
    assert context.result.cached_tokens == cached, context.result


@then("the relay opened nothing and says broken")
def step_unopened(context):
    assert context.caller.messages == []
    assert context.result.broken and not context.result.started


@then("the relay left the answer open and says broken")
def step_left_open(context):
    assert context.result.broken and context.result.started, context.result
    assert not context.result.whole
    assert not context.caller.is_closed
    assert context.result.chunks == 5, context.result


@then("the relay says that the caller has gone")
def step_gone(context):
    assert context.result.caller_gone, context.result
    assert not context.result.whole and not context.result.broken


@then("the relay told the first byte once and the progress up to {chunks:d} chunks")
def step_told(context, chunks):
    assert context.firsts == [1]
    assert context.progress[-1] == chunks, context.progress
