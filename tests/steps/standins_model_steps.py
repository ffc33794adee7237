"""Steps for the stand-ins' pure models, where time is passed in."""

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from standins.engine import (
    Batch,
    BlockCache,
    Sequence,
    SequenceState,
    Speeds,
    Tally,
)
from standins.engine.prompts import BLOCK_TOKENS, prompt_from_bytes
from standins.engine.reports import LaggedLoad, LateEvents, LoadFigures
from standins.platform import LaggingList, ListedMachine, RateLimit


def _numbers(text):
    return [int(part) for part in text.split()]


def _sequence(written):
    name, prompt_bytes, output_tokens = written.split(":")
    prompt = prompt_from_bytes(name.encode() * int(prompt_bytes))
    return name, Sequence(prompt, int(output_tokens))


def _tokens_until_idle(batch):
    """Return ``(sequence, ms)`` of every token until nothing is due."""
    tokens = []
    while (at_ms := batch.next_event_ms()) is not None:
        tokens += [(sequence, at_ms) for sequence in batch.advance(at_ms)]
    return tokens


def _named_tokens(context):
    if not hasattr(context, "tokens"):
        context.tokens = _tokens_until_idle(context.batch)
    return [(context.names[sequence], at_ms) for sequence, at_ms in context.tokens]


# --- batch ------------------------------------------------------------------


@given(
    "a stand-in batch of {slots:d} slots and {kv:d} KV tokens, "
    "{prefill:d} prefill and {decode:d} decode tokens/s"
)
def step_batch(context, slots, kv, prefill, decode):
    cache = BlockCache(kv, lambda stored, block: None)
    context.tally = Tally()
    context.batch = Batch(Speeds(slots, prefill, decode), cache, context.tally)
    context.names = {}


@when('stand-in requests "{requests}" are submitted at {at_ms:d} ms')
def step_submit(context, requests, at_ms):
    for written in requests.split():
        name, sequence = _sequence(written)
        context.names[sequence] = name
        context.batch.submit(sequence, at_ms)


@given('stand-in requests "{requests}" were run to the end')
def step_run(context, requests):
    step_submit(context, requests, 0)
    _tokens_until_idle(context.batch)


@when('stand-in request "{name}" is cancelled at {at_ms:d} ms')
def step_cancel(context, name, at_ms):
    context.batch.advance(at_ms)
    found = [s for s, known in context.names.items() if known == name]
    context.batch.cancel(found[-1], at_ms)


@when("the stand-in batch is paused for {pause_ms:d} ms")
def step_pause(context, pause_ms):
    context.batch.delay(pause_ms)


@when("the stand-in batch takes {factor:d} times as long from {at_ms:d} ms on")
def step_slow(context, factor, at_ms):
    context.batch.advance(at_ms)
    context.batch.slow_down(factor, at_ms)


@then('the stand-in tokens are "{expected}"')
def step_tokens(context, expected):
    found = [f"{name}@{round(at_ms, 3):g}" for name, at_ms in _named_tokens(context)]
    assert found == expected.split(), found


@then('the stand-in tokens come from "{expected}"')
def step_token_names(context, expected):
    found = [name for name, _ in _named_tokens(context)]
    assert found == expected.split(), found


@then("the stand-in batch has prefilled {tokens:d} tokens")
def step_prefilled(context, tokens):
    assert context.tally.prefilled_tokens == tokens, context.tally


REQUESTS = st.tuples(st.sampled_from("abc"), st.integers(0, 5000), st.integers(1, 9))
ACTIONS = st.tuples(
    st.floats(0, 300),
    st.sampled_from(["submit", "cancel", "pause", "slow"]),
    REQUESTS,
)


@then("any mix of stand-in requests, cancels, pauses and slowdowns adds up")
def step_adds_up(context):
    del context

    @settings(max_examples=100, deadline=None, database=None, derandomize=True)
    @for_all(st.lists(ACTIONS, max_size=30))
    def check(actions):
        _check_mix(actions)

    check()


def _check_mix(actions):
    cache = BlockCache(2048, lambda stored, block: None)
    tally = Tally()
    batch = Batch(Speeds(3, 1000, 100), cache, tally)
    sequences, tokens, now_ms = [], [], 0.0
    for wait_ms, action, (name, prompt_bytes, output_tokens) in actions:
        now_ms += wait_ms
        tokens += batch.advance(now_ms)
        if action == "submit":
            prompt = prompt_from_bytes(name.encode() * prompt_bytes)
            sequences.append(Sequence(prompt, output_tokens))
            batch.submit(sequences[-1], now_ms)
        elif action == "cancel" and sequences:
            batch.cancel(sequences[prompt_bytes % len(sequences)], now_ms)
        elif action == "pause":
            batch.delay(output_tokens)
            now_ms += output_tokens
        else:
            batch.slow_down(output_tokens, now_ms)
        assert cache.used_tokens <= 2048
        assert batch.running <= 3
    tokens += [sequence for sequence, _ in _tokens_until_idle(batch)]
    _check_ends(sequences, tokens)
    assert (cache.used_tokens, batch.running, batch.waiting) == (0, 0, 0)
    assert tally.generated_tokens == len(tokens)


