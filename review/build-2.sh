#!/bin/sh
# The stand-ins of cases 6 and later are Python scripts, so there is nothing to compile; this checks
# that what they need is there. Run after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import sys
assert sys.version_info >= (3, 11), "tomllib is needed"
CHECK
for file in review/common-2/*.py review/[6-9]/case.py review/10/case.py review/trials-2/*.py; do
  [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x target/bin/platform-entry
test -x target/bin/platform-control
