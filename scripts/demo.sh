#!/usr/bin/env bash
# Starts one VM and a stand-in target, sends a request through them, changes a rate by an intent
# and stops everything again, also on interruption.
set -euo pipefail
. "$(dirname "$0")/common.sh"

callers=127.0.0.1:7100
targets=127.0.0.1:7101
operators=127.0.0.1:7102

prepare one-vm
start_daemon vm-1
wait_for 15 "a leader" has_leader "$operators"
start target "$binaries/examples/stand_in_target" --announce "$targets" \
    --token-file "$work/secrets/targets.token" \
    --service echo --target target-1 --region here --data-centre here-a

echo "== look-up"
wait_for 15 "an entry VM" curl --silent --fail "http://$callers/lookup/echo"
curl --silent --show-error "http://$callers/lookup/echo"
echo

echo "== one request with the key of alpha"
key=$(cat "$work/secrets/keys/alpha.key")
# The key goes through a file, because command lines are visible to other users.
printf 'header = "Authorization: Bearer %s"\n' "$key" >"$work/secrets/curl"
request() {
    curl --silent --show-error --fail --config "$work/secrets/curl" "$@" \
        "http://$callers/svc/echo/echo/64/demo"
}
wait_for 15 "the target" request --output /dev/null
request --dump-header - --output "$work/answer"
echo "$(wc -c <"$work/answer") bytes of body"

echo "== 200 requests of two organisations, checked"
"$binaries/examples/load_client" --lookup "$callers" --service echo \
    --keys "$work/secrets/keys" --requests 200 --count-every 10

echo "== an intent: plan, confirm, in force"
operate "$operators" intent rate --organisation alpha --rate 300 --burst 600 --id demo-rate
operate "$operators" confirm demo-rate --wait
operate "$operators" status
echo "== done"
