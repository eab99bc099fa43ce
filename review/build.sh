#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs into review/.bin. Needs what the deploy file's build
# needs: a C++ compiler and nlohmann-json.
set -eu
cd "$(dirname "$0")"
mkdir -p .bin
rm -f .bin/case-*
for case in */case.cc; do
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o ".bin/case-${case%%/*}" "$case" ./*.cc &
done
wait
for case in */case.cc; do
    [ -x ".bin/case-${case%%/*}" ] || exit 1
done
