#!/usr/bin/env bash
# Checks the format of every source and runs clang-tidy over it. With --format
# only the format is checked; with file names, only those files are linted.
#
# A unit that has passed is not linted again while its preprocessed text and the
# linter's configuration stay the same: stamps are kept in
# ${XDG_CACHE_HOME:-~/.cache}/heatherlever-lint.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t sources < <(git ls-files --cached --others --exclude-standard \
  'src/*.cc' 'src/*.h' 'platform/*.cc' 'platform/*.h')
clang-format --dry-run --Werror "${sources[@]}"
[ "${1:-}" = --format ] && exit 0

cmake --preset lint >/dev/null
if [ $# -gt 0 ]; then
  units=("$@")
else
  mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cc$')
fi
printf '%s\0' "${units[@]}" | xargs -0 -n 1 -P "$(nproc)" scripts/lint-unit.py build/lint
