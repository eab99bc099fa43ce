#!/usr/bin/env bash
# Checks the gateway process without a store: it starts, reports that it is not ready, applies changed
# settings, rejects invalid ones, and stops cleanly.
set -u
cd "$(dirname "$0")/../.." || exit 1
work=$(mktemp -d)
pid=
trap '[ -n "$pid" ] && kill "$pid" 2>/dev/null; rm -rf "$work"' EXIT
failures=0
check() { if "${@:2}"; then echo "ok: $1"; else echo "FAILED: $1"; failures=$((failures + 1)); fi; }
logged() { grep -q "\"name\":\"$1\"" "$work/log"; }
soon() { for _ in $(seq 50); do "$@" && return 0; sleep 0.1; done; return 1; }
base=$((20000 + $$ % 20000))
settings() {
    cat >"$work/new.json" <<JSON
{"name": "g1", "failureDomain": "a", "callerAddress": "127.0.0.1:$base",
 "readinessAddress": "127.0.0.1:$((base + 1))", "peerAddress": "127.0.0.1:$((base + 2))",
 "metricsAddress": "127.0.0.1:$((base + 3))", "storeAddress": "127.0.0.1:$((base + 4))",
 "stopTimeMs": $1}
JSON
    mv "$work/new.json" "$work/settings.json"
}
settings 4000
sound() { build/bin/acacia-gateway --settings "$work/settings.json" --check-settings >/dev/null; }
check "settings are checked" sound
GATEWAY_SETTINGS=$work/settings.json build/bin/acacia-gateway --settings-from GATEWAY_SETTINGS >"$work/log" 2>&1 &
pid=$!
check "start is logged" soon logged process-started
status() { curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$1$2"; }
check "not ready without a configuration" [ "$(status $((base + 1)) /-/readiness)" = 503 ]
check "requests are refused as unavailable" [ "$(status "$base" /any)" = 503 ]
check "metrics are served" [ "$(status $((base + 3)) /metrics)" = 200 ]
settings 5000
kill -HUP $pid
check "changed settings are applied" soon logged settings-reloaded
echo '{"name": 7}' >"$work/settings.json"
check "invalid settings are rejected without a signal" soon logged settings-rejected
check "the process still runs" kill -0 $pid
kill -TERM $pid
wait $pid
check "it stops cleanly" [ $? = 0 ]
pid=
check "the stop is logged" logged process-stopped
exit $((failures > 0))
