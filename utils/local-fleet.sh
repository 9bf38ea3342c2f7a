# Functions that start stand-ins and daemons on loopback addresses, each on a port chosen
# by the system, and stop only these processes. To be sourced.
#
# Daemons use the peer keys in fleet_keys; new keys are created if it is not set.
#
# Requires: bin (directory of the programs) and work (a scratch directory).

declare -A fleet_pid fleet_address fleet_operators fleet_peers

# fleet_wait_for FILE PATTERN: waits until a line of FILE matches and prints it.
fleet_wait_for() {
    local tries
    for tries in $(seq 200); do
        if grep -m1 -E "$2" "$1" 2>/dev/null; then
            return 0
        fi
        sleep 0.05
    done
    echo "no line like '$2' in $1 after 10 s" >&2
    return 1
}

# fleet_standin NAME PROGRAM [FLAGS...]: starts a stand-in.
fleet_standin() {
    local name=$1 program=$2
    shift 2
    "$bin/$program" "$@" >"$work/$name.out" 2>"$work/$name.log" &
    fleet_pid[$name]=$!
    local line
    line=$(fleet_wait_for "$work/$name.out" '^port [0-9]+')
    fleet_address[$name]="127.0.0.1:${line#port }"
}

# fleet_daemon NAME DATA_CENTRE [TRUST]: starts a daemon against the platform.
fleet_daemon() {
    local name=$1
    fleet_keys=${fleet_keys:-$("$bin/harelink" keys --output json)}
    cat >"$work/$name.jsonc" <<SETTINGS
{
    // Written by local-fleet.sh; port 0 lets the system choose.
    "host": "$name",
    "dataCentre": "$2",
    "listen": {
        "callers": "127.0.0.1:0",
        "operators": "127.0.0.1:0",
        "peers": "127.0.0.1:0"
    },
    "platform": "${fleet_address[platform]}",
    "callerTrust": "${3:-balancer}",
    "peerTrust": "curve",
    "peerKeys": $fleet_keys,
    "limits": { ${fleet_limits:-"\"workers\": 2"}, "platformTimeoutMs": 300 }
}
SETTINGS
    "$bin/harelinkd" --config "$work/$name.jsonc" >"$work/$name.log" 2>&1 &
    fleet_pid[$name]=$!
    local line
    line=$(fleet_wait_for "$work/$name.log" 'listens for callers on port')
    fleet_address[$name]="127.0.0.1:$(sed -E 's/.*callers on port ([0-9]+).*/\1/' <<<"$line")"
    fleet_peers[$name]="127.0.0.1:$(sed -E 's/.*for peers on ([0-9]+).*/\1/' <<<"$line")"
    fleet_operators[$name]="127.0.0.1:$(sed -E 's/.*operators on ([0-9]+).*/\1/' <<<"$line")"
    fleet_list "$name" "$2"
}

# fleet_list NAME DATA_CENTRE: adds a daemon to the platform's host list, as a real platform
# does by itself.
fleet_list() {
    curl -sf -o /dev/null -X PUT \
        -d "{\"dataCentre\": \"$2\", \"peers\": \"${fleet_peers[$1]}\",
             \"operators\": \"${fleet_operators[$1]}\", \"state\": \"live\"}" \
        "http://${fleet_address[platform]}/v1/hosts/$1"
}

# fleet_ready NAME: waits until the daemon is ready.
fleet_ready() {
    local tries
    for tries in $(seq 200); do
        if [ "$(curl -s -o /dev/null -w '%{http_code}' "http://${fleet_operators[$1]}/readyz")" = 200 ]; then
            return 0
        fi
        sleep 0.05
    done
    echo "daemon $1 is not ready after 10 s" >&2
    return 1
}

# fleet_fill FILE: prints FILE with each @NAME@ replaced by the address of that process.
fleet_fill() {
    local name script=()
    for name in "${!fleet_address[@]}"; do
        script+=(-e "s/@$name@/${fleet_address[$name]}/g")
    done
    sed "${script[@]}" "$1"
}

# fleet_switch NAME JSON: sets the fault injection of a stand-in.
fleet_switch() {
    curl -sf -o /dev/null -X POST -d "$2" "http://${fleet_address[$1]}/control"
}

# fleet_counter NAME FIELD: prints one counter of a stand-in.
fleet_counter() {
    curl -sf "http://${fleet_address[$1]}/counters" |
        python3 -c 'import json, sys; print(json.load(sys.stdin)[sys.argv[1]])' "$2"
}

# fleet_signal NAME SIGNAL: sends a signal to one process of the fleet.
fleet_signal() {
    kill -s "$2" "${fleet_pid[$1]}"
}

# fleet_end: stops every process that was started here, by its id.
fleet_end() {
    local name
    for name in "${!fleet_pid[@]}"; do
        kill -CONT "${fleet_pid[$name]}" 2>/dev/null || true
        kill -KILL "${fleet_pid[$name]}" 2>/dev/null || true
        wait "${fleet_pid[$name]}" 2>/dev/null || true
    done
    fleet_pid=()
}
