#!/usr/bin/env bash
# Starts the seven daemons of the Punchlist deployment on loopback with stand-in targets, sends
# 10,000 requests from 8 organisations and stops one daemon with SIGTERM during this load. Prints
# the counts. The exit code is not 0 if a request failed, a response was cut or had a wrong body,
# more than 0.1% of the requests were refused although they were within the rate limits, or the
# stopped daemon did not exit with 0.
#
# usage: scripts/seven.sh [VM to stop, east-2 by default]
set -euo pipefail
. "$(dirname "$0")/common.sh"

stopped_vm=${1:-east-2}
vms=(east-1 east-2 east-3 central-1 central-2 west-1 west-2)
requests=10000
# 0.1% of the requests.
max_refused=10
# 100 requests/s for each of the 8 organisations are within every rate limit, and the load lasts
# longer than the 6 s for which a stopping daemon still accepts requests.
rate=100

address() { # address VM LISTENER; the listener is 0 for callers, 1 for targets, 2 for operators
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

address "$stopped_vm" 0 >/dev/null
prepare punchlist
lookup_options=()
operators=""
for vm in "${vms[@]}"; do
    start_daemon "$vm"
    if [ "$vm" = "$stopped_vm" ]; then stopped_vm_pid=$!; fi
    lookup_options+=(--lookup "$(address "$vm" 0)")
    operators="$operators,$(address "$vm" 2)"
done
operators=${operators#,}
wait_for 20 "a leader" has_leader "$operators"

for region in east central west; do
    announce_options=()
    for vm in "${vms[@]}"; do
        if [[ $vm == "$region"-* ]]; then announce_options+=(--announce "$(address "$vm" 1)"); fi
    done
    for suffix in a b; do
        start "target-$region-$suffix" "$binaries/examples/stand_in_target" \
            "${announce_options[@]}" --token-file "$work/secrets/targets.token" \
            --service listkeeper --slots 3 \
            --target "$region-$suffix" --region "$region" --data-centre "$region-$suffix" \
            --delay-ms 2
    done
done

# The load client looks up entry VMs for a client address of each region, so that every region gets
# requests.
load_client=("$binaries/examples/load_client" "${lookup_options[@]}" --service listkeeper
    --keys "$work/secrets/keys" --client 127.1.0.1 --client 127.2.0.1 --client 127.3.0.1)
all_serving() {
    [ "$(operator_cli "$operators" status | grep -c ' serving ')" -eq ${#vms[@]} ]
}
wait_for 20 "all daemons" all_serving
wait_for 20 "the targets" "${load_client[@]}" --requests 24 --deadline-ms 2000

"${load_client[@]}" --requests "$requests" --rate "$rate" --count-every 10 \
    --max-refused "$max_refused" >"$work/summary" 2>"$work/load.log" &
load_pid=$!
sleep 3
echo "sending SIGTERM to $stopped_vm"
kill -TERM "$stopped_vm_pid"
code=0
wait "$load_pid" || code=$?
head -n 20 "$work/load.log" >&2
cat "$work/summary"
stopped_vm_code=0
wait "$stopped_vm_pid" || stopped_vm_code=$?
echo "$stopped_vm exited with code $stopped_vm_code"
if [ "$stopped_vm_code" -ne 0 ]; then code=1; fi
stop_all
tail -qn 1 "$work"/target-*.log
exit "$code"
