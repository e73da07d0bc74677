#!/usr/bin/env bash
# Failure tests with seven daemons on loopback and requests from the load client. Each case prints
# its counts and checks its conditions; the exit code is not 0 if a check fails.
#
# usage: scripts/failures.sh [CASE..]   runs all cases by default; --list prints their names
set -euo pipefail
CELERYGATE_PROFILE=${CELERYGATE_PROFILE:-release}

cases=(sigkill_entry sigkill_leader sigstop_leader two_lost region_lost all_restarted torn_log empty_disk
    target_vanishes target_truncates target_stalls target_sheds key_withdrawn sigterm_downloads)

if [ "${1:-}" = --list ]; then
    printf '%s\n' "${cases[@]}"
    exit
fi

# Each case runs in a separate shell, so that it stops at its first failing command and cleans up.
if [ "${1:-}" != --case ]; then
    if [ $# -gt 0 ]; then
        for name in "$@"; do
            if [[ " ${cases[*]} " != *" $name "* ]]; then
                echo "unknown case $name; the cases are: ${cases[*]}" >&2
                exit 2
            fi
        done
        cases=("$@")
    fi
    child=""
    # Sends SIGTERM to the child, because background processes of a shell ignore SIGINT.
    stop_child() {
        if [ -n "$child" ]; then
            kill -TERM "$child" 2>/dev/null || true
            wait "$child" || true
        fi
        exit "$1"
    }
    trap 'stop_child 130' INT
    trap 'stop_child 143' TERM
    failed=()
    for name in "${cases[@]}"; do
        "$0" --case "$name" &
        child=$!
        if wait "$child"; then echo "PASS $name"; else
            echo "FAIL $name"
            failed+=("$name")
        fi
        child=""
    done
    echo "${#cases[@]} cases, ${#failed[@]} failed: ${failed[*]:-none}"
    [ ${#failed[@]} -eq 0 ]
    exit
fi

. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/punchlist.sh"

name=$2
load_pid=""
killed=()       # VMs that were killed, which broke their connections
signalled=no    # whether a process was killed or stopped
code=0

check() { # check CONDITION COMMAND..; fails the case if the command fails
    local condition=$1
    shift
    if ! "$@"; then
        echo "  $name: check failed: $condition"
        code=1
    fi
}

# Sends 100 requests/s for each of 8 organisations, which is within every rate limit.
start_load() { # start_load SECONDS [OPTION..]
    "${load_client[@]}" --requests $(($1 * 800)) --rate 100 --connections 8 --count-every 5 \
        --verbose "${@:2}" >"$work/summary" 2>"$work/load.log" &
    load_pid=$!
}

kill_vm() {
    echo "  sending SIGKILL to $1"
    kill -KILL "${pid_of[$1]}"
    wait "${pid_of[$1]}" 2>/dev/null || true
    # Lists a VM once, also if it is killed several times.
    if [[ " ${killed[*]} " != *" $1 "* ]]; then killed+=("$1"); fi
    signalled=yes
}

restart_vm() {
    echo "  restarting $1"
    start_vm "$1"
}

status_of() {
    operator_cli "$(address "$1" 2)" --output json status
}

leader() { # leader [EXCLUDED-VM..]
    local json
    json=$(CELERYGATE_DAEMONS=$(addresses_without 2 "$@") "$binaries/celerygate" \
        --token-file "$work/secrets/operators.token" --output json status)
    jq --raw-output '.leader // empty' <<<"$json"
}

# Changes the rate limit of an organisation that sends at most 100 requests/s, and waits until the
# change is in force on all daemons.
change_rate() { # change_rate INTENT-ID RATE [EXCLUDED-VM..]
    local id=$1 rate=$2 operators
    shift 2
    operators=$(addresses_without 2 "$@")
    operator_cli "$operators" intent rate --organisation dogwood --rate "$rate" --burst 300 \
        --id "$id" >/dev/null
    operator_cli "$operators" confirm "$id" --wait >/dev/null
}

# Whether all VMs report the same revision and this rate limit.
all_have_rate() { # all_have_rate RATE [EXCLUDED-VM..]
    local vm json rate=$1 revision="" reported
    shift
    for vm in "${vms[@]}"; do
        if [[ " $* " == *" $vm "* ]]; then continue; fi
        json=$(status_of "$vm") || return 1
        reported=$(jq --raw-output '"\(.revision)" + " " + (.organisations[] |
            select(.organisation == "dogwood") | "\(.rate_requests_per_s)")' <<<"$json")
        if [ "${reported#* }" != "$rate" ]; then return 1; fi
        if [ -n "$revision" ] && [ "${reported% *}" != "$revision" ]; then return 1; fi
        revision=${reported% *}
    done
}

# Whether the revisions that a daemon applied never decrease between its start and its end.
revisions_never_decrease() {
    local vm file
    for vm in "${vms[@]}"; do
        for file in "$work/$vm.earlier" "$work/$vm.log"; do
            if [ ! -f "$file" ]; then continue; fi
            awk -v vm="$vm" '
                /daemon started/ { last = 0 }
                /command applied|configuration received|snapshot installed/ {
                    if (match($0, /[ {,"]revision"?[=:] ?"?[0-9]+/)) {
                        text = substr($0, RSTART, RLENGTH); gsub(/[^0-9]/, "", text)
                        if (text + 0 < last) { print "  " vm ": " last " then " text; bad = 1 }
                        last = text + 0
                    }
                }
                END { exit bad }' "$file" || return 1
        done
    done
}

sum_field() { # sum_field FIELD: prints the sum of the field over the summaries of all targets
    cat "$work"/target-*.log | grep -o "$1=[0-9]*" | awk -F= '{ sum += $2 } END { print sum + 0 }'
}

# Prints how many requests through killed VMs ended in this way.
count_through_killed() { # count_through_killed failed|cut
    local vm count=0
    for vm in "${killed[@]}"; do
        count=$((count + $(grep -cF " $1: $(address "$vm" 0):" "$work/load.log" || true)))
    done
    echo "$count"
}

# Waits for the load client, stops all processes, prints the counts and checks the conditions that
# apply to all cases.
check_results() {
    local total cut failed cut_through_killed failed_through_killed ran_twice max_running
    wait "$load_pid" || true
    stop_all
    total=$(grep '^total: ' "$work/summary")
    field() { grep -o "\b$1=[0-9]*" <<<"$total" | cut -d= -f2; }
    cut=$(field cut)
    failed=$(field failed)
    cut_through_killed=$(count_through_killed cut)
    failed_through_killed=$(count_through_killed failed)
    touch "$work/ran"
    ran_twice=$(sort "$work/ran" | uniq -d | wc -l)
    max_running=$(cat "$work"/target-*.log | grep -o 'most_running=[0-9]*' | cut -d= -f2 | sort -n |
        tail -n 1)
    echo "  $name: good=$(field good) refused=$(field refused) failed=$failed" \
        "(of killed VMs $failed_through_killed) cut=$cut (of killed VMs $cut_through_killed)" \
        "run_twice=$ran_twice wrong=$(field wrong)" \
        "occupancy=${max_running:-unknown}/3 over_slots=$(sum_field over_slots)" \
        "truncated=$(sum_field truncated) stalled=$(sum_field stalled) shed=$(sum_field shed)"
    echo "  $name: latency $(grep -o 'p50=.*' <<<"$total")"
    # The most frequent reasons, with addresses and byte counts replaced so that equal ones group.
    grep -oE '(refused|failed|cut|wrong|twice): .*' "$work/load.log" |
        sed -E 's/127\.0\.0\.1:[0-9]+/VM/g; s/[0-9]+ of [0-9]+ bytes/N bytes/' |
        cut -c 1-150 | sort | uniq -c | sort -rn | head -n 6 || true
    # All organisations send less than their rate limits allow.
    check "less than 0.1% of the requests are refused" \
        [ $(($(field refused) * 1000)) -lt "$(field good)" ]
    check "no response has a wrong body" [ "$(field wrong)" -eq 0 ]
    check "no request ran twice" [ "$ran_twice" -eq 0 ]
    check "no response reports a second run of its request" [ "$(field twice)" -eq 0 ]
    # A response that the target truncated must reach the caller as cut, not as complete.
    check "no response is cut except those that a target truncated" \
        [ $((cut - cut_through_killed)) -eq "$(sum_field truncated)" ]
    check "no target receives a key" [ "$(sum_field with_key)" -eq 0 ]
    if [ "$signalled" = no ]; then
        check "no target gets more requests than it has slots" [ "$(sum_field over_slots)" -eq 0 ]
    fi
    if [ "$name" = key_withdrawn ] || [ "$name" = sigterm_downloads ]; then
        check "no request fails or is refused" [ $((failed + $(field refused))) -eq 0 ]
    fi
    check "no applied revision decreases" revisions_never_decrease
}

run_sigkill_entry() {
    start_load 14
    sleep 3
    kill_vm east-2
    change_rate after-kill 151 east-2
    check "all running daemons have the change" all_have_rate 151 east-2
}

run_sigkill_leader() {
    local old
    old=$(leader)
    start_load 14
    sleep 3
    kill_vm "$old"
    wait_for 10 "another leader" has_leader "$(addresses_without 2 "$old")"
    wait_for 10 "a change after the election" change_rate after-kill 151 "$old"
    check "all running daemons have the change" all_have_rate 151 "$old"
}

run_sigstop_leader() {
    local old stopped_at answers=0 try
    change_rate before-stop 151
    old=$(leader)
    start_load 22
    sleep 3
    echo "  sending SIGSTOP to the leader $old for 10 s"
    signalled=yes
    kill -STOP "${pid_of[$old]}"
    stopped_at=$SECONDS
    sleep 4
    wait_for 5 "a change under another leader" change_rate while-stopped 152 "$old"
    check "another VM leads" [ "$(leader "$old")" != "$old" ]
    while [ $((SECONDS - stopped_at)) -lt 10 ]; do sleep 0.1; done
    kill -CONT "${pid_of[$old]}"
    # Only a leader with a valid lease answers queries for an intent, so the old leader must not.
    for try in $(seq 20); do
        if curl --silent --fail --max-time 1 --output /dev/null --config "$work/secrets/operator" \
            "http://$(address "$old" 2)/v1/intents/before-stop"; then
            answers=$((answers + 1))
        fi
        sleep 0.02
    done
    if [ "$(leader "$old")" != "$old" ]; then
        check "the old leader answers no query as leader (answered $answers)" [ "$answers" -eq 0 ]
    fi
    check "the change reaches the old leader" wait_for 10 "the old leader" all_have_rate 152
}

run_two_lost() {
    local first=west-2 second=central-1
    start_load 30
    sleep 3
    kill_vm "$first"
    sleep 4
    restart_vm "$first"
    wait_for 20 "$first" all_serving
    sleep 2
    kill_vm "$second"
    wait_for 10 "a leader" has_leader "$(addresses_without 2 "$second")"
    wait_for 10 "a change" change_rate after-second 151 "$second"
    check "all running daemons have the change" all_have_rate 151 "$second"
    restart_vm "$second"
    check "$second gets the change" wait_for 20 "$second" all_have_rate 151
}

# Kills all VMs and targets of the leader's region at the same time.
run_region_lost() {
    local region vm suffix lost=()
    region=$(leader)
    region=${region%-*}
    start_load 26
    sleep 3
    for vm in "${vms[@]}"; do
        if [[ $vm == "$region"-* ]]; then lost+=("$vm"); fi
    done
    for suffix in a b; do
        echo "  sending SIGKILL to target $region-$suffix"
        kill -KILL "${pid_of[target-$region-$suffix]}"
    done
    for vm in "${lost[@]}"; do kill_vm "$vm"; done
    wait_for 10 "another leader" has_leader "$(addresses_without 2 "${lost[@]}")"
    wait_for 10 "a change" change_rate after-loss 151 "${lost[@]}"
    check "all running daemons have the change" all_have_rate 151 "${lost[@]}"
    for vm in "${lost[@]}"; do restart_vm "$vm"; done
    check "the region gets the change" wait_for 20 "$region" all_have_rate 151
}

run_all_restarted() {
    local vm
    change_rate before-restart 151
    start_load 22
    sleep 3
    echo "  sending SIGKILL to all seven VMs and restarting them"
    for vm in "${vms[@]}"; do kill -KILL "${pid_of[$vm]}"; done
    for vm in "${vms[@]}"; do wait "${pid_of[$vm]}" 2>/dev/null || true; done
    killed=("${vms[@]}")
    signalled=yes
    for vm in "${vms[@]}"; do start_vm "$vm"; done
    wait_for 20 "a leader" has_leader "$(addresses_without 2)"
    check "all daemons serve again" wait_for 20 "all daemons" all_serving
    check "the change survives" wait_for 10 "the change" all_have_rate 151
}

# Prints a control VM that is not the leader.
non_leader_control_vm() {
    local vm current
    current=$(leader)
    for vm in "${control_vms[@]}"; do
        if [ "$vm" != "$current" ]; then
            echo "$vm"
            return
        fi
    done
}

last_segment() {
    find "$work/data/$1" -name 'segment-*' | sort -V | tail -n 1
}

# Appends a copy of the first 30 bytes of the last frame, which is what an interrupted write of a
# similar entry leaves.
append_torn_frame() {
    local file=$1 offset
    offset=$(grep --only-matching --byte-offset --text --fixed-strings cglf "$file" | tail -n 1 |
        cut -d: -f1)
    tail -c +$((offset + 1)) "$file" | head -c 30 >"$work/torn"
    cat "$work/torn" >>"$file"
}

# The daemon drops a frame whose write was interrupted, but must not start if the log ends in random
# bytes: these are not an interrupted write, and dropping them could lose acknowledged entries.
run_torn_log() {
    local vm vm_code=0
    vm=$(non_leader_control_vm)
    start_load 36
    sleep 1
    change_rate before-tear 151
    kill_vm "$vm"
    append_torn_frame "$(last_segment "$vm")"
    restart_vm "$vm"
    check "$vm has the change after a torn frame was appended" wait_for 20 "$vm" all_have_rate 151
    wait_for 20 "$vm after a torn frame was appended" all_serving
    check "the interrupted write is reported" grep -q 'write was interrupted' "$work/$vm.log"
    kill_vm "$vm"
    truncate -s -5 "$(last_segment "$vm")"
    restart_vm "$vm"
    wait_for 20 "$vm after bytes were cut" all_have_rate 151
    wait_for 20 "$vm after bytes were cut" all_serving
    check "the interrupted write is reported" grep -q 'write was interrupted' "$work/$vm.log"
    change_rate after-tear 152
    check "$vm has both changes" wait_for 10 "$vm" all_have_rate 152
    kill_vm "$vm"
    head -c 37 /dev/urandom >>"$(last_segment "$vm")"
    restart_vm "$vm"
    wait "${pid_of[$vm]}" || vm_code=$?
    check "$vm does not start with a damaged log" [ "$vm_code" -ne 0 ]
    check "the damage is reported" grep -q 'damaged frame' "$work/$vm.log"
    change_rate without-damaged 153 "$vm"
    check "the others have the change" all_have_rate 153 "$vm"
    rm -r "$work/data/${vm:?}"
    restart_vm "$vm"
    check "$vm has the change after a start with an empty data folder" \
        wait_for 20 "$vm" all_have_rate 153
}

run_empty_disk() {
    local vm
    vm=$(non_leader_control_vm)
    start_load 22
    sleep 1
    change_rate before-loss 151
    kill_vm "$vm"
    rm -r "$work/data/${vm:?}"
    restart_vm "$vm"
    wait_for 20 "$vm" all_serving
    check "$vm has the change" wait_for 10 "$vm" all_have_rate 151
    is_promoted() {
        cat "$work"/*.log | grep 'membership change proposed' | grep -q "Promote.*$vm"
    }
    check "$vm joins as a learner and is promoted" wait_for 15 "the promotion" is_promoted
    grep -h 'membership change proposed' "$work"/*.log | cut -c 1-160 | tail -n 4 || true
    # Without another voter, the group needs the promoted VM for a quorum.
    local lost
    for lost in "${control_vms[@]}"; do
        if [ "$lost" != "$vm" ]; then break; fi
    done
    kill_vm "$lost"
    wait_for 10 "a leader" has_leader "$(addresses_without 2 "$lost")"
    check "the group commits with $vm as a voter" \
        wait_for 10 "a change" change_rate after-promotion 152 "$lost"
}

run_target_vanishes() {
    start_load 14
    sleep 3
    echo "  sending SIGKILL to target east-a"
    kill -KILL "${pid_of[target-east-a]}"
    signalled=yes
}

run_target_truncates() {
    start_load 10
}

run_target_stalls() {
    start_load 12 --deadline-ms 3000
}

run_target_sheds() {
    start_load 10
}

run_key_withdrawn() {
    local vm addresses=()
    for vm in "${vms[@]}"; do
        addresses+=(--operators "$(address "$vm" 2)" --entry "$(address "$vm" 0)")
    done
    start_load 16
    sleep 1
    check "a withdrawn key is refused" "$binaries/examples/measure_in_force" "${addresses[@]}" \
        --rounds 3 --token-file "$work/secrets/operators.token" --service listkeeper \
        --key-organisation alder-build --rate-organisation dogwood
}

# A download of 16 MiB takes 5 s at the maximum rate of 3.2 MB/s, so that some downloads are in
# progress when the VM stops accepting requests 6 s after SIGTERM.
run_sigterm_downloads() {
    local vm=east-2 vm_code=0
    "${load_client[@]}" --requests 40 --rate 0.3 --connections 8 --bytes 16777216 \
        --deadline-ms 60000 --verbose >"$work/summary" 2>"$work/load.log" &
    load_pid=$!
    sleep 4
    echo "  sending SIGTERM to $vm"
    kill -TERM "${pid_of[$vm]}"
    wait "${pid_of[$vm]}" || vm_code=$?
    check "$vm exits with code 0 (was $vm_code)" [ "$vm_code" -eq 0 ]
}

target_options=()
case $name in
    target_truncates) target_options=(--truncate-every 50) ;;
    target_stalls) target_options=(--stall-every 200) ;;
    target_sheds) target_options=(--shed-every 10) ;;
    sigterm_downloads) target_options=(--piece-delay-ms 20) ;;
esac

echo "== $name"
prepare_punchlist
printf 'header = "Authorization: Bearer %s"\n' "$(cat "$work/secrets/operators.token")" \
    >"$work/secrets/operator"
start_seven
start_targets "${target_options[@]}"
set_load_client
# Whether any of the warm-up requests succeeds. The others may fail, because the targets inject
# faults.
any_request_succeeds() {
    { "${load_client[@]}" --requests 24 --deadline-ms 2000 || true; } | grep "^total: good=[1-9]"
}
wait_for 20 "the targets" any_request_succeeds
"run_$name"
check_results
exit "$code"
