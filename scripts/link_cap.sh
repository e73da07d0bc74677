#!/usr/bin/env bash
# Starts the seven daemons of the Punchlist deployment on loopback with targets in the west only,
# downloads through all three VMs of the east at the same time, and compares the traffic from west
# to east with the cap of this link. Prints the rate, its share of the cap, and the latency of small
# requests during the downloads. The exit code is not 0 if the cap was exceeded or a download was
# cut.
#
# usage: scripts/link_cap.sh
set -euo pipefail
. "$(dirname "$0")/common.sh"

vms=(east-1 east-2 east-3 central-1 central-2 west-1 west-2)
# 300 Mbit/s, the cap of each link in the deployment file.
cap_bytes_per_s=37500000
download_bytes=50000000
downloads_per_vm=3
seconds=20

address() { # address VM LISTENER; the listener is 0 for callers, 1 for targets, 2 for operators
    local index
    for index in "${!vms[@]}"; do
        if [ "${vms[$index]}" = "$1" ]; then echo "127.0.0.1:$((28200 + 10 * index + $2))"; fi
    done
}

prepare punchlist
# Uses other ports than the deployment files, so that such a deployment can run at the same time.
sed -i 's/127\.0\.0\.1:72/127.0.0.1:282/' "$work"/*.json
operators=""
for vm in "${vms[@]}"; do
    start_daemon "$vm"
    operators="$operators,$(address "$vm" 2)"
done
operators=${operators#,}
wait_for 20 "a leader" has_leader "$operators"
for number in 1 2 3 4; do
    start "target-$number" "$binaries/examples/stand_in_target" --announce "$(address west-1 1)" \
        --announce "$(address west-2 1)" --token-file "$work/secrets/targets.token" \
        --service listkeeper --slots 4 --target "west-$number" --region west --data-centre west-a
done
key=$(cat "$work/secrets/keys/alder-build.key")
get() { # get VM PATH CURL-OPTIONS..
    curl --silent --fail -H "Authorization: Bearer $key" "${@:3}" \
        "http://$(address "$1" 0)/svc/listkeeper/$2"
}
for vm in east-1 east-2 east-3; do
    wait_for 20 "a response through $vm" get "$vm" echo/10 --max-time 2
done

deadline=$((SECONDS + seconds))
started=$(date +%s%N)
download() { # download VM NUMBER: repeats a download until the time is over and counts its bytes
    local sum=0 cut=0 size
    while [ $SECONDS -lt "$deadline" ]; do
        size=$(get "$1" "echo/$download_bytes" --output /dev/null --write-out '%{size_download}' \
            -H 'celerygate-deadline-ms: 120000') || cut=$((cut + 1))
        sum=$((sum + ${size:-0}))
    done
    echo "$sum $cut $(date +%s%N)" >"$work/download-$1-$2"
}
pids=()
for vm in east-1 east-2 east-3; do
    for number in $(seq $downloads_per_vm); do
        download "$vm" "$number" &
        pids+=($!)
    done
done
while [ $SECONDS -lt "$deadline" ]; do
    get east-1 echo/1000 --output /dev/null --write-out '%{time_total}\n' >>"$work/small" || true
    sleep 0.1
done
wait "${pids[@]}"
ended=$(date +%s%N)
cat "$work"/download-* | awk -v started="$started" -v ended="$ended" -v cap=$cap_bytes_per_s '
    { bytes += $1; cut += $2 }
    END {
        rate = bytes / ((ended - started) / 1e9)
        printf "downloads: %.1f MB in %.1f s, %.2f MB/s, share of the cap %.3f, cut %d\n",
            bytes / 1e6, (ended - started) / 1e9, rate / 1e6, rate / cap, cut
        exit (rate > cap || cut > 0)
    }'
sort -n "$work/small" | awk '{ time[NR] = $1 } END {
    printf "small requests: %d, p50 %.0f ms, max %.0f ms\n", NR, time[int((NR + 1) / 2)] * 1000,
        time[NR] * 1000 }'
