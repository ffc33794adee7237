#!/usr/bin/env bash
# Builds what the scripts of the second review start: their stand-ins are Python files
# that need the standard library alone, so that compiling them finds all errors.
set -eu
cd "$(dirname "$0")"
for file in harness2.py [4-8]/case.py; do
    [ -e "$file" ] && python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
