# Functions shared by the scripts that start daemons and targets. Source this file, don't run it.

repository=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
# CELERYGATE_PROFILE=release builds and runs optimised binaries.
profile=${CELERYGATE_PROFILE:-debug}
binaries="$repository/target/$profile"
work=""

# Builds the binaries and copies a deployment to a new folder with its own secrets:
# prepare DEPLOYMENT
prepare() {
    cd "$repository"
    local flags=(--quiet)
    if [ "$profile" = release ]; then flags+=(--release); fi
    cargo build "${flags[@]}" -p celerygated --bins --examples
    cargo build "${flags[@]}" -p celerygate
    work=$(mktemp -d "${TMPDIR:-/tmp}/celerygate.XXXXXX")
    cp -r "$repository/deploy/$1/." "$work"
    CELERYGATE="$binaries/celerygate" "$repository/deploy/make-secrets.sh" "$work" >/dev/null
}

# Starts a program in the background and redirects its output to a log file:
# start LOG PROGRAM ARGUMENTS..
# The process id is in $! afterwards.
start() {
    local log="$work/$1.log"
    shift
    "$@" >"$log" 2>&1 &
}

start_daemon() {
    start "$1" "$binaries/celerygated" run "$work/$1.json"
}

# Runs the command-line client for operators: operator_cli ADDRESS[,ADDRESS..] ARGUMENTS..
operator_cli() {
    CELERYGATE_DAEMONS=$1 "$binaries/celerygate" --token-file "$work/secrets/operators.token" "${@:2}"
}

# Repeats a command until it succeeds or the time is over: wait_for SECONDS EXPECTED COMMAND..
wait_for() {
    local deadline=$((SECONDS + $1)) expected=$2
    shift 2
    until "$@" >/dev/null 2>&1; do
        if [ $SECONDS -ge $deadline ]; then
            echo "timed out waiting for $expected" >&2
            return 1
        fi
        sleep 0.2
    done
}

has_leader() {
    operator_cli "$1" status | grep -q 'leader$'
}

# Stops all processes that this shell started: sends SIGTERM, and SIGKILL after 45 s to those that
# still run. Signals only the shell's running jobs, because the system may have reused the id of an
# ended process.
stop_all() {
    local deadline=$((SECONDS + 45)) pid
    for pid in $(jobs -pr); do
        kill -TERM "$pid" 2>/dev/null || true
        # A process stopped by SIGSTOP handles SIGTERM only after SIGCONT.
        kill -CONT "$pid" 2>/dev/null || true
    done
    while [ -n "$(jobs -pr)" ]; do
        if [ $SECONDS -ge $deadline ]; then
            for pid in $(jobs -pr); do
                echo "process $pid did not stop within 45 s; sending SIGKILL" >&2
                kill -KILL "$pid" 2>/dev/null || true
            done
            return
        fi
        sleep 0.1
    done
}

# Exit handler: stops all processes. Removes the folder with the logs after success and after an
# interruption, and keeps it after a failure.
handle_exit() {
    local code=$?
    trap - EXIT INT TERM
    stop_all
    if [ -n "$work" ]; then
        case $code in
            0 | 130 | 143) rm -rf "$work" ;;
            *) echo "logs are in $work" >&2 ;;
        esac
    fi
    exit "$code"
}

trap handle_exit EXIT
trap 'exit 130' INT
trap 'exit 143' TERM
