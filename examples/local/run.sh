#!/usr/bin/env bash
# Starts a deployment of the production size on this machine: the platform
# stand-in, 48 runners of 8 slots and 7 entry processes in three failure domains.
# Runs the given command with the environment variables that sapphirepoint reads,
# then stops the deployment.
#
#   examples/local/run.sh sapphirepoint settings show
#   examples/local/run.sh sapphirepoint submit examples/local/job.yaml --rate 30 --duration 1m
set -euo pipefail
cd "$(dirname "$0")/../.."
domains=(loughborough melton hinckley)
entries=7
runners=48
base=${BASE_PORT:-17000}
dir=$(mktemp -d)
pids=()
finish() {
  [ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
  wait
  rm -rf "$dir"
}
trap finish EXIT
go build -o "$dir/" ./cmd/...
PATH="$dir:$PATH"

sapphirepoint keys ca --cert "$dir/ca.pem" --key "$dir/ca.key" 2>/dev/null
sapphirepoint token --file "$dir/operator.token" >/dev/null
digest=$(sapphirepoint token --file "$dir/caller.token")
first=$(grep -oE '[0-9a-f]{64}' examples/settings.yaml | head -1)
sed "s/$first/$digest/" examples/settings.yaml >"$dir/settings.yaml"

members=()
listen=()
for ((i = 0; i < runners; i++)); do
  domain=${domains[i % 3]}
  address=127.0.0.1:$((base + 100 + i))
  listen+=("$address")
  members+=("{\"name\":\"runner-$i\",\"role\":2,\"address\":\"$address\",\"failure_domain\":\"$domain\",\"worker\":\"worker-$i\",\"rack\":\"$domain-rack-$((i / 24))\",\"institution\":\"hollowell\",\"slots\":8}")
done
callers=()
operators=()
for ((i = 0; i < entries; i++)); do
  name=entry-$i
  domain=${domains[i % 3]}
  callers+=("127.0.0.1:$((base + 10 + i))")
  operators+=("127.0.0.1:$((base + 20 + i))")
  peer=127.0.0.1:$((base + 30 + i))
  members+=("{\"name\":\"$name\",\"role\":1,\"address\":\"$peer\",\"failure_domain\":\"$domain\"}")
  sapphirepoint keys process --node "$name" --ca "$dir/ca.pem" --ca-key "$dir/ca.key" --cert "$dir/$name.pem" --key "$dir/$name.key" 2>/dev/null
  cat >"$dir/$name.yaml" <<END
node: $name
failure_domain: $domain
listen: {callers: "${callers[i]}", operators: "${operators[i]}", peers: "$peer"}
platform: {url: "http://127.0.0.1:$base"}
peer_tls: {ca: ca.pem, cert: $name.pem, key: $name.key}
operators: {token_file: operator.token}
log_level: ${LOG_LEVEL:-info}
END
done
join() { local IFS=,; echo "$*"; }

standin platform --listen "127.0.0.1:$base" >"$dir/platform.log" 2>&1 &
pids+=($!)
standin runner --listen "$(join "${listen[@]}")" >"$dir/runners.log" 2>&1 &
pids+=($!)
until curl -fsS -o /dev/null -X POST -H 'Content-Type: application/json' -d "[$(join "${members[@]}")]" "http://127.0.0.1:$base/control/members" 2>/dev/null; do sleep 0.1; done
for ((i = 0; i < entries; i++)); do
  sapphirepointd --settings "$dir/entry-$i.yaml" 2>"$dir/entry-$i.log" &
  pids+=($!)
done
export SAPPHIREPOINT_ENTRY SAPPHIREPOINT_OPERATOR SAPPHIREPOINT_TOKEN_FILE="$dir/caller.token" SAPPHIREPOINT_OPERATOR_TOKEN_FILE="$dir/operator.token"
SAPPHIREPOINT_ENTRY=$(join "${callers[@]}")
SAPPHIREPOINT_OPERATOR=$(join "${operators[@]}")
until sapphirepoint settings apply "$dir/settings.yaml" --expect-version 0 >/dev/null 2>&1; do sleep 0.2; done
for address in "${callers[@]}"; do
  until curl -fsS -o /dev/null "http://$address/readyz" 2>/dev/null; do sleep 0.1; done
done
"$@"
