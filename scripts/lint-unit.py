#!/usr/bin/env python3
"""Lints one unit with clang-tidy, unless the same text has passed before.

Usage: lint-unit.py BUILD_FOLDER UNIT"""

import hashlib
import json
import os
import pathlib
import re
import shlex
import subprocess
import sys


def compile_command(build, unit):
    path = os.path.abspath(unit)
    for entry in json.loads((pathlib.Path(build) / "compile_commands.json").read_text()):
        if entry["file"] == path:
            return entry
    sys.exit(f"lint-unit.py: {build}/compile_commands.json has no command for {unit}")


def preprocessed(entry):
    words = shlex.split(entry["command"])
    if os.path.basename(words[0]) == "ccache":
        words = words[1:]
    output = words.index("-o")
    words = words[:output] + words[output + 2:]
    # Comments are kept: they hold the linter's own marks.
    words[words.index("-c"):words.index("-c") + 1] = ["-E", "-C"]
    text = subprocess.run(words, cwd=entry["directory"], check=True, capture_output=True).stdout
    # Line markers and __FILE__ name the checkout's folder, which differs from run
    # to run.
    return text.replace(os.getcwd().encode(), b"")


def stamp(entry):
    digest = hashlib.sha256(preprocessed(entry))
    digest.update(pathlib.Path(".clang-tidy").read_bytes())
    digest.update(subprocess.run(["clang-tidy", "--version"], check=True, capture_output=True).stdout)
    cache = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "heatherlever-lint"
    cache.mkdir(parents=True, exist_ok=True)
    return cache / digest.hexdigest()


def main():
    build, unit = sys.argv[1:]
    passed = stamp(compile_command(build, unit))
    if passed.exists():
        return 0
    result = subprocess.run(
        ["clang-tidy", "--quiet", "-p", build, unit], stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    noise = re.compile(r"warnings? generated|Suppressed|Use -header-filter")
    sys.stdout.write("".join(line for line in result.stdout.splitlines(True) if not noise.search(line)))
    if result.returncode == 0:
        passed.touch()
    return result.returncode


if __name__ == "__main__":
    sys.exit(main())
