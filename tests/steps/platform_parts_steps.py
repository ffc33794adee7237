"""Steps of parts of prompts that end endpoints, against real VMs and stand-ins."""

import asyncio
import itertools
import random
import time

from behave import given, then, when

from tests.routed_world import caller_headers

PATH = "POST /help/a HTTP/1.1"
PARTS = {"shared": "5c1e07a2", "fatal": "91bd3f06", "other": "77aa01"}
SOUND_EVERY_S = 0.05
FIFTH = 5


@given("engines that end under a part of prompts and are back after {down_s:g} s")
def step_fatal(context, down_s):
    world = context.world
    for endpoint in world.endpoints.values():
        endpoint.options.fatal_part = PARTS["fatal"]
    task = context.loop.create_task(world.keep_starting(down_s))
    context.add_cleanup(task.cancel)
    context.numbers = itertools.count(1)
    context.sound = []


async def _ask(context, vm, parts):
    """Ask with these parts and one of the request's own."""
    number = next(context.numbers)
    ids = [*(PARTS[part] for part in parts), f"{number:08x}"]
    prefix = ",".join(f"{one}:100" for one in ids)
    headers = caller_headers(f"r{number}", prompt_prefix=prefix)
    try:
        return await vm.ask(PATH, headers, b"question %d" % number)
    except (OSError, TimeoutError):
        return None


async def _ask_sound(context, vm, parts):
    at_s = time.monotonic()
    answer = await _ask(context, vm, parts)
    served = answer is not None and answer.status == 200 and answer.is_whole
    context.sound.append((at_s, served))


async def _come(context, for_s, ask, parts, every_s, count=1):
    """Ask at the VMs in turn, so many at a time."""
    until_s = time.monotonic() + for_s
    asking = []
    vms = itertools.cycle(context.world.vms)
    while time.monotonic() < until_s:
        for _ in range(count):
            asking.append(asyncio.ensure_future(ask(context, next(vms), parts)))
        await asyncio.sleep(every_s)
    await asyncio.gather(*asking)


def _sound(context, for_s, parts=("shared",)):
    return _come(context, for_s, _ask_sound, parts, SOUND_EVERY_S)


@when("sound requests come for {for_s:d} s")
def step_sound(context, for_s):
    context.run(_sound(context, for_s))


@when(
    '{count:d} requests with the parts "{parts}" come every {every_ms:d} ms for '
    "{for_s:d} s"
)
def step_come(context, count, parts, every_ms, for_s):
    names = parts.split(",")
    others = [name for name in names if name != "fatal"]

    async def play():
        await asyncio.gather(
            _sound(context, for_s, others),
            _come(context, for_s, _ask, names, every_ms / 1000, count),
        )

    context.run(play())


@when(
    "an engine ends by chance each {every_ms:d} ms for {for_s:d} s, "
    "beside sound requests"
)
def step_chance(context, every_ms, for_s):
    async def end_some():
        until_s = time.monotonic() + for_s
        while time.monotonic() < until_s:
            await asyncio.sleep(every_ms / 1000)
            engines = [
                one
                for name, one in context.world.endpoints.items()
                if name.startswith("e") and not one.ended.is_set()
            ]
            if engines:
                engine = random.choice(engines)
                engine.ended.set()
                await engine.aclose()

    async def play():
        await asyncio.gather(_sound(context, for_s), end_some())

    context.run(play())


def _sends(context):
    fatal = PARTS["fatal"]
    endpoints = context.world.endpoints.values()
    return [one for each in endpoints for one in each.seen if fatal in one.shared_parts]


def _ends_s(context):
    """Return when each endpoint ended under the part."""
    ends = []
    for each in context.world.endpoints.values():
        ended = [one.ended_s for one in each.seen if one.ended_s]
        ends += sorted(ended)[:1]
    return sorted(ends)


def _fifth_end_s(context):
    ends = _ends_s(context)
    assert ends, "no endpoint has ended"
    return ends[:FIFTH][-1]


@then(
    "they reached endpoints at most {most:d} times later than {s:d} s after "
    "the fifth end"
)
def step_at_most(context, most, s):
    from_s = _fifth_end_s(context) + s
    late = [one for one in _sends(context) if one.at_s > from_s]
    print(f"{len(late)} times more; {len(_ends_s(context))} endpoints ended in all")
    assert len(late) <= most


def _served_share(asked):
    assert len(asked) >= 20, f"only {len(asked)} sound requests"
    return sum(served for _, served in asked) / len(asked)


@then("sound ones are served half as often from {s:d} s after the fifth end on")
def step_sound_served(context, s):
    first_s = _ends_s(context)[0]
    from_s = _fifth_end_s(context) + s
    before = _served_share([one for one in context.sound if one[0] < first_s - 1])
    after = _served_share([one for one in context.sound if one[0] > from_s])
    print(f"{before:.3f} of the sound ones served before, {after:.3f} after")
    assert after >= before / 2


@then("the VMs blame nothing")
def step_nothing(context):
    assert not any(vm.events("request_quarantined") for vm in context.world.vms)


@then("all sound requests of the last {s:d} s are served")
def step_last_served(context, s):
    from_s = context.sound[-1][0] - s
    assert all(served for at_s, served in context.sound if at_s > from_s)
