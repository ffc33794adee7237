"""Runs one engine stand-in, or all of a file, as a process.

It prints one line for each engine that is ready and ends at SIGTERM or SIGINT.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from standins.engine.options import options_from_arguments
from standins.engine.running import start_engine
from standins.serving import print_ready, run_until_stopped

if TYPE_CHECKING:
    import asyncio


async def _main(stop: asyncio.Event) -> None:
    engines = [await start_engine(options) for options in options_from_arguments()]
    for standin in engines:
        endpoint_id = standin.engine.options.endpoint_id
        print_ready(standin.server.port, standin.control.port, endpoint_id)
    await stop.wait()
    for standin in engines:
        await standin.aclose()


if __name__ == "__main__":
    run_until_stopped(_main)
