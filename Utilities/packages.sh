#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need; does nothing if all are
# installed.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
    libsigc++-3.0-dev libevent-dev libboost-dev libabsl-dev libfmt-dev catch2
    libmsgpack-cxx-dev nlohmann-json3-dev libinih-dev libxxhash-dev librapidcheck-dev
    libexpected-dev curl
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query --show --showformat='${db:Status-Status}' "$package" 2>/dev/null \
        | grep --quiet '^installed$'; then
        missing+=("$package")
    fi
done

if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
echo "Installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
