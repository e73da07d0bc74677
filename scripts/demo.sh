#!/usr/bin/env bash
# Starts one daemon and a stand-in target, sends requests through them and changes a rate limit with
# an intent. Stops all processes at the end and when interrupted.
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

echo "== lookup"
wait_for 15 "an entry VM" curl --silent --fail "http://$callers/lookup/echo"
curl --silent --show-error "http://$callers/lookup/echo"
echo

echo "== one request with the key of alpha"
key=$(cat "$work/secrets/keys/alpha.key")
# Passes the key to curl in a file, because other users can see command lines.
printf 'header = "Authorization: Bearer %s"\n' "$key" >"$work/secrets/curl"
request() {
    curl --silent --show-error --fail --config "$work/secrets/curl" "$@" \
        "http://$callers/svc/echo/echo/64/demo"
}
wait_for 15 "the target" request --output /dev/null
request --dump-header - --output "$work/answer"
echo "body: $(wc -c <"$work/answer") bytes"

echo "== 200 requests from two organisations, with checked responses"
"$binaries/examples/load_client" --lookup "$callers" --service echo \
    --keys "$work/secrets/keys" --requests 200 --count-every 10

echo "== an intent: plan, confirm, wait until it is in force"
operator_cli "$operators" intent rate --organisation alpha --rate 300 --burst 600 --id demo-rate
operator_cli "$operators" confirm demo-rate --wait
operator_cli "$operators" status
echo "== done"
