"""Steps for the shares of organisations, alone and under a flood of one of them."""

from dataclasses import replace

from behave import given, then, when
from scheduler_driver import make_handle

from bench.lab.organisations import Caller, OrganisationLoad, play_organisations
from pomelolane.scheduler.objective.shares import make_fair_shares
from pomelolane.scheduler.objective.waiting import Precedence, waiting_from_handle

REQUEST_MS = 250.0


def _classify(context, organisation, slot_ms=REQUEST_MS, name="", rank=1, **fields):
    context.number += 1
    row = {"id": name or f"r{context.number}", "tier": rank}
    fields = {"objective_ms": 500, **fields}
    handle = make_handle({**row, "organisation": organisation}, **fields)
    waiting = waiting_from_handle(handle, context.now)
    waiting.slot_ms = slot_ms
    waiting.set_precedence(context.shares.classify(waiting, context.now))
    return waiting


def _divide(context, after_ms=50.0):
    context.now += after_ms
    context.shares.divide(context.slots, context.now)


def _figures(context):
    return {
        (rank.tier_rank, one.organisation): one
        for rank in context.shares.status()
        for one in rank.organisations
    }


@given("{slots:d} slots and no weights")
@given("{slots:d} slots and the weights")
def step_shares(context, slots):
    context.shares, context.slots = make_fair_shares(), slots
    context.now, context.number = 0.0, 0
    rows = context.table or ()
    weights = {row["organisation"]: float(row["weight"]) for row in rows}
    context.shares.configure(weights)


@when("the organisations ask for slots in rank {rank:d}")
def step_ask(context, rank):
    # Requests of 50 ms for each division, until the demand has settled.
    context.asked = [
        *getattr(context, "asked", ()),
        *((rank, r) for r in context.table),
    ]
    for _ in range(100):
        _divide(context)
        for tier_rank, row in context.asked:
            for _ in range(int(row["slots"])):
                _classify(context, row["organisation"], 50.0, rank=tier_rank)


@then('the share of "{heavy}" is three times that of "{light}"')
def step_weighted(context, heavy, light):
    figures = _figures(context)
    shares = [figures[1, name].share_slots for name in (heavy, light)]
    assert abs(shares[0] / shares[1] - 3.0) < 1e-6, shares


@then('"{beyond}" are beyond their share, "{within}" is not')
def step_beyond(context, beyond, within):
    found = {name for (_, name), one in _figures(context).items() if one.is_beyond}
    assert found == set(beyond.split(",")) - {within}, found


@then('the next request of "{one}" is within its share, of "{other}" {where}')
def step_next(context, one, other, where):
    assert _classify(context, one).precedence is Precedence.WITHIN_SHARE
    expected = Precedence[f"{where.upper()}_SHARE"]
    assert _classify(context, other).precedence is expected


@then("no rank is contended")
def step_none(context):
    assert not context.shares.status()


@then("only rank {rank:d} is contended")
def step_only(context, rank):
    assert [one.tier_rank for one in context.shares.status()] == [rank]


@then('a retry and a begun answer of "{name}" are within its share')
def step_retry(context, name):
    assert _classify(context, name).precedence is Precedence.BEYOND_SHARE
    for fields in ({"attempt": 1}, {"objective_ms": 0}):
        waiting = _classify(context, name, **fields)
        assert waiting.precedence is Precedence.WITHIN_SHARE, fields


@then('refused requests of "{name}" never exhaust its share')
def step_refused(context, name):
    for _ in range(200):
        waiting = _classify(context, name)
        assert waiting.precedence is Precedence.WITHIN_SHARE
        context.shares.give_back(waiting)
    kept = {_classify(context, name).precedence for _ in range(200)}
    assert Precedence.BEYOND_SHARE in kept


@when(
    'a request of {slot_ms:d} ms of "{name}" is submitted, withdrawn and '
    "submitted again"
)
def step_again(context, slot_ms, name):
    _classify(context, name, slot_ms, name="again")
    context.shares.withdraw("again", context.now)
    _classify(context, name, slot_ms, name="again")
    _classify(context, "other", 60_000.0)


@then('the demand of "{name}" is {slots:d} slots')
def step_demand(context, name, slots):
    _divide(context)
    assert abs(_figures(context)[1, name].demand_slots - slots) < 0.1


@then('one change names "{beyond}", and the next one the end of the contention')
def step_changes(context, beyond):
    first = context.shares.take_change(context.now)
    assert (first.contended, first.beyond) == ((1,), (beyond,)), first
    _divide(context, 900.0)
    _divide(context, 9_000.0)
    assert not context.shares.status()
    assert context.shares.take_change(context.now - 9_000.0) is None
    assert context.shares.take_change(context.now).ended == (1,)


@given("the load of one flooding organisation with answers of {answers} tokens")
def step_flood(context, answers):
    tokens = tuple(int(one) for one in answers.split(","))
    context.others = tuple(Caller(f"o{number}", 4.2) for number in range(8))
    context.flood = (Caller("flood", 4.2, spike=40.0, answer_tokens=tokens),)


@given(
    "the flood is one rank more urgent than the others, beside a second organisation"
)
def step_urgent(context):
    (flood,) = context.flood
    urgent = replace(flood, tier_rank=0)
    context.flood = (urgent, replace(urgent, organisation="second", spike=1.0))


@when("it is played from seed {seed:d} with a new core at {replaced_ms:d} ms")
def step_play(context, seed, replaced_ms):
    callers = (*context.others, *context.flood)
    load = OrganisationLoad(callers, replaced_ms=replaced_ms, seed=seed)
    context.play = play_organisations(load)


@then("at least {least:f} of the other organisations' requests are served")
def step_served(context, least):
    served = context.play.served_share(context.others)
    assert served >= least, served


@then("at least {least:f} of the simulated slots are used")
def step_used(context, least):
    assert context.play.used_share() >= least, context.play.used_share()


@then("no request of the others is granted before a waiting one of the flood")
def step_strict(context):
    assert context.play.overtaken == 0, context.play.overtaken
