#!/usr/bin/env bash
# Installs what is needed and builds out of tree. Prints the build folder.
set -euo pipefail
source_folder=$(cd "$(dirname "$0")/../.." && pwd)
# One build folder for each checkout, so that two do not disturb each other.
build=${SNIPEWORKS_BUILD:-${TMPDIR:-/tmp}/snipeworks-build-$(printf %s "$source_folder" | cksum | cut -d' ' -f1)}
"$source_folder/src/build-scripts/install-deps.sh" >&2
cmake -S "$source_folder" -B "$build" -G Ninja >&2
cmake --build "$build" >&2
echo "$build"
