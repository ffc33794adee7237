"""``pomelolane request``: send one request and watch its answer come.

The answer goes to the standard output, figures go to the standard error.
"""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING, ClassVar

import msgspec
from cleo.helpers import argument, option

from pomelolane.clock import MonotonicClock
from pomelolane.commands.answer_text import ChatStream, text_of_chunk
from pomelolane.commands.base import ClientCommand
from pomelolane.commands.exits import ExitCode
from pomelolane.exceptions import SettingError

if TYPE_CHECKING:
    import aiohttp
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

    from pomelolane.commands.client import VmClient

KEY_VARIABLE = "POMELOLANE_KEY"

_CHAT_PATH = "/v1/chat/completions"
_MAX_TOKENS = 10_000_000
_MAX_DEADLINE_MS = 86_400_000
_HEADER_FLAGS = {
    "work": "X-Work",
    "deadline-ms": "X-Deadline-Ms",
    "idempotency-key": "Idempotency-Key",
}


class _Message(msgspec.Struct, frozen=True):
    role: str
    content: str


class _ChatBody(msgspec.Struct, frozen=True):
    model: str
    messages: tuple[_Message, ...]
    stream: bool
    max_tokens: int


class RequestCommand(ClientCommand):
    """Sends one request."""

    name = "request"
    default_timeout_s = 600
    description = "Send one request to a service and watch its answer come."
    explanation = (
        f"The organisation's bearer key is read from {KEY_VARIABLE}, so that it "
        "shows in no list of processes. With --path, a plain service is called."
    )
    arguments: ClassVar[list[Argument]] = [
        argument("service", "Service to call."),
        argument("text", "Prompt or body; '-' reads the standard input."),
    ]
    options: ClassVar[list[Option]] = [
        option("work", None, "Kind of work; the service's first if left out.", False),
        option("max-tokens", None, "Longest answer in tokens.", False, default="64"),
        option("deadline-ms", None, "Time allowed in milliseconds.", False),
        option("idempotency-key", None, "Key under which it runs at most once.", False),
        option("no-stream", None, "Ask for the answer in one piece."),
        option("async", None, "Ask for an answer to be fetched later."),
        option("path", None, "Path below a plain service.", False),
        option("method", None, "HTTP method for --path.", False, default="POST"),
    ]

    async def talk(self, client: VmClient) -> ExitCode:
        """Send the request and print what comes."""
        started_ms = MonotonicClock().now_ms()
        path, method, body = self._target()
        async with client.call(method, path, self._headers(), body) as response:
            code = await self._print_answer(response, started_ms)
        total_ms = MonotonicClock().now_ms() - started_ms
        request_id = response.headers.get("X-Request-Id", "unknown")
        self.warn(f"request {request_id} ended after {total_ms:.0f} ms")
        return code

    def _target(self) -> tuple[str, str, bytes]:
        service = self.argument("service")
        text = self.argument("text")
        if text == "-":
            text = sys.stdin.read()
        if self.option("path") is not None:
            path = str(self.option("path")).lstrip("/")
            return f"/services/{service}/{path}", self.option("method"), text.encode()
        body = _ChatBody(
            model=service,
            messages=(_Message("user", text),),
            stream=not self.option("no-stream"),
            max_tokens=self.whole_number("max-tokens", 1, _MAX_TOKENS),
        )
        return _CHAT_PATH, "POST", msgspec.json.encode(body)

    def _headers(self) -> dict[str, str]:
        key = os.environ.get(KEY_VARIABLE, "")
        if not key:
            raise SettingError(KEY_VARIABLE, "", "an organisation's bearer key")
        if self.option("deadline-ms"):
            self.whole_number("deadline-ms", 1, _MAX_DEADLINE_MS)
        headers = {
            header: self.option(flag)
            for flag, header in _HEADER_FLAGS.items()
            if self.option(flag)
        }
        if self.option("async"):
            headers["Prefer"] = "respond-async"
        headers["Authorization"] = f"Bearer {key}"
        if self.option("path") is None:
            headers["Content-Type"] = "application/json"
        return headers

    async def _print_answer(
        self, response: aiohttp.ClientResponse, started_ms: float
    ) -> ExitCode:
        if response.content_type == "text/event-stream":
            return await self._print_stream(response, started_ms)
        body = await response.read()
        if "Location" in response.headers:
            self.warn(f"accepted; state and answer at {response.headers['Location']}")
        self.say(text_of_chunk(body) or body.decode("utf-8", "replace"))
        return ExitCode.OK

    async def _print_stream(
        self, response: aiohttp.ClientResponse, started_ms: float
    ) -> ExitCode:
        stream = ChatStream()
        async for data in response.content.iter_any():
            seen = stream.chunks
            text = stream.feed(data)
            if stream.chunks and not seen:
                ttft_ms = MonotonicClock().now_ms() - started_ms
                self.warn(f"first token after {ttft_ms:.0f} ms")
            self.say(text, end="")
            self.io.output.flush()
        self.say("")
        if stream.whole:
            return ExitCode.OK
        self.warn("the answer was cut short")
        return ExitCode.UNKNOWN
