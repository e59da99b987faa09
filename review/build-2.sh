#!/bin/sh
# Builds the stand-ins of review/6 to review/10. They are plain Python and need the standard library alone:
# what has to be there is the environment of the deploy file's build, and that each file compiles.
cd "$(dirname "$0")" || exit 1
[ -x ../.venv/bin/python ] || { echo "run the build of the deploy file first"; exit 1; }
for file in platform2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    ../.venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
