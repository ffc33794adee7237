"""Reads behave's own summary and prints CI's closing line.

Failures listed in KNOWN-RED.txt are printed and passed over; anything else
that failed, or a run without any scenario, ends with a non-zero exit code.
"""

from __future__ import annotations

import re
import sys
from pathlib import Path

KNOWN_RED = Path("KNOWN-RED.txt")
MAX_KNOWN_RED = 10
_ENTRY = re.compile(r"[^|]+ \| [^|]+ \| issue \d+")
_SUMMARY = re.compile(r"^(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?", re.M)
_FAILING = re.compile(r"^  (tests/\S+\.feature:\d+)  (.*)$", re.M)


def known_red() -> dict[str, str]:
    """Return the listed scenarios with their cause, by scenario name."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_RED:
        sys.exit(f"KNOWN-RED.txt lists {len(lines)}, at most {MAX_KNOWN_RED} may stand")
    for line in lines:
        if not _ENTRY.fullmatch(line.strip()):
            sys.exit(f"KNOWN-RED.txt: no test, cause and issue in: {line}")
    return {line.split(" | ")[0].strip(): line for line in lines}


def main(log_path: str, status: str) -> int:
    """Print the verdict on a behave log and return the exit code."""
    text = Path(log_path).read_text()
    found = _SUMMARY.findall(text)
    if not found:
        print("behave printed no summary")
        return 1
    passed = int(found[-1][0])
    failed = int(found[-1][1]) + int(found[-1][2] or 0)
    failing = {name.strip() for _, name in _FAILING.findall(text)}
    listed = known_red()
    excused = failing & listed.keys()
    for name in sorted(excused):
        print(f"known red: {listed[name]}")
    unexcused = failed - len(excused)
    print(f"scenarios: {passed} passed, {failed} failed")
    broken = status != "0" and failed == 0
    return 1 if unexcused > 0 or broken or passed + failed == 0 else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2]))
