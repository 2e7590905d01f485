#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They are written in Python with its
# standard library alone, and run inside the process of a script, so that a check of the interpreter
# and of their syntax is all that there is to do. The project's own program comes from the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-2/*.py [0-9]*/case.py <<'CHECK'
import ast, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
print(f"{len(sys.argv) - 1} files of stand-ins and cases can be run")
CHECK
