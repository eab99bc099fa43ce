# Starts and stops a small fleet with stand-ins on free loopback ports. Source it with $BIN set to the
# folder of the programs. All files are in $FLEET_DIR; fleet_stop ends all processes and removes it.

# The kernel sends SIGHUP to stopped processes of a process group that loses its parent.
trap "" HUP

FLEET_DIR=$(mktemp -d)
declare -A FLEET_PID FLEET_ADDRESS
FLEET_NEXT_PORT=$((20000 + RANDOM % 20000))

# Sets $PORT to a port on which nothing listens.
fleet_port() {
    while (exec 3<>"/dev/tcp/127.0.0.1/$FLEET_NEXT_PORT") 2>/dev/null; do
        FLEET_NEXT_PORT=$((FLEET_NEXT_PORT + 1))
    done
    PORT=$FLEET_NEXT_PORT
    FLEET_NEXT_PORT=$((FLEET_NEXT_PORT + 1))
}

# fleet_start NAME PROGRAM: starts a program with $FLEET_DIR/NAME.json; its log is NAME.log.
fleet_start() {
    "$BIN/$2" --settings "$FLEET_DIR/$1.json" 2>>"$FLEET_DIR/$1.log" &
    FLEET_PID[$1]=$!
}

# fleet_end NAME SIGNAL: sends a process a signal and waits until it has ended.
fleet_end() {
    kill -"$2" "${FLEET_PID[$1]}" 2>/dev/null
    wait "${FLEET_PID[$1]}" 2>/dev/null
    unset "FLEET_PID[$1]"
}

fleet_stop() {
    local name
    for name in "${!FLEET_PID[@]}"; do kill -CONT "${FLEET_PID[$name]}" 2>/dev/null; kill -KILL "${FLEET_PID[$name]}" 2>/dev/null; done
    for name in "${!FLEET_PID[@]}"; do wait "${FLEET_PID[$name]}" 2>/dev/null; unset "FLEET_PID[$name]"; done
    rm -rf "$FLEET_DIR"
}

# fleet_platform [LOADS_PER_SECOND]
fleet_platform() {
    fleet_port
    FLEET_ADDRESS[platform]=127.0.0.1:$PORT
    od -An -tx1 -N24 /dev/urandom | tr -d ' \n' >"$FLEET_DIR/secret"
    echo "{\"address\": \"${FLEET_ADDRESS[platform]}\", \"loadsPerSecond\": ${1:-20}}" >"$FLEET_DIR/platform.json"
    echo "{\"platformAddress\": \"${FLEET_ADDRESS[platform]}\", \"fleetSecretFile\": \"$FLEET_DIR/secret\"}" >"$FLEET_DIR/ctl.json"
    fleet_start platform standin-platform
    fleet_await "${FLEET_ADDRESS[platform]}"
}

