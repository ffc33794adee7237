"""``pomelolane serve``: one process, one loop, until a signal ends it.

SIGTERM and SIGINT begin a planned stop; a second one changes nothing.
"""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from typing import TYPE_CHECKING

import uvloop
from absl import logging

from pomelolane.assembly import make_parts
from pomelolane.node import Node

if TYPE_CHECKING:
    from pomelolane.settings.options import ServeOptions

_VERBOSITY = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
_GC_THRESHOLDS = (10_000, 50, 100)


def run(options: ServeOptions) -> int:
    """Run one VM and return its exit code."""
    logging.use_absl_handler()
    logging.get_absl_handler().python_handler.stream = sys.stderr
    logging.set_verbosity(_VERBOSITY[options.log_level])
    # Most objects die by reference count; a rarer collector keeps its pauses
    # out of the token path.
    gc.set_threshold(*_GC_THRESHOLDS)
    uvloop.run(_serve(options))
    return 0


async def _serve(options: ServeOptions) -> None:
    parts = make_parts(options)
    node = Node(options, parts)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stop_soon)
    await node.start()
    gc.freeze()
    await node.run_until_stopped()
