#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the program of the deploy file: stand-ins in Python, which
# need no more than a check that this Python can read them.
cd "$(dirname "$0")" || exit 2
python3 - <<'PYTHON'
import ast, glob, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for name in ["rig3.py", "bookings3.py", *sorted(glob.glob("1[1-5]/*.py"))]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
PYTHON
