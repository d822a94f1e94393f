#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the daemon, which the build of deploy/system.toml makes.
# The stand-ins are Python without dependencies: there is nothing to compile, so this only shows that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - standins_2.py ./[6-9]/case.py ./10/case.py <<'PY'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
    print("read", path)
PY
