#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python programs without dependencies: nothing is
# built. Checks that they can start beside the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
for program in platform-entry platform-control; do
  test -x "target/bin/$program" || { echo "target/bin/$program is missing" >&2; exit 1; }
done
python3 -c 'import asyncio, tomllib; asyncio.timeout'
for case in review/1[1-5]/run.py review/common-3/deployment.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case"
done
