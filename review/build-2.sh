#!/bin/bash
# The stand-ins of the second review's scripts are Python, the project's own and rig2.py, so nothing is built; this checks
# that they can be loaded.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "review"); import rig2'
