#!/usr/bin/env bash
# Runs real processes under scripted failures and checks the callers' answers and the stand-ins' records.
# Each check waits with a generous timeout for the expected state and then asserts it.
set -u
cd "$(dirname "$0")/../.." || exit 1
BIN=$PWD/build/bin
. scripts/lib/fleet.sh
trap fleet_stop EXIT
passed=0
failed=0

pass() { passed=$((passed + 1)); echo "ok $1"; }
fail() { failed=$((failed + 1)); echo "FAILED $1: ${2:0:600}"; }
# expect NAME PATTERN TEXT: the text must contain the pattern.
expect() { case "$3" in *"$2"*) pass "$1" ;; *) fail "$1" "expected $2 in: $3" ;; esac; }
expect_not() { case "$3" in *"$2"*) fail "$1" "$2 in: $3" ;; *) pass "$1" ;; esac; }
# field JSON NAME: prints the first value of a field in flat JSON.
field() { echo "$1" | grep -o "\"$2\":[^,}]*" | head -1 | cut -d: -f2- | tr -d '"'; }

completion='{"model":"narrative-3","prompt":"hello","max_tokens":3}'
long='{"model":"narrative-3","prompt":"a long one","max_tokens":400,"stream":true}'

setup() {
    fleet_platform 50
    FLEET_LOADS_PER_SECOND=50
    fleet_engine engine-1 north drafting '"loadMs": 100, "tokenMs": 10, "mayCrash": true'
    fleet_engine engine-2 south drafting '"loadMs": 100, "tokenMs": 10, "mayCrash": true, "honoursFencing": false'
    fleet_service filing-1 north filing
    fleet_service filing-2 south filing
    fleet_entry entry-1 north
    fleet_entry entry-2 south
    fleet_key county-a; county=$KEY; county_hash=$KEY_HASH
    fleet_key sporbar; sporbar=$KEY; sporbar_hash=$KEY_HASH
    cat >"$FLEET_DIR/rules" <<R
customer county-a rate 20000/s burst 80000 key $county_hash   # asked by Lin Mei, bureau office
customer sporbar rate 20000/s burst 80000 key $sporbar_hash   # asked by Ingrid Moe, Sporbar
model narrative-3 engines drafting replicas 2 memory 18GiB   # asked by Lin Mei, bureau office
model crash-prone engines drafting replicas 2 memory 2GiB   # asked by Ingrid Moe, Sporbar
model homeless engines nowhere replicas 1 memory 1GiB   # asked by Ola Berg, operations
route POST /returns service filing once identity header:Idempotency-Key  # asked by Chen Yu, filing desk
open GET /status   # asked by Ola Berg, operations
R
    fleet_ctl apply "$FLEET_DIR/rules" >/dev/null
    fleet_until 30 complete entry-1 && fleet_until 30 complete entry-2
}

complete() { fleet_call "$1" "$county" /v1/completions "$completion" -f; }

# refused ENTRY KEY CODE: succeeds if the entry refuses the key's request with this code.
refused() { fleet_call "$1" "$2" /v1/completions "$completion" | grep -q "\"code\":\"$3\""; }

