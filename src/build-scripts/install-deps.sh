#!/usr/bin/env bash
# Installs the Debian 12 packages that snipeworks builds with.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
packages=(
  g++ cmake ninja-build clang-format clang-tidy git python3 curl ca-certificates
  libnghttp2-dev libuv1-dev libhttp-parser-dev zlib1g-dev libcxxopts-dev libgoogle-glog-dev
  libexpected-dev nlohmann-json3-dev libmsgpack-cxx-dev librocksdb-dev
  libxxhash-dev libgtest-dev libgmock-dev librapidcheck-dev
  prometheus-cpp-dev spin
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if ((${#missing[@]})); then
  apt-get update -qq
  apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
