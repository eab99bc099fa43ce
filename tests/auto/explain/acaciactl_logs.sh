#!/bin/sh
# Checks the log commands of acaciactl as an operator calls them: acaciactl_logs.sh ACACIACTL
set -u
acaciactl=$1
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
failures=0

# expect CODE TEXT ARGUMENT...: checks the exit code and a part of the output.
expect() {
    code=$1 text=$2
    shift 2
    output=$("$acaciactl" "$@" 2>&1 < "$folder/a.log")
    found=$?
    if [ $found -ne "$code" ] || ! printf '%s' "$output" | grep -qF -- "$text"; then
        echo "acaciactl $*: exit code $found, expected $code and \"$text\": $output"
        failures=$((failures + 1))
    fi
}

cat > "$folder/a.log" <<LOG
 1.5 front-a {"event":206,"name":"configuration-taken","process":"a","routes":4,"time":1000,"version":2}
{"event":300,"configuration":2,"outcome":"unknown_route","process":"a","request":"id-1","status":404,"time":5000,"tookMs":1}
LOG
echo '{"event":206,"name":"configuration-taken","process":"b","routes":9,"time":2000,"version":3}' > "$folder/b.log"
echo 'no log' > "$folder/text"

expect 0 'cause: older-configuration' explain id-1 "$folder/a.log" "$folder/b.log"
expect 0 'cause: older-configuration' explain id-1 - "$folder/b.log"
expect 0 'cause: unknown-route' explain id-1 -
expect 0 '"cause":"unknown-route"' explain id-1 --json -
expect 0 '1  unknown-route' losses -
expect 0 '"notServed":1' losses --json "$folder/a.log"
expect 1 'no line of request id-2' explain id-2 "$folder/a.log"
expect 2 'none.log: No such file or directory' explain id-1 "$folder/none.log"
expect 2 'no line of a gateway' explain id-1 "$folder/text"
expect 2 'no line of a gateway' losses "$folder/text"
expect 2 'is a directory' losses "$folder"
expect 2 'is given twice' losses - -
expect 2 'expected milliseconds, found "soon"' losses --late soon -
expect 2 'usage: acaciactl losses LOG...' losses
expect 2 'usage: acaciactl explain REQUEST-ID' explain
expect 2 "expected a request's id" explain '' -
# Without logs, acaciactl asks the entries and needs settings.
expect 2 'settings' explain id-1
exit $((failures > 0))