test_errors() {
    local url=http://${FLEET_ADDRESS[entry-1]}
    expect "no key" '"code":"no_key"' "$(curl -sS -d "$completion" "$url/v1/completions")"
    expect "wrong key" '"code":"wrong_key"' "$(fleet_call entry-1 nonsense /v1/completions "$completion")"
    expect "unknown model" '"code":"unknown_model"' "$(fleet_call entry-1 "$county" /v1/completions '{"model":"x","prompt":"y"}')"
    expect "malformed JSON" '"code":"malformed_body"' "$(fleet_call entry-1 "$county" /v1/completions '{"model')"
    expect "unsupported method" '"code":"method_not_allowed"' "$(curl -sS -X DELETE -H "Authorization: Bearer $county" "$url/v1/completions")"
    expect "unknown path" '"code":"unknown_route"' "$(fleet_call entry-1 "$county" /nowhere '{}')"
    head -c 5000000 /dev/zero | tr '\0' x >"$FLEET_DIR/large"
    expect "body too large" '"code":"body_too_large"' "$(fleet_call entry-1 "$county" /v1/completions "@$FLEET_DIR/large")"
    expect "deadline passed" '"code":"deadline_passed"' "$(fleet_call entry-1 "$county" /v1/completions "$long" -H 'X-Request-Timeout: 0.5')"
    expect "missing identity" '"code":"missing_identity"' "$(fleet_call entry-1 "$county" /returns '{}')"
    expect "forged headers have no effect" '"code":"wrong_key"' "$(fleet_call entry-1 nonsense /v1/completions "$completion" -H 'X-Acacia-Peer: entry-2' -H 'X-Customer: county-a')"
    expect "open route without key" '"status":"ok"' "$(curl -sS "$url/status")"
    expect "no backend server" '"code":"no_backend_server"' "$(fleet_call entry-1 "$county" /v1/completions '{"model":"homeless","prompt":"x"}')"
    expect "an unstreamed chat" '"message":{"content":' "$(fleet_call entry-2 "$county" /v1/chat/completions '{"model":"narrative-3","messages":[{"role":"user","content":"x"}],"max_tokens":2}')"
    expect "refusals are counted" 'acacia_refusals_total{reason="wrong_key"}' "$(fleet_get entry-1.operator /metrics)"
}

test_stranger() {
    local answer
    answer=$(curl -sS --http2-prior-knowledge --max-time 3 -d x "http://${FLEET_ADDRESS[agent-engine-1.link]}/run" 2>&1)
    expect_not "an unauthenticated client on a link gets no answer" choices "$answer"
    expect "and its attempt is logged" '"name":"link-rejected"' "$(cat "$FLEET_DIR/agent-engine-1.log")"
}

test_submissions() {
    local first second runs
    first=$(fleet_call entry-1 "$county" /returns '{"school":"Daan"}' -H 'Idempotency-Key: daan-1')
    second=$(fleet_call entry-2 "$county" /returns '{"school":"Daan"}' -H 'Idempotency-Key: daan-1')
    [ "$first" = "$second" ] && pass "a resent submission gets the recorded answer" || fail "resent submission" "$first / $second"
    expect "an identity with another body" '"code":"identity_reused"' "$(fleet_call entry-2 "$county" /returns '{"x":1}' -H 'Idempotency-Key: daan-1')"
    fleet_fault filing-1 '{"part":"calls","loseAnswers":true}'; fleet_fault filing-2 '{"part":"calls","loseAnswers":true}'
    expect "a submission whose answer was lost is reported as unknown, not as not run" '"ran":"unknown"' \
        "$(fleet_call entry-1 "$county" /returns '{"a":1}' -H 'Idempotency-Key: lost-1' -H 'X-Request-Timeout: 1')"
    fleet_fault filing-1 '{"part":"calls"}'; fleet_fault filing-2 '{"part":"calls"}'
    fleet_until 10 eval 'fleet_call entry-2 "$county" /returns "{\"a\":1}" -H "Idempotency-Key: lost-1" | grep -q submission_unknown'
    expect "and is not run again" '"code":"submission_unknown"' "$(fleet_call entry-2 "$county" /returns '{"a":1}' -H 'Idempotency-Key: lost-1')"
    fleet_fault platform '{"part":"table","down":true}'
    expect "if the store is down before the row is written, the submission is not run" '"ran":"no"' "$(fleet_call entry-1 "$county" /returns '{"b":1}' -H 'Idempotency-Key: down-1' -H 'X-Request-Timeout: 6')"
    fleet_fault platform '{"part":"table"}'
    fleet_until 15 eval 'fleet_call entry-1 "$county" /returns "{\"b\":1}" -H "Idempotency-Key: down-1" -f' \
        && pass "and runs after the store is available again" || fail "submission after outage" ""
    runs=$(fleet_get filing-1 /statistics)$(fleet_get filing-2 /statistics)
    expect_not "no submission ran twice" ':2' "$(echo "$runs" | grep -o '"byIdentity":{[^}]*}')"
}

