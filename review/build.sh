#!/usr/bin/env bash
# Checks the stand-ins: they are Python scripts (3.11 or later, standard library) and need no build of their own.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins.py start.py [0-9]*/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
