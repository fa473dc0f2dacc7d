#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: Python of the standard library only, so they are only checked.
cd "$(dirname "$0")/.." || exit 2
exec python3 -B - <<'PY'
import ast, sys
from pathlib import Path
if sys.version_info < (3, 11):
    raise SystemExit("Python 3.11 or later is needed")
files = sorted(Path("review/standin-3").glob("*.py"))
files += [f for n in range(11, 16) for f in sorted(Path(f"review/{n}").glob("*.py"))]
for f in files:
    ast.parse(f.read_text(encoding="utf-8"), str(f))
print("checked:", *files)
PY
