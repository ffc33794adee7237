"""Endpoints that answer as a step says, and calls to them."""

from endpoints_server import (
    RawServer,
    answering,
    chunk,
    event_bytes,
    event_head,
    head,
    resetting,
    silent_after,
)

from pomelolane.clock import ManualClock
from pomelolane.endpoints import (
    ConnectionPool,
    make_engine_adapter,
    make_plain_adapter,
)
from pomelolane.exceptions import EndpointError
from pomelolane.model import Endpoint
from pomelolane.ports import UpstreamRequest

HELLO = b"hello world"
HELLO_ANSWER = head(content_length=len(HELLO)) + HELLO
DONE = b"data: [DONE]\n\n"
CANCELLED = (
    b'data: {"choices":[{"index":0,"delta":{},"finish_reason":"cancelled"}],'
    b'"usage":{"prompt_tokens":20}}\n\n'
)
LAST = chunk(b"")
CHUNKED = head(transfer_encoding="chunked")
HELLO_PIECES = (chunk(b"hello "), b"5\r\nwo", b"rld\r\n0\r", b"\n\r\n")
ENDLESS_HEAD = b"HTTP/1.1 200 OK\r\n" + b"A: b\r\n" * 40000
OTHER_CODING = head(transfer_encoding="gzip, chunked")


def usage_json(count):
    """Return a JSON answer with so many cached tokens."""
    details = b'"prompt_tokens_details":{"cached_tokens":%d}' % count
    return b'{"choices":[],"usage":{"prompt_tokens":20,' + details + b"}}"


JSON_HEAD = head(content_type="application/json", content_length=len(usage_json(12)))

ENDPOINTS = {
    'answers with a length and the body "hello world"': answering(HELLO_ANSWER),
    'answers with chunks and the body "hello world"': answering(CHUNKED, *HELLO_PIECES),
    'answers with an interim head and the body "hello world"': answering(
        head(100), HELLO_ANSWER
    ),
    'answers with only a close and the body "hello world"': answering(
        head() + HELLO, close=True
    ),
    "closes before it answers": answering(close=True),
    "closes within the head": answering(b"HTTP/1.1 200 OK\r\nA: b", close=True),
    "closes within a length": answering(HELLO_ANSWER[:-1], close=True),
    "closes within the chunks": answering(CHUNKED, chunk(HELLO), close=True),
    "resets within the chunks": resetting(CHUNKED, chunk(HELLO)),
    "answers what is not HTTP": answering(b"SSH-2.0-OpenSSH\r\n\r\n"),
    "answers with an endless head": answering(ENDLESS_HEAD),
    "switches protocols": answering(head(101, upgrade="x", connection="upgrade")),
    "answers 204": answering(head(204)),
    "answers 304 with a length": answering(head(304, content_length=500)),
    "answers in an unknown coding": answering(OTHER_CODING),
    "answers with an unknown status": answering(head(999, content_length=0)),
    "answers with the status 000": answering(
        b"HTTP/1.1 000 X\r\ncontent-length: 0\r\n\r\n"
    ),
    "answers with the status 000 and a body": answering(
        b"HTTP/1.1 000 X\r\ncontent-length: 4\r\n\r\nhalf"
    ),
    **{
        f"answers {status}": answering(head(status, content_length=0))
        for status in (404, 429, 500, 502, 503)
    },
    "closes after each answer without saying so": answering(HELLO_ANSWER, close=True),
    "sends bytes after the end of its answer": answering(HELLO_ANSWER + b"surplus"),
    "answers HEAD with the length of a body it does not send": answering(
        head(content_length=500)
    ),
    "breaks after its head": answering(event_head(), close=True),
    "answers JSON with 12 cached tokens": answering(JSON_HEAD + usage_json(12)),
}

STREAM_ENDS = {
    "its end": lambda begin: answering(begin, chunk(DONE), LAST),
    "closes": lambda begin: answering(begin, close=True),
    "ends well without its marker": lambda begin: answering(begin + LAST),
    "a last one that says cancelled": lambda begin: answering(
        begin, chunk(CANCELLED), chunk(DONE), LAST
    ),
    "falls silent": silent_after,
}


def engine_streaming(count, end):
    """Return a handler that streams so many events and ends as told."""
    return STREAM_ENDS[end](event_head() + chunk(event_bytes(count)))


def serve(context, handler):
    """Start a raw server and make the adapters for it."""
    context.clock = ManualClock()
    context.pool = ConnectionPool(clock=context.clock)
    context.engine = make_engine_adapter(context.pool)
    context.plain = make_plain_adapter(context.pool)
    context.errors = []
    context.server = context.run(RawServer(handler).start())
    context.endpoint = Endpoint("e1", "s", "dc", context.server.address)


def request(method="POST", body=b"{}", headers=()):
    """Return a request as the gateway hands it over."""
    return UpstreamRequest("r1", "k1", method, "/v1/x?y=1", headers, body)


async def read_all(context, sent):
    """Dispatch and read; keep stream, body and error."""
    context.body = b""
    try:
        context.stream = await context.engine.dispatch(context.endpoint, sent)
        async for data in context.stream.chunks():
            context.body += data
    except EndpointError as error:
        context.errors.append(error)
