#!/usr/bin/env bash
# Installs the Debian 12 packages that snipeworks builds with.
#
# prometheus-cpp-dev and libulfius-dev depend on two flavours of libcurl's
# headers that conflict, so apt cannot install both. The core library of
# prometheus-cpp has no such dependency: it is installed as usual and the
# headers are unpacked into a prefix of their own (first argument).
set -euo pipefail
prefix=${1:?usage: install-deps.sh PREFIX}
export DEBIAN_FRONTEND=noninteractive
packages=(
  g++ cmake ninja-build clang-format clang-tidy git python3 curl ca-certificates
  libulfius-dev libnghttp2-dev libuv1-dev libhttp-parser-dev zlib1g-dev libcxxopts-dev libgoogle-glog-dev
  libexpected-dev nlohmann-json3-dev libmsgpack-cxx-dev librocksdb-dev
  libxxhash-dev libgtest-dev libgmock-dev librapidcheck-dev
  libprometheus-cpp-core1.0 spin
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if ((${#missing[@]})); then
  apt-get update -qq
  apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
if [[ ! -e $prefix/include/prometheus/registry.h ]]; then
  mkdir -p "$prefix"
  work=$(mktemp -d)
  chmod 755 "$work"
  (cd "$work" && { apt-get download -qq prometheus-cpp-dev ||
    { apt-get update -qq && apt-get download -qq prometheus-cpp-dev; }; })
  dpkg-deb -x "$work"/prometheus-cpp-dev_*.deb "$work/unpacked"
  cp -r "$work/unpacked/usr/include" "$prefix/"
  mkdir -p "$prefix/lib"
  ln -sf "$(ls /usr/lib/*/libprometheus-cpp-core.so.1.0 | head -1)" "$prefix/lib/libprometheus-cpp-core.so"
  rm -rf "$work"
fi
