#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into review/.bin. Needs what the deploy file's build needs:
# a C++ compiler and nlohmann-json.
set -eu
cd "$(dirname "$0")"
mkdir -p .bin
for source in [6-9]/*.cc 10/*.cc; do
    [ -f "$source" ] || continue
    program=".bin/part-2-$(dirname "$source")"
    rm -f "$program"
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "$program" "$source"
done
