#!/usr/bin/env bash
# Runs the fault soak with its recorded seeds: those that failed before, and a few more.
set -u
cd "$(dirname "$0")/../.." || exit 1
work=$(mktemp -d)
failures=0
play() {
    build/bin/acacia-soak --seed "$1" --seconds "$2" --slow "$3" --growth "$4" --folder "$work/$1" >"$work/$1.out" 2>&1
    echo $? >"$work/$1.rc"
}
while read -r seed seconds slow growth _; do
    [[ $seed =~ ^[0-9]+$ ]] && play "$seed" "$seconds" "$slow" "$growth" &
done <tests/auto/platform/soak/seeds.txt
wait
for rc in "$work"/*.rc; do
    out=${rc%.rc}.out
    if [ "$(cat "$rc")" = 0 ]; then
        echo "ok: $(tail -1 "$out")"
    else
        echo "FAILED: logs in $work"
        cat "$out"
        failures=$((failures + 1))
    fi
done
[ $failures = 0 ] && rm -rf "$work"
exit $((failures > 0))
