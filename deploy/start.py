"""Starts the program from the sources, with its libraries on the path already."""

import sys
from pathlib import Path

sys.path[0] = str(Path(__file__).resolve().parent.parent / "src")

from pomelolane.platform.early import listen_early  # noqa: E402

# The command line alone takes a tenth of a second to load; callers wait meanwhile.
listen_early()

from pomelolane.__main__ import main  # noqa: E402

sys.exit(main())
