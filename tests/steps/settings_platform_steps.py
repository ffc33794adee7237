"""Steps for the settings store on the platform's stand-in process."""

from __future__ import annotations

import asyncio
import os
import re
import sys
import tempfile
from pathlib import Path

import aiohttp
from behave import given, then, when

from bench.controls import ControlClient
from bench.processes import ManagedProcess
from pomelolane.settings import SettingsStore
from pomelolane.store import platform_from_url
from tests.settings.trees import make_operated_contents

COMMAND = (
    *(sys.executable, "-m", "standins.platform"),
    *("--port", "0", "--control-port", "0"),
)


async def start_platform(context, folder):
    process = ManagedProcess("platform", COMMAND, folder / "log", os.environ)
    process.spawn()
    context.add_cleanup(process.kill)
    await process.wait_for_line("ready")
    ports = dict(re.findall(r"(\w+)=(\d+)", process.log_text()))
    context.settings_session = aiohttp.ClientSession()
    port = int(ports["control_port"])
    context.settings_control = ControlClient(context.settings_session, port)
    return platform_from_url(f"http://127.0.0.1:{ports['port']}")


async def close_at_end(session, platform):
    try:
        await asyncio.Event().wait()
    finally:
        await session.close()
        await platform.aclose()


@given("a settings store on the platform's stand-in")
def given_platform(context):
    holder = tempfile.TemporaryDirectory()
    context.add_cleanup(holder.cleanup)
    platform = context.run(start_platform(context, Path(holder.name)))
    context.settings_closing = context.loop.create_task(
        close_at_end(context.settings_session, platform)
    )
    context.settings_store = SettingsStore(platform.table)
    context.contents = make_operated_contents(context)
    assert context.run(context.settings_store.import_first(context.contents))


def control(context, **settings):
    context.run(context.settings_control.post("/control", settings))


@given("the settings platform loses the next {count:d} replies")
def given_replies_lost(context, count):
    control(context, lose_replies=count)


@given("the settings platform is in an outage")
def given_outage(context):
    control(context, outage=True)


@when("the settings platform is back")
def when_back(context):
    control(context, outage=False)


@then("the settings platform has counted {count:d} writes")
def then_writes(context, count):
    counters = context.run(context.settings_control.get("/counters"))
    assert counters["writes"] == count, counters
