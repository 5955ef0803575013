#!/bin/bash
# Starts the whole path as separate processes on loopback, applies the example
# contracts, sends both customers' requests, prints the answers and a small
# goodput report, and stops what it started. Exits 0 when every step worked.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp -d)
pids=()
stop() {
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$out"
}
trap stop EXIT

start() { # name, command...
	local name=$1
	shift
	"$@" >"$out/$name.log" 2>&1 &
	pids+=($!)
}
await() { # urls
	$bin/hsload await --timeout 20s "$@" && return 0
	tail -n 5 "$out"/*.log >&2
	return 1
}

bin=bin
base=${DEMO_PORT:-21000}
platform=http://127.0.0.1:$base
start platform $bin/standin platform --listen 127.0.0.1:$base

engine() { # number, id, role, models, zone
	local p=$((base + 100 + $1)) s=$((base + 200 + $1)) a=$((base + 300 + $1))
	start "engine-$2" $bin/standin engine --listen 127.0.0.1:$p --id "$2" --role "$3" --models "$4" --zone "$5" \
		--step-base 4ms --step-per-run 200us
	printf 'id: %s\nzone: %s\nlisten: 127.0.0.1:%d\nadmin: 127.0.0.1:%d\nengine: http://127.0.0.1:%d\n' "$2" "$5" $s $a $p >"$out/$2.yaml"
	start "sidecar-$2" $bin/hibiscusspur sidecar --settings "$out/$2.yaml"
	printf 'id: %s\naddress: 127.0.0.1:%d\nzone: %s\nrole: %s\nmodels: [%s]\n' "$2" $s "$5" "$3" "$4" >"$out/backends/$2.yaml"
}
mkdir "$out/backends"
engine 1 drafting-p1 prefill drafting is-1
engine 2 drafting-d1 decode drafting is-1
engine 3 drafting-d2 decode drafting is-2
engine 4 portal-1 mixed portal is-1
engine 5 ruling-p1 prefill ruling ro-1
engine 6 ruling-d1 decode ruling ro-1
engine 7 receipt-1 mixed receipt ro-2

start service $bin/standin service --listen 127.0.0.1:$((base + 108))
printf 'id: permits-1\nzone: ro-1\nlisten: 127.0.0.1:%d\nadmin: 127.0.0.1:%d\nservice: http://127.0.0.1:%d\n' $((base + 208)) $((base + 308)) $((base + 108)) >"$out/permits-1.yaml"
start sidecar-permits-1 $bin/hibiscusspur sidecar --settings "$out/permits-1.yaml"
printf 'id: permits-1\naddress: 127.0.0.1:%d\nzone: ro-1\nrole: service\nmodels: [permits, hearings]\n' $((base + 208)) >"$out/backends/permits-1.yaml"

printf 'id: entry-1\nzone: is-1\nlisten: 127.0.0.1:%d\nadmin: 127.0.0.1:%d\nplatform: %s\n' $((base + 1)) $((base + 11)) "$platform" >"$out/entry-1.yaml"
start entry-1 $bin/hibiscusspur entry --settings "$out/entry-1.yaml"

await "$platform/control/counters"
echo "== backend servers and contracts"
$bin/hibiscusspur backend add --platform "$platform" -f "$out/backends" --yes
$bin/hibiscusspur contract apply --platform "$platform" -f examples/contracts --yes
urls=("http://127.0.0.1:$((base + 11))/healthz")
for n in 1 2 3 4 5 6 7 8; do urls+=("http://127.0.0.1:$((base + 300 + n))/healthz"); done
await "${urls[@]}"
sleep 1.5 # the entry polls once a second

target=http://127.0.0.1:$((base + 1))
ask() { # key, model, text
	$bin/hsload ask --target "$target" --key "$1" \
		--data "{\"model\":\"$2\",\"max_tokens\":24,\"messages\":[{\"role\":\"user\",\"content\":\"$3\"}]}"
}
echo "== Samtök: a portal lookup, a draft"
ask demo-samtok-key portal "When is the hearing of case 4711?"
ask demo-samtok-key drafting "Draft a ruling: the washing machine broke after three weeks."
echo "== Permisele: a ruling, a receipt, a call of the permit service"
ask demo-permisele-key ruling "May a school group enter the rescue zone on Sunday?"
ask demo-permisele-key receipt "Receipt for permit 17."
$bin/hsload ask --target "$target" --key demo-permisele-key --path /services/permits/receipts --data '{"permit":17}'
echo "== goodput"
$bin/hsload demo --target "$target" --contracts examples/contracts --duration 5s
echo "== ${#pids[@]} processes ran"
