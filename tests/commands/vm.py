"""A VM's HTTP side for the commands' scenarios, on a thread with its own loop.

The settings interface is the real one over a table in memory; status and chat
answers are set by the scenario.
"""

from __future__ import annotations

import asyncio
import threading

from aiohttp import web

from pomelolane.exceptions import ForbiddenBranchError, PomelolaneError
from pomelolane.report import StatusReport, encode_report
from pomelolane.settings import SettingsStore, admin, keys


class FakeVm:
    """Serves one VM's routes.

    Args:
        table: Table of the settings store.
        branches: First tree.
        report: Status report to answer with.
    """

    def __init__(self, table, branches, report: StatusReport):
        self.store = SettingsStore(table)
        self.branches = branches
        self.report = report
        self.chat_events: list[bytes] = []
        self.chat_problem: tuple[int, bytes] | None = None
        self.seen_headers: dict[str, str] = {}
        self.drained: list[str] = []
        self.drop_answers = 0
        self.dropped_calls = 0
        self.url = ""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def start(self) -> None:
        """Listen on a free port."""
        self._thread.start()
        self._call(self._start())

    def stop(self) -> None:
        """Stop listening and end the thread."""
        self._call(self._runner.cleanup())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def run(self, coroutine):
        """Run a coroutine on the VM's loop."""
        return self._call(coroutine)

    def _call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(30)

    async def _start(self) -> None:
        await self.store.import_first(self.branches)
        app = web.Application()
        add = app.router.add_route
        add("GET", "/status", self._status)
        add("GET", "/admin/settings", self._settings(admin.answer_index))
        branch = "/admin/settings/{branch}"
        add("GET", branch, self._settings(admin.answer_branch))
        add("PUT", branch, self._settings(admin.answer_put))
        add("GET", branch + "/history", self._settings(admin.answer_history))
        add("POST", "/admin/drain", self._drain)
        add("POST", "/admin/endpoints/{endpoint}/leaving", self._leaving)
        add("POST", "/v1/chat/completions", self._chat)
        add("*", "/services/{path:.*}", self._drop)
        self._runner = web.AppRunner(app)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.url = f"http://{host}:{port}"

    async def _status(self, request):
        del request
        return web.Response(
            body=encode_report(self.report), content_type="application/json"
        )

    def _settings(self, handler):
        async def handle(request):
            asked = admin.AdminRequest(
                authorization=request.headers.get("Authorization", ""),
                branch=request.match_info.get("branch", ""),
                if_match=request.headers.get("If-Match", ""),
                note=request.headers.get("X-Note", ""),
                body=await request.read(),
            )
            answer = await handler(self.store, asked)
            if self.drop_answers and request.method == "PUT":
                self.drop_answers -= 1
                request.transport.close()
            return _response(answer)

        return handle

    async def _drain(self, request):
        return self._operate(request, self.report.vm.id, ("platform",))

    async def _leaving(self, request):
        owners = ("platform", "fleet")
        return self._operate(request, request.match_info["endpoint"], owners)

    def _operate(self, request, target, owners):
        key = keys.bearer_key(request.headers.get("Authorization", ""))
        try:
            operator = keys.operator_of_key(self.branches, key)
            if operator not in owners:
                raise ForbiddenBranchError(owners[-1])
        except PomelolaneError as error:
            return _response(admin.response_from_error(error))
        self.drained.append(target)
        return web.Response(status=202)

    async def _drop(self, request):
        await request.read()
        self.dropped_calls += 1
        request.transport.close()
        return web.Response()

    async def _chat(self, request):
        self.seen_headers = dict(request.headers)
        if self.chat_problem:
            status, body = self.chat_problem
            return web.Response(
                status=status, body=body, content_type="application/problem+json"
            )
        headers = {"Content-Type": "text/event-stream", "X-Request-Id": "r-1"}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for event in self.chat_events:
            await response.write(event)
        return response


def _response(answer: admin.AdminResponse) -> web.Response:
    return web.Response(
        status=answer.status,
        body=answer.body,
        content_type=answer.content_type,
        headers=dict(answer.headers),
    )
