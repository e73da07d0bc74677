#!/usr/bin/env bash
# Starts the seven daemons of Punchlist on loopback with stand-in targets, sends 10,000 requests of
# 8 organisations and stops one daemon with SIGTERM meanwhile. Prints the counts; the exit code is
# not 0 when a request failed, was cut or had a wrong body, when more than 0.1% were refused
# although they were within the rate, or when the stopped daemon did not exit cleanly.
#
# usage: scripts/seven.sh [VM to stop, east-2 by default]
set -euo pipefail
. "$(dirname "$0")/common.sh"

victim=${1:-east-2}
vms=(east-1 east-2 east-3 central-1 central-2 west-1 west-2)
requests=10000
# Refusals within the rate stay below 0.1%.
max_refused=10
# 8 x 100 requests/s are within every organisation's rate, and the load lasts longer than the 6 s
# for which a stopping daemon keeps accepting requests.
rate=100

address() { # address VM LISTENER, with 0 for callers, 1 for targets, 2 for operators
    local index
    for index in "${!vms[@]}"; do
        if [ "${vms[$index]}" = "$1" ]; then
            echo "127.0.0.1:$((7200 + 10 * index + $2))"
            return
        fi
    done
    echo "unknown VM $1" >&2
    return 1
}

address "$victim" 0 >/dev/null
prepare punchlist
lookups=()
operators=""
for vm in "${vms[@]}"; do
    start_daemon "$vm"
    if [ "$vm" = "$victim" ]; then victim_pid=$!; fi
    lookups+=(--lookup "$(address "$vm" 0)")
    operators="$operators,$(address "$vm" 2)"
done
operators=${operators#,}
wait_for 20 "a leader" has_leader "$operators"

for region in east central west; do
    announce=()
    for vm in "${vms[@]}"; do
        if [[ $vm == "$region"-* ]]; then announce+=(--announce "$(address "$vm" 1)"); fi
    done
    for place in a b; do
        start "target-$region-$place" "$binaries/examples/stand_in_target" "${announce[@]}" \
            --token-file "$work/secrets/targets.token" --service listkeeper --slots 3 \
            --target "$region-$place" --region "$region" --data-centre "$region-$place" \
            --delay-ms 2
    done
done

# Look-ups for a client address of each region, so that every region gets requests.
load=("$binaries/examples/load_client" "${lookups[@]}" --service listkeeper
    --keys "$work/secrets/keys" --client 127.1.0.1 --client 127.2.0.1 --client 127.3.0.1)
all_serving() {
    [ "$(operate "$operators" status | grep -c ' serving ')" -eq ${#vms[@]} ]
}
wait_for 20 "all daemons" all_serving
wait_for 20 "the targets" "${load[@]}" --requests 24 --deadline-ms 2000

"${load[@]}" --requests "$requests" --rate "$rate" --count-every 10 \
    --max-refused "$max_refused" >"$work/summary" 2>"$work/load.log" &
load_pid=$!
sleep 3
echo "SIGTERM to $victim"
kill -TERM "$victim_pid"
code=0
wait "$load_pid" || code=$?
head -n 20 "$work/load.log" >&2
cat "$work/summary"
victim_code=0
wait "$victim_pid" || victim_code=$?
echo "$victim exited with $victim_code"
if [ "$victim_code" -ne 0 ]; then code=1; fi
stop_all
tail -qn 1 "$work"/target-*.log
exit "$code"
