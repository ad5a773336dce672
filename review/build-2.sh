#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start, beside the build of the deploy file: stand-ins in Python, which need
# no compiler. Fails if the interpreter is missing or too old.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 9) else "Python 3.9 or later is needed")'
for file in 6/standins_two.py [6-9]/case.py 10/case.py; do
	if [ -e "$file" ]; then
		python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
	fi
done
