#!/usr/bin/env bash
# Runs the fault soak with its recorded seeds: those that failed before, and a few more.
set -u
cd "$(dirname "$0")/../.." || exit 1
work=$(mktemp -d)
failures=0 keep=no
play() {
    build/bin/acacia-soak --seed "$1" --seconds "$2" --slow "$3" --growth "$4" --limits "$5" --copies "$6" \
        --versions "$7" --crashparts "$8" --folder "$work/$1" >"$work/$1.out" 2>&1
    echo $? >"$work/$1.rc"
}
# True if all that a seed broke is the rule that KNOWN-RED.txt lists for it.
is_known_red() {
    local rule
    rule=$(sed -n "s/^soak: $1 //p" KNOWN-RED.txt 2>/dev/null)
    [ -n "$rule" ] && grep -q '^BROKEN' "$2" && ! grep '^BROKEN' "$2" | grep -qv ", $rule: "
}
while read -r seed seconds slow growth limits copies versions crashparts _; do
    [[ $seed =~ ^[0-9]+$ ]] && play "$seed" "$seconds" "$slow" "$growth" "$limits" "$copies" "$versions" \
        "$crashparts" &
done <tests/auto/platform/soak/seeds.txt
wait
for rc in "$work"/*.rc; do
    out=${rc%.rc}.out
    if [ "$(cat "$rc")" = 0 ]; then
        echo "ok: $(tail -1 "$out")"
    elif [ "$(cat "$rc")" = 1 ] && is_known_red "$(basename "$out" .out)" "$out"; then
        echo "known red: $(tail -1 "$out"), logs in $work"
        grep '^BROKEN' "$out"
        keep=yes
    else
        echo "FAILED: logs in $work"
        cat "$out"
        failures=$((failures + 1))
    fi
done
[ $failures = 0 ] && [ $keep = no ] && rm -rf "$work"
exit $((failures > 0))
