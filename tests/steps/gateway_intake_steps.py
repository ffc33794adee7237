"""Steps of gateway/intake.feature."""

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from pomelolane.exceptions import BadRequestError
from pomelolane.gateway.intake import call_from_chat, call_from_plain
from pomelolane.gateway.prefix import hash_prefix
from pomelolane.http.exchange import Exchange
from pomelolane.model import Organisation, Service, ServiceKind, Tier, Tree, Work

BODY = '{"model":"%s","messages":[{"role":"user","content":"%s"}]%s}'
CASES = {
    "whose body is cut off": {"body": '{"model":"chat","mess'},
    "whose body is nested 100000 deep": {"body": "[" * 100_000},
    "for an unknown service": {"model": "nobody"},
    "for the plain service": {"model": "ledger"},
    "for an unknown work": {"headers": [(b"x-work", b"juggle")]},
    "without messages": {"body": '{"model":"chat","messages":[]}'},
    "with max_tokens of zero": {"more": ',"max_tokens":0'},
    'with a deadline of "soon"': {"headers": [(b"x-deadline-ms", b"soon")]},
    'with a deadline of "-5"': {"headers": [(b"x-deadline-ms", b"-5")]},
    "with a key of 300 bytes": {"headers": [(b"idempotency-key", b"k" * 300)]},
    "from an organisation without right": {"services": ("ledger",)},
}


@given("a gateway's tree with a chat service and a plain service")
def step_tree(context):
    check = Work("check", "top", deadline_ms=4000, output_tokens=20)
    submit = Work("submit", "top", deadline_ms=4000)
    context.tree = Tree(
        tiers={"top": Tier("top", 0)},
        services={
            "chat": Service("chat", "t", ServiceKind.ENGINE, {"check": check}, "m-1"),
            "ledger": Service("ledger", "t", ServiceKind.PLAIN, {"submit": submit}),
        },
    )


def _exchange(headers=(), method="POST"):
    scope = {"method": method, "raw_path": b"/", "query_string": b"a=1"}
    return Exchange({**scope, "headers": list(headers)}, None, None)


def _check(context, *, model="chat", prompt="x", more="", body=None, **rest):
    organisation = Organisation("o", "t", "", services=rest.get("services", ()))
    text = body if body is not None else BODY % (model, prompt, more)
    exchange = _exchange(rest.get("headers", ()))
    return call_from_chat("r", context.tree, organisation, exchange, text.encode())


@when('the gateway checks a chat request for work "{work}" with {size:d} prompt bytes')
def step_check(context, work, size):
    headers = [(b"x-work", work.encode())]
    context.call = _check(context, prompt="x" * size, headers=headers)


@then("the call has tier rank {rank:d}, deadline {ms:d} ms and {n:d} prefill tokens")
def step_call(context, rank, ms, n):
    call = context.call
    found = (call.tier_rank, call.deadline_ms, call.prefill_tokens)
    assert found == (rank, ms, n), found


@then("the call has {count:d} prefix hashes")
def step_hashes(context, count):
    assert len(context.call.prefix_hashes) == count


@then('the call\'s body names model "{model}"')
def step_model(context, model):
    assert f'"model":"{model}"'.encode() in context.call.body


@when("the gateway checks a chat request {case}")
def step_case(context, case):
    try:
        _check(context, **CASES[case])
        context.error = None
    except BadRequestError as error:
        context.error = error


@then('the check fails with {status:d} and reason "{reason}"')
def step_failed(context, status, reason):
    assert context.error is not None
    assert (context.error.status, context.error.reason) == (status, reason)


@when("two prompts of {size:d} bytes share their first {shared:d}")
def step_prompts(context, size, shared):
    rest = size - shared
    context.hashes = [hash_prefix(b"a" * shared + last * rest) for last in (b"b", b"c")]


@then("their first {count:d} prefix hashes are equal and the third differs")
def step_prefix(context, count):
    one, two = context.hashes
    assert one[:count] == two[:count]
    assert one[count] != two[count]


@when("the gateway checks a plain call with headers of all kinds")
def step_plain(context):
    headers = [(b"x-mine", b"1"), (b"authorization", b"Bearer s"), (b"te", b"x")]
    context.call = call_from_plain(
        "r",
        context.tree,
        Organisation("o", "t", ""),
        _exchange(headers),
        "ledger",
        "/entries",
        b"{}",
    )


@then("only the end-to-end headers are passed on")
def step_headers(context):
    assert context.call.headers == ((b"x-mine", b"1"),)
    assert context.call.path == "/entries?a=1"


@then("a POST without a declaration is not idempotent")
def step_not_idempotent(context):
    assert not context.call.idempotent


@then("no fuzzed body makes the check fail without a type")
def step_fuzz(context):
    @settings(max_examples=300, deadline=None, database=None)
    @for_all(st.one_of(st.text(), st.text().map(lambda t: BODY % ("chat", t, ""))))
    def check(text):
        try:
            _check(context, body=text.encode("utf-8", "replace").decode())
        except BadRequestError as error:
            assert 400 <= error.status < 500

    check()
