#!/usr/bin/env bash
# Builds oleanderusher and demonstrates it on this machine: three entries with a control log and two
# agents, each with a stand-in worker and minion, all on loopback hosts. At the end it stops exactly
# the processes that it started, by process id.
#
#   Utilities/quickstart.sh                 runs the demonstration; exits 0 if every step succeeded
#   Utilities/quickstart.sh --stay          leaves the system running until Enter or Ctrl-C
#   Utilities/quickstart.sh --build FOLDER  uses the programs in a build folder instead of building
#   Utilities/quickstart.sh --hosts PREFIX  uses the loopback hosts PREFIX.1.x and PREFIX.2.x (127.0)
set -euo pipefail
cd "$(dirname "$0")/.."

stay=0
build=
hosts=127.0
while [ $# -gt 0 ]; do
    case $1 in
    --stay) stay=1 ;;
    --build)
        build=${2:?--build needs a folder}
        shift
        ;;
    --hosts)
        hosts=${2:?--hosts needs the first two numbers of the loopback addresses, such as 127.0}
        shift
        ;;
    *)
        echo "quickstart.sh: unknown argument \"$1\"; --stay, --build and --hosts are allowed." >&2
        exit 2
        ;;
    esac
    shift
done

step() { printf '\n== %s\n' "$*"; }
outcome() { printf '   %s\n' "$*"; }

if [ -z "$build" ]; then
    step "Packages"
    Utilities/packages.sh
    outcome "all installed"

    step "Build"
    build=build/release
    log=$(mktemp)
    if ! { cmake --preset release && cmake --build --preset release \
        --target oleander oleander-agent standin-worker standin-minion; } >"$log" 2>&1; then
        tail -n 50 "$log"
        rm -f "$log"
        exit 1
    fi
    rm -f "$log"
else
    step "Programs of $build"
fi
oleander=$build/Source/Oleander/oleander
agent=$build/Source/OleanderAgent/oleander-agent
worker=$build/Tests/Standins/standin-worker
minion=$build/Tests/Standins/standin-minion
outcome "$("$oleander" --version)"

