#!/usr/bin/env bash
# Runs jobs end to end with real processes: three nodes and the stand-in for the
# users' platform. Faults: lost answers, refusals and outages of the log, deleted
# records, reassigned parts, crashed workers, a killed pool owner.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
. scripts/nodes.sh
trap stop_all EXIT

fail() {
	echo "FAILED: $1"
	tail -n 8 "$WORK"/*.log
	exit 1
}
ID_COUNT=0
new_id() {
	ID_COUNT=$((ID_COUNT + 1))
	ID=$(printf '%016x' $((0xabc0000 + ID_COUNT)))
}
# submit NODE STEPS COUNT [TEXT]: submits a job and sets ID to its id
submit() {
	new_id
	local status
	status=$(job_call "$1" POST "$ID" "$(job_body "${4:-t}" "$2" "$3")")
	[ "$status" = 200 ] || fail "submission to node $1: status $status"
}
# expect_state NODE ID STATE: waits for the state
expect_state() { wait_until 30 job_is "$1" "$2" "$3" || fail "job $2 is $(job_state "$1" "$2"), not $3"; }

start_standin 3 || fail "the stand-in did not start"
for i in 0 1 2; do start_node $i; done
for i in 0 1 2; do wait_until 20 node_is_ready $i || fail "node $i is not ready"; done
wait_until 20 grep -q "tenure-taken of=pool-tallies" "$WORK"/node0.log "$WORK"/node1.log "$WORK"/node2.log || fail "no node owns the pool"

submit 0 3 4
expect_state 1 "$ID" done
expect_state 2 "$ID" done
echo "ok: a job runs, and every node reports its state"

DONE=$ID
[ "$(job_call 1 POST "$DONE" "$(job_body t 3 4)")" = 200 ] || fail "a repeated submission is refused"
started=$(grep -c "run-begun task=$DONE" "$WORK/standin.log")
[ "$started" = 12 ] || fail "$started runs of 12 tasks"
echo "ok: a repeated submission starts no second run"

submit 0 1 3 last
expect_state 1 "$ID" running
[ "$(job_call 2 DELETE "$ID")" = 200 ] || fail "cancel"
expect_state 0 "$ID" cancelled
[ "$(job_call 2 DELETE 00000000000000ff)" = 410 ] || fail "cancel of an unknown job"
[ "$(job_call 2 GET 00000000000000ff)" = 410 ] || fail "state of an unknown job"
submit 1 1 2 fail
expect_state 1 "$ID" failed
echo "ok: cancelled, failed and unknown jobs"

# Invalid requests: each gets its error status, and no node exits.
new_id
[ "$(job_call 0 POST "$ID" '{"spec":')" = 400 ] || fail "truncated body"
[ "$(job_call 0 POST "$ID" '{"spec":"t","steps":[]}')" = 400 ] || fail "no steps"
[ "$(job_call 0 POST "$ID" '{"spec":"t","steps":[{"count":-1}]}')" = 400 ] || fail "negative count"
[ "$(job_call 0 POST "$ID" '{"spec":"t","steps":[{"count":1,"dependsOn":[0]}]}')" = 400 ] || fail "step that depends on itself"
[ "$(job_call 0 POST short "$(job_body t 1 1)")" = 400 ] || fail "malformed id"
[ "$(job_call 0 PUT "$ID" "$(job_body t 1 1)")" = 405 ] || fail "method not allowed"
status=$(curl -s -m 5 -o /dev/null -w '%{http_code}' -d x -H "Host: other" "$(node_url 0)$PREFIX$ID")
[ "$status" = 404 ] || fail "unknown Host header: status $status"
head -c 70000 /dev/zero | tr '\0' 'a' >"$WORK/large"
[ "$(job_call 0 POST "$ID" "@$WORK/large")" = 413 ] || fail "body over the limit"
invalid=$(curl -s "$(node_admin_url 0)/metrics" | awk '$1 == "plank_refused_invalid" {print $2}')
[ "$invalid" = 4 ] || fail "$invalid invalid jobs counted"
echo "ok: invalid requests"

standin_control '{"lose": 2}'
submit 0 1 2
expect_state 0 "$ID" done
standin_control '{"refuse": 6}'
submit 1 1 2
expect_state 1 "$ID" done
echo "ok: lost answers and refusals of the log"

standin_control '{"trim": 1000000}'
standin_control '{"deal": true}'
submit 2 2 2
expect_state 0 "$ID" done
stop node2 KILL
start_node 2
wait_until 20 node_is_ready 2 || fail "node 2 does not start after records were deleted"
expect_state 2 "$DONE" done
echo "ok: deleted records, reassigned parts, a restarted node"

submit 0 2 4
RUNNING=$ID
standin_control '{"down": true}'
sleep 1
new_id
[ "$(job_call 0 POST "$ID" "$(job_body t 1 1)")" != 200 ] || fail "a submission during an outage was accepted"
wait_until 5 grep -q "refused id=$ID\|undecided id=$ID" "$WORK/node0.log" || fail "the refusal is not logged"
sleep 1
standin_control '{"down": false}'
expect_state 1 "$RUNNING" done
submit 0 1 2
expect_state 1 "$ID" done
echo "ok: an outage of the log"

owner() { grep -h "tenure-taken of=pool-tallies" "$WORK"/node?.log | sort | tail -n 1 >/dev/null; grep -l "tenure-taken of=pool-tallies" "$WORK"/node?.log | while read -r log; do tail -n 400 "$log" | grep "of=pool-tallies" | tail -n 1 | grep -q taken && basename "$log" .log; done | head -n 1; }
submit 0 3 6
OWNER=$(owner)
[ -n "$OWNER" ] || fail "no owner found"
stop "$OWNER" KILL
SURVIVOR=$(((${OWNER#node} + 1) % 3))
expect_state $SURVIVOR "$ID" done
started=$(grep "run-begun task=$ID" "$WORK/standin.log" | awk '{for (i = 1; i <= NF; i++) if ($i ~ /^task=/) print $i}' | sort -u | wc -l)
[ "$started" = 18 ] || fail "$started of 18 tasks ran"
start_node "${OWNER#node}"
wait_until 20 node_is_ready "${OWNER#node}" || fail "the killed owner does not become ready again"
echo "ok: the pool owner is killed"

submit 1 2 8
standin_control '{"crash": 0}'
expect_state 1 "$ID" done
standin_control '{"restart": 0}'
submit 1 1 8
expect_state 1 "$ID" done
echo "ok: a worker crashes and restarts under the same id"

# Callers send until the connection is refused, also while the node is too busy
# to read: each connection that is taken gets its answer.
callers_until_refused() {
	local code
	for ((i = 0; i < 800; i++)); do
		curl -s -m 8 -o /dev/null -H "Host: $ENTRY_HOST" "$(node_url 0)$PREFIX$ID"
		code=$?
		[ $code = 7 ] && return 0
		[ $code = 0 ] || echo "call $i: curl exits with $code"
	done
}
for ((c = 0; c < 4; c++)); do callers_until_refused >"$WORK/callers$c" & CALLERS[c]=$!; done
sleep 0.3
kill -TERM "${PIDS[node0]}"
for ((c = 0; c < 12; c++)); do
	sleep 0.12
	kill -STOP "${PIDS[node0]}" 2>/dev/null
	sleep 0.25
	kill -CONT "${PIDS[node0]}" 2>/dev/null
done
stop node0 TERM
status=$?
wait "${CALLERS[@]}"
cat "$WORK"/callers? >"$WORK/out"
[ -s "$WORK/out" ] && fail "answers lost at the stop: $(head -n 3 "$WORK/out")"
[ $status = 0 ] || fail "a node exits with status $status"
submit 1 1 2
expect_state 1 "$ID" done
"$BUILD/plank-noded" --settings "$WORK/node1.json" --check >"$WORK/out" || fail "--check"
sed 's/"callers": "[^"]*"/"callers": "nowhere"/' "$WORK/node1.json" >"$WORK/bad.json"
if "$BUILD/plank-noded" --settings "$WORK/bad.json" --check 2>"$WORK/out"; then fail "--check accepts invalid settings"; fi
grep -q 'callers.*address:port' "$WORK/out" || fail "the error does not name the setting: $(cat "$WORK/out")"
cp "$WORK/bad.json" "$WORK/node1.json"
kill -HUP "${PIDS[node1]}"
wait_until 10 grep -q "settings stay as they were" "$WORK/node1.log" || fail "invalid settings are not logged"
submit 1 1 2
expect_state 1 "$ID" done
echo "ok: stop, settings, reload"

# A node stops while the log is away and the request's deadline is later than
# the end of the process: the caller gets an answer all the same.
standin_control '{"down": true}'
new_id
curl -s -m 8 -o /dev/null -w '%{http_code}' -H "Host: $ENTRY_HOST" \
	-H 'X-Chestnutplank-Deadline-Ms: 30000' -d "$(job_body t 1 1)" \
	"$(node_url 2)$PREFIX$ID" >"$WORK/status" &
CALLER=$!
sleep 0.05
stop node2 TERM
wait $CALLER
status=$(cat "$WORK/status")
[ "$status" = 503 ] || [ "$status" = 504 ] || fail "a stop during an outage: status $status"
standin_control '{"down": false}'
echo "ok: a stop while the log is away"
