#!/bin/sh
# Compiles the stand-ins of the scripts; they use Python's standard library alone.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q .
