#!/bin/sh
# Builds the stand-ins of review/6 to review/10. They are Python sources that
# run as they are and need the standard library only, so they are compiled as a
# check, without writing into the repository.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'CHECK'
import pathlib
for path in sorted(pathlib.Path("review").glob("support/*.py")) + sorted(
    p for n in range(6, 11) for p in pathlib.Path(f"review/{n}").glob("*.py")
):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("compiled", path)
CHECK
