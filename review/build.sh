#!/bin/sh
# Builds the stand-ins that the cases start. They are Python programs that use the standard library only, so this checks that
# they compile and that the program of the deploy file is there.
set -eu
cd "$(dirname "$0")"
python3 - standins.py */case.py <<'END'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
    print("checked", name)
END
test -x ../target/calicoscale || echo "target/calicoscale is missing: run the build of the deploy file" >&2
