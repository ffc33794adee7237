"""One member in a process of its own, which the steps freeze and resume.

Prints a line when it detects a pause; ends at the end of its input.
"""

from __future__ import annotations

import asyncio
import sys

from pomelolane.addresses import Seed
from pomelolane.membership import make_member


async def main(vm_id, data_centre, seed_id, seed_address):
    """Run the member until the input ends."""
    seeds = (Seed(seed_id, data_centre, seed_address),)
    member = make_member(vm_id, data_centre, 1, seeds=seeds)
    member.on_pause(lambda pause_ms: print(f"paused {pause_ms:.0f}", flush=True))
    await member.start()
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    await member.stop()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
