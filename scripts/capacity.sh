#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md: starts three control daemons and the example that acts as
# their followers, once for each size and repetition, and prints the fits.
#
# usage: scripts/capacity.sh [ROWS-FILE]
# SIZES (stand-ins), BLOCKS, HOLDERS, REPEATS, PHASE_S, COMMITS, PORT and SERVICES change the
# measurement; an empty list leaves its part out. An existing rows file is added to.
set -euo pipefail
. "$(dirname "$0")/common.sh"

cd "$repository"
cargo build --quiet --release -p celerygated --bin celerygated --example control_load
binaries="$repository/target/release"
load="$binaries/examples/control_load"
work=$(mktemp -d "${TMPDIR:-/tmp}/celerygate.XXXXXX")
rows=${1:-$work/rows.tsv}
port=${PORT:-7400}
counts=${BLOCKS-1000 10000 50000 110000}
holders=${HOLDERS-20 40 80 160}

# measure STAND-INS BLOCKS PHASE-S COMMITS AWAIT: prints the rows of one run.
measure() {
    local folder pids="" index
    folder=$(mktemp -d "$work/run.XXXXXX")
    "$load" settings --folder "$folder" --port "$port" --stand-ins "$1" --blocks "$2" \
        --services "${SERVICES:-170}"
    for index in 0 1 2; do
        start "control-$index" "$binaries/celerygated" run "$folder/control-$index.json"
        pids="$pids $!"
    done
    # shellcheck disable=SC2086
    "$load" run --folder "$folder" --port "$port" --stand-ins "$1" --phase-s "$3" \
        --commits "$4" --await-configuration "$5" --pids $pids
    stop_all
    rm -rf "$folder"
}

for ((repeat = 0; repeat < ${REPEATS:-2}; repeat++)); do
    for size in ${SIZES-20 50 100 200 400 700}; do
        measure "$size" 100 "${PHASE_S:-10}" "${COMMITS:-8}" true >>"$rows"
    done
    for blocks in $counts; do
        # The group of these rows is told apart by the number of blocks as the size.
        measure 20 "$blocks" "${PHASE_S:-10}" 0 false |
            awk -F'\t' -v OFS='\t' -v blocks="$blocks" '{print "by-blocks/" $1, $2, blocks, $4}' >>"$rows"
    done
    # shellcheck disable=SC2086
    [ -z "$counts" ] || "$load" blocks $counts >>"$rows"
    # shellcheck disable=SC2086
    [ -z "$holders" ] || "$load" slots $holders >>"$rows"
done
"$load" report "$rows"
