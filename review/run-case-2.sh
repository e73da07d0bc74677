#!/usr/bin/env bash
# Runs a case: run-case-2.sh CASE FOLDER. Writes FOLDER/record.txt, and exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run. Ends all processes that the case started.
set -u
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
runner_program=target/review-2/release/review-standins-2
if [ ! -x target/release/celerygate-platform ] || [ ! -x "$runner_program" ]; then
    echo "build the program and review/build-2.sh first" >&2
    exit 2
fi
scratch=$(mktemp -d) || exit 2
end_processes() {
    if [ -n "${runner:-}" ]; then
        kill -9 "$runner" 2>/dev/null
        wait "$runner" 2>/dev/null
    fi
    # A runner that ends in order has ended its processes, and has removed their list.
    if [ -f "$scratch/processes" ]; then
        while read -r process; do
            [ -n "$process" ] && kill -9 "$process" 2>/dev/null
        done <"$scratch/processes"
    fi
    rm -rf "$scratch"
}
trap end_processes EXIT
trap 'exit 2' HUP INT TERM
"$runner_program" "$1" "$scratch" "$folder/record.txt" &
runner=$!
wait "$runner"
code=$?
runner=
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
