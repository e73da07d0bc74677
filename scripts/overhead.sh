#!/usr/bin/env bash
# Measures with one daemon of a release build the overhead of forwarding, compared with direct
# requests to the stand-in target in the same run, and the number of lookups per second of the
# daemon's CPU time.
#
# usage: scripts/overhead.sh
set -euo pipefail
. "$(dirname "$0")/common.sh"

binaries="$repository/target/release"
profile=release
prepare one-vm
# Raises the rate limits so that they do not affect the result. The log level stays, because writing
# a log line for each request is part of the overhead.
sed -i 's/127\.0\.0\.1:71/127.0.0.1:281/; s/"rate_requests_per_s": 200/"rate_requests_per_s": 100000/; s/"burst_requests": 400/"burst_requests": 100000/' "$work"/*.json
start_daemon vm-1
daemon_pid=$!
wait_for 20 "a leader" has_leader 127.0.0.1:28102
start target "$binaries/examples/stand_in_target" --announce 127.0.0.1:28101 \
    --token-file "$work/secrets/targets.token" --service echo --slots 4 --target one \
    --region here --data-centre here-a --listen 127.0.0.1:28190
key="$work/secrets/keys/alpha.key"
wait_for 20 "a response" curl --silent --fail --max-time 2 \
    -H "Authorization: Bearer $(cat "$key")" http://127.0.0.1:28100/svc/echo/echo/10
"$binaries/examples/forwarding_overhead" 127.0.0.1:28100 127.0.0.1:28190 echo "$key" "$daemon_pid"
