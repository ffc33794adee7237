"""Runs one plain service stand-in, or all of a file, as a process.

It prints one line for each worker that is ready and ends at SIGTERM or SIGINT.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from standins.service.options import options_from_arguments
from standins.service.running import start_service
from standins.serving import print_ready, run_until_stopped

if TYPE_CHECKING:
    import asyncio


async def _main(stop: asyncio.Event) -> None:
    workers = [await start_service(options) for options in options_from_arguments()]
    for standin in workers:
        endpoint_id = standin.worker.options.endpoint_id
        print_ready(standin.server.port, standin.control.port, endpoint_id)
    await stop.wait()
    for standin in workers:
        await standin.aclose()


if __name__ == "__main__":
    run_until_stopped(_main)
