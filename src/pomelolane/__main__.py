"""Entry point of ``pomelolane`` and ``python -m pomelolane``.

It does nothing but run the command line.
"""

from __future__ import annotations

import sys

from pomelolane.commands import main

if __name__ == "__main__":
    sys.exit(main())