work=$(mktemp -d)
ids=()
names=()
stop_all() {
    trap - EXIT INT TERM
    local id
    for id in "${ids[@]}"; do
        kill "$id" 2>/dev/null || true
    done
    # A process that has not exited within 10 seconds of SIGTERM is killed.
    for id in "${ids[@]}"; do
        for _ in $(seq 100); do
            kill -0 "$id" 2>/dev/null || break
            sleep 0.1
        done
        kill -9 "$id" 2>/dev/null || true
        wait "$id" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# Reports a failed step with the last output of every process, on both streams, and the exit code
# of every process that has ended; then exits with 1.
fail() {
    outcome "FAILED: $*"
    local i
    for i in "${!ids[@]}"; do
        local name=${names[$i]}
        if kill -0 "${ids[$i]}" 2>/dev/null; then
            echo "-- $name is running"
        else
            local code=0
            wait "${ids[$i]}" || code=$?
            echo "-- $name ended with exit code $code"
        fi
        tail -n 15 "$work/$name.out" | sed "s/^/$name standard output: /"
        tail -n 15 "$work/$name.err" | sed "s/^/$name standard error: /"
    done
    exit 1
}

# Retries a command until it succeeds; fails with the given message after about 30 seconds.
wait_for() {
    local what=$1
    shift
    for _ in $(seq 150); do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.2
    done
    fail "$what"
}

start() {
    local name=$1
    shift
    "$@" </dev/null >"$work/$name.out" 2>"$work/$name.err" &
    ids+=("$!")
    names+=("$name")
}

entry_settings() {
    cat <<SETTINGS
[entry]
name = entry-$1
region = demo
failure-domain = domain-$1
rack = rack-$1
caller-door = $hosts.1.$1:8080
operator-door = $hosts.1.$1:8081
link = $hosts.1.$1:7000
data-folder = $work/entry-$1
[control-group]
entry-1 = $hosts.1.1:7000
entry-2 = $hosts.1.2:7000
entry-3 = $hosts.1.3:7000
[request]
drain-delay = 200ms
SETTINGS
}

agent_settings() {
    cat <<SETTINGS
[agent]
name = worker-$1
region = demo
failure-domain = domain-$1
rack = rack-$1
link = $hosts.2.$1:7001
minion-door = $hosts.2.$1:7002
operator-door = $hosts.2.$1:7003
[entries]
entry-1 = $hosts.1.1:7000
entry-2 = $hosts.1.2:7000
entry-3 = $hosts.1.3:7000
[worker]
address = $hosts.2.$1:9000
milli-cores = 16000
memory = 60GiB
SETTINGS
}

export OLEANDER_SERVER=$hosts.1.1:8081,$hosts.1.2:8081,$hosts.1.3:8081
export OLEANDER_OPERATOR=quickstart

step "Settings"
for i in 1 2 3; do
    entry_settings "$i" >"$work/entry-$i.ini"
    mkdir "$work/entry-$i"
    "$oleander" check-config "$work/entry-$i.ini"
done
for i in 1 2; do
    agent_settings "$i" >"$work/agent-$i.ini"
    "$agent" check-config "$work/agent-$i.ini"
done

step "Start three entries, two agents, two stand-in workers"
for i in 1 2 3; do
    start "entry-$i" "$oleander" serve "$work/entry-$i.ini"
done
for i in 1 2; do
    start "worker-$i" "$worker" --listen="$hosts.2.$i:9000"
    start "agent-$i" "$agent" "$work/agent-$i.ini"
done
for name in entry-1 entry-2 entry-3 agent-1 agent-2; do
    wait_for "$name did not start" grep -q "name=process.started" "$work/$name.out"
    outcome "$name started"
done

has_leader() { "$oleander" status | grep -q leader; }
step "The control group elects a leader"
wait_for "no leader" has_leader
"$oleander" status | sed 's/^/   /'

step "An operator submits a service and a batch job"
cat >"$work/notices.json" <<RECORD
{"schema": 2, "team": "notices", "resources": {"milli-cores": 4000, "memory-mib": 8192},
 "replicas": 2, "payload": "notices-server"}
RECORD
cat >"$work/archive.json" <<RECORD
{"schema": 2, "team": "archive", "resources": {"milli-cores": 2000, "memory-mib": 4096},
 "payload": "archive-notices"}
RECORD
"$oleander" submit service/notices "$work/notices.json" | sed 's/^/   /'
"$oleander" submit batch/archive "$work/archive.json" | sed 's/^/   /'

shows_running() { "$oleander" show "$1" | grep -qw running; }
step "The service and the batch job run"
for record in service/notices batch/archive; do
    wait_for "$record does not run" shows_running "$record"
    outcome "$record runs"
done

step "The service's minions announce themselves"
for i in 1 2; do
    start "minion-$i" "$minion" --listen="$hosts.2.$i:8000" --agent="$hosts.2.$i:7002" \
        --name="minion-$i" --service=notices
done

ask() { curl --silent --show-error --fail --max-time 5 "http://$hosts.1.$1:8080/notices/hello"; }
step "A caller sends a request through each entry"
for i in 1 2 3; do
    wait_for "entry-$i does not answer" ask "$i"
    outcome "entry-$i: $(ask "$i" | head -c 200)"
done

step "Records and events"
"$oleander" show service/notices | sed 's/^/   /'
"$oleander" show batch/archive | sed 's/^/   /'
"$oleander" events | sed 's/^/   /'

if [ "$stay" -eq 1 ]; then
    step "The system runs until Enter is pressed"
    outcome "export OLEANDER_SERVER=$OLEANDER_SERVER"
    outcome "caller addresses: $hosts.1.1:8080 $hosts.1.2:8080 $hosts.1.3:8080"
    read -r _ || true
fi

step "Stop"
stop_all
outcome "every process has ended"
