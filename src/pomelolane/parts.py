"""Everything that one VM consists of, and what runs beside the requests.

:mod:`pomelolane.assembly` makes the parts; nothing here decides anything.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pomelolane.exceptions import PlatformError
from pomelolane.gateway.admin import Admin, AdminHooks
from pomelolane.gateway.operations import Operations
from pomelolane.settings.tree import branch_content_from_directory
from pomelolane.statusboard import build_report

if TYPE_CHECKING:
    from collections.abc import Callable

    from blacksheep import Application

    from pomelolane.background import BackgroundTasks
    from pomelolane.coordination import Coordination
    from pomelolane.gateway import Dispatcher, Gateway, KeyedCalls
    from pomelolane.jobs import Jobs
    from pomelolane.membership import Member, RecordedMarks
    from pomelolane.quarantine import RecordKeeper
    from pomelolane.settings.distribution import Distribution
    from pomelolane.settings.options import ServeOptions
    from pomelolane.settings.store import SettingsStore
    from pomelolane.store import ClaimSweeper, ModelKeeper, Platform, TableClaims
    from pomelolane.store.orders import HttpOrderSender
    from pomelolane.tree import CurrentTree

IMPORT_RETRY_S = 1.0
FLUSH_TIMEOUT_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class Parts:
    """Everything that one VM consists of."""

    options: ServeOptions
    incarnation: int
    version: str
    tree: CurrentTree
    platform: Platform
    store: SettingsStore
    member: Member
    marks: RecordedMarks
    distribution: Distribution
    background: BackgroundTasks
    coordination: Coordination
    dispatcher: Dispatcher
    claims: TableClaims
    keyed: KeyedCalls
    gateway: Gateway
    jobs: Jobs
    sweeper: ClaimSweeper
    keeper: ModelKeeper
    crash_record: RecordKeeper
    order_sender: HttpOrderSender

    def is_ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        return self.gateway.ready

    def mount(self, app: Application, stop_soon: Callable[[], None]) -> None:
        """Add all routes to the application."""
        self.gateway.mount(app)
        Operations(self.gateway, self.is_ready, lambda: build_report(self)).mount(app)
        hooks = AdminHooks(
            stop_soon=stop_soon,
            mark_leaving=self._mark_leaving,
            offer=self.distribution.offer,
        )
        Admin(self.store, self.gateway, self.tree, hooks).mount(app)

    def _mark_leaving(self, endpoint_id: str) -> None:
        """Take an operator's word that an endpoint is leaving."""
        self.member.mark_leaving(endpoint_id, "operator")
        self.background.start("mark", self.marks.record(endpoint_id))

    async def start_background(self) -> None:
        """Follow the settings and begin the work that needs no caller."""
        await self.distribution.start()
        if self.options.tree:
            self.background.start("import", self._import_first())
        self.background.start("jobs", self._run_jobs())
        self.background.start("claims", self.sweeper.run())
        self.background.start("marks", self.marks.run())
        self.background.start("models", self.keeper.run())
        self.background.start("write crashes", self.crash_record.write())
        self.background.start("read crashes", self.crash_record.read())
        await self.crash_record.loaded()

    async def _import_first(self) -> None:
        """Store the declarations given at the start where there are none yet."""
        contents = branch_content_from_directory(self.options.tree)
        while True:
            try:
                await self.store.import_first(contents)
            except PlatformError:
                await asyncio.sleep(IMPORT_RETRY_S)
            else:
                return

    async def _run_jobs(self) -> None:
        await self.distribution.wait_synced()
        self.jobs.runner.start()

    async def finish_background(self) -> None:
        """Finish what was accepted."""
        await self.jobs.runner.drain(self.options.drain_timeout_ms)
        await self.keyed.drain()
        await self.claims.flush(FLUSH_TIMEOUT_MS)

    async def stop_background(self) -> None:
        """Stop the rest."""
        await self.background.stop()
        await self.distribution.stop()
        await self.order_sender.aclose()
