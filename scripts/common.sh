# Functions of the scripts that start daemons and targets; sourced, not run.

repository=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
# `CELERYGATE_PROFILE=release` builds and runs optimised binaries.
profile=${CELERYGATE_PROFILE:-debug}
binaries="$repository/target/$profile"
work=""

# Builds everything and copies a deployment into a fresh folder with its own secrets.
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

# Starts a program in the background with its output in a log: start LOG PROGRAM ARGUMENTS..
# The process id is in $! afterwards.
start() {
    local log="$work/$1.log"
    shift
    "$@" >"$log" 2>&1 &
}

start_daemon() {
    start "$1" "$binaries/celerygated" run "$work/$1.json"
}

# Runs the operators' command line: operate ADDRESS[,ADDRESS..] ARGUMENTS..
operate() {
    CELERYGATE_DAEMONS=$1 "$binaries/celerygate" --token-file "$work/secrets/operators.token" "${@:2}"
}

# Waits until a command succeeds: wait_for SECONDS WHAT COMMAND..
wait_for() {
    local end=$((SECONDS + $1)) what=$2
    shift 2
    until "$@" >/dev/null 2>&1; do
        if [ $SECONDS -ge $end ]; then
            echo "gave up waiting for $what" >&2
            return 1
        fi
        sleep 0.2
    done
}

has_leader() {
    operate "$1" status | grep -q 'leader$'
}

# Ends everything that was started here: SIGTERM, and SIGKILL to what is left after 45 s. Only the
# shell's own running jobs are signalled, because the id of an ended process may be in use again.
stop_all() {
    local end=$((SECONDS + 45)) pid
    for pid in $(jobs -pr); do
        kill -TERM "$pid" 2>/dev/null || true
        # A stopped process handles the signal only after it continues.
        kill -CONT "$pid" 2>/dev/null || true
    done
    while [ -n "$(jobs -pr)" ]; do
        if [ $SECONDS -ge $end ]; then
            for pid in $(jobs -pr); do
                echo "process $pid did not stop" >&2
                kill -KILL "$pid" 2>/dev/null || true
            done
            return
        fi
        sleep 0.1
    done
}

# Keeps the folder with the logs when something went wrong, but not after an interruption.
finish() {
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

trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM
