#!/usr/bin/env bash
# Prepares what the scripts of cases 6 to 10 start. Their stand-ins are Python files, which need no
# build, only a check; the daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standins-2/cell.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'END'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
daemon=../target/platform/cowsliprock-celld
[ -x "$daemon" ] || { echo "build-2.sh: run the build of the deploy file first" >&2; exit 2; }