# fleet_await ADDRESS: waits until a process listens on the address.
fleet_await() {
    local try
    for try in $(seq 400); do
        (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null && return 0
        sleep 0.05
    done
    echo "nothing listens on $1" >&2
    return 1
}

# fleet_settings NAME DOMAIN: prints the settings that entries and agents share, without braces.
fleet_settings() {
    fleet_port; FLEET_ADDRESS[$1.link]=127.0.0.1:$PORT
    fleet_port; FLEET_ADDRESS[$1.operator]=127.0.0.1:$PORT
    FLEET_COMMON="\"name\": \"$1\", \"failureDomain\": \"$2\", \"linkAddress\": \"${FLEET_ADDRESS[$1.link]}\",
        \"operatorAddress\": \"${FLEET_ADDRESS[$1.operator]}\", \"platformAddress\": \"${FLEET_ADDRESS[platform]}\",
        \"fleetSecretFile\": \"$FLEET_DIR/secret\""
}

# fleet_entry NAME DOMAIN [MORE SETTINGS]
fleet_entry() {
    fleet_settings "$1" "$2"
    fleet_port; FLEET_ADDRESS[$1]=127.0.0.1:$PORT
    echo "{$FLEET_COMMON, \"callerAddress\": \"${FLEET_ADDRESS[$1]}\"${3:+, $3}}" >"$FLEET_DIR/$1.json"
    fleet_start "$1" acacia-entry
    fleet_await "${FLEET_ADDRESS[$1]}"
}

# fleet_agent NAME DOMAIN KIND GROUP SERVER_ADDRESS [MORE SETTINGS]
fleet_agent() {
    fleet_settings "$1" "$2"
    echo "{$FLEET_COMMON, \"serverName\": \"${1#agent-}\", \"serverKind\": \"$3\", \"serverGroup\": \"$4\",
        \"serverAddress\": \"$5\", \"memoryMiB\": ${FLEET_MEMORY_MIB:-65536}, \"typicalLoadMs\": 500,
        \"storeLoadsPerSecond\": ${FLEET_LOADS_PER_SECOND:-20}, \"orderLingerMs\": 1000${6:+, $6}}" >"$FLEET_DIR/$1.json"
    fleet_start "$1" acacia-agent
    fleet_await "${FLEET_ADDRESS[$1.link]}"
}

# fleet_engine NAME DOMAIN GROUP [ENGINE SETTINGS] [AGENT SETTINGS]: an engine and its agent.
fleet_engine() {
    fleet_port
    FLEET_ADDRESS[$1]=127.0.0.1:$PORT
    echo "{\"address\": \"${FLEET_ADDRESS[$1]}\", \"memoryMiB\": ${FLEET_MEMORY_MIB:-65536},
        \"platformAddress\": \"${FLEET_ADDRESS[platform]}\"${4:+, $4}}" >"$FLEET_DIR/$1.json"
    fleet_start "$1" standin-engine
    fleet_await "${FLEET_ADDRESS[$1]}"
    fleet_agent "agent-$1" "$2" engine "$3" "${FLEET_ADDRESS[$1]}" "${5:-}"
}

# fleet_service NAME DOMAIN GROUP: a plain service and its agent.
fleet_service() {
    fleet_port
    FLEET_ADDRESS[$1]=127.0.0.1:$PORT
    echo "{\"address\": \"${FLEET_ADDRESS[$1]}\"}" >"$FLEET_DIR/$1.json"
    fleet_start "$1" standin-service
    fleet_await "${FLEET_ADDRESS[$1]}"
    fleet_agent "agent-$1" "$2" service "$3" "${FLEET_ADDRESS[$1]}"
}

fleet_ctl() {
    "$BIN/acaciactl" --settings "$FLEET_DIR/ctl.json" --as "${FLEET_PERSON:-Lin Mei}" "$@"
}

# fleet_key NAME: makes a key; sets $KEY and $KEY_HASH; the key is in $FLEET_DIR/NAME.key.
fleet_key() {
    od -An -tx1 -N16 /dev/urandom | tr -d ' \n' >"$FLEET_DIR/$1.key"
    KEY=$(cat "$FLEET_DIR/$1.key")
    KEY_HASH=$("$BIN/acaciactl" key hash "$FLEET_DIR/$1.key")
}

# fleet_call ENTRY KEY PATH BODY [CURL OPTIONS]: a POST as a caller sends it.
fleet_call() {
    local entry=$1 key=$2 path=$3 body=$4
    shift 4
    curl -sS --max-time 40 -H "Authorization: Bearer $key" -H 'Content-Type: application/json' "$@" \
        -d "$body" "http://${FLEET_ADDRESS[$entry]}$path"
}

# fleet_fault NAME JSON: injects a fault into a stand-in.
fleet_fault() {
    curl -sS --max-time 5 -d "$2" "http://${FLEET_ADDRESS[$1]}/faults" >/dev/null
}

fleet_get() {
    curl -sS --max-time 5 "http://${FLEET_ADDRESS[$1]}$2"
}

# fleet_until SECONDS COMMAND...: repeats the command until it succeeds or the time is over.
fleet_until() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.1
    done
}
