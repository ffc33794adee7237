"""Runs the platform stand-in as a process.

It prints one line when it is ready and ends at SIGTERM or SIGINT.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from standins.platform.options import options_from_arguments
from standins.platform.running import start_platform
from standins.serving import print_ready, run_until_stopped

if TYPE_CHECKING:
    import asyncio


async def _main(stop: asyncio.Event) -> None:
    standin = await start_platform(options_from_arguments())
    print_ready(standin.server.port, standin.control.port)
    await stop.wait()
    await standin.aclose()


if __name__ == "__main__":
    run_until_stopped(_main)
