"""Steps for the platform's ports against the stand-in's process."""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
import tempfile
from pathlib import Path

import aiohttp
from behave import given, then, when

from bench.processes import ManagedProcess
from pomelolane.clock import MonotonicClock
from pomelolane.model import Endpoint, Service, ServiceKind, Tree
from pomelolane.outcomes import Refusal
from pomelolane.ports import Write
from pomelolane.store import (
    EmbeddedTable,
    EmbeddedWeightStore,
    ModelKeeper,
    ModelOrders,
    PacedPulls,
    decode_claim,
    make_claims,
    make_leases,
    platform_from_url,
)
from pomelolane.store.orders import HttpOrderSender
from tests.faults import until


async def _start(context, module, *flags):
    directory = Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, directory)
    command = [sys.executable, "-m", module, "--port", "0", "--control-port", "0"]
    process = ManagedProcess(
        module, [*command, *flags], directory / "process.log", os.environ
    )
    context.add_cleanup(process.kill)
    process.spawn()
    await process.wait_for_line("ready")
    return dict(
        word.split("=", 1) for word in process.log_text().split() if "=" in word
    )


def _open(context, *flags):
    words = context.run(_start(context, "standins.platform", *flags))
    context.url = f"http://127.0.0.1:{words['port']}"
    context.control_url = f"http://127.0.0.1:{words['control_port']}"
    context.wire = _platform(context)
    context.wire_claims = {}


def _platform(context):
    platform = platform_from_url(context.url, call_timeout_ms=400)
    context.add_cleanup(lambda: context.run(platform.aclose()))
    return platform


def _claims(context, vm_id):
    if vm_id not in context.wire_claims:
        table = _platform(context).table
        claims = make_claims(table, vm_id, 1, MonotonicClock())
        context.wire_claims[vm_id] = claims
    return context.wire_claims[vm_id]


@given("a platform process")
def step_process(context):
    _open(context)


@given("the platform process allows {count:d} writes a second")
def step_limit(context, count):
    _open(context, "--writes-per-s", str(count))


@given("the platform process is told {body}")
@when("the platform process is told {body}")
def step_told(context, body):
    async def tell():
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"{context.control_url}/control", data=body) as response,
        ):
            assert response.status == 200, await response.text()

    context.run(tell())


def _writes(text):
    for part in text.split():
        key, rest = part.split("=")
        value, version = rest.split("@")
        yield Write(key, value.encode(), int(version))


@when('wire rows "{text}" are committed {how}')
def step_commit(context, text, how):
    atomic = how == "as a whole"
    context.run(context.wire.table.commit(list(_writes(text)), atomic=atomic))


@then('the wire rows under "{prefix}" are "{text}"')
def step_rows(context, prefix, text):
    rows = context.run(context.wire.table.scan(prefix))
    found = " ".join(f"{row.key}={row.value.decode()}" for row in rows)
    assert found == text, found


@then('a wire object with the name "{name}" can be kept, read and deleted')
def step_object(context, name):
    async def use():
        objects = context.wire.objects
        await objects.put(name, b"\0data")
        assert await objects.get(name) == b"\0data"
        await objects.delete(name)
        assert not await objects.get(name)

    context.run(use())


@when('wire VM "{vm_id}" claims "{key}" within {timeout_ms:d} ms')
def step_claim(context, vm_id, key, timeout_ms):
    claim = _claims(context, vm_id).claim(key, "d", timeout_ms=timeout_ms)
    context.result = context.run(claim)


@when('wire VMs "{first}" and "{second}" claim "{key}" at once')
def step_claim_both(context, first, second, key):
    async def both():
        return await asyncio.gather(
            *(
                _claims(context, vm_id).claim(key, "d", timeout_ms=5000)
                for vm_id in (first, second)
            )
        )

    context.results = context.run(both())


@when('wire VM "{vm_id}" claims {count:d} keys, {width:d} at a time')
def step_claim_many(context, vm_id, count, width):
    async def claim_all():
        claims = _claims(context, vm_id)
        results = []
        for first in range(0, count, width):
            results += await asyncio.gather(
                *(
                    claims.claim(f"k{first + i}", "d", timeout_ms=20_000)
                    for i in range(width)
                )
            )
        return results

    context.results = context.run(claim_all())


@then('wire VM "{vm_id}" is answered "{answer}"')
def step_answered(context, vm_id, answer):
    del vm_id
    if isinstance(context.result, Refusal):
        assert context.result.outcome == answer, context.result
    else:
        assert context.result.fresh == (answer == "held"), context.result


@then('the wire claim is finally "{state}"')
def step_finally(context, state):
    async def found():
        rows = await context.wire.table.scan("claims/")
        return state == (decode_claim(rows[0]).record.state if rows else "absent")

    context.run(until(found))


@then("exactly one wire VM holds it")
def step_one_holds(context):
    assert sum(record.fresh for record in context.results) == 1


@then("all wire claims are held")
def step_all_hold(context):
    assert all(record and record.fresh for record in context.results)


# --- load orders to an engine's process


@given("an engine process without the model and a model keeper")
def step_engine_process(context):
    flags = ("--endpoint-id", "e", "--model", "other", "--honours-fencing")
    words = context.run(_start(context, "standins.engine", *flags))
    address = f"127.0.0.1:{words['port']}"
    endpoint = Endpoint("e", "s", "dc", address, honours_fencing=True)
    context.service = Service("s", "t", ServiceKind.ENGINE, {}, model="m")
    tree = Tree(services={"s": context.service}, endpoints={"e": endpoint})
    clock = MonotonicClock()
    context.sender = HttpOrderSender()
    context.add_cleanup(lambda: context.run(context.sender.aclose()))
    pulls = PacedPulls(EmbeddedWeightStore(), clock, interval_ms=1)
    leases = make_leases(EmbeddedTable(), "a", clock)
    orders = ModelOrders(leases, context.sender, pulls)
    context.waiting = 0
    context.keeper = ModelKeeper(
        orders,
        context.sender,
        lambda: tree,
        lambda service: context.waiting,
        lambda service: True,
    )
    context.endpoint = endpoint


@when("{count:d} requests wait and the keeper looks after the service")
def step_look_after(context, count):
    context.waiting = count
    context.run(context.keeper.look_after(context.service))


async def _order_state(context):
    url = f"http://{context.endpoint.address}/orders/state"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        return await response.json()


@then("the engine process has the model, by an order with fencing {fencing:d}")
def step_engine_has(context, fencing):
    async def has():
        return "m" in (await _order_state(context))["models"]

    context.run(until(has))
    state = context.run(_order_state(context))
    assert state["fencing"] == fencing, state


@then("the engine process got {count:d} order")
def step_engine_orders(context, count):
    state = context.run(_order_state(context))
    assert len(state["carried_out"]) == count, state
