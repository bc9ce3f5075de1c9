#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on: they need Python's standard library only.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins_2.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
