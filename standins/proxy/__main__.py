"""Runs the fault proxy as a process.

It prints one line when it is ready and ends at SIGTERM or SIGINT.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from standins.proxy.running import options_from_arguments, start_proxy
from standins.serving import print_ready, run_until_stopped

if TYPE_CHECKING:
    import asyncio


async def _main(stop: asyncio.Event) -> None:
    proxy = await start_proxy(options_from_arguments())
    print_ready(proxy.control.port, proxy.control.port)
    await stop.wait()
    await proxy.aclose()


if __name__ == "__main__":
    run_until_stopped(_main)
