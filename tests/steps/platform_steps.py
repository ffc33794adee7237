"""Steps for the platform's ports and their HTTP client."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from pomelolane.exceptions import (
    PlatformError,
    PlatformUnavailableError,
    SettingError,
)
from pomelolane.ports import Write
from pomelolane.store import EmbeddedTable, platform_from_url
from pomelolane.store.gate import CLOSED_AFTER_MS
from tests.faults import until

_REPLIES = {
    "answers 503": b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
    "answers 400": b"HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n",
    "answers 500": b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
    "answers 429": b"HTTP/1.1 429 X\r\nRetry-After-Ms: 70\r\nContent-Length: 0\r\n\r\n",
    "answers 200 with rubbish": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{,}",
    "answers 404": b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n",
    "closes without a reply": b"",
}


class ScriptedServer:
    """Answers each request with the same bytes, or not at all."""

    def __init__(self, behaviour: str) -> None:
        self.behaviour = behaviour
        self.requests = 0

    async def start(self) -> str:
        """Listen and return the base URL."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        if self.behaviour == "refuses connections":
            self._server.close()
            await self._server.wait_closed()
        return f"http://127.0.0.1:{port}"

    async def _serve(self, reader, writer):
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                if self.behaviour == "never replies":
                    await reader.read()
                    break
                writer.write(_REPLIES[self.behaviour])
                if not _REPLIES[self.behaviour]:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def _keep_open(platform):
    try:
        await asyncio.get_running_loop().create_future()
    finally:
        await platform.aclose()


async def _outcome(awaitable):
    try:
        return await awaitable
    except PlatformError as error:
        return error


@given("a platform that {behaviour}")
def step_platform_that(context, behaviour):
    context.server = ScriptedServer(behaviour)
    url = context.run(context.server.start())
    context.platform = platform_from_url(url, call_timeout_ms=300)
    context.keeper = context.loop.create_task(_keep_open(context.platform))


@when("a platform commit is sent")
def step_commit_sent(context):
    commit = context.platform.table.commit([Write("k", b"v", 0)])
    context.result = context.run(_outcome(commit))


@when("a platform row is read")
def step_row_read(context):
    context.result = context.run(_outcome(context.platform.table.read("k")))


@when("the platform has been silent for long")
def step_silent(context):
    async def be_silent():
        health = context.platform.health
        while health.down_ms < CLOSED_AFTER_MS:
            await _outcome(context.platform.table.read("k"))

    context.run(be_silent())


@when("{count:d} platform commits are sent")
def step_commits_sent(context, count):
    async def send():
        commits = [
            context.platform.table.commit([Write("k", b"v", 0)]) for _ in range(count)
        ]
        return await asyncio.gather(*map(_outcome, commits))

    context.requests_before = context.server.requests
    context.results = context.run(send())


@then("the platform turned them all away unsent")
def step_turned_away(context):
    assert context.server.requests == context.requests_before
    for result in context.results:
        assert type(result) is PlatformUnavailableError, result


@then("the platform is soon found to be up, and commits are sent again")
def step_found_up(context):
    context.run(until(lambda: context.platform.health.is_up))
    requests = context.server.requests
    commit = context.platform.table.commit([Write("k", b"v", 0)])
    context.run(_outcome(commit))
    assert context.server.requests > requests


@when("the platform answers again")
def step_platform_back(context):
    context.server.behaviour = "answers 404"


@then("the platform {call:w} ends with {error}")
def step_ends_with(context, call, error):
    del call
    kinds = [kind.__name__ for kind in type(context.result).__mro__]
    assert error in kinds, context.result


@then("the platform asks to come back after {wait_ms:d} ms")
def step_come_back(context, wait_ms):
    assert context.result.retry_after_ms == wait_ms


@then("the platform counts as {state:w}")
def step_counts_as(context, state):
    assert context.platform.health.is_up == (state == "up")


@when('the platform setting "{url}" is opened')
def step_setting_opened(context, url):
    try:
        context.result = platform_from_url(url)
    except SettingError as error:
        context.result = error


@then("the platform setting is refused")
def step_setting_refused(context):
    assert isinstance(context.result, SettingError)
    assert context.result.flag == "--platform"


@given("an embedded table")
def step_embedded(context):
    context.embedded = EmbeddedTable()


def _writes(text):
    for part in text.split():
        key, rest = part.split("=")
        value, version = rest.split("@")
        yield Write(key, None if value == "-" else value.encode(), int(version))


@when('the embedded table commits "{text}" {how}')
def step_embedded_commit(context, text, how):
    atomic = how == "as a whole"
    commit = context.embedded.commit(list(_writes(text)), atomic=atomic)
    context.result = context.run(commit)


@then('the embedded results are "{text}"')
def step_embedded_results(context, text):
    found = [f"{'yes' if r.applied else 'no'}:{r.version}" for r in context.result]
    assert found == text.split(), found


@then('the embedded rows under "{prefix}" are "{text}"')
def step_embedded_rows(context, prefix, text):
    _assert_rows(context, prefix, text)


@then('the whole embedded table is "{text}"')
def step_embedded_all_rows(context, text):
    _assert_rows(context, "", text)


def _assert_rows(context, prefix, text):
    rows = context.run(context.embedded.scan(prefix))
    found = [f"{row.key}={row.value.decode()}" for row in rows]
    assert found == text.split(), found
