#!/usr/bin/env bash
# Runs a case: run-case.sh CASE FOLDER. Writes FOLDER/record.txt, and exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run. Ends all processes that the case started.
set -u
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
stand_ins=target/review/release/review-standins
if [ ! -x target/release/celerygate-platform ] || [ ! -x "$stand_ins" ]; then
    echo "build the program and review/build.sh first" >&2
    exit 2
fi
scratch=$(mktemp -d) || exit 2
end_processes() {
    [ -n "${runner:-}" ] && kill -9 "$runner" 2>/dev/null && wait "$runner" 2>/dev/null
    # A runner that ends by itself ends its processes, and removes their list.
    if [ -f "$scratch/processes" ]; then
        while read -r process; do
            [ -n "$process" ] && kill -9 "$process" 2>/dev/null
        done <"$scratch/processes"
    fi
    rm -rf "$scratch"
}
trap end_processes EXIT
trap 'exit 2' HUP INT TERM
"$stand_ins" "$1" "$scratch" "$folder/record.txt" &
runner=$!
wait "$runner"
code=$?
runner=
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
