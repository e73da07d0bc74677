# Functions for the seven daemons of the Punchlist deployment on loopback. Source this file after
# common.sh.

vms=(east-1 east-2 east-3 central-1 central-2 west-1 west-2)
control_vms=(east-1 central-1 west-1)
# First of the 70 ports in use; with different values, two runs can share a machine.
port_base=${CELERYGATE_PORT_BASE:-7200}
declare -A pid_of=()

address() { # address VM LISTENER; the listener is 0 for callers, 1 for targets, 2 for operators
    local index
    for index in "${!vms[@]}"; do
        if [ "${vms[$index]}" = "$1" ]; then
            echo "127.0.0.1:$((port_base + 10 * index + $2))"
            return
        fi
    done
    echo "unknown VM $1" >&2
    return 1
}

# Prints the addresses of a listener on all VMs except the given ones, separated by commas.
addresses_without() { # addresses_without LISTENER [EXCLUDED-VM..]
    local listener=$1 vm list=""
    shift
    for vm in "${vms[@]}"; do
        if [[ " $* " != *" $vm "* ]]; then list="$list,$(address "$vm" "$listener")"; fi
    done
    echo "${list#,}"
}

# Starts a daemon. Appends the log of its previous run to a second file, because start overwrites
# the log.
start_vm() {
    if [ -f "$work/$1.log" ]; then cat "$work/$1.log" >>"$work/$1.earlier"; fi
    start_daemon "$1"
    pid_of[$1]=$!
}

# Whether all VMs except the stopped ones are reported as serving.
all_serving() { # all_serving [STOPPED-VM..]
    [ "$(operator_cli "$(addresses_without 2 "$@")" status | grep -c ' serving ')" -eq \
        $((${#vms[@]} - $#)) ]
}

prepare_punchlist() {
    local vm
    prepare punchlist
    if [ "$port_base" -ne 7200 ]; then
        for vm in "${vms[@]}"; do
            perl -pi -e "s/127\.0\.0\.1:72(\d\d)/'127.0.0.1:' . ($port_base + \$1)/ge" \
                "$work/$vm.json"
        done
    fi
}

start_seven() {
    local vm
    for vm in "${vms[@]}"; do start_vm "$vm"; done
    wait_for 20 "a leader" has_leader "$(addresses_without 2)"
    wait_for 20 "all daemons" all_serving
}

start_target() { # start_target REGION SUFFIX [OPTION..]; REGION-SUFFIX is a data centre
    local region=$1 suffix=$2 vm announce_options=()
    shift 2
    for vm in "${vms[@]}"; do
        if [[ $vm == "$region"-* ]]; then announce_options+=(--announce "$(address "$vm" 1)"); fi
    done
    start "target-$region-$suffix" "$binaries/examples/stand_in_target" "${announce_options[@]}" \
        --token-file "$work/secrets/targets.token" --service listkeeper --slots 3 \
        --target "$region-$suffix" --region "$region" --data-centre "$region-$suffix" \
        --delay-ms 2 --ran-file "$work/ran" "$@"
    pid_of[target-$region-$suffix]=$!
}

start_targets() { # start_targets [OPTION..]
    local region suffix
    for region in east central west; do
        for suffix in a b; do start_target "$region" "$suffix" "$@"; done
    done
}

# Sets `load_client` to the command of the load client with lookups for a client address of each
# region.
set_load_client() {
    local vm
    load_client=("$binaries/examples/load_client" --service listkeeper --keys "$work/secrets/keys"
        --client 127.1.0.1 --client 127.2.0.1 --client 127.3.0.1)
    for vm in "${vms[@]}"; do load_client+=(--lookup "$(address "$vm" 0)"); done
}
