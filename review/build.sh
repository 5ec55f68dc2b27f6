#!/usr/bin/env bash
# The stand-ins are Python 3 without further packages; nothing is built. Checks that they can be read.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import ast, glob
for path in sorted(glob.glob("**/*.py", recursive=True)):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PY
