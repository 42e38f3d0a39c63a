#!/usr/bin/env bash
# The stand-ins of the cases are Python and need no build; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("checked", path)
PY
