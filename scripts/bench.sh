#!/usr/bin/env bash
# Runs a bench of the release build: bench.sh WORD [ARGUMENT...]. Words:
#   decisions  policies for pools, in virtual time; --json for rows only
#   faults     what kills, freezes and outages cost, over separate processes;
#              --json, --rounds N
#   capacity   cost of a host at several numbers of entry hosts, as processes; --json, --hosts 5,10, --window 10
set -euo pipefail
cd "$(dirname "$0")/.."

word=${1:-}
[ $# -gt 0 ] && shift
bin=build/release/bin

case "$word" in
  decisions)
    scripts/build.sh release >&2
    exec "$bin/heather-bench-decisions" "$@"
    ;;
  faults)
    scripts/build.sh release >&2
    exec /usr/bin/python3 scripts/bench_faults.py "$@"
    ;;
  capacity)
    scripts/build.sh release >&2
    exec /usr/bin/python3 scripts/bench_capacity.py "$bin" "$@"
    ;;
  *)
    echo "bench.sh: no bench is named '$word'; see the head of this script" >&2
    exit 2
    ;;
esac
