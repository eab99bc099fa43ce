#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into review/.bin. Needs what the deploy file's build needs:
# a C++ compiler and nlohmann-json.
set -eu
cd "$(dirname "$0")"
mkdir -p .bin
rm -f .bin/part-2-*
for source in [6-9]/*.cc 10/*.cc; do
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o ".bin/part-2-$(dirname "$source")" "$source" &
done
wait
for number in 6 7 8 9 10; do
    [ -x ".bin/part-2-$number" ] || exit 1
done