def _check_ends(sequences, tokens):
    for sequence in sequences:
        assert tokens.count(sequence) == sequence.generated
        if sequence.state is SequenceState.FINISHED:
            assert sequence.generated == sequence.output_tokens
        else:
            assert sequence.state is SequenceState.CANCELLED


# --- cache ------------------------------------------------------------------


@given("a stand-in cache of {blocks:d} blocks")
def step_cache(context, blocks):
    context.block_events = []

    def record(stored, block):
        context.block_events.append(f"{'+' if stored else '-'}{block}")

    context.cache = BlockCache(blocks * BLOCK_TOKENS, record)


@when('stand-in blocks "{blocks}" are computed and held')
def step_hold(context, blocks):
    context.cache.acquire(_numbers(blocks), 0)
    context.cache.store(_numbers(blocks))


@when('stand-in blocks "{blocks}" are computed and released')
def step_release(context, blocks):
    step_hold(context, blocks)
    context.cache.release(_numbers(blocks), 0)


@when('stand-in blocks "{blocks}" are imported')
def step_import(context, blocks):
    context.cache.import_blocks(_numbers(blocks))


@then('the stand-in cache hits {hits:d} of blocks "{blocks}"')
def step_hits(context, hits, blocks):
    assert context.cache.hit_blocks(_numbers(blocks)) == hits


@then("the stand-in cache uses {blocks:d} blocks")
def step_uses(context, blocks):
    assert context.cache.used_tokens == blocks * BLOCK_TOKENS


@then('stand-in blocks "{blocks}" do not fit')
def step_no_fit(context, blocks):
    assert not context.cache.fits(_numbers(blocks), 0)


@then('the stand-in cache events are "{expected}"')
def step_block_events(context, expected):
    assert context.block_events == expected.split(), context.block_events


# --- reports ----------------------------------------------------------------


@given("a stand-in load that lags by {lag_ms:d} ms")
def step_lagged_load(context, lag_ms):
    context.load = LaggedLoad(lag_ms)


@when("the stand-in load becomes {running:d} running at {at_ms:d} ms")
def step_load_change(context, running, at_ms):
    context.load.record(LoadFigures(running, 0, 0), at_ms)


@then("the stand-in load shows {running:d} running at {at_ms:d} ms")
def step_load_shown(context, running, at_ms):
    assert context.load.read(at_ms).running == running


@given("stand-in events that lag by {lag_ms:d} ms with half of them lost")
def step_late_events(context, lag_ms):
    context.late_events = LateEvents(lag_ms, 0.5, seed=1)


@when("{count:d} stand-in events are recorded at {at_ms:d} ms")
def step_record_events(context, count, at_ms):
    for block in range(count):
        context.late_events.record(True, block, at_ms)


@then("no stand-in events are shown at {at_ms:d} ms")
def step_no_events(context, at_ms):
    assert context.late_events.read(0, at_ms).events == []


@then("some but not all {count:d} stand-in events are shown at {at_ms:d} ms")
def step_some_events(context, count, at_ms):
    context.shown = context.late_events.read(0, at_ms).events
    assert 0 < len(context.shown) < count
    assert all(event.sequence == event.prefix_hash + 1 for event in context.shown)


@then("only later stand-in events are shown after one of them")
def step_later_events(context):
    middle = context.shown[len(context.shown) // 2]
    later = context.late_events.read(middle.sequence, 10_000).events
    assert later == context.shown[context.shown.index(middle) + 1 :]


# --- platform ---------------------------------------------------------------


@given("a stand-in rate limit of {per_s:d} a second")
def step_limit(context, per_s):
    context.limit = RateLimit(per_s, 0.0)


@then(
    "{units:d} stand-in units are let through at {at_ms:d} ms "
    "and the next waits {wait_ms:d} ms"
)
def step_limited(context, units, at_ms, wait_ms):
    for _ in range(units):
        assert context.limit.wait_ms(at_ms) == 0
    assert round(context.limit.wait_ms(at_ms)) == wait_ms


@given("a stand-in list that lags by {lag_ms:d} ms")
def step_list(context, lag_ms):
    context.listing = LaggingList(lag_ms)


@when('the stand-in list becomes "{names}" at {at_ms:d} ms')
def step_list_change(context, names, at_ms):
    machines = tuple(ListedMachine(n, "dc", "127.0.0.1:1") for n in names.split())
    context.listing.set(machines, at_ms)


@then('the stand-in list shows "{names}" at {at_ms:d} ms')
@then('the stand-in list shows "" at {at_ms:d} ms')
def step_list_shown(context, at_ms, names=""):
    shown = [machine.vm_id for machine in context.listing.read(at_ms)]
    assert shown == names.split(), shown
