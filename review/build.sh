#!/usr/bin/env bash
# The stand-ins of all cases are Python scripts and need no build; the project's programs come from
# the build of the deploy file.
set -euo pipefail
python3 -m py_compile "$(dirname "$0")"/common/*.py "$(dirname "$0")"/[1-5]/case.py
