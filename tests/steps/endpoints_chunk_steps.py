"""Steps on chunks that pass undecoded, of connection.feature."""

import asyncio

from behave import then
from endpoints_server import chunk, event_head
from hypothesis import given as fuzz_given
from hypothesis import settings
from hypothesis import strategies as st

from pomelolane.endpoints import HttpConnection


class ChunkSink:
    """Keeps what it is given, in either form."""

    takes_chunks = True

    def __init__(self):
        self.body = b""
        self.raw_chunks = 0
        self.ended = 0

    def write(self, data):
        """Take decoded bytes."""
        self.body += data

    def write_chunk(self, data, head_length):
        """Take a whole chunk."""
        size = int(data[:head_length], 16)
        assert data == chunk(data[head_length : head_length + size])
        self.body += data[head_length:-2]
        self.raw_chunks += 1

    def end(self):
        """Note the end."""
        self.ended += 1


class NoTransport:
    """A transport that takes everything and does nothing."""

    def writelines(self, parts):
        """Take bytes."""

    def is_closing(self):
        """Tell that it is open."""
        return False

    def get_write_buffer_size(self):
        """Tell that nothing waits."""
        return 0

    def abort(self):
        """Do nothing."""


async def feed_cut(segments):
    """Feed a connection with an answer's segments; return sink and stream."""
    connection = HttpConnection(None, lambda _: None, lambda _: None)
    connection.connection_made(NoTransport())
    answer = asyncio.ensure_future(connection.exchange("POST", ()))
    await asyncio.sleep(0)
    connection.data_received(event_head())
    stream = await answer
    sink = ChunkSink()
    stream.attach(sink)
    for segment in segments:
        connection.data_received(segment)
    return sink, stream


def cut_segments(pieces, cuts):
    """Cut each chunk where told: 0 leaves it whole, n cuts off n bytes."""
    rest = b""
    segments = []
    for piece, cut in zip(pieces, cuts, strict=True):
        data = rest + chunk(piece)
        rest = b""
        if cut:
            data, rest = data[:-cut], data[-cut:]
        if data:
            segments.append(data)
    return [*segments, rest + chunk(b"")]


@then("however a fuzzer cuts a chunked answer, a sink of chunks gets its body")
def step_chunk_sink(context):
    piece = st.binary(min_size=1, max_size=40) | st.sampled_from([b"\r\n", b"5\r\nab"])
    seen = set()

    @settings(max_examples=300, deadline=None, database=None)
    @fuzz_given(st.lists(st.tuples(piece, st.integers(0, 9)), min_size=1, max_size=9))
    def check(parts):
        pieces, cuts = zip(*parts, strict=True)
        sink, stream = context.run(feed_cut(cut_segments(pieces, cuts)))
        assert sink.body == b"".join(pieces), (sink.body, parts)
        assert stream.complete and sink.ended == 1
        seen.add(sink.raw_chunks > 0)

    check()
    assert seen == {True, False}


@then("a chunk whose cut-off head and first bytes look like one passes unharmed")
def step_disguised(context):
    first = b"data: a\n\n"
    disguised = b"X\r\n" + b"y" * 14
    whole = chunk(disguised)
    # The second segment alone reads like a chunk of one byte.
    segments = [chunk(first) + whole[:1], whole[1:7], whole[7:] + chunk(b"")]
    assert segments[1] == chunk(b"X")
    sink, stream = context.run(feed_cut(segments))
    assert sink.body == first + disguised, sink.body
    assert stream.complete
