"""Starts a VM from the sources, with its libraries on the path already."""

import gc
import sys
from pathlib import Path

# Nothing that is loaded becomes garbage; run_platform turns it on again.
gc.disable()

sys.path[0] = str(Path(__file__).resolve().parent.parent / "src")

from pomelolane.platform.early import ignore_reloads, listen_early  # noqa: E402

ignore_reloads()

# What follows takes tenths of a second to load; callers wait meanwhile.
listen_early()

from pomelolane.exceptions import PomelolaneError  # noqa: E402
from pomelolane.platform.process import run_platform  # noqa: E402

# Not by the command line, which takes a tenth of a second more on a VM to load.
try:
    run_platform()
except PomelolaneError as error:
    sys.exit(f"pomelolane: {error}")
