#!/usr/bin/env bash
# Builds what the scripts of this review start beside the daemon. Their stand-ins are Python without further modules: they are only compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in ["standins_3.py", *sorted(glob.glob("1[1-5]/*.py"))]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