test_keys() {
    local stream=$FLEET_DIR/stream secret
    fleet_call entry-1 "$sporbar" /v1/completions "$long" -N >"$stream" &
    local caller=$!
    fleet_until 10 grep -q data: "$stream"
    expect "a key is withdrawn" accepted "$(fleet_ctl key withdraw "$FLEET_DIR/sporbar.key")"
    wait $caller
    expect "a running stream of a withdrawn key ends with an error" '"code":"key_withdrawn"' "$(cat "$stream")"
    fleet_until 4 refused entry-2 "$sporbar" wrong_key && pass "a withdrawn key is refused everywhere within 4 s" || fail "withdrawn key" ""
    expect "a key is granted" accepted "$(fleet_ctl key grant sporbar "$FLEET_DIR/sporbar.key")"
    fleet_until 4 fleet_call entry-2 "$sporbar" /v1/completions "$completion" -f && pass "a granted key works everywhere within 4 s" || fail "granted key" ""
    local seen
    seen=$(for name in engine-1 engine-2 filing-1 filing-2; do fleet_get "$name" /records; done)
    for secret in "$county" "$sporbar" "${county_hash#sha256:}" "$(cat "$FLEET_DIR/secret")"; do
        expect_not "no backend server saw a key, its hash or the fleet secret" "$secret" "$seen"
    done
    expect_not "no log contains a key" "$county" "$(cat "$FLEET_DIR"/*.log)"
}

test_outage() {
    fleet_fault platform '{"part":"table","down":true}'
    sleep 5
    expect "a majority serves through a store outage" choices "$(fleet_call entry-1 "$county" /v1/completions "$completion")"
    # Without a majority of the six processes the rest must refuse: stops four.
    local name
    for name in agent-filing-1 agent-filing-2 agent-engine-2 entry-2; do kill -STOP "${FLEET_PID[$name]}"; done
    sleep 5
    expect "a minority refuses requests as not fresh" '"code":"not_fresh"' "$(fleet_call entry-1 "$county" /v1/completions "$completion")"
    for name in agent-filing-1 agent-filing-2 agent-engine-2 entry-2; do kill -CONT "${FLEET_PID[$name]}"; done
    fleet_fault platform '{"part":"table"}'
    fleet_until 15 complete entry-1 && fleet_until 15 complete entry-2 && pass "all entries serve again" || fail "after the outage" "$(fleet_ctl status)"
}

test_operators() {
    fleet_ctl show >"$FLEET_DIR/one"; cp "$FLEET_DIR/one" "$FLEET_DIR/two"; cp "$FLEET_DIR/one" "$FLEET_DIR/three"
    sed -i 's/narrative-3 engines drafting replicas 2 memory 18GiB/narrative-3 engines drafting replicas 2 memory 17GiB/' "$FLEET_DIR/one" "$FLEET_DIR/three"
    sed -i 's/memory 17GiB/memory 16GiB/' "$FLEET_DIR/three"
    echo 'drain engine-9   # asked by Ola Berg, operations' >>"$FLEET_DIR/two"
    expect "the first operator's edit" accepted "$(fleet_ctl apply "$FLEET_DIR/one")"
    expect "a concurrent edit of other lines is rebased" accepted "$(fleet_ctl apply "$FLEET_DIR/two" 2>&1)"
    expect "a concurrent edit of the same line is refused and shows both versions" 'theirs: model narrative-3 engines drafting replicas 2 memory 17GiB' "$(fleet_ctl apply "$FLEET_DIR/three" 2>&1)"
    expect "the first edit was kept" 'memory 17GiB' "$(fleet_ctl show)"
    expect "the rebased edit was kept" 'drain engine-9' "$(fleet_ctl show)"
    expect "history names the person" 'Lin Mei' "$(fleet_ctl history)"
    fleet_until 20 complete entry-1
}

