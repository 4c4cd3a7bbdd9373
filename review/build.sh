#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python modules without
# dependencies, so it only checks that each of them compiles.
set -e
cd "$(dirname "$0")/.."
python3 - <<'PROGRAM'
import pathlib

sources = [
    *pathlib.Path("review").rglob("*.py"),
    *pathlib.Path("src/standins/entry").glob("*.py"),
]
for source in sources:
    compile(source.read_text(encoding="utf-8"), str(source), "exec")
print(f"{len(sources)} modules compile")
PROGRAM
