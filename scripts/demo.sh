#!/usr/bin/env bash
# Installs what is missing, builds, and shows the whole path: entry hosts of
# three regions, backend servers, the platform's stand-in and a load for some
# seconds. Exits 0 only if every request was accounted for. An argument names
# the example: vatuwaqa (default) or pragova.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install-packages.sh
scripts/build.sh release
/usr/bin/python3 scripts/run_demo.py build/release/bin "${1:-vatuwaqa}"
