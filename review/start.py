"""Plays the case of the current folder. Exits with 2, and not with Python's 1, where the case can't be started or its output is closed."""

import os
import runpy
import sys

sys.dont_write_bytecode = True
try:
    runpy.run_path(os.path.abspath("case.py"), run_name="__main__")
except BaseException as error:
    try:
        print(f"could not run: {type(error).__name__} {error}", file=sys.stderr, flush=True)
    finally:
        os._exit(2)
os._exit(2)  # a case that has been played doesn't return
