"""The process of one VM on the users' platform."""

from __future__ import annotations

import gc

from pomelolane.logs import write_json_lines
from pomelolane.platform.early import early_socket, ignore_reloads

_STDOUT = 1
_GC_THRESHOLDS = (10_000, 50, 100)


def run_platform() -> None:
    """Serve until stopped; logs are JSON lines on the standard output.

    Raises:
        DocumentError: The settings file cannot be read.
    """
    ignore_reloads()
    # Callers wait for this socket; everything else takes tenths of a second to load.
    sock = early_socket()
    import uvloop
    from absl import logging

    import pomelolane.defaults  # noqa: F401  (registers the built-in plug-ins)
    from pomelolane.platform.host import serve_on_platform

    logging.set_verbosity(logging.INFO)
    write_json_lines(_STDOUT)
    # What is loaded stays; off until here, since it took a tenth of the loading.
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    gc.enable()
    uvloop.run(serve_on_platform(sock))
