#!/usr/bin/env bash
# Measures with seven daemons, by default of a release build, how long a confirmed change takes
# until it is in force on all of them: first with all VMs, then directly after one VM was killed. The
# exit code is not 0 if a daemon accepted a withdrawn key after the reported time, or if a time
# exceeds the limit of 8 s.
#
# usage: scripts/in_force.sh [ROUNDS, 20 by default; a round is 3 changes] [VM to kill, east-2]
set -euo pipefail
CELERYGATE_PROFILE=${CELERYGATE_PROFILE:-release}
. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/punchlist.sh"

rounds=${1:-20}
killed_vm=${2:-east-2}
address "$killed_vm" 0 >/dev/null

measure() { # measure [KILLED-VM]
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
set_load_client
wait_for 20 "the targets" "${load_client[@]}" --requests 24 --deadline-ms 2000

code=0
echo "== all seven VMs"
measure || code=1
echo "== $killed_vm killed"
kill -KILL "${pid_of[$killed_vm]}"
measure "$killed_vm" || code=1
exit "$code"
