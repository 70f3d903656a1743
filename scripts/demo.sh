#!/usr/bin/env bash
# Demonstrates the main features on one machine, with stand-ins for the platform
# and the workers. Exits non-zero if a step fails.
#
# usage: demo.sh [ENTRY-HOSTS [WORKERS]]   (default: 3 15)
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
trap stop_all EXIT

ENTRY_HOSTS=${1:-3}
WORKER_COUNT=${2:-15}
STEP=0

step() { STEP=$((STEP + 1)); printf '\n%d. %s\n' $STEP "$1"; }
fail() {
	printf '   FAILED: %s\n' "$1"
	tail -n 5 "$WORK"/*.log
	exit 1
}
indent() { sed 's/^/   /'; }

# in_force_everywhere OFFSET
in_force_everywhere() {
	local i
	for ((i = 0; i < ENTRY_HOSTS; i++)); do
		[ "$(metric "$(entry_url $i)" next_offset)" -gt "$1" ] || return 1
	done
}
pool_serves() { curl -sf "$(entry_url "$1")/crew-shares/payouts/ping"; }

step "$ENTRY_HOSTS entry hosts in three data centres, $WORKER_COUNT workers, a platform"
start_cluster "$ENTRY_HOSTS" "$WORKER_COUNT" || fail "the processes did not become ready"
ctl members | indent

step "An operator publishes the settings of team crew-shares"
team_settings "$WORKER_COUNT" 2 >"$WORK/team.json"
out=$(ctl publish crew-shares "$WORK/team.json" --base -1 --json) || fail "publish: $out"
version=$(echo "$out" | sed 's/.*"offset":\([0-9]*\).*/\1/')
wait_until 13 in_force_everywhere "$version" || fail "the change did not reach every entry host"
echo "   version $version is in force at all $ENTRY_HOSTS entry hosts"
ctl pools | indent

step "A change based on an outdated version is refused"
if ctl publish crew-shares "$WORK/team.json" --base -1 2>"$WORK/refusal"; then
	fail "it was accepted"
fi
indent <"$WORK/refusal"

step "A caller's request goes through each entry host to a worker and back"
for ((i = 0; i < ENTRY_HOSTS; i++)); do
	wait_until 10 pool_serves "$i" || fail "entry host $i does not serve"
	curl -s -i "$(entry_url $i)/crew-shares/payouts/share-run?boat=tui" |
		tr -d '\r' | grep -E '^(HTTP|Plank|\{)' | paste -sd' ' | indent
done

step "A host is drained under load; no request is aborted"
ok=0
for ((k = 0; k < 18; k++)); do
	curl -s -o "$WORK/slow$k" -w '%{http_code}\n' \
		"$(entry_url $((k % ENTRY_HOSTS)))/crew-shares/payouts/slow?sleep_ms=1500" \
		>"$WORK/status$k" &
	REQUESTS[$k]=$!
done
sleep 0.3
ctl drain w0 | indent
ctl host w0 --json | indent
for ((k = 0; k < 18; k++)); do
	wait "${REQUESTS[$k]}"
	[ "$(cat "$WORK/status$k")" = 200 ] && ok=$((ok + 1))
done
is_drained() { ctl host w0 --json | grep -q '"state":"drained"'; }
wait_until 15 is_drained || fail "w0 is not drained: $(ctl host w0 --json)"
[ "$(curl -s "$(worker_url 0)/control" | sed 's/.*"active":\([0-9]*\).*/\1/')" = 0 ] ||
	fail "w0 was drained with requests in progress"
echo "   $ok of 18 requests answered, w0 is drained"
[ $ok = 18 ] || fail "requests were aborted or refused"

step "A drain that would exceed the pool's budget is refused"
if ctl drain w1 2>"$WORK/refusal" >/dev/null; then
	indent <"$WORK/refusal"
	if ctl drain w2 2>"$WORK/refusal" >/dev/null; then
		fail "fewer than 2 hosts stay available"
	fi
fi
indent <"$WORK/refusal"

step "The host is rebooted and returned to service"
ctl reboot w0 >/dev/null || fail "reboot"
ctl return w0 >/dev/null || fail "return"
ctl host w0 | grep -E '^(host|state)' | paste -sd' ' | indent

step "The audit trail"
ctl audit | cut -c1-110 | tail -n 8 | indent

step "A graceful stop of an entry host"
stop entry0 || fail "the entry daemon ended with status $?"
left() { ! ctl members | grep -q '^e0 '; }
wait_until 10 left || fail "e0 did not leave"
echo "   e0 has left; the others continue to serve"
for ((i = 1; i < ENTRY_HOSTS; i++)); do
	pool_serves "$i" >/dev/null || fail "entry host $i does not serve"
done

step "A job on the users' platform: three nodes, workers under leases"
. scripts/nodes.sh
stop_all_processes
start_standin 3 || fail "the stand-in for the platform did not start"
for i in 0 1 2; do start_node $i; done
for i in 0 1 2; do wait_until 20 node_is_ready $i || fail "node $i is not ready"; done
jobs() { "$BUILD/plankctl" --url "$(node_admin_url 1)" --token "$TOKEN" "$@"; }
ID=00000000000000a1
[ "$(job_call 0 POST $ID "$(job_body tallies 2 6)")" = 200 ] || fail "submission"
jobs explain-job $ID | cut -c1-140 | indent
wait_until 20 job_is 2 $ID done || fail "the job is $(job_state 2 $ID)"
echo "   accepted by node 0; state at node 2: $(job_state 2 $ID)"

step "A job that runs until stopped is cancelled at another node"
ID=00000000000000a2
[ "$(job_call 1 POST $ID "$(job_body last 1 3)")" = 200 ] || fail "submission"
wait_until 20 job_is 0 $ID running || fail "the job does not run"
jobs jobs | indent
[ "$(job_call 2 DELETE $ID)" = 200 ] || fail "cancel"
wait_until 20 job_is 0 $ID cancelled || fail "the job is $(job_state 0 $ID)"
echo "   state at node 0: $(job_state 0 $ID)"

printf '\nAll %d steps succeeded.\n' $STEP
