#!/usr/bin/env bash
# Builds one preset (default: release) into build/<preset>.
set -euo pipefail
cd "$(dirname "$0")/.."

preset=${1:-release}
cmake --preset "$preset" >/dev/null
cmake --build "build/$preset"
