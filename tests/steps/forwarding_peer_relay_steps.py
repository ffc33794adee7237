"""Steps of tests/forwarding/peer_relay.feature."""

from types import SimpleNamespace

from behave import given, then, when
from endpoints_server import RawServer, head

from pomelolane.clock import ManualClock
from pomelolane.endpoints import AnswerStream, ConnectionPool
from pomelolane.exceptions import BadRequestError, EndpointRefusedError
from pomelolane.forwarding import Forwarder, Route, RouteKind, RouteTarget
from pomelolane.forwarding.call import CallState, ForwardCall
from pomelolane.forwarding.peer_relay import UNABLE_HEADER, PeerRelay
from pomelolane.forwarding.peers import RelayPeers
from pomelolane.forwarding.sender import RELAY_ID_HEADER, Sender
from pomelolane.http.exchange import Exchange
from pomelolane.outcomes import Reason
from pomelolane.platform.dialect import PlatformDialect
from pomelolane.ports import Peer
from pomelolane.ports.forwarding import CallDescription, Dispatch
from pomelolane.quarantine import Quarantine

_CALL = ForwardCall(
    local_id="local",
    description=CallDescription("r1", 0),
    route=Route("plain", "h", "/", RouteKind.IDEMPOTENT, (RouteTarget("s"),)),
    service="s",
    organisation="o",
    rank=0,
    charge_tokens=0,
    method="GET",
    target=b"/",
    headers=(),
    body=b"",
    accepted_ms=0.0,
    limit_ms=1000,
    version=1,
)
_HEADERS = {
    "does not accept the request": [],
    "can serve no request": [(UNABLE_HEADER, b"1")],
}


class _Sender:
    def __init__(self, answer):
        self._answer = answer

    async def send_to_peer(self, *args):
        if self._answer not in _HEADERS:
            raise EndpointRefusedError("nobody listens")
        stream = AnswerStream(None, 421, _HEADERS[self._answer])
        stream.finish(complete=True, error=None)
        return stream


@given("a VM that is cut off, and another one that {answer}")
def step_cut_off(context, answer):
    clock = ManualClock()
    peer = Peer("b1", 1, "hall-a", "127.0.0.1:1")
    view = SimpleNamespace(peers={"b1": peer})
    context.peers = RelayPeers("a1", "hall-a", lambda: view, clock)
    reach = SimpleNamespace(is_cut_off=True)
    context.peer_relay = PeerRelay(reach, context.peers, _Sender(answer), clock, None)


@when("a request is relayed")
def step_relayed(context):
    state = CallState(_CALL)
    context.is_served = context.run(context.peer_relay.serve(state, None))
    assert not state.may_have_run


@then("it is not served")
def step_not_served(context):
    assert not context.is_served


@then("the other VM is {state}")
def step_peer_state(context, state):
    chosen = context.peers.choose(())
    assert (chosen is None) == (state == "passed over"), chosen


@given("a VM to which others relay, and {why}")
def step_relayed_to(context, why):
    clock = ManualClock()
    errors = {
        "its route is not known": BadRequestError(404, Reason.NOT_FOUND, ""),
        "the VM is starting": BadRequestError(503, Reason.NOT_READY, ""),
    }

    async def accept(exchange):
        if why in errors:
            raise errors[why]
        return _CALL

    unused = None
    context.forwarder = Forwarder(
        SimpleNamespace(accept=accept),
        *[unused] * 5,
        Quarantine(clock),
        unused,
        clock,
        "hall-a",
        SimpleNamespace(is_cut_off=why == "the VM is cut off itself"),
        unused,
        unused,
    )
    if why == "the VM is stopping":
        context.forwarder.set_stop_time(clock.now_ms())


@when("another VM's request comes")
def step_comes(context):
    _relay_to(context, [])


@when('another VM\'s request comes with the relay id "{relay_id}"')
def step_comes_named(context, relay_id):
    _relay_to(context, [(RELAY_ID_HEADER, relay_id.encode())])


def _relay_to(context, headers):
    context.sent = []

    async def send(message):
        context.sent.append(message)

    scope = {"method": "GET", "raw_path": b"/", "query_string": b"", "headers": headers}
    context.run(context.forwarder.serve_relayed(Exchange(scope, None, send)))


@then("it is answered {status:d}, as of a VM that {answer}")
def step_answered(context, status, answer):
    head = context.sent[0]
    assert head["status"] == status
    says_unable = any(name == UNABLE_HEADER for name, _ in head["headers"])
    assert says_unable == bool(_HEADERS[answer]), head


@then('its answer names the relay id "{relay_id}"')
def step_named(context, relay_id):
    assert (RELAY_ID_HEADER, relay_id.encode()) in context.sent[0]["headers"]


@given("another VM that answers an earlier relayed request again with 503, then 200")
def step_late_answer(context):
    async def handle(server, reader, writer):
        await server.read_request(reader)
        writer.write(head(503, pomelolane_relay_id="earlier", content_length=0))
        writer.write(head(200, pomelolane_relay_id="local", content_length=0))

    context.server = context.run(RawServer(handle).start())


@when("a request is sent to that VM")
def step_send(context):
    sender = Sender(None, ConnectionPool(), PlatformDialect())
    dispatch = Dispatch("o", 1000)
    address = context.server.address
    sending = sender.send_to_peer(address, _CALL, dispatch, 0, None)
    context.stream = context.run(sending)


@then("its answer is {status:d}")
def step_answer_status(context, status):
    assert context.stream.status == status