test_agent_killed() {
    fleet_end agent-engine-1 KILL
    local i answer bad=0
    for i in $(seq 10); do
        answer=$(fleet_call entry-$((i % 2 + 1)) "$county" /v1/completions "$completion")
        case "$answer" in *choices*) ;; *) bad=$((bad + 1)) ;; esac
    done
    [ $bad = 0 ] && pass "an agent's crash fails no request that another agent can serve" || fail "agent killed" "$bad of 10: $answer"
    fleet_start agent-engine-1 acacia-agent
    fleet_until 20 eval 'fleet_get agent-engine-1.operator /status | grep -q "\"reconciled\":true"' && pass "its successor reconciles with the engine" || fail "reconcile" "$(fleet_get agent-engine-1.operator /status)"
}

test_engine_crash() {
    local answer body='{"model":"crash-prone","prompt":"crash-the-engine","max_tokens":2}'
    fleet_call entry-1 "$county" /v1/completions "${long/\"stream\":true/\"n\":1}" >"$FLEET_DIR/innocent" &
    local innocent=$!
    sleep 0.5
    answer=$(fleet_call entry-1 "$county" /v1/completions "$body")
    expect_not "a request that crashes its server is refused" choices "$answer"
    wait $innocent
    sleep 1
    answer=$(fleet_call entry-2 "$county" /v1/completions "$body")
    expect "after the second crash it is refused everywhere" '"code":"crash_suspect"' "$answer"
    expect "and reported as not run" '"ran":"no"' "$answer"
    for name in engine-1 engine-2; do
        kill -0 "${FLEET_PID[$name]}" 2>/dev/null || fleet_start "$name" standin-engine
    done
    fleet_until 20 complete entry-1 && pass "the restarted servers serve again" || fail "after crash" "$(complete entry-1 2>&1)"
    expect "no other request is refused" choices "$(fleet_call entry-1 "$county" /v1/completions "$completion")"
}

test_freeze() {
    local answer begin=$SECONDS
    kill -STOP "${FLEET_PID[engine-1]}"; kill -STOP "${FLEET_PID[engine-2]}"
    answer=$(fleet_call entry-1 "$county" /v1/completions "$completion" -H 'X-Request-Timeout: 2')
    expect "with frozen servers a request is refused by its deadline" '"code":' "$answer"
    [ $((SECONDS - begin)) -le 5 ] && pass "the refusal arrives in time" || fail "the refusal arrives in time" "$((SECONDS - begin)) s"
    kill -CONT "${FLEET_PID[engine-1]}"; kill -CONT "${FLEET_PID[engine-2]}"
    fleet_until 20 complete entry-1 && pass "resumed servers serve again" || fail "resumed servers" ""
}

