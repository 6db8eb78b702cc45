#!/usr/bin/env bash
# The stand-ins of the cases are Python programs of the standard library: nothing is compiled. This
# checks that the interpreter and the built daemon are there.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, glob, sys
assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for path in sorted(glob.glob("standins/*.py") + glob.glob("[1-5]/*.py")):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
test -x ../target/platform/cowsliprock-celld || {
    echo "review/build.sh: run the line 'build' of deploy/system.toml first" >&2
    exit 1
}
