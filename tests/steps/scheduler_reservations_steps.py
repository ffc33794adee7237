"""Steps of tests/scheduler/reservations.feature."""

from types import SimpleNamespace

import msgspec
from behave import given, then, when
from scheduler_driver import make_handle

from pomelolane.scheduler.objective import ObjectiveOptions
from pomelolane.scheduler.objective.reservations import make_retry_reservations
from pomelolane.scheduler.objective.reserved_slots import Reservation
from pomelolane.scheduler.objective.waiting import Precedence, waiting_from_handle

START_MS = 10_000.0
RANK = 1
SLOT_MS = 80.0
CHANGES = {
    "nothing else": {},
    "another rank": {"tier_rank": RANK + 1},
    "another body": {"fingerprint": "other"},
    "a second attempt": {"attempt": 1},
    "no objective": {"objective_ms": 0},
    "an earlier admission": {"admitted": True},
}


@given("reservations for {slots:d} slots")
def step_reservations(context, slots):
    context.book = make_retry_reservations(ObjectiveOptions())
    context.slots = slots
    context.now_ms = START_MS
    context.number = 0
    context.offers = {}
    _supply(context, 0.0)


def _supply(context, suspended_until_ms):
    workers = [
        SimpleNamespace(
            leaving=False,
            suspended_until_ms=suspended_until_ms if number % 2 else 0.0,
            usable_slots=lambda share: 1,
        )
        for number in range(context.slots)
    ]
    context.book.update(workers, 1.0, context.now_ms)


def _arrive(context, name, **changes):
    context.number += 1
    row = {"id": f"r{context.number}", "tier": RANK, "budget_ms": 6_000}
    handle = make_handle(row, fingerprint=name.zfill(16), objective_ms=400)
    handle = msgspec.structs.replace(handle, **changes)
    context.waiting = waiting_from_handle(handle, context.now_ms)
    context.book.claim(context.waiting, context.now_ms, is_resubmitted=handle.admitted)
    return context.waiting


def _refuse(context, waiting, slot_ms=SLOT_MS, wait_ms=100.0):
    offer = context.book.offer(waiting, wait_ms, slot_ms, context.slots, context.now_ms)
    context.offer = offer
    context.offers.setdefault(waiting.handle.fingerprint, offer)
    return offer


@when('request "{name}" is refused')
def step_refuse(context, name):
    # Late enough for the caller to return too early.
    offer = _refuse(context, _arrive(context, name), wait_ms=400.0)
    context.due_ms = context.now_ms + offer.retry_ms
    _supply(context, 0.0)


@when(
    '{count:d} requests "{names}" of {ms:d} ms are refused that could begin in 100 ms'
)
def step_refuse_many(context, count, names, ms):
    first = ord(names[0])
    for number in range(count):
        name = chr(first + number) if " to " in names else f"{names}{number}"
        _refuse(context, _arrive(context, name), float(ms))
    _supply(context, 0.0)


@when('a more urgent request "{name}" is refused')
def step_refuse_urgent(context, name):
    _refuse(context, _arrive(context, name, tier_rank=RANK - 1))


@when('{offset:d} ms from its retry time "{name}" arrives with {change}')
def step_return(context, offset, name, change):
    context.now_ms = context.due_ms + offset
    _arrive(context, name, **CHANGES[change])


@when('"{name}" arrives again')
def step_arrive(context, name):
    _arrive(context, name)


@when("the same request is submitted again")
def step_again(context):
    handle = context.waiting.handle
    context.waiting = waiting_from_handle(handle, context.now_ms)
    context.book.claim(context.waiting, context.now_ms, is_resubmitted=True)


@when('"{name}" arrives {ms:d} ms later and is refused again')
def step_early(context, name, ms):
    context.before = context.offer
    context.now_ms += ms
    _refuse(context, _arrive(context, name))


@when("gateways send its reservation {times:d} times, {ms:d} ms apart")
def step_sent(context, times, ms):
    for number in range(times):
        due_ms = context.due_ms + number * ms
        # The last two cannot be a scheduler's.
        for name, slot_ms in (("a".zfill(16), 80.0), ("a", 80.0), ("0" * 16, 0)):
            one = Reservation(0, name, RANK, due_ms, slot_ms)
            context.book.adopt(one, context.slots, context.now_ms)


@when('a second reservation of "{name}" is received, due {ms:d} ms later')
def step_second(context, name, ms):
    one = Reservation(0, name.zfill(16), RANK, context.due_ms + ms, SLOT_MS)
    context.book.adopt(one, context.slots, context.now_ms)


@when('"{name}" is used and gateways send its reservation again')
def step_used_sent(context, name):
    context.now_ms = context.due_ms
    _arrive(context, name)
    step_sent(context, 1, 0)


@when("half of the slots are suspended for {ms:d} ms")
def step_suspend(context, ms):
    _supply(context, context.now_ms + ms)


@when("the clock stood still for {ms:d} ms")
def step_pause(context, ms):
    context.book.account_for_pause(float(ms), context.now_ms)


@when("{count:d} reservations are received")
def step_many(context, count):
    for number in range(count):
        one = Reservation(0, f"{number:016x}", RANK, START_MS + number / 2, SLOT_MS)
        context.book.adopt(one, context.slots, context.now_ms)


@then("their retry times are {ms:d} ms apart on average")
def step_apart(context, ms):
    times = [offer.retry_ms for offer in context.offers.values()]
    assert times == sorted(times), times
    assert times[-1] - times[0] == ms * (len(times) - 1), times


@then("all of them have a reservation")
def step_all(context):
    assert all(offer.reserved_ms for offer in context.offers.values())


@then("{count:d} of them have a reservation")
def step_some(context, count):
    reserved = [one for one in context.offers.values() if one.reserved_ms]
    assert len(reserved) == count == context.book.figures.made, len(reserved)


@then("the others are told at least {ms:d} ms")
def step_others(context, ms):
    told = [one.retry_ms for one in context.offers.values() if not one.reserved_ms]
    assert min(told) >= ms, told


@then("it is told {ms:d} ms")
def step_told(context, ms):
    assert context.offer.retry_ms == ms, context.offer


@then("it is told {ms:d} ms less, nothing more is reserved and a copy is told of none")
def step_told_less(context, ms):
    assert context.offer.retry_ms == context.before.retry_ms - ms, context.offer
    assert context.offer.reserved_ms == context.before.reserved_ms
    assert (context.book.figures.made, context.book.figures.early) == (1, 1)
    assert not _refuse(context, _arrive(context, "a")).reserved_ms


@then("it {goes} first")
def step_goes_first(context, goes):
    is_first = context.waiting.precedence is Precedence.RESERVED
    assert is_first is (goes == "goes"), context.waiting
    if is_first:
        assert context.waiting.key < (RANK, Precedence.WITHIN_SHARE, 0.0)


@then('the reservations of "{names}" are held and {count:d} have lapsed')
def step_lapsed(context, names, count):
    assert context.book.figures.lapsed == count, context.book.figures
    for name in names.split():
        context.now_ms = START_MS + context.offers[name.zfill(16)].retry_ms
        _arrive(context, name)
        assert context.waiting.precedence is Precedence.RESERVED, name


@then("{count:d} reservations are held")
@then("{count:d} reservation is held")
def step_held(context, count):
    assert context.book.figures.held == count, context.book.figures


@then("no reservation is held")
def step_none_held(context):
    step_held(context, 0)