test_drain() {
    local i stream cut=0
    for i in 1 2 3 4 5 6; do
        fleet_call entry-$((i % 2 + 1)) "$county" /v1/completions "$long" -N >"$FLEET_DIR/stream-$i" &
        eval "caller_$i=$!"
    done
    sleep 1
    kill -TERM "${FLEET_PID[agent-engine-1]}"
    kill -TERM "${FLEET_PID[entry-1]}"
    for i in 1 2 3 4 5 6; do
        eval "wait \$caller_$i"
        grep -q 'DONE' "$FLEET_DIR/stream-$i" || cut=$((cut + 1))
    done
    [ $cut = 0 ] && pass "a planned stop of an entry and an agent interrupts no stream" || fail "drain" "$cut of 6 interrupted: $(tail -c 300 "$FLEET_DIR/stream-1")"
    wait "${FLEET_PID[agent-engine-1]}"; wait "${FLEET_PID[entry-1]}"
    fleet_start agent-engine-1 acacia-agent; fleet_start entry-1 acacia-entry
    fleet_until 20 complete entry-1 && pass "their successors serve requests" || fail "successors" ""
    expect "an operator drains a server" accepted "$(fleet_ctl drain engine-1)"
    sleep 3
    local before after
    before=$(field "$(fleet_get engine-1 /statistics)" runs)
    for i in 1 2 3 4 5 6; do complete entry-$((i % 2 + 1)) >/dev/null 2>&1; done
    after=$(field "$(fleet_get engine-1 /statistics)" runs)
    [ "$before" = "$after" ] && pass "a drained server gets no new requests" || fail "drained" "$before -> $after"
    fleet_ctl drain engine-1 --undo >/dev/null
}

# Two failures at once.
test_pairs() {
    local answer runs
    # A key is withdrawn while one entry is paused, and the store goes down right after.
    kill -STOP "${FLEET_PID[entry-2]}"
    expect "a key is withdrawn while an entry is paused" accepted "$(fleet_ctl key withdraw "$FLEET_DIR/sporbar.key")"
    fleet_fault platform '{"part":"table","down":true}'
    sleep 4
    kill -CONT "${FLEET_PID[entry-2]}"
    answer=$(fleet_call entry-2 "$sporbar" /v1/completions "$completion")
    expect_not "the resumed entry does not accept the key" choices "$answer"
    fleet_until 10 refused entry-2 "$sporbar" wrong_key && pass "and gets the withdrawal from its peers without the store" || fail "pause and outage" "$answer"
    # An agent crashes while the store is still down.
    fleet_end agent-engine-1 KILL
    expect "an agent's crash during the outage fails no request" choices "$(fleet_call entry-1 "$county" /v1/completions "$completion")"
    fleet_fault platform '{"part":"table"}'
    fleet_start agent-engine-1 acacia-agent
    expect "a key is granted again" accepted "$(fleet_ctl key grant sporbar "$FLEET_DIR/sporbar.key")"
    # A service's answer is lost and its agent crashes; the caller resends through the other entry.
    fleet_fault filing-1 '{"part":"calls","loseAnswers":true}'; fleet_fault filing-2 '{"part":"calls","loseAnswers":true}'
    fleet_call entry-1 "$county" /returns '{"c":1}' -H 'Idempotency-Key: pair-1' -H 'X-Request-Timeout: 2' >/dev/null &
    local caller=$!
    sleep 0.7
    fleet_end agent-filing-1 KILL; fleet_end agent-filing-2 KILL
    wait $caller
    fleet_fault filing-1 '{"part":"calls"}'; fleet_fault filing-2 '{"part":"calls"}'
    fleet_start agent-filing-1 acacia-agent; fleet_start agent-filing-2 acacia-agent
    for attempt in 1 2 3; do
        sleep 1
        answer=$(fleet_call entry-2 "$county" /returns '{"c":1}' -H 'Idempotency-Key: pair-1')
        expect_not "a submission whose agent crashed is not run again" receipt "$answer"
    done
    runs=$(fleet_get filing-1 /statistics)$(fleet_get filing-2 /statistics)
    expect_not "and ran only once" '"pair-1":2' "$runs"
}

test_memory() {
    expect "engine memory was never overcommitted" '"overcommits":0' "$(fleet_get engine-1 /statistics)"
    expect "engine memory was never overcommitted" '"overcommits":0' "$(fleet_get engine-2 /statistics)"
}

setup || { echo "FAILED setup"; tail -3 "$FLEET_DIR"/*.log; exit 1; }
for part in ${E2E_PARTS:-errors stranger submissions keys outage operators agent_killed engine_crash freeze drain pairs memory}; do
    echo "== $part"
    "test_$part"
done
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
