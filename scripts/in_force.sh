#!/usr/bin/env bash
# Measures on seven daemons of a release build how long a confirmed change takes until it is in
# force everywhere, then does the same right after one VM was killed. The exit code is not 0 when a
# withdrawn key was accepted after the reported time, or when a time is above the limit of 8 s.
#
# usage: scripts/in_force.sh [ROUNDS, 20 by default; a round is 3 changes] [VM to kill, east-2]
set -euo pipefail
CELERYGATE_PROFILE=${CELERYGATE_PROFILE:-release}
. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/punchlist.sh"

rounds=${1:-20}
victim=${2:-east-2}
address "$victim" 0 >/dev/null

measure() { # measure [VM that is missing]
    local vm addresses=()
    for vm in "${vms[@]}"; do
        if [ "$vm" = "${1:-}" ]; then continue; fi
        addresses+=(--operators "$(address "$vm" 2)" --entry "$(address "$vm" 0)")
    done
    "$binaries/examples/measure_in_force" "${addresses[@]}" --rounds "$rounds" \
        --token-file "$work/secrets/operators.token" --service listkeeper \
        --key-organisation alder-build --rate-organisation dogwood
}

prepare_punchlist
start_seven
start_targets
set_load
wait_for 20 "the targets" "${load[@]}" --requests 24 --deadline-ms 2000

code=0
echo "== all seven VMs"
measure || code=1
echo "== $victim killed"
kill -KILL "${pid_of[$victim]}"
measure "$victim" || code=1
exit "$code"
