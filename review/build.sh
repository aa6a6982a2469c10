#!/usr/bin/env bash
# Builds all that the review's scripts start beside the routers: the stand-ins need
# nothing but Python's standard library, so it only checks that they compile.
cd "$(dirname "$0")" || exit 2
python3 - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for path in sorted(pathlib.Path().rglob("*.py")):
    ast.parse(path.read_text(), str(path))
PYTHON
