#!/usr/bin/env bash
# Installs the Debian packages that .ci/packages.txt names, where any is missing.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t packages < .ci/packages.txt
if dpkg-query --show --showformat='${db:Status-Abbrev}\n' "${packages[@]}" 2>/dev/null \
    | grep --invert-match --quiet '^ii'; then
  missing=yes
elif ! dpkg-query --show "${packages[@]}" >/dev/null 2>&1; then
  missing=yes
else
  missing=no
fi
if [ "$missing" = yes ]; then
  sudo=()
  [ "$(id -u)" -eq 0 ] || sudo=(sudo)
  "${sudo[@]}" apt-get update -q
  DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -q -y --no-install-recommends "${packages[@]}"
fi
