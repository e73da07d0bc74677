#!/usr/bin/env bash
# Measures the slopes in docs/CAPACITY.md: starts three control daemons and an example program that
# acts as their followers, once for each size and repetition, and prints the fitted lines.
#
# usage: scripts/capacity.sh [ROWS-FILE]
# The environment variables SIZES (numbers of simulated followers), BLOCKS, HOLDERS, REPEATS,
# PHASE_S, COMMITS, PORT and SERVICES change the measurement; an empty list skips its part. Rows are
# appended to an existing file.
set -euo pipefail
. "$(dirname "$0")/common.sh"

cd "$repository"
cargo build --quiet --release -p celerygated --bin celerygated --example control_load
binaries="$repository/target/release"
control_load="$binaries/examples/control_load"
work=$(mktemp -d "${TMPDIR:-/tmp}/celerygate.XXXXXX")
rows=${1:-$work/rows.tsv}
port=${PORT:-7400}
block_counts=${BLOCKS-1000 10000 50000 110000}
holder_counts=${HOLDERS-20 40 80 160}

# Prints the rows of one run: measure FOLLOWERS BLOCKS PHASE-S COMMITS AWAIT-CONFIGURATION
measure() {
    local folder pids="" index
    folder=$(mktemp -d "$work/run.XXXXXX")
    "$control_load" settings --folder "$folder" --port "$port" --stand-ins "$1" --blocks "$2" \
        --services "${SERVICES:-170}"
    for index in 0 1 2; do
        start "control-$index" "$binaries/celerygated" run "$folder/control-$index.json"
        pids="$pids $!"
    done
    # shellcheck disable=SC2086
    "$control_load" run --folder "$folder" --port "$port" --stand-ins "$1" --phase-s "$3" \
        --commits "$4" --await-configuration "$5" --pids $pids
    stop_all
    rm -rf "$folder"
}

for ((repeat = 0; repeat < ${REPEATS:-2}; repeat++)); do
    for size in ${SIZES-20 50 100 200 400 700}; do
        measure "$size" 100 "${PHASE_S:-10}" "${COMMITS:-8}" true >>"$rows"
    done
    for blocks in $block_counts; do
        # These rows have the number of blocks in the size column, and their own group name.
        measure 20 "$blocks" "${PHASE_S:-10}" 0 false |
            awk -F'\t' -v OFS='\t' -v blocks="$blocks" '{print "by-blocks/" $1, $2, blocks, $4}' >>"$rows"
    done
    # shellcheck disable=SC2086
    [ -z "$block_counts" ] || "$control_load" blocks $block_counts >>"$rows"
    # shellcheck disable=SC2086
    [ -z "$holder_counts" ] || "$control_load" slots $holder_counts >>"$rows"
done
"$control_load" report "$rows"
