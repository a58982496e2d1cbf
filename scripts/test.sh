#!/usr/bin/env bash
# Installs what is missing, builds, and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install-packages.sh
scripts/build.sh release
scripts/run-tests.sh build/release
