# Sourced by the run.sh of each case, in the repository's folder: runs review/.bin/case-N.
run_case() {
    local number=$1 folder command status
    [ -x "review/.bin/case-$number" ] || { echo "run review/build.sh first"; return 2; }
    [ -x target/bin/acacia-gateway ] || { echo "run the deploy file's build first"; return 2; }
    command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -1)
    folder=$(mktemp -d)
    status=0
    timeout -k 5 110 "review/.bin/case-$number" "$command" "$folder" "review/$number/record.txt" || status=$?
    [ "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"/
    rm -rf "$folder"
    [ $status -le 1 ] && return $status
    return 2
}
