#!/usr/bin/env bash
# Checks that the stand-ins can run: they are Python 3 with its standard library alone, so there is nothing to compile.
# The programs under test are built by the line `build` of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - lib/standins.py [123]/case.py <<'PY'
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or later"
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
    print(f"{path}: ready")
PY
