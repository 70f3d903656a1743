#!/usr/bin/env bash
# The whole path of a job with real processes: three nodes, the stand-in of the
# users' platform, its log with lost answers, refusals, outages, deleted
# records and parts that are dealt anew; workers that crash; owners killed.
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
NEXT=0
new_id() {
	NEXT=$((NEXT + 1))
	ID=$(printf '%016x' $((0xabc0000 + NEXT)))
}
# hand_in NODE STEPS COUNT [TEXT]: the job's id is then in ID
hand_in() {
	new_id
	local status
	status=$(job_call "$1" POST "$ID" "$(job_body "${4:-t}" "$2" "$3")")
	[ "$status" = 200 ] || fail "hand-in at node $1: $status"
}
ends() { wait_until 30 job_is "$1" "$2" "$3" || fail "job $2 is $(job_state "$1" "$2"), not $3"; }

start_standin 3 || fail "no stand-in"
for i in 0 1 2; do start_node $i; done
for i in 0 1 2; do wait_until 20 node_is_ready $i || fail "node $i is not ready"; done
wait_until 20 grep -q "tenure-taken of=pool-tallies" "$WORK"/node0.log "$WORK"/node1.log "$WORK"/node2.log || fail "nobody owns the pool"

hand_in 0 3 4
ends 1 "$ID" done
ends 2 "$ID" done
echo "ok: a job runs, any node tells"

DONE=$ID
[ "$(job_call 1 POST "$DONE" "$(job_body t 3 4)")" = 200 ] || fail "a repeated hand-in is refused"
begun=$(grep -c "run-begun task=$DONE" "$WORK/standin.log")
[ "$begun" = 12 ] || fail "$begun runs of 12 tasks"
echo "ok: a repeated hand-in runs nothing again"

hand_in 0 1 3 last
ends 1 "$ID" running
[ "$(job_call 2 DELETE "$ID")" = 200 ] || fail "cancel"
ends 0 "$ID" cancelled
[ "$(job_call 2 DELETE 00000000000000ff)" = 410 ] || fail "cancel of an unknown job"
[ "$(job_call 2 GET 00000000000000ff)" = 410 ] || fail "state of an unknown job"
hand_in 1 1 2 fail
ends 1 "$ID" failed
echo "ok: cancelled, failed and unknown jobs"

# Bad input: each gets its answer, and nobody ends.
new_id
[ "$(job_call 0 POST "$ID" '{"spec":')" = 400 ] || fail "a body cut short"
[ "$(job_call 0 POST "$ID" '{"spec":"t","steps":[]}')" = 400 ] || fail "no steps"
[ "$(job_call 0 POST "$ID" '{"spec":"t","steps":[{"count":-1}]}')" = 400 ] || fail "a negative count"
[ "$(job_call 0 POST "$ID" '{"spec":"t","steps":[{"count":1,"dependsOn":[0]}]}')" = 400 ] || fail "a step that waits for itself"
[ "$(job_call 0 POST short "$(job_body t 1 1)")" = 400 ] || fail "a malformed id"
[ "$(job_call 0 PUT "$ID" "$(job_body t 1 1)")" = 405 ] || fail "another method"
status=$(curl -s -m 5 -o /dev/null -w '%{http_code}' -d x -H "Host: other" "$(node_url 0)$PREFIX$ID")
[ "$status" = 404 ] || fail "another host: $status"
head -c 70000 /dev/zero | tr '\0' 'a' >"$WORK/large"
[ "$(job_call 0 POST "$ID" "@$WORK/large")" = 413 ] || fail "a body over the limit"
invalid=$(curl -s "$(node_admin_url 0)/metrics" | awk '$1 == "plank_refused_invalid" {print $2}')
[ "$invalid" = 4 ] || fail "$invalid invalid jobs counted"
echo "ok: bad input"

standin '{"lose": 2}'
hand_in 0 1 2
ends 0 "$ID" done
standin '{"refuse": 6}'
hand_in 1 1 2
ends 1 "$ID" done
echo "ok: lost answers and refusals of the log"

standin '{"trim": 1000000}'
standin '{"deal": true}'
hand_in 2 2 2
ends 0 "$ID" done
stop node2 KILL
start_node 2
wait_until 20 node_is_ready 2 || fail "node 2 does not start without old records"
ends 2 "$DONE" done
echo "ok: deleted records, parts dealt anew, a node that starts afresh"

hand_in 0 2 4
RUNNING=$ID
standin '{"down": true}'
sleep 1
new_id
[ "$(job_call 0 POST "$ID" "$(job_body t 1 1)")" != 200 ] || fail "a hand-in in an outage"
wait_until 5 grep -q "refused id=$ID\|undecided id=$ID" "$WORK/node0.log" || fail "no line for the refusal"
sleep 1
standin '{"down": false}'
ends 1 "$RUNNING" done
hand_in 0 1 2
ends 1 "$ID" done
echo "ok: an outage of the log"

owner() { grep -h "tenure-taken of=pool-tallies" "$WORK"/node?.log | sort | tail -n 1 >/dev/null; grep -l "tenure-taken of=pool-tallies" "$WORK"/node?.log | while read -r log; do tail -n 400 "$log" | grep "of=pool-tallies" | tail -n 1 | grep -q taken && basename "$log" .log; done | head -n 1; }
hand_in 0 3 6
OWNER=$(owner)
[ -n "$OWNER" ] || fail "no owner found"
stop "$OWNER" KILL
SURVIVOR=$(((${OWNER#node} + 1) % 3))
ends $SURVIVOR "$ID" done
begun=$(grep "run-begun task=$ID" "$WORK/standin.log" | awk '{for (i = 1; i <= NF; i++) if ($i ~ /^task=/) print $i}' | sort -u | wc -l)
[ "$begun" = 18 ] || fail "$begun of 18 tasks ran"
start_node "${OWNER#node}"
wait_until 20 node_is_ready "${OWNER#node}" || fail "the owner does not come back"
echo "ok: the owner is killed"

hand_in 1 2 8
standin '{"crash": 0}'
ends 1 "$ID" done
standin '{"restart": 0}'
hand_in 1 1 8
ends 1 "$ID" done
echo "ok: a worker crashes and starts again under its id"

stop node0 TERM
status=$?
[ $status = 0 ] || fail "a node ends with $status"
hand_in 1 1 2
ends 1 "$ID" done
"$BUILD/plank-noded" --settings "$WORK/node1.json" --check >"$WORK/out" || fail "--check"
sed 's/"callers": "[^"]*"/"callers": "nowhere"/' "$WORK/node1.json" >"$WORK/bad.json"
if "$BUILD/plank-noded" --settings "$WORK/bad.json" --check 2>"$WORK/out"; then fail "wrong settings are taken"; fi
grep -q 'callers.*address:port' "$WORK/out" || fail "the refusal does not name the value: $(cat "$WORK/out")"
cp "$WORK/bad.json" "$WORK/node1.json"
kill -HUP "${PIDS[node1]}"
wait_until 10 grep -q "settings stay as they were" "$WORK/node1.log" || fail "no line for wrong settings"
hand_in 1 1 2
ends 1 "$ID" done
echo "ok: stop, settings, reload"
