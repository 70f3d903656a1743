#!/usr/bin/env bash
# Eight entry hosts in three data centres with fifty workers: operators'
# commands, drains and graceful stops while requests are in progress. Guards
# against a request interrupted by a planned stop, a change that takes effect
# twice, and an operator who changes hosts or settings of another team.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
trap stop_all EXIT

fail() {
	printf 'FAILED: %s\n' "$1"
	tail -n 3 "$WORK"/fleet*.log "$WORK"/entry*.log
	exit 1
}
expect() { # STATUS COMMAND...: the command exits with STATUS
	local want=$1 got
	shift
	"$@" >"$WORK/out" 2>"$WORK/err"
	got=$?
	[ $got = "$want" ] || fail "$*: status $got, not $want: $(cat "$WORK/out" "$WORK/err")"
}
shows() { grep -q "$1" "$WORK/out" || fail "no '$1' in: $(cat "$WORK/out")"; }
pool_serves() { curl -sf "$(entry_url "$1")/crew-shares/$2/ping"; }
state_is() { ctl host "$1" --json | grep -q "\"state\":\"$2\""; }

# begin_requests POOL SKIP: starts two slow requests through each entry host
# except SKIP
begin_requests() {
	local k
	REQUESTS=()
	for ((k = 0; k < 16; k++)); do
		[ $((k % 8)) = "$2" ] && continue
		curl -s -o "$WORK/answer$k" -w '%{http_code}' -d run \
			-H 'Plank-Repeatable: no' \
			"$(entry_url $((k % 8)))/crew-shares/$1/run?sleep_ms=3500" \
			>"$WORK/status$k" &
		REQUESTS[$k]=$!
	done
	wait_until 10 in_progress ${#REQUESTS[@]} || fail "requests do not reach workers"
}
# in_progress COUNT: so many are; one look at all entry hosts, as each request
# ends after some seconds
in_progress() {
	local i urls=()
	for ((i = 0; i < 8; i++)); do
		urls+=("$(entry_url $i)/metrics")
	done
	[ "$(curl -s "${urls[@]}" | awk '$1 == "plank_requests_active" { sum += $2 }
		END { print sum + 0 }')" -ge "$1" ]
}
end_requests() { # WHAT: waits; every request must be answered by a worker
	local k
	for k in "${!REQUESTS[@]}"; do
		wait "${REQUESTS[$k]}"
		[ "$(cat "$WORK/status$k")" = 200 ] ||
			fail "$1: request $k got $(cat "$WORK/status$k") $(cat "$WORK/answer$k")"
	done
}

start_cluster 8 50 || fail "the processes did not become ready"
team_settings 50 5 >"$WORK/team.json"

# Operators' commands.
expect 2 ctl publish crew-shares "$WORK/team.json"
expect 0 ctl check crew-shares "$WORK/team.json"
expect 4 ctl check crew-shares "$WORK/team.json" --base 7
expect 0 ctl publish crew-shares "$WORK/team.json" --base -1
for ((i = 0; i < 8; i++)); do
	for pool in "${POOLS[@]}"; do
		wait_until 13 pool_serves $i "$pool" || fail "entry host $i, pool $pool"
	done
done
expect 0 ctl settings crew-shares --output "$WORK/edit.json"
expect 0 ctl publish crew-shares "$WORK/edit.json"
expect 4 ctl publish crew-shares "$WORK/edit.json"
echo other-team-token >"$WORK/token"
other_team() { "$BUILD/plankctl" --url "$(fleet_url 3)" --token-file "$WORK/token" "$@"; }
expect 16 other_team drain w0
expect 16 other_team publish crew-shares "$WORK/team.json" --base -1
expect 16 other_team check crew-shares "$WORK/team.json"
[ "$(curl -s -o /dev/null -w '%{http_code}' -X POST -H 'Authorization: Bearer other-team-token' \
	"$(fleet_url 1)/v1/hosts/w0/drain")" = 403 ] || fail "no 403"
config() { printf '{"version":%s,"routes":[{"name":"q","host":"h","prefix":"/","service":"%s"}],"services":[{"name":"p"}],"tenants":[{"name":"a","keys":[%s]}]}' "$@"; }
config 7 p '"secret1"' >"$WORK/old.json"
config 8 p '"secret2"' >"$WORK/new.json"
config 8 p '' >"$WORK/warned.json"
config 8 x '"secret2"' >"$WORK/wrong.json"
config 8 p '"secret2","secret2"' >"$WORK/malformed.json"
expect 0 "$BUILD/plankctl" check-config "$WORK/new.json" --against "$WORK/old.json"
expect 1 "$BUILD/plankctl" check-config "$WORK/warned.json"
expect 25 "$BUILD/plankctl" check-config "$WORK/wrong.json"
expect 25 "$BUILD/plankctl" check-config "$WORK/malformed.json" --json
expect 25 "$BUILD/plankctl" check-config "$WORK/old.json" --against "$WORK/new.json"
expect 17 "$BUILD/plankctl" check-config "$WORK/none.json"
expect 2 "$BUILD/plankctl" check-config "$WORK/new.json" --workers x
expect 2 "$BUILD/plankctl" --url "$(fleet_url 0)" hosts --against "$WORK/old.json"
for name in new warned wrong malformed; do
	for option in --json ""; do
		# shellcheck disable=SC2086
		"$BUILD/plankctl" check-config "$WORK/$name.json" --against "$WORK/old.json" $option 2>&1 | grep -q secret && fail "check-config prints a key"
	done
done
echo "ok: a configuration is checked without its keys"
expect 15 "$BUILD/plankctl" --url "$(fleet_url 0)" --token wrong hosts
expect 8 "$BUILD/plankctl" --url "http://127.0.0.1:$((BASE + 599))" --token $TOKEN hosts
expect 0 "$BUILD/plankctl" --url "http://127.0.0.1:$((BASE + 599)),$(fleet_url 2)" --token $TOKEN hosts

# A repeated change takes effect once, whichever daemon receives the copy.
id=$(printf '%032x' 77)-$(ctl status --json | sed 's/.*"next":\([0-9]*\).*/\1/')
expect 0 ctl drain w49 --id "$id" --json
first=$(cat "$WORK/out")
expect 0 ctl undrain w49
known() { [ "$(FLEET=5 ctl drain w49 --id "$id" --json)" = "$first" ]; }
wait_until 10 known || fail "the copy does not get the response of the first"
expect 7 ctl drain w48 --id "$id"
state_is w49 serving || fail "a copy of the drain took effect"

# A drain in each data centre while requests are in flight.
for host in 0 1 2; do
	begin_requests "$(pool_of $host)" -1
	expect 0 ctl drain w$host
	end_requests "drain of w$host"
	wait_until 20 state_is w$host drained || fail "w$host is not drained"
	expect 0 ctl explain w$host
	shows "w$host is drained"
	shows 'by sele'
done
expect 0 ctl explain crew-shares
shows 'pool crew-shares/payouts: '
expect 0 ctl summary
shows 'w0 is drained: may be rebooted'
shows 'refusals: 1'

# Graceful stops. A load balancer would send nothing to a stopping entry host.
begin_requests settlements -1
# A request on an open connection arrives together with the signal.
exec 8<>"/dev/tcp/127.0.0.1/$((BASE + 200))"
sleep 0.1
kill -STOP "${PIDS[fleet0]}"
printf 'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n' >&8
(sleep 0.3; kill -CONT "${PIDS[fleet0]}") &
stop fleet0 || fail "the fleet daemon ended with status $?"
timeout 2 head -n 1 <&8 2>/dev/null | grep -q ' 200 ' || fail "a request at the stop of a fleet daemon gets no answer"
exec 8>&-
end_requests "stop of a fleet daemon"
export FLEET=1
begin_requests settlements -1
stop entry4 || fail "the entry daemon ended with status $?"
end_requests "stop of an entry daemon"
left() { ! ctl members | grep -q '^e4 '; }
wait_until 10 left || fail "e4 did not leave"

# A worker that the platform lists as leaving gets no new requests; it is
# stopped once it has none in progress.
worker_control() { curl -s -d "$1" "$(worker_url 3)/control"; }
idle() { worker_control '{}' | grep -q '"active":0,'; }
gets_no_requests() {
	local i before
	before=$(worker_control '{}' | sed 's/.*"runs":\([0-9]*\).*/\1/')
	for ((i = 0; i < 24; i++)); do
		[ $((i % 8)) = 4 ] || curl -sf "$(entry_url $((i % 8)))/crew-shares/settlements/ping"
	done
	[ "$(worker_control '{}' | sed 's/.*"runs":\([0-9]*\).*/\1/')" = "$before" ]
}
begin_requests settlements 4
platform "$(host_list 8 50 '3')" || fail "host list"
wait_until 10 gets_no_requests || fail "the leaving worker still gets new requests"
wait_until 10 idle || fail "the leaving worker is not idle"
stop worker3 || fail "the worker ended with status $?"
end_requests "stop of a leaving worker"
for ((i = 0; i < 8; i++)); do
	[ $i = 4 ] || pool_serves $i settlements >/dev/null || fail "entry host $i"
done
echo ok
